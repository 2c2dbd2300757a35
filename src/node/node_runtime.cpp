#include "node/node_runtime.hpp"

#include "node/request_api.hpp"
#include "protocol/json_log.hpp"
#include "protocol/platform_json.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <set>

namespace hornbeamrail {

namespace {

constexpr std::chrono::milliseconds core_tick_interval{20};
constexpr std::chrono::milliseconds dispatcher_tick_interval{10};
constexpr std::chrono::milliseconds task_tick_interval{50};
constexpr std::chrono::milliseconds demand_interval{100};
constexpr std::chrono::milliseconds wall_clock_interval{10000};
constexpr std::chrono::milliseconds lease_timeout{1000};
constexpr std::chrono::milliseconds claim_timeout{1000};
constexpr std::chrono::milliseconds resolve_retry_interval{500};

lease_answer to_lease(const lease_message& message) {
    return {.token = message.token,
            .ttl = message.ttl,
            .slots = message.slots,
            .running = message.running,
            .leaving = message.leaving};
}

/// An executor whose clock is up to 1% fast stops work before the remaining time has passed by this node's
/// clock, which may itself be up to 1% slow; the check therefore allows 2%.
bool is_at_deadline(boot_clock::duration elapsed, std::chrono::milliseconds remaining) {
    return elapsed >= std::chrono::microseconds(remaining) * 98 / 100;
}

/// @param elapsed time since the dispatch began
/// @return how a dispatch ended, derived from the result of the call
dispatch_end classify_result(const http_call_result& result, boot_clock::duration elapsed,
                             std::chrono::milliseconds remaining) {
    if (result.status == call_status::unsent) {
        return dispatch_end::not_sent;
    }
    if (result.status == call_status::unknown) {
        return elapsed >= remaining ? dispatch_end::timed_out : dispatch_end::no_answer;
    }
    const auto& response = result.response;
    if (response.status == 200) {
        return dispatch_end::answered;
    }
    const auto outcome = response.headers.value_or("Outcome", "");
    if (outcome == "not_run") {
        return response.status == 409 ? dispatch_end::lease_lapsed : dispatch_end::busy;
    }
    // A 504 clearly before the deadline is a fault of the executor and must count against its health.
    if (response.status == 504 && outcome == "unknown" && is_at_deadline(elapsed, remaining)) {
        return dispatch_end::stopped;
    }
    return dispatch_end::failed_answer;
}

} // namespace

node_runtime::node_runtime(io_threads& workers, core_options core_settings,
                           const dispatcher_options& dispatcher_settings, const endpoint& platform_address,
                           std::shared_ptr<tls_settings> identity)
    : threads(workers), node_id(core_settings.node_id), core(std::move(core_settings)),
      dispatch(read_from(this->core), dispatcher_settings),
      tasks(read_from(this->core), make_unit_account_reference(this->dispatch),
            {.seed = dispatcher_settings.seed + 1}),
      platform(workers, platform_address), executors(workers, {.max_connections = 64}),
      task_workers(this->executors), peers(workers, {.tls = std::move(identity)}),
      published_state(std::make_shared<const fleet_state>()),
      request_latency(this->counters.latency_of("request_latency")),
      answered_ok(this->counters.counter_of("requests_answered_total")) {}

void node_runtime::start() {
    const auto weak = this->weak_from_this();
    const auto repeat = [&](std::chrono::milliseconds interval, auto&& step) {
        this->threads.repeat(interval, [weak, step] {
            const auto self = weak.lock();
            if (self) {
                step(*self);
            }
            return self != nullptr;
        });
    };
    repeat(core_tick_interval, [](node_runtime& self) { self.with_core([](node_core&, boot_time) {}); });
    repeat(dispatcher_tick_interval,
           [](node_runtime& self) { self.with_dispatcher([](dispatcher&, boot_time) {}); });
    repeat(task_tick_interval, [](node_runtime& self) { self.with_tasks([](task_manager&, boot_time) {}); });
    repeat(demand_interval, [](node_runtime& self) { self.report_demand(); });
    const auto update_wall_clock = [](node_runtime& self) {
        self.with_core([](node_core& target, boot_time now) {
            target.on_wall_clock(
                now, std::chrono::time_point_cast<std::chrono::seconds>(std::chrono::system_clock::now()));
        });
    };
    update_wall_clock(*this);
    repeat(wall_clock_interval, update_wall_clock);
}

void node_runtime::tick_core(boot_time now) {
    for (auto& action : this->core.tick(now)) {
        this->outbox.push_back(std::move(action));
    }
    this->published_state.store(this->core.state());
    this->published_epoch.store(this->core.epoch());
    const auto incarnation = this->core.incarnation();
    this->published_incarnation.store(incarnation);
    this->published_serving.store(incarnation != 0 && this->core.view_is_fresh(now));
}

void node_runtime::sync_tasks(boot_time now) {
    auto newest = this->core.state();
    if (newest == this->tasks_synced) {
        return;
    }
    this->tasks_synced = std::move(newest);
    // Runs before the core's lock is released: units of tasks that were handed over must be counted before
    // a request can use the grant that was handed over with them.
    const std::lock_guard lock(this->dispatcher_mutex);
    this->tasks.sync(now);
}

void node_runtime::report_demand() {
    {
        // The core returns the grant of units that the report shows as unused, so no start may happen between
        // the report and the tick.
        const std::lock_guard core_lock(this->core_mutex);
        const std::lock_guard lock(this->dispatcher_mutex);
        const auto now = boot_clock::now();
        std::vector<team_units> running;
        for (const auto& team : this->core.state()->config().teams) {
            auto units = this->dispatch.running_units(team.name);
            if (this->leaving.load()) {
                // Handed over with their tasks; leaving does not wait for them.
                units -= this->dispatch.task_units_held(team.name);
            }
            if (units > 0) {
                running.push_back({team.name, units});
            }
        }
        this->core.report_budgets(this->dispatch.budgets_left(now));
        this->core.report_demand(now, this->dispatch.demand(now), running);
        this->tick_core(now);
        this->tasks_synced = this->core.state();
        this->tasks.sync(now);
    }
    this->drain_outbox();
}

void node_runtime::drain_outbox() {
    // One thread at a time, so that actions are carried out in the order in which the core returned them.
    std::unique_lock lock(this->core_mutex);
    if (this->draining) {
        return;
    }
    this->draining = true;
    while (!this->outbox.empty()) {
        auto action = std::move(this->outbox.front());
        this->outbox.pop_front();
        lock.unlock();
        std::visit([this](auto& typed_action) { this->carry_out(std::move(typed_action)); }, action);
        lock.lock();
    }
    this->draining = false;
}

void node_runtime::carry_out(append_records action) {
    this->platform.append(action.records, [self = this->shared_from_this(),
                                           batch = action.batch](std::optional<log_offset> first) {
        self->with_core([&](node_core& target, boot_time now) {
            if (first) {
                target.on_append(now, batch, *first);
            } else {
                target.on_append_failed(now, batch);
            }
        });
    });
}

void node_runtime::carry_out(const read_log& action) {
    const auto started = boot_clock::now();
    this->platform.read(action.from, action.max_records, action.wait,
                        [self = this->shared_from_this(), started](const std::optional<log_read>& read) {
                            self->with_core([&](node_core& target, boot_time now) {
                                if (read) {
                                    target.on_log_read(now, started, *read);
                                } else {
                                    target.on_log_read_failed(now);
                                }
                            });
                        });
}

void node_runtime::carry_out(const fetch_vm_list&) {
    this->platform.list_vms([self = this->shared_from_this()](const std::optional<vm_list>& list) {
        if (list) {
            self->with_tasks([&](task_manager& manager, boot_time) { manager.on_vm_list(*list); });
        }
        self->with_core([&](node_core& target, boot_time now) {
            if (list) {
                target.on_vm_list(now, *list);
            } else {
                target.on_vm_list_failed(now);
            }
        });
    });
}

void node_runtime::carry_out(const send_peer_request& action) {
    this->peers.call(action.call.peer, action.request, action.timeout,
                     [self = this->shared_from_this(), call = action.call](
                         const std::optional<wire::PeerResponse>& response, const std::string&) {
                         self->with_core([&](node_core& target, boot_time now) {
                             if (response) {
                                 target.on_peer_response(now, call, *response);
                             } else {
                                 target.on_peer_failed(now, call);
                             }
                         });
                     });
}

void node_runtime::carry_out(const vm_call& action) {
    auto done = [self = this->shared_from_this(), action](vm_operation_state state) {
        self->with_core(
            [&](node_core& target, boot_time now) { target.on_vm_call_answer(now, action, state); });
    };
    if (action.operation == vm_call::kind::query) {
        this->platform.query_operation(action.vm, action.operation_id, std::move(done));
        return;
    }
    this->platform.operate(action.vm, action.operation == vm_call::kind::drain ? "drain" : "reboot",
                           action.operation_id, action.pool, std::move(done));
}

wire::PeerResponse node_runtime::answer_peer(const wire::PeerRequest& request) {
    return this->with_core(
        [&](node_core& target, boot_time now) { return target.on_peer_request(now, request); });
}

void node_runtime::submit(const incoming_request& request, std::string body, const http_reply& reply) {
    std::vector<dispatch_action> actions;
    std::optional<refusal> refused_at_once;
    {
        const std::lock_guard core_lock(this->core_mutex);
        const std::lock_guard lock(this->dispatcher_mutex);
        const auto now = boot_clock::now();
        auto submitted = this->dispatch.submit(now, request);
        if (const auto* ticket = std::get_if<ticket_id>(&submitted)) {
            reply.on_caller_gone([weak = this->weak_from_this(), id = *ticket] {
                if (const auto self = weak.lock()) {
                    self->on_caller_gone(id);
                }
            });
            const std::lock_guard pending_lock(this->pending_mutex);
            this->pending.emplace(
                *ticket, pending_request{.body = std::make_shared<const std::string>(std::move(body)),
                                         .request_id = request.request_id,
                                         .reply = reply,
                                         .arrived = now});
        } else {
            refused_at_once = std::move(std::get<refusal>(submitted));
        }
        actions = this->dispatch.tick(now);
    }
    if (refused_at_once) {
        this->count_refusal(*refused_at_once);
        auto response = to_response(*refused_at_once);
        this->add_common_headers(response, request.request_id);
        reply.send(std::move(response));
    }
    this->carry_out(std::move(actions));
}

void node_runtime::carry_out(std::vector<dispatch_action> actions) {
    for (auto& action : actions) {
        std::visit([this](auto& typed_action) { this->carry_out(std::move(typed_action)); }, action);
    }
}

void node_runtime::call_claim_owner(incarnation_id owner, const wire::PeerRequest& request,
                                    std::function<void(std::optional<wire::PeerResponse>)> done) {
    const auto current = this->state();
    const auto* node = current->find_node(owner);
    if (node == nullptr) {
        done(std::nullopt);
        return;
    }
    if (node->node_id == this->node_id) {
        done(this->answer_peer(request));
        return;
    }
    this->peers.call(node->peer_address, request, claim_timeout,
                     [done = std::move(done)](std::optional<wire::PeerResponse> response,
                                              const std::string&) { done(std::move(response)); });
}

void node_runtime::carry_out(const ask_claim& action) {
    wire::PeerRequest request;
    request.__set_claim(action.claim);
    this->call_claim_owner(action.owner, request,
                           [self = this->shared_from_this(),
                            ticket = action.ticket](const std::optional<wire::PeerResponse>& response) {
                               self->with_dispatcher([&](dispatcher& target, boot_time now) {
                                   if (response && response->__isset.claim) {
                                       target.on_claim_answer(now, ticket, response->claim);
                                   } else {
                                       target.on_claim_failed(now, ticket);
                                   }
                               });
                           });
}

void node_runtime::carry_out(const resolve_claim& action) {
    wire::PeerRequest request;
    request.__set_resolve_claim(action.resolution);
    this->call_claim_owner(
        action.owner, request,
        [self = this->shared_from_this(), action](const std::optional<wire::PeerResponse>& response) {
            if (response || self->state()->find_node(action.owner) == nullptr) {
                return; // received, or the owner has left the fleet and its claims are void
            }
            self->threads.run_after(resolve_retry_interval, [self, action] { self->carry_out(action); });
        });
}

void node_runtime::carry_out(dispatch_request action) {
    http_call call{.target = action.address,
                   .request = {.method = "POST", .target = "/run", .headers = {}, .body = {}},
                   .timeout = action.remaining + stop_answer_wait,
                   .correlation_id = action.correlation_id};
    bool found = false;
    {
        const std::lock_guard lock(this->pending_mutex);
        const auto entry = this->pending.find(action.ticket);
        if (entry != this->pending.end() && !entry->second.caller_gone) {
            found = true;
            entry->second.in_flight = true;
            ++this->in_flight;
            call.request.body = *entry->second.body;
        }
    }
    if (!found) {
        this->with_dispatcher([&](dispatcher& target, boot_time now) {
            target.on_dispatch_done(now, action.ticket, {dispatch_end::not_sent});
        });
        return;
    }
    auto& headers = call.request.headers;
    headers.reserve(5);
    headers.add("Lease-Token", action.lease_token);
    headers.add("Service", action.service);
    headers.add("Deadline-Ms", std::to_string(action.remaining.count()));
    this->executors.call(std::move(call), [self = this->shared_from_this(), action = std::move(action),
                                           sent_at = boot_clock::now()](http_call_result result) {
        self->on_run_answer(action, sent_at, std::move(result));
    });
}

void node_runtime::on_run_answer(const dispatch_request& action, boot_time sent_at, http_call_result result) {
    const auto end = classify_result(result, boot_clock::now() - sent_at, action.remaining);
    bool deliver = false;
    boot_time answered_at{};
    std::optional<pending_request> done;
    std::vector<dispatch_action> actions;
    {
        const std::lock_guard core_lock(this->core_mutex);
        const std::lock_guard lock(this->dispatcher_mutex);
        const auto now = boot_clock::now();
        answered_at = now;
        deliver = this->dispatch.on_dispatch_done(now, action.ticket, {end});
        bool all_in_flight = false;
        {
            const std::lock_guard pending_lock(this->pending_mutex);
            const auto entry = this->pending.find(action.ticket);
            if (entry != this->pending.end()) {
                auto& request = entry->second;
                this->in_flight -= std::exchange(request.in_flight, false) ? 1 : 0;
                request.was_sent |= end != dispatch_end::not_sent && end != dispatch_end::busy &&
                                    end != dispatch_end::lease_lapsed;
                if (deliver || request.caller_gone) {
                    done = std::move(request);
                    this->pending.erase(entry);
                }
            }
            all_in_flight = this->in_flight == this->pending.size();
        }
        // If all pending requests are in flight, none needs the freed slot before the timer's next tick.
        if (!deliver || !all_in_flight) {
            actions = this->dispatch.tick(now);
        }
    }
    if (done && deliver) {
        this->answered_ok.add();
        this->answer(answered_at, *done, to_caller_response(std::move(result.response)));
    }
    this->carry_out(std::move(actions));
}

void node_runtime::carry_out(const renew_lease& action) {
    http_call call{.target = action.address,
                   .request = {.method = "POST",
                               .target = "/lease",
                               .headers = {},
                               .body = boost::json::serialize(boost::json::object{
                                   {"holder", this->node_id}, {"incarnation", this->incarnation()}})},
                   .timeout = lease_timeout,
                   .correlation_id = {}};
    const auto sent_at = boot_clock::now();
    this->executors.call(std::move(call), [self = this->shared_from_this(), vm = action.vm,
                                           sent_at](const http_call_result& result) {
        const auto lease = result.status == call_status::answered && result.response.status == 200
                               ? decode_lease(result.response.body)
                               : std::nullopt;
        self->with_dispatcher([&](dispatcher& target, boot_time now) {
            if (lease) {
                target.on_lease(now, vm, sent_at, to_lease(*lease));
            } else {
                target.on_lease_failed(now, vm);
            }
        });
    });
}

void node_runtime::count_refusal(const refusal& answer) {
    this->counters
        .counter_of("requests_refused_total",
                    {{"error", answer.error}, {"outcome", std::string(to_string(answer.outcome))}})
        .add();
}

void node_runtime::carry_out(const refuse_ticket& action) {
    auto request = this->take_pending(action.ticket);
    if (request) {
        this->count_refusal(action.answer);
        this->answer(boot_clock::now(), *request, to_response(action.answer));
    }
}

void node_runtime::on_caller_gone(ticket_id ticket) {
    std::optional<pending_request> dropped;
    std::vector<dispatch_action> actions;
    {
        const std::lock_guard core_lock(this->core_mutex);
        const std::lock_guard lock(this->dispatcher_mutex);
        const auto now = boot_clock::now();
        this->dispatch.on_caller_gone(now, ticket);
        const std::lock_guard pending_lock(this->pending_mutex);
        const auto entry = this->pending.find(ticket);
        if (entry != this->pending.end() && entry->second.in_flight) {
            entry->second.caller_gone = true; // removed when the dispatch ends
        } else if (entry != this->pending.end()) {
            dropped = std::move(entry->second);
            this->pending.erase(entry);
        }
        actions = this->dispatch.tick(now);
    }
    if (dropped) {
        // The caller may have closed only its sending side and can still read the answer.
        this->answer(boot_clock::now(), *dropped,
                     make_error_response(503, "caller_gone", "the caller closed its connection",
                                         "keep the connection open until the answer",
                                         dropped->was_sent ? "unknown" : "not_run"));
    }
    this->carry_out(std::move(actions));
}

std::optional<node_runtime::pending_request> node_runtime::take_pending(ticket_id ticket) {
    const std::lock_guard lock(this->pending_mutex);
    const auto entry = this->pending.find(ticket);
    if (entry == this->pending.end()) {
        return std::nullopt;
    }
    this->in_flight -= entry->second.in_flight ? 1 : 0;
    std::optional<pending_request> taken(std::move(entry->second));
    this->pending.erase(entry);
    return taken;
}

void node_runtime::answer(boot_time now, pending_request& request, http_response response) {
    this->request_latency.record(now - request.arrived);
    this->add_common_headers(response, request.request_id);
    request.reply.send(std::move(response));
}

void node_runtime::add_common_headers(http_response& response, const std::string& request_id) const {
    if (!request_id.empty()) {
        response.headers.add("Request-Id", request_id);
    }
    response.headers.add("Hornbeamrail-Epoch", std::to_string(this->epoch()));
}

void node_runtime::begin_stop() {
    if (this->stop_begun.exchange(true)) {
        return;
    }
    this->with_dispatcher([](dispatcher& target, boot_time now) { target.begin_stop(now); });
    this->with_tasks([](task_manager& manager, boot_time) { manager.begin_stop(); });
}

void node_runtime::begin_leave() {
    this->leaving.store(true);
    this->with_core([](node_core& target, boot_time now) { target.begin_stop(now); });
}

void node_runtime::carry_out(const append_task_record& action) {
    this->with_core([&](node_core& target, boot_time now) {
        // A full queue drops the record; the task manager then sees no outcome and appends it again.
        target.submit_change(now, action.change_id, action.body);
    });
}

void node_runtime::carry_out(const reserve_worker& action) {
    this->task_workers.reserve(
        action, [self = this->shared_from_this(), id = action.task_id, token = action.fencing_token,
                 sent_at = boot_clock::now()](worker_answer answer, const std::string& lease) {
            self->with_tasks([&](task_manager& manager, boot_time now) {
                manager.on_reserved(now, id, token, sent_at, answer, lease);
            });
        });
}

void node_runtime::carry_out(const command_worker& action) {
    this->task_workers.command(action, [self = this->shared_from_this(), id = action.task_id,
                                        token = action.fencing_token, command = action.command,
                                        sent_at = boot_clock::now()](worker_answer answer) {
        self->with_tasks([&](task_manager& manager, boot_time now) {
            manager.on_command_done(now, id, token, command, sent_at, answer);
        });
    });
}

void node_runtime::carry_out(const read_usage& action) {
    this->task_workers.usage(action, [self = this->shared_from_this(),
                                      vm = action.vm](const std::vector<task_report>& reports) {
        self->with_tasks([&](task_manager& manager, boot_time now) { manager.on_usage(now, vm, reports); });
    });
}

} // namespace hornbeamrail
