#pragma once

#include "hornbeamrail/fleet_config.hpp"
#include "protocol/platform.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Counts what callers of one service saw over a sliding window.
///
/// The window consists of `bucket_count` buckets, so memory does not grow with load and the window moves in
/// steps of 1/64 of its length.
class availability_budget {
public:
    explicit availability_budget(availability_target initial_target = {}) : target(initial_target) {}

    void set_target(const availability_target& value);

    /// Counts one answer to a caller.
    /// @param failed the service failed the caller; refusals that the caller caused do not count
    void record(boot_time now, bool failed);

    struct summary {
        std::int64_t answers = 0;
        std::int64_t failures = 0;
        /// Part of the allowed failures that is left: 1 untouched, 0 used up, negative when overspent.
        double remaining = 1;
    };
    [[nodiscard]] summary at(boot_time now) const;

    static constexpr std::size_t bucket_count = 64;
    /// Below this many answers, the allowance is that of this many: one failure does not use up a young
    /// budget.
    static constexpr std::int64_t min_answers = 1000;

private:
    struct bucket {
        std::int64_t period = -1; ///< number of the bucket's time span since the clock's epoch
        std::int64_t answers = 0;
        std::int64_t failures = 0;
    };
    [[nodiscard]] std::int64_t period_of(boot_time now) const;

    availability_target target;
    std::array<bucket, bucket_count> buckets{};
};

/// Load of one team on one service that could be refused.
struct shed_candidate {
    double load = 0;             ///< units running and queued
    double part = 0;             ///< fair part in units
    double remaining_budget = 1; ///< of the service
};

/// Decides what to refuse when a dependency is short of capacity: first what is above its share, from the
/// services with the most budget left; then, in the same order, what is within its share.
/// @param candidates all loads that need the dependency
/// @param excess load to refuse
/// @return part of each candidate's load to refuse, 0..1; the refused load is min(excess, total load)
std::vector<double> plan_shedding(std::span<const shed_candidate> candidates, double excess);

} // namespace hornbeamrail
