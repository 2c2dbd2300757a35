#pragma once

#include "protocol/platform.hpp"
#include "protocol/platform_port.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hornbeamrail {

/// In-memory stand-in of a keyed, partitioned log with conditional appends, producer epochs, limits of
/// records and appends, and the newest record of each key. Not thread-safe.
class fake_keyed_log {
public:
    append_answer append(const append_call& call);
    [[nodiscard]] read_answer read(const read_call& call) const;
    [[nodiscard]] newest_answer newest(const newest_call& call) const;

    void set_limits(append_limits changed) { this->limits = changed; }

    /// Makes the log reject appends with a record that @p selects, as long as it is set.
    void set_rejected(std::function<bool(log_topic, const keyed_record&)> selects) {
        this->is_rejected = std::move(selects);
    }

    /// Drops the records of a partition except the newest record of each key. Reads of dropped offsets answer
    /// `expired`.
    void drop_history(log_topic topic, std::int32_t partition);

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

    /// @return the reason why the log does not accept the records, or an empty text
    [[nodiscard]] std::string find_rejection(const append_call& call) const;

    append_limits limits;
    std::function<bool(log_topic, const keyed_record&)> is_rejected;
    std::map<partition_key, partition_log> partitions;
};

/// One run of a task on a worker, for checks of the history.
struct observed_run {
    std::string worker;
    task_id task;
    std::int64_t run = 0;
    boot_time started_at{};
    boot_time ended_at = boot_time::max(); ///< the maximum while the task runs
    std::optional<task_end> outcome;       ///< absent while the task runs, or when its worker instance ended
    /// A hold has acknowledged its end, and the lease of the worker had not lapsed between the two.
    bool acknowledged = false;
    bool resumed = false; ///< its start order had a checkpoint
};

/// How a worker treats the starts that it is ordered.
enum class start_behaviour {
    normal,
    fails_all,   ///< every run fails soon after its start
    fails_share, ///< half of the runs fail soon after their start
    unhealthy,   ///< refuses every start as overloaded or failing
    no_room,     ///< refuses every start for want of capacity
};

/// State of a worker process as it knows it itself.
struct observed_worker {
    worker_entry entry;
    std::string vm;
    start_behaviour behaviour = start_behaviour::normal;
    resources available;        ///< capacity without the needs of what runs
    std::vector<task_id> tasks; ///< what runs
};

/// What changes when a worker process restarts under its id.
struct worker_restart {
    bool clock_stepped_back = false; ///< the new instance reports an earlier start than the previous one
    bool new_address = false;
    std::optional<resources> capacity; ///< absent: unchanged
};

/// In-memory stand-in of the workers and VMs of a site. Orders follow the rules of guarded workers: fences,
/// worker instances, leases, ascending run numbers, and ended tasks that are reported until they are
/// acknowledged. Not thread-safe.
class fake_site {
public:
    struct options {
        std::chrono::milliseconds longest_lease{6000}; ///< upper limit of a lease
        std::chrono::milliseconds move_time{1500};
        std::chrono::milliseconds maintenance_time{2000};
        std::chrono::milliseconds startup_time{700}; ///< of a long-running task
        std::string worker_prefix = "w-";            ///< of worker ids; a number follows
    };

    explicit fake_site(options settings) : limits(settings) {}

    /// Adds a VM with a running worker.
    void add_vm(const std::string& vm, const std::string& pool, const std::string& zone,
                const std::string& rack, resources capacity, boot_time now);

    /// Sets the run time of every task that is not long-running.
    void set_duration(std::chrono::milliseconds duration) { this->task_duration = duration; }
    /// Makes the tasks of a job run until they are stopped or their lease lapses.
    void set_long_running(const std::string& job) { this->long_running[job] = true; }

    /// Makes the tasks of a job report checkpoints of that size, and keep the one that they were started
    /// with.
    void set_checkpoint_bytes(const std::string& job, std::size_t bytes) {
        this->checkpoint_bytes[job] = bytes;
    }

    /// Makes the tasks of a job fail at the end of their run time.
    void set_failing(const std::string& job) { this->failing.insert(job); }

    /// Makes a worker refuse all starts as unhealthy, or accept them again. It goes on answering holds.
    void set_refusing(const std::string& worker, bool refuses) {
        refuses ? (void)this->refusing.insert(worker) : (void)this->refusing.erase(worker);
    }

    /// Ends the running tasks of a job as failed.
    void fail_tasks(const std::string& job, boot_time now);

    /// Ends the runs of a task as failed.
    void fail_task(const task_id& task, boot_time now);

