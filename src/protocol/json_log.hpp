#pragma once

#include <boost/json/object.hpp>

#include <string_view>

namespace hornbeamrail {

enum class severity { debug, info, warning, error };

/// Sets the lowest severity that is written. The default is `info`.
void set_log_threshold(severity lowest) noexcept;

/// Writes one JSON line to standard error: time, severity, event and the given fields. Thread-safe.
/// @param level severity of the event
/// @param event short stable name, for example "lease_lapsed"
/// @param fields further members; must not hold keys or bodies of requests
void write_log(severity level, std::string_view event, boost::json::object fields = {});

} // namespace hornbeamrail
