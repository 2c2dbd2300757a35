#pragma once

#include "hornbeamrail/error.hpp"
#include "hornbeamrail/node_settings.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail::cli {

/// Response of the admin port.
struct admin_answer {
    int status = 0; ///< HTTP status code
    boost::json::value body;
};

/// Synchronous client of the admin port of entry nodes. Not thread-safe.
class admin_client {
public:
    /// @param nodes addresses of the admin ports, not empty; tried in turn, starting with the node that
    ///     answered last
    /// @param timeout limit for one exchange with one node, including the connection setup
    admin_client(std::vector<endpoint> nodes, std::chrono::milliseconds timeout);

    /// Sends a GET request.
    /// @param target path, for example "/admin/status"
    /// @return the first answer with a status below 500; otherwise the last answer; `errc::unreachable` if no
    ///     node answered
    result<admin_answer> get(std::string_view target);

    /// Sends a POST request with a JSON body. A node that does not answer may have processed the request, so
    /// the request must be idempotent: @p body carries a change id.
    /// @return as for `get`
    result<admin_answer> post(std::string_view target, const boost::json::value& body);

private:
    result<admin_answer> exchange(std::string_view method, std::string_view target, const std::string& body);

    std::vector<endpoint> nodes;
    std::chrono::milliseconds timeout;
    std::size_t preferred_index = 0;
};

/// Creates a client from the flags --node and --timeout_ms.
/// @return the client, or `errc::invalid_argument` if a node is not an IP address and port or the timeout is
///     not positive
result<admin_client> make_admin_client();

/// Fetches a document from the admin port.
/// @return the body of an answer with status 200, or the error that the node reported
result<boost::json::value> fetch(admin_client& client, std::string_view target);

/// Converts the body {"error","message","remedy"} of a failed request. Fields that are missing get defaults.
error error_of(const admin_answer& answer);

} // namespace hornbeamrail::cli