    order_answer start(const worker_target& worker, const start_order& order, resources need, boot_time now);
    order_answer stop(const worker_target& worker, const stop_order& order, boot_time now);
    hold_report hold(const worker_target& worker, const hold_order& order, boot_time now);
    vm_order_outcome maintain(const vm_order& order, boot_time now);
    vm_order_outcome move(const vm_order& order, boot_time now);

    /// Ends the worker of a VM and starts a new instance with a new id at once.
    void crash(const std::string& vm, boot_time now);

    /// Ends the worker of a VM and starts a new instance with the same id at once.
    /// @return id of the worker; nothing if the VM is not up
    std::optional<std::string> restart(const std::string& vm, const worker_restart& changes, boot_time now);

    /// Ends the worker of a VM, or its maintenance. The VM comes back with a new worker at @p returns_at.
    void take_down(const std::string& vm, boot_time returns_at, boot_time now);

    /// Ends the worker of a VM and removes the VM for good.
    void remove_vm(const std::string& vm, boot_time now);

    /// Sets whether the worker of a VM announces that it drains.
    void set_draining(const std::string& vm, bool draining);

    void set_behaviour(const std::string& worker, start_behaviour behaviour);

    /// Makes long-running tasks fail by themselves.
    /// @param share fraction that fails in each span of 2 s
    void set_long_running_failures(double share, std::uint64_t seed) {
        this->failure_share = share;
        this->random.seed(seed);
    }

    /// Fails the tasks on a worker.
    /// @param selects called with each run on the worker; true: its task fails
    void fail_runs(const std::string& worker, const std::function<bool(const observed_run&)>& selects,
                   boot_time now);

    /// Ends tasks that are complete or whose lease has lapsed, and restarts the workers of VMs whose move or
    /// maintenance is complete.
    void advance(boot_time now);

    [[nodiscard]] std::vector<worker_entry> workers() const;
    [[nodiscard]] std::vector<observed_worker> observe_workers() const;
    [[nodiscard]] std::vector<vm_entry> vms() const;
    [[nodiscard]] const std::vector<observed_run>& history() const noexcept { return this->runs; }

    /// @return `worker_entry::instance_started_ms` of the worker; 0 if it does not run
    [[nodiscard]] std::int64_t instance_start_of(const std::string& worker) const;

    /// @return whether a hold of @p worker would report an ended task
    [[nodiscard]] bool has_end(const std::string& worker) const;

private:
    struct active_task {
        std::int64_t run = 0;
        boot_time ends_at{};
        task_end end = task_end::done; ///< how it ends by itself
        resources need;
        std::size_t run_index = 0; ///< index in `runs`
    };
    struct instance {
        worker_entry entry;
        std::string vm;
        boot_time instance_started{}; ///< zero of the worker clock
        boot_time lease_end{};
        boot_time last_lapse{}; ///< when the latest lease that was not renewed in time had expired
        std::int64_t fence = 0;
        std::map<task_id, active_task> tasks;
        std::map<task_id, std::int64_t> closed_runs; ///< highest run that was stopped or has ended
        std::vector<ended_task> ended;
        std::int64_t next_end = 1;
        resources used;
        start_behaviour behaviour = start_behaviour::normal;
    };
    struct site_vm {
        vm_entry entry;
        boot_time returns_at{}; ///< end of a move or of maintenance
        std::string rack;
    };

    instance* find_instance(const worker_target& worker);
    void start_instance(site_vm& vm, boot_time now);
    void end_instance(const std::string& worker, boot_time now);
    /// Sets when and how a task that starts now ends by itself.
    void plan_end(active_task& task, const instance& worker, const task_id& id, boot_time now);
    void finish(instance& worker, const task_id& task, task_end outcome, boot_time now);
    /// @param until end of the lease on the worker's clock
    void extend_lease(instance& worker, std::chrono::milliseconds until, boot_time now) const;
    /// Discards the ends of @p worker up to number @p last.
    void acknowledge_ends(const std::string& id, instance& worker, std::int64_t last, boot_time now);
    /// @return the time since the start of the worker instance
    [[nodiscard]] std::chrono::milliseconds instance_clock(const instance& worker, boot_time now) const;

    options limits;
    std::chrono::milliseconds task_duration{1000};
    std::map<std::string, bool> long_running;
    std::map<std::string, std::size_t> checkpoint_bytes; ///< by job
    std::set<std::string> failing;                       ///< jobs
    std::set<std::string> refusing;                      ///< workers
    double failure_share = 0;                            ///< of long-running tasks in each span of 2 s
    std::mt19937_64 random;
    std::map<std::string, instance> instances; ///< by worker id
    std::map<std::string, site_vm> site_vms;   ///< by VM id
    std::vector<observed_run> runs;
    std::int64_t next_instance = 1;
    std::int64_t earliest_start = 1000; ///< below the start of every process with a steady clock
};

} // namespace hornbeamrail
