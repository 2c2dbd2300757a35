#include "node/task_api.hpp"

#include "node/request_api.hpp"
#include "protocol/digest.hpp"
#include "protocol/json_reader.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace hornbeamrail {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds submit_timeout{5};
constexpr std::chrono::milliseconds fold_check_interval{20};

refusal make_refusal(std::string error, int status, run_outcome outcome, std::string message,
                     std::string remedy) {
    return {.error = std::move(error),
            .status = status,
            .outcome = outcome,
            .message = std::move(message),
            .remedy = std::move(remedy),
            .retry_after = std::nullopt};
}

refusal unknown_task(std::string_view id) {
    return make_refusal("unknown_task", 404, run_outcome::not_run,
                        fmt::format("task \"{}\" is not known", id),
                        "use the id from the answer to the submit; ended tasks are removed after some time");
}

http_response describe(int status, const task_info& task) {
    http_response response{.status = status, .headers = {}, .body = {}};
    response.headers.add("Content-Type", "application/json");
    response.body = json::serialize(json::object{{"id", task.spec.id},
                                                 {"service", task.spec.service},
                                                 {"team", task.spec.team},
                                                 {"phase", to_string(task.phase)},
                                                 {"vm", task.vm},
                                                 {"detail", task.detail},
                                                 {"cancel_requested", task.cancel_requested}});
    return response;
}

/// Parses the body of a submit. Leaves team, key and id empty.
std::variant<task_spec, refusal> parse_task(const http_request& request) {
    boost::system::error_code failure;
    const auto document = json::parse(request.body, failure);
    std::vector<diagnostic> found;
    object_reader reader(document, "$", found);
    task_spec spec{.id = {},
                   .team = {},
                   .service = reader.required_string("service"),
                   .cores = reader.optional_integer("cores", 1, 0, 1 << 20),
                   .memory_mb = reader.optional_integer("memory_mb", 1, 0, 1LL << 40),
                   .accelerators = reader.optional_integer("accelerators", 0, 0, 1 << 20),
                   .run_time =
                       std::chrono::milliseconds(reader.optional_integer("run_ms", 1000, 0, 1LL << 40)),
                   .idempotent = reader.optional_bool("idempotent", true),
                   .urgent = reader.optional_bool("urgent", false)};
    reader.finish();
    if (failure || !found.empty()) {
        return make_refusal("bad_request", 400, run_outcome::not_run,
                            failure ? "the body is not JSON"
                                    : found.front().path + ": " + found.front().message,
                            failure ? "send the task as a JSON object" : found.front().remedy);
    }
    return spec;
}

} // namespace

task_api::task_api(io_threads& workers, std::shared_ptr<node_runtime> served_node)
    : threads(workers), node(std::move(served_node)) {}

void task_api::answer(const http_reply& reply, http_response response, const std::string& request_id) const {
    this->node->add_common_headers(response, request_id);
    reply.send(std::move(response));
}

std::variant<task_api::caller, refusal> task_api::identify(const http_request& request) const {
    const auto hash = key_hash_of(request.headers);
    if (!hash) {
        return make_refusal("no_key", 401, run_outcome::not_run, "the request has no key",
                            "send the team's key in the Authorization header");
    }
    if (!this->node->is_serving()) {
        return make_refusal("not_fresh", 503, run_outcome::not_run, "the node has no fresh view of the fleet",
                            "use another node");
    }
    const auto state = this->node->state();
    const auto key = state->keys().find(*hash);
    if (key == state->keys().end()) {
        return make_refusal("unknown_key", 401, run_outcome::not_run, "the key is not known",
                            "request a key from the operators");
    }
    if (key->second.revoked) {
        return make_refusal("revoked_key", 401, run_outcome::not_run, "the key was revoked",
                            "request a new key from the operators");
    }
    return caller{.team = key->second.team, .key_id = key->second.key_id};
}

