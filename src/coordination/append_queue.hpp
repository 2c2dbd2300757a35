#pragma once

#include "coordination/core_action.hpp"
#include "coordination/core_options.hpp"
#include "protocol/platform.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Queue of records to append to the log.
///
/// A record stays in the queue until the fold shows its outcome. After a lost answer it is appended again
/// with the same change id after a backoff; the fold ignores the duplicate. The append calls of a node are
/// spaced evenly below `append_calls_per_second`. Not thread-safe.
class append_queue {
public:
    static constexpr std::size_t max_records = 4096;
    static constexpr std::size_t max_calls = 3; ///< maximum number of concurrent calls

    append_queue(const core_limits& configured_limits, std::uint64_t seed);

    /// Queues a record. Has no effect when its change id is already queued.
    /// @return false when the queue is full
    bool add(const log_record& record);

    /// @return the next append call, if the rate limit allows one and a record is due
    std::optional<append_records> next_call(boot_time now, const fleet_state& state);

    /// Processes a successful append call.
    void on_appended(std::uint64_t batch, log_offset first_offset);

    /// Processes a failed append call. Its records may have been appended; they are retried after a backoff.
    void on_failed(boot_time now, std::uint64_t batch);

    /// Shortens the backoff of waiting records after the log has become available again.
    void on_log_available(boot_time now);

    /// Removes the records whose outcome the fold holds, and those whose outcome it may no longer remember.
    void remove_settled(const fleet_state& state);

    /// Removes a record that has not been sent yet.
    void withdraw(std::string_view change_id);

    [[nodiscard]] bool contains(std::string_view change_id) const;
    [[nodiscard]] std::size_t size() const noexcept { return this->records.size(); }
    [[nodiscard]] bool empty() const noexcept { return this->records.empty(); }

    /// @return the number of append calls so far
    [[nodiscard]] std::int64_t calls() const noexcept { return this->call_count; }

    /// @return the number of records that were sent again
    [[nodiscard]] std::int64_t retries() const noexcept { return this->retry_count; }

    /// @return the number of records removed with an unknown outcome
    [[nodiscard]] std::int64_t unknown_outcomes() const noexcept { return this->unknown_outcome_count; }

private:
    enum class phase { waiting, in_flight, appended };
    struct queued_record {
        std::string change_id;
        std::string bytes;
        phase state = phase::waiting;
        boot_time due_at{};
        int attempts = 0;
        log_offset first_sent_offset = 0; ///< next offset of the fold when the record was first sent
        log_offset offset = 0;            ///< offset in the log, set once it is appended
        std::uint64_t batch = 0;
    };

    std::chrono::microseconds retry_delay(int attempts);

    core_limits limits;
    std::mt19937_64 random;
    std::list<queued_record> records;
    boot_time next_call_at{};
    std::uint64_t last_batch = 0;
    std::size_t calls_in_flight = 0;
    std::int64_t call_count = 0;
    std::int64_t retry_count = 0;
    std::int64_t unknown_outcome_count = 0;
};

} // namespace hornbeamrail
