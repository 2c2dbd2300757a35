#include "fakes/simulated_node.hpp"

#include "protocol/digest.hpp"

#include <boost/json/serialize.hpp>

#include <utility>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_interval{20};
constexpr milliseconds platform_timeout{1000};
constexpr milliseconds connection_refusal_delay{2};

boot_clock::duration log_delay(const fake_log& log) {
    return log.faults().delay;
}

} // namespace

simulated_node::simulated_node(site_world& world, node_identity identity, const core_timings& timings,
                               const injected_defects& injected, node_events callbacks, node_lookup lookup)
    : site(world), own_identity(std::move(identity)), defects(injected), events(std::move(callbacks)),
      find_node(std::move(lookup)), clock_rate(0.99 + 0.02 * world.random.unit()),
      clock_offset(std::chrono::seconds(world.random.between(0, 100000))), longest_run(timings.longest_run),
      coordination({.node_id = this->own_identity.node_id,
                    .peer_address = this->own_identity.address,
                    .zone = this->own_identity.zone,
                    .region = "r1",
                    .peer_seeds = this->own_identity.seeds,
                    .seed = world.random.next(),
                    .timings = timings}),
      dispatching(this->make_reader(), {.zone = this->own_identity.zone, .seed = world.random.next()}) {}

boot_time simulated_node::clock() const {
    const auto elapsed = this->site.now() - site_world::start;
    const auto local = static_cast<boot_clock::rep>(static_cast<double>(elapsed.count()) * this->clock_rate);
    return site_world::start + this->clock_offset + boot_clock::duration(local);
}

core_reader simulated_node::make_reader() {
    core_reader reader = read_from(this->coordination);
    if (this->defects.ignores_limits) {
        reader.usable_units = [usable = reader.usable_units](std::string_view team) {
            return 10 * usable(team);
        };
    }
    if (this->defects.always_fresh && this->own_identity.defective) {
        reader.view_is_fresh = [](boot_time) {
            return true;
        };
    }
    return reader;
}

void simulated_node::start() {
    this->sample_view();
    this->tick_periodically();
}

void simulated_node::after(boot_clock::duration delay, std::function<void()> action) {
    this->site.queue.after(delay, [self = this->shared_from_this(), action = std::move(action)]() mutable {
        self->deliver(std::move(action));
    });
}

void simulated_node::deliver(std::function<void()> action) {
    if (!this->running) {
        return;
    }
    if (this->paused()) {
        this->site.queue.at(this->paused_until,
                            [self = this->shared_from_this(), action = std::move(action)]() mutable {
                                self->deliver(std::move(action));
                            });
        return;
    }
    action();
    this->schedule_tick();
}

void simulated_node::tick_periodically() {
    this->run_tick();
    this->site.queue.after(tick_interval, [self = this->shared_from_this()] {
        if (self->running && self->paused()) {
            self->site.queue.at(self->paused_until,
                                [self] { self->deliver([self] { self->tick_periodically(); }); });
        } else if (self->running) {
            self->tick_periodically();
        }
    });
}

void simulated_node::schedule_tick() {
    if (std::exchange(this->tick_pending, true)) {
        return;
    }
    this->site.queue.after({}, [self = this->shared_from_this()] {
        self->tick_pending = false;
        if (self->running && !self->paused()) {
            self->run_tick();
        }
    });
}

void simulated_node::run_tick() {
    for (const core_action& action : this->coordination.tick(this->clock())) {
        this->carry_out(action);
    }
    for (const dispatch_action& action : this->dispatching.tick(this->clock())) {
        this->carry_out(action);
    }
    this->report_demand();
    this->sample_view();
    if (this->stopping &&
        (this->defects.stops_at_once || (this->dispatching.idle() && this->coordination.is_stopped()))) {
        this->site.history.record(
            {.at = this->site.now(), .kind = event_kind::stop_end, .node = this->own_identity.process});
        this->end("stopped");
    }
}

void simulated_node::report_demand() {
    if (this->site.now() - this->demand_reported_at < milliseconds(100)) {
        return;
    }
    this->demand_reported_at = this->site.now();
    this->coordination.on_wall_clock(this->clock(), this->own_identity.wall_start +
                                                        std::chrono::duration_cast<std::chrono::seconds>(
                                                            this->site.now() - site_world::start));
    std::vector<team_units> running_units;
    for (const team_config& team : this->coordination.state()->config().teams) {
        if (const std::int64_t units = this->dispatching.running_units(team.name); units > 0) {
            running_units.push_back({team.name, units});
        }
    }
    this->coordination.report_demand(this->clock(), this->dispatching.demand(this->clock()), running_units);
}

