#pragma once

#include "coordination/core_options.hpp"
#include "coordination/membership.hpp"
#include "protocol/log_record.hpp"
#include "state/fleet_state.hpp"

#include <optional>

namespace hornbeamrail {

/// Decides when this node claims the planner lease. The lease itself is stored in the fold.
class planner_lease {
public:
    explicit planner_lease(const core_timings& core_settings) : timings(core_settings) {}

    /// @return whether @p self holds the lease according to the fold
    [[nodiscard]] static bool holds(const fleet_state& state, incarnation_id self);

    /// @return the claim to append, when the holder is dead or unresponsive and the delay for the rank of
    /// this node has passed
    std::optional<planner_claim_record> next_claim(boot_time now, const fleet_state& state,
                                                   incarnation_id self, const membership& members);

private:
    core_timings timings;
    std::optional<boot_time> vacant_since;
    log_offset attempted_epoch = -1; ///< planner epoch of the last claim; -1 before the first
    boot_time attempted_at{};
};

} // namespace hornbeamrail
