#include "scheduler/scheduler_impl.hpp"

#include "protocol/json_log.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// Occurrences open this long before they are due, so that their first tasks start on time.
constexpr milliseconds occurrence_lead_time{50};

/// @return largest unreserved CPU of any worker, in millicores
std::int64_t largest_available_cpu(const std::vector<worker_view>& views) {
    std::int64_t largest_cpu = 0;
    for (const auto& view : views) {
        largest_cpu = std::max(largest_cpu, view.available.cpu_millicores);
    }
    return largest_cpu;
}

} // namespace

void scheduler::impl::apply_config(std::shared_ptr<const site_config> updated_config) {
    this->config = std::move(updated_config);
    this->queues.clear();
    for (const auto& queue : this->config->queues) {
        this->queues.emplace(queue.name, &queue);
    }
}

const queue_config* scheduler::impl::find_queue(const std::string& name) const {
    const auto found = this->queues.find(name);
    return found == this->queues.end() ? nullptr : found->second;
}

const std::string& scheduler::impl::pool_of(const job_progress& job) const {
    const auto* queue = this->find_queue(job.spec.queue);
    return queue == nullptr ? job.spec.pool : queue->pool;
}

std::int32_t scheduler::impl::attempts_of(const job_progress& job) const {
    const auto* queue = this->find_queue(job.spec.queue);
    return queue == nullptr ? job.spec.attempts : queue->attempts;
}

void scheduler::impl::open_occurrences(unix_time clock) {
    std::erase_if(this->timed_jobs, [this](const std::string& id) { return this->find_job(id) == nullptr; });
    for (const auto& id : this->timed_jobs) {
        auto& job = *this->find_job(id);
        if (is_final(job.state)) {
            continue;
        }
        const auto opened = job.finished_occurrences + static_cast<std::int32_t>(job.occurrences.size());
        const auto open_limit = job.finished_occurrences + job.max_open_occurrences();
        const auto end = std::min(job.spec.occurrence_count(), open_limit);
        for (auto next = opened; next < end && job.spec.due(next) <= clock + occurrence_lead_time; ++next) {
            job.occurrence(next);
            this->dispatch_due = true;
        }
    }
}

worker_block scheduler::impl::find_block(const worker_control& worker, boot_time now) const {
    if (!worker.listed) {
        return worker_block::not_listed;
    }
    if (worker.is_unresponsive()) {
        return worker_block::unresponsive;
    }
    if (!worker.confirmed || !worker.process.clock) {
        return worker_block::unconfirmed;
    }
    if (worker.entry.draining) {
        return worker_block::draining;
    }
    if (this->zones_out.contains(worker.entry.zone)) {
        return worker_block::zone_out;
    }
    const auto vm = this->vm_of_worker.find(worker.entry.id);
    const bool has_vm = vm != this->vm_of_worker.end();
    if (has_vm && this->has_pending_vm_order(vm->second)) {
        return worker_block::vm_ordered;
    }
    if (now < worker.process.refused_until) {
        return worker_block::refusing;
    }
    if (worker.ends_held_up) {
        return worker_block::ends_pending;
    }
    if (has_vm && this->is_next_in_wave(vm->second)) {
        return worker_block::leaving;
    }
    return now < worker.process.avoid_until ? worker_block::avoided : worker_block::none;
}

void scheduler::impl::add_accepting_worker(accepting_workers& accepting, worker_control& worker,
                                           boot_time now) {
    const auto block = this->find_block(worker, now);
    if (block != worker_block::none && block != worker_block::avoided && block != worker_block::leaving) {
        return;
    }
    auto available = worker.entry.capacity;
    available -= worker.used;
    accepting.views.push_back(
        {.id = worker.entry.id,
         .rack = worker.entry.rack(),
         .available = available,
         .capacity = worker.entry.capacity,
         .latency_sensitive_tasks = worker.latency_sensitive_tasks,
         .best_effort_tasks = worker.best_effort_tasks,
         .long_running_tasks = worker.long_running_tasks,
         .standing = block == worker_block::leaving ? worker_standing::leaving : worker_standing::good,
         .rack_wanted = this->is_rack_wanted(worker.entry.pool, worker.entry.rack(), now)});
    accepting.controls.push_back(&worker);
    if (block == worker_block::avoided) {
        accepting.failing.push_back(
            {.index = accepting.views.size() - 1, .recent_failures = worker.process.recent_failures});
    }
}

