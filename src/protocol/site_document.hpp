#pragma once

#include "hornbeamrail/node_settings.hpp"
#include "protocol/job.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What the operators and the platform say of a site, in the product's types.

namespace hornbeamrail {

/// How the workers that may run a step are asked for.
struct advice_config {
    std::chrono::milliseconds decide_time{0};     ///< of one call
    std::chrono::milliseconds time_per_worker{0}; ///< added for each worker named
    std::chrono::milliseconds ticket_lifetime{0};
};

/// A queue takes jobs at one host and path prefix; the tasks run in its pool.
struct queue_config {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::string pool;
    std::int32_t priority = 0;                    ///< 0 comes first
    std::int32_t attempts = 1;                    ///< runs of a task that may end as failed
    double objective_factor = 1.0;                ///< objective as a multiple of the longest chain of work
    std::chrono::milliseconds objective_slack{0}; ///< added to the objective
    bool open = false;                            ///< needs no key
    std::optional<advice_config> advice;
};

struct worker_pool_config {
    std::string name;
    bool workers_refuse_overload = true;
    bool spare = false; ///< its VMs are off
};

/// A client account with its keys and limits.
struct account_config {
    std::string name;
    std::vector<std::string> keys;
    double weight = 1.0;   ///< share when everything is full
    resources upper_limit; ///< upper limit across all workers; 0: none
};

/// The operators' configuration in full.
struct site_config {
    std::int64_t version = 0;
    std::vector<queue_config> queues;
    std::vector<worker_pool_config> pools;
    std::vector<account_config> accounts;

    [[nodiscard]] const worker_pool_config* find_pool(std::string_view name) const noexcept;
    [[nodiscard]] const account_config* find_account(std::string_view name) const noexcept;

    /// @return the account that the key belongs to, or null
    [[nodiscard]] const account_config* account_of_key(std::string_view key) const noexcept;

    /// Finds the queue of a call by its host and the longest prefix of its path.
    /// @return the queue, or null
    [[nodiscard]] const queue_config* queue_of(std::string_view host, std::string_view path) const noexcept;
};

/// What a worker says of itself. A worker is one life of the executor process on a VM.
struct worker_entry {
    std::string id;
    std::int64_t instance_started_ms =
        0; ///< start of this life; a new value under the same id is a new worker
    std::string pool;
    endpoint address;
    std::string zone;
    bool draining = false;
    resources capacity;
    std::vector<std::string> labels; ///< kind, then rack

    [[nodiscard]] std::string_view rack() const noexcept {
        return this->labels.empty() ? std::string_view() : std::string_view(this->labels.back());
    }
    [[nodiscard]] bool has_label(std::string_view label) const noexcept;
};

enum class vm_condition { up, moving, maintenance, down };

/// One VM of the platform's list.
struct vm_entry {
    std::string id;
    std::string pool;
    vm_condition condition = vm_condition::down;
    std::string zone;
    std::vector<std::string> labels;
    resources capacity;
    std::string worker; ///< id of the worker that runs on it; empty: none
};

/// A request of the operators to maintain VMs.
struct wave_request {
    std::int64_t number = 0;
    std::vector<std::string> vms;
    std::chrono::milliseconds duration{0};
    std::int32_t max_down = 1; ///< VMs of the wave that may be in maintenance at the same time
};

} // namespace hornbeamrail
