#pragma once

#include "fakes/fake_executor.hpp"
#include "fakes/fake_worker.hpp"
#include "hornbeamrail/error.hpp"
#include "hornbeamrail/node_settings.hpp"
#include "transport/io_threads.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hornbeamrail {

struct executor_server_options {
    endpoint address{"127.0.0.1", 0};
    std::uint64_t seed = 1;
    /// Run time of a request whose body does not begin with `run_ms=`.
    std::chrono::microseconds run_time{2000};
    fake_executor_options executor;
    fake_worker_options worker;
    /// Called when a request starts, with the time at which it leaves its slot; may be empty.
    std::function<void(boot_time started, boot_time ends, const std::string& body)> on_run;
};

/// Stand-in of the executor and worker of one VM on a loopback port. Thread-safe.
class executor_server {
public:
    /// @param threads runs the sockets; must outlive the server
    /// @return the running stand-in, or `errc::io_failed` when the port cannot be bound
    static result<std::unique_ptr<executor_server>> make(io_threads& threads,
                                                         executor_server_options options);
    ~executor_server();

    [[nodiscard]] endpoint address() const;

    /// Runs @p function on the fakes while their lock is held.
    void with(const std::function<void(fake_executor&, fake_worker&)>& function);

    /// Sets whether lease answers report that the VM is leaving.
    void set_leaving(bool leaving);

    /// @return requests that the executor has started since its construction
    [[nodiscard]] std::int64_t runs_started() const;

private:
    struct impl;
    explicit executor_server(std::shared_ptr<impl> state) : self(std::move(state)) {}
    std::shared_ptr<impl> self;
};

} // namespace hornbeamrail
