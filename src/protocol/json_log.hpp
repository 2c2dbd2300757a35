#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string_view>

namespace hornbeamrail {

/// Severity of a log line, in ascending order.
enum class severity { debug, info, warning, error };

/// Sets the lowest severity that is written. The default is `info`.
void set_log_threshold(severity lowest) noexcept;

/// Rate limit of log lines per event. Further lines are dropped and counted; the next line of the event
/// reports the number.
inline constexpr std::int64_t max_lines_per_second = 60;

/// Writes log lines to standard output instead of standard error. The default keeps standard output for the
/// results of commands. From then on the process ignores SIGPIPE: the end of the reader does not end it.
void log_to_standard_output() noexcept;

/// Writes one JSON line with time, severity, event and @p fields. Never blocks: a line that the reader does
/// not take at once is dropped, and the next line that is written has their number in `lines_dropped`. Of a
/// line longer than `PIPE_BUF` only its head is written. Thread-safe.
/// @param level severity of the event
/// @param event short, stable event name, for example "lease_lapsed"
/// @param fields additional members; must not contain API keys or request bodies
void write_log(severity level, std::string_view event, boost::json::object fields = {});

} // namespace hornbeamrail
