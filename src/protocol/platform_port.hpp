#pragma once

#include "hornbeamrail/node_settings.hpp"
#include "protocol/job.hpp"
#include "protocol/platform.hpp"
#include "protocol/site_document.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Typed messages between hornbeamrail and a platform. An adapter translates them to the wire format of the
// platform. Outcomes distinguish done, refused and unknown: a call without an answer is never treated as
// refused.

namespace hornbeamrail {

/// Topics of the platform's log. All of them are compacted by key: the newest record of each key is kept
/// forever, older records expire.
enum class log_topic {
    operators, ///< written by operators: configuration, zones out of service, maintenance waves
    workers,   ///< written by workers: the registration of each worker
    reports,   ///< written for operators: progress of maintenance waves
    leader,    ///< the scheduler's lease
    jobs,      ///< accepted jobs and cancellations, written by any node; partitioned
    progress,  ///< progress of the tasks of each job, written by the scheduler
    states,    ///< state of each job, from which every node answers queries
};

/// @return whether hornbeamrail only reads the topic
[[nodiscard]] constexpr bool is_read_only(log_topic topic) noexcept {
    return topic == log_topic::operators || topic == log_topic::workers;
}

/// A record of a topic. It replaces earlier records with the same key.
struct keyed_record {
    std::string key;
    std::string value; ///< empty: the key is deleted
    std::int64_t offset = 0;
};

/// Identity of an idempotent, fenced writer. The log rejects an epoch below the highest that it has received,
/// and repeats its first answer for a repeated sequence number.
struct append_producer {
    std::string name;
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

/// Appends records to one partition of a topic.
struct append_call {
    log_topic topic = log_topic::jobs;
    std::int32_t partition = 0;
    std::vector<keyed_record> records;
    std::optional<std::int64_t> expected_end; ///< appends only if the partition ends at this offset
    std::optional<append_producer> producer;
    std::chrono::milliseconds timeout{1000};
};

/// Outcome of an append.
enum class append_outcome {
    appended,
    wrong_end,      ///< the partition does not end at `expected_end`; nothing was appended
    fenced,         ///< the producer's epoch is too low; nothing was appended
    wrong_sequence, ///< the sequence number is not the next one; nothing was appended
    refused,        ///< the log is overloaded or full; nothing was appended, a later attempt may succeed
    rejected,       ///< the log does not accept these records, such as one too large; nothing was appended
    unknown,        ///< no answer; the records may have been appended, or may be later
};

/// Limits of the log on one append.
struct append_limits {
    std::size_t max_record_bytes = 256 * 1024;      ///< of one record, see `bytes_in_log`
    std::size_t max_append_bytes = 2 * 1024 * 1024; ///< of all records of one append
};

/// @return bytes of a record that count against the limits of the log
[[nodiscard]] std::size_t bytes_in_log(const keyed_record& record) noexcept;

/// Response to an `append_call`.
struct append_answer {
    append_outcome outcome = append_outcome::unknown;
    std::int64_t end = 0;               ///< next offset of the partition, if known
    std::int64_t expected_sequence = 0; ///< with `wrong_sequence`
    std::string reason;                 ///< empty when appended
};

/// Reads a partition from an offset, with long polling.
struct read_call {
    log_topic topic = log_topic::jobs;
    std::int32_t partition = 0;
    std::int64_t from = 0;
    std::chrono::milliseconds wait{0}; ///< longest time that the log waits for a record
};

/// Outcome of a read.
enum class read_outcome_kind {
    records,     ///< the records from `from` on; empty when none arrived within `wait`
    expired,     ///< the records at `from` have expired; the reader continues with `newest_call`
    unavailable, ///< no usable answer
};

/// Response to a `read_call`.
struct read_answer {
    read_outcome_kind outcome = read_outcome_kind::unavailable;
    std::vector<keyed_record> records;
    std::int64_t next = 0; ///< offset to read from next
    std::int64_t end = 0;  ///< next offset of the partition
    std::string reason;    ///< empty when records were read
};

/// Reads the newest record of each key, one page per call.
struct newest_call {
    log_topic topic = log_topic::jobs;
    std::int32_t partition = 0;
    std::string after_key; ///< empty: the first page
};

/// Response to a `newest_call`: one page of records.
struct newest_answer {
    bool done = false;
    std::vector<keyed_record> records;
    bool more = false;
    std::string continue_after; ///< with `more`: `newest_call::after_key` of the next page
    std::int64_t end = 0;       ///< next offset of the partition at the time of the page
    std::string reason;
};

/// Destination of an order: one worker instance. Another instance at the same address rejects the order.
struct worker_target {
    std::string id;
    endpoint address;
};

/// Starts one run of a task.
struct start_order {
    task_id task;
    std::int64_t run = 0; ///< number of the run; a later run of the task has a higher number
    std::string payload;
    std::string checkpoint;                   ///< checkpoint to resume from; empty: start from the beginning
    std::string ticket;                       ///< from the placement advice; empty: no ticket
    std::chrono::milliseconds lease_until{0}; ///< on the worker's clock
    std::int64_t fence = 0;
};

/// Stops a run of a task.
struct stop_order {
    task_id task;
    std::int64_t run = 0;
    std::int64_t fence = 0;
};

/// Limits the speed of one task.
struct pace_order {
    task_id task;
    std::int64_t run = 0;
    std::int32_t percent = 100; ///< of full speed
    std::int64_t fence = 0;
};

/// Outcome of an order to a worker.
enum class order_outcome {
    done,
    fenced,       ///< the worker has received a higher fencing token
    stale_run,    ///< this run or a later one has already been stopped or has ended on the worker
    late,         ///< the lease had expired when the order arrived
    no_room,      ///< insufficient free capacity
    no_ticket,    ///< the ticket is missing or was not accepted
    unhealthy,    ///< the worker is overloaded or failing and did not execute the order
    other_worker, ///< another worker instance answered
    rejected,     ///< the worker considers the order invalid
    unsent,       ///< no connection; the order did not leave this node
    unknown,      ///< no answer; the order may have been executed, or may be later
};

/// @return "done", "fenced" and so on, for logs
std::string_view to_string(order_outcome outcome) noexcept;

/// Response of a worker to an order.
struct order_answer {
    order_outcome outcome = order_outcome::unknown;
    std::optional<std::chrono::milliseconds> worker_clock; ///< time on the worker's clock when it answered
    std::string reason;                                    ///< empty when done
};

/// Renews the leases of all tasks on a worker, lists the running tasks and long-polls for ended ones.
struct hold_order {
    std::int64_t number = 0; ///< tells the answers to the holds of one scheduler apart; not sent
    std::int64_t fence = 0;
    std::int64_t acknowledged_end = 0; ///< the worker may discard ended tasks up to this number
    std::optional<std::chrono::milliseconds> lease_until; ///< on the worker's clock
    std::chrono::milliseconds wait{0};                    ///< longest time to wait for a task to end
};

/// A task that runs on a worker.
struct running_task {
    task_id task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::int32_t percent = 100; ///< progress of the task; for a long-running task, of its startup
    /// Tail latency in milliseconds of a latency-sensitive task; millicores in use of any other task.
    std::int64_t latest_load = 0;
};

/// How a run of a task ended. All values except `done` and `failed` leave the attempts of the task unchanged.
enum class task_end {
    done,    ///< completed its work
    failed,  ///< exited with a failure; counts as an attempt
    stopped, ///< stopped by an order
    lapsed,  ///< its lease expired on the worker
    broken,  ///< ended because another member of its gang ended
    alone    ///< ended because the other members of its gang did not start in time
};

/// @return "done", "failed" and so on
std::string_view to_string(task_end end) noexcept;

/// A run that has ended on a worker.
struct ended_task {
    std::int64_t number = 0; ///< sequence number, increased by one for each ended run of the worker instance
    task_id task;
    std::int64_t run = 0;
    task_end outcome = task_end::failed;
    std::string checkpoint;
};

/// Response of a worker to a `hold_order`.
struct hold_report {
    order_outcome outcome = order_outcome::unknown;
    std::optional<std::chrono::milliseconds> worker_clock;
    std::int64_t instance_started_ms = 0; ///< start of the worker instance; 0: not reported
    std::vector<running_task> running;
    std::vector<ended_task> ended; ///< ended runs that were not acknowledged yet
    bool complete = true;          ///< false: a row could not be read, so a run that is not listed may exist
    std::string reason;            ///< empty when done
};

/// Outcome of an order to the platform about a VM.
enum class vm_order_outcome {
    done,
    fenced,     ///< the platform has received a higher fencing token
    busy,       ///< the VM is not up, or is about to be removed
    wrong_wave, ///< the VM does not belong to the wave
    rejected,   ///< the VM does not exist, or the pool does not accept it
    overloaded, ///< too many calls; nothing was done
    unknown,    ///< no answer; the order may have been executed
};

/// @return "done", "fenced" and so on, for logs
std::string_view to_string(vm_order_outcome outcome) noexcept;

/// An order to the platform to move or maintain one VM. All tasks on the VM end immediately.
struct vm_order {
    std::string vm;
    std::string pool;      ///< target of a move
    std::int64_t wave = 0; ///< wave of a maintenance order
    std::string holder;    ///< node that sends the order
    std::int64_t fence = 0;
    /// The order is not sent at or after this time, even if the process was paused in between: a successor
    /// may order VMs from then on.
    boot_time send_before = boot_time::max();
};

/// One page of the platform's VM list.
struct vm_page {
    bool done = false;
    std::vector<vm_entry> vms;
    std::string next_page; ///< token of the next page; empty on the last page
    std::string reason;
};

/// Requests tickets from the placement advice to start tasks of a step on workers.
struct advice_call {
    task_id step; ///< `index` is not used
    std::vector<std::string> workers;
};

/// A ticket to start tasks of a step on one worker.
struct advice_ticket {
    std::string worker;
    std::string ticket;
};

/// Response to an `advice_call`.
struct advice_answer {
    bool done = false;
    std::vector<advice_ticket> tickets;
    std::string reason;
};

/// Limits and timings that the platform specifies for a site. The defaults apply to missing values.
struct site_limits {
    std::chrono::milliseconds max_lease_duration{6000};   ///< longest lease that a worker accepts
    std::chrono::milliseconds key_revocation_delay{5000}; ///< time until a revoked key stops working
    std::chrono::milliseconds stop_time{200};             ///< time that a worker takes to stop a task
    /// Time that a gang task waits for the other tasks of its gang.
    std::chrono::milliseconds gang_start_timeout{3000};
    /// Time for which the state of a final job is available.
    std::chrono::milliseconds final_state_retention{120000};
    std::chrono::milliseconds restore_time{100}; ///< time that a task takes to resume from a checkpoint
    /// Time for which a latency-sensitive task may miss its target.
    std::chrono::milliseconds latency_violation_limit{4000};
    /// Share of its upper limit by which what an account runs may exceed it.
    double upper_limit_tolerance = 0;
    std::chrono::milliseconds stop_grace{6000};     ///< time between SIGTERM and SIGKILL
    std::chrono::milliseconds vm_move{1500};        ///< duration of the move of a VM
    std::chrono::milliseconds vm_maintenance{2000}; ///< duration of the maintenance of a VM
    /// Slowdown of a task away from its data or in a step spread over several racks.
    double remote_slowdown = 1.5;
    std::int32_t job_partitions = 4; ///< of the jobs topic
    append_limits appends;
    double vm_orders_per_second = 30; ///< rate limit of VM orders
};

/// Settings of one entry node on a platform.
struct site_node_settings {
    std::string node_id;
    std::string zone;
    endpoint caller_address;
    endpoint ready_address;                 ///< listener of the readiness probe
    std::optional<endpoint> admin_address;  ///< listener for operators
    endpoint log_address;                   ///< of the platform's log
    std::optional<endpoint> vm_address;     ///< of the platform's VM list and VM orders
    std::optional<endpoint> advice_address; ///< of the placement advice
    site_limits limits;
    std::int64_t max_connections = 3000;
    double cores = 1.0;      ///< processor cores available to the node
    double link_mbps = 1000; ///< bandwidth of the node's network link in Mbit/s
};

} // namespace hornbeamrail
