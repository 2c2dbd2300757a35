#pragma once

#include "node/dispatcher.hpp"
#include "policy/task_placement.hpp"
#include "protocol/platform.hpp"
#include "state/fleet_state.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hornbeamrail {

/// Appends a record. The driver passes it to `node_core::submit_change`; the outcome is read from the fold.
struct append_task_record {
    std::string change_id;
    record_body body;
};

/// Requests a lease from a worker. Answered by `on_reserved`, exactly once.
struct reserve_worker {
    std::string task_id;
    std::string vm;
    endpoint address;
    log_offset fencing_token = 0;
    std::int64_t cores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::chrono::milliseconds ttl{0};
    bool adopt = false; ///< the worker refuses unless it already has the task
};

/// Sends a command for a leased task to a worker. Answered by `on_command_done`, exactly once.
struct command_worker {
    std::string task_id;
    endpoint address;
    std::string lease_id;
    log_offset fencing_token = 0;
    task_command command = task_command::renew;
    std::chrono::milliseconds run_time{0}; ///< declared run time, sent with `start`
};

/// Reads the usage report of a worker. Answered by `on_usage`, or not at all.
struct read_usage {
    std::string vm;
    endpoint address;
};

using task_action = std::variant<append_task_record, reserve_worker, command_worker, read_usage>;

/// Result of a call to a worker.
enum class worker_answer {
    done,
    refused,   ///< expired lease, stale token, unknown task or no capacity: nothing was started
    no_answer, ///< outcome unknown
};

/// A task in a worker's usage report.
struct task_report {
    std::string task_id;
    std::string state; ///< as in `GET /usage`
    double cores_used = 0;
    double memory_mb_used = 0;
};

/// Options of a `task_manager`.
struct task_manager_options {
    std::uint64_t seed = 1;
    std::chrono::milliseconds lease_ttl{10000};
    std::chrono::milliseconds renew_interval{2000};
    std::chrono::milliseconds retry_interval{500};
    std::chrono::milliseconds record_retry{2000}; ///< until a record without an outcome is appended again
    std::chrono::milliseconds usage_interval{1000};
    std::chrono::seconds report_lag{10}; ///< maximum age of a usage report
    /// How long a worker gets no task after `failures_to_quarantine` consecutive failures.
    std::chrono::seconds quarantine{60};
    int failures_to_quarantine = 3;
    int max_attempts = 3; ///< failed attempts of an idempotent task before it ends as failed
    std::size_t max_queued_per_team = 1000;
    int max_placements_per_tick = 64;
};

/// Account of the teams' units that requests and tasks of one node share. `dispatcher` satisfies it.
template <class Account>
concept unit_account = requires(Account& account, boot_time now, std::string_view team, std::int64_t units) {
    { account.try_reserve_units(now, team, units) } -> std::same_as<bool>;
    account.adopt_units(now, team, units);
    account.release_units(now, team, units);
};

/// Type-erased reference to a unit account.
struct unit_account_reference {
    std::function<bool(boot_time, std::string_view, std::int64_t)> try_reserve;
    std::function<void(boot_time, std::string_view, std::int64_t)> adopt;
    std::function<void(boot_time, std::string_view, std::int64_t)> release;
};

/// @param account must outlive the result
/// @return a type-erased reference to @p account
template <unit_account Account>
unit_account_reference make_unit_account_reference(Account& account) {
    return {
        .try_reserve = [&account](boot_time now, std::string_view team,
                                  std::int64_t units) { return account.try_reserve_units(now, team, units); },
        .adopt = [&account](boot_time now, std::string_view team,
                            std::int64_t units) { account.adopt_units(now, team, units); },
        .release =
            [&account](boot_time now, std::string_view team, std::int64_t units) {
                account.release_units(now, team, units);
            }};
}

/// Places the tasks that one incarnation owns on workers, renews their leases and records their phases. Does
/// no I/O.
///
/// A task is started only after its `placed` record was folded, so that the next owner can find it on its
/// worker. Not thread-safe: guarded by the mutex of the dispatcher. The driver calls `sync` under the core's
/// mutex each time the core publishes a state, before any other input to the dispatcher: units of tasks that
/// were handed over by another node must be counted before a request can use them.
class task_manager {
public:
    /// @param units account of the units that tasks use; its account must outlive the manager
    task_manager(core_reader core, unit_account_reference units, task_manager_options options);

    /// Validates a task and queues its `task_submit` record.
    /// @param spec the task; its id must be unique
    /// @return the refusal, always `not_run`; `std::nullopt` when the record was queued: the task is accepted
    /// once it appears in the fold
    std::optional<refusal> submit(boot_time now, const task_spec& spec);

    /// Appends a `task_cancel` record, and again until it has an outcome. Any node may do this.
    void cancel(std::string_view task_id);

    /// Applies the platform's VM list. VMs that are leaving get no new tasks.
    void on_vm_list(const vm_list& list);

    /// Adopts tasks that the fold assigned to this incarnation and releases those that it no longer owns.
    void sync(boot_time now);

    /// Advances all tasks.
    /// @return actions that the driver must carry out now
    std::vector<task_action> tick(boot_time now);

