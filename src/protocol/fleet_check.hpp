#pragma once

#include "hornbeamrail/fleet_config.hpp"
#include "protocol/json_reader.hpp"

#include <vector>

namespace hornbeamrail {

/// Checks the rules that span several fields of a fleet configuration: unique names, references, dependency
/// cycles, one pool per service, shares of at most 100 percent in total, and failure budgets that are not
/// smaller than those of the dependencies.
/// @param config the parsed configuration
/// @param diagnostics receives every finding
void check_fleet_config(const fleet_config& config, std::vector<diagnostic>& diagnostics);

} // namespace hornbeamrail
