#pragma once

#include "protocol/log_record.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Time on the monotonic clock of one process (CLOCK_BOOTTIME: it also advances while the VM is suspended).
/// Simulations supply their own.
struct boot_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// @return time since the VM started
    static time_point now() noexcept;
};
using boot_time = boot_clock::time_point;

struct log_entry {
    log_offset offset = 0;
    std::string data;
};

/// Answer of the platform's log to a read.
struct log_read {
    log_offset first = 1; ///< lowest offset that the log still holds
    log_offset head = 1;  ///< next offset to be written
    std::vector<log_entry> entries;
};

enum class vm_state { live, leaving };
enum class vm_kind { worker, entry };

struct vm_listing {
    vm_description vm;
    vm_state state = vm_state::live;
    vm_kind kind = vm_kind::worker;
};

/// The platform's list of VMs. It lags behind the truth by seconds.
struct vm_list {
    std::int64_t version = 0;
    std::vector<vm_listing> vms;
};

/// State of the newest operation on a VM as the platform reports it.
enum class vm_operation_state {
    unknown, ///< the platform knows no such operation on the VM
    draining,
    drained, ///< nothing runs on the VM; it waits for its reboot
    rebooting,
    done,
    failed, ///< the platform did not answer
};

/// @return "unknown", "draining", "drained", "rebooting", "done" or "failed"
std::string_view to_string(vm_operation_state state) noexcept;
std::optional<vm_operation_state> parse_vm_operation_state(std::string_view text) noexcept;

/// Calls to a worker about a task that it holds under a lease.
enum class task_command { start, renew, checkpoint, throttle, stop };

/// @return "start", "renew", "checkpoint", "throttle" or "stop", as in the path of the call
std::string_view to_string(task_command command) noexcept;

} // namespace hornbeamrail
