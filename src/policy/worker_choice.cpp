#include "policy/worker_choice.hpp"

#include <algorithm>
#include <limits>
#include <map>

namespace hornbeamrail {

namespace {

/// Part of a worker that is free, in thousandths.
std::int64_t free_part(const worker_view& worker) {
    return worker.capacity.cpu_millicores <= 0
               ? 0
               : worker.available.cpu_millicores * 1000 / worker.capacity.cpu_millicores;
}

bool can_take(const worker_view& worker, const placement_request& request) {
    const bool under_limit = request.max_per_worker <= 0 || worker.same_step < request.max_per_worker;
    return worker.allowed && under_limit && worker.id != request.avoided_worker &&
           fits(request.need, worker.available);
}

/// Higher is better.
std::int64_t score(const worker_view& worker, const placement_request& request) {
    constexpr std::int64_t rack_bonus = 100000;
    constexpr std::int64_t interference_cost = 10000;
    constexpr std::int64_t spread_cost = 20000;
    constexpr std::int64_t lasting_bonus = 5000;
    constexpr std::int64_t shared_bonus = 1000;
    std::int64_t value = -free_part(worker);
    value += request.spread && worker.long_running_tasks > 0 ? lasting_bonus : 0;
    value += !request.spread && worker.long_running_tasks > 0 ? shared_bonus : 0;
    if (!request.data_rack.empty() && worker.rack == request.data_rack) {
        value += rack_bonus;
    }
    if (!request.preferred_rack.empty() && worker.rack == request.preferred_rack) {
        value += rack_bonus;
    }
    if (request.best_effort) {
        value -= worker.latency_sensitive_tasks * interference_cost;
    }
    if (request.latency_sensitive) {
        value -= worker.best_effort_tasks * interference_cost;
    }
    if (request.spread) {
        value -= worker.same_step * spread_cost;
    }
    return value;
}

std::int64_t copies_that_fit(const resources& need, const resources& available) {
    const auto part = [](std::int64_t one, std::int64_t all) {
        return one <= 0 ? std::numeric_limits<std::int32_t>::max() : std::max<std::int64_t>(0, all / one);
    };
    return std::min({part(need.cpu_millicores, available.cpu_millicores),
                     part(need.memory_mb, available.memory_mb),
                     part(need.accelerators, available.accelerators)});
}

} // namespace

std::optional<std::size_t> choose_worker(const std::vector<worker_view>& workers,
                                         const placement_request& request) {
    std::optional<std::size_t> best;
    std::int64_t best_score = std::numeric_limits<std::int64_t>::min();
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (!can_take(workers[index], request)) {
            continue;
        }
        const auto value = score(workers[index], request);
        if (!best || value > best_score) {
            best = index;
            best_score = value;
        }
    }
    return best;
}

std::string_view choose_rack(const std::vector<worker_view>& workers, const resources& need,
                             std::int32_t count) {
    std::map<std::string_view, std::int64_t> room;
    for (const auto& worker : workers) {
        if (worker.allowed) {
            room[worker.rack] += copies_that_fit(need, worker.available);
        }
    }
    const auto best = std::max_element(room.begin(), room.end(), [](const auto& left, const auto& right) {
        return left.second < right.second;
    });
    return best != room.end() && best->second >= count ? best->first : std::string_view();
}

} // namespace hornbeamrail
