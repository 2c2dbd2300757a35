#include "transport/http_server.hpp"

#include "raw_socket.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace hornbeamrail;

namespace {

/// A server that responds with the request's body. Requests that arrive while `delays_responses` is set
/// receive their response from `send_delayed()`.
class server_fixture {
public:
    ~server_fixture() { this->threads.stop(); }

    void start(http_server_options options = {}) {
        options.address = {"127.0.0.1", 0};
        this->server = require_value([&] {
            return http_server::make(this->threads, std::move(options),
                                     [this](const http_request& request, const http_reply& reply) {
                                         this->handle(request, reply);
                                     });
        });
    }

    raw_socket connect() { return raw_socket::connect(this->server->address()); }

    /// Sends the delayed responses.
    void send_delayed() {
        std::vector<std::pair<http_reply, std::string>> ready;
        {
            const std::lock_guard lock(this->mutex);
            this->delays_responses = false;
            ready.swap(this->delayed_responses);
        }
        for (auto& [reply, body] : ready) {
            reply.send({.status = 200, .headers = {}, .body = body});
        }
    }

    std::size_t delayed_count() {
        const std::lock_guard lock(this->mutex);
        return this->delayed_responses.size();
    }

    io_threads threads{2};
    std::unique_ptr<http_server> server;
    bool delays_responses = false;
    std::atomic<bool> caller_disconnected{false};

private:
    void handle(const http_request& request, const http_reply& reply) {
        const std::lock_guard lock(this->mutex);
        if (this->delays_responses) {
            reply.on_caller_gone([this] { this->caller_disconnected = true; });
            this->delayed_responses.emplace_back(reply, request.body);
            return;
        }
        reply.send({.status = 200, .headers = {}, .body = request.body});
    }

