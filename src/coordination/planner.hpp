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

/// A platform call for one VM. All calls are idempotent by `operation_id`.
struct vm_call {
    enum class kind { drain, reboot, query };
    kind operation = kind::query;
    std::string vm;
    std::string operation_id;
    std::string pool; ///< pool of the VM after the reboot
};

/// Intervals and policies of the planner.
struct planner_options {
    move_options moves;
    maintenance_options maintenance;
    std::chrono::milliseconds interval{1000};   ///< between two planning rounds
    std::chrono::milliseconds call_retry{1000}; ///< between two calls for the same VM
    /// Time for which a VM must be missing from the platform's list.
    std::chrono::seconds absence_before_removal{30};
};

/// Result of one planning round.
struct planner_output {
    std::vector<record_body> records; ///< to append to the log, in order
    std::vector<vm_call> calls;       ///< to send to the platform
};

/// Input of one planning round. Holds references that must stay valid during the round.
struct planner_input {
    const fleet_state& state;
    const vm_list& platform_vms;
    const std::map<std::string, double, std::less<>>& demand_slots; ///< running and queued units per service
    const std::map<std::string, double, std::less<>>& budget_left;  ///< see `maintenance_input`
    std::chrono::sys_seconds wall_now;
};

/// Plans VM moves and maintenance, and completes the operations that the fold has accepted.
///
/// Runs on the node that holds the planner lease. The caller checks the lease and the freshness of the view
/// before each round and executes the result. All progress is stored in the fold and on the platform, so that
/// the next planner can continue: the operation id of an accepted record identifies the operation on the
/// platform, and repeated calls are idempotent. Not thread-safe.
class planner {
public:
    explicit planner(planner_options planner_settings) : options(planner_settings) {}

    /// Runs one planning round if it is due.
    /// @param now monotonic time
    /// @param input the fold, the platform's list and demand
    /// @return records to append, which carry the planner epoch of @p input, and platform calls; empty when
    /// no round is due
    planner_output tick(boot_time now, const planner_input& input);

    /// Processes the platform's answer to a call. A failed call keeps the last known status and is retried.
    void on_call_answer(const vm_call& call, vm_operation_state status);

    /// Clears the local state of operations. Called when this node gains or loses the lease.
    void reset();

    /// @return the smoothed demand that the last round used
    [[nodiscard]] const pool_demand& demand() const noexcept { return this->smoothed_demand; }

    /// @return counters and the reasons why maintenance of pools is held back, for `node_core::dump`
    [[nodiscard]] boost::json::object dump() const;

private:
    /// Local knowledge about one operation on the platform.
    struct operation_progress {
        vm_operation_state status = vm_operation_state::unknown;
        boot_time last_call_at{};
        bool has_sent_call = false;
    };

    /// Adds and removes VMs of the fold according to the platform's list.
    void sync_vm_list(boot_time now, const planner_input& input, planner_output& output);

    /// Advances all operations that the fold lists as in progress.
    void drive_operations(boot_time now, const planner_input& input, planner_output& output);

    /// Issues the next platform call of one operation, or the record of its completion.
    void drive_operation(boot_time now, const planner_input& input, const vm_info& info,
                         planner_output& output);

    /// Plans new moves and maintenance.
    void plan_new(const planner_input& input, planner_output& output);

    /// @return VMs of the fold that the platform does not list or lists as leaving
    [[nodiscard]] std::set<std::string, std::less<>> absent_vms(const planner_input& input) const;

    planner_options options;
    pool_demand smoothed_demand;
    boot_time next_round{};
    std::map<std::string, operation_progress> operations; ///< by operation id
    std::map<std::string, boot_time> missing_since; ///< first round in which a VM of the fold was not listed
    std::vector<maintenance_hold> last_holds;
    std::int64_t moves_planned = 0;
    std::int64_t maintenance_planned = 0;
};

} // namespace hornbeamrail
