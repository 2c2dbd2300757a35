#pragma once

#include "node/task_manager.hpp"
#include "transport/http_client_pool.hpp"

#include <functional>
#include <string>
#include <vector>

namespace hornbeamrail {

/// HTTP client of the workers' task interface. Each callback runs exactly once, on an I/O thread.
/// Thread-safe.
class worker_client {
public:
    /// @param pool connections to the VMs of executors and workers; must outlive the client
    explicit worker_client(http_client_pool& pool) : calls(pool) {}

    /// Requests a lease for a task.
    /// @param done receives the answer and, if it is `worker_answer::done`, the lease id
    void reserve(const reserve_worker& action, std::function<void(worker_answer, std::string)> done);

    /// Sends a command for a leased task.
    void command(const command_worker& action, std::function<void(worker_answer)> done);

    /// Reads the usage report of a worker.
    /// @param done receives the reports; empty when there was no usable answer
    void usage(const read_usage& action, std::function<void(std::vector<task_report>)> done);

private:
    void post(const endpoint& worker, std::string target, std::string body,
              std::function<void(worker_answer, std::string)> done);

    http_client_pool& calls;
};

} // namespace hornbeamrail
