#pragma once

// Internal to src/scheduler: the state of `scheduler`. Each scheduler_*.cpp file implements one subject.

#include "policy/account_limit.hpp"
#include "policy/account_share.hpp"
#include "policy/duration_estimates.hpp"
#include "policy/job_order.hpp"
#include "policy/near_wait.hpp"
#include "policy/pool_moves.hpp"
#include "policy/vm_plan.hpp"
#include "policy/worker_choice.hpp"
#include "protocol/append_window.hpp"
#include "scheduler/scheduler.hpp"
#include "scheduler/scheduler_records.hpp"
#include "scheduler/scheduler_timings.hpp"
#include "scheduler/worker_control.hpp"
#include "state/progress_records.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace hornbeamrail {

/// Recent demand for one pool.
struct pool_demand_view {
    arrival_rate arrivals;
    std::deque<std::pair<boot_time, std::int32_t>> needs; ///< VMs needed at each plan within `need_window`
};

/// Permission to start tasks of one step on one worker.
struct issued_ticket {
    std::string ticket;
    boot_time valid_until{};
};

/// Placement advice for one step: the workers that may run it, with their tickets.
struct step_advice {
    std::map<std::string, issued_ticket> tickets; ///< by worker
    boot_time requested{};                        ///< when the latest request was sent
    bool in_flight = false;
    /// Workers without a ticket in an answer. Later requests do not name them, because the answer for them
    /// does not change.
    std::set<std::string> refused;
};

/// Progress of one maintenance wave.
struct wave_progress {
    wave_request request;
    std::set<std::string> ordered;  ///< VMs whose maintenance has begun or that are not of this wave
    std::set<std::string> draining; ///< VMs that receive no new tasks because their maintenance is next
    std::map<std::string, boot_time> may_drain_from; ///< VMs that gave way to waiting jobs
    std::set<std::string> blocked;                   ///< VMs with tasks that may never be ended
    /// VMs that are down for maintenance, with the time of the order.
    std::map<std::string, boot_time> in_maintenance;
    boot_time started_at{};
    bool completed = false;
    bool reported_running = false;
    bool reported_completed = false;
    bool report_in_flight = false;
};

/// A rack in which tasks of one pool want a place.
struct near_rack {
    near_places places;
    double load = 0; ///< see `rack_claims::load`
};

/// What tasks of one pool want of a rack.
struct wanted_rack {
    rack_claims claims;
    boot_time wanted_until{}; ///< tasks without data there use other racks until then
};

/// By name of the rack.
using wanted_racks_of_pool = std::map<std::string, wanted_rack, std::less<>>;

/// The places that the tasks of one step want.
struct near_target {
    std::string_view rack;              ///< of their data or their group; empty: the tasks do not wait
    std::chrono::milliseconds work{0};  ///< expected duration of a task there
    std::chrono::milliseconds slack{0}; ///< of the occurrence; see `job_rank`
};

/// Rack for the tasks of a step that are to run together.
struct group_choice {
    std::string_view rack; ///< empty: none
    bool waits = false;    ///< for room in `rack` for all of them
};

/// The workers of a pool that receive new tasks, those without good standing included; `views` and `controls`
/// have the same order.
struct accepting_workers {
    std::vector<worker_view> views;
    std::vector<worker_control*> controls;
    std::vector<failing_worker> failing; ///< those that are avoided, until their standing is set
    /// Need of a task that any worker may run, for which none had room. Room only gets smaller while tasks
    /// are placed, so tasks with the same need or more have none either.
    std::optional<resources> too_large;
    /// Racks that tasks want, by name, as expected at this dispatch; filled as they are asked for.
    std::map<std::string, near_rack, std::less<>> near_racks;
};

/// A long-running task that has waited for a worker longer than `overdue_after`.
struct overdue_task {
    task_id id;
    const job_progress* job = nullptr;
    boot_time waiting_since{};
};

/// An occurrence that has tasks ready to start, with its rank.
struct pending_occurrence {
    job_rank rank;
    job_progress* job = nullptr;
    std::int32_t occurrence = 0;
    std::int64_t least_millicores = 0; ///< see `occurrence_summary`
};

/// The waiting tasks of a pool and the workers for them.
struct pool_dispatch {
    accepting_workers candidates;
    std::int64_t largest_millicores = 0; ///< largest CPU that a worker has free
    std::vector<pending_occurrence> pending;
};

