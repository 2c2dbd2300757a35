#pragma once

// Plays histories of troubles on a simulated site and checks the promises on long-running tasks and on other
// jobs by what the workers run, not by what the scheduler believes.

#include "promise_history.hpp"
#include "scheduler_site.hpp"

#include <boost/json/object.hpp>

#include <algorithm>
#include <optional>

namespace hornbeamrail::test {

/// Something that must not happen.
struct promise_violation {
    std::string kind; ///< "waits", "held_back", "duplicate", "early", "limit", "per_worker", "starts",
                      ///< "kept"
    milliseconds at{};
    milliseconds lasted{};
    std::string text;
};

/// Limit from the end of a run, or the submission, until a long-running task runs again.
inline constexpr milliseconds promised_restart{6000};
/// Limit on the time for which a job has nothing running while one of its tasks could run.
inline constexpr milliseconds promised_start{3000};
/// The promise holds after this time without a fault.
inline constexpr milliseconds promised_calm{7000};
/// A placement and its start take time, so the room must have existed for this long.
inline constexpr milliseconds reaction_time{500};
inline constexpr milliseconds check_interval{100};
/// Interval of checks that look at all records or workers.
inline constexpr milliseconds slow_check_interval{1000};
/// Limit on the time from the final state of a job, or the end of its last run, until its records are
/// dropped.
inline constexpr milliseconds promised_drop{5000};
/// Rules on what runs hold this long after an order was carried out late.
inline constexpr milliseconds rule_delay{1000};
/// A configuration is in force after this time.
inline constexpr milliseconds configuration_delay{2000};
/// Upper limit of the account "team", except while it is lowered.
inline constexpr std::int64_t usual_limit_millicores = 60000;

/// A simulated site that plays a history.
class promise_site : public scheduler_site {
public:
    explicit promise_site(const promise_history& played)
        : scheduler_site(played.seed), history(played), origin(this->now) {
        this->site.set_long_running_failures(played.failure_share, played.seed);
        this->entries_repeat = played.entries_repeat;
        this->orders_outlive_processes = played.orders_outlive_processes;
        this->tick_span = milliseconds(4);
    }

    [[nodiscard]] std::vector<promise_violation> play() {
        this->add_vms(this->history.vms);
        this->add_vms(this->history.spare_vms, "spare");
        this->take_over();
        for (const auto& event : this->history.events) {
            this->schedule_event(event.at, [this, event] { this->apply(event); });
        }
        for (const auto& item : this->history.jobs) {
            this->schedule_event(item.at, [this, item] { this->submit_item(item); });
        }
        while (this->now < this->origin + this->history.length) {
            this->run(check_interval);
            this->check();
        }
        for (const auto& text : this->duplicate_runs()) {
            this->violations.push_back({.kind = "duplicate", .text = text});
        }
        for (const auto& text : this->early_runs()) {
            this->violations.push_back({.kind = "early", .text = text});
        }
        return this->violations;
    }

private:
    /// What a long-running task has done so far.
    struct task_truth {
        bool runs = false;
        boot_time idle_since{};
    };
    struct lasting_job {
        job_spec spec;
        boot_time submitted{};
    };

    [[nodiscard]] milliseconds elapsed() const {
        return std::chrono::duration_cast<milliseconds>(this->now - this->origin);
    }

    void submit_item(const submission& item) {
        if (!this->is_powered || !this->log_is_up) {
            this->schedule_event(milliseconds(200), [this, item] { this->submit_item(item); });
            return;
        }
        const auto id = this->submit(item.job);
        if (item.job.steps.front().long_running) {
            this->lasting[id] = {.spec = item.job, .submitted = this->now};
        } else {
            this->ending.insert(id);
        }
        if (item.checkpoint_bytes > 0) {
            this->site.set_checkpoint_bytes(id, item.checkpoint_bytes);
        }
        if (item.cancel_after.count() > 0) {
            this->schedule_event(item.cancel_after, [this, id] {
                this->lasting.erase(id);
                this->cancel(id);
            });
        }
    }

