#include "protocol/task_units.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

/// @return the slots whose share of a VM covers @p amount of one resource, rounded up
std::int64_t slots_needed(std::int64_t amount, std::int64_t per_vm, std::int64_t slots) {
    return per_vm == 0 ? 0 : (amount * slots + per_vm - 1) / per_vm;
}

} // namespace

std::optional<std::int64_t> task_units(const fleet_config& config, const task_spec& task) {
    const auto* service = config.find_service(task.service);
    const auto* pool = service == nullptr ? nullptr : config.find_pool(service->pool);
    if (pool == nullptr || task.cores > pool->cores_per_vm || task.memory_mb > pool->memory_mb_per_vm ||
        task.accelerators > pool->accelerators_per_vm) {
        return std::nullopt;
    }
    const std::int64_t slots = service->slots_per_executor;
    return std::max({std::int64_t{1}, slots_needed(task.cores, pool->cores_per_vm, slots),
                     slots_needed(task.memory_mb, pool->memory_mb_per_vm, slots),
                     slots_needed(task.accelerators, pool->accelerators_per_vm, slots)});
}

} // namespace hornbeamrail
