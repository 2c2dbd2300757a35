#pragma once

// Drives a scheduler against the stand-ins of log, workers and VMs in simulated time, with seeded faults.

#include "coordination/scheduler.hpp"
#include "fakes/fake_site.hpp"
#include "run_checks.hpp"
#include "state/job_index.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace hornbeamrail::test {

using std::chrono::milliseconds;

struct site_faults {
    double lost_answer = 0; ///< orders that are carried out without an answer
    double late_order = 0;  ///< orders without an answer that are carried out seconds later
    double crash = 0;       ///< crashes of a worker per second
    double failover = 0;    ///< takeovers by another scheduler per second
};

/// Longest that an answer takes, and the time after which one is given up.
inline constexpr milliseconds answer_delay{4};
inline constexpr milliseconds call_timeout{900};

class scheduler_site {
public:
    explicit scheduler_site(std::uint64_t seed, site_faults given = {})
        : random(seed), faults(given), site({}) {
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

    /// Starts the scheduler, or replaces it by a successor that knows only the log.
    void take_over() {
        this->schedule =
            std::make_unique<scheduler>(scheduler_options{.node_id = fmt::format("node-{}", this->term + 1)});
        ++this->term;
        this->schedule->set_config(this->config);
        this->schedule->set_waves(this->waves);
        this->schedule->begin_term(this->term, this->now);
        this->schedule->set_waves(this->waves);
        for (const auto topic : {log_topic::progress, log_topic::states}) {
            this->log.append({.topic = topic,
                              .producer = append_producer{.name = "s", .epoch = this->term, .sequence = 0}});
        }
        for (const auto& entry : this->site.workers()) {
            this->schedule->on_worker(entry, this->now);
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

    std::string submit(job_spec job) {
        job.id = fmt::format("{:016x}", ++this->next_job);
        job.submitted = this->clock();
        if (job.steps.front().long_running) {
            this->site.set_long_running(job.id);
        }
        this->needs[job.id] = job.steps;
        this->log.append({.topic = log_topic::jobs,
                          .records = {{.key = job.id, .value = boost::json::serialize(to_json(job))}}});
        return job.id;
    }

    void cancel(const std::string& id) {
        this->log.append(
            {.topic = log_topic::jobs, .records = {{.key = id + std::string(cancel_suffix), .value = "1"}}});
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

    /// Runs the site for @p span.
    void run(milliseconds span) {
        const auto until = this->now + span;
        while (this->now < until) {
            this->now += milliseconds(2);
            this->inject();
            this->deliver_due();
            this->refresh_workers();
            const auto read = this->log.read({.topic = log_topic::jobs, .from = this->jobs_read});
            for (const auto& record : read.records) {
                this->schedule->on_job_record(0, record, this->now);
            }
            this->jobs_read = read.next;
            this->schedule->set_log_contact(this->now);
            if (this->renews) {
                this->schedule->set_lease_renewed(this->now);
            }
            for (auto& action : this->schedule->tick(this->now, this->clock())) {
                this->carry_out(action);
            }
        }
    }

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
            count += run.task.job == id && run.ended == boot_time::max() ? 1 : 0;
        }
        return count;
    }

    /// @return long-running tasks of the job that are past their startup
    [[nodiscard]] std::int64_t tasks_at_work(const std::string& id) {
        this->site.advance(this->now);
        const auto& history = this->site.history();
        return std::count_if(history.begin(), history.end(), [&](const auto& run) {
            return run.task.job == id && run.ended == boot_time::max() &&
                   this->now >= run.begun + fake_site::options().startup_time;
        });
    }

    [[nodiscard]] std::vector<std::string> doubled_runs() const {
        return test::doubled_runs(this->site.history());
    }

    boot_time now{milliseconds(100000)};
    std::mt19937_64 random;
    site_faults faults;
    fake_site site;
    fake_keyed_log log;
    std::unique_ptr<scheduler> schedule;
    std::vector<std::pair<std::int64_t, bool>> reports; ///< wave, completed
    std::function<bool(const std::string&)> advised = [](const std::string&) {
        return true;
    };
    std::map<std::string, std::string> tickets; ///< of the latest start, by worker
    std::int64_t starts = 0;
    std::int64_t moves = 0;
    std::int64_t maintenance_orders = 0;
    bool renews = true;           ///< whether the scheduler can renew its lease
    std::int64_t early_drops = 0; ///< job records dropped before the final state was stored

    [[nodiscard]] unix_time clock() const {
        return unix_time(std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch()));
    }

private:
    bool happens(double probability) {
        return probability > 0 && std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }

    void later(milliseconds delay, std::function<void()> function) {
        this->events.emplace(this->now + delay, std::move(function));
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
            this->answer_hold(waiting.action);
        }
    }

    void answer_hold(const send_hold& hold) {
        const auto report = this->site.hold(hold.worker, hold.order, this->now);
        this->reply([hold, report, this] {
            this->schedule->on_hold_report(hold.worker, hold.order, report, this->now);
        });
    }

    /// Gives an answer to the scheduler that asked, unless it was replaced.
    void reply(std::function<void()> function) {
        this->later(answer_delay, [this, asked = this->term, function = std::move(function)] {
            if (asked == this->term) {
                function();
            }
        });
    }

