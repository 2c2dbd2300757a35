#pragma once

#include "coordination/core_options.hpp"
#include "hornbeamrail/error.hpp"
#include "hornbeamrail/node_settings.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <memory>

namespace hornbeamrail {

/// Options of an `entry_node`.
struct entry_node_options {
    node_settings settings;
    std::uint64_t seed = 0; ///< 0 selects a random seed
    core_timings timings;
    /// How long idle connections of callers stay open in a graceful stop. Requests that arrive during this
    /// time are refused with `stopping`, so that a caller or load balancer never sees a request cut off.
    std::chrono::milliseconds stop_idle_grace{1000};
    /// Maximum wait for the platform's log to record that the node left, once its work is done.
    std::chrono::milliseconds leave_timeout{10000};
};

/// An entry node: servers, worker threads and timers around `node_runtime`. Thread-safe.
class entry_node {
public:
    /// Binds the three addresses and starts the node.
    /// @return the running node, or `errc::io_failed` when an address or a TLS file cannot be used
    static result<std::unique_ptr<entry_node>> make(entry_node_options options);

    /// Stops immediately, without a graceful stop, unless `wait_stopped` has returned true.
    ~entry_node();

    /// @return the bound addresses, with the ports that the system assigned for port 0
    [[nodiscard]] endpoint caller_address() const;
    [[nodiscard]] endpoint admin_address() const;
    [[nodiscard]] endpoint peer_address() const;

    /// @return whether the node serves requests: registered, with a fresh view and not stopping
    [[nodiscard]] bool healthy() const;

    /// Begins a graceful stop: the health check fails, requests in progress are completed, grants and claim
    /// partitions are released, and the node leaves the fleet.
    void begin_stop();

    /// @return whether the graceful stop ended within @p timeout
    [[nodiscard]] bool wait_stopped(std::chrono::milliseconds timeout);

    /// Reads the TLS files again.
    /// @return `errc::io_failed` when a file cannot be used; the current identity is then kept
    result<void> reload_certificates();

    /// @return CPU time used by the worker threads of the node
    [[nodiscard]] std::chrono::microseconds cpu_time() const;

    /// @return the documents of the admin port
    [[nodiscard]] boost::json::value status() const;
    [[nodiscard]] boost::json::value dump() const;
    [[nodiscard]] boost::json::value metrics() const;

private:
    struct impl;
    explicit entry_node(std::shared_ptr<impl> state) : self(std::move(state)) {}
    std::shared_ptr<impl> self;
};

} // namespace hornbeamrail
