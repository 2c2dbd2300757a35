#pragma once

// Internal to src/coordination: the state of `scheduler` and its parts, one .cpp file a subject.

#include "coordination/scheduler.hpp"
#include "policy/account_share.hpp"
#include "policy/job_order.hpp"
#include "policy/pool_moves.hpp"
#include "policy/vm_plan.hpp"
#include "policy/worker_choice.hpp"
#include "state/job_progress.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace hornbeamrail {

/// Timings of the scheduler.
struct scheduler_timings {
    std::chrono::milliseconds hold_wait{900};    ///< a worker waits so long for an end before it answers
    std::chrono::milliseconds hold_pause{20};    ///< between an answer with ends and the next hold
    std::chrono::milliseconds hold_retry{250};   ///< after a hold without answer
    std::chrono::milliseconds start_lease{1500}; ///< an order that arrives later than this is not carried out
    std::chrono::milliseconds commit_interval{10}; ///< between two appends of progress
    std::chrono::milliseconds dispatch_interval{15};
    std::chrono::milliseconds stop_retry{300};
    std::chrono::milliseconds vm_list_interval{400}; ///< while a worker is in doubt or a VM is away
    std::chrono::milliseconds vm_list_idle{3000};    ///< otherwise
    /// A scheduler that has lost the log goes on holding leases for so long. A successor waits it out for
    /// workers that it cannot reach.
    std::chrono::milliseconds hold_without_log{6000};
    /// Fences of VMs do not know of a successor before its first order, so a scheduler that cannot renew its
    /// lease orders none well before another node may claim.
    std::chrono::milliseconds vm_orders_after_renewal{800};
    std::chrono::milliseconds retry_after_refusal{150};
    std::chrono::milliseconds avoid_after_failure{2500}; ///< of a worker that fails what it starts
    std::chrono::milliseconds state_cleanup{1000};       ///< between drops of records that are not needed
    std::chrono::milliseconds advice_retry{300};         ///< after advice that was refused or lost
    std::chrono::milliseconds advice_reserve{300};       ///< a ticket is not used so shortly before its end
    std::chrono::milliseconds move_interval{150};        ///< between two plans of VM moves
    std::chrono::milliseconds wave_interval{60};         ///< between two plans of maintenance
    std::chrono::milliseconds need_window{800};          ///< a pool's need is its highest of so long
    std::chrono::milliseconds move_warmup{3000};         ///< of a term, without releases of VMs
    std::chrono::milliseconds first_warmup{9000};        ///< the same where no job is known yet
    std::chrono::milliseconds move_lead{2200};           ///< from the order of a move to the first task
};

/// Clocks of workers may run slow by this factor.
inline constexpr double slow_clock_factor = 1.02;
inline constexpr std::chrono::milliseconds lease_margin{300};

/// Progress of one order to start a task.
enum class start_stage : std::uint8_t {
    recording,      ///< not in the log yet
    sent,           ///< the order is under way
    unacknowledged, ///< no answer; a hold with a higher fence will tell
    confirmed,
};

/// A run that is placed on a worker.
struct placement {
    std::int64_t run = 0;
    start_stage stage = start_stage::recording;
    std::int64_t fence = 0; ///< of the latest order
    boot_time changed{};    ///< when the stage was entered
    std::string ticket;     ///< of the placement advice
    resources need;
    bool best_effort = false;
    bool latency_sensitive = false;
    bool long_running = false;
    bool beyond_share = false; ///< of a job beyond the share of its account
    bool ready = false;        ///< of a long-running task: the latest report shows it past its startup
    std::int32_t pace = 100;   ///< share of its normal pace that was ordered last
    std::int64_t latest_load = 0;
    boot_time pace_sent{};
};

