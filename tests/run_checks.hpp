#pragma once

// Checks of the runs that the stand-ins of workers have seen.

#include "fakes/fake_site.hpp"

#include <fmt/format.h>

#include <string>
#include <vector>

namespace hornbeamrail::test {

/// @return descriptions of tasks that had two runs at the same time, or a start after an acknowledged end
inline std::vector<std::string> doubled_runs(const std::vector<observed_run>& history) {
    std::vector<std::string> found;
    for (std::size_t first = 0; first < history.size(); ++first) {
        for (std::size_t second = first + 1; second < history.size(); ++second) {
            const auto& earlier = history[first];
            const auto& later = history[second];
            if (earlier.task != later.task) {
                continue;
            }
            const bool overlap = later.begun < earlier.ended;
            const bool repeated = earlier.how == task_end::done && earlier.acknowledged;
            if (overlap || repeated) {
                found.push_back(fmt::format("{} runs {} on {} and {} on {}{}", earlier.task.job, earlier.run,
                                            earlier.worker, later.run, later.worker,
                                            overlap ? " at the same time" : " after its end"));
            }
        }
    }
    return found;
}

} // namespace hornbeamrail::test