accepting_workers scheduler::impl::find_accepting_workers(const std::string& pool, boot_time now) {
    accepting_workers found;
    for (auto& [id, worker] : this->workers) {
        if (worker.entry.pool == pool) {
            this->add_accepting_worker(found, worker, now);
        }
    }
    set_standings(found.views, std::move(found.failing));
    return found;
}

std::map<std::string_view, pool_dispatch> scheduler::impl::find_pools_with_workers(boot_time now) {
    std::map<std::string_view, pool_dispatch> pools;
    for (auto& [id, worker] : this->workers) {
        this->add_accepting_worker(pools[worker.entry.pool].candidates, worker, now);
    }
    std::erase_if(pools, [](const auto& item) { return item.second.candidates.views.empty(); });
    for (auto& [name, pool] : pools) {
        set_standings(pool.candidates.views, std::move(pool.candidates.failing));
        pool.largest_millicores = largest_available_cpu(pool.candidates.views);
    }
    return pools;
}

const occurrence_summary& scheduler::impl::summarize(const job_progress& job, occurrence_progress& occurrence,
                                                     boot_time now) const {
    if (occurrence.summary && now < occurrence.summary->computed_at + this->timings.summary_lifetime) {
        return *occurrence.summary;
    }
    occurrence_summary summary{.computed_at = now,
                               .least_millicores = std::numeric_limits<std::int64_t>::max()};
    for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
        const auto& progress = occurrence.steps[step];
        const auto& spec = job.spec.steps[step];
        summary.started =
            summary.started || progress.waiting < static_cast<std::int32_t>(progress.tasks.size());
        if (progress.waiting > 0 && job.is_released(occurrence, static_cast<std::int32_t>(step))) {
            summary.has_released_tasks = true;
            summary.least_millicores = std::min(summary.least_millicores, spec.reserved().cpu_millicores);
        }
    }
    const auto duration_of = [&](std::size_t step) {
        return this->durations.expected(job.spec.queue, job.spec.steps[step].estimate);
    };
    const auto none_done = [](std::size_t) {
        return false;
    };
    const auto step_is_done = [&](std::size_t step) {
        return occurrence.steps[step].is_done();
    };
    summary.critical_path = critical_path_duration(job.spec, duration_of, none_done);
    summary.remaining_critical_path = critical_path_duration(job.spec, duration_of, step_is_done);
    return occurrence.summary.emplace(summary);
}

job_rank scheduler::impl::rank_of(const job_progress& job, std::int32_t occurrence,
                                  const occurrence_summary& summary, unix_time clock) const {
    const auto* queue = this->find_queue(job.spec.queue);
    const double objective_factor = queue == nullptr ? 1.0 : queue->objective_factor;
    const auto slack = queue == nullptr ? milliseconds(0) : queue->objective_slack;
    const auto path = static_cast<double>(summary.critical_path.count());
    return rank_job({.long_running = job.is_long_running(),
                     .started = summary.started,
                     .beyond_share = job.beyond_share,
                     .priority = queue == nullptr ? 0 : queue->priority,
                     .due = job.spec.due(occurrence),
                     .objective = milliseconds(static_cast<std::int64_t>(objective_factor * path)) + slack,
                     .remaining_critical_path = summary.remaining_critical_path},
                    clock);
}

