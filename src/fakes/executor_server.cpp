#include "fakes/executor_server.hpp"

#include "protocol/json_reader.hpp"
#include "protocol/platform_json.hpp"
#include "transport/http_server.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <limits>
#include <mutex>
#include <vector>

namespace hornbeamrail {

namespace json = boost::json;

namespace {

std::int64_t parse_number_or(std::string_view text, std::int64_t fallback) {
    std::int64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http_response json_response(json::object body) {
    http_response response;
    response.headers.add("Content-Type", "application/json");
    response.body = json::serialize(body);
    return response;
}

http_response make_not_run_response(int status, std::string_view error) {
    return make_error_response(status, error, "the executor did not run the request", "send it elsewhere",
                               "not_run");
}

http_response make_response(worker_verdict verdict) {
    switch (verdict) {
    case worker_verdict::done:
        return json_response({{"done", true}});
    case worker_verdict::stale_token:
        return make_not_run_response(409, "stale_token");
    case worker_verdict::no_room:
        return make_not_run_response(503, "no_room");
    case worker_verdict::lease_lapsed:
        return make_not_run_response(409, "lease_lapsed");
    case worker_verdict::unknown_task:
        return make_not_run_response(404, "unknown_task");
    case worker_verdict::not_supported:
        return make_not_run_response(409, "not_supported");
    }
    return make_not_run_response(500, "internal_error");
}

} // namespace

struct executor_server::impl : std::enable_shared_from_this<executor_server::impl> {
    impl(io_threads& workers, executor_server_options settings)
        : threads(workers), options(std::move(settings)),
          executor(this->options.seed, this->options.executor), worker(this->options.worker) {}

    void handle(http_request request, const http_reply& reply) {
        if (request.target == "/lease") {
            reply.send(this->lease(request));
        } else if (request.target == "/run") {
            this->run(std::move(request), reply);
        } else if (request.target == "/usage") {
            reply.send(this->usage());
        } else if (request.target == "/tasks/lease") {
            reply.send(this->reserve(request));
        } else if (request.target.starts_with("/tasks/")) {
            reply.send(this->command(request));
        } else {
            reply.send(make_not_run_response(404, "unknown_path"));
        }
    }

    http_response lease(const http_request& request) {
        std::vector<diagnostic> diagnostics;
        boost::system::error_code failure;
        const auto document = json::parse(request.body, failure);
        object_reader reader(document, "$", diagnostics);
        const auto holder = reader.required_string("holder");
        if (failure || !diagnostics.empty()) {
            return make_not_run_response(400, "bad_request");
        }
        const std::lock_guard lock(this->mutex);
        const auto granted = this->executor.lease(boot_clock::now(), holder);
        http_response response;
        response.body =
            encode_lease({.token = granted.token,
                          .ttl = std::chrono::duration_cast<std::chrono::milliseconds>(granted.ttl),
                          .slots = granted.slots,
                          .running = granted.running,
                          .leaving = granted.leaving || this->leaving});
        return response;
    }

    void run(http_request request, const http_reply& reply) {
        const auto& headers = request.headers;
        fake_run requested_run{.token = std::string(headers.value_or("Lease-Token", "")),
                               .correlation_id = std::string(headers.value_or("Correlation-Id", "")),
                               .body = std::move(request.body),
                               .run_time = this->options.run_time,
                               .remaining = std::chrono::milliseconds(
                                   parse_number_or(headers.value_or("Deadline-Ms", ""), 30000))};
        if (requested_run.body.starts_with("run_ms=")) {
            requested_run.run_time =
                std::chrono::milliseconds(parse_number_or(std::string_view(requested_run.body).substr(7), 0));
        }
        const auto now = boot_clock::now();
        fake_run_result result;
        {
            const std::lock_guard lock(this->mutex);
            result = this->executor.run(now, requested_run);
        }
        if (result.verdict != run_verdict::started) {
            auto refusal = result.verdict == run_verdict::busy ? make_not_run_response(503, "busy")
                                                               : make_not_run_response(409, "lease_lapsed");
            refusal.headers.add("Correlation-Id", requested_run.correlation_id);
            reply.send(std::move(refusal));
            return;
        }
        this->started.fetch_add(1);
        if (this->options.on_run) {
            this->options.on_run(now, result.ends, requested_run.body);
        }
        // A run without an answer keeps the connection open for 1 s past its deadline, which is
        // longer than drivers wait.
        const auto answer_time =
            result.answered.value_or(now + requested_run.remaining + std::chrono::seconds(1));
        const bool has_answer = result.answered.has_value();
        auto answer = [result = std::move(result), reply, has_answer] {
            if (!has_answer || !result.answer.complete) {
                reply.abandon();
                return;
            }
            if (result.answer.stopped) {
                auto stopped =
                    make_error_response(504, "deadline_exceeded", "the run was stopped at its deadline",
                                        "allow more time", "unknown");
                stopped.headers.add("Correlation-Id", result.answer.correlation_id);
                reply.send(std::move(stopped));
                return;
            }
            http_response response{
                .status = result.answer.failed ? 500 : 200, .headers = {}, .body = result.answer.body};
            response.headers.add("Correlation-Id", result.answer.correlation_id);
            reply.send(std::move(response));
        };
        if (answer_time <= now) {
            answer();
        } else {
            this->threads.run_after(answer_time - now, std::move(answer));
        }
    }

