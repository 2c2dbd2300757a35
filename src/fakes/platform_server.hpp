#pragma once

#include "fakes/fake_executor.hpp"
#include "fakes/fake_log.hpp"
#include "fakes/fake_vm_list.hpp"
#include "fakes/fake_worker.hpp"
#include "hornbeamrail/error.hpp"
#include "hornbeamrail/fleet_config.hpp"
#include "hornbeamrail/node_settings.hpp"
#include "transport/io_threads.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hornbeamrail {

struct platform_server_options {
    endpoint address{"127.0.0.1", 0};
    std::uint64_t seed = 1;
    /// Defines the pools and zones of the VMs. It is not appended to the log; see `publish_fleet`.
    std::shared_ptr<const fleet_config> fleet;
    std::int64_t executors_per_pool = 0; ///< 0: the number in the fleet configuration
    /// Run time of a request whose body does not begin with `run_ms=N;`.
    std::chrono::microseconds run_time{2000};
    fake_vm_list_options vm_list;
    fake_executor_options executor;
    /// Called when a request starts on a VM, with the time at which it releases its slot; may be empty.
    std::function<void(const vm_description& vm, boot_time started, boot_time ends, const std::string& body)>
        on_run;
};

/// Stand-in of the platform on loopback sockets: the log, the VM list, VM operations, and one executor per
/// worker VM on a port of its own. Thread-safe.
class platform_server {
public:
    /// @param threads runs the sockets; must outlive the server
    /// @return the running stand-in, `errc::invalid_argument` without a fleet that has zones, or
    /// `errc::io_failed` when a port cannot be bound
    static result<std::unique_ptr<platform_server>> make(io_threads& threads,
                                                         platform_server_options options);
    ~platform_server();

    [[nodiscard]] endpoint address() const;

    /// Appends records to the log, as operator commands do.
    void publish(std::vector<log_record> records);

    /// Appends @p fleet as the configuration that follows version @p expected_version, and grants @p key to
    /// the first team.
    /// @param key the key as callers send it; empty: no key is granted
    void publish_fleet(const fleet_config& fleet, const std::string& key, log_offset expected_version = 0);

    /// Runs @p function on the log; use it to set faults.
    void with_log(const std::function<void(fake_log&)>& function);
    /// Runs @p function on the VM list; use it to set faults.
    void with_vm_list(const std::function<void(fake_vm_list&)>& function);

    /// @return ids of the worker VMs
    [[nodiscard]] std::vector<std::string> vms() const;

    /// Runs @p function on the executor of a VM.
    /// @return false when the VM does not exist
    bool with_executor(const std::string& vm, const std::function<void(fake_executor&)>& function);

    /// @return requests that the executors have started since the start of the stand-in
    [[nodiscard]] std::int64_t runs_started() const;

private:
    struct impl;
    explicit platform_server(std::shared_ptr<impl> state) : self(std::move(state)) {}
    std::shared_ptr<impl> self;
};

} // namespace hornbeamrail
