#pragma once

// Runs a scheduler against fakes of the log, the workers and the VMs in simulated time, with seeded faults.

#include "fakes/fake_site.hpp"
#include "run_checks.hpp"
#include "scheduler/scheduler.hpp"
#include "scheduler/scheduler_lease.hpp"
#include "state/job_index.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <tuple>

namespace hornbeamrail::test {

using std::chrono::milliseconds;

/// Rates of injected faults.
struct site_faults {
    double lost_answer = 0; ///< fraction of orders that are executed but whose answer is lost
    double late_order = 0;  ///< fraction of orders that are executed seconds later, without an answer
    double crash = 0;       ///< worker crashes per second
    double failover = 0;    ///< takeovers by another scheduler per second
    double outage = 0;      ///< outages of the log per second, of up to 5 s; half of them end with a takeover
};

/// Time from an order to its answer.
inline constexpr milliseconds answer_delay{4};
/// Time until an append that the log did not accept is repeated.
inline constexpr milliseconds append_retry{60};
/// Time after which a call without an answer is reported as unanswered.
inline constexpr milliseconds call_timeout{900};

/// Time between two writes of the same entry by a worker.
inline constexpr milliseconds entry_interval{1500};

/// A simulated site with one scheduler.
class scheduler_site {
public:
    explicit scheduler_site(std::uint64_t seed, site_faults injected_faults = {})
        : random(seed), faults(injected_faults), site({}) {
        auto settings = std::make_shared<site_config>();
        settings->version = 1;
        settings->queues = {{.name = "batch",
                             .host = "h",
                             .path_prefix = "/b/",
                             .pool = "pool",
                             .attempts = 2,
                             .objective_factor = 1.6,
                             .objective_slack = milliseconds(600)},
                            {.name = "advised",
                             .host = "h",
                             .path_prefix = "/a/",
                             .pool = "pool",
                             .attempts = 2,
                             .advice = advice_config{.ticket_lifetime = milliseconds(3000)}},
                            {.name = "lasting",
                             .host = "h",
                             .path_prefix = "/l/",
                             .pool = "pool",
                             .attempts = 3,
                             .open = true}};
        settings->pools = {{.name = "pool"}, {.name = "spare", .spare = true}};
        settings->accounts = {
            {.name = "team", .keys = {"key"}, .weight = 0, .upper_limit = {.cpu_millicores = 60000}},
            {.name = "hot", .keys = {"hot-key"}, .weight = 2},
            {.name = "usual", .keys = {"usual-key"}, .weight = 2},
        };
        this->config = settings;
    }

    void add_vms(int count, const std::string& pool = "pool") {
        for (int number = 0; number < count; ++number) {
            const auto name = fmt::format("m-{}-{}", pool, number);
            this->site.add_vm(name, pool, number % 2 == 0 ? "zone-a" : "zone-b",
                              fmt::format("r{}", number % 3), {.cpu_millicores = 32000, .memory_mb = 65536},
                              this->now);
            this->vm_names.push_back(name);
        }
    }

    /// Starts the scheduler, or replaces it by a successor that only knows the log.
    void take_over() {
        this->schedule = std::make_unique<scheduler>(
            scheduler_options{.node_id = fmt::format("node-{}", this->term + 1), .limits = this->limits});
        ++this->term;
        this->schedule->set_config(this->config);
        this->schedule->set_waves(this->waves);
        this->schedule->begin_term(this->term, this->now);
        this->schedule->set_waves(this->waves);
        this->schedule->set_zones_out(this->zones_out);
        for (const auto topic : {log_topic::progress, log_topic::states}) {
            this->log.append({.topic = topic,
                              .producer = append_producer{.name = "s", .epoch = this->term, .sequence = 0}});
        }
        this->listed.clear();
        for (const auto& entry : this->site.workers()) {
            if (!this->lapsed_entries.contains(entry.id)) {
                this->schedule->on_worker(entry, this->now);
                this->listed[entry.id] = {.entry = entry, .delivered = this->now};
            }
        }
        for (const auto& record : this->log.newest({.topic = log_topic::jobs}).records) {
            this->schedule->load_job(0, record);
        }
        for (const auto& record : this->log.newest({.topic = log_topic::progress}).records) {
            this->schedule->load_progress(record);
        }
        for (const auto& record : this->log.newest({.topic = log_topic::states}).records) {
            this->schedule->load_state(record);
        }
        this->schedule->finish_load(this->now);
        this->jobs_read = this->log.newest({.topic = log_topic::jobs}).end;
    }

