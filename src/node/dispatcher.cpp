#include "node/dispatcher.hpp"

#include "hornbeamrail/request_id.hpp"
#include "node/executor_table.hpp"
#include "node/refusals.hpp"
#include "node/unit_ledger.hpp"
#include "policy/access_index.hpp"
#include "policy/admission.hpp"
#include "policy/availability_budget.hpp"
#include "policy/drain_rate.hpp"
#include "policy/request_queue.hpp"
#include "policy/retry_budget.hpp"
#include "policy/slot_plan.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace hornbeamrail {

namespace {

constexpr std::chrono::milliseconds longest_deadline{30000};
/// Asks for a claim again this often when the partition has moved to another owner meanwhile.
constexpr int max_claim_asks = 3;
/// Run time that is assumed for a service before the first answer.
constexpr std::chrono::microseconds assumed_run{20000};

enum class ticket_phase { claiming, queued, waiting_retry, dispatched };

std::string_view to_string(ticket_phase phase) {
    switch (phase) {
    case ticket_phase::claiming:
        return "claiming";
    case ticket_phase::queued:
        return "queued";
    case ticket_phase::waiting_retry:
        return "waiting_retry";
    case ticket_phase::dispatched:
        return "dispatched";
    }
    return "unknown";
}

struct ticket_entry {
    ticket_id id = 0;
    incoming_request request;
    std::string team;
    boot_time arrived{};
    boot_time deadline{};
    ticket_phase phase = ticket_phase::queued;
    int dispatches = 0;
    bool caller_gone = false; ///< or already answered
    bool may_have_run = false;

    // Claim, for non-idempotent requests
    bool claimed = false;
    int claim_asks = 0;
    std::int64_t claim_attempt = 0; ///< tells the claims of one id by this node apart
    incarnation_id claimant = 0;
    incarnation_id owner = 0;

    // Dispatch
    executor_table::choice executor;
    boot_time started{};
    std::chrono::microseconds expected_run{};
    std::chrono::milliseconds remaining{};

    // Retry
    boot_time retry_at{};

    [[nodiscard]] run_outcome outcome() const {
        return this->may_have_run ? run_outcome::unknown : run_outcome::not_run;
    }
};

struct team_load {
    drain_rate drain;
    double shed_part = 0; ///< of arriving requests to refuse for a dependency
};

struct service_entry {
    const service_config* config = nullptr;
    request_queue queue;
    retry_budget retries;
    availability_budget availability;
    run_time_estimate run_time;
    std::map<std::string, team_load, std::less<>> teams;
    slot_plan plan;
    std::int64_t running = 0; ///< dispatched by this node
    std::int64_t aside = 0; ///< tickets that wait for a claim or a retry; they count against the queue limit
    std::int64_t started = 0;
    std::int64_t retried = 0;

    [[nodiscard]] std::chrono::microseconds expected_run() const {
        return this->run_time.mean().value_or(assumed_run);
    }

    /// @return the time that a request with this deadline needs after its start. Most runs take less; work
    /// that is cut
    ///         off at its deadline wastes its slot and, if its end is not certain, holds its unit longer.
    ///         Half of the deadline is the most, or callers with short deadlines would never be served.
    [[nodiscard]] std::chrono::microseconds time_to_leave(std::chrono::microseconds deadline) const {
        return std::min(this->run_time.high().value_or(std::chrono::microseconds(0)), deadline / 2);
    }
};

struct counters {
    std::int64_t submitted = 0;
    std::int64_t dispatched = 0;
    std::int64_t retried = 0;
    std::int64_t answered = 0;
    std::int64_t callers_gone = 0;
    std::int64_t busy = 0;
    std::int64_t lease_lapsed = 0;
    std::int64_t not_sent = 0;
    std::int64_t no_answer = 0;
    std::int64_t timed_out = 0;
    std::int64_t failed_answers = 0;
};

} // namespace

struct dispatcher::impl {
    impl(core_reader reader, dispatcher_options dispatcher_options)
        : core(std::move(reader)), options(std::move(dispatcher_options)), random(this->options.seed),
          executors({.zone = this->options.zone,
                     .seed = this->options.seed,
                     .lease_interval = this->options.lease_interval}),
          correlation_prefix(fmt::format("{:016x}", this->random())) {}

    // Inputs
    submit_result submit(boot_time now, const incoming_request& request);
    std::vector<dispatch_action> tick(boot_time now);
    void on_claim_answer(boot_time now, ticket_id id, const wire::ClaimAnswer& answer);
    void on_claim_failed(boot_time now, ticket_id id);
    bool on_dispatch_done(boot_time now, ticket_id id, dispatch_end end);
    void on_caller_gone(boot_time now, ticket_id id);

    // State and plans
    void take_state(boot_time now);
    void take_config();
    void plan(boot_time now);
    void plan_dependencies(const std::map<std::string, std::vector<request_queue::team_summary>>& teams);
    [[nodiscard]] std::vector<service_demand> demand(boot_time now) const;
    bool may_start_work(boot_time now) {
        return this->state != nullptr && this->core.incarnation() != 0 && this->core.view_is_fresh(now);
    }

