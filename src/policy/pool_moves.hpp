#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Work that arrives for a pool, as the cores that it keeps busy on average.
///
/// Pattern: the demand of a pool jumps to several times its mean within a moment and falls as fast. The rate
/// follows the latest jobs, of which a large site sees enough within a fraction of a second, a small one
/// within a second; the need that is planned for falls slowly, so that VMs do not come and go.
class arrival_rate {
public:
    /// @param millicore_seconds work of a job: thousandths of a core times seconds
    void add(double millicore_seconds, boot_time now);

    /// @return thousandths of a core
    [[nodiscard]] double millicores(boot_time now) const;

    /// @return the rate after @p ahead if it goes on rising as it does; never below the rate, nor below that
    /// of the latest jobs
    [[nodiscard]] double expected_millicores(boot_time now, std::chrono::milliseconds ahead) const;

private:
    struct average {
        double rate = 0;
        void decay(double seconds, double window_s);
    };
    struct arrival {
        boot_time at{};
        double work = 0;
    };

    [[nodiscard]] double latest_millicores(boot_time now) const;

    std::deque<arrival> latest;
    average fast;
    average slow;
    boot_time updated{};
};

/// What a pool is asked for at one moment.
struct pool_load {
    double long_running_millicores =
        0;                          ///< thousandths of a core, of tasks that run until their job is cancelled
    double running_millicores = 0;  ///< of other tasks
    double waiting_millicores = 0;  ///< of tasks that could start
    double arriving_millicores = 0; ///< expected when a VM that is ordered now has arrived
    std::int32_t long_running_vms = 0; ///< VMs that the long-running tasks need to keep apart
    double vm_millicores = 0;          ///< thousandths of a core that a VM of the pool has
};

/// @return VMs that the pool needs
std::int32_t needed_vms(const pool_load& load);

/// A VM that could change its pool.
struct movable_vm {
    std::string id;
    std::string pool;
    bool idle = false; ///< nothing runs on it
};

struct pool_need {
    std::string pool;
    bool spare = false;
    std::int32_t vms = 0;                ///< that take tasks, or are on their way in
    std::int32_t needed = 0;             ///< now or soon
    std::int32_t recent_peak_needed = 0; ///< highest need of the last seconds
    bool may_release = false;            ///< VMs beyond `recent_peak_needed` may be switched off
};

struct vm_move_plan {
    std::string vm;
    std::string to_pool;
};

/// How many moves one plan may hold.
struct move_bounds {
    std::size_t moves = 1;    ///< in all
    std::size_t releases = 1; ///< to the spare pool
};

/// Pattern: hundreds of VMs are idle between two surges. What may move at a time grows with the site, within
/// the rate of orders that the platform takes.
/// @param vms VMs of the site
/// @param orders_per_second taken by the platform, for moves and maintenance together
/// @param interval between two plans
move_bounds bounds_of_plan(std::size_t vms, double orders_per_second, std::chrono::milliseconds interval);

/// Chooses moves: pools that lack VMs get them from the spare pool first, then from pools that have more than
/// they need now; VMs that their pool has not needed lately go to the spare pool, where they are off, a few
/// at a time.
std::vector<vm_move_plan> plan_pool_moves(const std::vector<pool_need>& pools,
                                          const std::vector<movable_vm>& vms, const move_bounds& bounds);

} // namespace hornbeamrail
