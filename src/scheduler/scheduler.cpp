#include "scheduler/scheduler.hpp"

#include "protocol/json_log.hpp"
#include "scheduler/scheduler_impl.hpp"
#include "state/job_index.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace hornbeamrail {

namespace {

/// Runs @p decode and logs its failure.
template <class Decode>
void read_progress(const std::string& key, Decode decode) {
    error problem;
    const auto read = value_or_error(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(decode());
            return true;
        },
        problem);
    if (!read) {
        write_log(severity::error, "progress_unreadable", {{"key", key}, {"reason", problem.message}});
    }
}

} // namespace

scheduler::scheduler(scheduler_options options) : self(std::make_unique<impl>(std::move(options))) {}

scheduler::~scheduler() = default;

void scheduler::begin_term(std::int64_t term, boot_time now) {
    auto next = std::make_unique<impl>(this->self->options);
    next->apply_config(this->self->config);
    next->zones_out = std::move(this->self->zones_out);
    for (auto& [number, wave] : this->self->waves) {
        next->waves[number].request = std::move(wave.request);
        next->waves[number].started_at = wave.started_at;
    }
    next->stopping = this->self->stopping;
    next->drop_sequence = this->self->drop_sequence;
    next->latest_hold = this->self->latest_hold;
    next->term = term;
    next->term_begin = now;
    next->term_confirmed = now;
    next->lease_renewed = now;
    this->self = std::move(next);
}

void scheduler::begin_stop() {
    this->self->stopping = true;
}

bool scheduler::has_vm_orders_in_flight() const noexcept {
    return !this->self->vm_orders.empty();
}

void scheduler::end_term() {
    this->self->term = 0;
    this->self->loaded = false;
    this->self->actions.clear();
}

std::int64_t scheduler::term() const noexcept {
    return this->self->term;
}

void scheduler::load_job(std::int32_t partition, const keyed_record& record) {
    this->on_job_record(partition, record, this->self->term_begin);
}

void scheduler::load_progress(const keyed_record& record) {
    auto& state = *this->self;
    if (state.load_wave(record) || record.value.empty()) {
        return;
    }
    if (parse_progress_key(record.key).part) {
        state.loaded_parts.push_back(record); // the main record says whether it counts
        return;
    }
    if (auto* job = state.find_job(record.key)) {
        read_progress(record.key, [&] { return decode_progress(*job, record.value); });
    }
}

void scheduler::impl::apply_loaded_parts() {
    for (const auto& record : std::exchange(this->loaded_parts, {})) {
        const auto key = parse_progress_key(record.key);
        auto* job = this->find_job(key.job);
        if (job == nullptr) {
            continue;
        }
        if (*key.part >= job->recorded.parts) {
            this->next_batch.records.push_back({.key = record.key}); // no main record counts it
            continue;
        }
        read_progress(record.key, [&] { return decode_progress_part(*job, *key.part, record.value); });
    }
}

void scheduler::load_state(const keyed_record& record) {
    const auto state = parse_job_state(record.value);
    auto* job = this->self->find_job(record.key);
    if (!state || !is_final(*state)) {
        return;
    }
    const final_job known{.partition = job == nullptr ? 0 : job->partition,
                          .parts = job == nullptr ? 0 : job->recorded.parts,
                          .state_recorded = true};
    this->self->finals.emplace(record.key, known);
    if (const auto cancellation = this->self->open_cancellations.find(record.key);
        cancellation != this->self->open_cancellations.end()) {
        cancellation->second.drop_at = this->self->term_begin;
    }
    this->self->cleanups[known.partition].jobs.push_back({.id = record.key,
                                                          .finished = this->self->term_begin,
                                                          .records_dropped = job == nullptr,
                                                          .cancelled = *state == job_state::cancelled});
    // Runs of a final job that still exist are reported by their workers and stopped as unknown.
    this->self->jobs.erase(record.key);
}