    void inject() {
        constexpr double round_s = 0.002;
        if (this->happens(this->faults.crash * round_s)) {
            this->site.crash(this->vm_names[this->random() % this->vm_names.size()], this->now);
        }
        if (this->happens(this->faults.failover * round_s)) {
            this->take_over();
        }
    }

    void refresh_workers() {
        std::set<std::string> ids;
        for (const auto& entry : this->site.workers()) {
            ids.insert(entry.id);
            if (!this->listed.contains(entry.id)) {
                this->schedule->on_worker(entry, this->now);
            }
        }
        if (ids != this->listed) {
            this->schedule->retain_listed_workers(ids, this->now);
        }
        this->listed = std::move(ids);
    }

    template <class Send, class Answer>
    void order(Send send, Answer answer, order_answer silence) {
        if (this->happens(this->faults.late_order)) {
            const auto delay = milliseconds(2000 + static_cast<std::int64_t>(this->random() % 6000));
            this->later(delay, [send] { send(); });
            this->later(call_timeout, [this, asked = this->term, answer, silence] {
                if (asked == this->term) {
                    answer(silence);
                }
            });
            return;
        }
        this->later(milliseconds(1), [this, asked = this->term, send, answer, silence] {
            const auto result = send();
            const bool lost = this->happens(this->faults.lost_answer);
            this->later(lost ? call_timeout : answer_delay, [this, asked, answer, result, lost, silence] {
                if (asked == this->term) {
                    answer(lost ? silence : result);
                }
            });
        });
    }

    void carry_out(scheduler_action& action) {
        if (auto* commit = std::get_if<commit_progress>(&action)) {
            this->append(
                log_topic::progress, commit->sequence, commit->records,
                [this](std::int64_t sequence) { this->schedule->on_committed(sequence, this->now); });
        } else if (auto* states = std::get_if<publish_states>(&action)) {
            this->append(log_topic::states, states->sequence, states->records, [this](std::int64_t sequence) {
                this->schedule->on_published(sequence, this->now);
            });
        } else if (auto* drop = std::get_if<drop_job_records>(&action)) {
            for (const auto& record : drop->records) {
                const bool is_job = !record.key.ends_with(cancel_suffix);
                const auto state = parse_job_state(this->state_of(record.key));
                this->early_drops += is_job && !(state && is_final(*state)) ? 1 : 0;
            }
            this->log.append({.topic = log_topic::jobs, .records = drop->records});
        } else if (auto* start = std::get_if<send_start>(&action)) {
            ++this->starts;
            this->tickets[start->worker.id] = start->order.ticket;
            const auto need =
                this->needs[start->order.task.job][static_cast<std::size_t>(start->order.task.step)].need;
            this->order([this, sent = *start,
                         need] { return this->site.start(sent.worker, sent.order, need, this->now); },
                        [this, sent = *start](const order_answer& answer) {
                            this->schedule->on_start_answer(sent.worker, sent.order, answer, this->now);
                        },
                        {});
        } else if (auto* stop = std::get_if<send_stop>(&action)) {
            this->order([this, sent = *stop] { return this->site.stop(sent.worker, sent.order, this->now); },
                        [this, sent = *stop](const order_answer& answer) {
                            this->schedule->on_stop_answer(sent.worker, sent.order, answer, this->now);
                        },
                        {});
        } else if (auto* hold = std::get_if<send_hold>(&action)) {
            if (hold->order.wait.count() == 0) {
                this->answer_hold(*hold);
            } else {
                this->holds[hold->worker.id] = {.action = *hold, .until = this->now + hold->order.wait};
            }
        } else if (std::holds_alternative<read_vm_list>(action)) {
            const auto asked = this->now;
            this->reply([this, asked] { this->schedule->on_vm_list(this->site.vms(), asked, this->now); });
        } else if (auto* maintain = std::get_if<order_maintenance>(&action)) {
            ++this->maintenance_orders;
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
        } else if (auto* advice = std::get_if<ask_advice>(&action)) {
            advice_answer answer{.done = true};
            for (const auto& worker : advice->call.workers) {
                if (this->advised(worker)) {
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

    template <class Done>
    void append(log_topic topic, std::int64_t sequence, std::vector<keyed_record> records, Done done) {
        const auto answer = this->log.append(
            {.topic = topic,
             .records = std::move(records),
             .producer = append_producer{.name = "s", .epoch = this->term, .sequence = sequence}});
        if (answer.outcome == append_outcome::appended) {
            this->reply([done, sequence] { done(sequence); });
        }
    }

    struct waiting_hold {
        send_hold action;
        boot_time until{};
    };

    std::shared_ptr<const site_config> config;
    std::vector<wave_request> waves;
    std::vector<std::string> vm_names;
    std::map<std::string, std::vector<step_spec>> needs;
    std::multimap<boot_time, std::function<void()>> events;
    std::map<std::string, waiting_hold> holds;
    std::set<std::string> listed;
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

/// @return a job whose tasks last, each on a VM of its own
inline job_spec lasting_job(int tasks, int max_unavailable) {
    return {.queue = "lasting",
            .payload = "serve",
            .steps = {{.count = tasks,
                       .need = {.cpu_millicores = 2000, .memory_mb = 1000},
                       .long_running = true,
                       .max_per_worker = 1,
                       .max_unavailable = max_unavailable}}};
}

} // namespace hornbeamrail::test
