#pragma once

#include "hornbeamrail/error.hpp"
#include "hornbeamrail/node_settings.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail::cli {

struct admin_answer {
    int status = 0; ///< HTTP status
    boost::json::value body;
};

/// Synchronous client of the admin port of entry nodes. Not thread-safe.
class admin_client {
public:
    /// @param nodes tried in turn, beginning with the one that answered last
    /// @param timeout for connecting and for the whole exchange with one node
    admin_client(std::vector<endpoint> nodes, std::chrono::milliseconds timeout);

    /// @param target path, for example "/admin/status"
    /// @return the first answer below 500, else the last answer, else `errc::unreachable`
    result<admin_answer> get(std::string_view target);

    /// Posts JSON. A node that does not answer may have received the request, so @p body must be safe to
    /// repeat (it carries a change id).
    result<admin_answer> post(std::string_view target, const boost::json::value& body);

private:
    result<admin_answer> exchange(std::string_view method, std::string_view target, const std::string& body);

    std::vector<endpoint> nodes;
    std::chrono::milliseconds timeout;
    std::size_t preferred = 0;
};

/// Makes a client from the flags --node and --timeout_ms.
/// @return the client, or `errc::invalid_argument` when a node is not an IP address and port
result<admin_client> make_admin_client();

/// Fetches a document from the admin port.
/// @return the body of a 200 answer, or the error that the node reported
result<boost::json::value> fetch(admin_client& client, std::string_view target);

/// @return the failure that a refusal body {"error","message","remedy"} describes
error error_of(const admin_answer& answer);

} // namespace hornbeamrail::cli
