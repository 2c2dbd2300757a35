#include "coordination/claim_service.hpp"

#include "hornbeamrail/request_id.hpp"

#include <chrono>

namespace hornbeamrail {

namespace {

// Interval between the epochs that `advance` records, which is the resolution of the horizon.
constexpr std::chrono::seconds epoch_sample_interval{10};

} // namespace

claim_service::claim_service(const core_timings& timings, const core_limits& limits)
    : horizon(timings.claim_horizon), table(limits.claims) {}

wire::ClaimStatus::type claim_service::claim(const wire::Claim& claim, const fleet_state& state,
                                             incarnation_id self, bool fresh) {
    const auto id = parse_request_id(claim.request_id);
    const auto* claimant = state.find_node(claim.claimant);
    if (!id || self == 0 || !fresh || this->stopping || claimant == nullptr || !claimant->live()) {
        return wire::ClaimStatus::unavailable;
    }
    // An id with an epoch beyond this fold may have been issued after this node lost the partition.
    if (id->epoch >= state.next_offset()) {
        return wire::ClaimStatus::unavailable;
    }
    const auto& partition =
        state.partitions()[static_cast<std::size_t>(claim_partition_of(claim.request_id))];
    if (partition.owner != self) {
        return wire::ClaimStatus::not_owner;
    }
    if (id->epoch < partition.owned_since || id->epoch < this->oldest_epoch) {
        return wire::ClaimStatus::stale_epoch;
    }
    if (const auto* entry = this->table.find(claim.request_id)) {
        const auto* first_claimant = state.find_node(entry->claimant);
        if (entry->phase == claim_phase::finished) {
            return wire::ClaimStatus::finished;
        }
        const bool claimant_is_dead = first_claimant == nullptr || !first_claimant->live();
        return entry->phase == claim_phase::unknown_outcome || claimant_is_dead
                   ? wire::ClaimStatus::unknown_outcome
                   : wire::ClaimStatus::in_progress;
    }
    if (!this->table.insert(claim.request_id,
                            {.claimant = claim.claimant, .attempt = claim.attempt, .epoch = id->epoch})) {
        ++this->refused_full;
        return wire::ClaimStatus::unavailable;
    }
    ++this->granted;
    return wire::ClaimStatus::granted;
}

void claim_service::resolve(const wire::ResolveClaim& resolution) {
    auto* entry = this->table.find(resolution.request_id);
    if (entry == nullptr || entry->claimant != resolution.claimant || entry->attempt != resolution.attempt ||
        entry->phase != claim_phase::in_progress) {
        return;
    }
    switch (resolution.resolution) {
    case wire::ClaimResolution::not_dispatched:
        this->table.erase(resolution.request_id);
        return;
    case wire::ClaimResolution::ended:
        entry->phase = claim_phase::finished;
        return;
    case wire::ClaimResolution::outcome_unknown:
        entry->phase = claim_phase::unknown_outcome;
        return;
    }
}

void claim_service::advance(boot_time now, log_offset epoch) {
    if (!this->epochs.empty() && now - this->epochs.back().first < epoch_sample_interval) {
        return;
    }
    this->epochs.emplace_back(now, epoch);
    auto oldest = this->oldest_epoch;
    while (now - this->epochs.front().first >= this->horizon) {
        oldest = this->epochs.front().second;
        this->epochs.pop_front();
    }
    if (oldest > this->oldest_epoch) {
        this->oldest_epoch = oldest;
        this->table.drop_below(oldest);
    }
}

boost::json::value claim_service::dump() const {
    return {{"claims", this->table.size()},
            {"oldest_epoch", this->oldest_epoch},
            {"granted", this->granted},
            {"refused_full", this->refused_full}};
}

} // namespace hornbeamrail
