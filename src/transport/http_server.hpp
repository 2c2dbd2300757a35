#pragma once

#include "hornbeamrail/error.hpp"
#include "hornbeamrail/node_settings.hpp"
#include "transport/http_message.hpp"
#include "transport/io_threads.hpp"
#include "transport/tls_settings.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace hornbeamrail {

namespace detail {
struct http_exchange;
}

/// Sends the response to one request. Copies share the same response; only the first `send` has an effect.
/// When all copies are destroyed without a response, the caller receives status 500 with outcome `unknown`.
class http_reply {
public:
    explicit http_reply(std::shared_ptr<detail::http_exchange> shared) : exchange(std::move(shared)) {}

    /// Sends the response. Thread-safe. On an I/O thread the connection continues inside the call, up to the
    /// handler of its next request, so the caller must not hold a lock that a handler acquires.
    void send(http_response response) const;

    /// Closes the connection without a response: the outcome is unknown to the caller.
    void abandon() const;

    /// Registers a function that runs on an I/O thread if the caller closes its connection before the
    /// response. At most one; must be called before the handler returns and before `send`. The function may
    /// still run shortly after the response was sent.
    void on_caller_gone(std::function<void()> function) const;

private:
    std::shared_ptr<detail::http_exchange> exchange;
};

/// Handles a request. May respond immediately or later, from any thread.
using http_handler = std::function<void(http_request, http_reply)>;

struct http_server_options {
    endpoint address; ///< port 0 selects a free port
    std::uint32_t max_head_bytes = 8 * 1024;
    std::uint64_t max_body_bytes = 1024 * 1024;
    std::size_t max_connections = 10000;
    std::chrono::milliseconds request_timeout{10000}; ///< from the first byte of a request to its last
    std::chrono::milliseconds idle_timeout{60000};    ///< between requests of a connection
    std::chrono::milliseconds write_timeout{10000};   ///< to write a response
    std::shared_ptr<tls_settings> tls;                ///< null: plain TCP
    /// Adds headers to the error responses that the server itself generates; may be empty.
    std::function<void(http_response&)> decorate_error;
};

/// Counts since the start of a server.
struct http_server_counters {
    std::int64_t accepted = 0;
    std::int64_t requests = 0;
    std::int64_t bad_request = 0;      ///< 400
    std::int64_t wrong_method = 0;     ///< 405
    std::int64_t slow_sender = 0;      ///< 408
    std::int64_t body_too_large = 0;   ///< 413
    std::int64_t head_too_large = 0;   ///< 431
    std::int64_t over_capacity = 0;    ///< connections closed because of `max_connections`
    std::int64_t handshake_failed = 0; ///< TLS
    std::int64_t write_failed = 0;     ///< responses that were not written completely
    std::int64_t open_connections = 0; ///< current number
    std::int64_t active_requests = 0;  ///< now: read completely and not yet answered
};

/// HTTP/1.1 server with keep-alive: one coroutine per connection. Requests on one connection are handled
/// sequentially.
class http_server {
public:
    /// Binds the address and starts accepting connections.
    /// @param threads runs the connections; must outlive the server
    /// @return the server, or `errc::io_failed` when the address cannot be bound
    static result<std::unique_ptr<http_server>> make(io_threads& threads, http_server_options options,
                                                     http_handler handler);
    ~http_server();

    /// @return the bound address with its actual port
    [[nodiscard]] endpoint address() const;

    /// Begins a graceful stop: accepts no new connections, adds `Connection: close` to the response to every
    /// request that arrives on an open one, and closes connections that stay idle for @p idle_grace.
    void begin_stop(std::chrono::milliseconds idle_grace);

    /// Waits until all connections are closed.
    /// @return false when some are still open after @p timeout
    [[nodiscard]] bool wait_stopped(std::chrono::milliseconds timeout);

    [[nodiscard]] http_server_counters counters() const;

private:
    struct impl;
    explicit http_server(std::shared_ptr<impl> state) : self(std::move(state)) {}
    std::shared_ptr<impl> self;
};

} // namespace hornbeamrail