    http_response usage() {
        const std::lock_guard lock(this->mutex);
        json::array tasks;
        for (const auto& task : this->worker.usage(boot_clock::now())) {
            tasks.push_back(json::object{{"task_id", task.task_id},
                                         {"state", to_string(task.state)},
                                         {"cores_used", task.cores_used},
                                         {"memory_mb_used", task.memory_mb_used}});
        }
        return json_response({{"tasks", std::move(tasks)}});
    }

    http_response reserve(const http_request& request) {
        constexpr auto max_value = std::numeric_limits<std::int64_t>::max();
        std::vector<diagnostic> diagnostics;
        boost::system::error_code failure;
        const auto document = json::parse(request.body, failure);
        object_reader reader(document, "$", diagnostics);
        const task_lease_request lease_request{
            .task_id = reader.required_string("task_id"),
            .fencing_token = reader.required_integer("fencing_token", 1, max_value),
            .cores = reader.required_integer("cores", 0, max_value),
            .memory_mb = reader.required_integer("memory_mb", 0, max_value),
            .accelerators = reader.required_integer("accelerators", 0, max_value),
            .ttl = std::chrono::milliseconds(reader.required_integer("ttl_ms", 1, 3'600'000)),
            .adopt = reader.optional_bool("adopt", false)};
        if (failure || !diagnostics.empty()) {
            return make_not_run_response(400, "bad_request");
        }
        const std::lock_guard lock(this->mutex);
        const auto answer = this->worker.reserve(boot_clock::now(), lease_request);
        if (answer.verdict != worker_verdict::done) {
            return make_response(answer.verdict);
        }
        return json_response({{"lease_id", answer.lease_id}});
    }

    /// `POST /tasks/{id}/{command}`
    http_response command(const http_request& request) {
        const auto slash = request.target.rfind('/');
        const std::string_view prefix = "/tasks/";
        if (slash < prefix.size()) {
            return make_not_run_response(404, "unknown_path");
        }
        const auto task = request.target.substr(prefix.size(), slash - prefix.size());
        const auto name = std::string_view(request.target).substr(slash + 1);
        std::vector<diagnostic> diagnostics;
        boost::system::error_code failure;
        const auto document = json::parse(request.body, failure);
        object_reader reader(document, "$", diagnostics);
        const auto lease = reader.required_string("lease_id");
        const auto run_time =
            std::chrono::milliseconds(reader.optional_integer("run_ms", 1000, 0, 86'400'000));
        if (failure || !diagnostics.empty()) {
            return make_not_run_response(400, "bad_request");
        }
        const std::lock_guard lock(this->mutex);
        const auto now = boot_clock::now();
        if (name == "start") {
            return make_response(this->worker.start(now, task, lease, run_time));
        }
        const auto requested = name == "renew"        ? task_command::renew
                               : name == "checkpoint" ? task_command::checkpoint
                               : name == "throttle"   ? task_command::throttle
                                                      : task_command::stop;
        return make_response(this->worker.command(now, task, lease, requested));
    }

    io_threads& threads;
    executor_server_options options;
    std::mutex mutex; ///< guards the fakes and `leaving`; leaf lock
    fake_executor executor;
    fake_worker worker;
    bool leaving = false;
    std::atomic<std::int64_t> started{0};
    std::unique_ptr<http_server> server;
};

result<std::unique_ptr<executor_server>> executor_server::make(io_threads& threads,
                                                               executor_server_options options) {
    auto state = std::make_shared<impl>(threads, std::move(options));
    BOOST_LEAF_AUTO(server, http_server::make(
                                threads, {.address = state->options.address, .max_connections = 1024},
                                [weak = std::weak_ptr(state)](http_request request, const http_reply& reply) {
                                    if (const auto owner = weak.lock()) {
                                        owner->handle(std::move(request), reply);
                                    }
                                }));
    state->server = std::move(server);
    return std::unique_ptr<executor_server>(new executor_server(std::move(state)));
}

executor_server::~executor_server() = default;

endpoint executor_server::address() const {
    return this->self->server->address();
}

void executor_server::with(const std::function<void(fake_executor&, fake_worker&)>& function) {
    const std::lock_guard lock(this->self->mutex);
    function(this->self->executor, this->self->worker);
}

void executor_server::set_leaving(bool leaving) {
    const std::lock_guard lock(this->self->mutex);
    this->self->leaving = leaving;
}

std::int64_t executor_server::runs_started() const {
    return this->self->started.load();
}

} // namespace hornbeamrail
