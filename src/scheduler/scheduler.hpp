#pragma once

#include "protocol/platform.hpp"
#include "protocol/platform_port.hpp"
#include "protocol/site_document.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hornbeamrail {

/// Appends to the progress topic. The driver repeats the append until the log answers, and reports the result
/// with `on_committed` or `on_commit_rejected`.
struct commit_progress {
    std::int64_t sequence = 0;
    std::vector<keyed_record> records;
};

/// Appends to the states topic, like `commit_progress`; the driver reports the result with `on_published` or
/// `on_publish_rejected`.
struct publish_states {
    std::int64_t sequence = 0;
    std::vector<keyed_record> records;
};

/// Drops records from a partition of the jobs topic; the driver reports the result with `on_records_dropped`.
struct drop_job_records {
    std::int64_t sequence = 0;
    std::int32_t partition = 0;
    std::vector<keyed_record> records;
};

/// Orders a worker to start a run; the driver reports the result with `on_start_answer`.
struct send_start {
    worker_target worker;
    start_order order;
};

/// Orders a worker to stop a run; the driver reports the result with `on_stop_answer`.
struct send_stop {
    worker_target worker;
    stop_order order;
};

/// Limits the speed of a run; the driver reports the result with `on_pace_answer`.
struct send_pace {
    worker_target worker;
    pace_order order;
};

/// Renews the leases of all tasks on a worker and long-polls for ended tasks; the driver reports the result
/// with `on_hold_report`.
struct send_hold {
    worker_target worker;
    hold_order order;
};

/// Reads the whole list of VMs; the driver reports the result with `on_vm_list` or `on_vm_list_failed`.
struct read_vm_list {};

/// Moves a VM to another pool; the driver reports the result with `on_vm_order`.
struct order_move {
    vm_order order;
};

/// Starts the maintenance of a VM; the driver reports the result with `on_vm_order`.
struct order_maintenance {
    vm_order order;
};

/// Appends the progress of a wave to the reports topic; the driver reports the result with `on_reported`.
struct write_report {
    std::int64_t wave = 0;
    bool completed = false;
};

/// Requests placement advice for a step; the driver reports the result with `on_advice`.
struct request_advice {
    advice_call call;
};

/// Action that `scheduler::tick` returns for the driver to execute.
using scheduler_action =
    std::variant<commit_progress, publish_states, drop_job_records, send_start, send_stop, send_pace,
                 send_hold, read_vm_list, order_move, order_maintenance, write_report, request_advice>;

/// Identity of the node and limits of the site.
struct scheduler_options {
    std::string node_id;
    site_limits limits;
    /// Fences of each worker in one term; the fences of a later term are all higher. The same on all nodes.
    std::int64_t fences_per_term = 100000;
};

/// Number of workers that receive no new tasks for one reason.
struct blocked_workers {
    std::string_view reason;
    std::int64_t workers = 0;
};

/// Placements of tasks that run slower away from their data or group, and their waits, in this term.
struct near_wait_figures {
    std::int64_t near_placements = 0;
    std::int64_t far_placements = 0;
    std::int64_t waits_begun = 0;
    std::int64_t waits_given_up = 0;     ///< waits that ended with a far placement
    std::chrono::milliseconds waited{0}; ///< sum of all waits that have ended
};

/// Figures for the metrics of the process.
struct scheduler_statistics {
    std::int64_t overdue_tasks = 0; ///< long-running tasks that have waited too long for a worker
    std::int64_t ranked_occurrences =
        0; ///< number of ranks computed in this term, the work of all dispatches
    std::vector<blocked_workers> blocked;
    near_wait_figures near;
};

/// Schedules the tasks of the whole site: their order and placement, the leases of workers, VM moves and
/// maintenance waves. One node at a time holds the scheduler's lease; its term fences every order and record.
///
/// A start is recorded in the progress topic before the order is sent, so a successor knows every run that
/// may exist. The end of a run is recorded before it is acknowledged to the worker, which keeps it until
/// then.
///
/// Does no I/O: the inputs carry the time, and `tick` returns the actions for the driver. Not thread-safe.
class scheduler {
public:
    explicit scheduler(scheduler_options options);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// Begins a term. Drops all state except the configuration, the zones out of service and the requested
    /// waves.
    /// @param term term of the lease; higher than that of every predecessor
    void begin_term(std::int64_t term, boot_time now);

    /// Stops ordering VMs, before the lease is released: the fence of a VM does not reject the orders of this
    /// term before the first order of the next one.
    void begin_stop();

    /// @return whether the answer to an order to a VM is outstanding
    [[nodiscard]] bool has_vm_orders_in_flight() const noexcept;

