#pragma once

// What the soak demands of a run: promises to callers, checked against what the workers have done.

#include "run_checks.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail::test {

/// What the caller of a job was told when it handed the job in.
struct promised_job {
    bool accepted = false;
    bool refused = false;   ///< every answer said that it has not run
    bool cancelled = false; ///< the cancellation was confirmed
};

/// What callers are told of a job when all is over.
enum class shown_state {
    unknown,
    unfinished,
    completed,
    cancelled,
    failed,
};

/// @param body the answer to a question for a job
[[nodiscard]] inline shown_state parse_shown_state(std::string_view body) {
    if (body.find("completed") != std::string_view::npos) {
        return shown_state::completed;
    }
    if (body.find("cancelled") != std::string_view::npos) {
        return shown_state::cancelled;
    }
    return body.find("failed") != std::string_view::npos ? shown_state::failed : shown_state::unfinished;
}

[[nodiscard]] constexpr bool is_final(shown_state state) noexcept {
    return state != shown_state::unknown && state != shown_state::unfinished;
}

/// All that a soak has seen, by job.
struct soak_outcome {
    std::map<std::string, promised_job> jobs;
    std::map<std::string, shown_state> states; ///< of accepted jobs
    std::vector<observed_run> history;
    std::size_t tasks_of_job = 0;
};

/// @return what is wrong with one job
inline std::vector<std::string> broken_promises(const soak_outcome& seen, const std::string& id,
                                                const promised_job& job) {
    std::set<task_id> done;
    std::size_t runs = 0;
    for (const auto& run : seen.history) {
        if (run.task.job != id) {
            continue;
        }
        ++runs;
        if (run.how == task_end::done) {
            done.insert(run.task);
        }
    }
    std::vector<std::string> found;
    if (job.refused && runs > 0) {
        found.push_back(fmt::format("{} was refused as not run, and ran", id));
    }
    if (!job.accepted) {
        return found;
    }
    const auto shown = seen.states.find(id);
    const auto state = shown == seen.states.end() ? shown_state::unknown : shown->second;
    if (!is_final(state)) {
        found.push_back(fmt::format("{} was accepted and did not end", id));
    }
    if (state == shown_state::failed && !job.cancelled) {
        found.push_back(fmt::format("{} was accepted and ended as failed", id));
    }
    if (state == shown_state::completed && done.size() != seen.tasks_of_job) {
        found.push_back(fmt::format("{} is completed with {} tasks done", id, done.size()));
    }
    return found;
}

/// @return descriptions of all broken promises; empty: all were kept
inline std::vector<std::string> broken_promises(const soak_outcome& seen) {
    std::vector<std::string> found;
    for (const auto& doubled : doubled_runs(seen.history)) {
        found.push_back("doubled: " + doubled);
    }
    for (const auto& [id, job] : seen.jobs) {
        for (auto& broken : broken_promises(seen, id, job)) {
            found.push_back(std::move(broken));
        }
    }
    return found;
}

} // namespace hornbeamrail::test