void scheduler::impl::dispatch(boot_time now, unix_time clock) {
    if (this->log_is_late(now)) {
        this->withdraw_unrecorded_starts();
    }
    if (this->advice_allowed_at && now >= *this->advice_allowed_at) {
        this->advice_allowed_at.reset();
        this->dispatch_due = true;
    }
    if (this->near_decision_due && now >= *this->near_decision_due) {
        this->near_decision_due.reset();
        this->dispatch_due = true;
    }
    const auto interval =
        this->dispatch_due ? this->timings.dispatch_interval : this->timings.dispatch_recheck;
    if (now < this->last_dispatch + interval) {
        return;
    }
    this->dispatch_due = false;
    this->last_dispatch = now;
    auto pools = this->collect_pending_occurrences(now, clock);
    // Each pool is the first in its turn, because the first ones may use up the starts that are allowed.
    const auto first = pools.upper_bound(this->first_dispatched_pool);
    for (auto pool = first; pool != pools.end(); ++pool) {
        this->dispatch_pool(pool->second, now);
    }
    for (auto pool = pools.begin(); pool != first; ++pool) {
        this->dispatch_pool(pool->second, now);
    }
    this->first_dispatched_pool = first == pools.end() ? std::string() : std::string(first->first);
    this->update_held_back();
}

void scheduler::impl::update_held_back() {
    for (auto& [id, worker] : this->workers) {
        const auto found = std::exchange(worker.found_to_hold_back_since, std::nullopt);
        // It goes on when another job is held back in turn.
        worker.holds_back_since =
            found ? std::min(*found, worker.holds_back_since.value_or(*found)) : std::optional<boot_time>();
    }
}

std::map<std::string_view, pool_dispatch> scheduler::impl::collect_pending_occurrences(boot_time now,
                                                                                       unix_time clock) {
    auto pools = this->find_pools_with_workers(now);
    for (auto& [id, job] : this->jobs) {
        if (is_final(job->state) || this->is_set_aside(id, now)) {
            continue;
        }
        const auto pool = pools.find(this->pool_of(*job));
        if (pool == pools.end()) {
            continue;
        }
        for (auto& occurrence : job->occurrences) {
            const auto& summary = this->summarize(*job, occurrence, now);
            // A full pool ranks and searches nothing.
            if (summary.has_released_tasks && summary.least_millicores <= pool->second.largest_millicores) {
                ++this->ranked_occurrences;
                pool->second.pending.push_back(
                    {.rank = this->rank_of(*job, occurrence.number, summary, clock),
                     .job = job.get(),
                     .occurrence = occurrence.number,
                     .least_millicores = summary.least_millicores});
            }
        }
    }
    return pools;
}

void scheduler::impl::dispatch_pool(pool_dispatch& pool, boot_time now) {
    const auto goes_later = [](const auto& left, const auto& right) {
        return std::tie(left.rank, left.job->spec.id, left.occurrence) >
               std::tie(right.rank, right.job->spec.id, right.occurrence);
    };
    auto& pending = pool.pending;
    std::int64_t least = std::numeric_limits<std::int64_t>::max();
    for (const auto& item : pending) {
        least = std::min(least, item.least_millicores);
    }
    // Only the first few find room in a busy pool, so they are not all sorted.
    std::make_heap(pending.begin(), pending.end(), goes_later);
    const auto may_start = [&] {
        return !this->has_enough_starts() || this->log_is_late(now);
    };
    while (!pending.empty() && least <= pool.largest_millicores && may_start()) {
        std::pop_heap(pending.begin(), pending.end(), goes_later);
        const auto item = pending.back();
        pending.pop_back();
        if (item.least_millicores <= pool.largest_millicores) {
            this->dispatch_occurrence(item, pool, now);
        }
    }
    this->dispatch_due = this->dispatch_due || this->has_enough_starts();
}

void scheduler::impl::dispatch_occurrence(const pending_occurrence& item, pool_dispatch& pool,
                                          boot_time now) {
    auto& occurrence = item.job->occurrence(item.occurrence);
    for (std::int32_t step = 0; step < static_cast<std::int32_t>(occurrence.steps.size()); ++step) {
        const auto& spec = item.job->spec.steps[static_cast<std::size_t>(step)];
        if (occurrence.steps[static_cast<std::size_t>(step)].waiting == 0 ||
            !item.job->is_released(occurrence, step) ||
            spec.reserved().cpu_millicores > pool.largest_millicores) {
            continue;
        }
        if (!this->place_step(item, step, pool.candidates, now)) {
            pool.largest_millicores = largest_available_cpu(pool.candidates.views);
        }
    }
}

} // namespace hornbeamrail
