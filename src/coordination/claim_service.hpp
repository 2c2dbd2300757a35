#pragma once

#include "coordination/core_options.hpp"
#include "peer_types.h"
#include "protocol/platform.hpp"
#include "state/claim_table.hpp"
#include "state/fleet_state.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <string_view>
#include <utility>

namespace hornbeamrail {

/// Owner side of claims (section 4.5 of the design): ensures that each non-idempotent request id runs at most
/// once.
///
/// Ids are held in memory only. The state of an earlier owner is lost with it, so ids older than the
/// ownership of their partition are answered with `stale_epoch`. Not thread-safe.
class claim_service {
public:
    claim_service(const core_timings& timings, const core_limits& limits);

    /// Decides a claim.
    /// @param state fold of this node
    /// @param self live incarnation of this node, or 0
    /// @param fresh whether the view of this node is fresh
    /// @return `granted` at most once per id, unless the claimant reported that it did not dispatch the
    /// request; `unavailable` when this node cannot decide
    wire::ClaimStatus::type claim(const wire::Claim& claim, const fleet_state& state, incarnation_id self,
                                  bool fresh);

    /// Ends a claim. Has no effect unless claimant and attempt match the claim.
    void resolve(const wire::ResolveClaim& resolution);

    /// Advances the horizon. Ids with epochs from before the horizon are removed and from then on answered
    /// with `stale_epoch`.
    /// @param epoch current epoch, see `node_core::epoch`
    void advance(boot_time now, log_offset epoch);

    /// Stops granting claims, permanently.
    void stop() { this->stopping = true; }

    /// Removes all ids after the incarnation of this node ended. Its partitions get a new owner.
    void drop() { this->table.clear(); }

    [[nodiscard]] std::size_t size() const noexcept { return this->table.size(); }
    [[nodiscard]] boost::json::value dump() const;

private:
    std::chrono::minutes horizon;
    claim_table table;
    std::deque<std::pair<boot_time, log_offset>> epochs; ///< current epoch over time, oldest first
    log_offset oldest_epoch = 0;                         ///< ids below it are older than the horizon
    bool stopping = false;
    std::int64_t granted = 0;
    std::int64_t refused_full = 0; ///< claims refused because the table was full
};

} // namespace hornbeamrail
