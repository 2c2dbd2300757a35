#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <optional>
#include <random>

namespace hornbeamrail {

struct retry_budget_options {
    double part = 0.09; ///< retries per first dispatch
    double reserve = 3; ///< unspent retries kept for later
    double initial = 1; ///< retries available before any load
    /// One retry is allowed this long after the last one even if none was earned, so that a single failure at
    /// low load can be repeated. A service under load earns more than that.
    std::chrono::milliseconds longest_wait{1000};
    std::chrono::milliseconds base_delay{25};
    std::chrono::milliseconds longest_delay{1000};
};

/// Limits the retries of one service to a part of its load, so that retries cannot keep an overloaded service
/// down.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options budget_options = {})
        : options(budget_options), available(budget_options.initial) {}

    /// Counts a first dispatch, which earns a part of a retry.
    void on_first_dispatch();

    /// @return whether a retry is allowed; it is then spent
    bool try_spend(boot_time now);

    /// @return whether `try_spend` would allow a retry
    [[nodiscard]] bool can_spend(boot_time now) const;

    /// Counts a repetition that is made in any case, after a refusal by an executor with no free slot. It
    /// leaves less for others; at most `reserve` is owed.
    void charge();

    [[nodiscard]] double left() const noexcept { return this->available; }

    /// Chooses when to retry: exponential backoff with a uniformly random delay.
    /// @param attempt number of dispatches so far, at least 1
    /// @param deadline of the request
    /// @param run expected run time
    /// @return the time, or nothing when the retry could not end before the deadline
    std::optional<boot_time> next_attempt(boot_time now, int attempt, boot_time deadline,
                                          std::chrono::microseconds run, std::mt19937_64& random) const;

private:
    retry_budget_options options;
    double available;
    boot_time last_spent{};
};

} // namespace hornbeamrail
