#pragma once

#include "coordination/core_options.hpp"
#include "coordination/replica.hpp"
#include "protocol/log_record.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Decides when to write a snapshot into the log, and splits it into records.
///
/// Every node waits for a random delay and then writes only if no newer snapshot was folded meanwhile.
/// Concurrent writers are harmless, because each snapshot is valid at its stated offset. Not thread-safe.
class snapshot_writer {
public:
    snapshot_writer(const core_limits& configured_limits, std::uint64_t seed);

    /// @return whether the records since the newest snapshot exceed half of the retained log, a threshold of
    /// at least 64 and at most `core_limits::snapshot_records` records
    [[nodiscard]] bool snapshot_is_due(const replica& log) const;

    /// @param nodes number of nodes of the fleet. The delay grows with it, so that the number of concurrent
    /// writers does not.
    /// @param snapshot_id unique per call
    /// @return the parts to append, usually none
    std::vector<snapshot_part_record> next_parts(boot_time now, const replica& log, std::size_t nodes,
                                                 const std::string& snapshot_id);

    /// @return the number of snapshots that this node has written
    [[nodiscard]] std::int64_t written() const noexcept { return this->write_count; }

private:
    core_limits limits;
    std::mt19937_64 random;
    std::optional<boot_time> write_at;
    log_offset newest_when_scheduled = 0; ///< offset of the newest snapshot when `write_at` was chosen
    std::int64_t write_count = 0;
};

} // namespace hornbeamrail