    std::mutex mutex;
    std::vector<std::pair<http_reply, std::string>> delayed_responses;
};

std::string post(std::string_view body) {
    return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string(body);
}

bool starts_with_status(const std::string& answer, int status) {
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_server_suite, server_fixture)

// Guards against a connection that closes or mixes up responses between requests, also when they are
// pipelined.
BOOST_AUTO_TEST_CASE(connection_carries_several_requests) {
    this->start();
    auto caller = this->connect();
    caller.send(post("first") + post("second"));
    BOOST_TEST(caller.receive_until("first").ends_with("\r\n\r\nfirst"));
    BOOST_TEST(caller.receive_until("second").ends_with("\r\n\r\nsecond"));
    caller.send(post("third"));
    BOOST_TEST(caller.receive_until("third").ends_with("\r\n\r\nthird"));
    BOOST_TEST(this->server->counters().accepted == 1);
    BOOST_TEST(this->server->counters().requests == 3);
}

// Guards against losing a body that arrives in chunks or byte by byte.
BOOST_AUTO_TEST_CASE(chunked_and_slowly_sent_bodies_are_complete) {
    this->start();
    auto caller = this->connect();
    const std::string request =
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (const char byte : request) {
        caller.send({&byte, 1});
    }
    BOOST_TEST(caller.receive_until("abcde").ends_with("\r\n\r\nabcde"));
}

// Guards against unbounded memory use for a request, and against error responses without the documented body.
BOOST_AUTO_TEST_CASE(limits_have_their_own_errors) {
    this->start({.max_head_bytes = 1024, .max_body_bytes = 100});
    const std::vector<std::pair<std::string, int>> cases{
        {"GET / HTTP/1.1\r\nX: " + std::string(5000, 'a') + "\r\n\r\n", 431},
        {"GET / HTTP/1.1\r\nX: " + std::string(5000, 'a'), 431},
        {post(std::string(101, 'b')), 413},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + std::string(255, 'b') + "\r\n", 413},
        {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
        {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
        {"hello\r\n\r\n", 400},
        {"GET / HTTP/3.0\r\n\r\n", 400},
        {"BREW / HTTP/1.1\r\n\r\n", 405},
        {"HEAD / HTTP/1.1\r\n\r\n", 405},
    };
    for (const auto& [request, status] : cases) {
        auto caller = this->connect();
        caller.send(request);
        const auto answer = caller.receive_all();
        BOOST_TEST(starts_with_status(answer, status), request.substr(0, 60) << " -> " << answer);
        BOOST_TEST(answer.find("\"outcome\":\"not_run\"") != std::string::npos);
        BOOST_TEST(answer.find("Outcome: not_run") != std::string::npos);
    }
    const auto counters = this->server->counters();
    BOOST_TEST(counters.head_too_large == 2);
    BOOST_TEST(counters.body_too_large == 2);
    BOOST_TEST(counters.bad_request == 7);
    BOOST_TEST(counters.wrong_method == 2);
    BOOST_TEST(counters.requests == 0);
}

// Guards against slow senders that keep connections open forever.
BOOST_AUTO_TEST_CASE(slow_sender_receives_an_error_and_is_closed) {
    this->start({.request_timeout = 200ms});
    auto caller = this->connect();
    caller.send("POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    BOOST_TEST(starts_with_status(caller.receive_all(), 408));
    BOOST_TEST(this->server->counters().slow_sender == 1);
}

// Guards against idle connections that stay open forever, and against an error response without a request.
BOOST_AUTO_TEST_CASE(idle_connection_is_closed_without_an_answer) {
    this->start({.idle_timeout = 200ms});
    auto caller = this->connect();
    BOOST_TEST(caller.receive_all() == "");
    BOOST_TEST(this->server->counters().slow_sender == 0);
}

// Guards against exhausting memory with too many connections.
BOOST_AUTO_TEST_CASE(connections_above_the_limit_are_closed) {
    this->start({.max_connections = 2});
    auto first = this->connect();
    first.send(post("one"));
    first.receive_until("one");
    auto second = this->connect();
    second.send(post("two"));
    second.receive_until("two");
    auto third = this->connect();
    BOOST_TEST(third.receive_all() == "");
    BOOST_TEST(this->server->counters().over_capacity == 1);
    first.close();
    BOOST_TEST(eventually([&] { return this->server->counters().open_connections == 1; }));
    auto fourth = this->connect();
    fourth.send(post("four"));
    BOOST_TEST(fourth.receive_until("four").ends_with("four"));
}

// Guards against continuing work after the caller has disconnected.
BOOST_AUTO_TEST_CASE(handler_is_notified_when_the_caller_disconnects) {
    this->start();
    this->delays_responses = true;
    auto caller = this->connect();
    caller.send(post("held"));
    BOOST_REQUIRE(eventually([&] { return this->delayed_count() == 1; }));
    BOOST_TEST(!this->caller_disconnected);
    caller.close();
    BOOST_TEST(eventually([&] { return this->caller_disconnected.load(); }));
    this->send_delayed();
    BOOST_TEST(eventually([&] { return this->server->counters().open_connections == 0; }));
}

// Guards against a caller that waits forever because a handler sent no response.
BOOST_AUTO_TEST_CASE(discarded_reply_becomes_an_error_response) {
    this->server = require_value([&] {
        return http_server::make(this->threads, {.address = {"127.0.0.1", 0}},
                                 [](const http_request&, const http_reply&) {});
    });
    auto caller = this->connect();
    caller.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    const auto answer = caller.receive_all();
    BOOST_TEST(starts_with_status(answer, 500));
    BOOST_TEST(answer.find("Outcome: unknown") != std::string::npos);
}

// Guards against a graceful stop that interrupts a request: one in progress, one partly sent, and one sent on
// an open connection after the stop began must all receive a complete response.
BOOST_AUTO_TEST_CASE(graceful_stop_cuts_nothing) {
    this->start();
    this->delays_responses = true;
    auto running = this->connect();
    running.send(post("running"));
    auto sending = this->connect();
    sending.send("POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf-");
    auto idle = this->connect();
    auto unaccepted = this->connect();
    BOOST_REQUIRE(eventually(
        [&] { return this->delayed_count() == 1 && this->server->counters().open_connections == 4; }));
    this->server->begin_stop(test_timeout);
    sending.send("sent");
    idle.send(post("late"));
    BOOST_REQUIRE(eventually([&] { return this->delayed_count() == 3; }));
    BOOST_TEST(!this->server->wait_stopped(0ms));
    this->send_delayed();
    for (auto* caller : {&running, &sending, &idle}) {
        const auto answer = caller->receive_all();
        BOOST_TEST(starts_with_status(answer, 200));
        BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
    }
    unaccepted.close();
    BOOST_TEST(this->server->wait_stopped(test_timeout));
    BOOST_TEST(this->server->counters().write_failed == 0);
}

// Guards against a stop that waits forever for idle connections.
BOOST_AUTO_TEST_CASE(graceful_stop_ends_idle_connections) {
    this->start();
    auto idle = this->connect();
    idle.send(post("one"));
    idle.receive_until("one");
    this->server->begin_stop(100ms);
    BOOST_TEST(idle.receive_all() == "");
    BOOST_TEST(this->server->wait_stopped(test_timeout));
}

// Guards against closing new connections as expired: between its admission and its first read a connection
// had a deadline of zero, and the sweep closed it without a response. The window is short (the fault was
// found under the thread sanitizer), so the test opens many connections.
BOOST_AUTO_TEST_CASE(sweep_does_not_close_new_connections) {
    this->start();
    std::atomic<int> unanswered{0};
    std::vector<std::thread> callers;
    const auto end = std::chrono::steady_clock::now() + 2s;
    for (int index = 0; index < 4; ++index) {
        callers.emplace_back([&] {
            while (std::chrono::steady_clock::now() < end) {
                auto caller = this->connect();
                caller.send(post("body"));
                unanswered += starts_with_status(caller.receive_until("body"), 200) ? 0 : 1;
            }
        });
    }
    for (auto& thread : callers) {
        thread.join();
    }
    BOOST_TEST(unanswered == 0);
}

BOOST_AUTO_TEST_SUITE_END()
