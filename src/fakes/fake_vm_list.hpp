#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

struct vm_operation_status {
    std::string operation_id;
    vm_operation_state state = vm_operation_state::done;
};

struct fake_vm_list_options {
    std::chrono::microseconds lag{2'000'000}; ///< age of the list that callers receive
    std::chrono::microseconds reboot_time{20'000'000};
    bool down = false; ///< the list and the operations do not answer
};

/// In-memory stand-in of the platform's VM list and of its drain and reboot operations. Not thread-safe.
class fake_vm_list {
public:
    /// Returns whether nothing runs on a VM. A draining VM is drained as soon as the check returns true.
    using idle_check = std::function<bool(boot_time now, const std::string& vm)>;
    /// Called once when a reboot begins; work that still runs on the VM is lost.
    using reboot_hook = std::function<void(boot_time now, const std::string& vm)>;

    explicit fake_vm_list(fake_vm_list_options options = {});

    [[nodiscard]] fake_vm_list_options& faults() noexcept { return this->options; }
    void set_idle_check(idle_check check) { this->is_idle = std::move(check); }
    void set_reboot_hook(reboot_hook hook) { this->on_reboot = std::move(hook); }

    void add(boot_time now, vm_listing listing);
    /// Sets the state of a VM; `leaving` announces that the platform will remove it.
    void set_state(boot_time now, std::string_view vm, vm_state state);
    /// Removes a VM that has ended.
    void remove(boot_time now, std::string_view vm);

    /// @return the list as it was `lag` ago, or nothing while the list is down
    [[nodiscard]] std::optional<vm_list> list(boot_time now) const;
    /// @return the list without lag
    [[nodiscard]] const vm_list& truth() const;

    /// Begins a drain: the VM must receive no new work, and is drained when nothing runs on it.
    /// @return false when the VM is unknown or the platform does not answer
    bool drain(boot_time now, const std::string& vm, const std::string& operation_id);

    /// Begins a reboot into @p pool. A repeated operation id has no second effect.
    /// @return false when the VM is unknown or the platform does not answer
    bool reboot(boot_time now, const std::string& vm, const std::string& operation_id,
                const std::string& pool);

    /// @return the newest operation on the VM, or nothing when there was none or the platform does not answer
    [[nodiscard]] std::optional<vm_operation_status> operation(boot_time now, const std::string& vm);

    /// @return whether the VM is draining, drained or rebooting; its executor then reports that it is leaving
    [[nodiscard]] bool in_operation(boot_time now, const std::string& vm);

private:
    struct operation_entry {
        std::string id;
        vm_operation_state state = vm_operation_state::done;
        bool rebooted = false;
        boot_time reboot_end{};
    };
    struct snapshot {
        boot_time since;
        vm_list list;
    };

    vm_list& begin_change(boot_time now);
    [[nodiscard]] bool has_vm(std::string_view vm) const;
    operation_entry& entry_for(const std::string& vm, const std::string& operation_id);
    void advance(boot_time now, const std::string& vm, operation_entry& entry) const;

    fake_vm_list_options options;
    idle_check is_idle;
    reboot_hook on_reboot;
    std::vector<snapshot> snapshots;
    std::map<std::string, operation_entry, std::less<>> operations;
};

} // namespace hornbeamrail
