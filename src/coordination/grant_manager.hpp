#pragma once

#include "coordination/core_options.hpp"
#include "policy/grant_plan.hpp"
#include "protocol/platform.hpp"
#include "state/fleet_state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Plans grants from sums, for fleets in which a node does not hear every other node itself.
///
/// A node's target is its part of the limit by demand. Its cost grows with the teams, not with the nodes.
/// @param demand entry of @p self, entries of other nodes, and one of incarnation 0 for the sum of the rest
std::vector<team_units> plan_grants_by_sums(incarnation_id self, const fleet_state& state,
                                            const fleet_demand& demand);

/// Acquires and returns units of the upper limits for this node.
///
/// A node lowers its own cap before it appends a release, and appends only what it does not run by then:
/// the release waits for the second report of running units after the cap was lowered, because the first one
/// may have been taken before. At most one `grant_delta` is under way; its sequence number makes a repeat
/// harmless even when the fold has forgotten its change id.
class grant_manager {
public:
    explicit grant_manager(const core_timings& timings) : interval(timings.grant_interval) {}

    /// @return whether a plan is due at @p now
    [[nodiscard]] bool plan_is_due(boot_time now) const;

    /// Takes up a plan for this node and lowers the caps of the units to return.
    void begin(boot_time now, std::vector<team_units> deltas);

    /// Takes in the units that run here.
    void on_running(const std::vector<team_units>& running);

    /// @return the record to append, once it is certain that the units to return are idle
    std::optional<grant_delta_record> next_record(incarnation_id self, const fleet_state& state);

    /// @return the record under way, or nothing. It may be appended again under another change id, because
    ///         the fold takes its sequence number once.
    [[nodiscard]] const std::optional<grant_delta_record>& open_record() const noexcept { return this->open; }

    /// Ends the wait for a record that the fold has taken in.
    void on_folded(incarnation_id self, const fleet_state& state);

    /// Forgets everything, for a node without a live incarnation.
    void drop();

    /// @return units of @p team that this node may run
    [[nodiscard]] std::int64_t usable(std::string_view team, incarnation_id self,
                                      const fleet_state& state) const;

    [[nodiscard]] const std::map<std::string, std::int64_t, std::less<>>& running() const noexcept {
        return this->running_units;
    }

private:
    static constexpr int reports_before_release = 2;

    std::chrono::milliseconds interval;
    boot_time next_plan{};
    std::vector<team_units> planned; ///< positive: acquire, negative: return; empty when none is planned
    std::map<std::string, std::int64_t, std::less<>>
        lowered; ///< caps lowered for planned or appended returns
    std::map<std::string, std::int64_t, std::less<>> running_units;
    int reports = 0;
    std::optional<grant_delta_record> open;
};

} // namespace hornbeamrail
