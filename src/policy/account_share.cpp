#include "policy/account_share.hpp"

#include "protocol/durations.hpp"

#include <algorithm>
#include <chrono>

namespace hornbeamrail {

namespace {

/// A bucket holds the jobs of so many seconds: the demand of an account swings around its mean.
constexpr double depth_s = 5;
/// Smallest depth, so that an account with little weight can hand in a few jobs at once.
constexpr double least_depth = 5;

} // namespace

bool account_share::admit(std::string_view account, double weight, boot_time arrived) {
    if (account.empty() || weight <= 0) {
        return true;
    }
    const double depth = std::max(least_depth, weight * depth_s);
    auto found = this->buckets.find(account);
    if (found == this->buckets.end()) {
        found = this->buckets.emplace(std::string(account), bucket{.tokens = depth, .filled = arrived}).first;
    }
    auto& own = found->second;
    const double elapsed_s = seconds_of(arrived - own.filled);
    own.tokens = std::min(depth, own.tokens + std::max(0.0, elapsed_s) * weight);
    own.filled = std::max(own.filled, arrived);
    if (own.tokens < 1) {
        return false;
    }
    own.tokens -= 1;
    return true;
}

} // namespace hornbeamrail
