#include "policy/account_share.hpp"

#include "protocol/durations.hpp"

#include <algorithm>
#include <chrono>

namespace hornbeamrail {

namespace {

/// Depth of a bucket in seconds of its refill rate. Short peaks stay within the share, because the demand of
/// an account varies around its mean.
constexpr double depth_s = 5;
/// Lower bound in jobs, so that an account with a low weight can submit a few jobs at once.
constexpr double min_depth = 5;

} // namespace

bool account_share::admit(std::string_view account, double weight, boot_time arrived) {
    if (account.empty() || weight <= 0) {
        return true;
    }
    const double depth = std::max(min_depth, weight * depth_s);
    auto found = this->buckets.find(account);
    if (found == this->buckets.end()) {
        found =
            this->buckets.emplace(std::string(account), bucket{.tokens = depth, .refilled = arrived}).first;
    }
    auto& account_bucket = found->second;
    const double elapsed_s = seconds_of(arrived - account_bucket.refilled);
    account_bucket.tokens = std::min(depth, account_bucket.tokens + std::max(0.0, elapsed_s) * weight);
    account_bucket.refilled = std::max(account_bucket.refilled, arrived);
    if (account_bucket.tokens < 1) {
        return false;
    }
    account_bucket.tokens -= 1;
    return true;
}

} // namespace hornbeamrail
