#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace hornbeamrail {

/// Claim of one team on one divisible resource.
struct share_claim {
    double weight = 0; ///< the team's share; values below `min_share_weight` count as that
    double demand = 0; ///< same unit as the capacity, not negative
};

/// Lower bound of a weight, so that a team without a share still progresses when the fleet is full.
inline constexpr double min_share_weight = 0.01;

/// Computes the weighted max-min fair division. No claim receives more than its demand; what a claim does not
/// use goes to the others in proportion to their weights.
/// @param capacity amount to divide, not negative
/// @return the amount per claim; the sum is min(capacity, total demand). O(n log n).
std::vector<double> divide_max_min(double capacity, std::span<const share_claim> claims);

/// Rounds a division to whole units by the largest remainder method. Of equal remainders the lower index is
/// rounded up, so that all nodes compute the same result.
/// @return whole units with the sum round(sum(amounts)); no amount changes by 1 or more
std::vector<std::int64_t> round_largest_remainder(std::span<const double> amounts);

/// Splits whole units in proportion to demand.
/// @return units per entry; entries without demand receive none; the sum is @p units if any demand exists
std::vector<std::int64_t> split_by_demand(std::int64_t units, std::span<const std::int64_t> demand);

/// Amounts of the resources of a worker or a task.
struct resource_vector {
    double cores = 0;
    double memory_mb = 0;
    double accelerators = 0;
};

/// Claim of one team on a pool that runs tasks.
struct task_claim {
    double weight = 0;
    resource_vector per_task; ///< mean size of the team's tasks
    double tasks = 0;         ///< running and queued
};

/// Computes the weighted max-min fair division by dominant resource (DRF): the resource of which one task of
/// the team uses the largest fraction.
/// @return tasks per claim, fractional; no resource is used beyond @p capacity
std::vector<double> divide_dominant_resource(const resource_vector& capacity,
                                             std::span<const task_claim> claims);

/// Measures how far an allocation is from the fair division.
/// @param received amounts that the teams received
/// @param entitled amounts of the fair division, one per entry of @p received
/// @return the fraction of all work that went to the wrong team, 0..1; 0 when either sum is 0
double distance_from_share(std::span<const double> received, std::span<const double> entitled);

} // namespace hornbeamrail