    // Admission
    std::optional<refusal> check_request(boot_time now, const incoming_request& request);
    std::optional<refusal> check_arrival(boot_time now, const incoming_request& request,
                                         service_entry& service, const team_config& team);
    void set_part(service_entry& service, const team_config& team);
    void ask_for_claim(ticket_entry& ticket);
    bool enqueue(boot_time now, ticket_entry& ticket);

    // Dispatch
    void pump(boot_time now, service_entry& service);
    bool start(boot_time now, service_entry& service, ticket_entry& ticket);
    std::optional<refusal> check_before_start(ticket_entry& ticket);
    void expire(boot_time now);
    void wake_retries(boot_time now);
    void on_free_units(std::string_view team);
    void backlog_changed(boot_time now, service_entry& service, std::string_view team);

    // Ends
    void end_dispatch(boot_time now, ticket_entry& ticket, dispatch_end end);
    void queue_again(boot_time now, ticket_entry& ticket);
    void retry_paid_or_refuse(boot_time now, ticket_entry& ticket, std::string message);
    bool schedule_retry(boot_time now, ticket_entry& ticket);
    void refuse(boot_time now, ticket_entry& ticket, refusal answer);
    void log_refusal(boot_time now, const incoming_request& request, std::string_view team,
                     const refusal& answer);
    void resolve(ticket_entry& ticket, wire::ClaimResolution::type resolution);
    void leave_phase(boot_time now, ticket_entry& ticket);
    void erase(ticket_id id);
    service_entry* service_of(const ticket_entry& ticket);

    core_reader core;
    dispatcher_options options;
    std::mt19937_64 random;
    std::shared_ptr<const fleet_state> state;
    std::shared_ptr<const fleet_config> config;
    access_index access; ///< of `config`
    executor_table executors;
    unit_ledger units;
    unit_ledger task_units; ///< the part of `units` that tasks hold
    std::map<std::string, service_entry, std::less<>> services;
    std::unordered_map<ticket_id, ticket_entry> tickets;
    std::set<std::pair<boot_time, ticket_id>> deadlines; ///< of tickets that are not dispatched
    std::set<std::pair<boot_time, ticket_id>> retries;
    std::vector<dispatch_action> actions;
    refusal_log refusals;
    counters count;
    std::string correlation_prefix;
    ticket_id next_ticket = 1;
    std::int64_t claims_asked = 0;
    boot_time next_plan{};
    bool stopping = false;
};

// --- State and plans

void dispatcher::impl::take_state(boot_time now) {
    auto current = this->core.state();
    if (current == this->state || current == nullptr) {
        return;
    }
    this->state = std::move(current);
    this->executors.set_state(now, this->state);
    if (this->state->shared_config() != this->config) {
        this->take_config();
        this->next_plan = now;
    }
    // A new record may have raised a grant.
    for (auto& [name, service] : this->services) {
        service.queue.unblock_all();
    }
}

void dispatcher::impl::take_config() {
    this->config = this->state->shared_config();
    this->access = access_index(this->config);
    for (auto& [name, service] : this->services) {
        service.config = nullptr; // stays for its running requests; arrivals are refused as unknown_service
    }
    for (const auto& item : this->config->services) {
        auto& service = this->services[item.name];
        service.config = &item;
        service.queue.set_limit(item.queue_limit);
        service.availability.set_target(item.availability);
    }
}

std::vector<service_demand> dispatcher::impl::demand(boot_time now) const {
    std::vector<service_demand> list;
    std::map<std::string, std::int64_t> dispatched;
    for (const auto& [name, service] : this->services) {
        for (const auto& team : service.queue.teams()) {
            const auto waited = team.queued > 0 ? now - team.oldest_arrival : boot_clock::duration(0);
            list.push_back({.service = name,
                            .team = team.team,
                            .running = team.running,
                            .queued = team.queued,
                            .oldest_wait = std::chrono::duration_cast<std::chrono::milliseconds>(waited)});
            dispatched[team.team] += team.running;
        }
    }
    // Tasks, and units held back after a lost answer: no service queue counts them, but they need grants.
    for (const auto& [team, used] : this->units.all()) {
        const auto counted = dispatched.find(team);
        const auto rest = used - (counted == dispatched.end() ? 0 : counted->second);
        if (rest > 0) {
            list.push_back({.service = "", .team = team, .running = rest});
        }
    }
    return list;
}

void dispatcher::impl::plan(boot_time now) {
    this->next_plan = now + this->options.plan_interval;
    if (this->config == nullptr) {
        return;
    }
    auto fleet = this->core.demand_of_all_nodes();
    const auto self = this->core.incarnation();
    // This node's own entry is replaced by the present one, which is newer than its last heartbeat.
    std::erase_if(fleet.nodes, [&](const auto& node) { return node.incarnation == self; });
    fleet.nodes.push_back({.incarnation = self, .services = this->demand(now)});
    std::sort(fleet.nodes.begin(), fleet.nodes.end(),
              [](const auto& a, const auto& b) { return a.incarnation < b.incarnation; });
    const slot_planner planner(*this->config, fleet, self);
    std::map<std::string, std::vector<request_queue::team_summary>> teams;
    for (auto& [name, service] : this->services) {
        service.plan = planner.plan(name, this->executors.capacity(name));
        for (const auto& [team, part] : service.plan.parts) {
            service.queue.set_part(team, part);
        }
        service.queue.unblock_all();
        this->executors.set_wanted_slots(now, name, service.plan.node_slots);
        teams[name] = service.queue.teams();
    }
    this->plan_dependencies(teams);
}

