#pragma once

#include "protocol/log_record.hpp"

#include <cstddef>
#include <random>
#include <variant>

namespace hornbeamrail {

inline constexpr std::size_t record_kind_count = std::variant_size_v<record_body>;

/// @return a small valid fleet configuration: two zones, two services, a spare pool and two teams
fleet_config sample_fleet_config();

/// Creates a record in which every field differs from its default.
/// @param kind index of the alternative in `record_body`
/// @param generator source of the values
log_record sample_record(std::size_t kind, std::mt19937_64& generator);

} // namespace hornbeamrail
