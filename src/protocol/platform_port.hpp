#pragma once

#include "hornbeamrail/node_settings.hpp"
#include "protocol/job.hpp"
#include "protocol/site_document.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What the product needs of any platform, as typed messages. An adapter translates them; nothing here names a
// wire format. Outcomes tell done, refused and unknown apart: a call whose answer was lost is never read as
// refused.

namespace hornbeamrail {

/// The streams of the platform's log that the product uses. All are keyed: the newest record of each key is
/// kept for good, older ones expire.
enum class log_topic {
    operators, ///< written by the operators: configuration, zones taken out, maintenance waves
    workers,   ///< written by the workers: what each says of itself
    reports,   ///< for the operators: progress of maintenance waves
    leader,    ///< the scheduler's lease
    jobs,      ///< accepted jobs and cancellations, by any node; several partitions
    progress,  ///< the scheduler's record of each job's tasks
    states,    ///< state of each job, for every node's answers
};

/// @return whether the product may only read the topic
[[nodiscard]] constexpr bool is_read_only(log_topic topic) noexcept {
    return topic == log_topic::operators || topic == log_topic::workers;
}

struct keyed_record {
    std::string key;
    std::string value; ///< empty: the key is dropped
    std::int64_t offset = 0;
};

/// Fences appends of one writer: the log refuses epochs below the highest it has seen, and answers a repeated
/// sequence number with the first answer.
struct append_producer {
    std::string name;
    std::int64_t epoch = 0;
    std::int64_t sequence = 0;
};

struct append_call {
    log_topic topic = log_topic::jobs;
    std::int32_t partition = 0;
    std::vector<keyed_record> records;
    std::optional<std::int64_t> expected_end; ///< appends only if the partition ends there
    std::optional<append_producer> producer;
    std::chrono::milliseconds timeout{1000};
};

enum class append_outcome {
    appended,
    wrong_end,      ///< the partition does not end at `expected_end`; nothing was appended
    fenced,         ///< the producer's epoch is too low; nothing was appended
    wrong_sequence, ///< the producer's sequence number does not follow; nothing was appended
    refused,        ///< overloaded, full or turned away; nothing was appended
    unknown,        ///< no answer; the records may be appended, also later
};

struct append_answer {
    append_outcome outcome = append_outcome::unknown;
    std::int64_t end = 0;               ///< next offset of the partition, if known
    std::int64_t expected_sequence = 0; ///< with `wrong_sequence`
    std::string reason;                 ///< unless appended
};

struct read_call {
    log_topic topic = log_topic::jobs;
    std::int32_t partition = 0;
    std::int64_t from = 0;
    std::chrono::milliseconds wait{0}; ///< how long the log may wait for a record
};

enum class read_outcome_kind {
    records, ///< the records from `from` on; none when nothing came in time
    expired, ///< the records at `from` are gone; read the newest of each key
    unavailable,
};

struct read_answer {
    read_outcome_kind outcome = read_outcome_kind::unavailable;
    std::vector<keyed_record> records;
    std::int64_t next = 0; ///< offset to read from next
    std::int64_t end = 0;
    std::string reason;
};

/// Reads the newest record of each key, a page at a time.
struct newest_call {
    log_topic topic = log_topic::jobs;
    std::int32_t partition = 0;
    std::string after_key; ///< empty: the first page
};

struct newest_answer {
    bool done = false;
    std::vector<keyed_record> records;
    bool more = false;
    std::int64_t end = 0; ///< end of the partition when the page was made
    std::string reason;
};

/// A worker that an order goes to. Another life of it refuses the order.
struct worker_target {
    std::string id;
    endpoint address;
};

struct start_order {
    task_id task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;                   ///< progress to resume from; empty: none
    std::string ticket;                       ///< of the pool's advice; empty: none
    std::chrono::milliseconds lease_until{0}; ///< on the worker's clock
    std::int64_t fence = 0;
};

struct stop_order {
    task_id task;
    std::int64_t run = 0;
    std::int64_t fence = 0;
};

struct pace_order {
    task_id task;
    std::int64_t run = 0;
    std::int32_t percent = 100;
    std::int64_t fence = 0;
};

enum class order_outcome {
    done,
    fenced,    ///< the worker has seen a higher fence
    stale_run, ///< a run that is not lower was stopped or ended there
    late,      ///< the lease had passed when the order arrived
    no_room,
    no_ticket,
    unhealthy,    ///< the worker turned the order away and did nothing
    other_worker, ///< another life of the worker answered
    rejected,     ///< the worker cannot read the order
    unsent,       ///< no connection; the order did not leave this node
    unknown,      ///< no answer; the order may be carried out, also later
};

/// @return "done", "fenced" and so on, for logs
std::string_view to_string(order_outcome outcome) noexcept;

struct order_answer {
    order_outcome outcome = order_outcome::unknown;
    std::optional<std::chrono::milliseconds> worker_clock;
    std::string reason; ///< unless done
};

/// Extends the lease of everything on a worker and asks what runs there.
struct hold_order {
    std::int64_t fence = 0;
    std::int64_t acknowledged_end = 0;                    ///< ends up to this number may be forgotten
    std::optional<std::chrono::milliseconds> lease_until; ///< on the worker's clock
    std::chrono::milliseconds wait{0};                    ///< for an end
};

struct running_task {
    task_id task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::int32_t percent = 100;   ///< done of its work; of a long-running task: of its startup
    std::int64_t latest_load = 0; ///< tail latency in ms of a serving task, else thousandths of a core in use
};

enum class task_end { done, failed, stopped, lapsed, broken, alone };

/// @return "done", "failed" and so on
std::string_view to_string(task_end end) noexcept;

struct ended_task {
    std::int64_t number = 0; ///< rises by one with each end in the life of the worker
    task_id task;
    std::int64_t run = 0;
    task_end outcome = task_end::failed;
    std::string checkpoint;
};

struct hold_report {
    order_outcome outcome = order_outcome::unknown;
    std::optional<std::chrono::milliseconds> worker_clock;
    std::int64_t instance_started_ms = 0; ///< start of the worker's life; 0: not stated
    std::vector<running_task> running;
    std::vector<ended_task> ended;
    std::string reason; ///< unless done
};

enum class vm_order_outcome {
    done,
    fenced,
    busy,       ///< the VM is not up, or is leaving
    wrong_wave, ///< the VM is not of that wave
    rejected,   ///< no such VM, or the pool does not take it
    overloaded, ///< too many calls; nothing was done
    unknown,
};

/// @return "done", "fenced" and so on, for logs
std::string_view to_string(vm_order_outcome outcome) noexcept;

/// An order to the platform about one VM. Everything on the VM ends at once.
struct vm_order {
    std::string vm;
    std::string pool;      ///< target of a move
    std::int64_t wave = 0; ///< wave of a maintenance order
    std::string holder;    ///< node that gives the order
    std::int64_t fence = 0;
};

struct vm_page {
    bool done = false;
    std::vector<vm_entry> vms;
    std::string next_page; ///< empty: this was the last one
    std::string reason;
};

struct advice_call {
    task_id step; ///< `index` is not used
    std::vector<std::string> workers;
};

struct advice_ticket {
    std::string worker;
    std::string ticket;
};

struct advice_answer {
    bool done = false;
    std::vector<advice_ticket> tickets;
    std::string reason;
};

/// Limits and timings that the platform states for a site.
struct site_limits {
    std::chrono::milliseconds longest_lease{6000};
    std::chrono::milliseconds key_revocation{5000}; ///< a withdrawn key stops working within
    std::chrono::milliseconds stop_time{200};       ///< a worker takes to stop a task
    std::chrono::milliseconds gang_wait{3000};      ///< a member waits for the others
    std::chrono::milliseconds status_kept{120000};  ///< state of a final job can be asked for
    std::chrono::milliseconds restore_time{100};    ///< to resume from saved progress
    std::chrono::milliseconds harm_time{4000};      ///< a serving task may be over its latency target
    std::chrono::milliseconds stop_grace{6000};     ///< between SIGTERM and SIGKILL
    std::chrono::milliseconds vm_move{1500};
    std::chrono::milliseconds vm_maintenance{2000};
    double far_factor = 1.5; ///< slowdown away from the data or on several racks
    std::int32_t job_partitions = 4;
    double vm_orders_per_second = 30;
};

/// Settings of one node on a platform.
struct site_node_settings {
    std::string node_id;
    std::string zone;
    endpoint caller_address;
    endpoint ready_address;
    std::optional<endpoint> admin_address;
    endpoint log_address;
    std::optional<endpoint> vm_address;
    std::optional<endpoint> advice_address;
    site_limits limits;
    std::int64_t max_connections = 3000;
    double cores = 1.0;      ///< processor share of the node
    double link_mbps = 1000; ///< its network link
};

} // namespace hornbeamrail
