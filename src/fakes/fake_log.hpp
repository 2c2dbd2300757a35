#pragma once

#include "fakes/seeded_generator.hpp"
#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Faults and limits of a `fake_log`. They can be changed while it runs.
struct fake_log_options {
    std::size_t retained_records = 100000; ///< older records are dropped
    std::chrono::microseconds delay{2000}; ///< time between a request and its answer
    bool down = false;                     ///< requests have no effect and no answer
    double lost_answer_fraction = 0;       ///< fraction of the appends that take effect without an answer
    double duplicate_fraction = 0;         ///< fraction of the appends that are applied twice
};

struct fake_append_result {
    bool applied = false;
    std::optional<log_offset> first_offset; ///< absent when the writer receives no answer
};

/// In-memory stand-in of the platform's append-only log. Not thread-safe.
class fake_log {
public:
    explicit fake_log(std::uint64_t seed, fake_log_options options = {});

    [[nodiscard]] fake_log_options& faults() noexcept { return this->options; }
    [[nodiscard]] const fake_log_options& faults() const noexcept { return this->options; }

    /// Appends a batch at consecutive offsets.
    fake_append_result append(const std::vector<std::string>& records);

    /// @param from lowest offset to return
    /// @param max_records maximum number of entries
    /// @return the entries, or nothing while the log is down
    [[nodiscard]] std::optional<log_read> read(log_offset from, std::size_t max_records) const;

    /// @return the offset of the next record, also while the log is down
    [[nodiscard]] log_offset head() const noexcept {
        return this->first + static_cast<log_offset>(this->records.size());
    }

    /// @return the records from offset @p from on, also while the log is down; for the driver of a simulation
    /// and its history recorder
    [[nodiscard]] std::vector<log_entry> entries_from(log_offset from,
                                                      std::size_t max_records = SIZE_MAX) const;

private:
    log_offset write(const std::vector<std::string>& batch);

    fake_log_options options;
    seeded_generator generator;
    log_offset first = 1;
    std::deque<std::string> records;
};

} // namespace hornbeamrail