/// What the scheduler knows of one life of a worker.
struct worker_control {
    worker_entry entry;
    bool listed = false;               ///< its entry is in the workers topic
    boot_time listed_since{};          ///< when `listed` last changed
    std::int32_t fence_increments = 0; ///< raises of the fence within the term; settles orders without answer
    bool confirmed = false;            ///< has answered a hold with the current fence
    bool hold_in_flight = false;
    boot_time hold_sent{};
    std::int64_t hold_fence = 0; ///< of the hold in flight
    boot_time next_hold{};
    std::int64_t applied_end = 0;                   ///< ends up to this number are in the tables
    std::int64_t recorded_end = 0;                  ///< ends up to this number are in the log
    std::optional<std::chrono::milliseconds> clock; ///< its clock at `clock_at`
    boot_time clock_at{};
    boot_time lease_bound{};           ///< from then on every lease that was granted has lapsed
    std::int32_t unanswered_holds = 0; ///< holds in a row
    boot_time unanswered_since{};
    std::int32_t recent_failures = 0;
    boot_time avoid_until{};
    std::map<task_id, placement> tasks;
    resources used;
    std::int32_t latency_sensitive_tasks = 0;
    std::int32_t best_effort_tasks = 0;
    std::int32_t long_running_tasks = 0;

    [[nodiscard]] bool is_unresponsive() const noexcept { return this->unanswered_holds > 0; }
};

/// Effects that wait until the records they rest on are in the log.
struct commit_batch {
    std::int64_t sequence = 0;
    std::vector<keyed_record> records;
    std::vector<std::pair<std::string, task_id>> starts;   ///< worker, task
    std::map<std::string, std::int64_t> ends;              ///< recorded end numbers by worker
    std::vector<std::pair<std::string, job_state>> states; ///< to publish
};

/// Durations of the tasks of a queue, learned from those that ended.
struct duration_estimate {
    double mean_ms = 0;
    double mean_stated_ms = 0;
    std::int64_t samples = 0;

    void learn(std::chrono::milliseconds actual, std::chrono::milliseconds stated);
    [[nodiscard]] std::chrono::milliseconds expect(std::chrono::milliseconds stated) const;
};

/// Demand of one pool.
struct pool_demand_view {
    arrival_rate arrivals;
    std::deque<std::pair<boot_time, std::int32_t>> needs; ///< VMs needed, over the last `need_window`
};

/// Tickets of the workers that may run a step, as the placement advice gave them.
struct step_advice {
    std::map<std::string, std::string> tickets; ///< by worker
    boot_time asked{};
    boot_time valid_until{};
    bool in_flight = false;
    std::set<std::string> refused; ///< workers that the advice left out; its answer does not change
};

/// One maintenance wave.
struct wave_progress {
    wave_request request;
    std::set<std::string> ordered;         ///< VMs whose maintenance has begun
    std::set<std::string> draining;        ///< VMs that get no new tasks, to be maintained next
    std::map<std::string, boot_time> away; ///< VMs that are down for it, with the time of the order
    boot_time begun{};
    bool completed = false;
    bool reported_running = false;
    bool reported_completed = false;
    bool report_in_flight = false;
};

/// An occurrence with tasks that could start, and its rank.
struct waiting_work {
    job_rank rank;
    job_progress* job = nullptr;
    std::int32_t occurrence = 0;
};

struct scheduler::impl {
    explicit impl(scheduler_options settings) : options(std::move(settings)) {}

    // scheduler_jobs.cpp: jobs, ends, records
    void add_job(std::int32_t partition, const keyed_record& record, boot_time now);
    void cancel_job(const std::string& id, boot_time now);
    void finish_job(job_progress& job, job_state state, boot_time now);
    void stop_all_runs(job_progress& job, boot_time now);
    void apply_end(worker_control& worker, const ended_task& ended, boot_time now);
    void finish_run(job_progress& job, const task_id& id, task_progress& task, const ended_task& ended,
                    boot_time now);
    void requeue(job_progress& job, const task_id& id, task_progress& task, boot_time retry_at);
    void complete_gang(job_progress& job, const task_id& id, std::int64_t run);
    void after_progress(job_progress& job, boot_time now);
    void mark_dirty(const job_progress& job) { this->dirty.insert(job.spec.id); }
    void set_state(job_progress& job, job_state state);
    void commit(boot_time now);
    void publish(boot_time now);
    void drop_finished(boot_time now);
    void run_effects(commit_batch& batch, boot_time now);
    job_progress* find_job(const std::string& id);

