#pragma once

#include "coordination/core_options.hpp"
#include "coordination/membership.hpp"
#include "protocol/log_record.hpp"
#include "state/fleet_state.hpp"

#include <optional>

namespace hornbeamrail {

/// Decides when this node should claim the planner's lease. The lease itself is in the fold.
class planner_lease {
public:
    explicit planner_lease(const core_timings& own) : timings(own) {}

    /// @return whether the fold gives the lease to @p self
    [[nodiscard]] static bool holds(const fleet_state& state, incarnation_id self);

    /// @return the claim to append, when the holder is gone or silent and this node's turn has come
    std::optional<planner_claim_record> next_claim(boot_time now, const fleet_state& state,
                                                   incarnation_id self, const membership& members);

private:
    core_timings timings;
    std::optional<boot_time> vacant_since;
    log_offset tried_epoch = -1; ///< epoch that this node tried to follow
    boot_time tried_at{};
};

} // namespace hornbeamrail
