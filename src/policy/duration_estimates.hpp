#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Learned durations of tasks, by queue.
///
/// The estimates that submitters state may be far off. Those of one queue are off by similar factors, so the
/// mean of completed tasks corrects them.
class duration_estimates {
public:
    /// Adds a completed task.
    /// @param actual from the placement of the task to its end
    /// @param stated estimate of the submitter
    void add(std::string_view queue, std::chrono::milliseconds actual, std::chrono::milliseconds stated);

    /// @param stated estimate of the submitter; 0 or less: none
    /// @return expected duration of a task, @p stated while nothing is known of its queue
    [[nodiscard]] std::chrono::milliseconds expected(std::string_view queue,
                                                     std::chrono::milliseconds stated) const;

    /// @param elapsed time since the placement of the task
    /// @return expected time until the end of a task that has not ended after @p elapsed; always positive
    [[nodiscard]] std::chrono::milliseconds expected_remaining(std::string_view queue,
                                                               std::chrono::milliseconds stated,
                                                               std::chrono::milliseconds elapsed) const;

private:
    struct learned_means {
        double actual_ms = 0;
        double stated_ms = 0; ///< of the same tasks
        std::int64_t samples = 0;
    };

    std::map<std::string, learned_means, std::less<>> queues;
};

} // namespace hornbeamrail
