#pragma once

#include <chrono>

// Conversions of durations.

namespace hornbeamrail {

/// @return @p value in whole milliseconds, rounded towards zero
template <class Rep, class Period>
[[nodiscard]] constexpr std::chrono::milliseconds to_millis(std::chrono::duration<Rep, Period> value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

/// @return @p value in seconds, including fractions
template <class Rep, class Period>
[[nodiscard]] constexpr double seconds_of(std::chrono::duration<Rep, Period> value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace hornbeamrail
