#include "policy/worker_choice.hpp"

#include <algorithm>
#include <limits>
#include <map>

namespace hornbeamrail {

namespace {

/// Fraction of the workers of a pool that may be avoided for failed tasks. With two or more workers, at least
/// one may be avoided.
constexpr double max_avoided_fraction = 0.3;

/// @return unreserved CPU of a worker, in thousandths of its capacity
std::int64_t free_cpu_permille(const worker_view& worker) {
    return worker.capacity.cpu_millicores <= 0
               ? 0
               : worker.available.cpu_millicores * 1000 / worker.capacity.cpu_millicores;
}

/// @return preference of a worker by its use. Fuller ones are preferred; in a rack that other tasks want,
/// those in use come just before idle ones, so that no idle VM is used instead, and idle ones come last.
std::int64_t packing_score(const worker_view& worker, const placement_request& request) {
    constexpr std::int64_t all_free = 1000;
    const auto free = free_cpu_permille(worker);
    const bool is_near = worker.rack == request.data_rack || worker.rack == request.preferred_rack;
    if (!worker.rack_wanted || is_near) {
        return -free;
    }
    return free < all_free ? 1 - all_free : -all_free - 1;
}

/// Scores a worker for a task; the highest score wins. The base is the free CPU in thousandths, negated, so
/// that fuller workers are preferred. Each weight is at least the range of the base, 1000. The cost of a
/// worker without good standing exceeds the sum of all others.
std::int64_t score(const worker_view& worker, const placement_request& request) {
    constexpr std::int64_t standing_cost = 1000000000;
    constexpr std::int64_t rack_bonus = 100000;
    constexpr std::int64_t interference_cost = 10000;
    constexpr std::int64_t spread_cost = 20000;
    constexpr std::int64_t long_running_bonus_if_spread = 5000;
    constexpr std::int64_t long_running_bonus = 1000;
    std::int64_t value = packing_score(worker, request);
    value -= static_cast<std::int64_t>(worker.standing) * standing_cost;
    value += request.spread && worker.long_running_tasks > 0 ? long_running_bonus_if_spread : 0;
    value += !request.spread && worker.long_running_tasks > 0 ? long_running_bonus : 0;
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
        value -= worker.same_step_tasks * spread_cost;
    }
    return value;
}

/// The worker with the highest score so far.
struct best_worker {
    std::optional<std::size_t> index;
    std::int64_t best_score = std::numeric_limits<std::int64_t>::min();

    void consider(const std::vector<worker_view>& workers, std::size_t candidate,
                  const placement_request& request) {
        if (!can_run(workers[candidate], request)) {
            return;
        }
        const auto value = score(workers[candidate], request);
        if (!this->index || value > this->best_score) {
            this->index = candidate;
            this->best_score = value;
        }
    }
};

/// Rack with capacity for the most tasks of one size.
struct rack_room {
    std::string_view rack;
    std::int64_t copies = 0; ///< number of tasks
};

rack_room roomiest_rack(const std::vector<worker_view>& workers, const resources& need) {
    std::map<std::string_view, std::int64_t> copies_by_rack;
    for (const auto& worker : workers) {
        if (worker.allowed) {
            copies_by_rack[worker.rack] += copies_that_fit(need, worker.available);
        }
    }
    const auto best =
        std::max_element(copies_by_rack.begin(), copies_by_rack.end(),
                         [](const auto& left, const auto& right) { return left.second < right.second; });
    return best == copies_by_rack.end() ? rack_room{}
                                        : rack_room{.rack = best->first, .copies = best->second};
}

} // namespace

std::int64_t copies_that_fit(const resources& need, const resources& available) {
    const auto copies = [](std::int64_t per_task, std::int64_t total) {
        return per_task <= 0 ? std::numeric_limits<std::int32_t>::max()
                             : std::max<std::int64_t>(0, total / per_task);
    };
    return std::min({copies(need.cpu_millicores, available.cpu_millicores),
                     copies(need.memory_mb, available.memory_mb),
                     copies(need.accelerators, available.accelerators)});
}

bool can_run(const worker_view& worker, const placement_request& request) {
    const bool under_limit = request.max_per_worker <= 0 || worker.same_step_tasks < request.max_per_worker;
    const bool has_standing = (request.unlimited_attempts || worker.standing != worker_standing::avoided) &&
                              (request.overdue || worker.standing != worker_standing::leaving);
    return worker.allowed && has_standing && under_limit && worker.id != request.avoided_worker &&
           fits(request.need, worker.available);
}

void set_standings(std::vector<worker_view>& workers, std::vector<failing_worker> failing) {
    std::sort(failing.begin(), failing.end(), [](const auto& left, const auto& right) {
        return left.recent_failures > right.recent_failures;
    });
    const auto fraction =
        static_cast<std::size_t>(max_avoided_fraction * static_cast<double>(workers.size()));
    const auto limit = workers.size() < 2 ? 0 : std::max<std::size_t>(1, fraction);
    for (std::size_t rank = 0; rank < failing.size(); ++rank) {
        workers[failing[rank].index].standing =
            rank < limit ? worker_standing::avoided : worker_standing::suspect;
    }
}

std::optional<std::size_t> choose_worker(const std::vector<worker_view>& workers,
                                         const placement_request& request) {
    best_worker best;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        best.consider(workers, index, request);
    }
    return best.index;
}

std::optional<std::size_t> choose_worker_among(const std::vector<worker_view>& workers,
                                               const std::vector<std::size_t>& candidates,
                                               const placement_request& request) {
    best_worker best;
    for (const auto index : candidates) {
        best.consider(workers, index, request);
    }
    return best.index;
}

std::string_view choose_rack(const std::vector<worker_view>& workers, const resources& need,
                             std::int32_t count) {
    const auto best = roomiest_rack(workers, need);
    return best.copies >= count ? best.rack : std::string_view();
}

std::string_view find_roomiest_rack(const std::vector<worker_view>& workers, const resources& need) {
    return roomiest_rack(workers, need).rack;
}

} // namespace hornbeamrail
