#pragma once

#include "hornbeamrail/node_settings.hpp"
#include "transport/io_threads.hpp"
#include "transport/tls_settings.hpp"

#include "peer_types.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hornbeamrail {

struct peer_client_options {
    std::size_t max_connections = 8; ///< per peer
    std::size_t max_waiting = 4096;  ///< calls per peer that wait for a connection
    std::chrono::milliseconds idle_timeout{20000};
    std::shared_ptr<tls_settings> tls; ///< null: plain TCP
};

/// Client for calls to other entry nodes. Thread-safe.
class peer_client {
public:
    /// Receives the response, or nothing and the reason of the failure. Called exactly once: on an I/O thread
    /// or, when the request cannot be encoded or the queue of waiting calls is full, inside `call`.
    using callback = std::function<void(std::optional<wire::PeerResponse>, std::string failure)>;

    /// @param threads runs the connections; must outlive the client
    peer_client(io_threads& threads, peer_client_options options);
    ~peer_client();

    /// Sends @p request to @p peer; it is not retried.
    /// @param timeout for the whole call, including the wait for a connection
    void call(const endpoint& peer, const wire::PeerRequest& request, std::chrono::milliseconds timeout,
              callback done);

private:
    struct impl;
    std::shared_ptr<impl> self;
};

} // namespace hornbeamrail
