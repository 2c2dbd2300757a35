#pragma once

#include "protocol/log_record.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Monotonic clock based on CLOCK_BOOTTIME, which also advances while the VM is suspended. Simulations supply
/// time points of their own.
struct boot_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// @return the time since the VM booted
    static time_point now() noexcept;
};
using boot_time = boot_clock::time_point;

/// A record of the log with its encoded bytes.
struct log_entry {
    log_offset offset = 0;
    std::string data;
};

/// Response of the platform's log to a read.
struct log_read {
    log_offset first = 1; ///< lowest offset that the log retains
    log_offset head = 1;  ///< offset of the next record to be appended
    std::vector<log_entry> entries;
};

/// Whether the platform keeps a VM or is about to remove it.
enum class vm_state { live, leaving };
/// Role of a VM: it runs a worker or an entry node.
enum class vm_kind { worker, entry };

/// An entry of the platform's VM list.
struct vm_listing {
    vm_description vm;
    vm_state state = vm_state::live;
    vm_kind kind = vm_kind::worker;
};

/// The platform's list of VMs. It may be several seconds out of date.
struct vm_list {
    std::int64_t version = 0;
    std::vector<vm_listing> vms;
};

/// State of the latest operation on a VM, as obtained by a call to the platform.
enum class vm_operation_state {
    unknown, ///< the platform has no record of the operation
    draining,
    drained, ///< nothing runs on the VM; the reboot is pending
    rebooting,
    done,
    failed, ///< the call failed: no answer, or an unusable one
};

/// @return "unknown", "draining", "drained", "rebooting", "done" or "failed"
std::string_view to_string(vm_operation_state state) noexcept;
/// @return the state with that name, or nothing for an unknown name
std::optional<vm_operation_state> parse_vm_operation_state(std::string_view text) noexcept;

/// Commands to a worker about a task that it runs under a lease.
enum class task_command { start, renew, checkpoint, throttle, stop };

/// @return "start", "renew", "checkpoint", "throttle" or "stop", as in the path of the call
std::string_view to_string(task_command command) noexcept;

} // namespace hornbeamrail