void simulated_node::sample_view() {
    const auto state = this->coordination.state();
    const bool fresh = !this->paused() && this->coordination.view_is_fresh(this->clock());
    if (state->config_version() != this->recorded_version) {
        this->recorded_digest = sha256_hex(boost::json::serialize(to_json(state->config()))).substr(0, 12);
    }
    if (state->config_version() != std::exchange(this->recorded_version, state->config_version()) ||
        fresh != std::exchange(this->recorded_fresh, fresh)) {
        this->site.history.record({.at = this->site.now(),
                                   .kind = event_kind::node_view,
                                   .node = this->own_identity.process,
                                   .body = this->recorded_digest,
                                   .version = this->recorded_version,
                                   .fresh = fresh});
    }
    if (this->site.now() - this->pools_recorded_at < milliseconds(500) ||
        state->next_offset() == this->recorded_pools_offset) {
        return;
    }
    this->pools_recorded_at = this->site.now();
    this->recorded_pools_offset = state->next_offset();
    std::string pools;
    for (const auto& [id, vm] : state->vms()) {
        pools += id + "=" + vm.vm.pool + " ";
    }
    this->site.history.record({.at = this->site.now(),
                               .kind = event_kind::pool_view,
                               .node = this->own_identity.process,
                               .body = std::move(pools),
                               .version = this->recorded_pools_offset});
}

void simulated_node::end(const std::string& cause) {
    if (!std::exchange(this->running, false)) {
        return;
    }
    this->site.history.record({.at = this->site.now(),
                               .kind = event_kind::node_end,
                               .node = this->own_identity.process,
                               .text = cause});
    for (const auto& [ticket, request] : std::exchange(this->open_requests, {})) {
        this->events.on_lost(request.request, request.attempt, cause);
    }
}

void simulated_node::pause(boot_clock::duration length) {
    this->paused_until = this->site.now() + length;
    // A paused process does not act on its view. The next sample is taken when it resumes.
    this->sample_view();
}

void simulated_node::begin_stop() {
    this->deliver([this] {
        if (std::exchange(this->stopping, true)) {
            return;
        }
        this->site.history.record(
            {.at = this->site.now(), .kind = event_kind::stop_begin, .node = this->own_identity.process});
        this->dispatching.begin_stop(this->clock());
        this->coordination.begin_stop(this->clock());
    });
}

bool simulated_node::healthy() const {
    const bool fresh = this->recorded_fresh || (this->defects.always_fresh && this->own_identity.defective);
    return this->running && !this->stopping && !this->paused() && fresh;
}

void simulated_node::submit(const open_request& request, const incoming_request& head) {
    this->deliver([this, request, head] {
        const auto outcome = this->dispatching.submit(this->clock(), head);
        if (const auto* refused = std::get_if<refusal>(&outcome)) {
            this->events.on_refusal(request.request, request.attempt, *refused);
            return;
        }
        this->open_requests.emplace(std::get<ticket_id>(outcome), request);
    });
}

void simulated_node::caller_gone(std::size_t request, std::int64_t attempt) {
    this->deliver([this, request, attempt] {
        for (auto entry = this->open_requests.begin(); entry != this->open_requests.end(); ++entry) {
            if (entry->second.request == request && entry->second.attempt == attempt) {
                this->dispatching.on_caller_gone(this->clock(), entry->first);
                return;
            }
        }
    });
}

void simulated_node::carry_out(const core_action& action) {
    std::visit([this](const auto& specific) { this->carry_out(specific); }, action);
}

void simulated_node::carry_out(const dispatch_action& action) {
    std::visit([this](const auto& specific) { this->carry_out(specific); }, action);
}

void simulated_node::carry_out(append_records action) {
    const auto self = this->shared_from_this();
    const auto fail = [self, batch = action.batch](boot_clock::duration delay) {
        self->after(delay, [self, batch] { self->coordination.on_append_failed(self->clock(), batch); });
    };
    const bool sent = this->site.send(this->own_identity.node_id, site_world::platform, [self, action, fail] {
        self->site.queue.after(log_delay(self->site.log), [self, action, fail] {
            const fake_append_result outcome = self->site.log.append(action.records);
            const bool answered =
                outcome.first_offset &&
                self->site.send(site_world::platform, self->own_identity.node_id, [self, action, outcome] {
                    self->deliver([self, action, outcome] {
                        self->coordination.on_append(self->clock(), action.batch, *outcome.first_offset);
                    });
                });
            if (!answered) {
                fail(platform_timeout);
            }
        });
    });
    if (!sent) {
        fail(platform_timeout);
    }
}

