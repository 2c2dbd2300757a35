#pragma once

// Checks of a soak run: compares the answers that callers received with the runs on the workers.

#include "run_checks.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail::test {

/// Answers that the caller of a job received.
struct submitted_job {
    bool accepted = false;
    bool refused = false;   ///< every attempt was unsent or answered that the job has not run
    bool cancelled = false; ///< the cancellation was confirmed
    bool long_running = false;
};

/// Step of a long-running job.
struct long_running_step {
    std::int32_t count = 1;
    std::int32_t max_per_worker = 0; ///< 0: no limit
};

/// An accepted job whose tasks run until it is cancelled.
struct long_running_job {
    std::vector<long_running_step> steps;
    boot_time accepted_at{};                   ///< when the caller received the answer
    boot_time cancelled_at = boot_time::max(); ///< when the first cancellation was sent
};

/// State of a worker at one moment.
struct worker_sample {
    std::string id;
    std::string state;        ///< for reports
    bool takes_tasks = false; ///< it is sound, ready, and in a zone in service
    std::int64_t slots = 0;   ///< tasks that it has room for in all
};

/// State of the site at one moment.
struct site_sample {
    boot_time at{};
    std::vector<worker_sample> workers;
};

/// An injected fault and the time for which it is in effect.
struct disturbance {
    boot_time from{};
    boot_time until{};
    std::string text;
};

/// State of a job that nodes report to callers at the end of the soak.
enum class reported_state {
    unknown,
    unfinished,
    completed,
    cancelled,
    failed,
};

/// @param body the answer to a query for a job
/// @return the state that the answer reports
[[nodiscard]] inline reported_state parse_reported_state(std::string_view body) {
    if (body.find("completed") != std::string_view::npos) {
        return reported_state::completed;
    }
    if (body.find("cancelled") != std::string_view::npos) {
        return reported_state::cancelled;
    }
    return body.find("failed") != std::string_view::npos ? reported_state::failed
                                                         : reported_state::unfinished;
}

[[nodiscard]] constexpr bool is_final(reported_state state) noexcept {
    return state != reported_state::unknown && state != reported_state::unfinished;
}

/// Observations of a soak run.
struct soak_outcome {
    std::map<std::string, submitted_job> jobs;    ///< by job id
    std::map<std::string, reported_state> states; ///< of accepted jobs, by job id
    /// What is reported of ids that were cancelled and never submitted.
    std::map<std::string, reported_state> states_of_unsubmitted;
    std::vector<observed_run> history;
    std::size_t tasks_per_job = 0;
    std::int64_t attempts = 1; ///< failed runs of one task after which its job may fail
    std::map<std::string, long_running_job> long_running; ///< by job id
    std::vector<site_sample> samples;                     ///< in order
    std::vector<disturbance> disturbances;                ///< in order of their starts
    boot_time started_at{};                               ///< zero of the times in reports
};

/// Time after its last run, or after its acceptance, within which a long-running task runs again.
inline constexpr std::chrono::milliseconds restart_limit{6000};
/// Time without faults after which the limit holds.
inline constexpr std::chrono::milliseconds calm_time{7000};

/// @return descriptions of the violations of one job; empty when there are none
inline std::vector<std::string> find_violations(const soak_outcome& outcome, const std::string& id,
                                                const submitted_job& job) {
    std::set<task_id> done;
    std::map<task_id, std::int64_t> failed_runs;
    std::size_t runs = 0;
    for (const auto& run : outcome.history) {
        if (run.task.job != id) {
            continue;
        }
        ++runs;
        if (run.outcome == task_end::done) {
            done.insert(run.task);
        } else if (run.outcome == task_end::failed) {
            ++failed_runs[run.task];
        }
    }
    const bool used_its_attempts =
        std::any_of(failed_runs.begin(), failed_runs.end(),
                    [&outcome](const auto& failed) { return failed.second >= outcome.attempts; });
    std::vector<std::string> violations;
    if (job.refused && runs > 0) {
        violations.push_back(fmt::format("{} was refused as not run, but it ran", id));
    }
    if (!job.accepted) {
        return violations;
    }
    const auto reported = outcome.states.find(id);
    const auto state = reported == outcome.states.end() ? reported_state::unknown : reported->second;
    if (!is_final(state)) {
        violations.push_back(fmt::format("{} was accepted but did not end", id));
    }
    if (state == reported_state::failed && !job.cancelled && (job.long_running || !used_its_attempts)) {
        violations.push_back(fmt::format("{} was accepted but ended as failed", id));
    }
    if (state == reported_state::completed && done.size() != outcome.tasks_per_job) {
        violations.push_back(fmt::format("{} was reported as completed with {} tasks done", id, done.size()));
    }
    return violations;
}

