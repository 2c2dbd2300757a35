#pragma once

// Checks of a soak run: compares the answers that callers received with the runs on the workers.

#include "run_checks.hpp"

#include <algorithm>
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
    std::vector<observed_run> history;
    std::size_t tasks_per_job = 0;
};

/// @return descriptions of the violations of one job; empty when there are none
inline std::vector<std::string> find_violations(const soak_outcome& outcome, const std::string& id,
                                                const submitted_job& job) {
    std::set<task_id> done;
    std::size_t runs = 0;
    for (const auto& run : outcome.history) {
        if (run.task.job != id) {
            continue;
        }
        ++runs;
        if (run.outcome == task_end::done) {
            done.insert(run.task);
        }
    }
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
    if (state == reported_state::failed && !job.cancelled) {
        violations.push_back(fmt::format("{} was accepted but ended as failed", id));
    }
    if (state == reported_state::completed && done.size() != outcome.tasks_per_job) {
        violations.push_back(fmt::format("{} was reported as completed with {} tasks done", id, done.size()));
    }
    return violations;
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
    return violations;
}

} // namespace hornbeamrail::test
