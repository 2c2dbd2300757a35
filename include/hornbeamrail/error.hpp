#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hornbeamrail {

/// Error codes of the public interface.
enum class errc {
    invalid_argument, ///< The input violates a documented rule.
    parse_failed,     ///< The input is malformed.
    not_found,
    conflict,    ///< A concurrent change took effect first.
    rejected,    ///< The receiver rejected the request.
    unreachable, ///< No answer; the outcome of the request is unknown.
    timed_out,   ///< The deadline expired; the outcome of the request is unknown.
    too_large,   ///< A size limit was exceeded.
    io_failed,   ///< A file or socket operation failed.
    unavailable, ///< The service is running but temporarily unable to act; nothing was done.
};

/// @return the name of @p code as it appears in JSON, for example "not_found"; stable across versions.
std::string_view to_string(errc code) noexcept;

/// An error with a code. The message describes what happened, the remedy what the reader can do about it.
struct error {
    errc code = errc::invalid_argument;
    std::string message;
    std::string remedy;
};

/// Result of an operation that can fail with an `error`. A result must not be kept across a `co_await`,
/// because LEAF stores the error object in a thread-local context.
template <class T>
using result = boost::leaf::result<T>;

/// Creates a failed result.
/// @return a LEAF error id that converts to any `result<T>`.
inline boost::leaf::error_id make_error(errc code, std::string message, std::string remedy) {
    return boost::leaf::new_error(error{code, std::move(message), std::move(remedy)});
}

/// Calls @p function, which returns `result<T>`, and converts its LEAF error to a plain `error`.
/// @param function callable without arguments
/// @param failure receives the error when the call fails; otherwise unchanged
/// @return the value, or nothing on failure
template <class Function>
auto value_or_error(Function&& function, error& failure) {
    using value_type = std::decay_t<decltype(std::forward<Function>(function)().value())>;
    return boost::leaf::try_handle_all(
        [&]() -> result<std::optional<value_type>> {
            auto outcome = std::forward<Function>(function)();
            if (!outcome) {
                return outcome.error();
            }
            return std::optional<value_type>(std::move(*outcome));
        },
        [&](const error& caught) {
            failure = caught;
            return std::optional<value_type>();
        },
        [&] {
            failure = error{errc::io_failed, "unclassified failure", "report this as a defect"};
            return std::optional<value_type>();
        });
}

} // namespace hornbeamrail