void dispatcher::impl::plan_dependencies(
    const std::map<std::string, std::vector<request_queue::team_summary>>& teams) {
    for (auto& [name, service] : this->services) {
        for (auto& [team, load] : service.teams) {
            load.shed_part = 0;
        }
    }
    for (const auto& [name, dependency] : this->services) {
        const auto* pool =
            dependency.config == nullptr ? nullptr : this->config->find_pool(dependency.config->pool);
        if (pool == nullptr) {
            continue;
        }
        const auto planned = pool->vms * dependency.config->slots_per_executor;
        const auto capacity = dependency.plan.capacity;
        // Short: less than half of the planned slots are there, and the demand is above them.
        const bool is_short = capacity == 0 || (2 * capacity < planned && dependency.plan.demand > capacity);
        if (!is_short) {
            continue;
        }
        const double missing =
            capacity == 0 ? 1.0
                          : 1.0 - static_cast<double>(capacity) / static_cast<double>(dependency.plan.demand);
        std::vector<shed_candidate> candidates;
        std::vector<team_load*> loads;
        double total = 0;
        for (auto& [dependent_name, dependent] : this->services) {
            if (dependent.config == nullptr ||
                std::find(dependent.config->depends_on.begin(), dependent.config->depends_on.end(), name) ==
                    dependent.config->depends_on.end()) {
                continue;
            }
            const double budget = dependent.availability.at(this->next_plan).remaining;
            for (const auto& team : teams.at(dependent_name)) {
                const auto load = static_cast<double>(team.queued + team.running);
                candidates.push_back({.load = load, .part = team.part, .remaining_budget = budget});
                loads.push_back(&dependent.teams[team.team]);
                total += load;
            }
            if (capacity == 0) {
                for (auto& [team, load] : dependent.teams) {
                    load.shed_part = 1;
                }
            }
        }
        const auto parts = plan_shedding(candidates, total * missing);
        for (std::size_t i = 0; i < parts.size(); ++i) {
            loads[i]->shed_part = std::max(loads[i]->shed_part, parts[i]);
        }
    }
}

// --- Admission

std::optional<refusal> dispatcher::impl::check_request(boot_time now, const incoming_request& request) {
    if (this->stopping) {
        return make_refusal("stopping", run_outcome::not_run, "this node is stopping");
    }
    if (!this->may_start_work(now)) {
        return make_refusal("not_fresh", run_outcome::not_run,
                            "this node has no recent view of the fleet's state");
    }
    if (request.deadline <= std::chrono::milliseconds(0) || request.deadline > longest_deadline) {
        return make_refusal("bad_request", run_outcome::not_run,
                            fmt::format("the deadline is not in 1..{} ms", longest_deadline.count()));
    }
    if (!request.idempotent && !parse_request_id(request.request_id)) {
        return make_refusal("bad_request", run_outcome::not_run,
                            "a non-idempotent request needs an id of the form e<epoch>-<token>");
    }
    return std::nullopt;
}

std::optional<refusal> dispatcher::impl::check_arrival(boot_time now, const incoming_request& request,
                                                       service_entry& service, const team_config& team) {
    if (this->executors.all_zones_out(request.service)) {
        return make_refusal("zone_out", run_outcome::not_run,
                            fmt::format("all zones of service \"{}\" are out", request.service));
    }
    auto& load = service.teams[team.name];
    this->set_part(service, team);
    const auto ahead = service.queue.ahead_of(team.name, now + request.deadline, request.urgent);
    const auto drain = load.drain.per_second(now);
    const double shed_roll = static_cast<double>(this->random() >> 11) * 0x1.0p-53;
    const bool queue_full = service.queue.would_refuse(team.name) ||
                            service.queue.size() + service.aside >= 2 * service.config->queue_limit;
    const auto verdict =
        check_load({.upper_limit = team.upper_limit,
                    .limit_binds = this->units.in_use(team.name) >= this->core.usable_units(team.name),
                    .dependency_short = shed_roll < load.shed_part,
                    .queue_full = queue_full,
                    .ahead = ahead,
                    .drain = drain,
                    .run = service.time_to_leave(request.deadline),
                    .deadline = request.deadline});
    if (!verdict) {
        return std::nullopt;
    }
    return make_refusal(
        to_string(verdict->reason), run_outcome::not_run,
        fmt::format("service \"{}\", team \"{}\": {} requests ahead, {:.1f} starts per second",
                    request.service, team.name, ahead, drain.value_or(0)),
        verdict->retry_after);
}

void dispatcher::impl::set_part(service_entry& service, const team_config& team) {
    if (service.queue.size(team.name) > 0 || service.queue.running(team.name) > 0) {
        return; // kept up to date by the plans
    }
    const auto planned = service.plan.parts.find(team.name);
    service.queue.set_part(team.name, planned != service.plan.parts.end()
                                          ? planned->second
                                          : service.plan.part_of_newcomer(team.share));
}

