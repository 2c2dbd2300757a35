#pragma once

#include "fakes/platform_server.hpp"
#include "node/entry_node.hpp"
#include "protocol/digest.hpp"
#include "raw_socket.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include <vector>

namespace hornbeamrail {

namespace json = boost::json;

inline constexpr std::string_view key = "key-of-the-team";

inline fleet_config small_fleet() {
    return {
        .site = "test",
        .zones = {{.name = "a", .region = "r"}, {.name = "b", .region = "r"}, {.name = "c", .region = "r"}},
        .pools = {{.name = "p", .vms = 3}, {.name = "spare", .vms = 1, .spare = true}},
        .services = {{.name = "s", .pool = "p"}},
        .teams = {{.name = "t", .share = 100, .upper_limit = 24, .services = {"s"}}}};
}

struct sent_request {
    std::string body = "hello";
    std::string extra_headers = {};
    std::string presented_key = std::string(key);
};

/// Three entry nodes on loopback sockets, connected to a fake platform.
class site_fixture {
public:
    site_fixture() {
        this->platform = require_value([&] {
            return platform_server::make(this->platform_threads,
                                         {.fleet = std::make_shared<const fleet_config>(small_fleet())});
        });
        this->platform->publish_fleet(small_fleet(), std::string(key));
        for (const std::string zone : {"a", "b", "c"}) {
            this->nodes.push_back(require_value([&] {
                return entry_node::make({.settings = {.node_id = "node-" + zone,
                                                      .zone = zone,
                                                      .region = "r",
                                                      .caller_address = {"127.0.0.1", 0},
                                                      .peer_address = {"127.0.0.1", 0},
                                                      .admin_address = {"127.0.0.1", 0},
                                                      .platform = this->platform->address()},
                                         .stop_idle_grace = test_timeout});
            }));
        }
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            BOOST_REQUIRE(eventually([&] { return this->submit(index).status == 200; }));
        }
    }
    ~site_fixture() {
        this->nodes.clear();
        this->platform_threads.stop();
    }
    site_fixture(const site_fixture&) = delete;
    site_fixture& operator=(const site_fixture&) = delete;

    raw_socket connect(std::size_t node) { return raw_socket::connect(this->nodes[node]->caller_address()); }

    static http_answer submit(raw_socket& caller, const sent_request& request = {}) {
        caller.send("POST /v1/services/s/requests HTTP/1.1\r\nAuthorization: Bearer " +
                    request.presented_key + "\r\n" + request.extra_headers +
                    "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body);
        return read_answer(caller);
    }

    http_answer submit(std::size_t node, const sent_request& request = {}) {
        auto caller = this->connect(node);
        return submit(caller, request);
    }

    http_answer admin(std::size_t node, const std::string& method, const std::string& target,
                      const std::string& body = "") {
        auto connection = raw_socket::connect(this->nodes[node]->admin_address());
        connection.send(method + " " + target +
                        " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return read_answer(connection);
    }

    /// Submits a change through a node and waits until it is accepted or rejected.
    /// @return the HTTP status of the last answer: 200 accepted, 409 rejected
    int change(std::size_t node, std::string_view kind, json::object body) {
        const auto id = random_uuid();
        const auto posted =
            this->admin(node, "POST", "/admin/changes",
                        json::serialize(json::object{
                            {"change_id", id}, {"record", {{"kind", kind}, {"body", std::move(body)}}}}));
        auto status = posted.status;
        BOOST_TEST(eventually([&] {
            if (status == 202) {
                status = this->admin(node, "GET", "/admin/changes/" + id).status;
            }
            return status != 202;
        }));
        return status;
    }

    io_threads platform_threads{2};
    std::unique_ptr<platform_server> platform;
    std::vector<std::unique_ptr<entry_node>> nodes;
};

} // namespace hornbeamrail
