#include "policy/vm_plan.hpp"

#include <algorithm>
#include <tuple>

namespace hornbeamrail {

namespace {

/// Time that a VM takes to empty before its maintenance.
constexpr std::chrono::milliseconds drain_time{1500};
/// Maintenance orders wait for the answer and for the list of VMs.
constexpr std::chrono::milliseconds turnaround{900};

/// @return whether the wave ends late unless every free place is used at once
bool is_pressed(const wave_situation& situation) {
    const auto rounds = (situation.left + situation.max_down - 1) / std::max(1, situation.max_down);
    const auto needed = rounds * (situation.maintenance + turnaround) + drain_time;
    return situation.elapsed + needed >= situation.duration;
}

} // namespace

wave_step plan_wave_step(const wave_situation& situation, std::vector<wave_candidate> candidates) {
    std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return std::tuple(!left.may_end_tasks, left.batch_tasks, !left.draining, left.serving_tasks,
                          left.used_cpu, left.vm) < std::tuple(!right.may_end_tasks, right.batch_tasks,
                                                               !right.draining, right.serving_tasks,
                                                               right.used_cpu, right.vm);
    });
    wave_step step;
    const bool pressed = is_pressed(situation);
    auto free_places = situation.max_down - situation.down;
    std::int32_t drains = 0;
    for (const auto& candidate : candidates) {
        const bool empty = candidate.batch_tasks == 0 || pressed;
        if (free_places > 0 && candidate.may_end_tasks && empty) {
            step.maintain.push_back(candidate.vm);
            --free_places;
        } else if (drains < situation.max_down) {
            step.drain.push_back(candidate.vm);
            ++drains;
        }
    }
    return step;
}

} // namespace hornbeamrail
