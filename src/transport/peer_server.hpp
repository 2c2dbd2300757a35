#pragma once

#include "hornbeamrail/error.hpp"
#include "hornbeamrail/node_settings.hpp"
#include "transport/io_threads.hpp"
#include "transport/tls_settings.hpp"

#include "peer_types.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace hornbeamrail {

/// Returns the response to a request of another node. Runs on an I/O thread and must not block.
using peer_handler = std::function<wire::PeerResponse(const wire::PeerRequest&)>;

struct peer_server_options {
    endpoint address; ///< port 0 selects a free port
    std::size_t max_connections = 1024;
    std::chrono::milliseconds frame_timeout{5000}; ///< from the first byte of a frame to its last
    std::chrono::milliseconds idle_timeout{60000}; ///< between frames
    std::shared_ptr<tls_settings> tls;             ///< null: plain TCP
};

/// Counts since the start of a server.
struct peer_server_counters {
    std::int64_t accepted = 0;
    std::int64_t requests = 0;
    /// Frames with an invalid length or body; their connection is closed.
    std::int64_t malformed = 0;
    std::int64_t handshake_failed = 0;
    std::int64_t over_capacity = 0;
};

/// Thrift server for other entry nodes: compact protocol in frames with a 4-byte length. The address is bound
/// exclusively, so a successful bind proves that no earlier process still listens on it.
class peer_server {
public:
    /// @param threads runs the connections; must outlive the server
    /// @return the server, or `errc::io_failed` when the address cannot be bound
    static result<std::unique_ptr<peer_server>> make(io_threads& threads, peer_server_options options,
                                                     peer_handler handler);
    ~peer_server();

    /// @return the bound address with its actual port
    [[nodiscard]] endpoint address() const;

    /// Closes the listener and all connections; responses in progress are still written.
    void stop();

    [[nodiscard]] peer_server_counters counters() const;

private:
    struct impl;
    explicit peer_server(std::shared_ptr<impl> state) : self(std::move(state)) {}
    std::shared_ptr<impl> self;
};

} // namespace hornbeamrail
