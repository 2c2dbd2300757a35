#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace hornbeamrail {

/// What one team asks of one divisible resource.
struct share_claim {
    double weight = 0; ///< the team's share; values below `min_share_weight` count as that
    double demand = 0; ///< same unit as the capacity, not negative
};

/// A team without a share still progresses when the fleet is full.
inline constexpr double min_share_weight = 0.01;

/// Weighted max-min fair division. No claim receives more than its demand; what one leaves is lent to the
/// others in proportion to their weights.
/// @param capacity amount to divide, not negative
/// @return the amount per claim; the sum is min(capacity, total demand). O(n log n).
std::vector<double> divide_max_min(double capacity, std::span<const share_claim> claims);

/// Rounds a division to whole units by the largest remainders; equal remainders go to the lower index, so
/// that all nodes round alike.
/// @return whole units with the sum round(sum(parts)); no part changes by 1 or more
std::vector<std::int64_t> round_largest_remainder(std::span<const double> parts);

/// Splits whole units in proportion to demand.
/// @return units per entry; entries without demand receive none; the sum is @p units if any demand exists
std::vector<std::int64_t> split_by_demand(std::int64_t units, std::span<const std::int64_t> demand);

struct resource_vector {
    double cores = 0;
    double memory_mb = 0;
    double accelerators = 0;
};

/// What one team asks of a pool that runs tasks.
struct task_claim {
    double weight = 0;
    resource_vector per_task; ///< mean size of the team's tasks
    double tasks = 0;         ///< running and queued
};

/// Weighted max-min fairness over each team's dominant resource: the one of which it asks the largest part.
/// @return tasks per claim, fractional; no resource is used beyond @p capacity
std::vector<double> divide_dominant_resource(const resource_vector& capacity,
                                             std::span<const task_claim> claims);

/// @param received amounts that the teams got
/// @param entitled amounts that the fair division gives
/// @return the part of all entitled work that went to the wrong team, 0..1
double distance_from_share(std::span<const double> received, std::span<const double> entitled);

} // namespace hornbeamrail
