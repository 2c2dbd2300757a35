#pragma once

// Pattern of load: many jobs want the same rack, because their data are there, or a step wants one rack for
// all of its tasks. Elsewhere the tasks run slower by a known factor, and a place that is wanted becomes free
// soon.

#include "policy/worker_choice.hpp"
#include "protocol/platform.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Why a task waits for a place near its data or its group, or why it takes any place.
enum class near_wait_reason : std::uint8_t {
    pays,             ///< waits: the near place is expected soon enough
    keeps_objective,  ///< waits: only the near place lets the job meet its objective
    no_gain,          ///< tasks run as fast elsewhere
    late,             ///< the job has missed its objective; others go first and would take the place
    bound_passed,     ///< the task may not wait any longer
    no_place_in_time, ///< no near place is expected within the bound
    costs_more,       ///< the wait is expected to take longer than it may for its gain
    objective,        ///< the job meets its objective elsewhere now and might not after the wait
};

/// @return the name of the enumerator
std::string_view to_string(near_wait_reason reason) noexcept;

/// Inputs of `decide_near_wait` for one task that could start on a far worker now.
struct near_wait_request {
    std::chrono::milliseconds remaining_work{0}; ///< expected duration on a near worker
    double slowdown = 1.0;                       ///< factor by which the task takes longer on a far worker
    std::chrono::milliseconds waited{0};         ///< since the task could first have started on a far worker
    /// Time until the latest start on near workers that lets the job meet its objective; negative if late.
    std::chrono::milliseconds slack{0};
    std::optional<std::chrono::milliseconds> until_near; ///< expected time until a near place; empty: unknown
    double rack_load = 0;                                ///< see `rack_claims::load`
    std::chrono::milliseconds longest_wait{0}; ///< bound on `waited`, after which any place is taken
};

/// Answer of `decide_near_wait`.
struct near_wait_decision {
    bool waits = false;
    std::chrono::milliseconds decide_again_in{0}; ///< latest time of the next decision if the task waits
    std::chrono::milliseconds expected_gain{0};   ///< time that the near place saves
    near_wait_reason reason = near_wait_reason::no_gain;
};

/// Decides whether a task waits for a near place or takes a far one now.
///
/// The near place saves `(slowdown - 1) * remaining_work`. A task waits as long as the time that it has
/// waited and the time that it is expected to wait are together within a share of this gain, so the total
/// wait stays within the gain however wrong the estimates are. The share falls with the load of the rack: a
/// place that one task waits for is missing to a later one, so in a rack that is wanted more than it can
/// serve a wait only moves the far place from one task to another (P. Naor, The Regulation of Queue Size by
/// Levying Tolls, Econometrica 1969). Unlike delay scheduling (M. Zaharia et al., EuroSys 2010) there is no
/// fixed delay.
///
/// A job that meets its objective on a far worker now, but not after the wait, waits for a shorter share: the
/// near place leaves it more slack than the far one, as a task that takes longer than expected does so by the
/// factor there. One that meets its objective only near waits even if the rack is loaded.
/// @return the decision, to be made anew when the inputs change
near_wait_decision decide_near_wait(const near_wait_request& request);

/// End of a task that runs on a near worker.
struct expected_end {
    std::size_t worker = 0; ///< index in the list of workers
    std::chrono::milliseconds remaining{0};
    resources freed;
};

/// A worker that joins the rack shortly.
struct arriving_worker {
    std::chrono::milliseconds arrives_in{0};
    resources capacity;
};

/// What one rack of a pool will have free, as expected at one moment.
///
/// Tasks that wait are counted in the order of their decisions: each takes the first place that fits, and the
/// later ones queue behind it.
class near_places {
public:
    struct options {
        std::vector<std::size_t> workers; ///< of the rack, as indices in the list of workers
        std::vector<expected_end> ends;
        std::vector<arriving_worker> arriving;
        std::chrono::milliseconds horizon{0}; ///< later ends do not count
    };

    explicit near_places(options settings);

    /// Place that is expected to become free.
    struct place {
        std::chrono::milliseconds expected_in{0};
        std::size_t slot = 0; ///< of the worker, for `reserve`
    };

    /// @param workers list of workers to which the indices refer
    /// @return the first place for the task that no counted task takes; nothing if none within the horizon
    [[nodiscard]] std::optional<place> find(const std::vector<worker_view>& workers,
                                            const placement_request& request) const;

    /// @param count number of tasks that need a place at the same time
    /// @return expected time until there is room for all; nothing if not within the horizon
    [[nodiscard]] std::optional<std::chrono::milliseconds> find_all(const std::vector<worker_view>& workers,
                                                                    const placement_request& request,
                                                                    std::int32_t count) const;

    /// Counts a task that waits for a place that `find` returned.
    /// @param duration expected time for which it holds the place
    void reserve(const place& reserved, const resources& need, std::chrono::milliseconds duration);

    /// @return indices of the workers of the rack in the list of workers
    [[nodiscard]] const std::vector<std::size_t>& workers() const noexcept { return this->members; }

private:
    /// @return what each worker of the rack and each arriving one has free now for a task: nothing if it may
    /// not run there
    [[nodiscard]] std::vector<std::optional<resources>> available(const std::vector<worker_view>& workers,
                                                                  const placement_request& request) const;

    std::vector<std::size_t> members;  ///< worker of each slot; slots of arriving workers follow
    std::vector<resources> promised;   ///< by slot, to tasks that wait
    std::vector<expected_end> changes; ///< sorted by time; `worker` is the slot
};

/// Recent claims of tasks on one rack.
class rack_claims {
public:
    /// Counts a job that names the rack.
    /// @param millicore_seconds work of its tasks on near workers
    void add(double millicore_seconds, boot_time now);

    /// @param capacity_millicores of the workers of the rack that take such tasks
    /// @return claimed work over what the rack can do in the same time; more than 1: not all can be near
    [[nodiscard]] double load(std::int64_t capacity_millicores, boot_time now) const;

    /// @return whether the claims are so old that they no longer count
    [[nodiscard]] bool is_idle(boot_time now) const;

private:
    double millicores = 0; ///< decaying average
    boot_time updated{};
};

} // namespace hornbeamrail
