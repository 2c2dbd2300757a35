#include "loopback_site.hpp"
#include "node/dispatcher.hpp"

#include <atomic>
#include <thread>

using namespace hornbeamrail;

BOOST_FIXTURE_TEST_SUITE(entry_node_suite, site_fixture)

// Guards against answers that a node truncates, mixes up or sends without the documented headers.
BOOST_AUTO_TEST_CASE(request_with_a_key_is_answered_whole) {
    const std::string body(300 * 1024, 'x');
    for (std::size_t node = 0; node < 3; ++node) {
        const auto answer = this->submit(node, {.body = body, .extra_headers = "Request-Id: my-id\r\n"});
        BOOST_TEST(answer.status == 200);
        BOOST_TEST((answer.body == fake_executor::answer_body(body)));
        BOOST_TEST(answer.head.find("Request-Id: my-id\r\n") != std::string::npos);
        BOOST_TEST(answer.head.find("Hornbeamrail-Epoch: ") != std::string::npos);
    }
    BOOST_TEST(this->submit(0, {.presented_key = "wrong"}).status == 401);
    const auto bad = this->submit(0, {.extra_headers = "Request-Deadline-Ms: soon\r\n"});
    BOOST_TEST(bad.status == 400);
    BOOST_TEST(bad.head.find("Outcome: not_run\r\n") != std::string::npos);
    BOOST_TEST(this->submit(0, {.extra_headers = "Request-Idempotent: false\r\n"}).status == 400);
}

// Guards against a key that still works after its revocation, on any node, also on connections opened before.
BOOST_AUTO_TEST_CASE(revoked_key_stops_within_its_bound) {
    std::vector<raw_socket> callers;
    for (std::size_t node = 0; node < 3; ++node) {
        callers.push_back(this->connect(node));
        BOOST_REQUIRE(submit(callers.back()).status == 200);
    }
    BOOST_REQUIRE(this->change(0, "key_revoke", {{"key_id", "first-key"}}) == 200);
    const auto accepted = std::chrono::steady_clock::now();
    for (auto& caller : callers) {
        BOOST_TEST(eventually([&] {
            const auto sent = std::chrono::steady_clock::now();
            const auto answer = submit(caller);
            BOOST_TEST((answer.status != 200 || sent - accepted <= 5s));
            return answer.status == 401;
        }));
    }
    BOOST_TEST(this->change(1, "key_revoke", {{"key_id", "no-such-key"}}) == 409);
}

// Guards against a graceful stop that cuts off requests in progress or refuses requests without an outcome.
BOOST_AUTO_TEST_CASE(stopped_node_cuts_no_request) {
    constexpr int caller_count = 8;
    std::atomic<int> answered{0};
    std::atomic<int> broken{0};
    std::vector<std::thread> callers;
    for (int number = 0; number < caller_count; ++number) {
        callers.emplace_back([&, number] {
            auto caller = this->connect(0);
            for (int count = 0;; ++count) {
                const auto body = "run_ms=20;" + std::to_string(number) + "-" + std::to_string(count);
                const auto answer = submit(caller, {.body = body});
                const bool correct = answer.status == 200 && answer.body == fake_executor::answer_body(body);
                const bool refused =
                    answer.status == 503 && answer.head.find("Outcome: not_run") != std::string::npos;
                broken += answer.complete && (correct || refused) ? 0 : 1;
                answered += correct ? 1 : 0;
                if (!answer.complete || answer.closes()) {
                    return;
                }
            }
        });
    }
    BOOST_TEST(eventually([&] { return answered > 3 * caller_count; }));
    this->nodes[0]->begin_stop();
    for (auto& caller : callers) {
        caller.join();
    }
    BOOST_TEST(broken == 0);
    BOOST_TEST(this->nodes[0]->wait_stopped(test_timeout));
    BOOST_TEST(!this->nodes[0]->healthy());
    // The node has left the fleet, so the other nodes have its grants and claim partitions.
    BOOST_TEST(eventually([&] {
        const auto status = json::parse(this->admin(1, "GET", "/admin/status").body);
        return status.at("nodes").as_array().size() == 2;
    }));
    BOOST_TEST(this->submit(1).status == 200);
}