submit_result dispatcher::impl::submit(boot_time now, const incoming_request& request) {
    ++this->count.submitted;
    this->take_state(now);
    const auto reject = [&](const refusal& answer, std::string_view team) -> submit_result {
        this->log_refusal(now, request, team, answer);
        return answer;
    };
    if (auto answer = this->check_request(now, request)) {
        return reject(*answer, "");
    }
    const auto found = this->access.identify(*this->state, request.service, request.key_hash);
    if (const auto* reason = std::get_if<admission_reason>(&found)) {
        return reject(
            make_refusal(to_string(*reason), run_outcome::not_run,
                         fmt::format("request for service \"{}\": {}", request.service, to_string(*reason))),
            "");
    }
    const auto& team = *std::get<const team_config*>(found);
    if (this->next_plan <= now) {
        this->plan(now);
    }
    auto& service = this->services.at(request.service);
    if (auto answer = this->check_arrival(now, request, service, team)) {
        return reject(*answer, team.name);
    }
    const auto id = this->next_ticket++;
    auto& ticket = this->tickets[id];
    ticket = {
        .id = id, .request = request, .team = team.name, .arrived = now, .deadline = now + request.deadline};
    if (!request.idempotent) {
        const auto owner = this->core.partition_owner(request.request_id);
        if (owner == 0) {
            this->tickets.erase(id);
            return reject(make_refusal("claim_unavailable", run_outcome::not_run,
                                       "no node owns the claim partition of this id at present"),
                          team.name);
        }
        this->deadlines.emplace(ticket.deadline, id);
        ++service.aside;
        this->ask_for_claim(ticket);
        return id;
    }
    this->deadlines.emplace(ticket.deadline, id);
    if (!this->enqueue(now, ticket)) {
        this->deadlines.erase({ticket.deadline, id});
        this->tickets.erase(id);
        return reject(make_refusal("queue_full", run_outcome::not_run, "the queue of the service is full"),
                      team.name);
    }
    return id;
}

void dispatcher::impl::ask_for_claim(ticket_entry& ticket) {
    ticket.phase = ticket_phase::claiming;
    ticket.claimant = this->core.incarnation();
    ticket.owner = this->core.partition_owner(ticket.request.request_id);
    ++ticket.claim_asks;
    ticket.claim_attempt = ++this->claims_asked;
    wire::Claim claim;
    claim.request_id = ticket.request.request_id;
    claim.claimant = ticket.claimant;
    claim.team_name = ticket.team;
    claim.attempt = ticket.claim_attempt;
    this->actions.emplace_back(
        ask_claim{.ticket = ticket.id, .owner = ticket.owner, .claim = std::move(claim)});
}

bool dispatcher::impl::enqueue(boot_time now, ticket_entry& ticket) {
    auto* service = this->service_of(ticket);
    if (const auto* team = this->access.team(ticket.team); team != nullptr) {
        // Its entry may have been dropped while the ticket waited for a claim or a retry.
        this->set_part(*service, *team);
    }
    const auto pushed = service->queue.push({.id = ticket.id,
                                             .team = ticket.team,
                                             .deadline = ticket.deadline,
                                             .arrived = ticket.arrived,
                                             .urgent = ticket.request.urgent});
    if (!pushed.accepted) {
        return false;
    }
    ticket.phase = ticket_phase::queued;
    this->backlog_changed(now, *service, ticket.team);
    if (pushed.displaced) {
        auto& displaced = this->tickets.at(*pushed.displaced);
        this->backlog_changed(now, *service, displaced.team);
        this->refuse(now, displaced,
                     make_refusal("queue_full", displaced.outcome(),
                                  "the queue is full and the team holds more than its part of it"));
    }
    return true;
}

void dispatcher::impl::on_claim_answer(boot_time now, ticket_id id, const wire::ClaimAnswer& answer) {
    const auto found = this->tickets.find(id);
    if (found == this->tickets.end() || found->second.phase != ticket_phase::claiming) {
        return;
    }
    auto& ticket = found->second;
    using status = wire::ClaimStatus;
    if (answer.status == status::granted) {
        ticket.claimed = true;
        if (ticket.caller_gone) {
            this->resolve(ticket, wire::ClaimResolution::not_dispatched);
            this->erase(id);
            return;
        }
        --this->service_of(ticket)->aside;
        ticket.phase = ticket_phase::queued;
        if (!this->enqueue(now, ticket)) {
            this->refuse(
                now, ticket,
                make_refusal("queue_full", run_outcome::not_run, "the queue of the service is full"));
        }
        return;
    }
    if (ticket.caller_gone) {
        this->erase(id);
        return;
    }
    switch (answer.status) {
    case status::in_progress:
        this->refuse(
            now, ticket,
            make_refusal("duplicate", run_outcome::unknown, "a request with this id is in progress"));
        return;
    case status::finished:
        this->refuse(now, ticket,
                     make_refusal("duplicate", run_outcome::ran, "a request with this id has finished"));
        return;
    case status::unknown_outcome:
        this->refuse(now, ticket,
                     make_refusal("duplicate", run_outcome::unknown,
                                  "a request with this id was taken by a node that ended; it may have run"));
        return;
    case status::stale_epoch:
        this->refuse(now, ticket,
                     make_refusal("stale_epoch", run_outcome::unknown,
                                  "the id is older than the owner's record of claims; it may have run"));
        return;
    case status::not_owner:
        if (ticket.claim_asks < max_claim_asks &&
            this->core.partition_owner(ticket.request.request_id) != ticket.owner &&
            this->core.partition_owner(ticket.request.request_id) != 0) {
            this->ask_for_claim(ticket);
            return;
        }
        break;
    default:
        break;
    }
    this->refuse(now, ticket,
                 make_refusal("claim_unavailable", run_outcome::not_run,
                              "the owner of the claim partition could not decide on this id"));
}

