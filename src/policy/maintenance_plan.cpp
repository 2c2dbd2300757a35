#include "policy/maintenance_plan.hpp"

#include "protocol/durations.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace hornbeamrail {

namespace {

double budget_left(const maintenance_input& input, const std::string& service) {
    const auto found = input.budget_left.find(service);
    return found == input.budget_left.end() ? 1.0 : found->second;
}

/// @return number of VMs of the pool that may be in maintenance at once
std::int64_t parallel_bound(const maintenance_input& input, const pool_view& pool,
                            const maintenance_options& options) {
    const auto size = static_cast<double>(pool.vms.size());
    const auto allowed =
        static_cast<std::int64_t>(std::floor(size * input.state.config().maintenance.max_parallel_part));
    // At least 1, because a small pool would never be maintained if the fraction were rounded down to 0.
    return std::min(std::max<std::int64_t>(allowed, 1), options.max_per_pool);
}

/// @return number of serving VMs that the present demand on the pool does not require
std::int64_t dispensable_vms(const maintenance_input& input, const pool_view& pool,
                             const maintenance_options& options) {
    const auto serving = static_cast<std::int64_t>(pool.serving.size());
    if (pool.slots_per_vm == 0) {
        return serving;
    }
    const double needed = input.demand.smoothed(pool.service) /
                          (static_cast<double>(pool.slots_per_vm) * options.target_utilization);
    const auto keep = std::max(pool.min_vms, static_cast<std::int64_t>(std::ceil(needed)));
    return std::max<std::int64_t>(0, serving - keep);
}

/// @return the reason why the pool is paused; empty when it is not
std::string hold_reason(const maintenance_input& input, const pool_view& pool,
                        const maintenance_options& options) {
    if (!input.state.zones_out().empty()) {
        return fmt::format("zone \"{}\" is out", input.state.zones_out().begin()->first);
    }
    std::int64_t down = 0;
    for (const auto* info : pool.vms) {
        down += info->out || input.absent_vms.contains(info->vm.id) ? 1 : 0;
    }
    if (static_cast<double>(down) > options.max_down_fraction * static_cast<double>(pool.vms.size())) {
        return fmt::format("{} of {} VMs are down", down, pool.vms.size());
    }
    if (pool.service.empty()) {
        return {};
    }
    if (budget_left(input, pool.service) < options.budget_reserve) {
        return fmt::format("the availability budget of \"{}\" is nearly used up", pool.service);
    }
    for (const auto& service : input.state.config().services) {
        const bool depends = std::find(service.depends_on.begin(), service.depends_on.end(), pool.service) !=
                             service.depends_on.end();
        if (depends && budget_left(input, service.name) < options.budget_reserve) {
            return fmt::format(
                "the availability budget of \"{}\", which depends on \"{}\", is nearly used up", service.name,
                pool.service);
        }
    }
    return {};
}

/// @return whether the VM is due at `input.now + lead`
bool is_due(const vm_info& info, const maintenance_input& input, std::chrono::seconds lead) {
    return input.now + lead >= info.last_maintained + input.state.config().maintenance.period;
}

void plan_pool(const maintenance_input& input, const pool_view& pool, const maintenance_options& options,
               maintenance_wave& wave) {
    std::vector<const vm_info*> due;
    std::int64_t in_maintenance = 0;
    std::string rack;
    for (const auto* info : pool.vms) {
        if (info->operation == vm_operation::maintenance) {
            ++in_maintenance;
            rack = info->vm.rack;
        }
    }
    for (const auto* info : pool.serving) {
        if (is_due(*info, input, options.lead)) {
            due.push_back(info);
        }
    }
    if (due.empty()) {
        return;
    }
    if (auto reason = hold_reason(input, pool, options); !reason.empty()) {
        wave.holds.push_back({pool.pool, std::move(reason)});
        return;
    }
    std::sort(due.begin(), due.end(), [](const vm_info* left, const vm_info* right) {
        return std::tie(left->last_maintained, left->vm.rack, left->vm.id) <
               std::tie(right->last_maintained, right->vm.rack, right->vm.id);
    });
    const std::int64_t bound = std::min(parallel_bound(input, pool, options) - in_maintenance,
                                        dispensable_vms(input, pool, options));
    if (bound <= 0 && in_maintenance == 0) {
        wave.holds.push_back({pool.pool, "demand leaves no VM to spare"});
    }
    std::int64_t started = 0;
    for (const auto* info : due) {
        if (started >= bound) {
            break;
        }
        if (rack.empty()) {
            rack = info->vm.rack;
        }
        if (info->vm.rack == rack) {
            wave.start.push_back(info->vm.id);
            ++started;
        }
    }
}

} // namespace

maintenance_wave plan_maintenance(const maintenance_input& input, const maintenance_options& options) {
    maintenance_wave wave;
    for (const auto& [name, pool] : make_pool_views(input.state, input.absent_vms)) {
        plan_pool(input, pool, options, wave);
    }
    return wave;
}

std::vector<maintenance_forecast> forecast_maintenance(const maintenance_input& input,
                                                       const maintenance_options& options) {
    const auto views = make_pool_views(input.state, input.absent_vms);
    std::vector<maintenance_forecast> forecasts;
    for (const auto& pool : input.state.config().pools) {
        const auto& view = views.find(pool.name)->second;
        maintenance_forecast forecast{.pool = pool.name};
        auto earliest_due = std::chrono::sys_seconds::max();
        for (const auto* info : view.vms) {
            if (is_due(*info, input, options.lead)) {
                ++forecast.due;
            }
            if (info->last_maintained != std::chrono::sys_seconds{}) {
                earliest_due =
                    std::min(earliest_due, info->last_maintained + input.state.config().maintenance.period);
            }
        }
        const std::int64_t vms_per_round = std::max<std::int64_t>(
            1, std::min(parallel_bound(input, view, options), dispensable_vms(input, view, options)));
        const std::int64_t rounds = (forecast.due + vms_per_round - 1) / vms_per_round;
        const auto needed = rounds * options.duration;
        forecast.needed = std::chrono::ceil<std::chrono::hours>(needed);
        const auto finish = input.now + needed;
        if (forecast.due > 0 && earliest_due != std::chrono::sys_seconds::max() && finish > earliest_due) {
            constexpr double seconds_per_day = 86400;
            forecast.days_late = seconds_of(finish - earliest_due) / seconds_per_day;
        }
        forecasts.push_back(std::move(forecast));
    }
    return forecasts;
}

} // namespace hornbeamrail
