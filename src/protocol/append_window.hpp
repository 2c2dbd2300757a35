#pragma once

#include "protocol/platform_port.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>

namespace hornbeamrail {

/// Decides how many records of a list go into each append: as many as the limits of the log permit.
///
/// The log stores all records of an append or none. An append that it rejects is therefore repeated with half
/// of the records, until the one that the log does not accept is alone and keeps no other record out of the
/// log.
class append_window {
public:
    explicit append_window(append_limits configured_limits) : limits(configured_limits) {}

    /// @param records what is left to append, in order; not empty
    /// @param record_of returns the `keyed_record` of an element
    /// @return number of leading records for the next append; at least one
    template <class Records, class RecordOf>
    std::size_t next_count(const Records& records, RecordOf record_of) {
        std::size_t bytes = 0;
        std::size_t count = 0;
        for (const auto& record : records) {
            bytes += bytes_in_log(record_of(record));
            if (count > 0 && (bytes > this->limits.max_append_bytes || count >= this->max_records)) {
                break;
            }
            ++count;
        }
        this->latest_count = count;
        return count;
    }

    /// Handles that the latest append was stored.
    void on_appended() noexcept { this->max_records = unlimited; }

    /// Handles that the log rejected the latest append.
    /// @return whether its only record is the one that the log does not accept; the caller leaves it out
    bool on_rejected() noexcept {
        const bool is_alone = this->latest_count <= 1;
        this->max_records = is_alone ? unlimited : this->latest_count / 2;
        return is_alone;
    }

private:
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    append_limits limits;
    std::size_t max_records = unlimited;
    std::size_t latest_count = 0;
};

} // namespace hornbeamrail