void dispatcher::impl::on_claim_failed(boot_time now, ticket_id id) {
    const auto found = this->tickets.find(id);
    if (found == this->tickets.end() || found->second.phase != ticket_phase::claiming) {
        return;
    }
    auto& ticket = found->second;
    // The claim may have been recorded and its answer lost; the owner forgets it by the resolution.
    ticket.claimed = true;
    if (ticket.caller_gone) {
        this->resolve(ticket, wire::ClaimResolution::not_dispatched);
        this->erase(id);
        return;
    }
    this->refuse(now, ticket,
                 make_refusal("claim_unavailable", run_outcome::not_run,
                              "the owner of the claim partition did not answer"));
}

// --- Dispatch

service_entry* dispatcher::impl::service_of(const ticket_entry& ticket) {
    return &this->services.at(ticket.request.service);
}

void dispatcher::impl::backlog_changed(boot_time now, service_entry& service, std::string_view team) {
    const auto found = service.teams.find(team);
    auto& load = found != service.teams.end() ? found->second : service.teams[std::string(team)];
    load.drain.set_backlog(now, service.queue.size(team) > 0);
}

void dispatcher::impl::expire(boot_time now) {
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto id = this->deadlines.begin()->second;
        this->deadlines.erase(this->deadlines.begin());
        auto& ticket = this->tickets.at(id);
        const auto message = fmt::format("the deadline passed in phase {}", to_string(ticket.phase));
        this->refuse(now, ticket, make_refusal("deadline_exceeded", ticket.outcome(), message));
    }
}

void dispatcher::impl::wake_retries(boot_time now) {
    while (!this->retries.empty() && this->retries.begin()->first <= now) {
        const auto id = this->retries.begin()->second;
        this->retries.erase(this->retries.begin());
        auto& ticket = this->tickets.at(id);
        auto& service = *this->service_of(ticket);
        --service.aside;
        ticket.phase = ticket_phase::queued;
        if (!this->enqueue(now, ticket)) {
            this->refuse(now, ticket,
                         make_refusal("queue_full", ticket.outcome(), "the queue of the service is full"));
        }
    }
}

std::optional<refusal> dispatcher::impl::check_before_start(ticket_entry& ticket) {
    const auto outcome = ticket.outcome();
    const auto identified =
        this->access.identify(*this->state, ticket.request.service, ticket.request.key_hash);
    if (const auto* reason = std::get_if<admission_reason>(&identified)) {
        return make_refusal(to_string(*reason), outcome,
                            "the right to use the service ended while the request waited");
    }
    if (std::get<const team_config*>(identified)->name != ticket.team) {
        return make_refusal("wrong_team", outcome,
                            "the key or queue changed its team while the request waited");
    }
    if (ticket.claimed && ticket.claimant != this->core.incarnation()) {
        return make_refusal("claim_unavailable", outcome,
                            "the claim was made under an earlier registration of this node");
    }
    return std::nullopt;
}

void dispatcher::impl::pump(boot_time now, service_entry& service) {
    while (true) {
        const auto next = service.queue.front();
        if (!next) {
            return;
        }
        const bool has_slot = service.config != nullptr && service.running < service.plan.node_slots &&
                              this->executors.has_free_slot(service.config->name);
        if (!has_slot && service.config != nullptr) {
            return;
        }
        auto& ticket = this->tickets.at(next->id);
        if (auto answer = this->check_before_start(ticket)) {
            this->refuse(now, ticket, std::move(*answer));
            continue;
        }
        if (ticket.deadline - now < service.time_to_leave(ticket.request.deadline)) {
            // Started now it would probably be cut off, and take the slot from one that can finish.
            this->refuse(
                now, ticket,
                make_refusal("deadline_exceeded", ticket.outcome(), "too little time is left for a run"));
            continue;
        }
        if (!this->units.try_take(ticket.team, 1, this->core.usable_units(ticket.team))) {
            service.queue.block(ticket.team);
            continue;
        }
        if (!this->start(now, service, ticket)) {
            this->units.give_back(ticket.team, 1);
            return;
        }
    }
}

