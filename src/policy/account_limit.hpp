#pragma once

#include "protocol/job.hpp"

#include <cstdint>

namespace hornbeamrail {

/// Tasks that start together.
struct limited_start {
    resources total; ///< needs of all of them
    resources task;  ///< need of one of them; they are equal
    /// It must not wait for other work of the account, which may never end: the job has nothing running, or
    /// the task is long-running.
    bool must_not_wait = false;
};

/// @return the start of one task; long-running tasks must not wait
[[nodiscard]] limited_start start_of_task(const step_spec& step);

/// @return the start of all tasks of a gang
[[nodiscard]] limited_start start_of_gang(const step_spec& step);

/// Whether the upper limit permits a start.
enum class limit_verdict : std::uint8_t {
    denied,
    within, ///< the limit is not exceeded
    /// The limit is exceeded by no more than the tolerance and one task, provided that no start of the
    /// account which counts as used already is executed after this one.
    beyond,
};

/// Upper limit of a client account on what runs at the same time.
///
/// Pattern of load: a task or gang needs more than its account has left, for instance after the limit was
/// lowered, and what the account runs does not end. An account that uses less than half of its limit may
/// therefore exceed it by work that must not wait, up to the tolerance and one task more.
struct account_limit {
    resources upper_limit; ///< 0: no limit
    double tolerance = 0;  ///< share of the limit by which it may be exceeded

    /// @param used needs of what the account runs
    [[nodiscard]] limit_verdict check(const resources& used, const limited_start& start) const;

    /// @return whether the start is permitted while the account runs nothing
    [[nodiscard]] bool can_ever_permit(const limited_start& start) const;
};

} // namespace hornbeamrail