struct scheduler::impl {
    explicit impl(scheduler_options settings)
        : options(std::move(settings)), commit_window(bounded_appends(this->options.limits.appends)),
          publish_window(bounded_appends(this->options.limits.appends)) {}

    /// @return limits of the scheduler's appends, of which one at a time is in flight
    static append_limits bounded_appends(append_limits limits) {
        constexpr std::size_t largest_append_bytes = 1024 * 1024;
        limits.max_append_bytes = std::min(limits.max_append_bytes, largest_append_bytes);
        return limits;
    }

    // scheduler.cpp: the records of the log at the begin of a term
    /// Applies the parts of progress that the main records count; others are dropped.
    void apply_loaded_parts();

    // scheduler_jobs.cpp: jobs and ended tasks
    void add_job(std::int32_t partition, const keyed_record& record, boot_time now);
    /// @param partition of the jobs topic that holds the cancellation
    void cancel_job(const std::string& id, std::int32_t partition, boot_time now);
    /// Makes the job final. Its records are kept until its last run has ended.
    void finish_job(job_progress& job, job_state state, boot_time now);
    void stop_all_runs(job_progress& job, boot_time now);
    void apply_end(worker_control& worker, const ended_task& ended, boot_time now);
    void finish_run(job_progress& job, const task_id& id, task_progress& task, const ended_task& ended,
                    boot_time now);
    /// Sets the task to waiting, so that it is placed again; it does not start before @p retry_at.
    void requeue(job_progress& job, const task_id& id, task_progress& task, boot_time retry_at);
    /// Marks all members of the gang's run done.
    void complete_gang(job_progress& job, const task_id& id, std::int64_t run);
    /// Closes finished occurrences and finishes the job if it is done.
    void advance_job(job_progress& job, boot_time now);
    void mark_dirty(const job_progress& job) { this->dirty_jobs.insert(job.spec.id); }
    void set_state(job_progress& job, job_state state);
    /// @return the job, or null
    job_progress* find_job(const std::string& id);

    // scheduler_records.cpp: records in the log
    /// Appends the pending records to the progress topic; one batch is in flight at a time.
    void commit(boot_time now);
    /// Adds the progress of the dirty jobs to the batch.
    void encode_dirty_jobs(commit_batch& batch);
    /// Appends the next records of the batch in flight, or runs its effects when all are in the log.
    void append_next_part(boot_time now);
    /// Leaves out the record that the log does not accept, and the rest of its job.
    void leave_out_record(boot_time now);
    /// @return whether the progress of the job is not to be appended yet because the log has rejected it
    [[nodiscard]] bool is_set_aside(const std::string& job, boot_time now) const;
    /// Takes the effects of jobs that are set aside out of the batch.
    void withhold_effects(commit_batch& batch, boot_time now);
    /// Adds jobs whose progress is to be appended again, with their effects, to the batch.
    void retry_unrecorded_jobs(commit_batch& batch, boot_time now);
    /// @return the task of a start that was not ordered; nullptr if the start no longer counts
    task_progress* find_unsent_start(const recorded_start& start);
    /// Removes the placement of a start that was not ordered.
    /// @return its task, still placed; nullptr if the start no longer counts
    task_progress* remove_unsent_start(const recorded_start& start);
    /// Withdraws a start that was not ordered; the task is placed again after @p retry_at.
    void withdraw_start(const recorded_start& start, boot_time retry_at);
    /// Sends the start orders of the batch, releases its ends for acknowledgement and its job states for
    /// publication.
    void run_effects(commit_batch& batch, boot_time now);
    /// Appends the pending job states to the states topic.
    void publish(boot_time now);
    void note_final_state_recorded(const std::string& id);
    /// Drops the records of final jobs, and their states after `site_limits::final_state_retention`. A state
    /// is kept while the job's record may remain: without it a successor would run the job again.
    void drop_finished(boot_time now);
    /// @return whether a successor needs no record of the final job besides its state
    [[nodiscard]] bool may_drop(const std::string& id) const;
    void note_open_cancellation(const std::string& id, std::int32_t partition, boot_time now);
    /// Drops the records of cancellations that no job has followed.
    void drop_open_cancellations(boot_time now);
    /// Orders the drops of the next job records of one partition.
    void order_drop(std::int32_t partition, partition_cleanup& cleanup);
    /// Ends the drop in flight of a partition. The progress records are dropped if the job records are.
    void end_drop(partition_cleanup& cleanup, bool done);

