#pragma once

#include "hornbeamrail/fleet_config.hpp"
#include "protocol/log_record.hpp"

#include <cstdint>
#include <optional>

namespace hornbeamrail {

/// Units of a team's upper limit that a task takes while it runs. One unit is one executor slot's part of a
/// VM of the service's pool; the scarcest resource decides.
/// @return the units, at least 1; nothing when the service or its pool is not defined, or when no VM of the
/// pool is large
///     enough for the task
std::optional<std::int64_t> task_units(const fleet_config& config, const task_spec& task);

} // namespace hornbeamrail
