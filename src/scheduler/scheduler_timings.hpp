#pragma once

#include <chrono>
#include <cstdint>

namespace hornbeamrail {

/// Intervals, timeouts and retry delays of the scheduler.
struct scheduler_timings {
    std::chrono::milliseconds hold_wait{900};          ///< long-poll timeout of a hold while no task ends
    std::chrono::milliseconds hold_pause{20};          ///< between the answer to a hold and the next hold
    std::chrono::milliseconds longest_hold_pause{400}; ///< the same on a node that runs far behind its timers
    std::chrono::milliseconds hold_retry{250};         ///< backoff unit after a hold without an answer
    std::chrono::milliseconds start_lease{1500}; ///< the worker rejects a start order that arrives later
    /// An order without an answer may be executed this much later, by whichever process runs under the id
    /// then.
    std::chrono::milliseconds longest_order_delay{12000};
    /// The task of such an order waits for at most this time while the VM is down and its job has nothing at
    /// work: a job must not wait for longer than 7 s beside free workers.
    std::chrono::milliseconds longest_wait_for_vm{4000};
    std::chrono::milliseconds commit_interval{10}; ///< least time between two progress appends
    std::chrono::milliseconds dispatch_interval{15};
    /// Starts that are being recorded or in flight at once. More would wait longer for their turn to be sent
    /// than workers accept them.
    std::int32_t max_starts_in_flight = 256;
    /// Longest time for which the summary of an occurrence is used although learned durations change.
    std::chrono::milliseconds summary_lifetime{1000};
    /// Between two checks of the workers that do not answer.
    std::chrono::milliseconds worker_check_interval{20};
    /// Longest time between two searches for workers: the end of a backoff or of a reservation triggers none.
    std::chrono::milliseconds dispatch_recheck{200};
    std::chrono::milliseconds stop_retry{300};
    /// An append of progress without an answer for this time shows that the log is late. Until it answers,
    /// only reserved tasks start.
    std::chrono::milliseconds late_append{300};
    /// Between two reads of the VM list while a worker with tasks is unresponsive or a move or wave is in
    /// progress.
    std::chrono::milliseconds vm_list_interval{400};
    std::chrono::milliseconds vm_list_idle_interval{3000}; ///< between two reads of the VM list otherwise
    /// A scheduler that no answer of the log confirms starts tasks and renews worker leases for at most this
    /// time. A successor waits until this time and the longest lease have passed before it treats a worker
    /// that it cannot reach as lost.
    std::chrono::milliseconds hold_without_log{6000};
    /// VM orders stop when the last renewal of the scheduler's lease is older than this. The fence of a VM
    /// rejects a predecessor only after the first order of its successor, so orders must stop well before
    /// another node may claim the lease.
    std::chrono::milliseconds vm_order_window{800};
    /// Before a task whose start order was refused is placed again. If the worker was the cause, it receives
    /// no new tasks for this time, which doubles with each refusal that follows, up to
    /// `longest_refusal_backoff`.
    std::chrono::milliseconds retry_after_refusal{150};
    std::chrono::milliseconds longest_refusal_backoff{2400};
    /// A batch task is placed on the worker where it failed only after this time, if no other can run it.
    std::chrono::milliseconds return_after_failure{1000};
    /// Unit of the time for which a worker is avoided on which tasks fail repeatedly.
    std::chrono::milliseconds avoid_after_failure{2500};
    std::chrono::milliseconds state_cleanup_interval{1000}; ///< between two drops of records of final jobs
    /// Before a record that the log has rejected is appended again; doubles with each rejection that follows,
    /// up to `longest_rejection_backoff`.
    std::chrono::milliseconds retry_after_rejection{1000};
    std::chrono::milliseconds longest_rejection_backoff{30000};
    std::chrono::milliseconds advice_retry{300};         ///< between two requests for the advice of one step
    std::chrono::milliseconds ticket_expiry_margin{300}; ///< a ticket that expires sooner is not used
    std::chrono::milliseconds move_interval{150};        ///< between two plans of VM moves
    std::chrono::milliseconds wave_interval{60};         ///< between two plans of maintenance waves
    /// A job that has nothing running waits for at most this time while only workers that take no new tasks
    /// have room: then their VMs stop draining for `drain_pause`, or a worker is used where tasks failed.
    std::chrono::milliseconds longest_hold_back{2000};
    /// The same for VMs of a pool with at least half of its capacity in use, where work waits in any case.
    std::chrono::milliseconds longest_hold_back_if_busy{10000};
    /// A job that was last found held back longer ago than this is held back anew: it may not have been
    /// looked at since. A shorter gap, as when its tickets expire, does not end the time.
    std::chrono::milliseconds held_back_gap{500};
    std::chrono::milliseconds drain_pause{4000};
    /// A VM that is down for this time after it should have returned from maintenance no longer counts as
    /// being maintained.
    std::chrono::milliseconds maintenance_overrun{5000};
    std::chrono::milliseconds need_window{800}; ///< a pool keeps its highest need over this window
    /// Pools release no VM for this time after a term begins with jobs, or after the first job if there are
    /// none: until then nothing is known of the demand.
    std::chrono::milliseconds move_warmup{3000};
    /// Pools release VMs after this time even if no job has arrived.
    std::chrono::milliseconds longest_warmup{60000};
    /// A VM that is up counts for its pool for this time without a worker that can be used.
    std::chrono::milliseconds unserved_after{3000};
    std::chrono::milliseconds move_lead_time{2200}; ///< from the order of a move to the first task on the VM
    /// A long-running task that has waited for a worker for this time is reported.
    std::chrono::milliseconds overdue_after{2000};
    std::chrono::milliseconds overdue_report_interval{1000};
    /// From the moment at which a task could start away from its data or group, it waits for a nearer place
    /// for at most this time. Far below the time for which a job may have nothing running beside free
    /// workers.
    std::chrono::milliseconds longest_near_wait{1000};
    /// No such wait begins for this time after a term begins: its tasks may have waited under a predecessor.
    std::chrono::milliseconds near_wait_warmup{2000};
    /// How long tasks without data in a rack leave its places to those that found none there.
    std::chrono::milliseconds rack_wanted_for{1000};
};

/// A worker's clock may run slow by at most this factor, so its leases may last that much longer by the clock
/// of this node.
inline constexpr double slow_clock_factor = 1.02;
/// Added to the end of each lease before it counts as expired.
inline constexpr std::chrono::milliseconds lease_margin{300};

} // namespace hornbeamrail
