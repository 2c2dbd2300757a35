#include "node/dispatcher.hpp"

#include "node/dispatcher_impl.hpp"

namespace hornbeamrail {

std::vector<dispatch_action> dispatcher::impl::tick(boot_time now) {
    this->update_state(now);
    this->executors.advance(now);
    for (const auto& team : this->units.release_due(now)) {
        this->on_units_released(team);
    }
    this->expire(now);
    this->requeue_due_retries(now);
    if (this->next_plan <= now) {
        this->plan(now);
    }
    for (auto& renewal : this->executors.due_renewals(now)) {
        this->actions.emplace_back(std::move(renewal));
    }
    if (this->may_start_work(now)) {
        for (auto& [name, service] : this->services) {
            this->start_queued(now, service);
        }
    }
    return std::exchange(this->actions, {});
}

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
    this->self->update_state(now);
    if (!this->self->may_start_work(now) ||
        !this->self->units.try_reserve(team, units, this->self->core.usable_units(team))) {
        return false;
    }
    this->self->task_units.add(team, units);
    return true;
}

void dispatcher::adopt_units(boot_time, std::string_view team, std::int64_t units) {
    this->self->units.add(team, units);
    this->self->task_units.add(team, units);
}

std::int64_t dispatcher::task_units_held(std::string_view team) const {
    return this->self->task_units.in_use(team);
}

void dispatcher::release_units(boot_time, std::string_view team, std::int64_t units) {
    this->self->units.release(team, units);
    this->self->task_units.release(team, units);
    this->self->on_units_released(team);
}

std::int64_t dispatcher::running_units(std::string_view team) const {
    return this->self->units.in_use(team);
}

std::vector<service_demand> dispatcher::demand(boot_time now) const {
    return this->self->demand(now);
}

boost::json::value dispatcher::dump(boot_time now) const {
    return this->self->dump(now);
}

} // namespace hornbeamrail
