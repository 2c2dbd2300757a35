#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string_view>

namespace hornbeamrail {

enum class severity { debug, info, warning, error };

/// Sets the lowest severity that is written. The default is `info`.
void set_log_threshold(severity lowest) noexcept;

/// Lines of one event that are written in a second; further ones are counted, and the next line that is
/// written says how many were left out.
inline constexpr std::int64_t max_lines_per_second = 60;

/// Sends the lines to standard output; the default is standard error, which leaves the output to commands.
void log_to_standard_output() noexcept;

/// Writes one JSON line: time, severity, event and the given fields. Thread-safe.
/// @param level severity of the event
/// @param event short stable name, for example "lease_lapsed"
/// @param fields further members; must not hold keys or bodies of requests
void write_log(severity level, std::string_view event, boost::json::object fields = {});

} // namespace hornbeamrail
