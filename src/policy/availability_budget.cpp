#include "policy/availability_budget.hpp"

#include <algorithm>
#include <numeric>

namespace hornbeamrail {

void availability_budget::set_target(const availability_target& value) {
    if (value.window != this->target.window) {
        this->buckets = {};
    }
    this->target = value;
}

std::int64_t availability_budget::period_of(boot_time now) const {
    const std::chrono::microseconds window(this->target.window);
    const auto length = std::max<std::int64_t>(1, window.count() / static_cast<std::int64_t>(bucket_count));
    return now.time_since_epoch().count() / length;
}

void availability_budget::record(boot_time now, bool failed) {
    const auto period = this->period_of(now);
    auto& current = this->buckets[static_cast<std::size_t>(period) % bucket_count];
    if (current.period != period) {
        current = {.period = period};
    }
    ++current.answers;
    current.failures += failed ? 1 : 0;
}

availability_budget::summary availability_budget::at(boot_time now) const {
    const auto period = this->period_of(now);
    summary total;
    for (const auto& item : this->buckets) {
        if (item.period >= 0 && item.period + static_cast<std::int64_t>(bucket_count) > period) {
            total.answers += item.answers;
            total.failures += item.failures;
        }
    }
    const double allowed =
        this->target.max_failed_part * static_cast<double>(std::max(total.answers, min_answers));
    total.remaining = 1 - static_cast<double>(total.failures) / allowed;
    return total;
}

std::vector<double> plan_shedding(std::span<const shed_candidate> candidates, double excess) {
    std::vector<double> refused(candidates.size(), 0.0);
    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return candidates[a].remaining_budget > candidates[b].remaining_budget;
    });
    double excess_left = excess;
    const auto shed = [&](std::size_t i, double amount) {
        const double taken = std::clamp(amount, 0.0, std::max(excess_left, 0.0));
        refused[i] += taken;
        excess_left -= taken;
    };
    for (const auto i : order) {
        shed(i, candidates[i].load - candidates[i].fair_share);
    }
    for (const auto i : order) {
        shed(i, candidates[i].load - refused[i]);
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        refused[i] = candidates[i].load > 0 ? refused[i] / candidates[i].load : 0;
    }
    return refused;
}

} // namespace hornbeamrail