    /// Marks the site as disturbed for @p duration from now.
    void disturb(milliseconds duration) {
        this->disturbed_until = std::max(this->disturbed_until, this->now + duration);
    }

    /// @return VMs that are up, in the order that @p choice decides, at most @p count of them
    std::vector<vm_entry> pick_vms(int count, std::uint64_t choice) {
        std::vector<vm_entry> up;
        for (const auto& vm : this->site.vms()) {
            if (vm.condition == vm_condition::up && vm.pool == "pool") {
                up.push_back(vm);
            }
        }
        std::mt19937_64 order(choice);
        for (std::size_t left = up.size(); left > 1; --left) {
            std::swap(up[left - 1], up[order() % left]);
        }
        up.resize(std::min(up.size(), static_cast<std::size_t>(std::max(0, count))));
        return up;
    }

    void put_into(std::set<std::string>& workers, const site_event& event) {
        for (const auto& vm : this->pick_vms(event.count, event.choice)) {
            workers.insert(vm.worker);
            this->schedule_event(event.duration, [&workers, id = vm.worker] { workers.erase(id); });
        }
    }

    void set_behaviours(const site_event& event, start_behaviour behaviour) {
        for (const auto& vm : this->pick_vms(event.count, event.choice)) {
            this->site.set_behaviour(vm.worker, behaviour);
            this->schedule_event(event.duration, [this, id = vm.worker] {
                this->site.set_behaviour(id, start_behaviour::normal);
            });
        }
    }

    void silence_log(const site_event& event) {
        if (event.kind == trouble::entries_lapse) {
            const int count = event.count == 0 ? 1000 : event.count;
            for (const auto& vm : this->pick_vms(count, event.choice)) {
                this->lapsed_entries.insert(vm.worker);
                const auto back = event.duration + milliseconds(this->random() % 2000);
                this->schedule_event(back, [this, id = vm.worker] { this->lapsed_entries.erase(id); });
            }
            this->disturb(event.duration + milliseconds(2000));
        }
        ++this->log_outages;
        this->log_is_up = false;
        this->schedule_event(event.duration, [this] { this->log_is_up = --this->log_outages == 0; });
    }

    /// A successor needs the log.
    void take_over_when_possible() {
        if (!this->log_is_up) {
            this->disturb(milliseconds(200));
            this->schedule_event(milliseconds(100), [this] { this->take_over_when_possible(); });
            return;
        }
        this->is_powered = true;
        this->take_over();
    }

    void restart_workers(const site_event& event) {
        for (const auto& vm : this->pick_vms(event.count, event.choice)) {
            worker_restart changes{.clock_stepped_back =
                                       event.kind == trouble::restart_earlier ||
                                       (event.kind == trouble::restart_elsewhere && event.choice % 4 == 0),
                                   .new_address = event.kind == trouble::restart_elsewhere};
            if (event.kind == trouble::restart_elsewhere) {
                changes.capacity = vm.capacity;
                changes.capacity->cpu_millicores = changes.capacity->cpu_millicores * 3 / 4;
            }
            if (const auto worker = this->site.restart(vm.id, changes, this->now)) {
                this->break_hold(*worker);
            }
        }
    }

    void drain_and_leave(const site_event& event) {
        for (const auto& vm : this->pick_vms(event.count, event.choice)) {
            this->site.set_draining(vm.id, true);
            this->schedule_event(event.duration, [this, vm] {
                this->site.remove_vm(vm.id, this->now);
                this->break_hold(vm.worker);
            });
        }
    }

    void begin_wave(const site_event& event) {
        wave_request wave{.number = ++this->waves_begun,
                          .duration = event.duration,
                          .max_down = std::max(1, event.count / 2)};
        for (const auto& vm : this->pick_vms(event.count, event.choice)) {
            wave.vms.push_back(vm.id);
        }
        this->request_wave(std::move(wave));
    }

