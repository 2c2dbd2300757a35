#pragma once

#include "protocol/platform.hpp"

#include <map>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Decides which jobs lie within the share of their client account.
///
/// A client account may send many times its usual load. Each account has a token bucket that refills at its
/// weight in jobs per second. Jobs beyond the share get only the capacity that the jobs of other accounts
/// leave unused, and no VM is switched on for them.
class account_share {
public:
    /// Counts a job of the account.
    /// @param account name; a job without an account is always within the share
    /// @param weight jobs per second that the account is entitled to; 0 or less: no limit
    /// @param arrived arrival time; the times of one account may be slightly out of order
    /// @return whether the job lies within the account's share
    bool admit(std::string_view account, double weight, boot_time arrived);

private:
    struct bucket {
        double tokens = 0;
        boot_time refilled{};
    };

    std::map<std::string, bucket, std::less<>> buckets;
};

} // namespace hornbeamrail
