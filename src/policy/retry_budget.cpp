#include "policy/retry_budget.hpp"

#include <algorithm>

namespace hornbeamrail {

void retry_budget::on_first_dispatch() {
    this->available = std::min(this->available + this->options.retries_per_dispatch, this->options.reserve);
}

bool retry_budget::can_spend(boot_time now) const {
    // The tolerance covers rounding errors: for example, ten additions of 0.1 count as one retry.
    return this->available >= 1 - 1e-9 || now - this->last_spent >= this->options.unearned_retry_interval;
}

bool retry_budget::try_spend(boot_time now) {
    if (!this->can_spend(now)) {
        return false;
    }
    // A retry that was not earned does not change the number of retries owed.
    this->available =
        this->available >= 1 - 1e-9 ? std::max(0.0, this->available - 1) : std::min(this->available, 0.0);
    this->last_spent = now;
    return true;
}

void retry_budget::charge() {
    this->available = std::max(this->available - 1, -this->options.reserve);
}

std::optional<boot_time> retry_budget::next_attempt(boot_time now, int attempt, boot_time deadline,
                                                    std::chrono::microseconds run,
                                                    std::mt19937_64& random) const {
    const auto doublings = std::clamp(attempt - 1, 0, 20);
    const auto max_backoff = std::min<std::chrono::microseconds>(
        this->options.base_delay * (std::int64_t{1} << doublings), this->options.max_delay);
    const std::chrono::microseconds delay(static_cast<std::int64_t>(
        random() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, max_backoff.count()))));
    const auto at = now + delay;
    if (at + run >= deadline) {
        return std::nullopt;
    }
    return at;
}

} // namespace hornbeamrail