bool dispatcher::impl::start(boot_time now, service_entry& service, ticket_entry& ticket) {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(ticket.deadline - now);
    if (remaining.count() <= 0) {
        return false; // the deadline is handled by the next tick
    }
    const auto executor = this->executors.take(now, ticket.request.service, ticket.executor.vm, this->random);
    if (!executor) {
        return false;
    }
    if (ticket.dispatches == 0) {
        service.retries.on_first_dispatch();
        ++service.started;
    } else {
        ++service.retried;
        ++this->count.retried;
    }
    ++ticket.dispatches;
    ++this->count.dispatched;
    ++service.running;
    ticket.phase = ticket_phase::dispatched;
    ticket.executor = *executor;
    ticket.started = now;
    ticket.remaining = remaining;
    ticket.expected_run = service.expected_run();
    this->deadlines.erase({ticket.deadline, ticket.id});
    service.teams[ticket.team].drain.on_start(now);
    service.queue.on_start(ticket.team, ticket.expected_run);
    service.queue.remove(ticket.id);
    this->backlog_changed(now, service, ticket.team);
    this->actions.emplace_back(dispatch_request{
        .ticket = ticket.id,
        .vm = executor->vm,
        .address = executor->address,
        .service = ticket.request.service,
        .lease_token = executor->token,
        .correlation_id = fmt::format("{}-{}-{}", this->correlation_prefix, ticket.id, ticket.dispatches),
        .remaining = remaining});
    return true;
}

void dispatcher::impl::on_free_units(std::string_view team) {
    for (auto& [name, service] : this->services) {
        service.queue.unblock(team);
    }
}

// --- Ends of dispatches

void dispatcher::impl::end_dispatch(boot_time now, ticket_entry& ticket, dispatch_end end) {
    auto& service = *this->service_of(ticket);
    --service.running;
    const auto run = now - ticket.started;
    const bool not_run =
        end == dispatch_end::busy || end == dispatch_end::lease_lapsed || end == dispatch_end::not_sent;
    service.queue.on_end(ticket.team, ticket.expected_run, run);
    if (end == dispatch_end::answered) {
        service.run_time.add(run);
    } else if (end == dispatch_end::timed_out || end == dispatch_end::stopped) {
        service.run_time.add_cut_off(run);
    }
    if (end == dispatch_end::no_answer || end == dispatch_end::timed_out) {
        // The executor may be running it still. It accepts nothing after the lease, and stops work at its
        // deadline, by a clock that differs by up to 1%.
        const auto longest = std::chrono::microseconds(ticket.remaining) * 102 / 100;
        this->units.give_back_later(ticket.team, this->executors.accepted_until(ticket.executor) + longest);
    } else {
        this->units.give_back(ticket.team, 1);
        this->on_free_units(ticket.team);
    }
    this->executors.give_back(now, ticket.executor.vm);
    if (end == dispatch_end::busy) {
        this->executors.mark_full(now, ticket.executor.vm);
    } else if (end == dispatch_end::lease_lapsed) {
        this->executors.mark_lease_lapsed(now, ticket.executor.vm);
    } else if ((end != dispatch_end::timed_out && end != dispatch_end::stopped) ||
               run >= 4 * service.run_time.mean().value_or(assumed_run)) {
        // A caller with a deadline below the usual run time must not get executors ejected.
        this->executors.record_health(now, ticket.executor.vm, end != dispatch_end::answered);
    }
    ticket.may_have_run = ticket.may_have_run || !not_run;
}

bool dispatcher::impl::on_dispatch_done(boot_time now, ticket_id id, dispatch_end end) {
    const auto found = this->tickets.find(id);
    if (found == this->tickets.end() || found->second.phase != ticket_phase::dispatched) {
        return false;
    }
    auto& ticket = found->second;
    this->end_dispatch(now, ticket, end);
    switch (end) {
    case dispatch_end::answered: {
        ++this->count.answered;
        const bool deliver = !ticket.caller_gone;
        if (deliver) {
            this->service_of(ticket)->availability.record(now, false);
        }
        this->resolve(ticket, wire::ClaimResolution::ended);
        this->erase(id);
        return deliver;
    }
    case dispatch_end::busy:
        ++this->count.busy;
        this->queue_again(now, ticket);
        return false;
    case dispatch_end::lease_lapsed:
        ++this->count.lease_lapsed;
        this->queue_again(now, ticket);
        return false;
    case dispatch_end::not_sent:
        ++this->count.not_sent;
        this->retry_paid_or_refuse(now, ticket,
                                   fmt::format("executor {} could not be reached", ticket.executor.vm));
        return false;
    case dispatch_end::failed_answer:
        ++this->count.failed_answers;
        this->retry_paid_or_refuse(now, ticket,
                                   fmt::format("executor {} answered with a failure", ticket.executor.vm));
        return false;
    case dispatch_end::no_answer:
        ++this->count.no_answer;
        this->retry_paid_or_refuse(now, ticket,
                                   fmt::format("executor {} gave no complete answer", ticket.executor.vm));
        return false;
    case dispatch_end::timed_out:
    case dispatch_end::stopped:
        ++this->count.timed_out;
        this->refuse(now, ticket,
                     make_refusal("deadline_exceeded", run_outcome::unknown,
                                  fmt::format("executor {} did not answer in time", ticket.executor.vm)));
        return false;
    }
    return false;
}

bool dispatcher::impl::schedule_retry(boot_time now, ticket_entry& ticket) {
    auto& service = *this->service_of(ticket);
    const auto at = service.retries.next_attempt(now, ticket.dispatches, ticket.deadline,
                                                 service.expected_run(), this->random);
    if (!at || ticket.caller_gone) {
        return false;
    }
    ticket.phase = ticket_phase::waiting_retry;
    ticket.retry_at = *at;
    this->retries.emplace(*at, ticket.id);
    this->deadlines.emplace(ticket.deadline, ticket.id);
    ++service.aside;
    return true;
}

