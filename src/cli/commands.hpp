#pragma once

#include "cli/command.hpp"

#include <vector>

namespace hornbeamrail::cli {

/// @return all commands of the binary, in the order of the usage text
std::vector<command> all_commands();

} // namespace hornbeamrail::cli