    /// Ends the term: `tick` returns no more actions.
    void end_term();

    /// @return the current term; 0 outside a term
    [[nodiscard]] std::int64_t term() const noexcept;

    /// Loads a record that the jobs topic holds when the term begins.
    /// @param partition partition of the jobs topic
    void load_job(std::int32_t partition, const keyed_record& record);

    /// Loads a record of the progress topic, after all jobs. An unreadable record is logged and ignored.
    void load_progress(const keyed_record& record);

    /// Loads a record of the states topic, after all jobs.
    void load_state(const keyed_record& record);

    /// Ends loading: adopts the runs in the records; `tick` returns actions from now on.
    void finish_load(boot_time now);

    /// Applies a record of the jobs topic that was read during the term. Idempotent; a cancellation may come
    /// before its job.
    void on_job_record(std::int32_t partition, const keyed_record& record, boot_time now);

    /// Replaces the configuration of queues, pools and accounts.
    /// @param config not null
    void set_config(std::shared_ptr<const site_config> config);

    /// @param zones availability zones that are out of service: their workers receive no new tasks
    void set_zones_out(std::set<std::string> zones);

    /// Replaces the list of requested waves. Waves already known keep their progress.
    void set_waves(std::vector<wave_request> waves);

    /// Adds or updates a worker. If the entry is of another worker instance, the tasks of the previous
    /// instance are requeued.
    /// @param entry the worker's own record in the workers topic
    void on_worker(const worker_entry& entry, boot_time now);

    /// Handles the removal of a worker's entry. A worker with tasks stays until it is declared lost.
    void on_worker_removed(const std::string& id, boot_time now);

    /// Calls `on_worker_removed` for every listed worker that is not in @p ids, after the workers topic was
    /// read from its start.
    void retain_listed_workers(const std::set<std::string>& ids, boot_time now);

    /// Sets the time from which `hold_without_log` counts.
    /// @param confirmed when the latest request was sent whose answer showed that no successor had begun
    void set_term_confirmed(boot_time confirmed);

    /// Sets the time from which `vm_order_window` counts.
    /// @param renewed when the last successful renewal of the scheduler's lease was sent
    void set_lease_renewed(boot_time renewed);

    /// Sets by how much the driver runs behind its timers. Work that is not urgent becomes rarer with it.
    void set_loop_delay(std::chrono::milliseconds delay);

    /// Results of actions. Results that no longer match the current state are ignored.
    /// @{
    void on_committed(std::int64_t sequence, boot_time now);
    void on_published(std::int64_t sequence, boot_time now);

    /// Handles that the log does not accept the records of an action. The next action has other records under
    /// the same sequence number.
    void on_commit_rejected(std::int64_t sequence, std::string_view reason, boot_time now);
    void on_publish_rejected(std::int64_t sequence, std::string_view reason, boot_time now);

    /// @param done whether the log has stored the drop; repeated later if not
    void on_records_dropped(std::int64_t sequence, bool done);

    /// @param completed value in the report
    /// @param done whether the report was appended
    void on_reported(std::int64_t wave, bool completed, bool done);
    void on_start_answer(const worker_target& worker, const start_order& order, const order_answer& answer,
                         boot_time now);
    void on_stop_answer(const worker_target& worker, const stop_order& order, const order_answer& answer,
                        boot_time now);
    void on_pace_answer(const worker_target& worker, const pace_order& order, const order_answer& answer,
                        boot_time now);
    void on_hold_report(const worker_target& worker, const hold_order& order, const hold_report& report,
                        boot_time now);

    /// @param requested_at when the read of the list was sent
    void on_vm_list(const std::vector<vm_entry>& vms, boot_time requested_at, boot_time now);
    void on_vm_list_failed(boot_time now);
    void on_vm_order(const vm_order& order, vm_order_outcome outcome, boot_time now);
    void on_advice(const advice_call& call, const advice_answer& answer, boot_time now);
    /// @}

    /// Runs all work that is due: checks workers, plans, places tasks, commits and renews leases.
    /// @param now monotonic time
    /// @param clock wall-clock time, which decides when occurrences are due
    /// @return actions for the driver, to be started in this order; empty outside a term
    std::vector<scheduler_action> tick(boot_time now, unix_time clock);

    /// @return figures of the current term; zero outside a term
    [[nodiscard]] scheduler_statistics statistics(boot_time now) const;

    /// @return term, workers and jobs as JSON, for the diagnostic dump of the process
    [[nodiscard]] boost::json::value dump(boot_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace hornbeamrail
