#pragma once

#include "hornbeamrail/error.hpp"
#include "hornbeamrail/node_settings.hpp"
#include "protocol/platform.hpp"
#include "transport/http_message.hpp"
#include "transport/io_threads.hpp"
#include "transport/tls_settings.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hornbeamrail {

enum class call_status {
    answered, ///< a complete response with the expected correlation id
    unsent,   ///< no byte of the request was written: it did not run
    unknown,  ///< bytes were written but no valid response arrived: the request may have run
};

/// Outcome of one HTTP call.
struct http_call_result {
    call_status status = call_status::unsent;
    http_response response; ///< set if `answered`
    std::string failure;    ///< reason, unless `answered`
};

/// One HTTP request and where to send it.
struct http_call {
    endpoint target;
    http_request request;
    std::chrono::milliseconds timeout{1000}; ///< for the whole call, including the wait for a connection
    /// If not empty: sent as `Correlation-Id`. A response with another id is discarded and its connection
    /// closed.
    std::string correlation_id;
    /// The call fails unsent if no byte was written before this time.
    boot_time send_before = boot_time::max();
};

struct http_client_options {
    std::size_t max_connections = 64; ///< per endpoint
    std::size_t max_waiting = 1024;   ///< calls per endpoint that wait for a connection
    std::uint32_t max_head_bytes = 16 * 1024;
    std::uint64_t max_body_bytes = 16 * 1024 * 1024;
    std::chrono::milliseconds idle_timeout{20000};
    std::chrono::milliseconds sweep_interval{10}; ///< between checks of call deadlines
};

/// Counts since the start of a pool.
struct http_client_counters {
    std::int64_t answered = 0;
    std::int64_t unsent = 0;
    std::int64_t unknown = 0;
    std::int64_t mismatched = 0; ///< responses discarded because of a wrong correlation id
};

/// HTTP/1.1 client with keep-alive connections. Thread-safe.
class http_client_pool {
public:
    /// Receives the result exactly once: on an I/O thread or, when the queue of waiting calls is full, inside
    /// `call`. Not called if the threads are stopped first.
    using callback = std::function<void(http_call_result)>;

    /// @param threads runs the connections; must outlive the pool
    http_client_pool(io_threads& threads, http_client_options options);
    ~http_client_pool();

    /// Starts a call; the result goes to @p done. The request is not retried.
    void call(http_call request, callback done);

    /// @return connections to @p target that are open or being opened
    [[nodiscard]] std::size_t open_connections(const endpoint& target) const;

    [[nodiscard]] http_client_counters counters() const;

private:
    struct impl;
    std::shared_ptr<impl> self;
};

} // namespace hornbeamrail
