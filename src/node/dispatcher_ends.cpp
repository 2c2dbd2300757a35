#include "node/dispatcher_impl.hpp"

namespace hornbeamrail {

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
    this->release_unit(ticket, end);
    this->executors.release_slot(now, ticket.executor.vm);
    if (end == dispatch_end::busy) {
        this->executors.mark_full(now, ticket.executor.vm);
    } else if (end == dispatch_end::lease_lapsed) {
        this->executors.mark_lease_lapsed(now, ticket.executor.vm);
    } else if ((end != dispatch_end::timed_out && end != dispatch_end::stopped) ||
               run >= 4 * service.run_time.mean().value_or(initial_run_time_estimate)) {
        // Timeouts count only for runs of at least four mean run times: a caller whose deadline is below the
        // usual run time must not cause healthy executors to be ejected.
        this->executors.record_health(now, ticket.executor.vm, end != dispatch_end::answered);
    }
    ticket.may_have_run = ticket.may_have_run || !not_run;
}

void dispatcher::impl::release_unit(const ticket_entry& ticket, dispatch_end end) {
    if (end == dispatch_end::no_answer || end == dispatch_end::timed_out) {
        // The executor may still be running the request. It accepts no work after the lease has expired, and
        // stops work at its deadline. The clock rates of the executor and of this node are each off by up to
        // 1%, hence 2% more time.
        const auto max_run = std::chrono::microseconds(ticket.remaining) * 102 / 100;
        this->units.release_at(ticket.team, this->executors.accepted_until(ticket.executor) + max_run);
    } else {
        this->units.release(ticket.team, 1);
        this->on_units_released(ticket.team);
    }
}

bool dispatcher::impl::on_dispatch_done(boot_time now, ticket_id id, dispatch_end end) {
    const auto found = this->tickets.find(id);
    if (found == this->tickets.end() || found->second.phase != ticket_phase::dispatched) {
        return false;
    }
    auto& ticket = found->second;
    this->end_dispatch(now, ticket, end);
    switch (end) {
    case dispatch_end::answered:
        return this->on_answered(now, ticket);
    case dispatch_end::busy:
        ++this->count.busy;
        this->requeue(now, ticket);
        return false;
    case dispatch_end::lease_lapsed:
        ++this->count.lease_lapsed;
        this->requeue(now, ticket);
        return false;
    case dispatch_end::not_sent:
        ++this->count.not_sent;
        this->retry_within_budget_or_refuse(
            now, ticket, fmt::format("executor {} could not be reached", ticket.executor.vm));
        return false;
    case dispatch_end::failed_answer:
        ++this->count.failed_answers;
        this->retry_within_budget_or_refuse(
            now, ticket, fmt::format("executor {} answered with a failure", ticket.executor.vm));
        return false;
    case dispatch_end::no_answer:
        ++this->count.no_answer;
        this->retry_within_budget_or_refuse(
            now, ticket, fmt::format("executor {} gave no complete answer", ticket.executor.vm));
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

bool dispatcher::impl::on_answered(boot_time now, ticket_entry& ticket) {
    ++this->count.answered;
    const bool deliver = !ticket.caller_gone;
    if (deliver) {
        this->service_of(ticket)->availability.record(now, false);
    }
    this->resolve(ticket, wire::ClaimResolution::ended);
    this->erase(ticket.id);
    return deliver;
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
    ++service.deferred;
    return true;
}

void dispatcher::impl::requeue(boot_time now, ticket_entry& ticket) {
    // The executor refused to run the request, which is not a fault of the request. The retry is charged to
    // the retry budget but does not wait until the budget allows it: with a full pool about a tenth of the
    // dispatches find a busy executor, which exceeds the budget, and urgent requests would start too late.
    // Until the next lease answer of the executor, its free slots count as used or its lease as expired.
    this->service_of(ticket)->retries.charge();
    this->deadlines.emplace(ticket.deadline, ticket.id);
    ticket.phase = ticket_phase::queued;
    if (ticket.caller_gone || !this->enqueue(now, ticket)) {
        this->refuse(now, ticket,
                     make_refusal("queue_full", ticket.outcome(), "the queue of the service is full"));
    }
}

void dispatcher::impl::retry_within_budget_or_refuse(boot_time now, ticket_entry& ticket,
                                                     std::string message) {
    const bool repeatable = ticket.request.idempotent || !ticket.may_have_run;
    if (repeatable && !ticket.caller_gone && !this->stopping &&
        this->service_of(ticket)->retries.can_spend(now) && this->schedule_retry(now, ticket)) {
        this->service_of(ticket)->retries.try_spend(now);
        return;
    }
    const auto* error = now >= ticket.deadline ? "deadline_exceeded" : "backend_failed";
    this->refuse(now, ticket, make_refusal(error, ticket.outcome(), std::move(message)));
}

} // namespace hornbeamrail
