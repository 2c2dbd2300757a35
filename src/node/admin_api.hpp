#pragma once

#include "node/node_runtime.hpp"
#include "transport/http_message.hpp"
#include "transport/http_server.hpp"

#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace hornbeamrail {

/// The HTTP interface of the admin port: documents about the node and changes by operators. Thread-safe once
/// `transport_counters` is set.
class admin_api {
public:
    /// @param node must outlive the API
    explicit admin_api(node_runtime& node) : runtime(node) {}

    /// Answers one request of the admin port.
    void handle(const http_request& request, const http_reply& reply);

    /// @return the fleet as this node sees it
    [[nodiscard]] boost::json::value status() const;
    /// @return the predicted effect of taking a zone out; see `drill_document`
    [[nodiscard]] boost::json::value drill(std::string_view zone) const;
    /// @return the full state of core, dispatcher and task manager; contains no keys
    [[nodiscard]] boost::json::value dump() const;

    /// Returns the counters of the node's servers for `metrics`. May be empty.
    std::function<boost::json::value()> transport_counters;

    /// @return all counters of the node; updates the gauges first
    [[nodiscard]] boost::json::value metrics() const;

private:
    struct view_snapshot;

    [[nodiscard]] view_snapshot read_snapshot() const;
    http_response post_change(const http_request& request);
    [[nodiscard]] http_response change_answer(const std::string& change_id) const;

    node_runtime& runtime;
};

} // namespace hornbeamrail