/// Judges, from the runs on the workers alone, whether long-running tasks run wherever there is room.
class restart_check {
public:
    explicit restart_check(const soak_outcome& observed) : outcome(observed) {
        for (const auto& run : this->outcome.history) {
            this->runs[run.task].push_back(&run);
            this->runs_on[run.worker].push_back(&run);
        }
    }

    /// @return number of judgements: tasks that had to run, at each calm sample
    [[nodiscard]] std::size_t judged() const noexcept { return this->judgements; }

    /// @return one violation for each task that did not run at a calm moment although it had to
    std::vector<std::string> find_violations() {
        std::vector<std::string> violations;
        for (std::size_t index = 0; index < this->outcome.samples.size(); ++index) {
            if (!this->is_calm(this->outcome.samples[index].at)) {
                continue;
            }
            for (const auto& [id, job] : this->outcome.long_running) {
                this->judge(id, job, index, violations);
            }
        }
        return violations;
    }

private:
    using run_list = std::vector<const observed_run*>;

    static bool is_active(const observed_run& run, boot_time at) {
        return run.started_at <= at && at < run.ended_at;
    }

    [[nodiscard]] bool is_calm(boot_time at) const {
        return std::none_of(
            this->outcome.disturbances.begin(), this->outcome.disturbances.end(),
            [at](const auto& fault) { return fault.from <= at && at < fault.until + calm_time; });
    }

    void judge(const std::string& id, const long_running_job& job, std::size_t sample,
               std::vector<std::string>& violations) {
        const auto at = this->outcome.samples[sample].at;
        if (at < job.accepted_at + restart_limit || at >= job.cancelled_at) {
            return;
        }
        for (std::size_t step = 0; step < job.steps.size(); ++step) {
            for (std::int32_t index = 0; index < job.steps[step].count; ++index) {
                const task_id task{.job = id, .step = static_cast<std::int32_t>(step), .index = index};
                ++this->judgements;
                if (this->is_overdue(task, job, at) && this->had_room(task, job.steps[step], sample) &&
                    this->reported.insert(task).second) {
                    violations.push_back(this->describe(task, job, sample));
                }
            }
        }
    }

    [[nodiscard]] const observed_run* last_run(const task_id& task, boot_time at) const {
        const auto found = this->runs.find(task);
        if (found == this->runs.end()) {
            return nullptr;
        }
        const observed_run* last = nullptr;
        for (const auto* run : found->second) {
            last = run->started_at <= at ? run : last;
        }
        return last;
    }

    [[nodiscard]] bool is_overdue(const task_id& task, const long_running_job& job, boot_time at) const {
        const auto* last = this->last_run(task, at);
        const auto since = last == nullptr ? job.accepted_at : std::max(job.accepted_at, last->ended_at);
        return (last == nullptr || !is_active(*last, at)) && at - since >= restart_limit;
    }

    /// @return whether at every sample within the limit some worker had room for the task
    [[nodiscard]] bool had_room(const task_id& task, const long_running_step& step, std::size_t last) const {
        const auto from = this->outcome.samples[last].at - restart_limit;
        for (auto index = last + 1; index > 0 && this->outcome.samples[index - 1].at >= from; --index) {
            const auto& sample = this->outcome.samples[index - 1];
            const bool has_room =
                std::any_of(sample.workers.begin(), sample.workers.end(), [&](const auto& worker) {
                    return this->has_room(worker, task, step, sample.at);
                });
            if (!has_room) {
                return false;
            }
        }
        return true;
    }