    void lower_limit(const site_event& event) {
        auto lowered = this->current_config();
        lowered.accounts.front().upper_limit.cpu_millicores = usual_limit_millicores / 4;
        this->publish_config(lowered);
        this->limit_changed = this->now;
        this->schedule_event(event.duration, [this] {
            auto raised = this->current_config();
            raised.accounts.front().upper_limit.cpu_millicores = usual_limit_millicores;
            this->publish_config(raised);
        });
    }

    void submit_jobs(const site_event& event) {
        for (int number = 0; number < event.count; ++number) {
            auto job = batch_job(event.kind == trouble::poison ? 2 : 12, 3000);
            job.account.clear();
            const auto id = this->submit(job);
            if (event.kind == trouble::poison) {
                this->site.set_failing(id);
            }
        }
    }

    void apply(const site_event& event) {
        constexpr milliseconds moment{0};
        switch (event.kind) {
        case trouble::log_silent:
        case trouble::entries_lapse:
            this->disturb(event.duration);
            this->silence_log(event);
            return;
        case trouble::log_slow:
            this->disturb(event.duration + milliseconds(1500));
            this->append_delay = milliseconds(200 + event.choice % 1300);
            this->schedule_event(event.duration, [this] { this->append_delay = milliseconds(0); });
            return;
        case trouble::takeover:
            this->disturb(moment);
            this->take_over_when_possible();
            return;
        case trouble::power_loss:
            this->disturb(event.duration);
            this->is_powered = false;
            this->schedule_event(event.duration, [this] { this->take_over_when_possible(); });
            return;
        case trouble::cut_answers:
            this->disturb(event.duration);
            this->put_into(this->unanswered_workers, event);
            return;
        case trouble::cut_both:
            this->disturb(event.duration);
            this->put_into(this->cut_workers, event);
            return;
        case trouble::late_orders:
            this->disturb(event.duration);
            this->put_into(this->late_workers, event);
            return;
        case trouble::slow_answers:
            this->disturb(event.duration + milliseconds(800));
            this->answer_jitter = milliseconds(800);
            this->schedule_event(event.duration, [this] { this->answer_jitter = milliseconds(0); });
            return;
        case trouble::crash:
            this->disturb(moment);
            for (const auto& vm : this->pick_vms(event.count, event.choice)) {
                this->site.crash(vm.id, this->now);
                this->break_hold(vm.worker);
            }
            return;
        case trouble::restart:
        case trouble::restart_earlier:
        case trouble::restart_elsewhere:
            this->disturb(moment);
            this->restart_workers(event);
            return;
        case trouble::vm_down:
            this->disturb(event.duration);
            for (const auto& vm : this->pick_vms(event.count, event.choice)) {
                const auto back = event.duration.count() == 0 ? boot_time::max() : this->now + event.duration;
                this->site.take_down(vm.id, back, this->now);
                this->break_hold(vm.worker);
            }
            return;
        case trouble::fails_all:
            this->disturb(event.duration);
            this->set_behaviours(event, start_behaviour::fails_all);
            return;
        case trouble::fails_share:
            this->disturb(event.duration);
            this->set_behaviours(event, start_behaviour::fails_share);
            return;
        case trouble::unhealthy:
            this->disturb(event.duration);
            this->set_behaviours(event, start_behaviour::unhealthy);
            return;
        case trouble::no_room:
            this->disturb(event.duration);
            this->set_behaviours(event, start_behaviour::no_room);
            return;
        case trouble::vm_list_down:
            this->disturb(event.duration);
            this->vm_list_is_down = true;
            this->schedule_event(event.duration, [this] { this->vm_list_is_down = false; });
            return;
        case trouble::vm_list_slow:
            this->disturb(event.duration + milliseconds(3000));
            this->vm_list_delay = milliseconds(500 + event.choice % 2500);
            this->schedule_event(event.duration, [this] { this->vm_list_delay = milliseconds(0); });
            return;
        case trouble::drain_and_leave:
            this->drain_and_leave(event);
            return;
        case trouble::wave:
            this->begin_wave(event);
            return;
        case trouble::zone_out:
            this->set_zones_out({event.choice % 2 == 0 ? "zone-a" : "zone-b"});
            this->schedule_event(event.duration, [this] { this->set_zones_out({}); });
            return;
        case trouble::limit_lowered:
            this->lower_limit(event);
            return;
        case trouble::config_change:
            this->publish_config(this->current_config());
            return;
        case trouble::poison:
        case trouble::burst:
            this->submit_jobs(event);
            return;
        }
    }