    /// @param fencing_token of the request; an answer under an earlier token is ignored
    /// @param sent_at when the request was sent; the lease is counted from then
    void on_reserved(boot_time now, std::string_view task_id, log_offset fencing_token, boot_time sent_at,
                     worker_answer answer, const std::string& lease_id);
    /// @param fencing_token of the command; an answer under an earlier token is ignored
    /// @param sent_at when the command was sent; a renewed lease is counted from then
    void on_command_done(boot_time now, std::string_view task_id, log_offset fencing_token,
                         task_command command, boot_time sent_at, worker_answer answer);
    /// Applies the usage report of a worker.
    void on_usage(boot_time now, std::string_view vm, const std::vector<task_report>& reports);

    /// Stops starting tasks. Running tasks continue; `node_leave` hands them over.
    void begin_stop() { this->stopping = true; }

    /// @return active tasks, quarantined workers and counters
    [[nodiscard]] boost::json::value dump() const;

private:
    enum class step {
        reserving, ///< waiting for the worker's lease
        recording, ///< waiting for the fold of the `placed` record
        starting,  ///< waiting for the answer to `start`
        running,
        adopting,  ///< placed by an earlier owner; waiting for the lease under this owner's token
        resolving, ///< the worker refused a call; waiting for its usage report, which has the outcome
        ending,    ///< waiting for the fold of the record that ends or requeues it
    };

    /// State of an owned task that uses units.
    struct active_task {
        step current_step = step::reserving;
        std::string vm;
        endpoint address;
        std::string lease_id;
        log_offset fencing_token = 0;
        std::int64_t units = 0;
        std::string team;
        boot_time lease_end{};       ///< conservative bound by this node's clock
        boot_time next_call{};       ///< when to send the next call to the worker
        boot_time report_deadline{}; ///< when to stop waiting for a usage report
        append_task_record record;   ///< the record that waits for the fold
        boot_time record_due{};      ///< when to append it again
        bool start_sent = false;
        bool adopted = false; ///< placed by an earlier owner, which may have started it
        /// Its VM is drained and a checkpoint was requested. Without a checkpoint an idempotent task is
        /// stopped and queued again; any other task runs to its end.
        bool evicting = false;
        bool is_done = false; ///< the current `tick` releases the task
    };

    /// A cancellation without an outcome.
    struct pending_cancel {
        append_task_record record;
        boot_time due{}; ///< when to append it again
    };

    /// Recent failures of one worker, for the quarantine.
    struct worker_health {
        int failures = 0; ///< consecutive failures
        boot_time quarantined_until{};
    };

    void update_workers(boot_time now, const fleet_state& state);
    /// @return whether the VM is in service, not leaving, and its zone is not out
    [[nodiscard]] bool accepts_starts(const fleet_state& state, std::string_view vm) const;
    [[nodiscard]] std::set<std::string_view> revoked_keys(const fleet_state& state) const;
    void append_due_cancels(boot_time now, const fleet_state& state, std::vector<task_action>& actions);
    void place_queued(boot_time now, const fleet_state& state, std::vector<task_action>& actions);
    void advance_task(boot_time now, const fleet_state& state, const std::string& id, active_task& active,
                      std::vector<task_action>& actions);
    /// @return whether the lease, the view, the VM and the key of the task allow a start now
    [[nodiscard]] bool can_start(boot_time now, const fleet_state& state, const task_info& task,
                                 const active_task& active) const;
    void start_recorded(boot_time now, const fleet_state& state, const task_info& task, active_task& active,
                        std::vector<task_action>& actions);
    void advance_lease(boot_time now, const fleet_state& state, const task_info& task, active_task& active,
                       std::vector<task_action>& actions);
    void record_phase(const std::string& id, active_task& active, task_phase phase, std::string detail);
    /// Appends the record that the task waits for, and again while it has no outcome: the driver drops
    /// records while its queue is full. A repeat has the same change id and no second effect.
    void append_due_record(boot_time now, active_task& active, std::vector<task_action>& actions) const;
    /// Waits for a usage report that has the outcome of the task.
    void begin_resolving(boot_time now, active_task& active);
    void apply_report(boot_time now, const task_info& task, active_task& active, const task_report& report);
    /// Queues a lost task again if that is safe, else records its outcome as unknown.
    void handle_lost_task(const task_info& task, active_task& active, std::string detail);
    void record_worker_result(boot_time now, const std::string& vm, bool failed);
    void release_task(boot_time now, const std::string& id);
    /// @return queued tasks of this owner: urgent ones first, then by load of the team relative to its share,
    /// then by submission
    [[nodiscard]] std::vector<const task_info*> queued_in_order(const fleet_state& state) const;
    [[nodiscard]] const task_info* owned_task(const fleet_state& state, std::string_view id) const;

    core_reader core;
    unit_account_reference units;
    task_manager_options options;
    std::mt19937_64 random;
    task_placement placement;
    std::map<std::string, active_task, std::less<>> active_tasks;
    std::map<std::string, pending_cancel, std::less<>> cancels; ///< by task
    std::map<std::string, int, std::less<>> attempts;           ///< failed attempts by task
    std::map<std::string, worker_health, std::less<>> workers;
    std::set<std::string, std::less<>> placement_workers; ///< VMs that `placement` knows
    std::set<std::string, std::less<>> leaving_vms;       ///< VMs that the platform removes
    std::vector<task_action> pending_actions;             ///< actions for the next `tick`
    /// State whose VMs and zones `placement` reflects; reset to update them.
    std::shared_ptr<const fleet_state> placement_state;
    boot_time next_usage_read{};
    std::int64_t started = 0;
    std::int64_t lost = 0;
    std::int64_t requeued = 0;
    bool stopping = false;
};

} // namespace hornbeamrail
