#pragma once

#include <chrono>

// Conversions of spans of time.

namespace hornbeamrail {

/// @return @p span in whole milliseconds, rounded towards zero
template <class Rep, class Period>
[[nodiscard]] constexpr std::chrono::milliseconds to_millis(std::chrono::duration<Rep, Period> span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

/// @return @p span in seconds, with their fraction
template <class Rep, class Period>
[[nodiscard]] constexpr double seconds_of(std::chrono::duration<Rep, Period> span) {
    return std::chrono::duration<double>(span).count();
}

} // namespace hornbeamrail
