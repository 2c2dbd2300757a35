#pragma once

// Checks of the run histories of the worker stand-ins.

#include "fakes/fake_site.hpp"

#include <fmt/format.h>

#include <string>
#include <vector>

namespace hornbeamrail::test {

/// @return descriptions of the pairs of runs of one task that overlap, or of which the second starts after
/// the acknowledged success of the first
inline std::vector<std::string> duplicate_runs(const std::vector<observed_run>& history) {
    std::vector<std::string> violations;
    for (std::size_t first = 0; first < history.size(); ++first) {
        for (std::size_t second = first + 1; second < history.size(); ++second) {
            const auto& earlier = history[first];
            const auto& later = history[second];
            if (earlier.task != later.task) {
                continue;
            }
            const bool overlaps = later.started_at < earlier.ended_at;
            const bool is_repeated = earlier.outcome == task_end::done && earlier.acknowledged;
            if (overlaps || is_repeated) {
                violations.push_back(fmt::format("{} runs {} on {} and {} on {}{}", earlier.task.job,
                                                 earlier.run, earlier.worker, later.run, later.worker,
                                                 overlaps ? " at the same time" : " after its end"));
            }
        }
    }
    return violations;
}

} // namespace hornbeamrail::test
