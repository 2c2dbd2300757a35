#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hornbeamrail {

/// Kinds of failure that callers of the public interface tell apart.
enum class errc {
    invalid_argument, ///< The input breaks a documented rule.
    parse_failed,     ///< The bytes are not a value of the expected format.
    not_found,
    conflict,    ///< Another change was ordered first.
    rejected,    ///< The other side decided against the request.
    unreachable, ///< No answer; the outcome of the request is unknown.
    timed_out,   ///< The deadline passed; the outcome of the request is unknown.
    too_large,   ///< A size limit was exceeded.
    io_failed,   ///< A file or socket operation failed.
    unavailable, ///< The service is running but cannot act now; nothing was done.
};

/// @return the stable name of @p code as it appears in JSON, for example "not_found".
std::string_view to_string(errc code) noexcept;

/// A typed failure. The message says what happened; the remedy says what the reader can do about it.
struct error {
    errc code = errc::invalid_argument;
    std::string message;
    std::string remedy;
};

/// Result of an operation that can fail with an `error`. Results must not be held across a `co_await`: LEAF
/// keeps the error object in a context of the thread.
template <class T>
using result = boost::leaf::result<T>;

/// Makes a failed result.
/// @return a LEAF error id that converts to any `result<T>`.
inline boost::leaf::error_id make_error(errc code, std::string message, std::string remedy) {
    return boost::leaf::new_error(error{code, std::move(message), std::move(remedy)});
}

/// Runs @p function, which returns `result<T>`, and moves its error out of LEAF.
/// @param function callable without arguments
/// @param failure receives the error when the call fails
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
