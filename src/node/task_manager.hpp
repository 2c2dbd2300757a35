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

/// Append a record. The driver passes it to `node_core::submit_change`; the outcome is read from the fold.
struct append_task_record {
    std::string change_id;
    record_body body;
};

/// Ask a worker for a lease. Answered by `on_reserved`, exactly once.
struct reserve_worker {
    std::string task_id;
    std::string vm;
    endpoint address;
    log_offset fencing_token = 0;
    std::int64_t cores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
    std::chrono::milliseconds ttl{0};
    bool adopt = false; ///< refuse unless the worker holds the task
};

/// Call a worker about a leased task. Answered by `on_command_done`, exactly once.
struct command_worker {
    std::string task_id;
    endpoint address;
    std::string lease_id;
    log_offset fencing_token = 0;
    task_command command = task_command::renew;
    std::chrono::milliseconds run_time{0}; ///< declared run time, sent with `start`
};

/// Read the usage report of a worker. Answered by `on_usage`, or not at all.
struct read_usage {
    std::string vm;
    endpoint address;
};

using task_action = std::variant<append_task_record, reserve_worker, command_worker, read_usage>;

/// How a worker answered.
enum class worker_answer {
    done,
    refused,   ///< lapsed lease, lower token, unknown task or no room: nothing was started
    no_answer, ///< outcome unknown
};

/// A task in a worker's usage report.
struct task_report {
    std::string task_id;
    std::string state; ///< as in `GET /usage`
    double cores_used = 0;
    double memory_mb_used = 0;
};

struct task_manager_options {
    std::uint64_t seed = 1;
    std::chrono::milliseconds lease_ttl{10000};
    std::chrono::milliseconds renew_interval{2000};
    std::chrono::milliseconds retry_interval{500};
    std::chrono::milliseconds usage_interval{1000};
    std::chrono::seconds report_lag{10}; ///< usage reports are not older than this
    std::chrono::seconds quarantine{
        60}; ///< a worker that failed several tasks in a row gets none for this long
    int failures_to_quarantine = 3;
    int max_attempts = 3; ///< starts of an idempotent task that fails, before it ends as failed
    std::size_t max_queued_per_team = 1000;
    int max_placements_per_tick = 64;
};

/// Units of teams that requests and tasks of one node share; `dispatcher` satisfies it.
template <class Account>
concept unit_account = requires(Account& account, boot_time now, std::string_view team, std::int64_t units) {
    { account.try_reserve_units(now, team, units) } -> std::same_as<bool>;
    account.adopt_units(now, team, units);
    account.release_units(now, team, units);
};

/// The operations of one unit account, with the type of the account erased.
struct unit_account_reference {
    std::function<bool(boot_time, std::string_view, std::int64_t)> try_reserve;
    std::function<void(boot_time, std::string_view, std::int64_t)> adopt;
    std::function<void(boot_time, std::string_view, std::int64_t)> release;
};