    // scheduler_holds.cpp: leases, fences, holds
    /// @return fence of the orders to the worker; combines the term and `fence_increments`
    [[nodiscard]] std::int64_t fence_of(const worker_control& worker) const;
    /// Raises the fence of the orders that follow.
    void increment_fence(const worker_control& worker);
    /// @return whether the worker has half of its fences left in this term
    [[nodiscard]] bool has_many_fences(const worker_control& worker) const;
    /// Raises the worker's fence, so that the next hold resolves its unacknowledged orders.
    void raise_fence(worker_control& worker, boot_time now);
    /// @return end of a lease of @p length on the worker's clock; nullopt while its clock is unknown
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    lease_end(const worker_control& worker, std::chrono::milliseconds length, boot_time now) const;
    /// Extends `lease_bound` for a lease of @p length that the known process grants now.
    void extend_lease_bound(worker_control& worker, std::chrono::milliseconds length, boot_time now);
    /// Extends the bounds for an order with a lease of @p length that is sent now.
    void note_lease_sent(worker_control& worker, std::chrono::milliseconds length, boot_time now);
    /// @return whether new leases end before a successor may rely on their expiry
    [[nodiscard]] bool may_extend_leases(boot_time now) const;
    /// @return time between the answer to a hold and the next hold: longer on a node that is behind, so that
    /// one answer lists the ends of more tasks
    [[nodiscard]] std::chrono::milliseconds hold_pause() const;
    /// @return when the next hold is due
    [[nodiscard]] boot_time next_hold_at(const worker_control& worker, boot_time now) const;
    /// Sends the holds that are due.
    void hold_workers(boot_time now);
    void send_hold_order(worker_control& worker, boot_time now);

    // scheduler_reports.cpp: answers to holds
    void note_unanswered_hold(worker_control& worker, const hold_order& order, const hold_report& report,
                              boot_time now);
    void accept_report(worker_control& worker, const hold_order& order, const hold_report& report,
                       boot_time now);
    /// Compares the runs in the report with the placements: stops unknown runs, requeues missing ones.
    void reconcile(worker_control& worker, const hold_order& order, const hold_report& report, boot_time now);

    // scheduler_loss.cpp: workers that do not answer
    /// @return whether a run of the task may exist in spite of the evidence, or may begin later
    [[nodiscard]] bool may_run_despite(const worker_control& worker, const task_id& id,
                                       const placement& placed, loss_evidence evidence, boot_time now) const;
    /// @return whether a task of the job is placed on a worker that answers
    [[nodiscard]] bool has_task_at_work(const std::string& id) const;
    /// Requeues the tasks of the worker, except those that may run in spite of the evidence, and removes the
    /// worker if no task is left.
    /// @return whether it was removed
    bool declare_worker_lost(const std::string& id, const worker_loss& loss, boot_time now);
    /// @return what shows that the runs of the worker have ended; absent if nothing does
    [[nodiscard]] std::optional<worker_loss> find_loss(const std::string& id, const worker_control& worker,
                                                       boot_time now) const;
    /// Declares unresponsive workers lost once the VM list or the end of their leases proves it.
    void check_unresponsive_workers(boot_time now);
    void request_vm_list(boot_time now);
    /// Declares a worker lost whose VM is in a move or in maintenance, or runs another worker.
    /// @param before VM of each worker in the previous list
    void declare_replaced_workers_lost(const std::map<std::string, std::string>& before, boot_time now);

