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

/// HTTP client of the platform: log, VM list and VM operations.
///
/// Each callback runs exactly once, on an I/O thread. It receives `std::nullopt` when there was no usable
/// answer; the outcome of the call is then unknown. Thread-safe.
class platform_client {
public:
    /// @param threads runs the connections; must outlive the client
    platform_client(io_threads& threads, endpoint platform);

    /// Appends @p records to the fleet log. Appends of one client reach the log in call order.
    /// @param done receives the offset from the answer
    void append(const std::vector<std::string>& records, std::function<void(std::optional<log_offset>)> done);
    /// @param wait how long the platform may hold the call open for a record
    void read(log_offset from, std::int32_t max_records, std::chrono::milliseconds wait,
              std::function<void(std::optional<log_read>)> done);
    void list_vms(std::function<void(std::optional<vm_list>)> done);

    /// Starts an operation on a VM.
    /// @param command "drain" or "reboot"
    /// @param operation_id chosen by the caller; identifies the operation in `query_operation`
    /// @param pool pool that the VM joins; may be empty
    /// @param done receives the state; `failed` when there was no usable answer
    void operate(const std::string& vm, const std::string& command, const std::string& operation_id,
                 const std::string& pool, std::function<void(vm_operation_state)> done);
    /// @param done receives the state; `unknown` when the VM's latest operation is a different one
    void query_operation(const std::string& vm, const std::string& operation_id,
                         std::function<void(vm_operation_state)> done);

private:
    void call(http_client_pool& pool, http_request request, std::chrono::milliseconds timeout,
              std::function<void(std::optional<std::string>)> done);

    endpoint platform;
    http_client_pool calls;
    /// Limited to one connection, so that appends reach the log in call order.
    http_client_pool appends;
};

} // namespace hornbeamrail
