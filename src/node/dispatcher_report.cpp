#include "node/dispatcher_impl.hpp"

namespace hornbeamrail {

namespace {

boost::json::array dump_teams(const request_queue& queue) {
    boost::json::array teams;
    for (const auto& team : queue.teams()) {
        teams.push_back(boost::json::object{{"team", team.team},
                                            {"queued", team.queued},
                                            {"running", team.running},
                                            {"part", team.slot_share}});
    }
    return teams;
}

} // namespace

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
    // Units of tasks, and units held after a lost answer, are in no service queue but need grants.
    for (const auto& [team, used] : this->units.all()) {
        const auto counted = dispatched.find(team);
        const auto rest = used - (counted == dispatched.end() ? 0 : counted->second);
        if (rest > 0) {
            list.push_back({.service = "", .team = team, .running = rest});
        }
    }
    return list;
}

boost::json::array dispatcher::impl::dump_services(boot_time now) const {
    boost::json::array list;
    for (const auto& [name, service] : this->services) {
        const auto budget = service.availability.at(now);
        list.push_back(boost::json::object{
            {"service", name},
            {"queued", service.queue.size()},
            {"running", service.running},
            {"waiting_claim_or_retry", service.deferred},
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
            {"teams", dump_teams(service.queue)}});
    }
    return list;
}

boost::json::object dispatcher::impl::dump_units() const {
    boost::json::object units_by_team;
    for (const auto& [team, used] : this->units.all()) {
        units_by_team[team] = used;
    }
    return units_by_team;
}

boost::json::object dispatcher::impl::dump_tickets() const {
    std::map<std::string_view, std::int64_t> phases;
    for (const auto& [id, ticket] : this->tickets) {
        ++phases[to_string(ticket.phase)];
    }
    boost::json::object tickets_by_phase;
    for (const auto& [phase, tickets_in_phase] : phases) {
        tickets_by_phase[phase] = tickets_in_phase;
    }
    return tickets_by_phase;
}

boost::json::value dispatcher::impl::dump(boot_time now) const {
    return boost::json::object{{"stopping", this->stopping},
                               {"submitted", this->count.submitted},
                               {"dispatched", this->count.dispatched},
                               {"retried", this->count.retried},
                               {"answered", this->count.answered},
                               {"callers_gone", this->count.callers_gone},
                               {"busy", this->count.busy},
                               {"lease_lapsed", this->count.lease_lapsed},
                               {"not_sent", this->count.not_sent},
                               {"no_answer", this->count.no_answer},
                               {"timed_out", this->count.timed_out},
                               {"failed_answers", this->count.failed_answers},
                               {"units_in_use", this->dump_units()},
                               {"units_held_back", this->units.deferred_units()},
                               {"tickets", this->dump_tickets()},
                               {"services", this->dump_services(now)},
                               {"executors", this->executors.dump(now)},
                               {"refusals", this->refusals.dump(now)}};
}

std::map<std::string, double, std::less<>> dispatcher::budgets_left(boot_time now) const {
    std::map<std::string, double, std::less<>> left;
    for (const auto& [name, service] : this->self->services) {
        left.emplace(name, service.availability.at(now).remaining);
    }
    return left;
}

} // namespace hornbeamrail