    // scheduler_workers.cpp: entries, restarts, placements
    /// Sets the worker to listed.
    static void mark_listed(worker_control& worker, boot_time now);
    /// Drops `doubtful_entry` once a process has answered a hold that was sent after it arrived. The answer
    /// to an earlier hold may be of a process that has ended.
    static void drop_doubtful_entry(worker_control& worker);
    /// Continues with the process of `doubtful_entry`, which is present.
    void accept_doubtful_entry(worker_control& worker, boot_time now);
    /// Continues with a new process of the worker. Runs of the earlier process have ended; the new one may
    /// have accepted orders that were meant for it, so the next hold decides which placements exist.
    /// @param entry of the new process
    void restart_worker(worker_control& worker, const worker_entry& entry, boot_time now);
    /// Forgets which ends are to be acknowledged to the worker: the numbers belong to one process.
    void drop_acknowledgements(const std::string& worker);
    placement* add_placement(worker_control& worker, const job_progress& job, const task_id& id,
                             std::int64_t run, boot_time now);
    /// Changes the stage of the placement and counts the starts in flight.
    void set_stage(placement& placed, start_stage stage, boot_time now);
    void remove_placement(worker_control& worker, const task_id& id, std::string_view account);
    /// Counts a failed run; the worker is avoided for a while after repeated failures.
    void count_failure(worker_control& worker, boot_time now);
    /// Counts a refused start; the worker receives no new tasks for a while, longer with each refusal.
    void count_refusal(worker_control& worker, boot_time now);
    void send_stop_order(worker_control& worker, const task_id& task, std::int64_t run);

    // scheduler_dispatch.cpp: order and placement of tasks
    void apply_config(std::shared_ptr<const site_config> updated_config);
    /// @return the queue, or null if the configuration has none of that name
    [[nodiscard]] const queue_config* find_queue(const std::string& name) const;
    /// @return the pools that have workers for new tasks, with the occurrences for which one has CPU
    [[nodiscard]] std::map<std::string_view, pool_dispatch> collect_pending_occurrences(boot_time now,
                                                                                        unix_time clock);
    /// @return the summary of the occurrence, computed if it is absent or old
    const occurrence_summary& summarize(const job_progress& job, occurrence_progress& occurrence,
                                        boot_time now) const;
    /// Opens the occurrences of timed jobs that are due.
    void open_occurrences(unix_time clock);
    void dispatch(boot_time now, unix_time clock);
    /// Places tasks of the pool's occurrences in the order of their ranks.
    void dispatch_pool(pool_dispatch& pool, boot_time now);
    void dispatch_occurrence(const pending_occurrence& item, pool_dispatch& pool, boot_time now);
    /// @return whether as many starts as allowed are being recorded or in flight. Starts that need no record
    /// are not limited.
    [[nodiscard]] bool has_enough_starts() const noexcept {
        return this->starts_in_flight >= this->timings.max_starts_in_flight;
    }
    /// @return false if the account or the workers have no capacity for one of the tasks
    bool place_step(const pending_occurrence& item, std::int32_t step, accepting_workers& candidates,
                    boot_time now);
    /// Places the waiting tasks of the step; while the log is late, only where they are reserved.
    /// @param any_worker_may every worker that has room may run the tasks
    /// @return false if the account or the workers have no capacity for one of the tasks
    bool place_tasks(const pending_occurrence& item, std::int32_t step, placement_request request,
                     accepting_workers& candidates, bool any_worker_may, boot_time now);
    /// @return index in `views` of the worker for a task of the step that is not reserved; nothing if none
    /// can run it, or if it waits for a near one
    [[nodiscard]] std::optional<std::size_t> find_place(const task_id& id, task_progress& task,
                                                        const near_target& target,
                                                        const placement_request& request,
                                                        accepting_workers& candidates, boot_time now);

    // scheduler_reservations.cpp: starts while the log is late
    /// @return whether the log has not answered the append of progress in flight in time
    [[nodiscard]] bool log_is_late(boot_time now) const;
    /// Sets the tasks whose placement is not part of an append yet to waiting. While the log is late they
    /// would hold capacity that reserved tasks can use.
    void withdraw_unrecorded_starts();
    /// Reserves a worker for each task of the steps that depend on others and have not started: one of those
    /// that run tasks of step @p number. The reservations are recorded with the placement of that step.
    void reserve_later_steps(job_progress& job, occurrence_progress& occurrence, std::int32_t number);
    /// Removes the reservations of the job that are not in the log.
    void drop_unrecorded_reservations(job_progress& job) const;
    /// @return whether the step may start before its placement is recorded
    [[nodiscard]] bool can_be_reserved(const job_progress& job, const step_spec& step) const;
    /// @return the index in @p views of the worker on which the task is reserved, if the reservation is in
    /// the log and the worker can run the task
    [[nodiscard]] std::optional<std::size_t> find_reserved_worker(const task_progress& task,
                                                                  const std::vector<worker_view>& views,
                                                                  const placement_request& request) const;

