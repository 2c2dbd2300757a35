#pragma once

// A scheduler whose calls the test answers itself.

#include "fakes/fake_site.hpp"
#include "scheduler/scheduler.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace hornbeamrail::test {

using std::chrono::milliseconds;

/// A scheduler whose appends of progress succeed at once while `log_answers` is true, and whose other calls
/// the test answers.
struct manual_site {
    explicit manual_site(std::int64_t fences = scheduler_options().fences_per_term)
        : schedule({.node_id = "node-1", .fences_per_term = fences}) {
        auto config = std::make_shared<site_config>();
        config->version = 1;
        config->queues = {{.name = "batch", .host = "h", .path_prefix = "/b/", .pool = "pool", .attempts = 2},
                          {.name = "advised",
                           .host = "h",
                           .path_prefix = "/a/",
                           .pool = "pool",
                           .attempts = 2,
                           .advice = advice_config{.ticket_lifetime = milliseconds(30000)}}};
        config->pools = {{.name = "pool"}};
        this->schedule.set_config(config);
        this->begin_term();
    }

    void begin_term() {
        this->schedule.begin_term(++this->term, this->now);
        this->schedule.finish_load(this->now);
    }

    void add_worker(const std::string& id, std::int64_t instance = 1, bool draining = false,
                    std::uint16_t port = 1) {
        this->schedule.on_worker({.id = id,
                                  .instance_started_ms = instance,
                                  .pool = "pool",
                                  .address = {.address = "127.0.0.1", .port = port},
                                  .zone = "zone-a",
                                  .draining = draining,
                                  .capacity = {.cpu_millicores = 32000, .memory_mb = 65536},
                                  .labels = {"a", "r1"}},
                                 this->now);
    }

    std::string submit(step_spec step, const std::string& queue = "batch", std::int32_t partition = 0) {
        job_spec job{.id = fmt::format("{:016x}", ++this->jobs),
                     .queue = queue,
                     .pool = "pool",
                     .attempts = 2,
                     .payload = "work",
                     .steps = {step}};
        this->schedule.on_job_record(
            partition, {.key = job.id, .value = boost::json::serialize(to_json(job))}, this->now);
        return job.id;
    }

    void run(milliseconds span) {
        const auto until = this->now + span;
        while (this->now < until) {
            this->now += milliseconds(5);
            this->schedule.set_term_confirmed(this->now);
            this->schedule.set_lease_renewed(this->now);
            for (auto& action : this->schedule.tick(this->now, unix_time(milliseconds(1)))) {
                this->execute(action);
            }
        }
    }

    void execute(scheduler_action& action) {
        if (const auto* commit = std::get_if<commit_progress>(&action)) {
            this->commits.push_back(commit->sequence);
            if (this->log_answers) {
                this->answer_appends();
            }
        } else if (const auto* states = std::get_if<publish_states>(&action)) {
            for (const auto& record : states->records) {
                this->deleted_states += record.value.empty() ? 1 : 0;
            }
            this->schedule.on_published(states->sequence, this->now);
        } else if (const auto* report = std::get_if<write_report>(&action)) {
            this->schedule.on_reported(report->wave, report->completed, true);
        } else if (auto* start = std::get_if<send_start>(&action)) {
            this->starts.push_back(std::move(*start));
        } else if (auto* stop = std::get_if<send_stop>(&action)) {
            this->stops.push_back(std::move(*stop));
        } else if (auto* pace = std::get_if<send_pace>(&action)) {
            this->schedule.on_pace_answer(pace->worker, pace->order, {.outcome = this->pace_outcome},
                                          this->now);
            this->paces.push_back(std::move(*pace));
        } else if (auto* hold = std::get_if<send_hold>(&action)) {
            this->holds[hold->worker.id].push_back(std::move(*hold));
        } else if (auto* request = std::get_if<request_advice>(&action)) {
            this->advice.push_back(std::move(*request));
        } else if (auto* order = std::get_if<order_maintenance>(&action)) {
            this->maintenance.push_back(std::move(*order));
        } else if (const auto* drop = std::get_if<drop_job_records>(&action)) {
            ++this->drops;
            if (this->drop_succeeds) {
                const bool refused = drop->partition == this->partition_without_drops;
                this->schedule.on_records_dropped(drop->sequence, *this->drop_succeeds && !refused);
            }
        } else if (std::holds_alternative<read_vm_list>(action)) {
            this->vm_lists_requested.push_back(this->now);
        }
    }

