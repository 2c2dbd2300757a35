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

/// Decides when to write a snapshot into the log, and cuts it into records.
///
/// Every node waits a random delay and checks that no newer snapshot was folded meanwhile. Two writers do no
/// harm: either snapshot is valid at its stated offset.
class snapshot_writer {
public:
    snapshot_writer(const core_limits& limits, std::uint64_t seed);

    /// @return whether the newest snapshot is too old for the log's retained span
    [[nodiscard]] bool snapshot_is_due(const replica& log) const;

    /// @param nodes live nodes of the fleet; the delay grows with them, so that the number of writers does
    /// not
    /// @param snapshot_id unique per call
    /// @return the parts to append, usually none
    std::vector<snapshot_part_record> next_parts(boot_time now, const replica& log, std::size_t nodes,
                                                 const std::string& snapshot_id);

    [[nodiscard]] std::int64_t written() const noexcept { return this->write_count; }

private:
    core_limits limits;
    std::mt19937_64 random;
    std::optional<boot_time> write_at;
    log_offset write_after = 0; ///< newest snapshot when the delay was drawn
    std::int64_t write_count = 0;
};

} // namespace hornbeamrail