    [[nodiscard]] bool is_calm() const {
        const auto disturbed = std::max(this->disturbed_until, this->late_until);
        return this->log_is_up && this->is_powered && this->now >= disturbed + promised_calm;
    }

    /// @return whether the worker has room for one more task of the step, twice over
    [[nodiscard]] bool has_room(const observed_worker& worker, const std::string& job,
                                const step_spec& step) const {
        auto need = step.need;
        need.cpu_millicores = step.best_effort ? 0 : need.cpu_millicores;
        const resources twice{.cpu_millicores = need.cpu_millicores * 2,
                              .memory_mb = need.memory_mb * 2,
                              .accelerators = need.accelerators * 2};
        const auto of_step = std::count_if(worker.tasks.begin(), worker.tasks.end(),
                                           [&job](const auto& task) { return task.job == job; });
        const auto& id = worker.entry.id;
        return worker.entry.pool == "pool" && worker.behaviour == start_behaviour::normal &&
               !worker.entry.draining && !this->lapsed_entries.contains(id) &&
               !this->unanswered_workers.contains(id) && !this->cut_workers.contains(id) &&
               !this->late_workers.contains(id) && !this->zones_out.contains(worker.entry.zone) &&
               (step.required_label.empty() || worker.entry.has_label(step.required_label)) &&
               (step.max_per_worker == 0 || of_step < step.max_per_worker) && fits(twice, worker.available);
    }

    /// @return millicores of what runs for the account
    [[nodiscard]] std::int64_t use_of(const std::string& account,
                                      const std::vector<observed_worker>& workers) const {
        std::int64_t used = 0;
        for (const auto& worker : workers) {
            for (const auto& task : worker.tasks) {
                const auto& job = this->job_of(task.job);
                used += job.account == account
                            ? job.steps[static_cast<std::size_t>(task.step)].need.cpu_millicores
                            : 0;
            }
        }
        return used;
    }

    /// @return whether the account uses so little that none of its jobs may have to wait for it, however
    /// large
    [[nodiscard]] bool account_has_room(const std::string& account,
                                        const std::vector<observed_worker>& workers) const {
        const auto* limits = account.empty() ? nullptr : this->current_config().find_account(account);
        if (limits == nullptr || limits->upper_limit.cpu_millicores == 0) {
            return true;
        }
        return this->use_of(account, workers) * 2 < limits->upper_limit.cpu_millicores;
    }

    void check() {
        this->site.advance(this->now);
        const auto workers = this->site.observe_workers();
        std::map<task_id, task_truth> truth;
        for (const auto& run : this->site.history()) {
            if (!this->lasting.contains(run.task.job)) {
                continue;
            }
            auto& entry = truth[run.task];
            const bool runs = run.ended_at == boot_time::max();
            entry.runs = entry.runs || runs;
            entry.idle_since = std::max(entry.idle_since, runs ? this->now : run.ended_at);
        }
        this->check_rules(workers);
        this->check_starts();
        for (const auto& [id, job] : this->lasting) {
            const auto& step = job.spec.steps.front();
            for (std::int32_t index = 0; index < step.count; ++index) {
                const task_id task{.job = id, .index = index};
                const auto found = truth.find(task);
                const bool runs = found != truth.end() && found->second.runs;
                const auto idle_since = found == truth.end() ? job.submitted : found->second.idle_since;
                this->check_task(task, job, runs, idle_since, workers);
            }
        }
        this->check_ending_jobs(workers);
        if (this->now >= this->last_slow_check + slow_check_interval) {
            this->last_slow_check = this->now;
            this->check_starts_in_flight();
            this->check_dropped_records();
        }
    }

