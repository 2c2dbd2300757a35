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

/// Plans grants from demand sums, for fleets in which a node does not receive the demand of every other node.
///
/// The target of a node is its share of the upper limit in proportion to its demand. The cost grows with the
/// number of teams, not with the number of nodes.
/// @param demand one entry for @p self, entries for other nodes, and one for incarnation 0 with the sum of
/// the rest
/// @return changes to the grants of @p self; positive to acquire, negative to return
std::vector<team_units> plan_grants_by_sums(incarnation_id self, const fleet_state& state,
                                            const fleet_demand& demand);

/// Acquires and returns units of the upper limits for this node.
///
/// A node withholds units from use before it appends a release, and releases only units that are idle by
/// then. The release waits for the second report of running units after the units were withheld, because the
/// first one may have been taken before. At most one `grant_delta` is outstanding. Its sequence number makes
/// a retry idempotent even when the fold no longer remembers its change id. Not thread-safe.
class grant_manager {
public:
    explicit grant_manager(const core_timings& timings) : interval(timings.grant_interval) {}

    /// @return whether a new plan is due at @p now
    [[nodiscard]] bool plan_is_due(boot_time now) const;

    /// Starts a plan for this node and withholds the units to return.
    void begin_plan(boot_time now, std::vector<team_units> deltas);

    /// Processes a report of the units that run on this node.
    void on_running(const std::vector<team_units>& running);

    /// @return the record to append, once the units to return are known to be idle; nothing before
    std::optional<grant_delta_record> next_record(incarnation_id self, const fleet_state& state);

    /// @return the outstanding record, or nothing. It may be appended again under another change id, because
    /// the fold applies each sequence number once.
    [[nodiscard]] const std::optional<grant_delta_record>& outstanding_record() const noexcept {
        return this->outstanding;
    }

    /// Clears the outstanding record once the fold has applied it.
    void on_folded(incarnation_id self, const fleet_state& state);

    /// Clears all plans, for a node without a live incarnation.
    void drop();

    /// @return the granted units of @p team less the withheld ones
    [[nodiscard]] std::int64_t usable(std::string_view team, incarnation_id self,
                                      const fleet_state& state) const;

    /// @return running units per team from the last report
    [[nodiscard]] const std::map<std::string, std::int64_t, std::less<>>& running() const noexcept {
        return this->running_units;
    }

private:
    static constexpr int reports_before_release = 2;

    std::chrono::milliseconds interval;
    boot_time next_plan{};
    /// Positive: acquire, negative: return; empty when there is no plan.
    std::vector<team_units> planned_deltas;
    /// Units per team withheld for planned or appended returns.
    std::map<std::string, std::int64_t, std::less<>> withheld;
    std::map<std::string, std::int64_t, std::less<>> running_units;
    int reports = 0; ///< reports of running units since the plan started
    std::optional<grant_delta_record> outstanding;
};

} // namespace hornbeamrail
