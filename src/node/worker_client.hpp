#pragma once

#include "node/task_manager.hpp"
#include "transport/http_client_pool.hpp"

#include <functional>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Calls to workers about tasks. Callbacks run on a worker thread exactly once. Thread-safe.
class worker_client {
public:
    /// @param pool connections to the VMs of executors and workers; must outlive the client
    explicit worker_client(http_client_pool& pool) : calls(pool) {}

    /// @param done receives the verdict and, when done, the lease id
    void reserve(const reserve_worker& action, std::function<void(worker_answer, std::string)> done);

    void command(const command_worker& action, std::function<void(worker_answer)> done);

    /// @param done receives the reports; empty when the worker did not answer
    void usage(const read_usage& action, std::function<void(std::vector<task_report>)> done);

private:
    void post(const endpoint& worker, std::string target, std::string body,
              std::function<void(worker_answer, std::string)> done);

    http_client_pool& calls;
};

} // namespace hornbeamrail
