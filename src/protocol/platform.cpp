#include "protocol/platform.hpp"

#include <array>
#include <ctime>

namespace hornbeamrail {

namespace {

constexpr std::array<std::string_view, 6> operation_states{"unknown",   "draining", "drained",
                                                           "rebooting", "done",     "failed"};
constexpr std::array<std::string_view, 5> task_commands{"start", "renew", "checkpoint", "throttle", "stop"};

} // namespace

boot_time boot_clock::now() noexcept {
    timespec value{};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return boot_time(std::chrono::duration_cast<duration>(std::chrono::seconds(value.tv_sec) +
                                                          std::chrono::nanoseconds(value.tv_nsec)));
}

std::string_view to_string(vm_operation_state state) noexcept {
    return operation_states[static_cast<std::size_t>(state)];
}

std::optional<vm_operation_state> parse_vm_operation_state(std::string_view text) noexcept {
    for (std::size_t index = 0; index < operation_states.size(); ++index) {
        if (operation_states[index] == text) {
            return static_cast<vm_operation_state>(index);
        }
    }
    return std::nullopt;
}

std::string_view to_string(task_command command) noexcept {
    return task_commands[static_cast<std::size_t>(command)];
}

} // namespace hornbeamrail
