#pragma once

// Internal to src/scheduler: what the scheduler knows of one worker and of the tasks that are placed there.

#include "protocol/platform_port.hpp"
#include "protocol/site_document.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Progress of one order to start a task.
enum class start_stage : std::uint8_t {
    recording,      ///< its record is not in the log yet; no order was sent
    sent,           ///< the order is in flight
    unacknowledged, ///< the answer was lost; a hold with a higher fence shows whether the run exists
    confirmed,      ///< the worker has acknowledged or reported the run
};

/// A run of a task that is placed on a worker.
struct placement {
    std::int64_t run = 0;
    start_stage stage = start_stage::recording;
    std::int64_t fence = 0;    ///< of the latest start order
    boot_time stage_entered{}; ///< when `stage` last changed; not set for `unacknowledged`
    /// The order was sent, and it is not certain that the known process of the worker has executed it:
    /// another process may have done so, or may do so later.
    bool may_be_elsewhere = false;
    std::string ticket; ///< from the placement advice; empty if the queue needs none
    resources need;     ///< CPU is 0 for a best-effort task
    bool best_effort = false;
    bool latency_sensitive = false;
    bool long_running = false;
    bool beyond_share = false;              ///< the job exceeds the share of its account
    bool ready = false;                     ///< the latest report shows a long-running task past its startup
    std::optional<std::int32_t> pace = 100; ///< percentage of full speed; empty: not known
    std::int64_t latest_load = 0; ///< tail latency in ms of a latency-sensitive task, else millicores in use
    boot_time pace_sent{};

    /// @return whether its start is being recorded or in flight
    [[nodiscard]] bool is_starting() const noexcept {
        return this->stage == start_stage::recording || this->stage == start_stage::sent;
    }

    /// @return whether a process that the scheduler does not know may run it
    [[nodiscard]] bool is_unresolved() const noexcept {
        return this->may_be_elsewhere || this->stage == start_stage::unacknowledged;
    }
};

/// Why a worker receives no new tasks.
enum class worker_block : std::uint8_t {
    none,         ///< it receives new tasks
    not_listed,   ///< its entry is not in the workers topic
    unresponsive, ///< the latest hold was not answered
    unconfirmed,  ///< it has not answered a hold with the current fence
    draining,
    zone_out,     ///< its availability zone is out of service
    vm_ordered,   ///< its VM has a pending order
    refusing,     ///< it refused a start a moment ago
    ends_pending, ///< its ends cannot be acknowledged because of open starts
    leaving,      ///< its VM is next in a wave; used only for long-running tasks that are overdue
    avoided,      ///< tasks failed there repeatedly; see `worker_standing`
};
inline constexpr std::size_t worker_block_count = 11;

/// @return the name of the enumerator
std::string_view to_string(worker_block block) noexcept;

/// What the scheduler has learned from one process of a worker. None of it holds for another process of the
/// same worker, so a restart replaces the whole.
struct worker_process {
    endpoint address;                       ///< where it has answered; port 0: it has not answered yet
    std::int64_t applied_end = 0;           ///< number of the last end that was applied in memory
    std::set<std::int64_t> unrecorded_ends; ///< numbers of the applied ends that are not in the log
    std::int64_t acknowledged_end = 0;      ///< number of the last end that it has been told to discard
    bool lists_everything = true;           ///< its latest report is complete
    std::optional<std::chrono::milliseconds> clock; ///< its own clock as of `clock_at`
    boot_time clock_at{};                           ///< when the report with `clock` arrived
    boot_time clock_requested{};                    ///< when the hold was sent that was answered with `clock`
    std::int32_t recent_failures = 0;               ///< failed runs since the last one that succeeded
    boot_time avoid_until{};         ///< tasks failed there repeatedly; until then see `set_standings`
    std::int32_t refused_starts = 0; ///< since the last start that it accepted
    boot_time refused_until{};       ///< no new tasks until then

    /// @return number of the last end up to which all are in the log
    [[nodiscard]] std::int64_t recorded_end() const noexcept {
        return this->unrecorded_ends.empty() ? this->applied_end : *this->unrecorded_ends.begin() - 1;
    }

    /// @return whether it lists ends that are in the log
    [[nodiscard]] bool has_recorded_ends() const noexcept {
        return this->recorded_end() > this->acknowledged_end;
    }

