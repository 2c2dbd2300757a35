#include "scheduler/scheduler_impl.hpp"

#include "protocol/json_log.hpp"
#include "state/job_index.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <span>
#include <utility>

// Records of the schedule in the log: the progress of jobs before their effects, then their states, and the
// drops of records that are no longer needed. A record that the log does not accept holds back what depends
// on it and nothing else.

namespace hornbeamrail {

namespace {

/// Maximum number of jobs whose records are dropped in one append.
constexpr std::size_t drop_batch = 200;

} // namespace

bool scheduler::impl::is_set_aside(const std::string& job, boot_time now) const {
    const auto found = this->unrecorded_jobs.find(job);
    return found != this->unrecorded_jobs.end() && now < found->second.retry_at;
}

task_progress* scheduler::impl::find_unsent_start(const recorded_start& start) {
    auto* job = this->find_job(start.task.job);
    auto* task = job == nullptr ? nullptr : job->find_task(start.task);
    const bool counts = task != nullptr && this->workers.contains(start.worker) &&
                        task->phase == run_phase::placed && task->worker == start.worker &&
                        task->run == start.run;
    return counts ? task : nullptr;
}

task_progress* scheduler::impl::remove_unsent_start(const recorded_start& start) {
    auto* task = this->find_unsent_start(start);
    if (task != nullptr) {
        const auto& account = this->find_job(start.task.job)->spec.account;
        this->remove_placement(this->workers.at(start.worker), start.task, account);
    }
    return task;
}

void scheduler::impl::withdraw_start(const recorded_start& start, boot_time retry_at) {
    if (auto* task = this->remove_unsent_start(start)) {
        this->requeue(*this->find_job(start.task.job), start.task, *task, retry_at);
    }
}

void scheduler::impl::withhold_effects(commit_batch& batch, boot_time now) {
    std::erase_if(batch.starts, [&](const recorded_start& start) {
        const bool withheld = this->is_set_aside(start.task.job, now);
        if (withheld) {
            this->withdraw_start(start, this->unrecorded_jobs[start.task.job].retry_at);
        }
        return withheld;
    });
    std::erase_if(batch.ends, [&](const recorded_end& end) {
        const bool withheld = this->is_set_aside(end.job, now);
        if (withheld) {
            this->unrecorded_jobs[end.job].ends.push_back(end);
        }
        return withheld;
    });
    std::erase_if(batch.states, [&](const auto& item) {
        const bool withheld = this->is_set_aside(item.first, now);
        if (withheld) {
            this->unrecorded_jobs[item.first].states.push_back(item.second);
        }
        return withheld;
    });
}

void scheduler::impl::retry_unrecorded_jobs(commit_batch& batch, boot_time now) {
    for (auto& [id, job] : this->unrecorded_jobs) {
        if (now < job.retry_at) {
            this->dirty_jobs.erase(id);
            continue;
        }
        this->dirty_jobs.insert(id);
        batch.ends.insert(batch.ends.end(), job.ends.begin(), job.ends.end());
        job.ends.clear();
        for (const auto state : job.states) {
            batch.states.emplace_back(id, state);
        }
        job.states.clear();
    }
}

void scheduler::impl::encode_dirty_jobs(commit_batch& batch) {
    for (const auto& id : this->dirty_jobs) {
        auto* job = this->find_job(id);
        if (job == nullptr) {
            continue;
        }
        auto records = encode_progress(*job, this->options.limits.appends.max_record_bytes);
        std::move(records.begin(), records.end(), std::back_inserter(batch.records));
        batch.jobs.push_back(id);
        if (this->finals.contains(id)) {
            batch.final_jobs.insert(id);
        }
    }
    this->dirty_jobs.clear();
}

void scheduler::impl::commit(boot_time now) {
    const bool has_retry = std::any_of(this->unrecorded_jobs.begin(), this->unrecorded_jobs.end(),
                                       [now](const auto& item) { return now >= item.second.retry_at; });
    const bool empty = !has_retry && this->dirty_jobs.empty() && this->next_batch.starts.empty() &&
                       this->next_batch.ends.empty() && this->next_batch.states.empty() &&
                       this->next_batch.records.empty();
    if (this->batch_in_flight || empty || now < this->last_commit + this->timings.commit_interval) {
        return;
    }
    commit_batch batch = std::exchange(this->next_batch, {});
    ++this->commits_begun;
    this->withhold_effects(batch, now);
    this->retry_unrecorded_jobs(batch, now);
    for (const auto& start : batch.starts) {
        auto* job = this->find_job(start.task.job);
        if (auto* task = job == nullptr ? nullptr : job->find_task(start.task)) {
            task->reserved_worker.clear(); // the append replaces the reservation
        }
    }
    this->encode_dirty_jobs(batch);
    this->last_commit = now;
    this->batch_in_flight = std::move(batch);
    this->append_next_part(now);
}

void scheduler::impl::append_next_part(boot_time now) {
    auto& batch = *this->batch_in_flight;
    if (batch.records_appended == batch.records.size()) {
        auto recorded = std::move(batch);
        this->batch_in_flight.reset();
        this->run_effects(recorded, now);
        return;
    }
    // In order, because the last record of a key replaces the others.
    const auto begin = batch.records.begin() + static_cast<std::ptrdiff_t>(batch.records_appended);
    const std::span<const keyed_record> left(begin, batch.records.end());
    batch.records_in_flight = this->commit_window.next_count(left, std::identity());
    batch.sequence = ++this->commit_sequence;
    const auto part = left.first(batch.records_in_flight);
    this->add_action(commit_progress{.sequence = batch.sequence, .records = {part.begin(), part.end()}});
}

void scheduler::on_committed(std::int64_t sequence, boot_time now) {
    auto& state = *this->self;
    if (!state.batch_in_flight || state.batch_in_flight->sequence != sequence) {
        return;
    }
    state.commit_window.on_appended();
    state.batch_in_flight->records_appended += state.batch_in_flight->records_in_flight;
    if (now >= state.last_commit + state.timings.late_append) {
        state.dispatch_due = true; // tasks without a reservation have waited for the log
        state.last_dispatch = {};
    }
    state.append_next_part(now);
}

void scheduler::on_commit_rejected(std::int64_t sequence, std::string_view reason, boot_time now) {
    auto& state = *this->self;
    if (!state.batch_in_flight || state.batch_in_flight->sequence != sequence) {
        return;
    }
    --state.commit_sequence; // nothing was appended under this number
    if (state.commit_window.on_rejected()) {
        const auto& record = state.batch_in_flight->records[state.batch_in_flight->records_appended];
        write_log(severity::error, "record_rejected",
                  {{"key", record.key}, {"bytes", bytes_in_log(record)}, {"reason", reason}});
        state.leave_out_record(now);
    }
    state.append_next_part(now);
}

void scheduler::impl::leave_out_record(boot_time now) {
    auto& batch = *this->batch_in_flight;
    const auto rejected = batch.records.begin() + static_cast<std::ptrdiff_t>(batch.records_appended);
    const auto id = parse_progress_key(rejected->key).job;
    auto* job = this->find_job(id);
    if (job == nullptr) {
        batch.records.erase(rejected); // a wave, or a drop: a successor repeats its work without harm
        return;
    }
    // The other records of the job count on each other.
    batch.records.erase(
        std::remove_if(rejected, batch.records.end(),
                       [&id](const auto& record) { return parse_progress_key(record.key).job == id; }),
        batch.records.end());
    batch.refused_jobs.insert(id);
    auto& unrecorded = this->unrecorded_jobs[id];
    unrecorded.backoff = std::clamp(unrecorded.backoff * 2, this->timings.retry_after_rejection,
                                    this->timings.longest_rejection_backoff);
    unrecorded.retry_at = now + unrecorded.backoff;
    job->recorded.digests.clear();
    job->recorded.omits_checkpoints = true;
    this->drop_unrecorded_reservations(*job);
}

void scheduler::impl::run_effects(commit_batch& batch, boot_time now) {
    // One commit is in flight at a time, so the latest one is recorded now.
    this->commits_recorded = this->commits_begun;
    this->withhold_effects(batch, now);
    this->withdraw_outdated_starts(batch, now);
    for (const auto& start : batch.starts) {
        const auto worker = this->workers.find(start.worker);
        if (worker == this->workers.end()) {
            continue; // the worker was lost meanwhile; its tasks were requeued
        }
        const auto placed = worker->second.tasks.find(start.task);
        if (placed != worker->second.tasks.end() && placed->second.stage == start_stage::recording &&
            placed->second.run == start.run) {
            this->send_start_order(worker->second, start.task, placed->second, now);
        }
    }
    for (const auto& end : batch.ends) {
        const auto worker = this->workers.find(end.worker);
        if (worker != this->workers.end()) {
            worker->second.process.unrecorded_ends.erase(end.number);
        }
    }
    for (const auto& [id, state] : batch.states) {
        this->states_to_publish.push_back({.key = id, .value = std::string(to_string(state))});
    }
    for (const auto& id : batch.jobs) {
        auto* job = batch.refused_jobs.contains(id) ? nullptr : this->find_job(id);
        if (job == nullptr) {
            continue;
        }
        this->unrecorded_jobs.erase(id);
        job->recorded.parts_are_counted = job->recorded.parts > 0;
        if (batch.final_jobs.contains(id)) {
            this->finals[id].parts = job->recorded.parts;
            this->jobs.erase(id);
        }
    }
}

void scheduler::impl::publish(boot_time now) {
    if (now >= this->rejected_states_retry_at) {
        std::move(this->rejected_states.begin(), this->rejected_states.end(),
                  std::back_inserter(this->states_to_publish));
        this->rejected_states.clear();
    }
    if (this->states_in_flight > 0 || this->states_to_publish.empty()) {
        return;
    }
    this->states_in_flight = this->publish_window.next_count(this->states_to_publish, std::identity());
    const auto begin = this->states_to_publish.begin();
    this->add_action(
        publish_states{.sequence = ++this->publish_sequence,
                       .records = {begin, begin + static_cast<std::ptrdiff_t>(this->states_in_flight)}});
}

void scheduler::impl::note_final_state_recorded(const std::string& id) {
    if (auto* job = this->find_job(id)) {
        job->final_state_recorded = true; // its last run may end later
    }
    const auto known = this->finals.find(id);
    if (known != this->finals.end()) {
        known->second.state_recorded = true;
    }
}

void scheduler::on_published(std::int64_t sequence, boot_time) {
    auto& state = *this->self;
    if (state.states_in_flight == 0 || state.publish_sequence != sequence) {
        return;
    }
    state.publish_window.on_appended();
    for (; state.states_in_flight > 0; --state.states_in_flight) {
        const auto& record = state.states_to_publish.front();
        const auto published = parse_job_state(record.value);
        if (published && is_final(*published)) {
            state.note_final_state_recorded(record.key);
        }
        state.states_to_publish.pop_front();
    }
}

void scheduler::on_publish_rejected(std::int64_t sequence, std::string_view reason, boot_time now) {
    auto& state = *this->self;
    if (state.states_in_flight == 0 || state.publish_sequence != sequence) {
        return;
    }
    --state.publish_sequence; // nothing was appended under this number
    state.states_in_flight = 0;
    if (state.publish_window.on_rejected()) {
        auto record = std::move(state.states_to_publish.front());
        state.states_to_publish.pop_front();
        write_log(severity::error, "record_rejected",
                  {{"key", record.key}, {"bytes", bytes_in_log(record)}, {"reason", reason}});
        state.rejected_states.push_back(std::move(record));
        state.rejected_states_retry_at = now + state.timings.longest_rejection_backoff;
    }
}

bool scheduler::impl::may_drop(const std::string& id) const {
    const auto known = this->finals.find(id);
    // Until its final state is in the log, a successor would load the job as a new one without its record.
    return !this->jobs.contains(id) && (known == this->finals.end() || known->second.state_recorded);
}

void scheduler::impl::order_drop(std::int32_t partition, partition_cleanup& cleanup) {
    const auto first = cleanup.jobs.begin() + static_cast<std::ptrdiff_t>(cleanup.dropped);
    // A job that has to wait goes behind the others, so that it keeps no record but its own.
    const auto end = std::stable_partition(first, cleanup.jobs.end(),
                                           [this](const auto& job) { return this->may_drop(job.id); });
    cleanup.ordered = std::min(static_cast<std::size_t>(end - first), drop_batch);
    std::vector<keyed_record> records;
    for (auto job = first; job != first + static_cast<std::ptrdiff_t>(cleanup.ordered); ++job) {
        if (!job->records_dropped) {
            records.push_back({.key = job->id});
        }
        if (!job->records_dropped && job->cancelled) {
            records.push_back({.key = job->id + std::string(cancel_suffix)});
        }
    }
    if (records.empty()) {
        this->end_drop(cleanup, true);
        return;
    }
    cleanup.sequence = ++this->drop_sequence;
    this->add_action(drop_job_records{
        .sequence = cleanup.sequence, .partition = partition, .records = std::move(records)});
}

void scheduler::impl::end_drop(partition_cleanup& cleanup, bool done) {
    for (auto left = std::exchange(cleanup.ordered, 0); done && left > 0; --left) {
        const auto& job = cleanup.jobs[cleanup.dropped++];
        const auto known = this->finals.find(job.id);
        if (!job.records_dropped) {
            const auto parts = known == this->finals.end() ? 0 : known->second.parts;
            auto drops = delete_progress(job.id, parts);
            std::move(drops.begin(), drops.end(), std::back_inserter(this->next_batch.records));
        }
    }
}

void scheduler::on_records_dropped(std::int64_t sequence, bool done) {
    auto& state = *this->self;
    for (auto& [partition, cleanup] : state.cleanups) {
        if (cleanup.ordered > 0 && cleanup.sequence == sequence) {
            state.end_drop(cleanup, done);
        }
    }
}

void scheduler::impl::note_open_cancellation(const std::string& id, std::int32_t partition, boot_time now) {
    const bool is_final_job = this->finals.contains(id);
    const auto drop_at = is_final_job ? now : now + this->options.limits.final_state_retention;
    this->open_cancellations.emplace(id, open_cancellation{.partition = partition, .drop_at = drop_at});
}

void scheduler::impl::drop_open_cancellations(boot_time now) {
    std::map<std::int32_t, std::vector<keyed_record>> drops;
    for (auto& [id, cancellation] : this->open_cancellations) {
        auto& records = drops[cancellation.partition];
        if (now >= cancellation.drop_at && records.size() < drop_batch) {
            records.push_back({.key = id + std::string(cancel_suffix)});
            // Repeated unless the drop is read from the log.
            cancellation.drop_at = now + this->timings.longest_rejection_backoff;
        }
    }
    for (auto& [partition, records] : drops) {
        if (!records.empty()) {
            this->add_action(drop_job_records{
                .sequence = ++this->drop_sequence, .partition = partition, .records = std::move(records)});
        }
    }
}

void scheduler::impl::drop_finished(boot_time now) {
    if (now < this->last_cleanup + this->timings.state_cleanup_interval) {
        return;
    }
    this->last_cleanup = now;
    this->drop_open_cancellations(now);
    for (auto& [partition, cleanup] : this->cleanups) {
        if (cleanup.ordered > 0) {
            continue; // the log has not answered the previous drop
        }
        while (cleanup.dropped > 0 &&
               now > cleanup.jobs.front().finished + this->options.limits.final_state_retention) {
            this->states_to_publish.push_back({.key = cleanup.jobs.front().id});
            this->finals.erase(cleanup.jobs.front().id);
            cleanup.jobs.pop_front();
            --cleanup.dropped;
        }
        this->order_drop(partition, cleanup);
    }
}

} // namespace hornbeamrail
