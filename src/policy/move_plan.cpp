#include "policy/move_plan.hpp"

#include "protocol/durations.hpp"

#include <algorithm>
#include <optional>

namespace hornbeamrail {

namespace {

using pool_views = std::map<std::string, pool_view, std::less<>>;

/// VMs by pool while a plan is built: those that serve, are in maintenance or are moving into the pool.
using vm_counts = std::map<std::string, std::int64_t, std::less<>>;

std::int64_t moves_in_flight(const fleet_state& state) {
    return std::count_if(state.vms().begin(), state.vms().end(),
                         [](const auto& entry) { return entry.second.operation == vm_operation::moving; });
}

/// @return VMs that serve, or will serve without a further move: a VM in maintenance returns within minutes
std::int64_t expected_vms(const pool_view& pool) {
    const auto maintained = std::count_if(pool.vms.begin(), pool.vms.end(), [](const vm_info* info) {
        return info->operation == vm_operation::maintenance;
    });
    return static_cast<std::int64_t>(pool.serving.size()) + maintained + pool.arriving;
}

/// Chooses the VM to move from the zone and rack with the most VMs of the pool, so that the remaining VMs
/// stay spread over failure domains.
/// @return the VM, or nullptr when the pool has none left to move
const vm_info* choose_vm(const pool_view& from, const std::set<std::string>& planned_vms) {
    std::map<std::pair<std::string, std::string>, std::int64_t> in_rack;
    std::map<std::string, std::int64_t> in_zone;
    for (const auto* info : from.serving) {
        if (!planned_vms.contains(info->vm.id)) {
            ++in_rack[{info->vm.zone, info->vm.rack}];
            ++in_zone[info->vm.zone];
        }
    }
    const vm_info* best = nullptr;
    std::pair<std::int64_t, std::int64_t> best_count;
    for (const auto* info : from.serving) {
        if (planned_vms.contains(info->vm.id)) {
            continue;
        }
        const std::pair count{in_zone[info->vm.zone], in_rack[{info->vm.zone, info->vm.rack}]};
        if (best == nullptr || count > best_count) {
            best = info;
            best_count = count;
        }
    }
    return best;
}

} // namespace

double pool_cost(const pool_view& pool, std::int64_t vms, double demand_slots, const move_options& options) {
    const double seconds = seconds_of(options.horizon);
    if (pool.slots_per_vm == 0) {
        // A spare VM runs tasks until a pool needs it, so it costs half as much as an idle VM that only one
        // service can use.
        return 0.5 * options.buffer_cost * static_cast<double>(vms) * seconds;
    }
    const double usable = static_cast<double>(vms * pool.slots_per_vm) * options.target_utilization;
    const double unmet = std::max(0.0, demand_slots - usable);
    const double needed_vms =
        demand_slots / (static_cast<double>(pool.slots_per_vm) * options.target_utilization);
    const double required_vms = needed_vms + static_cast<double>(options.reserve_vms);
    const double idle_vms = std::max(0.0, static_cast<double>(vms) - required_vms);
    const double missing_vms =
        std::clamp(required_vms - static_cast<double>(vms), 0.0, static_cast<double>(options.reserve_vms));
    return (options.waiting_cost * unmet + options.reserve_cost * missing_vms +
            options.buffer_cost * idle_vms) *
           seconds;
}

std::vector<planned_move> plan_moves(const fleet_state& state,
                                     const std::set<std::string, std::less<>>& absent_vms,
                                     const pool_demand& demand, const move_options& options) {
    const pool_views pools = make_pool_views(state, absent_vms);
    vm_counts counts;
    for (const auto& [name, pool] : pools) {
        counts[name] = expected_vms(pool);
    }
    std::vector<planned_move> moves;
    std::set<std::string> planned_vms;
    const double move_cost = seconds_of(options.move_time) * options.buffer_cost;
    for (std::int64_t in_flight = moves_in_flight(state); in_flight < options.max_moves_in_flight;
         ++in_flight) {
        std::optional<planned_move> best;
        for (const auto& [from_name, from] : pools) {
            const bool serves = !from.service.empty();
            if (counts[from_name] <= from.min_vms || (serves && !demand.settled(from.service))) {
                continue;
            }
            const auto* candidate = choose_vm(from, planned_vms);
            if (candidate == nullptr) {
                continue;
            }
            const double from_demand = serves ? demand.recent_peak(from.service) : 0;
            const double loss = pool_cost(from, counts[from_name] - 1, from_demand, options) -
                                pool_cost(from, counts[from_name], from_demand, options);
            for (const auto& [to_name, to] : pools) {
                if (to_name == from_name) {
                    continue;
                }
                const double to_demand = to.service.empty() ? 0 : demand.smoothed(to.service);
                const double gain = pool_cost(to, counts[to_name], to_demand, options) -
                                    pool_cost(to, counts[to_name] + 1, to_demand, options);
                const double saving = gain - loss;
                if (saving > options.hysteresis * move_cost && (!best || saving > best->saving)) {
                    best = planned_move{candidate->vm.id, from_name, to_name, saving};
                }
            }
        }
        if (!best) {
            break;
        }
        --counts[best->from];
        ++counts[best->to];
        planned_vms.insert(best->vm);
        moves.push_back(*best);
    }
    return moves;
}

} // namespace hornbeamrail
