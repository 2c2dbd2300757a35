#include "policy/fair_share.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace hornbeamrail {

namespace {

constexpr std::size_t resource_count = 3;
using resource_array = std::array<double, resource_count>;

resource_array as_array(const resource_vector& value) {
    return {value.cores, value.memory_mb, value.accelerators};
}

double effective_weight(double weight) {
    return std::max(weight, min_share_weight);
}

/// Progressive filling: raises a common level of the weighted dominant share until the resources are
/// exhausted.
class dominant_filling {
public:
    dominant_filling(const resource_vector& total, std::span<const task_claim> task_claims)
        : capacity(as_array(total)), claims(task_claims), dominant(task_claims.size(), 0.0),
          tasks(task_claims.size(), 0.0), active(task_claims.size(), true) {
        for (std::size_t i = 0; i < this->claims.size(); ++i) {
            const auto size = as_array(this->claims[i].per_task);
            for (std::size_t r = 0; r < resource_count; ++r) {
                if (size[r] > 0 && this->capacity[r] <= 0) {
                    this->active[i] = false;
                } else if (size[r] > 0) {
                    this->dominant[i] = std::max(this->dominant[i], size[r] / this->capacity[r]);
                }
            }
            this->active[i] = this->active[i] && this->dominant[i] > 0 && this->claims[i].tasks > 0;
        }
    }

    std::vector<double> run() {
        // Each round exhausts a resource or satisfies all remaining claims, so there are at most
        // `resource_count` + 1 rounds.
        for (std::size_t round = 0; round <= resource_count; ++round) {
            if (std::none_of(this->active.begin(), this->active.end(), [](bool a) { return a; })) {
                break;
            }
            this->raise_level();
            this->freeze();
        }
        return this->tasks;
    }

private:
    /// @return tasks of claim @p i at a level of the weighted dominant share
    [[nodiscard]] double tasks_at(std::size_t i, double level) const {
        return std::min(this->claims[i].tasks,
                        level * effective_weight(this->claims[i].weight) / this->dominant[i]);
    }

    [[nodiscard]] resource_array used_at(double level) const {
        resource_array used{};
        for (std::size_t i = 0; i < this->claims.size(); ++i) {
            const double count = this->active[i] ? this->tasks_at(i, level) : this->tasks[i];
            const auto size = as_array(this->claims[i].per_task);
            for (std::size_t r = 0; r < resource_count; ++r) {
                used[r] += count * size[r];
            }
        }
        return used;
    }

    [[nodiscard]] bool fits(double level) const {
        const auto used = this->used_at(level);
        for (std::size_t r = 0; r < resource_count; ++r) {
            if (used[r] > this->capacity[r] * (1 + 1e-12)) {
                return false;
            }
        }
        return true;
    }

    /// Raises the level of the active claims as far as the capacity permits.
    void raise_level() {
        double high = 0;
        for (std::size_t i = 0; i < this->claims.size(); ++i) {
            if (this->active[i]) {
                high = std::max(high, this->claims[i].tasks * this->dominant[i] /
                                          effective_weight(this->claims[i].weight));
            }
        }
        double low = 0;
        if (this->fits(high)) {
            low = high;
        }
        // 60 bisections reach the precision of a double.
        for (int step = 0; step < 60 && low < high; ++step) {
            const double middle = (low + high) / 2;
            (this->fits(middle) ? low : high) = middle;
        }
        for (std::size_t i = 0; i < this->claims.size(); ++i) {
            if (this->active[i]) {
                this->tasks[i] = this->tasks_at(i, low);
            }
        }
    }

