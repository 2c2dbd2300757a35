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

/// Called with the answer of a run when the executor sends it, or with nullptr when the connection breaks.
using run_callback = std::function<void(const fake_run_answer*)>;

/// A VM of a pool with its executor.
struct simulated_vm {
    vm_description description;
    fake_executor executor;
    bool alive = true;
    bool rebooting = false;
    std::map<std::int64_t, run_callback> runs; ///< in progress
};

/// The node process, request, attempt and service that a run belongs to.
struct run_owner {
    std::string node;
    std::string request;
    std::int64_t attempt = 0;
    std::string service;
};

/// Result of handing a request to a VM. `refused` means that the VM accepts no connection.
enum class delivery_result { started, busy, lease_lapsed, wrong_service, refused };

/// The platform, network and VMs of a simulated site, with the recorder of its history.
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
    const fleet_config config;         ///< the initial fleet configuration; names and pools do not change
    bool reboot_without_drain = false; ///< injected defect: the platform reports every drain as done at once

    [[nodiscard]] boot_time now() const noexcept { return this->queue.now(); }

    /// Schedules @p action for the time at which the message arrives, unless the link drops the message.
    /// @return whether the message arrives
    bool send(const std::string& from, const std::string& to, std::function<void()> action);

    /// Adds a VM to the platform's list and to its pool.
    void add_vm(std::string id, std::string zone, std::string rack, std::string pool);
    [[nodiscard]] std::map<std::string, simulated_vm>& machines() noexcept { return this->vm_table; }
    /// @return the VM, or nullptr if it does not exist
    [[nodiscard]] simulated_vm* find_vm(std::string_view id);

    /// Ends the VM and its runs without notice.
    void crash_vm(const std::string& id);
    /// Starts a crashed VM again.
    void restart_vm(const std::string& id);
    /// Replaces a crashed VM in the platform's list by a new one.
    void replace_vm(const std::string& id);
    /// Sets whether the executor of the VM reports that it is leaving, and records an event if that changed.
    void set_leaving(const std::string& id, bool leaving);

    /// Starts a drain on the platform.
    /// @return false if the platform rejects the operation
    bool drain_vm(const std::string& id, const std::string& operation_id);
    /// Reboots a VM, into @p pool if that is not empty. A repeated operation has no effect.
    /// @return false if the platform rejects the operation
    bool reboot_vm(const std::string& id, const std::string& operation_id, const std::string& pool);

    /// Hands a request to the executor of a VM.
    /// @param on_answer not called if the executor does not answer
    delivery_result run(const std::string& id, const fake_run& request, const run_owner& owner,
                        run_callback on_answer);

    /// Records an event of a VM.
    void record_vm(event_kind kind, const simulated_vm& vm);

    /// @return the idle slots of live VMs of a pool, summed over time, in slot-seconds
    [[nodiscard]] double idle_slot_seconds(const std::string& pool) const;
    /// Adds the idle slots of one sampling interval to the sums.
    void sample_idle(boot_clock::duration interval);

    std::int64_t reboots = 0;

private:
    void end_runs(simulated_vm& vm, const std::string& reason);
    [[nodiscard]] bool is_idle(const std::string& id) const;

    std::map<std::string, simulated_vm> vm_table;
    std::map<std::string, double> idle_seconds;
    std::int64_t run_count = 0;
    std::int64_t replacements = 0;
    std::int64_t next_address = 1;
};

} // namespace hornbeamrail
