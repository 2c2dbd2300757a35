#include "scheduler/scheduler_impl.hpp"

#include "protocol/durations.hpp"
#include "protocol/json_log.hpp"

#include <boost/json/object.hpp>

#include <algorithm>
#include <array>

// A long-running task that waits longer than `scheduler_timings::overdue_after` is reported, with what keeps
// the workers of its pool from running it.

namespace hornbeamrail {

namespace {

/// Log lines about overdue tasks in one report.
constexpr std::size_t max_lines_per_report = 4;

} // namespace

std::string_view to_string(worker_block block) noexcept {
    switch (block) {
    case worker_block::none:
        return "none";
    case worker_block::not_listed:
        return "not_listed";
    case worker_block::unresponsive:
        return "unresponsive";
    case worker_block::unconfirmed:
        return "unconfirmed";
    case worker_block::draining:
        return "draining";
    case worker_block::zone_out:
        return "zone_out";
    case worker_block::vm_ordered:
        return "vm_ordered";
    case worker_block::leaving:
        return "leaving";
    case worker_block::refusing:
        return "refusing";
    case worker_block::ends_pending:
        return "ends_pending";
    case worker_block::avoided:
        break;
    }
    return "avoided";
}

bool scheduler::impl::is_overdue(const task_id& task, boot_time now) const {
    const auto found = this->waiting_since.find(task);
    return found != this->waiting_since.end() && now >= found->second + this->timings.overdue_after;
}

std::vector<overdue_task> scheduler::impl::find_overdue_tasks(boot_time now) {
    std::map<task_id, boot_time> still_waiting;
    std::vector<overdue_task> overdue;
    for (const auto& [id, job] : this->jobs) {
        if (is_final(job->state) || !job->is_long_running()) {
            continue;
        }
        for (const auto& occurrence : job->occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const auto& progress = occurrence.steps[step];
                if (!job->spec.steps[step].long_running || progress.waiting == 0 ||
                    !job->is_released(occurrence, static_cast<std::int32_t>(step))) {
                    continue;
                }
                for (std::size_t index = 0; index < progress.tasks.size(); ++index) {
                    if (progress.tasks[index].phase != run_phase::waiting) {
                        continue;
                    }
                    const task_id task{.job = id,
                                       .occurrence = occurrence.number,
                                       .step = static_cast<std::int32_t>(step),
                                       .index = static_cast<std::int32_t>(index)};
                    const auto known = this->waiting_since.find(task);
                    const auto since = known == this->waiting_since.end() ? now : known->second;
                    still_waiting.emplace(task, since);
                    if (now >= since + this->timings.overdue_after) {
                        overdue.push_back({.id = task, .job = job.get(), .waiting_since = since});
                    }
                }
            }
        }
    }
    this->waiting_since = std::move(still_waiting);
    std::sort(overdue.begin(), overdue.end(), [](const auto& left, const auto& right) {
        return std::tie(left.waiting_since, left.id) < std::tie(right.waiting_since, right.id);
    });
    return overdue;
}

void scheduler::impl::log_overdue_task(const overdue_task& overdue, std::size_t total, boot_time now) {
    const auto& job = *overdue.job;
    const auto& step = job.spec.steps[static_cast<std::size_t>(overdue.id.step)];
    const auto& pool = this->pool_of(job);
    boost::json::object blocked;
    for (const auto& [id, worker] : this->workers) {
        const auto block = this->find_block(worker, now);
        if (worker.entry.pool == pool && block != worker_block::none) {
            auto& count = blocked[to_string(block)];
            count = count.is_int64() ? count.as_int64() + 1 : 1;
        }
    }
    auto candidates = this->find_accepting_workers(pool, now);
    apply_step_rules(candidates, step, overdue.id);
    const auto* task = this->find_job(overdue.id.job)->find_task(overdue.id);
    auto request = make_request(step);
    request.overdue = true;
    std::int64_t not_allowed = 0;
    std::int64_t without_room = 0;
    std::int64_t able = 0;
    for (const auto& view : candidates.views) {
        const bool full = !fits(request.need, view.available);
        const bool can = can_run(view, request);
        without_room += full ? 1 : 0;
        not_allowed += !full && !can ? 1 : 0;
        able += can ? 1 : 0;
    }
    write_log(severity::warning, "task_overdue",
              {{"job", overdue.id.job},
               {"occurrence", overdue.id.occurrence},
               {"step", overdue.id.step},
               {"index", overdue.id.index},
               {"waiting_ms", to_millis(now - overdue.waiting_since).count()},
               {"retry_in_ms", to_millis(task->retry_at - now).count()},
               {"pool", pool},
               {"able_workers", able},
               {"workers_without_room", without_room},
               {"workers_not_allowed", not_allowed},
               {"blocked_workers", std::move(blocked)},
               {"failed_on", task->worker},
               {"account_at_limit", !this->is_within_upper_limit(job, start_of_task(step))},
               {"log_late", this->log_is_late(now)},
               {"overdue_tasks", total}});
}

void scheduler::impl::report_overdue_tasks(boot_time now) {
    if (now < this->last_overdue_report + this->timings.overdue_report_interval) {
        return;
    }
    this->last_overdue_report = now;
    const auto overdue = this->find_overdue_tasks(now);
    this->overdue_tasks = static_cast<std::int64_t>(overdue.size());
    for (std::size_t index = 0; index < std::min(overdue.size(), max_lines_per_report); ++index) {
        this->log_overdue_task(overdue[index], overdue.size(), now);
    }
}

scheduler_statistics scheduler::statistics(boot_time now) const {
    const auto& state = *this->self;
    if (state.term == 0) {
        return {};
    }
    std::array<std::int64_t, worker_block_count> counts{};
    for (const auto& [id, worker] : state.workers) {
        ++counts[static_cast<std::size_t>(state.find_block(worker, now))];
    }
    scheduler_statistics figures{.overdue_tasks = state.overdue_tasks,
                                 .ranked_occurrences = state.ranked_occurrences,
                                 .near = state.near_figures};
    for (std::size_t block = 1; block < counts.size(); ++block) {
        figures.blocked.push_back(
            {.reason = to_string(static_cast<worker_block>(block)), .workers = counts[block]});
    }
    return figures;
}

} // namespace hornbeamrail