    /// Deactivates claims that are satisfied or need an exhausted resource.
    void freeze() {
        resource_array total{};
        for (std::size_t i = 0; i < this->claims.size(); ++i) {
            const auto size = as_array(this->claims[i].per_task);
            for (std::size_t r = 0; r < resource_count; ++r) {
                total[r] += this->tasks[i] * size[r];
            }
        }
        for (std::size_t i = 0; i < this->claims.size(); ++i) {
            const auto size = as_array(this->claims[i].per_task);
            for (std::size_t r = 0; r < resource_count; ++r) {
                if (size[r] > 0 && total[r] >= this->capacity[r] * (1 - 1e-9)) {
                    this->active[i] = false;
                }
            }
            if (this->tasks[i] >= this->claims[i].tasks) {
                this->active[i] = false;
            }
        }
    }

    resource_array capacity;
    std::span<const task_claim> claims;
    std::vector<double> dominant; ///< fraction of the dominant resource that one task of the claim uses
    std::vector<double> tasks;    ///< result by claim
    std::vector<bool> active;     ///< claims that can still grow
};

} // namespace

std::vector<double> divide_max_min(double capacity, std::span<const share_claim> claims) {
    std::vector<std::size_t> order(claims.size());
    std::iota(order.begin(), order.end(), 0);
    const auto saturation = [&](std::size_t i) {
        return claims[i].demand / effective_weight(claims[i].weight);
    };
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return saturation(a) != saturation(b) ? saturation(a) < saturation(b) : a < b;
    });
    double weights = 0;
    for (const auto& claim : claims) {
        weights += effective_weight(claim.weight);
    }
    std::vector<double> amounts(claims.size(), 0.0);
    double left = capacity;
    for (const auto i : order) {
        const double weight = effective_weight(claims[i].weight);
        amounts[i] = std::max(0.0, std::min(claims[i].demand, left * weight / weights));
        left -= amounts[i];
        weights -= weight;
    }
    return amounts;
}

std::vector<std::int64_t> round_largest_remainder(std::span<const double> amounts) {
    std::vector<std::int64_t> whole(amounts.size());
    std::vector<std::size_t> order(amounts.size());
    double sum = 0;
    std::int64_t floors = 0;
    for (std::size_t i = 0; i < amounts.size(); ++i) {
        // The tolerance keeps rounding errors, such as in 2.9999999999, from losing a unit.
        whole[i] = static_cast<std::int64_t>(std::floor(amounts[i] + 1e-9));
        sum += amounts[i];
        floors += whole[i];
        order[i] = i;
    }
    const auto missing = std::llround(sum) - floors;
    const auto remainder = [&](std::size_t i) {
        return amounts[i] - static_cast<double>(whole[i]);
    };
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return remainder(a) != remainder(b) ? remainder(a) > remainder(b) : a < b;
    });
    std::vector<std::int64_t> rounded = whole;
    for (std::int64_t n = 0; n < missing && n < static_cast<std::int64_t>(order.size()); ++n) {
        ++rounded[order[static_cast<std::size_t>(n)]];
    }
    return rounded;
}

std::vector<std::int64_t> split_by_demand(std::int64_t units, std::span<const std::int64_t> demand) {
    const auto total = std::accumulate(demand.begin(), demand.end(), std::int64_t{0});
    std::vector<double> amounts(demand.size(), 0.0);
    if (total > 0) {
        for (std::size_t i = 0; i < demand.size(); ++i) {
            amounts[i] =
                static_cast<double>(units) * static_cast<double>(demand[i]) / static_cast<double>(total);
        }
    }
    return round_largest_remainder(amounts);
}

std::vector<double> divide_dominant_resource(const resource_vector& capacity,
                                             std::span<const task_claim> claims) {
    return dominant_filling(capacity, claims).run();
}

double distance_from_share(std::span<const double> received, std::span<const double> entitled) {
    const double total_received = std::accumulate(received.begin(), received.end(), 0.0);
    const double total_entitled = std::accumulate(entitled.begin(), entitled.end(), 0.0);
    if (total_entitled <= 0 || total_received <= 0) {
        return 0;
    }
    double misplaced = 0;
    for (std::size_t i = 0; i < received.size(); ++i) {
        misplaced += std::abs(received[i] / total_received - entitled[i] / total_entitled);
    }
    return misplaced / 2;
}

} // namespace hornbeamrail
