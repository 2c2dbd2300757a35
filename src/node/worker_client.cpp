#include "node/worker_client.hpp"

#include "protocol/json_reader.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace hornbeamrail {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds call_timeout{1000};

std::string lease_id_of(const std::string& body) {
    boost::system::error_code failure;
    const auto document = json::parse(body, failure);
    std::vector<diagnostic> found;
    object_reader reader(document, "$", found);
    return failure ? std::string() : reader.required_string("lease_id");
}

std::vector<task_report> reports_of(const std::string& body) {
    boost::system::error_code failure;
    const auto document = json::parse(body, failure);
    if (failure) {
        return {};
    }
    std::vector<diagnostic> found;
    object_reader reader(document, "$", found);
    std::vector<task_report> reports;
    std::size_t index = 0;
    for (const auto& element : reader.array("tasks", true)) {
        object_reader task(element, indexed_path("$.tasks", index++), found);
        reports.push_back({.task_id = task.required_string("task_id"),
                           .state = task.required_string("state"),
                           .cores_used = task.optional_number("cores_used", 0, 0, 1e6),
                           .memory_mb_used = task.optional_number("memory_mb_used", 0, 0, 1e12)});
    }
    return found.empty() ? reports : std::vector<task_report>{};
}

} // namespace

void worker_client::post(const endpoint& worker, std::string target, std::string body,
                         std::function<void(worker_answer, std::string)> done) {
    this->calls.call(
        {.target = worker,
         .request = {.method = "POST", .target = std::move(target), .headers = {}, .body = std::move(body)},
         .timeout = call_timeout,
         .correlation_id = {}},
        [done = std::move(done)](http_call_result result) {
            if (result.status != call_status::answered) {
                done(worker_answer::no_answer, {});
            } else if (result.response.status == 200) {
                done(worker_answer::done, std::move(result.response.body));
            } else if (result.response.headers.value_or("Outcome", "") == "not_run") {
                done(worker_answer::refused, {});
            } else {
                done(worker_answer::no_answer, {});
            }
        });
}

void worker_client::reserve(const reserve_worker& action,
                            std::function<void(worker_answer, std::string)> done) {
    auto body = json::serialize(json::object{{"task_id", action.task_id},
                                             {"fencing_token", action.fencing_token},
                                             {"cores", action.cores},
                                             {"memory_mb", action.memory_mb},
                                             {"accelerators", action.accelerators},
                                             {"ttl_ms", action.ttl.count()},
                                             {"adopt", action.adopt}});
    this->post(action.address, "/tasks/lease", std::move(body),
               [done = std::move(done)](worker_answer answer, const std::string& text) {
                   auto lease_id = answer == worker_answer::done ? lease_id_of(text) : std::string();
                   const bool unreadable = answer == worker_answer::done && lease_id.empty();
                   done(unreadable ? worker_answer::no_answer : answer, std::move(lease_id));
               });
}

void worker_client::command(const command_worker& action, std::function<void(worker_answer)> done) {
    auto body = json::serialize(json::object{{"lease_id", action.lease_id},
                                             {"fencing_token", action.fencing_token},
                                             {"run_ms", action.run_time.count()}});
    this->post(action.address, fmt::format("/tasks/{}/{}", action.task_id, to_string(action.command)),
               std::move(body),
               [done = std::move(done)](worker_answer answer, const std::string&) { done(answer); });
}

void worker_client::usage(const read_usage& action, std::function<void(std::vector<task_report>)> done) {
    this->calls.call({.target = action.address,
                      .request = {.method = "GET", .target = "/usage", .headers = {}, .body = {}},
                      .timeout = call_timeout,
                      .correlation_id = {}},
                     [done = std::move(done)](const http_call_result& result) {
                         const bool usable =
                             result.status == call_status::answered && result.response.status == 200;
                         done(usable ? reports_of(result.response.body) : std::vector<task_report>{});
                     });
}

} // namespace hornbeamrail
