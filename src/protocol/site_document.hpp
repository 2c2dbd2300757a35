#pragma once

#include "hornbeamrail/node_settings.hpp"
#include "protocol/job.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Configuration, workers and VMs of a site, independent of the wire format of a platform.

namespace hornbeamrail {

/// Timing of a queue's placement advice, which issues a ticket for each worker that may run a step.
struct advice_config {
    std::chrono::milliseconds decide_time{0};     ///< fixed duration of one call
    std::chrono::milliseconds time_per_worker{0}; ///< additional duration for each worker in the call
    std::chrono::milliseconds ticket_lifetime{0}; ///< how long a ticket is valid
};

/// A queue accepts jobs at one host and path prefix. Their tasks run in its pool.
struct queue_config {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string pool;
    std::int32_t priority = 0;                    ///< 0 is the highest
    std::int32_t attempts = 1;                    ///< failed runs of a task after which its job fails
    double objective_factor = 1.0;                ///< duration objective as a multiple of the critical path
    std::chrono::milliseconds objective_slack{0}; ///< added to the objective
    bool open = false;                            ///< accepts requests without a key
    std::optional<advice_config> advice;
};

/// A pool of workers.
struct worker_pool_config {
    std::string name;
    bool workers_refuse_overload = true; ///< workers reject starts beyond their capacity
    bool spare = false;                  ///< its VMs are switched off
};

/// A client account with its keys and limits.
struct account_config {
    std::string name;
    std::vector<std::string> keys;
    double weight = 1.0;   ///< relative share when the capacity is fully used
    resources upper_limit; ///< total across all workers; 0: no limit
};

/// The complete configuration written by the operators.
struct site_config {
    std::int64_t version = 0;
    std::vector<queue_config> queues;
    std::vector<worker_pool_config> pools;
    std::vector<account_config> accounts;

    [[nodiscard]] const worker_pool_config* find_pool(std::string_view name) const noexcept;
    [[nodiscard]] const account_config* find_account(std::string_view name) const noexcept;

    /// @return the account that the key belongs to, or null
    [[nodiscard]] const account_config* account_of_key(std::string_view key) const noexcept;

    /// Finds the queue of a call: of the queues with its host, the one with the longest matching path prefix.
    /// @return the queue, or null
    [[nodiscard]] const queue_config* queue_of(std::string_view host, std::string_view path) const noexcept;
};

/// Registration published by a worker instance, which is one start of the worker process on a VM.
struct worker_entry {
    std::string id;
    /// Start time of the instance. The same id with another value is another worker instance.
    std::int64_t instance_started_ms = 0;
    std::string pool;
    endpoint address;
    std::string zone;
    bool draining = false;
    resources capacity;
    std::vector<std::string> labels; ///< machine kind first, rack last

    /// @return the rack, or an empty text for a worker without labels
    [[nodiscard]] std::string_view rack() const noexcept {
        return this->labels.empty() ? std::string_view() : std::string_view(this->labels.back());
    }
    [[nodiscard]] bool has_label(std::string_view label) const noexcept;
};

/// Condition of a VM as the platform reports it.
enum class vm_condition { up, moving, maintenance, down };

/// An entry of the platform's VM list.
struct vm_entry {
    std::string id;
    std::string pool;
    vm_condition condition = vm_condition::down;
    std::string zone;
    std::vector<std::string> labels;
    resources capacity;
    std::string worker; ///< id of the worker on the VM; empty: no worker
};

/// An operator's request to maintain a set of VMs within a time limit.
struct wave_request {
    std::int64_t number = 0;
    std::vector<std::string> vms;
    std::chrono::milliseconds duration{0}; ///< time within which the whole wave should finish
    std::int32_t max_down = 1;             ///< VMs of the wave that may be in maintenance at once
};

} // namespace hornbeamrail