    // scheduler_workers.cpp: leases, fences, loss of workers
    [[nodiscard]] std::int64_t fence_of(const worker_control& worker) const;
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    lease_end(const worker_control& worker, std::chrono::milliseconds length, boot_time now) const;
    void note_lease(worker_control& worker, std::chrono::milliseconds length, boot_time now);
    void note_clock(worker_control& worker, const std::optional<std::chrono::milliseconds>& clock,
                    boot_time now);
    void hold_workers(boot_time now);
    void accept_report(worker_control& worker, const hold_order& order, const hold_report& report,
                       boot_time now);
    void reconcile(worker_control& worker, const hold_order& order, const hold_report& report, boot_time now);
    void lose_worker(const std::string& id, std::string_view reason, boot_time now);
    void raise_fence(worker_control& worker, boot_time now);
    void send_stop_order(worker_control& worker, const task_id& task, std::int64_t run);
    void check_unresponsive_workers(boot_time now);
    void ask_vm_list(boot_time now);
    placement* add_placement(worker_control& worker, const job_progress& job, const task_id& id,
                             std::int64_t run, boot_time now);
    void remove_placement(worker_control& worker, const task_id& id, std::string_view account);
    void note_failure(worker_control& worker, boot_time now);

    // scheduler_dispatch.cpp: who runs next, and where
    void use_config(std::shared_ptr<const site_config> given);
    /// @return the queue, or null
    [[nodiscard]] const queue_config* find_queue(const std::string& name) const;
    [[nodiscard]] std::map<std::string_view, std::vector<waiting_work>> collect_work(unix_time clock);
    void open_occurrences(unix_time clock);
    void dispatch(boot_time now, unix_time clock);
    void dispatch_pool(const std::string& pool, std::vector<waiting_work> work, boot_time now);
    bool place_step(job_progress& job, occurrence_progress& occurrence, std::int32_t step,
                    std::vector<worker_view>& views, const std::vector<worker_control*>& workers,
                    boot_time now);
    bool place_gang(job_progress& job, occurrence_progress& occurrence, std::int32_t step,
                    std::vector<worker_view>& views, const std::vector<worker_control*>& workers,
                    boot_time now);
    void place(job_progress& job, const task_id& id, task_progress& task, worker_control& worker,
               std::int64_t run, boot_time now);
    [[nodiscard]] bool account_has_room(const std::string& account, const resources& need) const;
    [[nodiscard]] bool takes_new_tasks(const worker_control& worker, boot_time now) const;
    [[nodiscard]] const std::string& pool_of(const job_progress& job) const;
    [[nodiscard]] job_rank rank_of(const job_progress& job, const occurrence_progress& occurrence,
                                   unix_time clock) const;
    void send_start_order(worker_control& worker, const task_id& id, placement& run, boot_time now);
    void pace_best_effort_tasks(boot_time now);

    // scheduler_advice.cpp: queues whose policy allows only some workers
    /// @return the advice for the step, asked for if needed; null where none is valid now
    const step_advice* advice_of(const task_id& step, const std::vector<worker_control*>& workers,
                                 boot_time now);
    void forget_advice(const std::string& job);

    // scheduler_moves.cpp: VMs between pools
    void note_arrival(job_progress& job, boot_time now);
    /// Counts the jobs that the log held at the begin of the term as arrivals of the time of their
    /// submission.
    void note_known_arrivals(boot_time now);
    void plan_moves(boot_time now);
    [[nodiscard]] std::map<std::string, pool_load> loads_of_pools(boot_time now);
    void note_need(pool_need& entry, const pool_load& load, boot_time now);
    [[nodiscard]] pool_need need_of(const worker_pool_config& pool, const pool_load& load,
                                    std::vector<movable_vm>& movable, boot_time now);

