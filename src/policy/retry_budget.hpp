#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <optional>
#include <random>

namespace hornbeamrail {

/// Parameters of a retry budget and of the backoff.
struct retry_budget_options {
    double retries_per_dispatch = 0.09; ///< retries earned by one first dispatch
    double reserve = 3;                 ///< limit of unspent retries, and of retries owed after `charge`
    double initial = 1;                 ///< retries available before any load
    /// One retry is allowed this long after the last one even if none was earned, so that a single failure at
    /// low load can be retried. A service under load earns more than that.
    std::chrono::milliseconds unearned_retry_interval{1000};
    std::chrono::milliseconds base_delay{25}; ///< upper bound of the first backoff; doubles with each attempt
    std::chrono::milliseconds max_delay{1000}; ///< upper bound of every backoff
};

/// Limits the retries of one service to a fraction of its load, so that retries cannot keep a service
/// overloaded.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options budget_options = {})
        : options(budget_options), available(budget_options.initial) {}

    /// Counts a first dispatch, which earns a fraction of a retry.
    void on_first_dispatch();

    /// Spends a retry if one is allowed.
    /// @return whether a retry was allowed
    bool try_spend(boot_time now);

    /// @return whether `try_spend` would allow a retry
    [[nodiscard]] bool can_spend(boot_time now) const;

    /// Charges a retry that takes place in any case, after a refusal by an executor with no free slot. Fewer
    /// retries remain for other requests; at most `reserve` retries are owed.
    void charge();

    /// @return available retries, negative when retries are owed
    [[nodiscard]] double left() const noexcept { return this->available; }

    /// Chooses the time of a retry: exponential backoff with full jitter.
    /// @param attempt number of dispatches so far, at least 1
    /// @param deadline of the request
    /// @param run expected run time
    /// @return the time, or nothing when the retry would not end before the deadline
    std::optional<boot_time> next_attempt(boot_time now, int attempt, boot_time deadline,
                                          std::chrono::microseconds run, std::mt19937_64& random) const;

private:
    retry_budget_options options;
    double available;
    boot_time last_spent{};
};

} // namespace hornbeamrail