void simulated_node::carry_out(const read_log& action) {
    const auto self = this->shared_from_this();
    const boot_time read_started = this->clock();
    const bool sent =
        this->site.send(this->own_identity.node_id, site_world::platform, [self, action, read_started] {
            self->site.queue.after(log_delay(self->site.log), [self, action, read_started] {
                self->answer_read(action, read_started, self->site.now() + action.wait);
            });
        });
    if (!sent) {
        this->after(platform_timeout, [this] { this->coordination.on_log_read_failed(this->clock()); });
    }
}

void simulated_node::answer_read(const read_log& action, boot_time read_started, boot_time wait_until) {
    const auto self = this->shared_from_this();
    const auto read = this->site.log.read(action.from, static_cast<std::size_t>(action.max_records));
    if (read && read->entries.empty() && this->site.now() < wait_until) {
        this->site.queue.after(milliseconds(5), [self, action, read_started, wait_until] {
            self->answer_read(action, read_started, wait_until);
        });
        return;
    }
    const bool answered =
        read && this->site.send(site_world::platform, this->own_identity.node_id, [=, this] {
            self->deliver([=, this] {
                this->coordination.on_log_read(this->clock(), read_started,
                                               this->apply_record_defects(*read));
            });
        });
    if (!answered) {
        this->after(platform_timeout, [this] { this->coordination.on_log_read_failed(this->clock()); });
    }
}

void simulated_node::carry_out(const fetch_vm_list&) {
    const auto self = this->shared_from_this();
    const auto fail = [self] {
        self->after(platform_timeout, [self] { self->coordination.on_vm_list_failed(self->clock()); });
    };
    const bool sent = this->site.send(this->own_identity.node_id, site_world::platform, [self, fail] {
        auto list = self->site.vms.list(self->site.now());
        if (list && self->defects.hides_leaving) {
            for (vm_listing& listing : list->vms) {
                listing.state = vm_state::live;
            }
        }
        const bool answered =
            list && self->site.send(site_world::platform, self->own_identity.node_id, [self, list] {
                self->deliver([self, list] { self->coordination.on_vm_list(self->clock(), *list); });
            });
        if (!answered) {
            fail();
        }
    });
    if (!sent) {
        fail();
    }
}

void simulated_node::call_peer(const endpoint& peer, const wire::PeerRequest& request,
                               boot_clock::duration timeout,
                               std::function<void(const wire::PeerResponse*)> done) {
    const auto self = this->shared_from_this();
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [self, finished, done](const wire::PeerResponse* response) {
        if (!std::exchange(*finished, true)) {
            done(response);
        }
    };
    this->after(timeout, [finish] { finish(nullptr); });
    const auto target = this->find_node(peer);
    if (!target) {
        this->after(connection_refusal_delay, [finish] { finish(nullptr); });
        return;
    }
    this->site.send(this->own_identity.node_id, target->own_identity.node_id,
                    [self, target, request, finish] {
                        target->deliver([self, target, request, finish] {
                            const wire::PeerResponse response =
                                target->coordination.on_peer_request(target->clock(), request);
                            target->site.send(target->own_identity.node_id, self->own_identity.node_id,
                                              [self, response, finish] {
                                                  self->deliver([response, finish] { finish(&response); });
                                              });
                        });
                    });
}

void simulated_node::carry_out(const send_peer_request& action) {
    this->call_peer(action.call.peer, action.request, action.timeout,
                    [this, call = action.call](const wire::PeerResponse* response) {
                        if (!response) {
                            this->coordination.on_peer_failed(this->clock(), call);
                            return;
                        }
                        wire::PeerResponse received = *response;
                        if (received.__isset.records) {
                            for (wire::Record& record : received.records.records) {
                                record.data = this->apply_record_defects(record.data);
                            }
                        }
                        this->coordination.on_peer_response(this->clock(), call, received);
                    });
}

vm_operation_state simulated_node::call_platform(const vm_call& action) {
    const bool accepted = action.operation == vm_call::kind::drain
                              ? this->site.drain_vm(action.vm, action.operation_id)
                          : action.operation == vm_call::kind::reboot
                              ? this->site.reboot_vm(action.vm, action.operation_id, action.pool)
                              : true;
    if (!accepted || this->site.vms.faults().down) {
        return vm_operation_state::failed;
    }
    const auto status = this->site.vms.operation(this->site.now(), action.vm);
    return status && status->operation_id == action.operation_id ? status->state
                                                                 : vm_operation_state::unknown;
}

