#pragma once

#include "node/dispatcher.hpp"
#include "transport/http_message.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hornbeamrail {

/// Routes of the callers' HTTP interface.
enum class caller_route { service_request, tasks, task, epoch, health, unknown };

/// A route with the name from its path.
struct parsed_route {
    caller_route route = caller_route::unknown;
    std::string_view name; ///< service or task id; points into the target
};

/// @param target the path of a request; must outlive the result
/// @return the route; `unknown` when no route matches
parsed_route parse_caller_route(std::string_view target);

/// Reads the headers of a request for a service.
/// @param service name from the path
/// @param fallback_id id of an idempotent request without one
/// @return the request, or the refusal `bad_request`
std::variant<incoming_request, refusal>
read_incoming_request(std::string_view service, const http_request& request, const std::string& fallback_id);

/// @return SHA-256 of the key in `Authorization: Bearer <key>`, or `nullopt` without a valid header
std::optional<std::string> key_hash_of(const http_headers& headers);

/// @return the refusal as an HTTP answer with its `Outcome` and, for 429, `Retry-After`
http_response to_response(const refusal& answer);

/// @return the answer of an executor without the headers that are specific to the connection between node and
///         executor
http_response to_caller_response(http_response from_executor);

} // namespace hornbeamrail
