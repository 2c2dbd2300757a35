#include "node/dispatcher_impl.hpp"

namespace hornbeamrail {

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

void dispatcher::impl::requeue_due_retries(boot_time now) {
    while (!this->retries.empty() && this->retries.begin()->first <= now) {
        const auto id = this->retries.begin()->second;
        this->retries.erase(this->retries.begin());
        auto& ticket = this->tickets.at(id);
        auto& service = *this->service_of(ticket);
        --service.deferred;
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
                            "access to the service ended while the request waited");
    }
    if (std::get<const team_config*>(identified)->name != ticket.team) {
        return make_refusal(
            "wrong_team", outcome,
            "the key or the open service was assigned to another team while the request waited");
    }
    if (ticket.claimed && ticket.claimant != this->core.incarnation()) {
        return make_refusal("claim_unavailable", outcome,
                            "the claim was made under an earlier registration of this node");
    }
    return std::nullopt;
}

void dispatcher::impl::start_queued(boot_time now, service_entry& service) {
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
        if (ticket.deadline - now < service.required_run_time(ticket.request.deadline)) {
            // It would probably be cut off, and would take a slot from a request that can finish.
            this->refuse(now, ticket,
                         make_refusal("deadline_exceeded", ticket.outcome(),
                                      "the remaining time is too short for a run"));
            continue;
        }
        if (!this->units.try_reserve(ticket.team, 1, this->core.usable_units(ticket.team))) {
            service.queue.block(ticket.team);
            continue;
        }
        if (!this->start(now, service, ticket)) {
            this->units.release(ticket.team, 1);
            return;
        }
    }
}

void dispatcher::impl::count_dispatch(service_entry& service, ticket_entry& ticket) {
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
}

bool dispatcher::impl::start(boot_time now, service_entry& service, ticket_entry& ticket) {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(ticket.deadline - now);
    if (remaining.count() <= 0) {
        return false; // the next tick refuses it
    }
    const auto executor =
        this->executors.reserve_slot(now, ticket.request.service, ticket.executor.vm, this->random);
    if (!executor) {
        return false;
    }
    this->count_dispatch(service, ticket);
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

void dispatcher::impl::on_units_released(std::string_view team) {
    for (auto& [name, service] : this->services) {
        service.queue.unblock(team);
    }
}

} // namespace hornbeamrail