void dispatcher::impl::queue_again(boot_time now, ticket_entry& ticket) {
    // The executor refused to run it, which says nothing against the request, and gets no more before its
    // next lease answer. The repetition is charged but does not wait for the budget: urgent requests would
    // miss their start.
    this->service_of(ticket)->retries.charge();
    this->deadlines.emplace(ticket.deadline, ticket.id);
    ticket.phase = ticket_phase::queued;
    if (ticket.caller_gone || !this->enqueue(now, ticket)) {
        this->refuse(now, ticket,
                     make_refusal("queue_full", ticket.outcome(), "the queue of the service is full"));
    }
}

void dispatcher::impl::retry_paid_or_refuse(boot_time now, ticket_entry& ticket, std::string message) {
    const bool repeatable = ticket.request.idempotent || !ticket.may_have_run;
    if (repeatable && !ticket.caller_gone && !this->stopping &&
        this->service_of(ticket)->retries.can_spend(now) && this->schedule_retry(now, ticket)) {
        this->service_of(ticket)->retries.try_spend(now);
        return;
    }
    const auto* error = now >= ticket.deadline ? "deadline_exceeded" : "backend_failed";
    this->refuse(now, ticket, make_refusal(error, ticket.outcome(), std::move(message)));
}

void dispatcher::impl::resolve(ticket_entry& ticket, wire::ClaimResolution::type resolution) {
    if (!ticket.claimed) {
        return;
    }
    ticket.claimed = false;
    wire::ResolveClaim message;
    message.request_id = ticket.request.request_id;
    message.claimant = ticket.claimant;
    message.resolution = resolution;
    message.attempt = ticket.claim_attempt;
    this->actions.emplace_back(resolve_claim{.owner = ticket.owner, .resolution = std::move(message)});
}

void dispatcher::impl::leave_phase(boot_time now, ticket_entry& ticket) {
    auto& service = *this->service_of(ticket);
    switch (ticket.phase) {
    case ticket_phase::claiming:
        --service.aside;
        break;
    case ticket_phase::queued:
        service.queue.remove(ticket.id);
        this->backlog_changed(now, service, ticket.team);
        break;
    case ticket_phase::waiting_retry:
        this->retries.erase({ticket.retry_at, ticket.id});
        --service.aside;
        break;
    case ticket_phase::dispatched:
        break;
    }
    this->deadlines.erase({ticket.deadline, ticket.id});
}

void dispatcher::impl::refuse(boot_time now, ticket_entry& ticket, refusal answer) {
    const auto id = ticket.id;
    const bool awaits_claim =
        ticket.phase == ticket_phase::claiming && !ticket.claimed && answer.error == "deadline_exceeded";
    this->leave_phase(now, ticket);
    if (!ticket.caller_gone) {
        this->log_refusal(now, ticket.request, ticket.team, answer);
        this->actions.emplace_back(refuse_ticket{.ticket = id, .answer = std::move(answer)});
    }
    if (awaits_claim) {
        ticket.caller_gone = true; // answered; the claim's answer is still to come and must be resolved
        return;
    }
    this->resolve(ticket, ticket.may_have_run ? wire::ClaimResolution::outcome_unknown
                                              : wire::ClaimResolution::not_dispatched);
    this->erase(id);
}

void dispatcher::impl::log_refusal(boot_time now, const incoming_request& request, std::string_view team,
                                   const refusal& answer) {
    if (const auto service = this->services.find(request.service);
        service != this->services.end() && counts_as_failure(answer)) {
        service->second.availability.record(now, true);
    }
    this->refusals.add({.at = now,
                        .service = request.service,
                        .team = std::string(team),
                        .request_id = request.request_id,
                        .error = answer.error,
                        .outcome = answer.outcome,
                        .message = answer.message});
}

void dispatcher::impl::erase(ticket_id id) {
    this->tickets.erase(id);
}

void dispatcher::impl::on_caller_gone(boot_time now, ticket_id id) {
    const auto found = this->tickets.find(id);
    if (found == this->tickets.end() || found->second.caller_gone) {
        return;
    }
    ++this->count.callers_gone;
    auto& ticket = found->second;
    ticket.caller_gone = true;
    if (ticket.phase == ticket_phase::dispatched) {
        return; // runs to its end; its slot and unit stay in use until then
    }
    const bool awaits_claim = ticket.phase == ticket_phase::claiming;
    this->leave_phase(now, ticket);
    if (awaits_claim) {
        return;
    }
    this->resolve(ticket, ticket.may_have_run ? wire::ClaimResolution::outcome_unknown
                                              : wire::ClaimResolution::not_dispatched);
    this->erase(id);
}

std::vector<dispatch_action> dispatcher::impl::tick(boot_time now) {
    this->take_state(now);
    this->executors.advance(now);
    for (const auto& team : this->units.release_due(now)) {
        this->on_free_units(team);
    }
    this->expire(now);
    this->wake_retries(now);
    if (this->next_plan <= now) {
        this->plan(now);
    }
    for (auto& renewal : this->executors.due_renewals(now)) {
        this->actions.emplace_back(std::move(renewal));
    }
    if (this->may_start_work(now)) {
        for (auto& [name, service] : this->services) {
            this->pump(now, service);
        }
    }
    return std::exchange(this->actions, {});
}