    /// Notes that no worker takes a task of the job, and which draining VMs could run it.
    void note_held_back(job_progress& job, const placement_request& request,
                        const std::vector<worker_view>& views, const std::vector<worker_control*>& workers,
                        boot_time now) const;
    /// @return whether the job has been held back for `longest_hold_back` in a pool that has room
    [[nodiscard]] bool is_held_back_long(const job_progress& job, boot_time now) const;
    /// Updates since when workers hold back jobs, from what the dispatch has found.
    void update_held_back();
    /// Chooses the worker for one task, which may return to the worker where it failed if no other can run
    /// it.
    [[nodiscard]] std::optional<std::size_t> find_worker(const task_progress& task,
                                                         const std::vector<worker_view>& views,
                                                         placement_request request, boot_time now) const;

    /// Places all tasks of the step or none.
    bool place_gang(const pending_occurrence& item, std::int32_t step, accepting_workers& candidates,
                    boot_time now);
    /// Records the placement; the start order follows once the record is in the log.
    void place(job_progress& job, const task_id& id, task_progress& task, worker_control& worker,
               std::int64_t run, boot_time now);
    /// Places the task where its reservation, which is in the log, permits it, and sends the start order.
    void place_reserved(job_progress& job, const task_id& id, task_progress& task, worker_control& worker,
                        boot_time now);
    /// Sets the task to placed and adds it to the worker.
    placement& assign(job_progress& job, const task_id& id, task_progress& task, worker_control& worker,
                      std::int64_t run, boot_time now);
    /// @return number of the account's starts that are being recorded or may be executed later
    [[nodiscard]] std::int32_t count_open_starts(const std::string& account) const;
    /// @param placed number of tasks of the start that are placed, so that they count as used already
    /// @return whether the upper limit of the job's account permits the start
    [[nodiscard]] bool is_within_upper_limit(const job_progress& job, limited_start start,
                                             std::int32_t placed = 0) const;
    /// @return whether the upper limit permits the start of the task, which is placed and was not ordered; of
    /// all members if the task is of a gang
    [[nodiscard]] bool is_still_within_upper_limit(job_progress& job, const task_id& id) const;
    /// @return the first reason for which the worker receives no new tasks, in the order of `worker_block`
    [[nodiscard]] worker_block find_block(const worker_control& worker, boot_time now) const;
    [[nodiscard]] accepting_workers find_accepting_workers(const std::string& pool, boot_time now);
    /// Adds the worker unless it receives no new tasks.
    void add_accepting_worker(accepting_workers& accepting, worker_control& worker, boot_time now);
    /// @return the pools that have workers for new tasks, without occurrences
    [[nodiscard]] std::map<std::string_view, pool_dispatch> find_pools_with_workers(boot_time now);
    /// Sets for each worker how many tasks of the step it has and whether its labels permit the step.
    static void apply_step_rules(accepting_workers& candidates, const step_spec& step,
                                 const task_id& step_id);
    /// @return what the step requires of a worker, without the rules of `apply_step_rules`
    static placement_request make_request(const step_spec& step);
    [[nodiscard]] const std::string& pool_of(const job_progress& job) const;
    /// @return number of failed runs of one task after which the job has failed
    [[nodiscard]] std::int32_t attempts_of(const job_progress& job) const;
    [[nodiscard]] job_rank rank_of(const job_progress& job, std::int32_t occurrence,
                                   const occurrence_summary& summary, unix_time clock) const;

