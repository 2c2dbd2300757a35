#include "cli/change.hpp"
#include "cli/command.hpp"
#include "transport/http_server.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>
#include <gflags/gflags.h>

#include <deque>
#include <mutex>

DECLARE_int32(timeout_ms);

using namespace hornbeamrail;
using namespace hornbeamrail::cli;

namespace {

struct scripted_answer {
    int status = 0; ///< HTTP status; 0 closes the connection without an answer
    std::string body;
};

/// An admin port that answers the requests with a list of scripted answers, in order. The last answer
/// repeats.
class scripted_node {
public:
    scripted_node(io_threads& threads, std::deque<scripted_answer> answers) : script(std::move(answers)) {
        this->server = http_server::make(threads, {.address = {"127.0.0.1", 0}},
                                         [this](const http_request& request, const http_reply& reply) {
                                             this->handle(request, reply);
                                         })
                           .value();
    }

    [[nodiscard]] endpoint address() const { return this->server->address(); }

    std::vector<std::string> received() {
        const std::lock_guard lock(this->mutex);
        return this->requests;
    }

private:
    void handle(const http_request& request, const http_reply& reply) {
        const std::lock_guard lock(this->mutex);
        this->requests.push_back(request.method + " " + request.target + " " + request.body);
        const auto answer = this->script.front();
        if (this->script.size() > 1) {
            this->script.pop_front();
        }
        if (answer.status == 0) {
            reply.abandon();
        } else {
            reply.send({.status = answer.status, .headers = {}, .body = answer.body});
        }
    }

    std::mutex mutex;
    std::deque<scripted_answer> script;
    std::vector<std::string> requests;
    std::unique_ptr<http_server> server;
};

struct change_fixture {
    change_fixture() { FLAGS_timeout_ms = 2000; }
    ~change_fixture() { this->threads.stop(); }

    scripted_node& add_node(std::deque<scripted_answer> answers) {
        this->nodes.push_back(std::make_unique<scripted_node>(this->threads, std::move(answers)));
        this->addresses.push_back(this->nodes.back()->address());
        return *this->nodes.back();
    }

    change_report send() {
        admin_client client(this->addresses, std::chrono::milliseconds(500));
        return send_change(client, "change-1", zone_out_record{.zone = "a"}).value();
    }

    io_threads threads{1};
    std::vector<std::unique_ptr<scripted_node>> nodes;
    std::vector<endpoint> addresses;
};

const scripted_answer pending{202, R"({"phase":"pending","offset":0,"unconfirmed_regions":["north"]})"};
const scripted_answer accepted{200, R"({"phase":"accepted","offset":12,"reason":""})"};
const scripted_answer rejected{409, R"({"phase":"rejected","offset":12,"reason":"conflict: version 9"})"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(change_suite, change_fixture)

// Checks the requests that the client sends and that it polls until the change is accepted.
BOOST_AUTO_TEST_CASE(pending_change_is_followed_until_accepted) {
    auto& node = this->add_node({pending, pending, accepted});
    const auto report = this->send();
    BOOST_CHECK(report.outcome == change_result::accepted);
    BOOST_TEST(report.offset == 12);
    const auto received = node.received();
    BOOST_REQUIRE(received.size() == 3);
    BOOST_TEST(received[0] == "POST /admin/changes "
                              R"({"change_id":"change-1","record":{"kind":"zone_out","body":{"zone":"a"}}})");
    BOOST_TEST(received[1] == "GET /admin/changes/change-1 ");
    BOOST_TEST(print_change(report, "zone") == exit_done);
}

BOOST_AUTO_TEST_CASE(rejection_names_the_reason) {
    this->add_node({rejected});
    const auto report = this->send();
    BOOST_CHECK(report.outcome == change_result::rejected);
    BOOST_TEST(report.reason == "conflict: version 9");
    BOOST_TEST(print_change(report, "zone") == exit_refused);
}

// If a node fails, the change is sent to the next node under the same id.
BOOST_AUTO_TEST_CASE(next_node_is_tried_when_one_does_not_answer) {
    auto& broken = this->add_node({{0, ""}});
    auto& full = this->add_node({{503, R"({"error":"queue_full","message":"m","remedy":"r"})"}});
    auto& good = this->add_node({pending, accepted});
    this->addresses.insert(this->addresses.begin(), endpoint{"127.0.0.1", 1});
    BOOST_CHECK(this->send().outcome == change_result::accepted);
    BOOST_TEST(broken.received().size() == 1U);
    BOOST_TEST(full.received().size() == 1U);
    BOOST_TEST(good.received().size() == 2U);
    BOOST_TEST(broken.received()[0] == good.received()[0]);
}

// A node that was replaced does not know the change. Without a second post the client would wait
// until its timeout.
BOOST_AUTO_TEST_CASE(unknown_change_is_posted_again_under_its_id) {
    auto& node = this->add_node({pending, {404, R"({"phase":"unknown"})"}, accepted});
    BOOST_CHECK(this->send().outcome == change_result::accepted);
    const auto received = node.received();
    BOOST_REQUIRE(received.size() == 3);
    BOOST_TEST(received[2] == received[0]);
}

// An unknown outcome must not be reported as done or as refused.
BOOST_AUTO_TEST_CASE(undecided_changes_end_with_the_exit_code_for_unknown) {
    FLAGS_timeout_ms = 300;
    this->add_node({pending});
    const auto report = this->send();
    BOOST_CHECK(report.outcome == change_result::pending);
    BOOST_REQUIRE(report.unconfirmed_regions.size() == 1);
    BOOST_TEST(report.unconfirmed_regions[0] == "north");
    BOOST_TEST(print_change(report, "zone") == exit_unknown);
    this->addresses = {endpoint{"127.0.0.1", 1}};
    const auto undelivered = this->send();
    BOOST_CHECK(undelivered.outcome == change_result::unreachable);
    BOOST_TEST(print_change(undelivered, "zone") == exit_unknown);
}

// The client must not repeat a change that the node refuses as malformed.
BOOST_AUTO_TEST_CASE(malformed_change_is_not_repeated) {
    auto& node = this->add_node({{400, R"({"error":"bad_request","message":"m","remedy":"r"})"}});
    admin_client client(this->addresses, std::chrono::milliseconds(500));
    error failure;
    BOOST_TEST(
        !value_or_error([&] { return send_change(client, "c", zone_out_record{.zone = "a"}); }, failure));
    BOOST_CHECK(failure.code == errc::invalid_argument);
    BOOST_TEST(failure.remedy == "r");
    BOOST_TEST(!value_or_error([&] { return send_change(client, "../x", zone_out_record{}); }, failure));
    BOOST_TEST(node.received().size() == 1U);
}

// An answer without JSON does not come from an admin port and is treated as no answer.
BOOST_AUTO_TEST_CASE(answer_without_json_is_treated_as_no_answer) {
    this->add_node({{200, "<html>"}});
    admin_client client(this->addresses, std::chrono::milliseconds(500));
    error failure;
    BOOST_TEST(!value_or_error([&] { return fetch(client, "/admin/status"); }, failure).has_value());
    BOOST_CHECK(failure.code == errc::unreachable);
}

BOOST_AUTO_TEST_SUITE_END()
