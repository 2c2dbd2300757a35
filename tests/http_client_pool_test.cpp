#include "transport/http_client_pool.hpp"

#include "fault_proxy.hpp"
#include "raw_socket.hpp"
#include "transport/http_server.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <iterator>
#include <thread>

using namespace hornbeamrail;

namespace {

class client_fixture {
public:
    ~client_fixture() { this->threads.stop(); }

    http_call_result call(const endpoint& target, std::string correlation_id = "",
                          std::chrono::milliseconds timeout = test_timeout) {
        const auto result = std::make_shared<async_result<http_call_result>>();
        this->pool.call({.target = target,
                         .request = {.method = "POST", .target = "/run", .headers = {}, .body = "body"},
                         .timeout = timeout,
                         .correlation_id = std::move(correlation_id)},
                        [result](http_call_result outcome) { result->set(std::move(outcome)); });
        return result->get();
    }

    io_threads threads{2};
    http_client_pool pool{threads, {.max_connections = 2, .max_waiting = 64}};
};

std::string answer(std::string_view body, std::string_view id) {
    return "HTTP/1.1 200 OK\r\nCorrelation-Id: " + std::string(id) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

/// @return the number of open file descriptors of this process
std::size_t open_descriptors() {
    const std::filesystem::directory_iterator entries("/proc/self/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(http_client_pool_suite, client_fixture)

// Guards against opening a connection for each call.
BOOST_AUTO_TEST_CASE(connection_is_used_again) {
    std::atomic<int> connections{0};
    raw_server server([&](raw_socket& peer, int) {
        ++connections;
        while (!peer.receive_until("body").empty()) {
            peer.send(answer("ok", "id"));
        }
    });
    for (int count = 0; count < 5; ++count) {
        const auto result = this->call(server.address(), "id");
        BOOST_TEST((result.status == call_status::answered), result.failure);
        BOOST_TEST(result.response.body == "ok");
    }
    BOOST_TEST(connections == 1);
    BOOST_TEST(this->pool.open_connections(server.address()) == 1U);
}

// Guards against delivering the response of another request, and against reusing the connection that carried
// it.
BOOST_AUTO_TEST_CASE(crossed_answer_is_dropped_with_its_connection) {
    raw_server server([&](raw_socket& peer, int number) {
        while (!peer.receive_until("body").empty()) {
            peer.send(answer(number == 0 ? "crossed" : "right", number == 0 ? "other" : "mine"));
        }
    });
    const auto mismatched = this->call(server.address(), "mine");
    BOOST_TEST((mismatched.status == call_status::unknown));
    BOOST_TEST(mismatched.response.body == "");
    const auto next = this->call(server.address(), "mine");
    BOOST_TEST((next.status == call_status::answered), next.failure);
    BOOST_TEST(next.response.body == "right");
    BOOST_TEST(this->pool.counters().mismatched == 1);
}

// Guards against delivering an incomplete response, and against reporting `unsent` for a request that was
// written.
BOOST_AUTO_TEST_CASE(incomplete_responses_are_unknown) {
    for (const std::string& incomplete :
         {std::string(), std::string("HTTP/1.1 200 OK\r\nCorr"), answer("long body", "id").substr(0, 60),
          std::string("HTTP/1.1 200 OK\r\nCorrelation-Id: id\r\n\r\nno length"),
          std::string(
              "HTTP/1.1 200 OK\r\nCorrelation-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
          std::string("not http\r\n\r\n")}) {
        raw_server server([&](raw_socket& peer, int) {
            peer.receive_until("body");
            peer.send(incomplete);
        });
        const auto result = this->call(server.address(), "id");
        BOOST_TEST((result.status == call_status::unknown), incomplete);
        BOOST_TEST(result.response.body == "");
    }
}

// Guards against reporting `unknown`, which forbids a retry, when no byte was written.
BOOST_AUTO_TEST_CASE(refused_connection_is_unsent) {
    endpoint closed;
    {
        closed = raw_server([](raw_socket&, int) {}).address();
    }
    BOOST_TEST((this->call(closed).status == call_status::unsent));
}

// A call that waited while its process was suspended must not be sent once its permission has ended.
BOOST_AUTO_TEST_CASE(call_is_not_sent_after_its_time) {
    std::atomic<int> requests{0};
    raw_server server([&](raw_socket& peer, int) {
        while (!peer.receive_until("body").empty()) {
            ++requests;
            peer.send(answer("late", ""));
        }
    });
    const auto result = std::make_shared<async_result<http_call_result>>();
    this->pool.call({.target = server.address(),
                     .request = {.method = "POST", .target = "/move", .headers = {}, .body = "body"},
                     .timeout = test_timeout,
                     .send_before = boot_clock::now()},
                    [result](http_call_result outcome) { result->set(std::move(outcome)); });
    BOOST_TEST((result->get().status == call_status::unsent));
    BOOST_TEST((this->call(server.address()).status == call_status::answered));
    BOOST_TEST(requests.load() == 1);
}

// An order that a cut link holds back must not arrive after its call has timed out: its permission may have
// ended. Guards against a close that leaves the delivery to the system.
BOOST_AUTO_TEST_CASE(timed_out_call_resets_its_connection) {
    const auto reset = std::make_shared<async_result<bool>>();
    raw_server server([reset](raw_socket& peer, int) {
        peer.receive_until("body");
        reset->set(peer.ends_with_reset());
    });
    const auto result = this->call(server.address(), "", std::chrono::milliseconds(50));
    BOOST_TEST((result.status == call_status::unknown));
    BOOST_TEST(reset->get());
}

// Guards against an error in the handler of one answer that ends the process or leaks its connection.
BOOST_AUTO_TEST_CASE(exception_in_a_callback_ends_only_that_callback) {
    raw_server server([&](raw_socket& peer, int) {
        while (!peer.receive_until("body").empty()) {
            peer.send(answer("fine", ""));
        }
    });
    for (int count = 0; count < 8; ++count) {
        this->pool.call({.target = server.address(),
                         .request = {.method = "POST", .target = "/run", .headers = {}, .body = "body"},
                         .timeout = test_timeout},
                        [](http_call_result) { throw std::runtime_error("unexpected"); });
    }
    BOOST_TEST((this->call(server.address()).status == call_status::answered));
    BOOST_TEST(this->pool.open_connections(server.address()) <= 2);
}

// Guards against an error in a periodic function that ends the process or the timer.
BOOST_AUTO_TEST_CASE(periodic_function_goes_on_after_an_exception) {
    const auto done = std::make_shared<async_result<int>>();
    const auto runs = std::make_shared<int>(0);
    this->threads.post([] { throw std::runtime_error("unexpected"); });
    this->threads.repeat(std::chrono::milliseconds(1), [done, runs] {
        if (++*runs == 1) {
            throw std::runtime_error("unexpected");
        }
        done->set(*runs);
        return false;
    });
    BOOST_TEST(done->get() == 2);
}

// Guards against sending on a connection that the server closed while it was idle.
BOOST_AUTO_TEST_CASE(closed_idle_connection_is_replaced) {
    raw_server server([&](raw_socket& peer, int) {
        peer.receive_until("body");
        peer.send(answer("ok", "id"));
    }); // closes after each response without `Connection: close`
    for (int count = 0; count < 3; ++count) {
        const auto result = this->call(server.address(), "id");
        BOOST_TEST((result.status == call_status::answered), result.failure);
        // The server closes a connection before it accepts the next, so the close has arrived after this
        // exchange.
        auto probe = raw_socket::connect(server.address());
        probe.send("body");
        probe.receive_all();
    }
}

// Guards against calls that wait forever for a server that hangs.
BOOST_AUTO_TEST_CASE(deadline_ends_a_call) {
    async_result<bool> done;
    raw_server server([&](raw_socket& peer, int) {
        peer.receive_until("body");
        done.get();
    });
    const auto result = this->call(server.address(), "id", 100ms);
    BOOST_TEST((result.status == call_status::unknown));
    done.set(true);
}

// Open connections may fall silent while new ones work. Guards against a server that counts as unresponsive
// for as many timeouts as there are idle connections to it.
BOOST_AUTO_TEST_CASE(silent_idle_connections_cost_one_call) {
    constexpr std::size_t connections = 6;
    std::mutex mutex;
    std::vector<http_reply> held;
    bool answers_at_once = false;
    const auto server = require_value([&] {
        return http_server::make(this->threads, {.address = {"127.0.0.1", 0}},
                                 [&](const http_request&, const http_reply& reply) {
                                     const std::lock_guard lock(mutex);
                                     if (answers_at_once) {
                                         reply.send({});
                                     } else {
                                         held.push_back(reply);
                                     }
                                 });
    });
    const auto proxy = test::fault_proxy::make(this->threads, server->address());
    http_client_pool wide_pool(this->threads, {.max_connections = connections});
    std::atomic<std::size_t> answered{0};
    const auto call = [&](std::chrono::milliseconds timeout) {
        const auto result = std::make_shared<async_result<http_call_result>>();
        wide_pool.call({.target = proxy->address(), .request = {}, .timeout = timeout, .correlation_id = {}},
                       [&answered, result](http_call_result outcome) {
                           answered += outcome.status == call_status::answered ? 1 : 0;
                           result->set(std::move(outcome));
                       });
        return result;
    };
    for (std::size_t count = 0; count < connections; ++count) {
        call(test_timeout);
    }
    BOOST_REQUIRE(eventually([&] {
        const std::lock_guard lock(mutex);
        return held.size() == connections;
    }));
    {
        const std::lock_guard lock(mutex);
        answers_at_once = true;
        for (const auto& reply : held) {
            reply.send({});
        }
    }
    BOOST_REQUIRE(eventually([&] { return answered == connections; }));
    proxy->silence_open_connections();
    BOOST_TEST((call(100ms)->get().status == call_status::unknown));
    BOOST_TEST((call(test_timeout)->get().status == call_status::answered));
}

// Guards against more connections to a server than configured, and against queued calls that ignore their
// deadline.
BOOST_AUTO_TEST_CASE(connections_are_limited_and_waiting_calls_expire_unsent) {
    async_result<bool> release;
    std::mutex mutex;
    std::vector<http_reply> held;
    const auto server = require_value([&] {
        return http_server::make(this->threads, {.address = {"127.0.0.1", 0}},
                                 [&](const http_request&, const http_reply& reply) {
                                     const std::lock_guard lock(mutex);
                                     held.push_back(reply);
                                 });
    });
    std::atomic<int> answered{0};
    std::atomic<int> unsent{0};
    const auto start = [&](std::chrono::milliseconds timeout) {
        this->pool.call(
            {.target = server->address(), .request = {}, .timeout = timeout, .correlation_id = {}},
            [&](const http_call_result& result) {
                answered += result.status == call_status::answered ? 1 : 0;
                unsent += result.status == call_status::unsent ? 1 : 0;
            });
    };
    start(test_timeout);
    start(test_timeout);
    BOOST_REQUIRE(eventually([&] {
        const std::lock_guard lock(mutex);
        return held.size() == 2;
    }));
    for (int count = 0; count < 10; ++count) {
        start(50ms);
    }
    BOOST_TEST(eventually([&] { return unsent == 10; }));
    BOOST_TEST(this->pool.open_connections(server->address()) == 2U);
    BOOST_TEST(server->counters().accepted == 2);
    const std::lock_guard lock(mutex);
    for (const auto& reply : held) {
        reply.send({});
    }
    BOOST_TEST(eventually([&] { return answered == 2; }));
}

// Guards against request splitting through a header value.
BOOST_AUTO_TEST_CASE(control_characters_in_headers_are_not_sent) {
    raw_server server([](raw_socket& peer, int) { peer.receive_all(); });
    const auto result = this->call(server.address(), "id\r\nX: y");
    BOOST_TEST((result.status == call_status::unsent));
}

// Guards against a descriptor leak: a caller may start its next call in the callback, after the server has
// closed the connection of the first. The pool then removes the connection before its coroutine suspends;
// such connections were never released.
BOOST_AUTO_TEST_CASE(connections_closed_during_a_callback_are_released) {
    raw_server server([&](raw_socket& peer, int) {
        peer.receive_until("body");
        peer.send(answer("ok", "id"));
    });
    constexpr int calls = 20;
    const auto before = open_descriptors();
    async_result<bool> over;
    int completed = 0;
    std::function<void(http_call_result)> next = [&](const http_call_result&) {
        // Time for the end of the connection to arrive.
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        if (++completed > calls) {
            over.set(true);
            return;
        }
        this->pool.call({.target = server.address(),
                         .request = {.method = "POST", .target = "/run", .headers = {}, .body = "body"},
                         .timeout = test_timeout},
                        next);
    };
    next({});
    over.get();
    constexpr std::size_t still_open = 4; // both ends of the last connection, and of one that is being closed
    BOOST_TEST(eventually([&] { return open_descriptors() <= before + still_open; }));
}

BOOST_AUTO_TEST_SUITE_END()
