#pragma once

#include "protocol/platform.hpp"
#include "protocol/platform_port.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hornbeamrail {

/// A keyed, partitioned log in memory: conditional appends, producers with epochs, newest record of each key.
class fake_keyed_log {
public:
    append_answer append(const append_call& call);
    [[nodiscard]] read_answer read(const read_call& call) const;
    [[nodiscard]] newest_answer newest(const newest_call& call) const;

    /// Drops the history of a partition; the newest record of each key stays.
    void forget_history(log_topic topic, std::int32_t partition);

private:
    struct producer_state {
        std::int64_t epoch = -1;
        std::int64_t sequence = -1;
        append_answer last;
    };
    struct partition_log {
        std::vector<keyed_record> records;
        std::int64_t first = 0;
        std::map<std::string, keyed_record> newest;
        std::map<std::string, producer_state> producers;
    };
    using partition_key = std::pair<log_topic, std::int32_t>;

    std::map<partition_key, partition_log> partitions;
};

/// One run of a task as a worker saw it, for checks of the history.
struct observed_run {
    std::string worker;
    task_id task;
    std::int64_t run = 0;
    boot_time begun{};
    boot_time ended = boot_time::max(); ///< still running
    std::optional<task_end> how;
    bool acknowledged = false; ///< its end was taken note of
};

/// Workers and VMs of a site in simulated time. Orders keep the rules of guarded workers: fences, lives,
/// leases, run numbers that only rise, and ends that are repeated until they are acknowledged.
class fake_site {
public:
    struct options {
        std::chrono::milliseconds longest_lease{6000};
        std::chrono::milliseconds move_time{1500};
        std::chrono::milliseconds maintenance_time{2000};
        std::chrono::milliseconds startup_time{700}; ///< of a long-running task
    };

    explicit fake_site(options settings) : limits(settings) {}

    /// Adds a VM whose worker is up.
    void add_vm(const std::string& vm, const std::string& pool, const std::string& zone,
                const std::string& rack, resources capacity, boot_time now);

    /// How long a task of the step runs and how it ends.
    void set_duration(std::chrono::milliseconds duration) { this->task_duration = duration; }
    void set_long_running(const std::string& job) { this->long_running[job] = true; }

    order_answer start(const worker_target& worker, const start_order& order, resources need, boot_time now);
    order_answer stop(const worker_target& worker, const stop_order& order, boot_time now);
    hold_report hold(const worker_target& worker, const hold_order& order, boot_time now);
    vm_order_outcome maintain(const vm_order& order, boot_time now);
    vm_order_outcome move(const vm_order& order, boot_time now);

    /// Ends the worker of a VM; another life starts at once under a new id.
    void crash(const std::string& vm, boot_time now);

    /// Ends what is due: tasks by their duration, leases that have lapsed, VMs that come back.
    void advance(boot_time now);

    [[nodiscard]] std::vector<worker_entry> workers() const;
    [[nodiscard]] std::vector<vm_entry> vms() const;
    [[nodiscard]] const std::vector<observed_run>& history() const noexcept { return this->runs; }

    /// @return whether a hold of @p worker would find an end
    [[nodiscard]] bool has_end(const std::string& worker) const;

private:
    struct running {
        std::int64_t run = 0;
        boot_time due{};
        resources need;
        std::size_t history = 0;
    };
    struct instance {
        worker_entry entry;
        std::string vm;
        boot_time born{};
        boot_time lease{};
        std::int64_t fence = 0;
        std::map<task_id, running> tasks;
        std::map<task_id, std::int64_t> closed; ///< highest run that was stopped or has ended
        std::vector<ended_task> ended;
        std::int64_t next_end = 1;
        resources used;
    };
    struct machine {
        vm_entry entry;
        boot_time back{};
        std::string rack;
    };

    instance* find_life(const worker_target& worker);
    void begin_life(machine& vm, boot_time now);
    void end_life(const std::string& worker, boot_time now);
    void finish(instance& worker, const task_id& task, task_end how, boot_time now);
    [[nodiscard]] std::chrono::milliseconds clock_of(const instance& worker, boot_time now) const;

    options limits;
    std::chrono::milliseconds task_duration{1000};
    std::map<std::string, bool> long_running;
    std::map<std::string, instance> lives;
    std::map<std::string, machine> machines;
    std::vector<observed_run> runs;
    std::int64_t next_instance = 1;
};

} // namespace hornbeamrail
