#include "coordination/planner_lease.hpp"

namespace hornbeamrail {

namespace {

// Nodes take their turns this far apart, so that usually one claim is appended.
constexpr std::chrono::milliseconds turn{500};
constexpr std::size_t max_turns = 20;

constexpr std::chrono::seconds retry{5};

} // namespace

bool planner_lease::holds(const fleet_state& state, incarnation_id self) {
    return self != 0 && state.planner().incarnation == self;
}

std::optional<planner_claim_record> planner_lease::next_claim(boot_time now, const fleet_state& state,
                                                              incarnation_id self,
                                                              const membership& members) {
    const auto& planner = state.planner();
    const auto* holder = state.find_node(planner.incarnation);
    const bool gone = holder == nullptr || !holder->live();
    const bool vacant = planner.incarnation != self &&
                        (gone || members.is_silent(now, planner.incarnation, this->timings.planner_silence));
    if (self == 0 || !vacant) {
        this->vacant_since.reset();
        return std::nullopt;
    }
    if (!this->vacant_since) {
        this->vacant_since = now;
    }
    if (now - *this->vacant_since < turn * std::min(members.rank(), max_turns)) {
        return std::nullopt;
    }
    if (this->tried_epoch == planner.epoch && now - this->tried_at < retry) {
        return std::nullopt;
    }
    this->tried_epoch = planner.epoch;
    this->tried_at = now;
    return planner_claim_record{.incarnation = self, .expected_epoch = planner.epoch};
}

} // namespace hornbeamrail