    /// Checks that the records of jobs whose final state is in the log are dropped: until then each node that
    /// starts reads them.
    void check_dropped_records() {
        if (!this->is_calm()) {
            this->final_since.clear();
            return;
        }
        std::set<std::string> final_jobs;
        for (const auto& record : this->log.newest({.topic = log_topic::states}).records) {
            const auto state = parse_job_state(record.value);
            if (state && is_final(*state)) {
                final_jobs.insert(record.key);
            }
        }
        for (const auto& run : this->site.history()) {
            if (run.ended_at == boot_time::max()) {
                final_jobs.erase(run.task.job); // its runs are being stopped
            }
        }
        std::map<std::string, boot_time> kept;
        for (const auto& record : this->log.newest({.topic = log_topic::jobs}).records) {
            const auto id = record.key.substr(0, record.key.find(cancel_suffix));
            if (record.value.empty() || !final_jobs.contains(id)) {
                continue;
            }
            const auto known = this->final_since.find(id);
            const auto since = known == this->final_since.end() ? this->now : known->second;
            kept[id] = since;
            if (this->now >= since + promised_drop) {
                this->violations.push_back(
                    {.kind = "kept",
                     .at = this->elapsed(),
                     .lasted = std::chrono::duration_cast<milliseconds>(this->now - since),
                     .text = fmt::format("records of the final job {} are kept", id)});
                kept[id] = boot_time::max() - promised_drop; // reported once
            }
        }
        this->final_since = std::move(kept);
    }

    /// Checks that no start counts as in flight that is not: each would keep another one from being sent, for
    /// ever.
    void check_starts_in_flight() {
        const auto dumped = this->schedule->dump(this->now);
        std::int64_t starting = 0;
        for (const auto& worker : dumped.at("workers").as_array()) {
            starting += worker.at("starting").to_number<std::int64_t>();
        }
        const auto counted = dumped.at("starts_in_flight").to_number<std::int64_t>();
        if (counted != starting) {
            this->violations.push_back(
                {.kind = "starts",
                 .at = this->elapsed(),
                 .text = fmt::format("{} starts are in flight, {} are counted", starting, counted)});
        }
    }

    /// @return whether under half of the CPU of the pool's workers is in use
    [[nodiscard]] static bool pool_is_under_half_used(const std::vector<observed_worker>& workers) {
        std::int64_t used = 0;
        std::int64_t capacity = 0;
        for (const auto& worker : workers) {
            if (worker.entry.pool == "pool") {
                capacity += worker.entry.capacity.cpu_millicores;
                used += worker.entry.capacity.cpu_millicores - worker.available.cpu_millicores;
            }
        }
        return used * 2 < capacity;
    }

    /// What the runs of a job show.
    struct job_truth {
        bool runs = false;
        bool failed = false;                                  ///< a task has used up its attempts
        std::set<std::pair<std::int32_t, std::int32_t>> done; ///< step and index
    };

    [[nodiscard]] std::map<std::string, job_truth> observe_ending_jobs() const {
        std::map<std::string, job_truth> truth;
        std::map<task_id, std::int32_t> failures;
        for (const auto& run : this->site.history()) {
            if (!this->ending.contains(run.task.job)) {
                continue;
            }
            auto& job = truth[run.task.job];
            job.runs = job.runs || run.ended_at == boot_time::max();
            if (run.outcome == task_end::done) {
                job.done.emplace(run.task.step, run.task.index);
            }
            job.failed = job.failed || (run.outcome == task_end::failed &&
                                        ++failures[run.task] >= this->job_of(run.task.job).attempts);
        }
        return truth;
    }

