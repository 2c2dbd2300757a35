#include "protocol/platform_port.hpp"

#include <array>

namespace hornbeamrail {

namespace {

constexpr std::array<std::string_view, 11> order_names{"done",     "fenced",    "stale_run", "late",
                                                       "no_room",  "no_ticket", "unhealthy", "other_worker",
                                                       "rejected", "unsent",    "unknown"};
constexpr std::array<std::string_view, 6> end_names{"done", "failed", "stopped", "lapsed", "broken", "alone"};
constexpr std::array<std::string_view, 7> vm_order_names{"done",     "fenced",     "busy",   "wrong_wave",
                                                         "rejected", "overloaded", "unknown"};

/// Upper bound of what the log adds to key and value of a record: the lengths of both.
constexpr std::size_t record_overhead_bytes = 8;

} // namespace

std::size_t bytes_in_log(const keyed_record& record) noexcept {
    return record.key.size() + record.value.size() + record_overhead_bytes;
}

std::string_view to_string(order_outcome outcome) noexcept {
    return order_names[static_cast<std::size_t>(outcome)];
}

std::string_view to_string(task_end end) noexcept {
    return end_names[static_cast<std::size_t>(end)];
}

std::string_view to_string(vm_order_outcome outcome) noexcept {
    return vm_order_names[static_cast<std::size_t>(outcome)];
}

} // namespace hornbeamrail