// Guards against a non-idempotent request that runs more than once when it is submitted to several nodes.
BOOST_AUTO_TEST_CASE(non_idempotent_request_runs_once) {
    auto caller = this->connect(0);
    caller.send("GET /v1/epoch HTTP/1.1\r\n\r\n");
    const auto epoch = json::parse(read_answer(caller).body).at("epoch").as_int64();
    const auto before = this->platform->runs_started();
    constexpr int ids = 12;
    std::atomic<int> ran{0};
    std::atomic<int> wrong{0};
    std::vector<std::thread> callers;
    for (std::size_t node = 0; node < 3; ++node) {
        callers.emplace_back([&, node] {
            for (int id = 0; id < ids; ++id) {
                const auto answer =
                    this->submit(node, {.extra_headers = "Request-Idempotent: false\r\nRequest-Id: e" +
                                                         std::to_string(epoch) + "-once" +
                                                         std::to_string(1000 + id) + "\r\n"});
                ran += answer.status == 200 ? 1 : 0;
                wrong += answer.status == 200 || answer.status == 409 ? 0 : 1;
            }
        });
    }
    for (auto& thread : callers) {
        thread.join();
    }
    BOOST_TEST(ran == ids);
    BOOST_TEST(wrong == 0);
    BOOST_TEST(this->platform->runs_started() - before == ids);
}

// Guards against passing a caller the answer to another request when executors mix up their answers.
BOOST_AUTO_TEST_CASE(crossed_answers_reach_no_caller) {
    for (const auto& vm : this->platform->vms()) {
        this->platform->with_executor(
            vm, [](fake_executor& executor) { executor.faults().crossed_fraction = 0.5; });
    }
    std::atomic<int> foreign{0};
    std::atomic<int> own{0};
    std::vector<std::thread> callers;
    for (int number = 0; number < 6; ++number) {
        callers.emplace_back([&, number] {
            auto caller = this->connect(static_cast<std::size_t>(number) % 3);
            for (int count = 0; count < 30; ++count) {
                const auto body = std::to_string(number) + "-" + std::to_string(count);
                const auto answer = submit(caller, {.body = body});
                const bool correct = answer.body == fake_executor::answer_body(body);
                own += answer.status == 200 && correct ? 1 : 0;
                foreign += answer.status == 200 && !correct ? 1 : 0;
            }
        });
    }
    for (auto& thread : callers) {
        thread.join();
    }
    BOOST_TEST(foreign == 0);
    BOOST_TEST(own > 0);
}

// Guards against reuse of a unit while the work may still run, against a unit held for seconds although the
// executor has stopped the work, and against a late answer to the caller after its deadline.
BOOST_AUTO_TEST_CASE(unit_after_a_deadline_depends_on_the_executors_answer) {
    constexpr auto deadline = 400ms;
    // Allowance for thread scheduling in this process, added to the stated bound.
    constexpr auto scheduling_allowance = 100ms;
    const auto held_after = [&](deadline_answer at_deadline) {
        for (const auto& vm : this->platform->vms()) {
            this->platform->with_executor(vm, [&](fake_executor& executor) {
                executor.faults().at_deadline = at_deadline;
                // Longer than the client pool's sweep interval of 10 ms, which delays a timeout.
                executor.faults().stop_answer_delay = 25ms;
            });
        }
        const auto sent = std::chrono::steady_clock::now();
        const auto answer =
            this->submit(0, {.body = "run_ms=5000", .extra_headers = "Request-Deadline-Ms: 400\r\n"});
        BOOST_TEST(
            (std::chrono::steady_clock::now() - sent <= deadline + stop_answer_wait + scheduling_allowance));
        BOOST_TEST(answer.status == 504);
        BOOST_TEST(answer.head.find("Outcome: unknown\r\n") != std::string::npos);
        const auto dump = json::parse(this->admin(0, "GET", "/admin/dump").body);
        return dump.at("dispatcher").at("units_held_back").as_int64();
    };
    BOOST_TEST(held_after(deadline_answer::stopped) == 0);
    BOOST_TEST(held_after(deadline_answer::closed) == 1);
    BOOST_TEST(held_after(deadline_answer::none) == 2);
}

// Guards against a log outage that stops registered nodes, and against a node that stays unhealthy after it.
BOOST_AUTO_TEST_CASE(log_outage_leaves_nodes_serving) {
    this->platform->with_log([](fake_log& log) { log.faults().down = true; });
    const auto end = std::chrono::steady_clock::now() + 4s; // twice the freshness bound
    int served = 0;
    while (std::chrono::steady_clock::now() < end) {
        for (std::size_t node = 0; node < 3; ++node) {
            const auto answer = this->submit(node);
            BOOST_TEST(answer.status == 200, answer.status << " " << answer.head << answer.body);
            served += answer.status == 200 ? 1 : 0;
        }
    }
    BOOST_TEST(served > 0);
    this->platform->with_log([](fake_log& log) { log.faults().down = false; });
    BOOST_TEST(this->change(2, "vm_out", {{"vm", "p-1"}}) == 200);
}

BOOST_AUTO_TEST_SUITE_END()