    // scheduler_near.cpp: places near the data or the group of a task
    /// @return whether a task of the step is slower away from its data or group, as far as waits consider it
    [[nodiscard]] bool is_near_sensitive(const step_spec& step) const;
    /// @return whether a wait for a near place may begin or go on
    [[nodiscard]] bool may_wait_near(const pending_occurrence& item, const step_spec& step,
                                     boot_time now) const;
    /// @param group_rack in which tasks of the step run already; empty: none
    [[nodiscard]] near_target find_near_target(const pending_occurrence& item, std::int32_t step,
                                               std::string_view group_rack, boot_time now) const;
    /// Chooses the rack for the tasks of a step that run slower when they are spread, and decides whether
    /// they wait for room in it.
    [[nodiscard]] group_choice choose_group_rack(const pending_occurrence& item, std::int32_t step,
                                                 const placement_request& request,
                                                 accepting_workers& candidates, boot_time now);
    /// @return the rack in which all placed tasks of the step are, empty if they are in several; nothing if
    /// none is placed
    [[nodiscard]] std::optional<std::string_view> rack_of_placed(const step_progress& step) const;
    /// @return what is expected of the rack, computed once in each dispatch
    near_rack& find_near_rack(const job_progress& job, std::string_view rack, accepting_workers& candidates,
                              boot_time now);
    /// @return ends of the tasks on the workers of the rack that are expected within the longest wait
    [[nodiscard]] std::vector<expected_end> find_expected_ends(const std::vector<std::size_t>& members,
                                                               const std::vector<worker_control*>& controls,
                                                               boot_time now) const;
    /// Decides for one task that a far worker could run; counts it at the rack if it waits.
    /// @return whether it waits
    bool waits_near(const task_id& id, task_progress& task, const near_target& target,
                    const placement_request& request, accepting_workers& candidates, boot_time now);
    /// Decides whether a task, or a group that its first task stands for, waits, and logs a change.
    /// @param until expected time until a place is free
    near_wait_decision decide_near(const task_id& id, const task_progress& task, const near_target& target,
                                   const near_rack& rack, std::optional<std::chrono::milliseconds> until,
                                   boot_time now);
    /// Sets that the task waits or no longer does.
    void note_near_decision(task_progress& task, bool waits, boot_time now);
    /// Counts the placement of a task, and the end of its wait.
    void count_near_placement(job_progress& job, const task_id& id, task_progress& task,
                              const worker_control& worker, boot_time now);
    /// @return the factor by which the task runs slower on the worker than near its data
    [[nodiscard]] double slowdown_on(const step_spec& step, const worker_control& worker) const;
    /// Counts what the steps of a new job claim of the racks of their data.
    void count_rack_claims(const job_progress& job, boot_time now);
    [[nodiscard]] bool is_rack_wanted(const std::string& pool, std::string_view rack, boot_time now) const;
    /// @return the racks that tasks of the pool want
    [[nodiscard]] std::set<std::string> find_wanted_racks(const std::string& pool, boot_time now) const;
    /// Forgets the racks that nothing has wanted for a while.
    void forget_idle_racks(boot_time now);

    // scheduler_orders.cpp: orders for single tasks
    /// @return why the start, which still counts and was not ordered, must not be ordered any more; empty if
    /// it may be
    [[nodiscard]] std::string_view find_reason_to_withdraw(const recorded_start& start);
    /// Withdraws the starts of the batch, the last ones first, that the limits of their accounts or their
    /// workers no longer permit: these may have changed while the log held the append back. A gang is
    /// withdrawn as a whole.
    void withdraw_outdated_starts(const commit_batch& batch, boot_time now);
    void send_start_order(worker_control& worker, const task_id& id, placement& placed, boot_time now);
    /// Paces the best-effort tasks of workers that also run latency-sensitive tasks: a third of the last pace
    /// while one of these approaches its target, else 10 percentage points more, up to full speed.
    void pace_best_effort_tasks(boot_time now);

    // scheduler_waiting.cpp: long-running tasks that wait for a worker
    /// Logs the long-running tasks that have waited too long, with what keeps the workers from running them.
    void report_overdue_tasks(boot_time now);
    /// @return whether the task is a long-running one that has waited for `overdue_after`
    [[nodiscard]] bool is_overdue(const task_id& task, boot_time now) const;
    /// Updates `waiting_since` and returns the tasks that are overdue, the longest wait first.
    std::vector<overdue_task> find_overdue_tasks(boot_time now);
    /// Writes one log line about an overdue task.
    void log_overdue_task(const overdue_task& overdue, std::size_t total, boot_time now);

    // scheduler_advice.cpp: queues that need placement advice
    /// Drops the tickets that have expired, and requests advice if none is left.
    const step_advice& get_advice(const task_id& step, const accepting_workers& candidates, boot_time now);
    /// Requests advice about the workers that the latest answers do not cover, unless it was requested a
    /// moment ago or too many requests are in flight. Names only workers that may run tasks of the step once
    /// they have room.
    /// @return whether an answer is to come
    bool request_more_advice(const task_id& step, const accepting_workers& candidates, boot_time now);
    void drop_advice(const std::string& job);

