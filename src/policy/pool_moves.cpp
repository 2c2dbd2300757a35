#include "policy/pool_moves.hpp"

#include "protocol/durations.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamrail {

namespace {

constexpr double fast_window_s = 0.8;
constexpr double slow_window_s = 2.4;
/// Enough jobs to tell a surge from a few large ones.
constexpr std::size_t latest_jobs = 24;
/// Shortest span over which the latest jobs count: those of one read of the log arrive together.
constexpr double shortest_span_s = 0.2;
/// Older jobs say nothing of a surge.
constexpr double longest_span_s = 1.0;
constexpr double backlog_part = 0.4;
constexpr double steepest_rise = 0.6;
/// Part of a VM that is planned to be used; the rest absorbs uneven sizes.
constexpr double planned_use = 0.9;
/// VMs that one plan may switch off, as a part of the site's.
constexpr double release_part = 0.02;
/// Part of the platform's rate of orders that moves may use; the rest is left for maintenance.
constexpr double order_part = 0.85;

/// Takes an idle VM of a pool out of the list.
std::optional<std::string> take_idle(std::vector<movable_vm>& vms, const std::string& pool) {
    const auto found =
        std::find_if(vms.begin(), vms.end(), [&pool](const auto& vm) { return vm.idle && vm.pool == pool; });
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
    this->latest.push_back({.at = now, .work = millicore_seconds});
    if (this->latest.size() > latest_jobs) {
        this->latest.pop_front();
    }
}

double arrival_rate::latest_millicores(boot_time now) const {
    const double span = this->latest.empty() ? 0 : seconds_of(now - this->latest.front().at);
    if (this->latest.size() < latest_jobs || span > longest_span_s) {
        return 0;
    }
    double work = 0;
    for (const auto& job : this->latest) {
        work += job.work;
    }
    return work / std::max(shortest_span_s, span);
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
    // A few large jobs look like a steep rise.
    const double risen = current + std::min(rise, steepest_rise * std::max(current, earlier));
    return std::max(risen, this->latest_millicores(now));
}

std::int32_t needed_vms(const pool_load& load) {
    if (load.vm_millicores <= 0) {
        return 0;
    }
    // A part of the backlog is gone before a VM that is ordered now arrives.
    const double batch =
        std::max(load.arriving_millicores, load.running_millicores + backlog_part * load.waiting_millicores);
    const auto by_cores = static_cast<std::int32_t>(
        std::ceil((load.long_running_millicores + batch) / (load.vm_millicores * planned_use)));
    return std::max(by_cores, load.long_running_vms) + 1;
}

move_bounds bounds_of_plan(std::size_t vms, double orders_per_second, std::chrono::milliseconds interval) {
    const double orders = order_part * orders_per_second * seconds_of(interval);
    const double releases = std::floor(release_part * static_cast<double>(vms));
    return {.moves = static_cast<std::size_t>(std::max(1.0, orders)),
            .releases = static_cast<std::size_t>(std::max(1.0, releases))};
}

std::vector<vm_move_plan> plan_pool_moves(const std::vector<pool_need>& pools,
                                          const std::vector<movable_vm>& vms, const move_bounds& bounds) {
    std::vector<vm_move_plan> moves;
    auto left = vms;
    std::map<std::string, std::int32_t> surplus;
    std::vector<const pool_need*> short_pools;
    std::string spare_pool;
    for (const auto& pool : pools) {
        if (pool.spare) {
            spare_pool = pool.pool;
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
            auto vm = spare_pool.empty() ? std::nullopt : take_idle(left, spare_pool);
            for (auto giver = pools.begin(); !vm && giver != pools.end(); ++giver) {
                if (!giver->spare && surplus[giver->pool] > 0) {
                    vm = take_idle(left, giver->pool);
                    surplus[giver->pool] -= vm ? 1 : 0;
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
        for (auto count = unneeded; !spare_pool.empty() && !pool.spare && pool.may_release && count > 0 &&
                                    releases < bounds.releases && moves.size() < bounds.moves;
             --count) {
            auto vm = take_idle(left, pool.pool);
            if (!vm) {
                break;
            }
            ++releases;
            moves.push_back({.vm = std::move(*vm), .to_pool = spare_pool});
        }
    }
    return moves;
}

} // namespace hornbeamrail
