#include "cli/demo_load.hpp"

#include "fakes/fake_executor.hpp"
#include "hornbeamrail/request_id.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <fmt/format.h>

#include <charconv>
#include <thread>

namespace hornbeamrail::cli {

namespace {

constexpr std::chrono::milliseconds request_deadline{10000};
/// Longer than the request deadline, because a healthy node answers every request by its deadline.
constexpr std::chrono::milliseconds call_timeout{15000};

/// Bodies have the form run_ms=N;team;token. The simulated executor reads the run time from them.
std::string make_body(std::int64_t run_ms, const std::string& team, const std::string& token) {
    return fmt::format("run_ms={};{};{}", run_ms, team, token);
}

std::string error_name(const std::string& body) {
    boost::system::error_code failure;
    const auto document = boost::json::parse(body, failure);
    const auto* object = failure ? nullptr : document.if_object();
    const auto* name = object != nullptr ? object->if_contains("error") : nullptr;
    return name != nullptr && name->is_string() ? std::string(name->get_string()) : "no_error_body";
}

} // namespace

demo_load::demo_load(io_threads& workers, demo_load_options load_options)
    : threads(workers), options(std::move(load_options)), client_pool(workers, {.max_connections = 256}),
      excluded_nodes(this->options.nodes.size()) {
    this->epoch.store(this->options.epoch);
    seeded_generator seeds(this->options.seed);
    for (std::size_t team = 0; team < this->options.teams.size(); ++team) {
        for (int count = 0; count < this->options.teams[team].sessions; ++count) {
            this->sessions.push_back({.team = team, .generator = seeded_generator(seeds.next())});
        }
    }
}

void demo_load::start() {
    this->active_sessions.store(static_cast<int>(this->sessions.size()));
    for (std::size_t index = 0; index < this->sessions.size(); ++index) {
        this->send_next(index);
    }
}

bool demo_load::finish(std::chrono::milliseconds timeout) {
    this->stopping.store(true);
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (this->active_sessions.load() > 0 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return this->active_sessions.load() == 0;
}

void demo_load::on_run(const vm_description& vm, boot_time started, boot_time ends, const std::string& body) {
    const auto team_begin = body.find(';') + 1;
    const auto token_begin = body.find(';', team_begin) + 1;
    const std::lock_guard lock(this->mutex);
    this->starts.push_back({.token = body.substr(token_begin),
                            .team = body.substr(team_begin, token_begin - team_begin - 1),
                            .zone = vm.zone,
                            .started = started,
                            .ends = ends});
}

void demo_load::take_records(demo_record& record) {
    const std::lock_guard lock(this->mutex);
    record.requests = std::move(this->requests);
    record.starts = std::move(this->starts);
}

void demo_load::send_next(std::size_t index) {
    auto& caller = this->sessions[index];
    const auto pause = caller.generator.between(std::chrono::microseconds(0), this->options.longest_pause);
    this->threads.run_after(pause, [self = this->shared_from_this(), index] {
        if (self->stopping.load()) {
            self->active_sessions.fetch_sub(1);
            return;
        }
        auto& sender = self->sessions[index];
        const auto& team = self->options.teams[sender.team];
        demo_request request{.token = {},
                             .team = team.name,
                             .phase = self->current_phase.load(),
                             .error = {},
                             .idempotent = !sender.generator.chance(self->options.non_idempotent_fraction)};
        request.token =
            to_string(request_id{.epoch = self->epoch.load(),
                                 .token = fmt::format("request{:08}", self->issued_requests.fetch_add(1))});
        const auto run_ms = sender.generator.between(1, self->options.longest_run_ms);
        const auto service = static_cast<std::size_t>(
            sender.generator.between(0, static_cast<std::int64_t>(team.services.size()) - 1));
        auto body = make_body(run_ms, team.name, request.token);
        self->send(index, std::move(request), team.services[service], std::move(body));
    });
}

std::size_t demo_load::choose_node(session& caller) {
    const auto count = this->options.nodes.size();
    const auto first_node =
        static_cast<std::size_t>(caller.generator.between(0, static_cast<std::int64_t>(count) - 1));
    for (std::size_t step = 0; step < count; ++step) {
        if (!this->excluded_nodes[(first_node + step) % count].load()) {
            return (first_node + step) % count;
        }
    }
    return first_node;
}

void demo_load::send(std::size_t index, demo_request request, std::string service, std::string body) {
    const auto node = this->choose_node(this->sessions[index]);
    http_call call{.target = this->options.nodes[node],
                   .request = {.method = "POST",
                               .target = fmt::format("/v1/services/{}/requests", service),
                               .headers = {},
                               .body = body},
                   .timeout = call_timeout,
                   .correlation_id = {}};
    auto& headers = call.request.headers;
    headers.add("Authorization", "Bearer " + this->options.teams[this->sessions[index].team].key);
    headers.add("Request-Id", request.token);
    headers.add("Request-Deadline-Ms", std::to_string(request_deadline.count()));
    headers.add("Request-Idempotent", request.idempotent ? "true" : "false");
    request.sent = boot_clock::now();
    this->client_pool.call(std::move(call),
                           [self = this->shared_from_this(), index, node, request = std::move(request),
                            body = std::move(body)](const http_call_result& result) {
                               self->on_answer(index, request, node, body, result);
                           });
}

void demo_load::on_answer(std::size_t index, demo_request request, std::size_t node, const std::string& body,
                          const http_call_result& result) {
    request.done = boot_clock::now();
    switch (result.status) {
    case call_status::answered:
        this->read_answer(request, node, body, result.response);
        break;
    case call_status::unsent:
        request.view = caller_view::unreached;
        this->excluded_nodes[node].store(true);
        break;
    case call_status::unknown:
        request.view = caller_view::cut;
        request.error = result.failure;
        break;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->requests.push_back(std::move(request));
    }
    this->send_next(index);
}

void demo_load::read_answer(demo_request& request, std::size_t node, const std::string& body,
                            const http_response& response) {
    const auto epoch_text = response.headers.value_or("Hornbeamrail-Epoch", "");
    std::int64_t received_epoch = 0;
    std::from_chars(epoch_text.data(), epoch_text.data() + epoch_text.size(), received_epoch);
    for (auto known_epoch = this->epoch.load();
         received_epoch > known_epoch && !this->epoch.compare_exchange_weak(known_epoch, received_epoch);) {
    }
    if (response.status == 200) {
        request.view = caller_view::answered;
        request.wrong_answer = response.body != fake_executor::answer_body(body) ||
                               response.headers.value_or("Request-Id", "") != request.token;
        return;
    }
    request.error = error_name(response.body);
    request.view =
        response.headers.value_or("Outcome", "") == "not_run" ? caller_view::refused : caller_view::unknown;
    if (request.error == "stopping") {
        this->excluded_nodes[node].store(true);
    }
}

} // namespace hornbeamrail::cli