    // scheduler_moves.cpp: moves of VMs between pools
    /// Adds a new job to the demand of its pool, unless it is beyond the share of its account.
    void count_arrival(job_progress& job, boot_time now);
    /// @return whether a job is known that has tasks which end by themselves
    [[nodiscard]] bool has_batch_jobs() const;
    /// Counts the jobs that the log held when the term began as arrivals at the time of their submission.
    void count_known_arrivals(boot_time now);
    void plan_moves(boot_time now);
    [[nodiscard]] std::map<std::string, pool_load> compute_pool_loads(boot_time now);
    void update_need(pool_need& entry, const pool_load& load, boot_time now);
    /// @return whether the VM is up and its worker has received no tasks for `unserved_after`, because it is
    /// not listed, does not answer or refuses the fence
    bool is_unserved(const vm_entry& vm, boot_time now);
    [[nodiscard]] pool_need compute_need(const worker_pool_config& pool, const pool_load& load,
                                         std::vector<movable_vm>& movable, boot_time now);

    // scheduler_vms.cpp: maintenance waves
    /// @return when this node must stop ordering VMs, unless its lease is renewed before
    [[nodiscard]] boot_time vm_orders_allowed_until() const;
    void plan_waves(boot_time now);
    void plan_wave(wave_progress& wave, boot_time now);
    void record_wave(const wave_progress& wave);
    /// @return whether the record is that of a wave
    bool load_wave(const keyed_record& record);
    /// @param id the step; `index` is not used
    /// @return number of tasks of the step that are not ready or are about to end
    [[nodiscard]] std::int32_t count_unavailable_tasks(job_progress& job, const task_id& id) const;
    /// @return whether the latest report shows the long-running task past its startup
    [[nodiscard]] bool is_ready(const task_id& id, const task_progress& task) const;
    /// @return whether the availability limits of all long-running tasks on the worker permit ending them now
    [[nodiscard]] bool can_end_tasks_of(const worker_control& worker);
    /// @return a job with a long-running task on the worker that may not be unavailable at any time; nullptr
    /// if none
    [[nodiscard]] const job_progress* find_job_that_never_ends(const worker_control& worker);
    /// @return whether the VM may receive no tasks until its maintenance: it can follow, and no job waits for
    /// it
    [[nodiscard]] bool may_drain(wave_progress& wave, const vm_entry& vm, const worker_control& worker,
                                 boot_time now);
    /// @return whether at least half of the CPU of the pool's workers is in use
    [[nodiscard]] bool is_half_used(const std::string& pool) const;
    /// Removes the VMs whose maintenance has ended, and adds those that a previous scheduler has ordered.
    void update_maintained_vms(wave_progress& wave, boot_time now);
    /// @return whether another worker of the pool could run the task now
    [[nodiscard]] bool has_room_elsewhere(const worker_control& worker, const step_spec& step,
                                          const task_id& task, boot_time now);
    /// Stops one long-running task on a worker that is to be maintained if the worker runs more tasks of its
    /// step than may be unavailable at once. The task restarts on another worker.
    void spread_tasks_of(worker_control& worker, boot_time now);
    /// @return whether the VM gets no new tasks because its maintenance is next
    [[nodiscard]] bool is_next_in_wave(const std::string& vm) const;
    /// @return whether an order to the VM is in flight, or its move or maintenance has not ended
    [[nodiscard]] bool has_pending_vm_order(const std::string& vm) const;
    /// @return whether the worker answers and does not drain, and its VM is up without a pending order
    [[nodiscard]] bool is_stable(const std::string& worker) const;

    /// Queues an action for the driver; `tick` returns it.
    template <class Action>
    void add_action(Action action) {
        this->actions.emplace_back(std::move(action));
    }

    scheduler_options options;
    scheduler_timings timings;
    std::int64_t term = 0; ///< 0 while another node is the scheduler
    bool loaded = false;   ///< the records of the log have been applied
    /// Parts of the progress that were read; applied once the main records are known.
    std::vector<keyed_record> loaded_parts;
    bool stopping = false; ///< the lease is about to be released
    boot_time term_begin{};
    /// When the latest request was sent whose answer showed that no successor had begun.
    boot_time term_confirmed{};
    boot_time lease_renewed{}; ///< when the last successful renewal was sent
    std::vector<scheduler_action> actions;

