#include "fakes/site_callers.hpp"

#include "protocol/digest.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace hornbeamrail {

namespace {

constexpr std::size_t max_attempts = 4;
/// Time after its deadline at which a caller closes the connection.
constexpr std::chrono::milliseconds caller_grace_period{1500};

} // namespace

site_callers::site_callers(site_world& world, site_operators& operator_group,
                           std::vector<site_arrival> arrivals, std::chrono::microseconds delay,
                           pick_node node_picker)
    : site(world), operators(operator_group), workload(std::move(arrivals)), client_delay(delay),
      pick(std::move(node_picker)), requests(this->workload.size()), results(this->workload.size()) {}

node_events site_callers::events() {
    return {.on_result = [this](auto request, auto attempt,
                                const auto& answer) { this->on_result(request, attempt, answer); },
            .on_refusal = [this](auto request, auto attempt,
                                 const auto& answer) { this->on_refusal(request, attempt, answer); },
            .on_lost =
                [this](auto request, auto attempt, const auto& cause) {
                    this->on_lost(request, attempt, cause);
                }};
}

void site_callers::start() {
    this->load_start = this->site.now();
    for (std::size_t i = 0; i < this->workload.size(); ++i) {
        this->site.queue.at(this->load_start + this->workload[i].at, [this, i] { this->arrive(i); });
    }
}

boot_time site_callers::deadline_of(std::size_t request) const {
    return this->load_start + this->workload[request].at + this->workload[request].deadline;
}

history_event site_callers::make_event(event_kind kind, std::size_t request, std::int64_t attempt) const {
    const request_state& state = this->requests[request];
    const submission& sent = state.attempts[static_cast<std::size_t>(attempt - 1)];
    return {.at = this->site.now(),
            .kind = kind,
            .node = sent.node ? sent.node->identity().process : std::string("none"),
            .request = state.id,
            .attempt = attempt};
}

void site_callers::arrive(std::size_t request) {
    const site_arrival& arrival = this->workload[request];
    request_state& state = this->requests[request];
    const auto node = this->pick();
    // The epoch may be older than that of the node that receives the request, because `send` picks a node of
    // its own. Real callers may also use an epoch that they read earlier.
    const auto epoch = node ? std::max<log_offset>(1, node->core().epoch()) : 1;
    state.id =
        arrival.idempotent ? fmt::format("r{:07}", request) : fmt::format("e{}-r{:07}", epoch, request);
    state.key = this->site.random.chance(this->old_key_fraction) ? this->operators.oldest_key_of(arrival.team)
                                                                 : this->operators.key_of(arrival.team);
    this->send(request);
    if (arrival.resubmit || this->site.random.chance(this->resubmit_fraction)) {
        this->retry(request, std::chrono::milliseconds(this->site.random.between(1, 400)));
    }
}

void site_callers::retry(std::size_t request, std::chrono::microseconds delay) {
    this->site.queue.after(delay, [this, request] {
        const request_state& state = this->requests[request];
        if (!state.ended && state.attempts.size() < max_attempts &&
            this->site.now() < this->deadline_of(request)) {
            this->send(request);
        }
    });
}

void site_callers::send(std::size_t request) {
    const site_arrival& arrival = this->workload[request];
    request_state& state = this->requests[request];
    const auto attempt = static_cast<std::int64_t>(state.attempts.size()) + 1;
    const auto node = this->pick();
    state.attempts.push_back({node});
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->deadline_of(request) - this->site.now() - this->client_delay);
    const open_request open{.request = request,
                            .attempt = attempt,
                            .id = state.id,
                            .service = arrival.service,
                            .body = fmt::format("{}/{}", state.id, attempt),
                            .run_time = arrival.run_time};
    const incoming_request head{.service = arrival.service,
                                .key_hash =
                                    state.key.empty() ? std::nullopt : std::optional(sha256_hex(state.key)),
                                .request_id = state.id,
                                .deadline = std::max(remaining, std::chrono::milliseconds(1)),
                                .urgent = arrival.urgent,
                                .idempotent = arrival.idempotent,
                                .body_bytes = open.body.size()};
    history_event invoke = this->make_event(event_kind::invoke, request, attempt);
    invoke.service = arrival.service;
    invoke.key = state.key;
    invoke.body = open.body;
    invoke.duration = head.deadline;
    invoke.idempotent = arrival.idempotent;
    this->site.history.record(std::move(invoke));
    this->site.queue.after(this->client_delay, [this, node, open, head, request, attempt] {
        if (!node || !node->alive()) {
            this->on_lost(request, attempt, "refused");
            return;
        }
        node->submit(open, head);
    });
    this->site.queue.after(head.deadline + caller_grace_period,
                           [this, request, attempt] { this->time_out(request, attempt); });
}