void scheduler::finish_load(boot_time now) {
    auto& state = *this->self;
    std::size_t adopted = 0;
    const auto longest_lease = state.timings.hold_without_log + state.options.limits.max_lease_duration;
    state.apply_loaded_parts();
    for (auto& [id, job] : state.jobs) {
        if (job->cancel_requested && !is_final(job->state)) {
            job->state = job_state::cancelled;
        }
        for (auto& occurrence : job->occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                auto& tasks = occurrence.steps[step].tasks;
                for (std::size_t index = 0; index < tasks.size(); ++index) {
                    auto& task = tasks[index];
                    if (task.phase != run_phase::placed) {
                        continue;
                    }
                    const task_id name{.job = id,
                                       .occurrence = occurrence.number,
                                       .step = static_cast<std::int32_t>(step),
                                       .index = static_cast<std::int32_t>(index)};
                    auto& worker = state.workers[task.worker];
                    worker.entry.id = task.worker;
                    task.placed_at = now;
                    auto* placed = state.add_placement(worker, *job, name, task.run, now);
                    placed->pace.reset(); // ordered by a predecessor
                    // Its fence is 0, so any hold of this term resolves it.
                    state.set_stage(*placed, start_stage::unacknowledged, now);
                    ++adopted;
                }
            }
        }
    }
    state.count_known_arrivals(now);
    for (auto& [id, worker] : state.workers) {
        state.extend_lease_bound(worker, longest_lease, now);
        if (worker.entry.address.port == 0) {
            // Not in the workers topic, so it has no address, and `hold_in_flight` keeps holds from being
            // sent. Only the VM list or the end of its leases shows that its runs have ended.
            worker.unanswered_holds = 2;
            worker.unanswered_since = now;
            worker.hold_in_flight = true;
        }
    }
    for (auto& [id, job] : state.jobs) {
        if (is_final(job->state)) {
            state.next_batch.states.emplace_back(id, job->state);
            state.mark_dirty(*job);
        }
    }
    std::vector<std::string> ended_jobs;
    for (auto& [id, job] : state.jobs) {
        if (is_final(job->state) || job->is_done()) {
            ended_jobs.push_back(id);
        }
    }
    for (const auto& id : ended_jobs) {
        if (auto* job = state.find_job(id)) {
            state.advance_job(*job, now);
        }
    }
    state.loaded = true;
    state.dispatch_due = true;
    state.releases_allowed_from =
        now + (state.has_batch_jobs() ? state.timings.move_warmup : state.timings.longest_warmup);
    write_log(severity::info, "schedule_loaded",
              {{"term", state.term},
               {"jobs", state.jobs.size()},
               {"final_jobs", state.finals.size()},
               {"runs_adopted", adopted},
               {"workers", state.workers.size()}});
}

void scheduler::on_job_record(std::int32_t partition, const keyed_record& record, boot_time now) {
    auto& state = *this->self;
    const std::string_view key = record.key;
    if (key.ends_with(cancel_suffix)) {
        const auto id = std::string(key.substr(0, key.size() - cancel_suffix.size()));
        auto* job = state.find_job(id);
        if (record.value.empty()) {
            state.open_cancellations.erase(id);
        } else if (state.loaded) {
            state.cancel_job(id, partition, now);
        } else if (job != nullptr) {
            job->cancel_requested = true;
        } else {
            state.note_open_cancellation(id, partition, now);
        }
        return;
    }
    state.add_job(partition, record, now);
    auto* job = state.find_job(record.key);
    if (job == nullptr || state.open_cancellations.erase(record.key) == 0) {
        return;
    }
    if (state.loaded) {
        state.cancel_job(record.key, partition, now);
    } else {
        job->cancel_requested = true;
    }
}

void scheduler::set_config(std::shared_ptr<const site_config> config) {
    this->self->apply_config(std::move(config));
    this->self->dispatch_due = true;
}

void scheduler::set_zones_out(std::set<std::string> zones) {
    this->self->zones_out = std::move(zones);
    this->self->dispatch_due = true;
}

void scheduler::set_term_confirmed(boot_time confirmed) {
    this->self->term_confirmed = std::max(this->self->term_confirmed, confirmed);
}

void scheduler::set_loop_delay(std::chrono::milliseconds delay) {
    this->self->loop_delay = delay;
}

void scheduler::set_lease_renewed(boot_time renewed) {
    this->self->lease_renewed = std::max(this->self->lease_renewed, renewed);
}

std::vector<scheduler_action> scheduler::tick(boot_time now, unix_time clock) {
    auto& state = *this->self;
    if (state.term == 0 || !state.loaded) {
        return {};
    }
    state.check_unresponsive_workers(now);
    state.request_vm_list(now);
    if (now < state.vm_orders_allowed_until()) {
        state.plan_waves(now);
        state.plan_moves(now);
    }
    state.open_occurrences(clock);
    state.dispatch(now, clock);
    state.report_overdue_tasks(now);
    state.pace_best_effort_tasks(now);
    state.drop_finished(now);
    state.commit(now);
    state.publish(now);
    state.hold_workers(now);
    return std::move(state.actions);
}

boost::json::value scheduler::dump(boot_time now) const {
    const auto& state = *this->self;
    boost::json::array workers;
    for (const auto& [id, worker] : state.workers) {
        workers.push_back(boost::json::object{{"worker", id},
                                              {"pool", worker.entry.pool},
                                              {"tasks", worker.tasks.size()},
                                              {"starting", worker.count_starting()},
                                              {"used_cpu_millis", worker.used.cpu_millicores},
                                              {"confirmed", worker.confirmed},
                                              {"unanswered", worker.unanswered_holds},
                                              {"fence", state.fence_of(worker)},
                                              {"block", to_string(state.find_block(worker, now))}});
    }
    boost::json::array jobs;
    for (const auto& [id, job] : state.jobs) {
        jobs.push_back(boost::json::object{{"job", id},
                                           {"queue", job->spec.queue},
                                           {"state", to_string(job->state)},
                                           {"active_tasks", job->active_tasks()}});
    }
    return boost::json::object{{"term", state.term},
                               {"starts_in_flight", state.starts_in_flight},
                               {"workers", std::move(workers)},
                               {"jobs", std::move(jobs)}};
}

} // namespace hornbeamrail
