#include "node/dispatcher_impl.hpp"

namespace hornbeamrail {

void dispatcher::impl::leave_phase(boot_time now, ticket_entry& ticket) {
    auto& service = *this->service_of(ticket);
    switch (ticket.phase) {
    case ticket_phase::claiming:
        --service.deferred;
        break;
    case ticket_phase::queued:
        service.queue.remove(ticket.id);
        this->backlog_changed(now, service, ticket.team);
        break;
    case ticket_phase::waiting_retry:
        this->retries.erase({ticket.retry_at, ticket.id});
        --service.deferred;
        break;
    case ticket_phase::dispatched:
        break;
    }
    this->deadlines.erase({ticket.deadline, ticket.id});
}

void dispatcher::impl::refuse(boot_time now, ticket_entry& ticket, refusal answer) {
    const auto id = ticket.id;
    const bool is_claim_pending =
        ticket.phase == ticket_phase::claiming && !ticket.claimed && answer.error == "deadline_exceeded";
    this->leave_phase(now, ticket);
    if (!ticket.caller_gone) {
        this->record_refusal(now, ticket.request, ticket.team, answer);
        this->actions.emplace_back(refuse_ticket{.ticket = id, .answer = std::move(answer)});
    }
    if (is_claim_pending) {
        ticket.caller_gone = true; // answered; the pending claim must be resolved once it is granted
        return;
    }
    this->resolve(ticket, ticket.may_have_run ? wire::ClaimResolution::outcome_unknown
                                              : wire::ClaimResolution::not_dispatched);
    this->erase(id);
}

void dispatcher::impl::record_refusal(boot_time now, const incoming_request& request, std::string_view team,
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
        return; // runs to completion; its slot and unit stay in use until then
    }
    const bool is_claim_pending = ticket.phase == ticket_phase::claiming;
    this->leave_phase(now, ticket);
    if (is_claim_pending) {
        return;
    }
    this->resolve(ticket, ticket.may_have_run ? wire::ClaimResolution::outcome_unknown
                                              : wire::ClaimResolution::not_dispatched);
    this->erase(id);
}

} // namespace hornbeamrail