bool site_callers::close(std::size_t request, std::int64_t attempt) {
    return std::exchange(this->requests[request].attempts[static_cast<std::size_t>(attempt - 1)].open, false);
}

void site_callers::time_out(std::size_t request, std::int64_t attempt) {
    if (!this->close(request, attempt)) {
        return;
    }
    history_event lost = this->make_event(event_kind::connection_lost, request, attempt);
    lost.text = "timeout";
    this->site.history.record(std::move(lost));
    const auto& node = this->requests[request].attempts[static_cast<std::size_t>(attempt - 1)].node;
    if (node) {
        node->caller_gone(request, attempt);
    }
    this->results[request].lost = !this->results[request].done;
}

void site_callers::on_result(std::size_t request, std::int64_t attempt, const fake_run_answer& answer) {
    if (!this->close(request, attempt)) {
        return;
    }
    history_event event = this->make_event(event_kind::answer, request, attempt);
    event.status = 200;
    event.outcome = "ran";
    event.body = answer.body;
    event.complete = answer.complete;
    this->site.history.record(std::move(event));
    this->requests[request].ended = true;
    request_outcome& outcome = this->results[request];
    if (!std::exchange(outcome.done, true)) {
        outcome.latency = this->site.now() - (this->deadline_of(request) - this->workload[request].deadline);
    }
}

void site_callers::on_refusal(std::size_t request, std::int64_t attempt, const refusal& answer) {
    if (!this->close(request, attempt)) {
        return;
    }
    history_event event = this->make_event(event_kind::answer, request, attempt);
    event.status = answer.status;
    event.text = answer.error;
    event.outcome = to_string(answer.outcome);
    this->site.history.record(std::move(event));
    request_outcome& outcome = this->results[request];
    outcome.error = answer.error;
    outcome.refused_full = answer.status == 429;
    const bool temporary = answer.status == 503 && answer.outcome == run_outcome::not_run;
    const bool repeatable = answer.outcome == run_outcome::unknown && this->workload[request].idempotent &&
                            answer.status != 504 && answer.status != 409;
    if (temporary || repeatable) {
        this->retry(request, std::chrono::milliseconds(this->site.random.between(50, 250)));
    }
}

void site_callers::on_lost(std::size_t request, std::int64_t attempt, const std::string& cause) {
    if (!this->close(request, attempt)) {
        return;
    }
    history_event lost = this->make_event(event_kind::connection_lost, request, attempt);
    lost.text = cause;
    this->site.history.record(std::move(lost));
    this->results[request].lost = !this->results[request].done;
    // The same id is resubmitted through another node; the system must run non-idempotent work at most once.
    this->retry(request, std::chrono::milliseconds(20));
}

void site_callers::cancel(double fraction) {
    for (std::size_t request = 0; request < this->requests.size(); ++request) {
        request_state& state = this->requests[request];
        const bool has_open_attempt = std::ranges::any_of(state.attempts, &submission::open);
        if (!has_open_attempt || !this->site.random.chance(fraction)) {
            continue;
        }
        state.ended = true;
        for (std::int64_t attempt = 1; attempt <= std::ssize(state.attempts); ++attempt) {
            if (!this->close(request, attempt)) {
                continue;
            }
            history_event lost = this->make_event(event_kind::connection_lost, request, attempt);
            lost.text = "cancelled";
            this->site.history.record(std::move(lost));
            if (const auto& node = state.attempts[static_cast<std::size_t>(attempt - 1)].node) {
                node->caller_gone(request, attempt);
            }
        }
    }
}

} // namespace hornbeamrail
