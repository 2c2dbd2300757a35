#pragma once

#include "hornbeamrail/error.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

struct diagnostic;

/// A numeric IP address and port. Host names are not resolved.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses an endpoint.
/// @param text "127.0.0.1:8080" or "[::1]:8080"
/// @return the endpoint, or nothing when the address is not numeric or the port is not in 0..65535
std::optional<endpoint> parse_endpoint(std::string_view text);

/// @return "127.0.0.1:8080" or "[::1]:8080"
std::string to_string(const endpoint& value);

/// Paths of the PEM files of a TLS identity. Either all three are set or none.
struct tls_files {
    std::string certificate;
    std::string private_key;
    std::string ca;
};

/// Settings of one entry node.
struct node_settings {
    std::string node_id;
    std::string zone;
    std::string region;
    endpoint caller_address;          ///< HTTP listener for callers
    endpoint peer_address;            ///< Thrift listener for other entry nodes
    endpoint admin_address;           ///< HTTP listener for operators
    endpoint platform;                ///< server of the platform's log, VM list and VM operations
    std::vector<endpoint> peer_seeds; ///< peers to contact before the node knows the others
    std::int64_t worker_threads = 2;
    std::int64_t max_body_bytes = 1024 * 1024;
    std::optional<tls_files> caller_tls;
    std::optional<tls_files> peer_tls;
};

/// Reads and checks node settings.
/// @param document the parsed JSON document
/// @param diagnostics receives every problem with its JSON path and remedy
/// @return the settings; usable only if @p diagnostics stayed empty
node_settings read_node_settings(const boost::json::value& document, std::vector<diagnostic>& diagnostics);

/// Reads and checks node settings.
/// @param text JSON
/// @return the settings, or `errc::parse_failed` / `errc::invalid_argument` with the first problem
result<node_settings> parse_node_settings(std::string_view text);

} // namespace hornbeamrail
