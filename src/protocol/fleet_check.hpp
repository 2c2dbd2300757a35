#pragma once

#include "hornbeamrail/fleet_config.hpp"
#include "protocol/json_reader.hpp"

#include <vector>

namespace hornbeamrail {

/// Checks the rules that span several fields of a fleet text: unique names, references, dependency cycles, a
/// pool in two services, shares over 100 percent, budgets that a dependency makes impossible.
/// @param config the configuration as read
/// @param diagnostics receives every finding
void check_fleet_config(const fleet_config& config, std::vector<diagnostic>& diagnostics);

} // namespace hornbeamrail