/// @param account must outlive the reference
template <unit_account Account>
unit_account_reference refer_to(Account& account) {
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

/// Places the tasks that one incarnation owns on workers, keeps their leases and records their phases. Does
/// no I/O.
///
/// A task is started only after its `placed` record was folded, so that whoever owns the task next knows
/// where to look for it. Not thread-safe: guarded by the mutex of the dispatcher. The driver calls `sync`
/// under the core's mutex each time the core publishes a state, before any other input to the dispatcher:
/// units of tasks that another node handed over must be taken before a request can use them.
class task_manager {
public:
    task_manager(core_reader core, unit_account_reference units, task_manager_options options);

    /// Checks a task and queues its `task_submit` record.
    /// @param spec the task; its id must be unique
    /// @return the refusal, always `not_run`; nothing when the record is on its way (watch the fold for the
    /// task)
    std::optional<refusal> submit(boot_time now, const task_spec& spec);

    /// Queues a `task_cancel` record. Any node may do this.
    void cancel(std::string_view task_id);

    /// Takes the platform's list; VMs that leave get no further task.
    void on_vm_list(const vm_list& list);

    /// Takes over tasks that the fold gave to this incarnation and lets go of those that it took away.
    void sync(boot_time now);

    /// @return what the driver has to do now
    std::vector<task_action> tick(boot_time now);

    void on_reserved(boot_time now, std::string_view task_id, boot_time sent_at, worker_answer answer,
                     const std::string& lease_id);
    void on_command_done(boot_time now, std::string_view task_id, task_command command, boot_time sent_at,
                         worker_answer answer);
    void on_usage(boot_time now, std::string_view vm, const std::vector<task_report>& reports);

    /// Starts no further task. Running ones go on; `node_leave` hands them over.
    void begin_stop() { this->stopping = true; }

    /// @return tasks by step, quarantined workers and counters
    [[nodiscard]] boost::json::value dump() const;

private:
    enum class step {
        reserving, ///< waiting for the worker's lease
        recording, ///< waiting for the fold of the `placed` record
        starting,  ///< waiting for the answer to `start`
        running,
        adopting, ///< placed by an earlier owner; waiting for the lease under this owner's token
        settling, ///< the worker no longer holds the task; its usage report tells how it ended
        ending,   ///< waiting for the fold of the record that ends or requeues it
    };

    /// An owned task that holds units.
    struct held_task {
        step now_in = step::reserving;
        std::string vm;
        endpoint address;
        std::string lease_id;
        log_offset fencing_token = 0;
        std::int64_t units = 0;
        std::string team;
        boot_time lease_end{}; ///< by this node's clock, on the safe side
        boot_time next_call{};
        boot_time settle_end{}; ///< when to stop waiting for a usage report
        std::string change_id;  ///< of the record that is awaited
        bool start_sent = false;
        bool evicting = false; ///< its VM is to be drained: checkpoint, else stop and queue again
        bool over = false;     ///< nothing is left to do; the next `tick` lets go of it
    };

    struct worker_record {
        int failures = 0; ///< in a row
        boot_time quarantined_until{};
    };

    void update_workers(boot_time now, const fleet_state& state);
    [[nodiscard]] bool accepts_starts(const fleet_state& state, std::string_view vm) const;
    [[nodiscard]] std::set<std::string_view> revoked_keys(const fleet_state& state) const;
    void place_queued(boot_time now, const fleet_state& state, std::vector<task_action>& actions);
    void drive(boot_time now, const fleet_state& state, const std::string& id, held_task& held,
               std::vector<task_action>& actions);
    [[nodiscard]] bool may_start(boot_time now, const fleet_state& state, const task_info& task,
                                 const held_task& holder) const;
    void start_recorded(boot_time now, const fleet_state& state, const task_info& task, held_task& holder,
                        std::vector<task_action>& actions);
    void drive_lease(boot_time now, const fleet_state& state, const task_info& task, held_task& holder,
                     std::vector<task_action>& actions);
    void record_phase(const std::string& id, held_task& held, task_phase phase, std::string detail);
    void settle(boot_time now, held_task& holder);
    void take_report(boot_time now, const task_info& task, held_task& holder, const task_report& report);
    void lose_task(const task_info& task, held_task& held, std::string detail);
    void note_worker_result(boot_time now, const std::string& vm, bool failed);
    void let_go(boot_time now, const std::string& id);
    [[nodiscard]] std::vector<const task_info*> queued_in_order(const fleet_state& state) const;
    [[nodiscard]] const task_info* owned_task(const fleet_state& state, std::string_view id) const;

    core_reader core;
    unit_account_reference units;
    task_manager_options options;
    std::mt19937_64 random;
    task_placement placement;
    std::map<std::string, held_task, std::less<>> held;
    std::map<std::string, int, std::less<>> attempts;
    std::map<std::string, worker_record, std::less<>> workers;
    std::set<std::string, std::less<>> placement_workers; ///< VMs that `placement` knows
    std::set<std::string, std::less<>> leaving;           ///< VMs that the platform takes away
    std::vector<task_action> pending;                     ///< actions that an input caused, for the next tick
    std::shared_ptr<const fleet_state> workers_from;      ///< state whose VM table `placement` follows
    boot_time next_usage{};
    std::int64_t started = 0;
    std::int64_t lost = 0;
    std::int64_t requeued = 0;
    bool stopping = false;
};

} // namespace hornbeamrail
