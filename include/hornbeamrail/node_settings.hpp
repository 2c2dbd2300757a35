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

/// An IP address and port. Names are not resolved: processes talk by IP numbers.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// @param text "127.0.0.1:8080" or "[::1]:8080"
/// @return the endpoint, or nothing when the address is not an IP number or the port is not 0..65535
std::optional<endpoint> parse_endpoint(std::string_view text);

/// @return "127.0.0.1:8080" or "[::1]:8080"
std::string to_string(const endpoint& value);

/// PEM files of a TLS identity. All three or none are set.
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
    endpoint caller_address; ///< HTTP for callers
    endpoint peer_address;   ///< Thrift for other entry nodes
    endpoint admin_address;  ///< HTTP for operators
    endpoint platform;       ///< the platform's log, VM list and VM operations
    std::vector<endpoint> peer_seeds;
    std::int64_t worker_threads = 2;
    std::int64_t max_body_bytes = 1024 * 1024;
    std::optional<tls_files> caller_tls;
    std::optional<tls_files> peer_tls;
};

/// Reads and checks node settings.
/// @param document the parsed JSON document
/// @param diagnostics receives every finding
/// @return the settings; usable only if @p diagnostics stayed empty
node_settings read_node_settings(const boost::json::value& document, std::vector<diagnostic>& diagnostics);

/// @return the settings, or `errc::parse_failed` / `errc::invalid_argument` with the first finding
result<node_settings> parse_node_settings(std::string_view text);

} // namespace hornbeamrail
