#include "coordination/planner_lease.hpp"

namespace hornbeamrail {

namespace {

// Delay between the claims of nodes of successive ranks, so that usually only one claim is appended.
constexpr std::chrono::milliseconds claim_stagger{500};
constexpr std::size_t max_claim_stagger_ranks = 20; // nodes of higher rank wait no longer than this one

// Delay before a claim for the same epoch is repeated.
constexpr std::chrono::seconds claim_retry{5};

} // namespace

bool planner_lease::holds(const fleet_state& state, incarnation_id self) {
    return self != 0 && state.planner().incarnation == self;
}

std::optional<planner_claim_record> planner_lease::next_claim(boot_time now, const fleet_state& state,
                                                              incarnation_id self,
                                                              const membership& members) {
    const auto& planner = state.planner();
    const auto* holder = state.find_node(planner.incarnation);
    const bool holder_is_dead = holder == nullptr || !holder->live();
    const bool vacant =
        planner.incarnation != self &&
        (holder_is_dead || members.is_unresponsive(now, planner.incarnation, this->timings.planner_timeout));
    if (self == 0 || !vacant) {
        this->vacant_since.reset();
        return std::nullopt;
    }
    if (!this->vacant_since) {
        this->vacant_since = now;
    }
    if (now - *this->vacant_since < claim_stagger * std::min(members.rank(), max_claim_stagger_ranks)) {
        return std::nullopt;
    }
    if (this->attempted_epoch == planner.epoch && now - this->attempted_at < claim_retry) {
        return std::nullopt;
    }
    this->attempted_epoch = planner.epoch;
    this->attempted_at = now;
    return planner_claim_record{.incarnation = self, .expected_epoch = planner.epoch};
}

} // namespace hornbeamrail
