#include "node/dispatcher_impl.hpp"

#include "hornbeamrail/request_id.hpp"

namespace hornbeamrail {

namespace {

constexpr std::chrono::milliseconds max_deadline{30000};

} // namespace

std::optional<refusal> dispatcher::impl::check_request(boot_time now, const incoming_request& request) {
    if (this->stopping) {
        return make_refusal("stopping", run_outcome::not_run, "this node is stopping");
    }
    if (!this->may_start_work(now)) {
        return make_refusal("not_fresh", run_outcome::not_run,
                            "this node has no recent view of the fleet's state");
    }
    if (request.deadline <= std::chrono::milliseconds(0) || request.deadline > max_deadline) {
        return make_refusal("bad_request", run_outcome::not_run,
                            fmt::format("the deadline is not in 1..{} ms", max_deadline.count()));
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
    this->set_slot_share(service, team);
    const auto ahead = service.queue.ahead_of(team.name, now + request.deadline, request.urgent);
    const auto drain = load.drain.per_second(now);
    const double random_fraction = static_cast<double>(this->random() >> 11) * 0x1.0p-53;
    const bool queue_full = service.queue.would_refuse(team.name) ||
                            service.queue.size() + service.deferred >= 2 * service.config->queue_limit;
    const auto verdict =
        check_load({.upper_limit = team.upper_limit,
                    .limit_binds = this->units.in_use(team.name) >= this->core.usable_units(team.name),
                    .dependency_short = random_fraction < load.shed_fraction,
                    .queue_full = queue_full,
                    .ahead = ahead,
                    .drain = drain,
                    .run = service.required_run_time(request.deadline),
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

void dispatcher::impl::set_slot_share(service_entry& service, const team_config& team) {
    if (service.queue.size(team.name) > 0 || service.queue.running(team.name) > 0) {
        return; // the periodic plan updates it
    }
    const auto planned = service.plan.slot_shares.find(team.name);
    service.queue.set_slot_share(team.name, planned != service.plan.slot_shares.end()
                                                ? planned->second
                                                : service.plan.newcomer_slot_share(team.share));
}

submit_result dispatcher::impl::submit(boot_time now, const incoming_request& request) {
    ++this->count.submitted;
    this->update_state(now);
    const auto reject = [&](const refusal& answer, std::string_view team) -> submit_result {
        this->record_refusal(now, request, team, answer);
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
    auto accepted = this->accept(now, request, service, team.name);
    if (const auto* answer = std::get_if<refusal>(&accepted)) {
        return reject(*answer, team.name);
    }
    return accepted;
}

submit_result dispatcher::impl::accept(boot_time now, const incoming_request& request, service_entry& service,
                                       const std::string& team) {
    const auto id = this->next_ticket++;
    auto& ticket = this->tickets[id];
    ticket = {.id = id, .request = request, .team = team, .arrived = now, .deadline = now + request.deadline};
    if (!request.idempotent) {
        if (this->core.partition_owner(request.request_id) == 0) {
            this->tickets.erase(id);
            return make_refusal("claim_unavailable", run_outcome::not_run,
                                "no node owns the claim partition of this id");
        }
        this->deadlines.emplace(ticket.deadline, id);
        ++service.deferred;
        this->request_claim(ticket);
        return id;
    }
    this->deadlines.emplace(ticket.deadline, id);
    if (!this->enqueue(now, ticket)) {
        this->deadlines.erase({ticket.deadline, id});
        this->tickets.erase(id);
        return make_refusal("queue_full", run_outcome::not_run, "the queue of the service is full");
    }
    return id;
}

bool dispatcher::impl::enqueue(boot_time now, ticket_entry& ticket) {
    auto* service = this->service_of(ticket);
    if (const auto* team = this->access.team(ticket.team); team != nullptr) {
        // The queue may have dropped the team's entry while the ticket waited for a claim or a retry.
        this->set_slot_share(*service, *team);
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
                                  "the queue is full and the team exceeds its share of it"));
    }
    return true;
}

} // namespace hornbeamrail
