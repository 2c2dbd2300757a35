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

/// Owner side of claims (section 4.5 of the design): lets each non-idempotent request id run at most once.
///
/// Holds ids in memory only. What an earlier owner knew is lost with it, so ids older than the ownership of
/// their partition are answered as unknown.
class claim_service {
public:
    claim_service(const core_timings& timings, const core_limits& limits);

    /// Decides a claim.
    /// @param self live incarnation of this node, or 0
    /// @param fresh whether the own view is fresh
    wire::ClaimStatus::type claim(const wire::Claim& claim, const fleet_state& state, incarnation_id self,
                                  bool fresh);

    /// Ends a claim. Has no effect unless claimant and attempt are those of the claim.
    void resolve(const wire::ResolveClaim& resolution);

    /// Moves the horizon. Ids with epochs that were current before it are forgotten and answered as unknown.
    void advance(boot_time now, log_offset epoch);

    /// Grants no claims from now on.
    void stop() { this->stopping = true; }

    /// Forgets all ids, for a node whose incarnation ended. Its partitions get a new owner.
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
    std::int64_t refused_full = 0;
};

} // namespace hornbeamrail
