#include "policy/vm_plan.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hornbeamrail {

namespace {

/// Time until the tasks of a draining VM have ended.
constexpr std::chrono::milliseconds drain_time{1500};
/// Time per round that passes until an order is acknowledged and the list of VMs shows its effect.
constexpr std::chrono::milliseconds turnaround{900};

/// @return whether the wave ends late unless it has `max_down` VMs in maintenance from now on
bool is_behind_schedule(const wave_status& status) {
    const auto rounds = (status.not_ordered + status.max_down - 1) / std::max(1, status.max_down);
    const auto needed = rounds * (status.maintenance + turnaround) + drain_time;
    return status.elapsed + needed >= status.duration;
}

/// @return number of VMs to drain in advance: those whose turn comes within `periods_ahead` drain times if
/// the rest of the wave proceeds at an even pace
std::int32_t max_drains(const wave_status& status) {
    constexpr std::int32_t min_drains = 2;
    constexpr std::int32_t periods_ahead = 3;
    const auto time_left = std::max(drain_time, status.duration - status.elapsed);
    const auto drains_ahead = (status.not_ordered * periods_ahead * drain_time + time_left) / time_left;
    return std::clamp(static_cast<std::int32_t>(drains_ahead), std::min(min_drains, status.max_down),
                      std::max(1, status.max_down));
}

/// @return limit on VMs that are down at once, for VMs without long-running tasks: a wave that is on schedule
/// keeps the others available for a surge of demand
std::int32_t max_idle_down(const wave_status& status) {
    /// Fraction of the remaining time within which the wave is planned to end.
    constexpr double planned_time_fraction = 0.5;
    constexpr std::int32_t min_down = 4;
    const auto time_left = std::max(status.maintenance, status.duration - status.elapsed);
    const double rounds = std::max(1.0, planned_time_fraction * static_cast<double>(time_left.count()) /
                                            static_cast<double>((status.maintenance + turnaround).count()));
    const auto down_at_even_pace = static_cast<std::int32_t>(std::ceil(status.not_ordered / rounds));
    return std::min(status.max_down, std::max(down_at_even_pace, min_down));
}

} // namespace

wave_step plan_wave_step(const wave_status& status, std::vector<wave_candidate> candidates) {
    std::sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
        return std::tuple(!left.may_end_tasks, left.batch_tasks, !left.draining, left.long_running_tasks,
                          left.used_millicores,
                          left.vm) < std::tuple(!right.may_end_tasks, right.batch_tasks, !right.draining,
                                                right.long_running_tasks, right.used_millicores, right.vm);
    });
    wave_step step;
    const bool behind_schedule = is_behind_schedule(status);
    auto free_places = status.max_down - status.down;
    auto idle_places = behind_schedule ? free_places : max_idle_down(status) - status.down;
    const auto drain_limit = max_drains(status);
    std::vector<const wave_candidate*> later;
    for (const auto& candidate : candidates) {
        const bool may_interrupt = candidate.batch_tasks == 0 || behind_schedule;
        const bool has_place = free_places > 0 && (idle_places > 0 || candidate.long_running_tasks > 0);
        if (has_place && candidate.may_end_tasks && may_interrupt) {
            step.maintain.push_back(candidate.vm);
            --free_places;
            --idle_places;
        } else if (candidate.may_drain) {
            later.push_back(&candidate);
        }
    }
    // A VM that drains goes on: if another one with fewer tasks took its place at every plan, none would end
    // its tasks while the pool is busy.
    std::stable_partition(later.begin(), later.end(), [](const auto* vm) { return vm->draining; });
    const auto drains = std::min(later.size(), static_cast<std::size_t>(std::max(0, drain_limit)));
    for (std::size_t index = 0; index < drains; ++index) {
        step.drain.push_back(later[index]->vm);
    }
    return step;
}

} // namespace hornbeamrail
