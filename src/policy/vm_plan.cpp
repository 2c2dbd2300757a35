#include "policy/vm_plan.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hornbeamrail {

namespace {

/// Time that a VM takes to empty before its maintenance.
constexpr std::chrono::milliseconds drain_time{1500};
/// Maintenance orders wait for the answer and for the list of VMs.
constexpr std::chrono::milliseconds turnaround{900};

/// @return whether the wave ends late unless every free place is used at once
bool is_pressed(const wave_status& status) {
    const auto rounds = (status.left + status.max_down - 1) / std::max(1, status.max_down);
    const auto needed = rounds * (status.maintenance + turnaround) + drain_time;
    return status.elapsed + needed >= status.duration;
}

/// @return VMs that get no new tasks ahead of their maintenance: as many as can be taken while they empty
std::int32_t most_drains(const wave_status& status) {
    constexpr std::int32_t fewest = 2;
    constexpr std::int32_t periods_ahead = 3;
    const auto time_left = std::max(drain_time, status.duration - status.elapsed);
    const auto share = (status.left * periods_ahead * drain_time + time_left) / time_left;
    return std::clamp(static_cast<std::int32_t>(share), std::min(fewest, status.max_down),
                      std::max(1, status.max_down));
}

/// @return VMs without long-running tasks that may be down at the same time: a wave that is not pressed
/// leaves the others to a surge
std::int32_t most_idle_down(const wave_status& status) {
    /// Part of the time that is left in which the wave is to end.
    constexpr double planned_part = 0.5;
    constexpr std::int32_t fewest = 4;
    const auto time_left = std::max(status.maintenance, status.duration - status.elapsed);
    const double rounds = std::max(1.0, planned_part * static_cast<double>(time_left.count()) /
                                            static_cast<double>((status.maintenance + turnaround).count()));
    const auto paced = static_cast<std::int32_t>(std::ceil(status.left / rounds));
    return std::min(status.max_down, std::max(paced, fewest));
}

} // namespace

wave_step plan_wave_step(const wave_status& status, std::vector<wave_candidate> candidates) {
    std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return std::tuple(!left.may_end_tasks, left.batch_tasks, !left.draining, left.latency_sensitive_tasks,
                          left.used_millicores, left.vm) <
               std::tuple(!right.may_end_tasks, right.batch_tasks, !right.draining,
                          right.latency_sensitive_tasks, right.used_millicores, right.vm);
    });
    wave_step step;
    const bool pressed = is_pressed(status);
    auto free_places = status.max_down - status.down;
    auto idle_places = pressed ? free_places : most_idle_down(status) - status.down;
    const auto drains_wanted = most_drains(status);
    std::int32_t drains = 0;
    for (const auto& candidate : candidates) {
        const bool empty = candidate.batch_tasks == 0 || pressed;
        const bool place = free_places > 0 && (idle_places > 0 || candidate.latency_sensitive_tasks > 0);
        if (place && candidate.may_end_tasks && empty) {
            step.maintain.push_back(candidate.vm);
            --free_places;
            --idle_places;
        } else if (drains < drains_wanted) {
            step.drain.push_back(candidate.vm);
            ++drains;
        }
    }
    return step;
}

} // namespace hornbeamrail