void simulated_node::carry_out(const vm_call& action) {
    const auto self = this->shared_from_this();
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [self, finished, action](vm_operation_state state) {
        if (!std::exchange(*finished, true)) {
            self->coordination.on_vm_call_answer(self->clock(), action, state);
        }
    };
    this->after(platform_timeout, [finish] { finish(vm_operation_state::failed); });
    this->site.send(this->own_identity.node_id, site_world::platform, [self, action, finish] {
        const vm_operation_state state = self->call_platform(action);
        self->site.send(site_world::platform, self->own_identity.node_id,
                        [self, finish, state] { self->deliver([finish, state] { finish(state); }); });
    });
}

std::optional<endpoint> simulated_node::address_of(incarnation_id incarnation) const {
    const node_info* node = this->coordination.state()->find_node(incarnation);
    return node ? std::optional(node->peer_address) : std::nullopt;
}

void simulated_node::carry_out(const ask_claim& action) {
    if (this->defects.grants_every_claim) {
        wire::ClaimAnswer granted;
        granted.status = wire::ClaimStatus::granted;
        this->after({}, [this, ticket = action.ticket, granted] {
            this->dispatching.on_claim_answer(this->clock(), ticket, granted);
        });
        return;
    }
    wire::PeerRequest request;
    request.__set_claim(action.claim);
    const auto done = [this, ticket = action.ticket](const wire::PeerResponse* response) {
        if (response && response->__isset.claim) {
            this->dispatching.on_claim_answer(this->clock(), ticket, response->claim);
        } else {
            this->dispatching.on_claim_failed(this->clock(), ticket);
        }
    };
    const auto address = this->address_of(action.owner);
    if (!address) {
        this->after({}, [done] { done(nullptr); });
        return;
    }
    this->call_peer(*address, request, milliseconds(1000), done);
}

void simulated_node::carry_out(const resolve_claim& action) {
    const auto address = this->address_of(action.owner);
    if (this->defects.grants_every_claim || !address) {
        return;
    }
    wire::PeerRequest request;
    request.__set_resolve_claim(action.resolution);
    this->call_peer(*address, request, milliseconds(1000),
                    [this, action](const wire::PeerResponse* response) {
                        if (!response) {
                            this->after(milliseconds(200), [this, action] { this->carry_out(action); });
                        }
                    });
}

void simulated_node::carry_out(const dispatch_request& action) {
    const auto self = this->shared_from_this();
    const auto found = this->open_requests.find(action.ticket);
    if (found == this->open_requests.end()) {
        return;
    }
    const open_request request = found->second;
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [self, finished, ticket = action.ticket](dispatch_end end,
                                                                 const fake_run_answer* answer) {
        if (!std::exchange(*finished, true)) {
            self->finish_dispatch(ticket, end, answer);
        }
    };
    const auto reply = [self, vm = action.vm, finish](dispatch_end end,
                                                      std::optional<fake_run_answer> answer) {
        self->site.send(vm, self->own_identity.node_id, [self, finish, end, answer] {
            self->deliver([finish, end, answer] { finish(end, answer ? &*answer : nullptr); });
        });
    };
    this->after(action.remaining + stop_answer_wait, [finish] { finish(dispatch_end::timed_out, nullptr); });
    // The delay allows a pause of the process between the decision and the send.
    this->after(boot_clock::duration(50), [self, action, request, reply, finish] {
        const bool sent =
            self->site.send(self->own_identity.node_id, action.vm, [self, action, request, reply] {
                const fake_run run{.token = action.lease_token,
                                   .correlation_id = action.correlation_id,
                                   .body = request.body,
                                   .run_time = request.run_time,
                                   .remaining = action.remaining};
                const run_owner owner{self->own_identity.process, request.id, request.attempt,
                                      action.service};
                const bool ignores_correlation = self->defects.ignores_correlation;
                const auto answered = [reply, ignores_correlation, correlation_id = action.correlation_id](
                                          const fake_run_answer* answer) {
                    if (!answer) {
                        reply(dispatch_end::no_answer, std::nullopt);
                    } else if (!ignores_correlation &&
                               (answer->correlation_id != correlation_id || !answer->complete)) {
                        reply(dispatch_end::no_answer, std::nullopt);
                    } else if (answer->stopped) {
                        reply(dispatch_end::stopped, std::nullopt);
                    } else if (answer->failed) {
                        reply(dispatch_end::failed_answer, std::nullopt);
                    } else {
                        reply(dispatch_end::answered, *answer);
                    }
                };
                switch (self->site.run(action.vm, run, owner, answered)) {
                case delivery_result::started:
                    break;
                case delivery_result::busy:
                    reply(dispatch_end::busy, std::nullopt);
                    break;
                case delivery_result::lease_lapsed:
                    reply(dispatch_end::lease_lapsed, std::nullopt);
                    break;
                case delivery_result::wrong_service:
                    reply(dispatch_end::failed_answer, std::nullopt);
                    break;
                case delivery_result::refused:
                    reply(dispatch_end::not_sent, std::nullopt);
                    break;
                }
            });
        if (!sent && self->site.link.is_cut(self->own_identity.node_id, action.vm)) {
            self->after(milliseconds(500), [finish] { finish(dispatch_end::no_answer, nullptr); });
        }
    });
}

