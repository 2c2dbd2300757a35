#include "loopback_site.hpp"

using namespace hornbeamrail;

namespace {

class task_site : public site_fixture {
public:
    http_answer task_call(std::size_t node, const std::string& method, const std::string& target,
                          const std::string& body = "", const std::string& headers = "") {
        auto caller = this->connect(node);
        caller.send(method + " " + target + " HTTP/1.1\r\nAuthorization: Bearer " + std::string(key) +
                    "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return read_answer(caller);
    }

    /// @return the id of the accepted task
    std::string submit_task(std::size_t node, const std::string& request_id,
                            std::chrono::milliseconds run_time) {
        const auto answer = this->task_call(
            node, "POST", "/v1/tasks",
            json::serialize(json::object{
                {"service", "s"}, {"cores", 8}, {"memory_mb", 1024}, {"run_ms", run_time.count()}}),
            "Request-Id: " + request_id + "\r\n");
        BOOST_REQUIRE_MESSAGE(answer.status == 202, answer.body);
        return std::string(json::parse(answer.body).at("id").as_string());
    }

    std::string phase_of(std::size_t node, const std::string& id) {
        const auto answer = this->task_call(node, "GET", "/v1/tasks/" + id);
        return answer.status == 200 ? std::string(json::parse(answer.body).at("phase").as_string())
                                    : std::to_string(answer.status);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(task_api_suite, task_site)

// Guards against a task that only one node knows, and against a retried submit that creates a second task.
BOOST_AUTO_TEST_CASE(task_is_known_everywhere_and_submitted_once) {
    const auto id = this->submit_task(0, "job-1", 300ms);
    BOOST_TEST(this->submit_task(1, "job-1", 300ms) == id);
    for (std::size_t node = 0; node < 3; ++node) {
        BOOST_TEST(eventually([&] { return this->phase_of(node, id) == "finished"; }));
    }
    BOOST_TEST(this->phase_of(0, "no-such-task") == "404");
}

// Guards against a planned stop that loses a running task or waits for its end.
BOOST_AUTO_TEST_CASE(running_task_survives_the_stop_of_its_node) {
    const auto id = this->submit_task(0, "job-2", 8s);
    BOOST_TEST(eventually([&] { return this->phase_of(1, id) == "placed"; }));
    this->nodes[0]->begin_stop();
    BOOST_TEST(this->nodes[0]->wait_stopped(test_timeout));
    BOOST_TEST(this->phase_of(1, id) == "placed");
    BOOST_TEST(eventually([&] { return this->phase_of(1, id) == "finished"; }));
}

// Guards against tasks that cannot be cancelled, and against a task that waits forever because no worker is
// large enough.
BOOST_AUTO_TEST_CASE(task_is_cancelled_or_refused_with_the_reason) {
    const auto id = this->submit_task(2, "job-3", 60s);
    BOOST_TEST(eventually([&] { return this->phase_of(0, id) == "placed"; }));
    BOOST_TEST(this->task_call(1, "DELETE", "/v1/tasks/" + id).status == 202);
    BOOST_TEST(eventually([&] { return this->phase_of(2, id) == "cancelled"; }));
    const auto refused = this->task_call(0, "POST", "/v1/tasks", R"({"service":"s","cores":64})");
    BOOST_TEST(refused.status == 422);
    BOOST_TEST(refused.head.find("Outcome: not_run\r\n") != std::string::npos);
    BOOST_TEST(this->task_call(0, "POST", "/v1/tasks", "{").status == 400);
    BOOST_TEST(this->task_call(0, "POST", "/v1/tasks", R"({"service":"nowhere"})").status == 404);
}

BOOST_AUTO_TEST_SUITE_END()