    /// Tells it from a later process of the worker, whose clock started at 0 after `clock_requested`.
    /// @param answered clock in an answer that has just arrived
    /// @return whether the answer is certainly its own
    [[nodiscard]] bool has_answered(const std::optional<std::chrono::milliseconds>& answered,
                                    boot_time now) const {
        return this->clock && answered && *answered > now - this->clock_requested;
    }
};

/// What shows that the runs of a worker which does not answer have ended.
enum class loss_evidence : std::uint8_t {
    leases_expired, ///< no order has renewed the leases for long enough
    vm_not_up,      ///< the VM is down or runs no worker; the worker may come back under its id
    replaced,       ///< the VM runs another worker or is gone; the worker does not come back
};

/// Loss of a worker.
struct worker_loss {
    loss_evidence evidence = loss_evidence::leases_expired;
    std::string_view reason; ///< for the log
};

/// The scheduler's view of one worker.
struct worker_control {
    worker_entry entry;
    std::string vm;      ///< that the latest list with the worker names; empty: none
    bool listed = false; ///< its entry is in the workers topic
    /// Entry that contradicts the known process: of an earlier start, because it was written late or the
    /// clock has been set back, or with another address. The next answer to a hold decides; without an answer
    /// the entry is adopted.
    std::optional<worker_entry> doubtful_entry;
    boot_time doubtful_entry_at{}; ///< when `doubtful_entry` arrived
    boot_time listed_since{};      ///< when `listed` last changed
    bool confirmed = false;        ///< has answered a hold with the current fence
    worker_process process;        ///< the process that has answered last
    bool hold_in_flight = false;
    bool hold_acknowledges = false; ///< the hold in flight acknowledges ends
    bool ends_held_up = false;      ///< a hold could not acknowledge ends because of open starts
    boot_time hold_sent{};
    std::int64_t hold_number = 0; ///< of the hold in flight
    boot_time next_hold{};
    boot_time lease_bound{}; ///< every lease that the known process has granted has expired by then
    /// The same for any process that executes an order which was sent. A clock starts at 0 in each process,
    /// so a lease that is meant for an earlier one may last as long as leases can.
    boot_time late_lease_bound{};
    std::int32_t unanswered_holds = 0; ///< consecutive holds without an answer
    boot_time unanswered_since{};
    std::optional<boot_time> vm_not_up_since; ///< since when its VM is known to be down or without a worker
    std::optional<boot_time> fenced_since;    ///< when it first refused the current fence
    /// Since when a job with nothing running waits for room that only draining VMs such as this one have.
    std::optional<boot_time> holds_back_since;
    std::optional<boot_time> found_to_hold_back_since; ///< the same, as found by the dispatch in progress
    std::map<task_id, placement> tasks;
    resources used; ///< sum of the needs of `tasks`
    std::int32_t latency_sensitive_tasks = 0;
    std::int32_t best_effort_tasks = 0;
    std::int32_t long_running_tasks = 0;

    [[nodiscard]] bool is_unresponsive() const noexcept { return this->unanswered_holds > 0; }

    /// @return number of its tasks whose start is being recorded or in flight
    [[nodiscard]] std::int64_t count_starting() const {
        return std::count_if(this->tasks.begin(), this->tasks.end(),
                             [](const auto& item) { return item.second.is_starting(); });
    }

    /// @return whether a process that the scheduler does not know may run one of its tasks
    [[nodiscard]] bool has_unresolved_starts() const {
        return std::any_of(this->tasks.begin(), this->tasks.end(),
                           [](const auto& item) { return item.second.is_unresolved(); });
    }

    /// Another process than the known one may execute the acknowledgement. It numbers its ends from 1 as
    /// well, so it must not have run any task by then.
    /// @return whether the ends that are in the log may be acknowledged
    [[nodiscard]] bool may_acknowledge() const {
        const bool is_known_process = this->confirmed && !this->is_unresponsive();
        // Only a complete report shows what became of starts without an answer.
        const bool must_go_on = !this->process.lists_everything && this->count_starting() == 0;
        return is_known_process && (must_go_on || !this->has_unresolved_starts());
    }
};

} // namespace hornbeamrail