    /// Confirms the appends of progress that the log has not answered.
    void answer_appends() {
        for (const auto sequence : std::exchange(this->commits, {})) {
            this->schedule.on_committed(sequence, this->now);
        }
    }

    static hold_report report_of(std::vector<running_task> running, std::int64_t instance,
                                 std::vector<ended_task> ended = {}) {
        return {.outcome = order_outcome::done,
                .worker_clock = milliseconds(1000),
                .instance_started_ms = instance,
                .running = std::move(running),
                .ended = std::move(ended)};
    }

    void answer(const send_hold& hold, std::vector<running_task> running = {}, std::int64_t instance = 1) {
        this->schedule.on_hold_report(hold.worker, hold.order, report_of(std::move(running), instance),
                                      this->now);
    }

    /// Answers the latest hold of the worker.
    void answer_hold(const std::string& worker, std::vector<running_task> running = {},
                     std::int64_t instance = 1) {
        this->answer(this->holds.at(worker).back(), std::move(running), instance);
    }

    /// Answers the latest hold of the worker with one task that is done.
    void answer_hold_with_end(const std::string& worker, std::int64_t number, const start_order& done) {
        const auto& hold = this->holds.at(worker).back();
        const ended_task end{.number = number, .task = done.task, .run = done.run, .outcome = task_end::done};
        this->schedule.on_hold_report(hold.worker, hold.order, report_of({}, 1, {end}), this->now);
    }

    /// Lets the holds of the worker end without an answer for @p span.
    void be_silent(const std::string& worker, milliseconds span) {
        for (const auto until = this->now + span; this->now < until;) {
            const auto& hold = this->holds.at(worker).back();
            this->schedule.on_hold_report(hold.worker, hold.order, {}, this->now);
            this->run(milliseconds(50));
        }
    }

    /// Answers the first two holds of a new worker: from then on it takes tasks.
    void confirm(const std::string& worker) {
        this->run(milliseconds(20));
        this->answer_hold(worker);
        this->run(milliseconds(20));
        this->answer_hold(worker);
        this->run(milliseconds(40));
    }

    void answer(const send_start& start, order_outcome outcome,
                milliseconds worker_clock = milliseconds(1000)) {
        this->schedule.on_start_answer(start.worker, start.order,
                                       {.outcome = outcome, .worker_clock = worker_clock}, this->now);
    }

    void answer(const request_advice& request) {
        advice_answer answer{.done = true};
        for (const auto& worker : request.call.workers) {
            answer.tickets.push_back({.worker = worker, .ticket = "ticket"});
        }
        this->schedule.on_advice(request.call, answer, this->now);
    }

    void set_vms(std::vector<vm_entry> vms, boot_time requested_at) {
        this->schedule.on_vm_list(vms, requested_at, this->now);
    }

    boot_time now{milliseconds(100000)};
    scheduler schedule;
    std::int64_t term = 0;
    std::uint64_t jobs = 0;
    std::vector<send_start> starts;
    std::vector<send_stop> stops;
    std::vector<send_pace> paces; ///< answered at once with `pace_outcome`
    order_outcome pace_outcome = order_outcome::done;
    std::map<std::string, std::vector<send_hold>> holds;
    std::vector<request_advice> advice;
    std::vector<order_maintenance> maintenance;
    std::vector<boot_time> vm_lists_requested;
    bool log_answers = true;
    std::vector<std::int64_t> commits;         ///< appends of progress without an answer
    std::int64_t deleted_states = 0;           ///< states dropped from the states topic
    std::int64_t drops = 0;                    ///< appends that drop records of jobs
    std::optional<bool> drop_succeeds;         ///< their result; empty: not answered
    std::int32_t partition_without_drops = -1; ///< refuses them whatever `drop_succeeds` is
};

/// @return a VM of the pool "pool" that is up
inline vm_entry vm_of(const std::string& id, const std::string& worker) {
    return {.id = id,
            .pool = "pool",
            .condition = vm_condition::up,
            .zone = "zone-a",
            .capacity = {.cpu_millicores = 32000, .memory_mb = 65536},
            .worker = worker};
}

} // namespace hornbeamrail::test
