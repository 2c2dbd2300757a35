#include "node/dispatcher_impl.hpp"

namespace hornbeamrail {

namespace {

/// Claim requests per ticket. A claim is requested again when the partition has moved to another owner.
constexpr int max_claim_requests = 3;

} // namespace

void dispatcher::impl::request_claim(ticket_entry& ticket) {
    ticket.phase = ticket_phase::claiming;
    ticket.claimant = this->core.incarnation();
    ticket.owner = this->core.partition_owner(ticket.request.request_id);
    ++ticket.claim_requests;
    ticket.claim_attempt = ++this->claims_requested;
    wire::Claim claim;
    claim.request_id = ticket.request.request_id;
    claim.claimant = ticket.claimant;
    claim.team_name = ticket.team;
    claim.attempt = ticket.claim_attempt;
    this->actions.emplace_back(
        ask_claim{.ticket = ticket.id, .owner = ticket.owner, .claim = std::move(claim)});
}

void dispatcher::impl::on_claim_answer(boot_time now, ticket_id id, const wire::ClaimAnswer& answer) {
    const auto found = this->tickets.find(id);
    if (found == this->tickets.end() || found->second.phase != ticket_phase::claiming) {
        return;
    }
    auto& ticket = found->second;
    if (answer.status == wire::ClaimStatus::granted) {
        this->on_claim_granted(now, ticket);
        return;
    }
    if (ticket.caller_gone) {
        this->erase(id);
        return;
    }
    this->on_claim_refused(now, ticket, answer.status);
}

void dispatcher::impl::on_claim_granted(boot_time now, ticket_entry& ticket) {
    ticket.claimed = true;
    if (ticket.caller_gone) {
        this->resolve(ticket, wire::ClaimResolution::not_dispatched);
        this->erase(ticket.id);
        return;
    }
    --this->service_of(ticket)->deferred;
    ticket.phase = ticket_phase::queued;
    if (!this->enqueue(now, ticket)) {
        this->refuse(now, ticket,
                     make_refusal("queue_full", run_outcome::not_run, "the queue of the service is full"));
    }
}

void dispatcher::impl::on_claim_refused(boot_time now, ticket_entry& ticket, wire::ClaimStatus::type answer) {
    using status = wire::ClaimStatus;
    switch (answer) {
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
        this->refuse(
            now, ticket,
            make_refusal("duplicate", run_outcome::unknown,
                         "a request with this id was accepted by a node that has ended; it may have run"));
        return;
    case status::stale_epoch:
        this->refuse(now, ticket,
                     make_refusal("stale_epoch", run_outcome::unknown,
                                  "the id is older than the owner's record of claims; it may have run"));
        return;
    case status::not_owner:
        if (ticket.claim_requests < max_claim_requests &&
            this->core.partition_owner(ticket.request.request_id) != ticket.owner &&
            this->core.partition_owner(ticket.request.request_id) != 0) {
            this->request_claim(ticket);
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
    // The owner may have recorded the claim although its answer was lost; the resolution removes it.
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

} // namespace hornbeamrail