    std::shared_ptr<const site_config> config = std::make_shared<site_config>();
    std::unordered_map<std::string, const queue_config*> queues; ///< of `config`, by name
    std::set<std::string> zones_out;

    /// Jobs that are not final or still have runs, by id.
    std::unordered_map<std::string, std::unique_ptr<job_progress>> jobs;
    std::unordered_map<std::string, final_job> finals; ///< final jobs whose state is still kept, by id
    std::unordered_map<std::string, open_cancellation> open_cancellations; ///< by job id
    std::unordered_map<std::string, resources> account_use; ///< needs of placed tasks, by account
    duration_estimates durations;                           ///< of tasks that have completed in this term

    std::map<std::string, worker_control> workers;
    std::int64_t latest_hold = 0; ///< number of the latest hold; goes on in the next term
    /// How often the fence of a worker was raised within the term, by worker id. Kept when the worker is
    /// removed: its process may come back, and it refuses fences below the highest that it has seen.
    std::unordered_map<std::string, std::int32_t> fence_increments;
    std::map<task_id, step_advice> advice; ///< by step; the index of the task is 0
    std::int32_t advice_in_flight = 0;
    std::optional<boot_time>
        advice_allowed_at; ///< a search for workers is due then, because a step lacks advice

    std::set<std::string> dirty_jobs; ///< jobs whose progress must be written
    std::map<std::string, unrecorded_job> unrecorded_jobs;
    append_window commit_window;
    commit_batch next_batch;
    std::optional<commit_batch> batch_in_flight;
    boot_time last_commit{};
    std::int64_t commit_sequence = 0;
    std::int64_t commits_begun = 0;    ///< number of the latest commit
    std::int64_t commits_recorded = 0; ///< number of the latest commit whose records are all in the log

    std::deque<keyed_record> states_to_publish;
    std::size_t states_in_flight = 0; ///< leading items of `states_to_publish`
    append_window publish_window;
    std::int64_t publish_sequence = 0;
    std::vector<keyed_record> rejected_states; ///< to be published again later
    boot_time rejected_states_retry_at{};

    std::map<std::int32_t, partition_cleanup> cleanups; ///< by partition of the jobs topic
    boot_time last_cleanup{};
    std::int64_t drop_sequence = 0; ///< of the latest drop; goes on in the next term

    std::map<task_id, boot_time> waiting_since; ///< long-running tasks that wait in a released step
    std::int64_t overdue_tasks = 0;             ///< as of the latest report
    boot_time last_overdue_report{};

    std::map<std::string, wanted_racks_of_pool, std::less<>> wanted_racks; ///< by pool
    std::optional<boot_time> near_decision_due; ///< when the next wait for a near place is decided anew
    near_wait_figures near_figures;

    bool dispatch_due = false; ///< something changed that may let a task start
    boot_time last_dispatch{};
    std::int64_t ranked_occurrences = 0;
    std::string first_dispatched_pool; ///< of the latest dispatch
    std::int32_t starts_in_flight = 0; ///< placements in stage `recording` or `sent`
    std::set<std::string> timed_jobs;  ///< ids of the jobs with occurrences
    boot_time last_worker_check{};
    std::chrono::milliseconds loop_delay{0}; ///< see `set_loop_delay`

    std::map<std::string, vm_entry> vms; ///< latest list, by id
    std::map<std::string, std::string> vm_of_worker;
    bool vm_list_in_flight = false;
    boot_time vm_list_requested{};                   ///< when the latest read was sent
    boot_time vm_list_as_of{};                       ///< when the read that returned the latest list was sent
    std::map<std::string, boot_time> unserved_since; ///< VMs that are up without a usable worker
    std::map<std::int64_t, wave_progress> waves;
    std::map<std::string, boot_time> vm_orders;                        ///< VMs with an order in flight
    std::map<std::string, std::pair<std::string, boot_time>> vm_moves; ///< target pool and time of the order
    account_share shares;
    std::map<std::string, pool_demand_view> demand; ///< by pool
    boot_time last_move_plan{};
    boot_time last_wave_plan{};
    boot_time last_demand_log{};
    boot_time releases_allowed_from{}; ///< pools release no VMs before
};

} // namespace hornbeamrail