const task_info* task_api::visible_task(const fleet_state& state, const caller& requester,
                                        std::string_view task_id) const {
    const auto found = state.tasks().find(task_id);
    // Tasks of other teams are reported as unknown, so that ids cannot be probed.
    return found == state.tasks().end() || found->second.spec.team != requester.team ? nullptr
                                                                                     : &found->second;
}

void task_api::submit(const http_request& request, const http_reply& reply) {
    const std::string request_id(request.headers.value_or("Request-Id", ""));
    auto requester = this->identify(request);
    if (const auto* refused = std::get_if<refusal>(&requester)) {
        this->answer(reply, to_response(*refused), request_id);
        return;
    }
    auto read = parse_task(request);
    if (const auto* refused = std::get_if<refusal>(&read)) {
        this->answer(reply, to_response(*refused), request_id);
        return;
    }
    auto spec = std::get<task_spec>(std::move(read));
    spec.team = std::get<caller>(requester).team;
    spec.key_id = std::get<caller>(requester).key_id;
    // The id is derived from the caller's request id, so that retries through any node create one task.
    spec.id = request_id.empty() ? random_uuid() : sha256_hex(spec.team + '\n' + request_id).substr(0, 32);
    if (this->node->state()->tasks().contains(spec.id)) {
        this->answer_when_folded(spec.id, request_id, reply, boot_clock::now());
        return;
    }
    std::optional<refusal> refused;
    this->node->with_tasks([&](task_manager& tasks, boot_time now) { refused = tasks.submit(now, spec); });
    if (refused) {
        this->answer(reply, to_response(*refused), request_id);
        return;
    }
    this->answer_when_folded(spec.id, request_id, reply, boot_clock::now() + submit_timeout);
}

void task_api::answer_when_folded(const std::string& task_id, const std::string& request_id,
                                  const http_reply& reply, boot_time deadline) const {
    const auto state = this->node->state();
    const auto found = state->tasks().find(task_id);
    if (found != state->tasks().end()) {
        this->answer(reply, describe(202, found->second), request_id);
        return;
    }
    if (boot_clock::now() >= deadline) {
        this->answer(reply,
                     to_response(make_refusal("log_unavailable", 503, run_outcome::unknown,
                                              "the platform's log has not accepted the task yet",
                                              "repeat the submit with the same Request-Id")),
                     request_id);
        return;
    }
    this->threads.run_after(fold_check_interval, [self = *this, task_id, request_id, reply, deadline] {
        self.answer_when_folded(task_id, request_id, reply, deadline);
    });
}

const task_info* task_api::find_or_refuse(const fleet_state& state, std::string_view task_id,
                                          const http_request& request, const http_reply& reply) const {
    const std::string request_id(request.headers.value_or("Request-Id", ""));
    const auto requester = this->identify(request);
    const auto* known = std::get_if<caller>(&requester);
    if (known == nullptr) {
        this->answer(reply, to_response(std::get<refusal>(requester)), request_id);
        return nullptr;
    }
    const auto* task = this->visible_task(state, *known, task_id);
    if (task == nullptr) {
        this->answer(reply, to_response(unknown_task(task_id)), request_id);
    }
    return task;
}

void task_api::show(std::string_view task_id, const http_request& request, const http_reply& reply) {
    const auto state = this->node->state();
    if (const auto* task = this->find_or_refuse(*state, task_id, request, reply)) {
        this->answer(reply, describe(200, *task), std::string(request.headers.value_or("Request-Id", "")));
    }
}

void task_api::cancel(std::string_view task_id, const http_request& request, const http_reply& reply) {
    const auto state = this->node->state();
    if (const auto* task = this->find_or_refuse(*state, task_id, request, reply)) {
        this->node->with_tasks([&](task_manager& tasks, boot_time) { tasks.cancel(task_id); });
        this->answer(reply, describe(202, *task), std::string(request.headers.value_or("Request-Id", "")));
    }
}

} // namespace hornbeamrail
