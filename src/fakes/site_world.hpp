#pragma once

#include "fakes/event_queue.hpp"
#include "fakes/fake_executor.hpp"
#include "fakes/fake_link.hpp"
#include "fakes/fake_log.hpp"
#include "fakes/fake_vm_list.hpp"
#include "fakes/history.hpp"
#include "hornbeamrail/fleet_config.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Receives the answer of a run when the executor sends it; nullptr when the connection breaks.
using run_callback = std::function<void(const fake_run_answer*)>;

/// A VM of a pool with its executor.
struct simulated_vm {
    vm_description description;
    fake_executor executor;
    bool alive = true;
    bool rebooting = false;
    std::map<std::int64_t, run_callback> runs; ///< in progress
};

/// Whose work a run does.
struct run_owner {
    std::string node;
    std::string request;
    std::int64_t attempt = 0;
    std::string service;
};

enum class delivery { started, busy, lease_lapsed, wrong_service, refused };

/// The platform and the machines of a simulated site, with the recorder of its history.
class site_world {
public:
    static inline const std::string platform = "platform";
    static inline const boot_time start{std::chrono::hours(1)};

    site_world(std::uint64_t seed, fleet_config config);

    event_queue queue;
    fake_link link;
    fake_log log;
    fake_vm_list vms;
    history_recorder history;
    seeded_generator random;
    const fleet_config config;         ///< the first fleet text; names and pools do not change
    bool reboot_without_drain = false; ///< injected defect: the platform reports every drain as done at once

    [[nodiscard]] boot_time now() const noexcept { return this->queue.now(); }

    /// Delivers @p action at the other place, unless the link loses the message.
    /// @return whether the message gets there
    bool send(const std::string& from, const std::string& to, std::function<void()> action);

    void add_vm(std::string id, std::string zone, std::string rack, std::string pool);
    [[nodiscard]] std::map<std::string, simulated_vm>& machines() noexcept { return this->vm_table; }
    [[nodiscard]] simulated_vm* find_vm(std::string_view id);

    /// Ends the VM and everything that runs on it, without notice.
    void crash_vm(const std::string& id);
    void revive_vm(const std::string& id);
    /// Removes an ended VM from the platform's list and adds a new one in its place.
    void replace_vm(const std::string& id);
    void set_leaving(const std::string& id, bool leaving);

    bool drain_vm(const std::string& id, const std::string& operation_id);
    bool reboot_vm(const std::string& id, const std::string& operation_id, const std::string& pool);

    /// Hands a request to the executor of a VM.
    /// @param answered not called when the executor never answers
    delivery run(const std::string& id, const fake_run& request, const run_owner& owner,
                 run_callback answered);

    /// Adds a record of a fault or a decision that concerns a VM.
    void record_vm(event_kind kind, const simulated_vm& vm);

    /// Sum over time of slots of VMs that were alive and without work, by pool, in slot-seconds.
    [[nodiscard]] double idle_slot_seconds(const std::string& pool) const;
    void sample_idle(boot_clock::duration interval);

    std::int64_t reboots = 0;

private:
    void end_runs(simulated_vm& vm, const std::string& how);
    [[nodiscard]] bool is_idle(const std::string& id) const;

    std::map<std::string, simulated_vm> vm_table;
    std::map<std::string, double> idle_seconds;
    std::int64_t run_count = 0;
    std::int64_t replacements = 0;
    std::int64_t next_address = 1;
};

} // namespace hornbeamrail
