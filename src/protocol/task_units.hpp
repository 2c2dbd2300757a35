#pragma once

#include "hornbeamrail/fleet_config.hpp"
#include "protocol/log_record.hpp"

#include <cstdint>
#include <optional>

namespace hornbeamrail {

/// Computes how many units of the team's upper limit a running task uses. One unit is one executor slot, that
/// is 1 / `slots_per_executor` of a VM of the service's pool. The resource that needs the most units counts.
/// @return the units, at least 1; nothing when the service or its pool is not defined, or when the task does
///     not fit on a VM of the pool
std::optional<std::int64_t> task_units(const fleet_config& config, const task_spec& task);

} // namespace hornbeamrail
