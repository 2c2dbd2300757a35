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

/// The way back to the caller of one request. Copies share the one answer; the first `send` counts. When all
/// copies are gone without an answer, the caller gets status 500 with outcome `unknown`.
class http_reply {
public:
    explicit http_reply(std::shared_ptr<detail::http_exchange> shared) : exchange(std::move(shared)) {}

    /// Gives the answer. Thread-safe. On a worker the connection goes on inside the call, up to the handler
    /// of its next request, so no lock may be held that a handler takes.
    void send(http_response response) const;

    /// Closes the connection without an answer, so that the caller learns nothing about the outcome.
    void abandon() const;

    /// Registers a function that runs (on a worker) if the caller closes its connection before the answer.
    /// At most one; must be called before the handler returns and before `send`. It may still run shortly
    /// after the answer was given.
    void on_caller_gone(std::function<void()> function) const;

private:
    std::shared_ptr<detail::http_exchange> exchange;
};

/// Handles a request. May answer at once or later, from any thread.
using http_handler = std::function<void(http_request, http_reply)>;

struct http_server_options {
    endpoint address; ///< port 0 takes a free port
    std::uint32_t max_head_bytes = 8 * 1024;
    std::uint64_t max_body_bytes = 1024 * 1024;
    std::size_t max_connections = 10000;
    std::chrono::milliseconds request_timeout{10000}; ///< from the first byte of a request to its last
    std::chrono::milliseconds idle_timeout{60000};    ///< between requests of a connection
    std::chrono::milliseconds write_timeout{10000};   ///< to write an answer
    std::shared_ptr<tls_settings> tls;                ///< null: plain TCP
    /// Adds headers to the errors that the server answers by itself; may be empty.
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
    std::int64_t over_capacity = 0;    ///< connections refused at `max_connections`
    std::int64_t handshake_failed = 0; ///< TLS
    std::int64_t write_failed = 0;     ///< answers that did not reach the caller whole
    std::int64_t open_connections = 0; ///< now
    std::int64_t active_requests = 0;  ///< now: read whole and not answered yet
};

/// HTTP/1.1 server with keep-alive: one coroutine per connection. Requests on one connection are handled one
/// after the other.
class http_server {
public:
    /// Binds the address and starts to accept.
    /// @param threads runs the connections; must outlive the server
    /// @return the server, or `errc::io_failed` when the address cannot be bound
    static result<std::unique_ptr<http_server>> make(io_threads& threads, http_server_options options,
                                                     http_handler handler);
    ~http_server();

    /// @return the bound address with its actual port
    [[nodiscard]] endpoint address() const;

    /// Begins a graceful stop: accepts no further connection, answers every request that arrives on the open
    /// ones with `Connection: close`, and closes connections that stay idle for @p idle_grace.
    void begin_stop(std::chrono::milliseconds idle_grace);

    /// Waits until every connection is closed.
    /// @return false when some are still open after @p cap
    [[nodiscard]] bool wait_stopped(std::chrono::milliseconds cap);

    [[nodiscard]] http_server_counters counters() const;

private:
    struct impl;
    explicit http_server(std::shared_ptr<impl> state) : self(std::move(state)) {}
    std::shared_ptr<impl> self;
};

} // namespace hornbeamrail