    /// @return id that was assigned to the job
    std::string submit(job_spec job) {
        job.id = fmt::format("{:016x}", ++this->next_job);
        job.submitted = this->clock();
        if (job.steps.front().long_running) {
            this->site.set_long_running(job.id);
        }
        this->steps_of_job[job.id] = job.steps;
        this->submitted_jobs[job.id] = job;
        this->log.append({.topic = log_topic::jobs,
                          .records = {{.key = job.id, .value = boost::json::serialize(to_json(job))}}});
        return job.id;
    }

    /// Stores the job again, as a caller whose answer was lost does.
    void repeat_submission(const std::string& id) {
        auto job = this->submitted_jobs.at(id);
        this->log.append({.topic = log_topic::jobs,
                          .records = {{.key = id, .value = boost::json::serialize(to_json(job))}}});
    }

    void cancel(const std::string& id) {
        this->log.append(
            {.topic = log_topic::jobs, .records = {{.key = id + std::string(cancel_suffix), .value = "1"}}});
    }

    /// Publishes a configuration.
    void publish_config(site_config changed) {
        changed.version = this->config->version + 1;
        this->config = std::make_shared<site_config>(std::move(changed));
        this->schedule->set_config(this->config);
    }

    /// @return the configuration that was published last
    [[nodiscard]] const site_config& current_config() const { return *this->config; }

    /// Takes exactly these zones out of service.
    void set_zones_out(std::set<std::string> zones) {
        this->zones_out = std::move(zones);
        this->schedule->set_zones_out(this->zones_out);
    }

    /// Publishes a configuration without the queue.
    void remove_queue(const std::string& name) {
        auto changed = std::make_shared<site_config>(*this->config);
        std::erase_if(changed->queues, [&name](const auto& queue) { return queue.name == name; });
        this->config = changed;
        this->schedule->set_config(this->config);
    }

    void request_wave(wave_request wave) {
        this->waves.push_back(std::move(wave));
        this->schedule->set_waves(this->waves);
    }

    /// Advances the simulated time by @p span while the scheduler's process is suspended: answers wait, and
    /// the workers and VMs go on.
    void suspend(milliseconds span) {
        this->now += span;
        this->site.advance(this->now);
    }

    /// Advances the simulated time by @p span.
    void run(milliseconds span) {
        const auto until = this->now + span;
        while (this->now < until) {
            this->now += this->tick_span;
            this->inject_faults();
            this->deliver_due();
            if (!this->is_powered) {
                continue;
            }
            this->refresh_workers();
            if (this->log_is_up) {
                this->read_jobs();
            }
            if (this->log_is_up) {
                this->schedule->set_term_confirmed(this->now);
            }
            if (this->can_renew_lease && this->log_is_up) {
                this->schedule->set_lease_renewed(this->now);
            }
            for (auto& action : this->schedule->tick(this->now, this->clock())) {
                this->execute(action);
            }
        }
    }

    /// @return the job as it was submitted
    [[nodiscard]] const job_spec& job_of(const std::string& id) const { return this->submitted_jobs.at(id); }

    [[nodiscard]] std::string state_of(const std::string& id) {
        for (const auto& record : this->log.newest({.topic = log_topic::states}).records) {
            if (record.key == id) {
                return record.value;
            }
        }
        return "pending";
    }

    [[nodiscard]] std::int64_t running_tasks(const std::string& id) {
        this->site.advance(this->now);
        std::int64_t count = 0;
        for (const auto& run : this->site.history()) {
            count += run.task.job == id && run.ended_at == boot_time::max() ? 1 : 0;
        }
        return count;
    }

