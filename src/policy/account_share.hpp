#pragma once

#include "protocol/platform.hpp"

#include <map>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Pattern: one client account sends many times its usual. Each account has a token bucket that fills with
/// its weight in jobs per second; jobs beyond it take what the jobs of the others leave over, and no VM is
/// switched on for them.
class account_share {
public:
    /// Counts a job of the account.
    /// @param weight jobs per second that the account is entitled to; 0 or less: no limit
    /// @param arrived times of one account may be out of order by a little
    /// @return whether the job lies within the account's share
    bool admit(std::string_view account, double weight, boot_time arrived);

private:
    struct bucket {
        double tokens = 0;
        boot_time filled{};
    };

    std::map<std::string, bucket, std::less<>> buckets;
};

} // namespace hornbeamrail
