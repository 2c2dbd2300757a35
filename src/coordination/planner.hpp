#pragma once

#include "policy/maintenance_plan.hpp"
#include "policy/move_plan.hpp"
#include "protocol/platform.hpp"
#include "state/fleet_state.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hornbeamrail {

/// A call to the platform about one VM. All are idempotent by `operation_id`.
struct vm_call {
    enum class kind { drain, reboot, query };
    kind operation = kind::query;
    std::string vm;
    std::string operation_id;
    std::string pool; ///< pool that the VM serves after a reboot
};

struct planner_options {
    move_options moves;
    maintenance_options maintenance;
    std::chrono::milliseconds interval{1000};        ///< between two plans
    std::chrono::milliseconds call_retry{1000};      ///< between two calls for one VM
    std::chrono::seconds absence_before_removal{30}; ///< a VM must be missing from the list this long
};

/// What the planner decided in one round.
struct planner_output {
    std::vector<record_body> records;
    std::vector<vm_call> calls;
};

/// What the planner looks at in one round.
struct planner_input {
    const fleet_state& state;
    const vm_list& platform_vms;
    const std::map<std::string, double, std::less<>>& demand_slots; ///< running and queued units per service
    const std::map<std::string, double, std::less<>>& budget_left;  ///< see `maintenance_input`
    std::chrono::sys_seconds wall_now;
};

/// Plans VM moves and maintenance, and drives those that the fold accepted to their end.
///
/// Runs on the node that holds the planner lease; the caller checks the lease and the freshness of the view
/// before each round and carries out the result. All progress is in the fold and on the platform, so that the
/// next planner goes on from there: the operation id of an accepted record names the platform's operation,
/// and a repeated call has no second effect. Not thread-safe.
class planner {
public:
    explicit planner(planner_options chosen) : options(chosen) {}

    /// Plans one round.
    /// @param now monotonic time
    /// @param input the fold, the platform's list and demand
    /// @return records to append (stamped with the epoch in @p input) and platform calls; empty between
    /// rounds
    planner_output tick(boot_time now, const planner_input& input);

    /// Takes the platform's answer to a call.
    void on_call_answer(const vm_call& call, vm_operation_state status);

    /// Forgets what it remembers of calls in progress; for a node that lost or gained the lease.
    void reset();

    [[nodiscard]] const pool_demand& demand() const noexcept { return this->smoothed_demand; }

    /// @return the reasons for pools held back and counters, for `dump`
    [[nodiscard]] boost::json::object dump() const;

private:
    struct progress {
        vm_operation_state status = vm_operation_state::unknown;
        boot_time last_call{};
        bool asked = false;
    };

    void sync_vm_list(boot_time now, const planner_input& input, planner_output& output);
    void drive_operations(boot_time now, const planner_input& input, planner_output& output);
    void drive_operation(boot_time now, const planner_input& input, const vm_info& info,
                         planner_output& output);
    void plan_new(const planner_input& input, planner_output& output);
    [[nodiscard]] std::set<std::string, std::less<>> not_live(const planner_input& input) const;

    planner_options options;
    pool_demand smoothed_demand;
    boot_time next_round{};
    std::map<std::string, progress> operations;     ///< by operation id
    std::map<std::string, boot_time> missing_since; ///< VMs of the fold that the platform does not list
    std::vector<maintenance_hold> last_holds;
    std::int64_t moves_planned = 0;
    std::int64_t maintenance_planned = 0;
};

} // namespace hornbeamrail
