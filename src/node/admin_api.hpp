#pragma once

#include "node/node_runtime.hpp"
#include "transport/http_message.hpp"
#include "transport/http_server.hpp"

#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace hornbeamrail {

/// The admin port: documents about the node and changes by operators.
class admin_api {
public:
    /// @param runtime must outlive the API
    explicit admin_api(node_runtime& served) : runtime(served) {}

    void handle(const http_request& request, const http_reply& reply);

    /// @return the fleet as this node sees it
    [[nodiscard]] boost::json::value status() const;
    /// @return what taking a zone out would do; see `drill_document`
    [[nodiscard]] boost::json::value drill(std::string_view zone) const;
    /// @return the full state of both cores; holds no keys
    [[nodiscard]] boost::json::value dump() const;

    /// Gives the counters of the node's servers for the metrics.
    std::function<boost::json::value()> transport_counters;

    [[nodiscard]] boost::json::value metrics() const;

private:
    struct view_parts;

    [[nodiscard]] view_parts read_parts() const;
    http_response post_change(const http_request& request);
    [[nodiscard]] http_response change_answer(const std::string& change_id) const;

    node_runtime& runtime;
};

} // namespace hornbeamrail