void simulated_node::finish_dispatch(ticket_id ticket, dispatch_end end, const fake_run_answer* answer) {
    const bool lost =
        end == dispatch_end::no_answer || end == dispatch_end::timed_out || end == dispatch_end::stopped;
    if (lost && this->defects.misreports_lost_runs) {
        end = dispatch_end::not_sent;
    }
    const bool forwards_answer = this->dispatching.on_dispatch_done(this->clock(), ticket, {end});
    const auto found = this->open_requests.find(ticket);
    if (!forwards_answer || found == this->open_requests.end()) {
        return;
    }
    const open_request request = found->second;
    this->open_requests.erase(found);
    if (answer && !(this->defects.loses_answers && this->site.random.chance(0.33))) {
        this->events.on_result(request.request, request.attempt, *answer);
    }
}

void simulated_node::carry_out(const renew_lease& action) {
    const auto self = this->shared_from_this();
    const boot_time sent_at = this->clock();
    const auto finished = std::make_shared<bool>(false);
    const auto finish = [self, finished, vm = action.vm, sent_at](const lease_answer* answer) {
        if (std::exchange(*finished, true)) {
            return;
        }
        if (answer) {
            self->dispatching.on_lease(self->clock(), vm, sent_at, *answer);
        } else {
            self->dispatching.on_lease_failed(self->clock(), vm);
        }
    };
    this->after(milliseconds(500), [finish] { finish(nullptr); });
    this->site.send(this->own_identity.node_id, action.vm, [self, vm = action.vm, finish] {
        simulated_vm* machine = self->site.find_vm(vm);
        std::optional<lease_answer> answer;
        if (machine && machine->alive && !machine->rebooting) {
            const slot_lease lease = machine->executor.lease(self->site.now(), self->own_identity.process);
            answer = lease_answer{.token = lease.token,
                                  .ttl = std::chrono::duration_cast<milliseconds>(lease.ttl),
                                  .slots = lease.slots,
                                  .running = lease.running,
                                  .leaving = lease.leaving && !self->defects.hides_leaving};
        }
        self->site.send(vm, self->own_identity.node_id, [self, finish, answer] {
            self->deliver([finish, answer] { finish(answer ? &*answer : nullptr); });
        });
    });
}

void simulated_node::carry_out(const refuse_ticket& action) {
    const auto found = this->open_requests.find(action.ticket);
    if (found == this->open_requests.end()) {
        return;
    }
    const open_request request = found->second;
    this->open_requests.erase(found);
    this->events.on_refusal(request.request, request.attempt, action.answer);
}

log_read simulated_node::apply_record_defects(log_read read) const {
    for (log_entry& entry : read.entries) {
        entry.data = this->apply_record_defects(std::move(entry.data));
    }
    return read;
}

std::string simulated_node::apply_record_defects(std::string data) const {
    const bool changes_records = this->defects.swaps_pools || this->defects.ignores_revocations ||
                                 this->defects.ignores_zone_out || this->defects.ignores_config;
    if (!changes_records || !this->own_identity.defective) {
        return data;
    }
    error failure;
    auto record = value_or_error([&] { return decode_record(data); }, failure);
    if (!record) {
        return data;
    }
    const auto* config = std::get_if<config_record>(&record->body);
    const bool hidden =
        (this->defects.ignores_revocations && std::holds_alternative<key_revoke_record>(record->body)) ||
        (this->defects.ignores_zone_out && std::holds_alternative<zone_out_record>(record->body)) ||
        (this->defects.ignores_config && config && config->expected_version != 0);
    if (hidden) {
        return "{}";
    }
    if (auto* added = std::get_if<vm_add_record>(&record->body); added && this->defects.swaps_pools) {
        added->vms.front().pool = this->site.config.pools.back().name;
        return encode_record(*record);
    }
    return data;
}

} // namespace hornbeamrail