    /// @return the first step whose turn has come and that has a task which is not done
    [[nodiscard]] static std::optional<std::size_t> find_due_step(const job_spec& job,
                                                                  const job_truth& truth) {
        const auto is_done = [&](std::size_t step) {
            const auto count = std::count_if(truth.done.begin(), truth.done.end(), [step](const auto& task) {
                return static_cast<std::size_t>(task.first) == step;
            });
            return count >= job.steps[step].count;
        };
        for (std::size_t step = 0; step < job.steps.size(); ++step) {
            const auto& after = job.steps[step].after;
            const bool is_due = std::all_of(after.begin(), after.end(), [&](std::int32_t earlier) {
                return is_done(static_cast<std::size_t>(earlier));
            });
            if (is_due && !is_done(step)) {
                return step;
            }
        }
        return std::nullopt;
    }

    /// Checks that no job has nothing running for long while a worker has room for its tasks.
    void check_ending_jobs(const std::vector<observed_worker>& workers) {
        if (!this->is_calm() || !pool_is_under_half_used(workers)) {
            this->held_back_since.clear();
            return;
        }
        const auto truth = this->observe_ending_jobs();
        for (const auto& id : this->ending) {
            const auto found = truth.find(id);
            const auto seen = found == truth.end() ? job_truth{} : found->second;
            const auto& job = this->job_of(id);
            const auto step = find_due_step(job, seen);
            std::string rooms;
            if (step && !seen.runs && !seen.failed && this->account_has_room(job.account, workers)) {
                for (const auto& worker : workers) {
                    rooms += this->has_room(worker, id, job.steps[*step]) ? this->describe(worker) : "";
                }
            }
            if (rooms.empty()) {
                this->held_back_since.erase(id);
                continue;
            }
            const auto since = this->held_back_since.emplace(id, this->now).first->second;
            if (this->now >= since + promised_start) {
                this->violations.push_back(
                    {.kind = "held_back",
                     .at = this->elapsed(),
                     .lasted = std::chrono::duration_cast<milliseconds>(this->now - since),
                     .text = fmt::format("job {} has nothing running; room on{}", id, rooms)});
                this->held_back_since[id] = boot_time::max() - promised_start; // reported once
            }
        }
    }

    void check_task(const task_id& task, const lasting_job& job, bool runs, boot_time idle_since,
                    const std::vector<observed_worker>& workers) {
        const auto& step = job.spec.steps.front();
        const bool is_late = !runs && this->now >= idle_since + promised_restart && this->is_calm() &&
                             this->account_has_room(job.spec.account, workers);
        std::string rooms;
        for (const auto& worker : workers) {
            if (is_late && this->has_room(worker, task.job, step)) {
                rooms += this->describe(worker);
            }
        }
        if (rooms.empty()) {
            this->late_since.erase(task);
            this->open_violations.erase(task);
            return;
        }
        const auto since = this->late_since.emplace(task, this->now).first->second;
        if (this->now < since + reaction_time) {
            return;
        }
        const auto open = this->open_violations.find(task);
        const auto lasted = std::chrono::duration_cast<milliseconds>(this->now - since);
        if (open != this->open_violations.end()) {
            this->violations[open->second].lasted = lasted;
            return;
        }
        this->open_violations[task] = this->violations.size();
        const auto idle = std::chrono::duration_cast<milliseconds>(this->now - idle_since);
        this->violations.push_back(
            {.kind = "waits",
             .at = this->elapsed(),
             .lasted = lasted,
             .text = fmt::format("task {} of {} ({}) not at work for {} ms; room on{}", task.index, task.job,
                                 job.spec.queue, idle.count(), rooms)});
    }

    std::string describe(const observed_worker& worker) {
        std::string block = "not known";
        const auto dumped = this->schedule->dump(this->now);
        for (const auto& known : dumped.at("workers").as_array()) {
            if (known.at("worker").as_string() == worker.entry.id) {
                block =
                    fmt::format("{}, {} tasks, {} unanswered", known.at("block").as_string().c_str(),
                                known.at("tasks").to_number<int>(), known.at("unanswered").to_number<int>());
            }
        }
        return fmt::format(" {}/{} (runs {}; scheduler: {})", worker.entry.id, worker.vm, worker.tasks.size(),
                           block);
    }