    /// @return long-running tasks of the job that are past their startup
    [[nodiscard]] std::int64_t ready_tasks(const std::string& id) {
        this->site.advance(this->now);
        const auto& history = this->site.history();
        return std::count_if(history.begin(), history.end(), [&](const auto& run) {
            return run.task.job == id && run.ended_at == boot_time::max() &&
                   this->now >= run.started_at + fake_site::options().startup_time;
        });
    }

    /// @return whether the answer to an append of the scheduler is outstanding
    [[nodiscard]] bool has_unconfirmed_append() const { return this->unconfirmed_appends > 0; }

    /// @return descriptions of the runs that started before all tasks of an earlier step had ended
    [[nodiscard]] std::vector<std::string> early_runs() const {
        std::map<std::tuple<std::string, std::int32_t, std::int32_t>, boot_time> first_end;
        for (const auto& run : this->site.history()) {
            if (run.outcome == task_end::done && run.ended_at != boot_time::max()) {
                const auto key = std::tuple(run.task.job, run.task.step, run.task.index);
                const auto known = first_end.emplace(key, run.ended_at).first;
                known->second = std::min(known->second, run.ended_at);
            }
        }
        std::vector<std::string> violations;
        for (const auto& run : this->site.history()) {
            const auto& steps = this->steps_of_job.at(run.task.job);
            for (const auto earlier : steps[static_cast<std::size_t>(run.task.step)].after) {
                for (std::int32_t index = 0; index < steps[static_cast<std::size_t>(earlier)].count;
                     ++index) {
                    const auto end = first_end.find(std::tuple(run.task.job, earlier, index));
                    if (end == first_end.end() || end->second > run.started_at) {
                        violations.push_back(fmt::format("{} step {} before task {} of step {}", run.task.job,
                                                         run.task.step, index, earlier));
                    }
                }
            }
        }
        return violations;
    }

    [[nodiscard]] std::vector<std::string> duplicate_runs() const {
        return test::duplicate_runs(this->site.history());
    }

    boot_time now{milliseconds(100000)};
    std::mt19937_64 random;
    site_faults faults;
    fake_site site;
    fake_keyed_log log;
    std::unique_ptr<scheduler> schedule;
    std::vector<std::pair<std::int64_t, bool>> reports; ///< wave, completed
    std::function<bool(const std::string&)> is_advised = [](const std::string&) {
        return true;
    };
    std::map<std::string, std::string> tickets; ///< ticket in the latest start order, by worker
    std::int64_t starts = 0;
    std::int64_t moves = 0;
    std::int64_t maintenance_orders = 0;
    std::vector<std::pair<boot_time, vm_order>> vm_orders; ///< maintenance orders with their times
    bool can_renew_lease = true;
    std::set<std::string> lapsed_entries;     ///< workers that run but whose entry is not in the log
    std::set<std::string> cut_workers;        ///< workers that no order reaches
    std::set<std::string> unanswered_workers; ///< workers that execute orders and whose answers are lost
    bool reports_are_unreadable = false;      ///< reports of workers arrive without their rows
    std::set<std::string> late_workers;    ///< workers that carry out orders seconds later, without an answer
    bool orders_outlive_processes = false; ///< late orders are on their way, not in the process of the worker
    bool entries_repeat = false;           ///< workers write their entries again every `entry_interval`
    bool is_powered = true;                ///< false: no node runs the scheduler
    milliseconds tick_span{2};
    milliseconds append_delay{0};      ///< added to the answer of an append
    milliseconds answer_jitter{0};     ///< upper limit of a random delay of the answers of workers
    bool vm_list_is_down = false;      ///< reads of the VM list fail
    milliseconds vm_list_delay{0};     ///< added to the answer of a read of the VM list
    boot_time late_until{};            ///< the last order that is carried out late has been by then
    std::set<std::string> zones_out;   ///< out of service
    bool log_is_up = true;             ///< false: reads fail, and appends are repeated until it is true again
    std::int64_t holds_sent = 0;       ///< holds that renewed a lease
    site_limits limits;                ///< of the schedulers that take over
    std::size_t largest_append = 0;    ///< bytes of the values in the largest append of progress or states
    std::int64_t rejected_appends = 0; ///< of progress or states
    std::int64_t early_drops = 0;      ///< job records dropped before the final state was stored

