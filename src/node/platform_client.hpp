#pragma once

#include "hornbeamrail/node_settings.hpp"
#include "protocol/platform.hpp"
#include "transport/http_client_pool.hpp"
#include "transport/io_threads.hpp"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Calls to the platform: log, VM list and VM operations. Callbacks run on a worker exactly once, with
/// nothing when no usable answer came; the outcome of the call is then unknown. Thread-safe.
class platform_client {
public:
    /// @param threads runs the connections; must outlive the client
    platform_client(io_threads& threads, endpoint platform);

    void append(const std::vector<std::string>& records, std::function<void(std::optional<log_offset>)> done);
    void read(log_offset from, std::int32_t max_records, std::chrono::milliseconds wait,
              std::function<void(std::optional<log_read>)> done);
    void list_vms(std::function<void(std::optional<vm_list>)> done);

    /// @param command "drain" or "reboot"
    /// @param pool pool that the VM joins; may be empty
    void operate(const std::string& vm, const std::string& command, const std::string& operation_id,
                 const std::string& pool, std::function<void(vm_operation_state)> done);
    void query_operation(const std::string& vm, const std::string& operation_id,
                         std::function<void(vm_operation_state)> done);

private:
    void call(http_client_pool& pool, http_request request, std::chrono::milliseconds timeout,
              std::function<void(std::optional<std::string>)> done);

    endpoint platform;
    http_client_pool calls;
    /// One connection: appends reach the log in the order in which they were made.
    http_client_pool appends;
};

} // namespace hornbeamrail
