#pragma once

#include "protocol/log_record.hpp"

#include <chrono>
#include <cstdint>
#include <string>
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

} // namespace hornbeamrail