    /// @return millicores of the account's runs when @p started began, itself included
    [[nodiscard]] std::int64_t use_at_start(const observed_run& started, const std::string& account) const {
        std::int64_t used = 0;
        for (const auto& run : this->site.history()) {
            const auto& job = this->job_of(run.task.job);
            const bool counts = job.account == account && run.started_at <= started.started_at &&
                                started.started_at < run.ended_at;
            used += counts ? job.steps[static_cast<std::size_t>(run.task.step)].need.cpu_millicores : 0;
        }
        return used;
    }

    /// Checks that no start brings the account "team" above its limit by more than a tenth and one task.
    void check_starts() {
        const auto& runs = this->site.history();
        for (; this->checked_starts < runs.size(); ++this->checked_starts) {
            const auto& run = runs[this->checked_starts];
            const auto& job = this->job_of(run.task.job);
            if (job.account != "team" || this->now < this->late_until + rule_delay) {
                continue;
            }
            const auto need = job.steps[static_cast<std::size_t>(run.task.step)].need.cpu_millicores;
            const auto used = this->use_at_start(run, job.account);
            if (used > this->limit_in_force() * 11 / 10 + need) {
                this->violations.push_back(
                    {.kind = "limit",
                     .at = this->elapsed(),
                     .text = fmt::format("a start of {} brings its account to {} millicores", need, used)});
            }
        }
    }

    /// @return the highest limit of the account "team" that may be in force
    [[nodiscard]] std::int64_t limit_in_force() const {
        const bool was_lowered = this->now >= this->limit_changed + configuration_delay;
        return was_lowered ? this->current_config().accounts.front().upper_limit.cpu_millicores
                           : usual_limit_millicores;
    }

    /// Checks what runs by the rules that hold unless orders are carried out late.
    void check_rules(const std::vector<observed_worker>& workers) {
        if (this->now < this->late_until + rule_delay) {
            return;
        }
        constexpr std::int64_t largest_excess = usual_limit_millicores / 10 + 8000; // and one task
        const auto used = this->use_of("team", workers);
        if (used > usual_limit_millicores + largest_excess) {
            this->violations.push_back({.kind = "limit",
                                        .at = this->elapsed(),
                                        .text = fmt::format("an account uses {} millicores", used)});
        }
        for (const auto& worker : workers) {
            std::map<std::string, std::int32_t> by_job;
            for (const auto& task : worker.tasks) {
                const auto limit =
                    this->job_of(task.job).steps[static_cast<std::size_t>(task.step)].max_per_worker;
                if (limit > 0 && ++by_job[task.job] == limit + 1) {
                    this->violations.push_back(
                        {.kind = "per_worker",
                         .at = this->elapsed(),
                         .text = fmt::format("{} tasks of {} on {}", limit + 1, task.job, worker.entry.id)});
                }
            }
        }
    }

    promise_history history;
    boot_time origin;
    boot_time disturbed_until{};
    int log_outages = 0;
    std::size_t checked_starts = 0; ///< leading runs of the history
    boot_time limit_changed{};      ///< when the limit of an account was lowered
    std::int64_t waves_begun = 0;
    boot_time last_slow_check{};
    std::map<std::string, boot_time> final_since; ///< final jobs whose records are in the log
    std::map<std::string, lasting_job> lasting;
    std::set<std::string> ending;                     ///< jobs whose tasks end by themselves
    std::map<std::string, boot_time> held_back_since; ///< jobs that have nothing running although they could
    std::map<task_id, boot_time> late_since;
    std::map<task_id, std::size_t> open_violations; ///< index in `violations`
    std::vector<promise_violation> violations;
};

} // namespace hornbeamrail::test
