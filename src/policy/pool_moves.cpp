#include "policy/pool_moves.hpp"

#include "protocol/durations.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamrail {

namespace {

/// Time constants of the two averages; their difference gives the slope of the rate.
constexpr double fast_window_s = 0.8;
constexpr double slow_window_s = 2.4;
/// Enough jobs to distinguish a surge from a few large jobs.
constexpr std::size_t latest_job_count = 24;
/// Lower bound of the span over which the rate of the latest jobs is computed: jobs of one read of the log
/// arrive together.
constexpr double min_span_s = 0.2;
/// A longer span does not indicate a surge.
constexpr double max_span_s = 1.0;
/// Fraction of the waiting work that counts: the rest ends before a VM that is ordered now arrives.
constexpr double backlog_fraction = 0.4;
/// Limit of the extrapolated rise, as a fraction of the rate: a few large jobs look like a steep rise.
constexpr double max_rise_fraction = 0.6;
/// Fraction of a VM that is planned to be used; the rest absorbs uneven task sizes.
constexpr double planned_utilization = 0.9;
/// More VMs than any site has. Also the limit of a demand that no site can serve.
constexpr double max_needed_vms = 1e9;
/// Fraction of the site's VMs that one plan may switch off.
constexpr double release_fraction = 0.02;
/// Fraction of the platform's order rate that moves may use; the rest is reserved for maintenance.
constexpr double order_fraction = 0.85;

/// Removes an idle VM of a pool from the list.
/// @param from the pool
/// @param to the pool that receives the VM
/// @return its id, or nothing when the pool has no idle VM
std::optional<std::string> take_idle_vm(std::vector<movable_vm>& vms, const pool_need& from,
                                        const pool_need& to) {
    const auto cost = [&](const movable_vm& vm) {
        constexpr int not_wanted_cost = 2;
        return (to.wanted_racks.contains(vm.rack) ? 0 : not_wanted_cost) +
               (from.wanted_racks.contains(vm.rack) ? 1 : 0);
    };
    auto found = vms.end();
    for (auto vm = vms.begin(); vm != vms.end(); ++vm) {
        if (vm->idle && vm->pool == from.pool && (found == vms.end() || cost(*vm) < cost(*found))) {
            found = vm;
        }
    }
    if (found == vms.end()) {
        return std::nullopt;
    }
    auto id = std::move(found->id);
    vms.erase(found);
    return id;
}

} // namespace

void arrival_rate::average::decay(double seconds, double window_s) {
    this->rate *= std::exp(-seconds / window_s);
}

void arrival_rate::add(double millicore_seconds, boot_time now) {
    const double elapsed = seconds_of(now - this->updated);
    this->fast.decay(elapsed, fast_window_s);
    this->slow.decay(elapsed, slow_window_s);
    this->fast.rate += millicore_seconds / fast_window_s;
    this->slow.rate += millicore_seconds / slow_window_s;
    this->updated = now;
    this->latest_arrivals.push_back({.at = now, .work = millicore_seconds});
    if (this->latest_arrivals.size() > latest_job_count) {
        this->latest_arrivals.pop_front();
    }
}

double arrival_rate::latest_millicores(boot_time now) const {
    const double span =
        this->latest_arrivals.empty() ? 0 : seconds_of(now - this->latest_arrivals.front().at);
    if (this->latest_arrivals.size() < latest_job_count || span > max_span_s) {
        return 0;
    }
    double work = 0;
    for (const auto& job : this->latest_arrivals) {
        work += job.work;
    }
    return work / std::max(min_span_s, span);
}

double arrival_rate::millicores(boot_time now) const {
    return this->fast.rate * std::exp(-seconds_of(now - this->updated) / fast_window_s);
}

double arrival_rate::expected_millicores(boot_time now, std::chrono::milliseconds ahead) const {
    const double elapsed = seconds_of(now - this->updated);
    const double current = this->fast.rate * std::exp(-elapsed / fast_window_s);
    const double earlier = this->slow.rate * std::exp(-elapsed / slow_window_s);
    const double slope = (current - earlier) / (slow_window_s - fast_window_s);
    const double rise = std::max(0.0, slope) * seconds_of(ahead);
    const double extrapolated = current + std::min(rise, max_rise_fraction * std::max(current, earlier));
    return std::max(extrapolated, this->latest_millicores(now));
}

std::int32_t needed_vms(const pool_load& load) {
    if (load.vm_millicores <= 0) {
        return 0;
    }
    const double batch = std::max(load.arriving_millicores,
                                  load.running_millicores + backlog_fraction * load.waiting_millicores);
    const double by_millicores =
        std::ceil((load.long_running_millicores + batch) / (load.vm_millicores * planned_utilization));
    return static_cast<std::int32_t>(
               std::clamp(by_millicores, static_cast<double>(load.long_running_vms), max_needed_vms)) +
           1;
}

move_bounds bounds_of_plan(std::size_t vms, double orders_per_second, std::chrono::milliseconds interval) {
    const double orders = order_fraction * orders_per_second * seconds_of(interval);
    const double releases = std::floor(release_fraction * static_cast<double>(vms));
    return {.moves = static_cast<std::size_t>(std::max(1.0, orders)),
            .releases = static_cast<std::size_t>(std::max(1.0, releases))};
}

std::vector<vm_move_plan> plan_pool_moves(const std::vector<pool_need>& pools,
                                          const std::vector<movable_vm>& vms, const move_bounds& bounds) {
    std::vector<vm_move_plan> moves;
    auto remaining_vms = vms;
    std::map<std::string, std::int32_t> surplus;
    std::vector<const pool_need*> short_pools;
    const pool_need* spare_pool = nullptr;
    for (const auto& pool : pools) {
        if (pool.spare) {
            spare_pool = &pool;
            continue;
        }
        surplus[pool.pool] = pool.vms - pool.needed;
        if (pool.vms < pool.needed) {
            short_pools.push_back(&pool);
        }
    }
    std::sort(short_pools.begin(), short_pools.end(), [](const auto* first, const auto* second) {
        return first->needed - first->vms > second->needed - second->vms;
    });
    for (const auto* pool : short_pools) {
        for (auto missing = pool->needed - pool->vms; missing > 0 && moves.size() < bounds.moves; --missing) {
            auto vm = spare_pool == nullptr ? std::nullopt : take_idle_vm(remaining_vms, *spare_pool, *pool);
            for (auto donor = pools.begin(); !vm && donor != pools.end(); ++donor) {
                if (!donor->spare && surplus[donor->pool] > 0) {
                    vm = take_idle_vm(remaining_vms, *donor, *pool);
                    surplus[donor->pool] -= vm ? 1 : 0;
                }
            }
            if (!vm) {
                break;
            }
            moves.push_back({.vm = std::move(*vm), .to_pool = pool->pool});
        }
    }
    std::size_t releases = 0;
    for (const auto& pool : pools) {
        const auto unneeded = std::min(surplus[pool.pool], pool.vms - pool.recent_peak_needed);
        for (auto count = unneeded; spare_pool != nullptr && !pool.spare && pool.may_release && count > 0 &&
                                    releases < bounds.releases && moves.size() < bounds.moves;
             --count) {
            auto vm = take_idle_vm(remaining_vms, pool, *spare_pool);
            if (!vm) {
                break;
            }
            ++releases;
            moves.push_back({.vm = std::move(*vm), .to_pool = spare_pool->pool});
        }
    }
    return moves;
}

} // namespace hornbeamrail