    [[nodiscard]] bool has_room(const worker_sample& worker, const task_id& task,
                                const long_running_step& step, boot_time at) const {
        const auto found = this->runs_on.find(worker.id);
        const auto active = found == this->runs_on.end() ? run_list() : active_runs(found->second, at);
        const auto of_step = std::count_if(active.begin(), active.end(), [&task](const auto* run) {
            return run->task.job == task.job && run->task.step == task.step;
        });
        return worker.takes_tasks && std::ssize(active) < worker.slots &&
               (step.max_per_worker == 0 || of_step < step.max_per_worker);
    }

    static run_list active_runs(const run_list& from, boot_time at) {
        run_list active;
        std::copy_if(from.begin(), from.end(), std::back_inserter(active),
                     [at](const auto* run) { return is_active(*run, at); });
        return active;
    }

    [[nodiscard]] std::int64_t milliseconds_of(boot_time at) const {
        return std::chrono::duration_cast<std::chrono::milliseconds>(at - this->outcome.started_at).count();
    }

    [[nodiscard]] std::string describe(const task_id& task, const long_running_job& job,
                                       std::size_t sample) const {
        constexpr std::size_t faults_shown = 6;
        const auto at = this->outcome.samples[sample].at;
        std::vector<std::string> workers;
        for (const auto& worker : this->outcome.samples[sample].workers) {
            const auto found = this->runs_on.find(worker.id);
            const auto active = found == this->runs_on.end() ? 0 : active_runs(found->second, at).size();
            workers.push_back(
                fmt::format("{} ({}, {} of {} in use)", worker.id, worker.state, active, worker.slots));
        }
        std::vector<std::string> faults;
        for (const auto& fault : this->outcome.disturbances) {
            if (fault.from <= at) {
                faults.push_back(fmt::format("{} ms: {}", this->milliseconds_of(fault.from), fault.text));
            }
        }
        if (faults.size() > faults_shown) {
            faults.erase(faults.begin(), faults.end() - faults_shown);
        }
        return fmt::format("{}.{}.{}.{} does not run at {} ms although there is room; accepted at {} ms, "
                           "last run: {}; workers: {}; faults: {}",
                           task.job, task.occurrence, task.step, task.index, this->milliseconds_of(at),
                           this->milliseconds_of(job.accepted_at), this->describe(this->last_run(task, at)),
                           fmt::join(workers, ", "), fmt::join(faults, ", "));
    }

    [[nodiscard]] std::string describe(const observed_run* run) const {
        if (run == nullptr) {
            return "none";
        }
        return fmt::format("{} on {}, {} to {} ms, {}", run->run, run->worker,
                           this->milliseconds_of(run->started_at), this->milliseconds_of(run->ended_at),
                           run->outcome ? to_string(*run->outcome) : "its worker ended");
    }

    const soak_outcome& outcome;
    std::map<task_id, run_list> runs;
    std::map<std::string, run_list> runs_on; ///< by worker
    std::set<task_id> reported;
    std::size_t judgements = 0;
};

/// @return number of judgements of long-running tasks in the run
inline std::size_t count_judgements(const soak_outcome& outcome) {
    restart_check check(outcome);
    check.find_violations();
    return check.judged();
}

/// @return descriptions of all violations; empty when there are none
inline std::vector<std::string> find_violations(const soak_outcome& outcome) {
    std::vector<std::string> violations;
    for (const auto& duplicate : duplicate_runs(outcome.history)) {
        violations.push_back("duplicate runs: " + duplicate);
    }
    for (const auto& [id, job] : outcome.jobs) {
        for (auto& violation : find_violations(outcome, id, job)) {
            violations.push_back(std::move(violation));
        }
    }
    for (const auto& [id, state] : outcome.states_of_unsubmitted) {
        if (state != reported_state::unknown) {
            violations.push_back(fmt::format("{} is reported although it was never submitted", id));
        }
    }
    for (auto& violation : restart_check(outcome).find_violations()) {
        violations.push_back(std::move(violation));
    }
    return violations;
}

} // namespace hornbeamrail::test
