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

/// Tracks the error budget of one service over a sliding window.
///
/// The window consists of `bucket_count` buckets, so that memory does not grow with load, and moves in steps
/// of 1/64 of its length.
class availability_budget {
public:
    explicit availability_budget(availability_target initial_target = {}) : target(initial_target) {}

    /// Changes the target; a different window length resets the counts.
    void set_target(const availability_target& value);

    /// Counts one answer to a caller.
    /// @param failed whether the service failed; refusals that the caller caused are not failures
    void record(boot_time now, bool failed);

    /// State of the budget.
    struct summary {
        std::int64_t answers = 0;
        std::int64_t failures = 0;
        /// Remaining fraction of the allowed failures: 1 when unused, 0 when used up, negative when exceeded.
        double remaining = 1;
    };

    /// @return the counts of the window that ends at @p now
    [[nodiscard]] summary at(boot_time now) const;

    static constexpr std::size_t bucket_count = 64;
    /// The allowed failures are computed for at least this many answers, so that a single failure does not
    /// use up the budget of a window with few answers.
    static constexpr std::int64_t min_answers = 1000;

private:
    struct bucket {
        std::int64_t period =
            -1; ///< number of the bucket's time span since the epoch of the clock; -1: empty
        std::int64_t answers = 0;
        std::int64_t failures = 0;
    };
    [[nodiscard]] std::int64_t period_of(boot_time now) const;

    availability_target target;
    std::array<bucket, bucket_count> buckets{};
};

/// Load of one team on one service that may be refused.
struct shed_candidate {
    double load = 0;             ///< units running and queued
    double fair_share = 0;       ///< in units
    double remaining_budget = 1; ///< of the service
};

/// Decides which load to refuse when a dependency lacks capacity: first load above the fair share, starting
/// with the services that have the most budget left; then, in the same order, load within the fair share.
/// @param candidates all loads on services that need the dependency
/// @param excess units to refuse
/// @return fraction of each candidate's load to refuse, 0..1; the refused load is min(excess, total load)
std::vector<double> plan_shedding(std::span<const shed_candidate> candidates, double excess);

} // namespace hornbeamrail