    // scheduler_vms.cpp: maintenance waves
    void plan_waves(boot_time now);
    void plan_wave(wave_progress& wave, boot_time now);
    void record_wave(const wave_progress& wave);
    bool load_wave(const keyed_record& record);
    void lose_replaced_workers(const std::map<std::string, std::string>& before, boot_time now);
    /// @return tasks of the step that are not at work
    [[nodiscard]] std::int32_t tasks_away(job_progress& job, const task_id& id) const;
    /// @return whether the latest report shows the long-running task past its startup
    [[nodiscard]] bool is_ready(const task_id& id, const task_progress& task) const;
    /// @return whether every availability limit allows to end all tasks of the worker now
    [[nodiscard]] bool may_end_tasks_of(const worker_control& worker);
    /// Stops one of several tasks of a step on a worker that is to be maintained, so that they part.
    void spread_tasks_of(worker_control& worker, boot_time now);
    [[nodiscard]] bool is_reserved(const std::string& worker) const;
    /// @return whether an order to the VM is under way, or the VM is still away after one
    [[nodiscard]] bool is_vm_ordered(const std::string& vm) const;
    /// @return whether the worker answers, stays, and its VM is up without an order under way
    [[nodiscard]] bool is_sound(const std::string& worker) const;

    template <class Action>
    void act(Action action) {
        this->actions.emplace_back(std::move(action));
    }

    scheduler_options options;
    scheduler_timings timings;
    std::int64_t term = 0; ///< 0: not the scheduler
    bool loaded = false;
    boot_time term_begin{};
    boot_time last_log_contact{};
    boot_time lease_renewed{};
    std::vector<scheduler_action> actions;

    std::shared_ptr<const site_config> config = std::make_shared<site_config>();
    std::unordered_map<std::string, const queue_config*> queues; ///< of `config`, by name
    std::set<std::string> zones_out;

    std::unordered_map<std::string, std::unique_ptr<job_progress>> jobs; ///< not final
    std::unordered_map<std::string, std::int32_t> finals; ///< final jobs whose records are dropped later
    std::unordered_set<std::string> cancelled_early;      ///< cancelled before the job's record was seen
    std::unordered_map<std::string, resources> account_use;
    std::map<std::string, duration_estimate> durations; ///< by queue

    std::map<std::string, worker_control> workers;
    std::map<task_id, step_advice> advice; ///< by step; the index of the task is 0
    std::int32_t advice_in_flight = 0;

    std::set<std::string> dirty;
    commit_batch next_batch;
    std::optional<commit_batch> batch_in_flight;
    boot_time last_commit{};
    std::int64_t commit_sequence = 0;

    std::vector<keyed_record> states_to_publish;
    std::optional<publish_states> publish_in_flight;
    std::int64_t publish_sequence = 0;

    struct finished_job {
        std::string id;
        std::int32_t partition = 0;
        boot_time finished{};
        bool records_dropped = false;
        bool cancelled = false;
    };
    std::deque<finished_job> finished;
    boot_time last_cleanup{};
    std::size_t finished_dropped = 0; ///< leading items of `finished` whose job records are dropped

    bool dispatch_due = false;
    boot_time last_dispatch{};

    std::map<std::string, vm_entry> vms;
    std::map<std::string, std::string> vm_of_worker;
    bool vm_list_in_flight = false;
    boot_time vm_list_asked{};
    boot_time vm_list_seen{}; ///< when the list that is known was asked for
    std::map<std::int64_t, wave_progress> waves;
    std::map<std::string, boot_time> vm_orders;                        ///< VMs with an order under way
    std::map<std::string, std::pair<std::string, boot_time>> vm_moves; ///< target pool and time of the order
    account_share shares;
    std::map<std::string, pool_demand_view> demand; ///< by pool
    boot_time last_move_plan{};
    boot_time last_wave_plan{};
    boot_time last_demand_line{};
    boot_time release_from{}; ///< VMs stay in their pools until then
};

} // namespace hornbeamrail