// --- Public interface

dispatcher::dispatcher(core_reader core, dispatcher_options options)
    : self(std::make_unique<impl>(std::move(core), std::move(options))) {}
dispatcher::~dispatcher() = default;

submit_result dispatcher::submit(boot_time now, const incoming_request& request) {
    return this->self->submit(now, request);
}

std::vector<dispatch_action> dispatcher::tick(boot_time now) {
    return this->self->tick(now);
}

void dispatcher::on_claim_answer(boot_time now, ticket_id ticket, const wire::ClaimAnswer& answer) {
    this->self->on_claim_answer(now, ticket, answer);
}

void dispatcher::on_claim_failed(boot_time now, ticket_id ticket) {
    this->self->on_claim_failed(now, ticket);
}

bool dispatcher::on_dispatch_done(boot_time now, ticket_id ticket, const dispatch_result& result) {
    return this->self->on_dispatch_done(now, ticket, result.end);
}

void dispatcher::on_lease(boot_time now, std::string_view vm, boot_time sent_at, const lease_answer& answer) {
    this->self->executors.on_lease(now, vm, sent_at, answer);
}

void dispatcher::on_lease_failed(boot_time now, std::string_view vm) {
    this->self->executors.on_lease_failed(now, vm);
}

void dispatcher::on_caller_gone(boot_time now, ticket_id ticket) {
    this->self->on_caller_gone(now, ticket);
}

void dispatcher::begin_stop(boot_time) {
    this->self->stopping = true;
}

bool dispatcher::idle() const {
    return this->self->tickets.empty() && this->self->units.all() == this->self->task_units.all();
}

bool dispatcher::try_reserve_units(boot_time now, std::string_view team, std::int64_t units) {
    this->self->take_state(now);
    if (!this->self->may_start_work(now) ||
        !this->self->units.try_take(team, units, this->self->core.usable_units(team))) {
        return false;
    }
    this->self->task_units.take(team, units);
    return true;
}

void dispatcher::adopt_units(boot_time, std::string_view team, std::int64_t units) {
    this->self->units.take(team, units);
    this->self->task_units.take(team, units);
}

std::int64_t dispatcher::task_units_held(std::string_view team) const {
    return this->self->task_units.in_use(team);
}

void dispatcher::release_units(boot_time, std::string_view team, std::int64_t units) {
    this->self->units.give_back(team, units);
    this->self->task_units.give_back(team, units);
    this->self->on_free_units(team);
}

std::int64_t dispatcher::running_units(std::string_view team) const {
    return this->self->units.in_use(team);
}

std::vector<service_demand> dispatcher::demand(boot_time now) const {
    return this->self->demand(now);
}

boost::json::value dispatcher::dump(boot_time now) const {
    const auto& all = *this->self;
    boost::json::array services;
    for (const auto& [name, service] : all.services) {
        boost::json::array teams;
        for (const auto& team : service.queue.teams()) {
            teams.push_back(boost::json::object{{"team", team.team},
                                                {"queued", team.queued},
                                                {"running", team.running},
                                                {"part", team.part}});
        }
        const auto budget = service.availability.at(now);
        services.push_back(boost::json::object{
            {"service", name},
            {"queued", service.queue.size()},
            {"running", service.running},
            {"waiting_claim_or_retry", service.aside},
            {"node_slots", service.plan.node_slots},
            {"fleet_slots", service.plan.capacity},
            {"fleet_demand", service.plan.demand},
            {"mean_run_us", service.run_time.mean().value_or(std::chrono::microseconds(0)).count()},
            {"first_dispatches", service.started},
            {"retries", service.retried},
            {"retry_budget", service.retries.left()},
            {"answers", budget.answers},
            {"failures", budget.failures},
            {"availability_budget_left", budget.remaining},
            {"teams", std::move(teams)}});
    }
    boost::json::object units;
    for (const auto& [team, count] : all.units.all()) {
        units[team] = count;
    }
    std::map<std::string_view, std::int64_t> phases;
    for (const auto& [id, ticket] : all.tickets) {
        ++phases[to_string(ticket.phase)];
    }
    boost::json::object tickets;
    for (const auto& [phase, count] : phases) {
        tickets[phase] = count;
    }
    return boost::json::object{{"stopping", all.stopping},
                               {"submitted", all.count.submitted},
                               {"dispatched", all.count.dispatched},
                               {"retried", all.count.retried},
                               {"answered", all.count.answered},
                               {"callers_gone", all.count.callers_gone},
                               {"busy", all.count.busy},
                               {"lease_lapsed", all.count.lease_lapsed},
                               {"not_sent", all.count.not_sent},
                               {"no_answer", all.count.no_answer},
                               {"timed_out", all.count.timed_out},
                               {"failed_answers", all.count.failed_answers},
                               {"units_in_use", std::move(units)},
                               {"units_held_back", all.units.held_back()},
                               {"tickets", std::move(tickets)},
                               {"services", std::move(services)},
                               {"executors", all.executors.dump(now)},
                               {"refusals", all.refusals.dump(now)}};
}

} // namespace hornbeamrail
