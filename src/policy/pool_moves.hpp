#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Estimates the rate at which work arrives for a pool, as the CPU that it keeps busy on average.
///
/// The demand on a pool rises to several times its mean within a moment and falls as fast. The estimate
/// follows the most recent jobs; a large site receives enough of them within a fraction of a second, a small
/// one within a second. The need that the planner derives from it falls slowly, so that VMs do not move back
/// and forth.
class arrival_rate {
public:
    /// Counts the arrival of a job.
    /// @param millicore_seconds work of the job: thousandths of a core times seconds
    void add(double millicore_seconds, boot_time now);

    /// @return the present rate, in thousandths of a core
    [[nodiscard]] double millicores(boot_time now) const;

    /// Extrapolates the rate.
    /// @param ahead how far into the future
    /// @return thousandths of a core at `now + ahead` if the present rise continues; at least the present
    /// rate and at least the rate of the most recent jobs
    [[nodiscard]] double expected_millicores(boot_time now, std::chrono::milliseconds ahead) const;

private:
    /// Exponentially decaying average.
    struct average {
        double rate = 0; ///< thousandths of a core
        void decay(double seconds, double window_s);
    };
    struct arrival {
        boot_time at{};
        double work = 0; ///< millicore-seconds
    };

    /// @return the rate of the most recent jobs alone; 0 while there are too few of them
    [[nodiscard]] double latest_millicores(boot_time now) const;

    std::deque<arrival> latest_arrivals;
    average fast;
    average slow;
    boot_time updated{}; ///< time up to which the averages have decayed
};

/// Demand on a pool at one moment. CPU is in thousandths of a core.
struct pool_load {
    double long_running_millicores = 0; ///< of tasks that run until their job is cancelled
    double running_millicores = 0;      ///< of other tasks
    double waiting_millicores = 0;      ///< of all tasks that are ready to start, except best-effort ones
    double arriving_millicores = 0;     ///< expected at the time when a VM ordered now arrives
    std::int32_t long_running_vms = 0;  ///< VMs required to keep long-running tasks apart
    double vm_millicores = 0;           ///< of one VM of the pool
};

/// @return number of VMs that the pool needs, including one in reserve; 0 when the size of its VMs is unknown
std::int32_t needed_vms(const pool_load& load);

/// A VM that may move to another pool.
struct movable_vm {
    std::string id;
    std::string pool;
    bool idle = false; ///< no task runs on it
    std::string rack;
};

/// VMs that a pool has and needs.
struct pool_need {
    std::string pool;
    bool spare = false;                  ///< the pool that holds VMs that are switched off
    std::int32_t vms = 0;                ///< that accept tasks or are moving into the pool
    std::int32_t needed = 0;             ///< at present or shortly
    std::int32_t recent_peak_needed = 0; ///< largest `needed` of a recent time window
    bool may_release = false;            ///< VMs beyond `recent_peak_needed` may be switched off
    std::set<std::string> wanted_racks;  ///< in which tasks with data there found no place a moment ago
};

/// One VM to move and its destination.
struct vm_move_plan {
    std::string vm;
    std::string to_pool;
};

/// Limits on the moves of one plan.
struct move_bounds {
    std::size_t moves = 1;    ///< in total
    std::size_t releases = 1; ///< to the spare pool
};

/// Computes the limits of one plan.
///
/// Between two surges hundreds of VMs of a large site are idle. The limits therefore grow with the site,
/// within the rate of orders that the platform accepts.
/// @param vms number of VMs of the site
/// @param orders_per_second rate that the platform accepts, for moves and maintenance together
/// @param interval time between two plans
move_bounds bounds_of_plan(std::size_t vms, double orders_per_second, std::chrono::milliseconds interval);

/// Chooses the VMs to move.
///
/// Pools that lack VMs get idle ones, the largest shortage first: from the spare pool, then from pools that
/// have more than they need. Idle VMs beyond the recent peak of their pool go to the spare pool, where they
/// are switched off, within `move_bounds::releases`. A VM keeps its rack, so of the idle VMs of a pool those
/// in a rack that the receiving pool wants are taken first, and those in a rack that their own pool wants
/// last.
/// @param vms VMs that may move; only idle ones are chosen
std::vector<vm_move_plan> plan_pool_moves(const std::vector<pool_need>& pools,
                                          const std::vector<movable_vm>& vms, const move_bounds& bounds);

} // namespace hornbeamrail