    /// Runs @p function after @p delay of simulated time.
    void schedule_event(milliseconds delay, std::function<void()> function) {
        this->events.emplace(this->now + delay, std::move(function));
    }

    /// Breaks the connection of the hold at the worker, as the end of its process does.
    void break_hold(const std::string& worker) {
        const auto found = this->holds.find(worker);
        if (found == this->holds.end()) {
            return;
        }
        const auto hold = found->second.action;
        this->holds.erase(found);
        this->reply([this, hold] { this->schedule->on_hold_report(hold.worker, hold.order, {}, this->now); });
    }

    [[nodiscard]] unix_time clock() const {
        return unix_time(std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch()));
    }

private:
    bool occurs(double probability) {
        return probability > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    void deliver_due() {
        while (!this->events.empty() && this->events.begin()->first <= this->now) {
            auto function = std::move(this->events.begin()->second);
            this->events.erase(this->events.begin());
            function();
        }
        this->site.advance(this->now);
        for (auto at = this->holds.begin(); at != this->holds.end();) {
            const bool due = this->now >= at->second.until || this->site.has_end(at->first);
            if (!due) {
                ++at;
                continue;
            }
            const auto waiting = at->second;
            at = this->holds.erase(at);
            this->answer_hold(waiting.action, waiting.waiting);
        }
    }

    /// Carries out a hold that waits for an end. Its answer comes later, from the process that runs by then.
    void begin_waiting(const send_hold& hold) {
        const auto& id = hold.worker.id;
        auto waiting = hold;
        if (!this->cut_workers.contains(id) && !this->late_workers.contains(id)) {
            // Taken over on arrival: ends that the worker lists later have numbers that the sender has not
            // seen.
            this->site.hold(hold.worker, hold.order, this->now);
            waiting.order.acknowledged_end = 0;
            waiting.order.lease_until.reset();
        }
        this->holds[id] = {.action = hold, .waiting = waiting.order, .until = this->now + hold.order.wait};
    }

    void answer_hold(const send_hold& hold) { this->answer_hold(hold, hold.order); }

    /// @param order what is left to carry out of the hold
    void answer_hold(const send_hold& hold, const hold_order& order) {
        if (this->late_workers.contains(hold.worker.id)) {
            this->carry_out_late(hold.worker.id, this->late_delay(),
                                 [this, hold, order] { this->site.hold(hold.worker, order, this->now); });
            this->reply_after(call_timeout, [this, hold] {
                this->schedule->on_hold_report(hold.worker, hold.order, {}, this->now);
            });
            return;
        }
        const bool is_cut = this->cut_workers.contains(hold.worker.id);
        auto report = is_cut ? hold_report{} : this->site.hold(hold.worker, order, this->now);
        if (is_cut || this->unanswered_workers.contains(hold.worker.id)) {
            this->schedule_event(call_timeout, [this, hold, sending_term = this->term] {
                if (sending_term == this->term) {
                    this->schedule->on_hold_report(hold.worker, hold.order, {}, this->now);
                }
            });
            return;
        }
        if (this->reports_are_unreadable) {
            report.running.clear();
            report.ended.clear();
            report.complete = false;
        }
        this->reply_after(answer_delay + this->jitter(), [hold, report, this] {
            this->schedule->on_hold_report(hold.worker, hold.order, report, this->now);
        });
    }

    milliseconds jitter() {
        const auto limit = static_cast<std::uint64_t>(this->answer_jitter.count());
        return milliseconds(limit == 0 ? 0 : static_cast<std::int64_t>(this->random() % limit));
    }

    /// Runs @p order after @p delay. If the worker process has ended by then that ran when the order was
    /// sent, the order is lost with it, unless it is still on its way.
    void carry_out_late(const std::string& worker, milliseconds delay, std::function<void()> order) {
        const auto received_by = this->site.instance_start_of(worker);
        this->schedule_event(delay, [this, worker, received_by, order = std::move(order)] {
            if (this->orders_outlive_processes || this->site.instance_start_of(worker) == received_by) {
                order();
            }
        });
    }

    /// @return the time after which an order that arrives now is carried out
    milliseconds late_delay() {
        const auto delay = milliseconds(2000 + static_cast<std::int64_t>(this->random() % 10000));
        this->late_until = std::max(this->late_until, this->now + delay);
        return delay;
    }

    /// Delivers an answer to the scheduler that sent the request, unless it was replaced meanwhile.
    void reply(std::function<void()> function) { this->reply_after(answer_delay, std::move(function)); }

    void reply_after(milliseconds delay, std::function<void()> function) {
        this->schedule_event(delay, [this, sending_term = this->term, function = std::move(function)] {
            if (sending_term == this->term && this->is_powered) {
                function();
            }
        });
    }

    void read_jobs() {
        const auto read = this->log.read({.topic = log_topic::jobs, .from = this->jobs_read});
        for (const auto& record : read.records) {
            this->schedule->on_job_record(0, record, this->now);
        }
        this->jobs_read = read.next;
    }

    void inject_faults() {
        constexpr double round_s = 0.002;
        if (this->occurs(this->faults.crash * round_s)) {
            this->site.crash(this->vm_names[this->random() % this->vm_names.size()], this->now);
        }
        if (this->occurs(this->faults.outage * round_s) && this->log_is_up) {
            this->log_is_up = false;
            const bool ends_with_takeover = this->random() % 2 == 0;
            this->schedule_event(milliseconds(500 + static_cast<std::int64_t>(this->random() % 4500)),
                                 [this, ends_with_takeover] {
                                     this->log_is_up = true;
                                     if (ends_with_takeover) {
                                         this->take_over();
                                     }
                                 });
        }
        // A successor needs the log.
        if (this->log_is_up && this->occurs(this->faults.failover * round_s)) {
            this->take_over();
        }
    }

    void refresh_workers() {
        if (!this->log_is_up) {
            return;
        }
        std::set<std::string> ids;
        bool has_removal = false;
        for (const auto& entry : this->site.workers()) {
            if (this->lapsed_entries.contains(entry.id)) {
                continue;
            }
            ids.insert(entry.id);
            const auto known = this->listed.find(entry.id);
            const bool is_repeated = this->entries_repeat && known != this->listed.end() &&
                                     this->now >= known->second.delivered + entry_interval;
            if (known == this->listed.end() || is_repeated || !is_same_entry(known->second.entry, entry)) {
                this->schedule->on_worker(entry, this->now);
                this->listed[entry.id] = {.entry = entry, .delivered = this->now};
            }
        }
        for (auto at = this->listed.begin(); at != this->listed.end();) {
            const bool is_removed = !ids.contains(at->first);
            has_removal = has_removal || is_removed;
            at = is_removed ? this->listed.erase(at) : std::next(at);
        }
        if (has_removal) {
            this->schedule->retain_listed_workers(ids, this->now);
        }
    }

    static bool is_same_entry(const worker_entry& first, const worker_entry& second) {
        return first.instance_started_ms == second.instance_started_ms && first.draining == second.draining &&
               first.address.port == second.address.port && first.capacity == second.capacity;
    }

    template <class Send, class Answer>
    void order(const std::string& worker, Send send, Answer answer, order_answer unknown_answer) {
        if (this->late_workers.contains(worker) || this->occurs(this->faults.late_order)) {
            const auto delay = this->late_workers.contains(worker)
                                   ? this->late_delay()
                                   : milliseconds(2000 + static_cast<std::int64_t>(this->random() % 6000));
            this->carry_out_late(worker, delay, [send] { send(); });
            this->schedule_event(call_timeout, [this, sending_term = this->term, answer, unknown_answer] {
                if (sending_term == this->term) {
                    answer(unknown_answer);
                }
            });
            return;
        }
        this->schedule_event(
            milliseconds(1), [this, worker, sending_term = this->term, send, answer, unknown_answer] {
                const bool is_cut = this->cut_workers.contains(worker);
                const auto result = is_cut ? unknown_answer : send();
                const bool lost = is_cut || this->occurs(this->faults.lost_answer) ||
                                  this->unanswered_workers.contains(worker);
                this->schedule_event(lost ? call_timeout : answer_delay + this->jitter(),
                                     [this, sending_term, answer, result, lost, unknown_answer] {
                                         if (sending_term == this->term) {
                                             answer(lost ? unknown_answer : result);
                                         }
                                     });
            });
    }

    void execute(scheduler_action& action) {
        if (auto* commit = std::get_if<commit_progress>(&action)) {
            this->append(log_topic::progress, commit->sequence, commit->records);
        } else if (auto* states = std::get_if<publish_states>(&action)) {
            this->append(log_topic::states, states->sequence, states->records);
        } else if (auto* drop = std::get_if<drop_job_records>(&action)) {
            for (const auto& record : drop->records) {
                const bool is_job = !record.key.ends_with(cancel_suffix);
                const auto state = parse_job_state(this->state_of(record.key));
                this->early_drops += is_job && !(state && is_final(*state)) ? 1 : 0;
            }
            this->log.append({.topic = log_topic::jobs, .records = drop->records});
            this->schedule->on_records_dropped(drop->sequence, true);
        } else if (auto* start = std::get_if<send_start>(&action)) {
            ++this->starts;
            this->tickets[start->worker.id] = start->order.ticket;
            const auto& step =
                this->steps_of_job[start->order.task.job][static_cast<std::size_t>(start->order.task.step)];
            auto need = step.need;
            need.cpu_millicores = step.best_effort ? 0 : need.cpu_millicores; // it uses what others leave
            this->order(
                start->worker.id,
                [this, sent = *start, need] {
                    return this->site.start(sent.worker, sent.order, need, this->now);
                },
                [this, sent = *start](const order_answer& answer) {
                    this->schedule->on_start_answer(sent.worker, sent.order, answer, this->now);
                },
                {});
        } else if (auto* stop = std::get_if<send_stop>(&action)) {
            this->order(
                stop->worker.id,
                [this, sent = *stop] { return this->site.stop(sent.worker, sent.order, this->now); },
                [this, sent = *stop](const order_answer& answer) {
                    this->schedule->on_stop_answer(sent.worker, sent.order, answer, this->now);
                },
                {});
        } else if (auto* hold = std::get_if<send_hold>(&action)) {
            this->holds_sent += hold->order.lease_until ? 1 : 0;
            if (hold->order.wait.count() == 0) {
                this->answer_hold(*hold);
            } else {
                this->begin_waiting(*hold);
            }
        } else if (std::holds_alternative<read_vm_list>(action)) {
            const auto requested_at = this->now;
            if (this->vm_list_is_down) {
                this->reply_after(call_timeout, [this] { this->schedule->on_vm_list_failed(this->now); });
                return;
            }
            this->reply_after(answer_delay + this->vm_list_delay,
                              [this, requested_at, vms = this->site.vms()] {
                                  this->schedule->on_vm_list(vms, requested_at, this->now);
                              });
        } else if (auto* maintain = std::get_if<order_maintenance>(&action)) {
            ++this->maintenance_orders;
            this->vm_orders.emplace_back(this->now, maintain->order);
            const auto outcome = this->site.maintain(maintain->order, this->now);
            this->reply([this, order = maintain->order, outcome] {
                this->schedule->on_vm_order(order, outcome, this->now);
            });
        } else if (auto* move = std::get_if<order_move>(&action)) {
            ++this->moves;
            const auto outcome = this->site.move(move->order, this->now);
            this->reply([this, order = move->order, outcome] {
                this->schedule->on_vm_order(order, outcome, this->now);
            });
        } else if (auto* advice = std::get_if<request_advice>(&action)) {
            advice_answer answer{.done = true};
            for (const auto& worker : advice->call.workers) {
                if (this->is_advised(worker)) {
                    answer.tickets.push_back({.worker = worker, .ticket = "ticket-" + worker});
                }
            }
            this->reply(
                [this, call = advice->call, answer] { this->schedule->on_advice(call, answer, this->now); });
        } else if (auto* report = std::get_if<write_report>(&action)) {
            this->reports.emplace_back(report->wave, report->completed);
            this->schedule->on_reported(report->wave, report->completed, true);
        }
    }

    void append(log_topic topic, std::int64_t sequence, std::vector<keyed_record> records) {
        if (!this->log_is_up) {
            this->schedule_event(append_retry, [this, topic, sequence, records, term = this->term] {
                if (term == this->term) {
                    this->append(topic, sequence, records);
                }
            });
            return;
        }
        std::size_t bytes = 0;
        for (const auto& record : records) {
            bytes += record.value.size();
        }
        this->largest_append = std::max(this->largest_append, bytes);
        const auto answer = this->log.append(
            {.topic = topic,
             .records = std::move(records),
             .producer = append_producer{.name = "s", .epoch = this->term, .sequence = sequence}});
        if (answer.outcome == append_outcome::rejected) {
            ++this->rejected_appends;
        }
        if (answer.outcome == append_outcome::appended || answer.outcome == append_outcome::rejected) {
            ++this->unconfirmed_appends;
            this->reply_after(answer_delay + this->append_delay, [this, topic, sequence, answer] {
                --this->unconfirmed_appends;
                this->on_append(topic, sequence, answer);
            });
        }
    }

    void on_append(log_topic topic, std::int64_t sequence, const append_answer& answer) {
        const bool is_stored = answer.outcome == append_outcome::appended;
        if (topic == log_topic::progress && is_stored) {
            this->schedule->on_committed(sequence, this->now);
        } else if (topic == log_topic::progress) {
            this->schedule->on_commit_rejected(sequence, answer.reason, this->now);
        } else if (is_stored) {
            this->schedule->on_published(sequence, this->now);
        } else {
            this->schedule->on_publish_rejected(sequence, answer.reason, this->now);
        }
    }

    struct listed_entry {
        worker_entry entry;
        boot_time delivered{};
    };
    struct pending_hold {
        send_hold action;
        hold_order waiting; ///< what is left to carry out when it is answered
        boot_time until{};
    };

    std::shared_ptr<const site_config> config;
    std::vector<wave_request> waves;
    std::vector<std::string> vm_names;
    std::map<std::string, std::vector<step_spec>> steps_of_job;
    std::map<std::string, job_spec> submitted_jobs;
    std::int64_t unconfirmed_appends = 0;
    std::multimap<boot_time, std::function<void()>> events;
    std::map<std::string, pending_hold> holds;
    std::map<std::string, listed_entry> listed; ///< delivered to the scheduler, by worker
    std::int64_t term = 0;
    std::int64_t jobs_read = 0;
    std::uint64_t next_job = 0;
};

/// @return a wave over the first @p vms VMs of the pool "pool"
inline wave_request wave_over_pool(int vms, milliseconds duration, std::int32_t max_down) {
    wave_request wave{.number = 1, .duration = duration, .max_down = max_down};
    for (int vm = 0; vm < vms; ++vm) {
        wave.vms.push_back(fmt::format("m-pool-{}", vm));
    }
    return wave;
}

/// @return a job of one step
inline job_spec batch_job(int tasks, std::int64_t cpu_millicores = 2000) {
    return {.queue = "batch",
            .account = "team",
            .pool = "pool",
            .attempts = 2,
            .payload = "work",
            .steps = {{.count = tasks,
                       .need = {.cpu_millicores = cpu_millicores, .memory_mb = 1000},
                       .estimate = milliseconds(1000)}}};
}

/// @return a job of long-running tasks, each on a VM of its own
inline job_spec long_running_job(int tasks, int max_unavailable) {
    return {.queue = "lasting",
            .payload = "serve",
            .steps = {{.count = tasks,
                       .need = {.cpu_millicores = 2000, .memory_mb = 1000},
                       .long_running = true,
                       .max_per_worker = 1,
                       .max_unavailable = max_unavailable}}};
}

} // namespace hornbeamrail::test
