#include "scheduler/scheduler_impl.hpp"

#include "protocol/json_log.hpp"

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// Limits the queue at the advice service, which handles the calls of one node one at a time.
constexpr std::int32_t max_calls_in_flight = 4;
/// The advice service spends time on each worker in a call, so a call names only a few that accept tasks.
constexpr std::size_t max_workers_per_call = 30;

task_id step_of(task_id task) {
    task.index = 0;
    return task;
}

/// A ticket for another worker is of no use, and asking for it keeps others from being asked about. Room is
/// not looked at, so that the ticket is there when the worker has room.
/// @return whether the worker has the label that the step requires, and not as many of its tasks as it may
bool is_open_to(const step_spec& step, const accepting_workers& candidates, std::size_t index) {
    const bool has_label =
        step.required_label.empty() || candidates.controls[index]->entry.has_label(step.required_label);
    const bool under_limit =
        step.max_per_worker <= 0 || candidates.views[index].same_step_tasks < step.max_per_worker;
    return has_label && under_limit;
}

} // namespace

const step_advice& scheduler::impl::get_advice(const task_id& step, const accepting_workers& candidates,
                                               boot_time now) {
    auto& entry = this->advice[step_of(step)];
    std::erase_if(entry.tickets, [&](const auto& item) {
        return now + this->timings.ticket_expiry_margin >= item.second.valid_until;
    });
    if (entry.tickets.empty()) {
        this->dispatch_due = this->request_more_advice(step, candidates, now) || this->dispatch_due;
    }
    return entry;
}

bool scheduler::impl::request_more_advice(const task_id& step, const accepting_workers& candidates,
                                          boot_time now) {
    auto& entry = this->advice[step_of(step)];
    if (entry.in_flight || this->advice_in_flight >= max_calls_in_flight) {
        return true; // the answer triggers another search
    }
    advice_call call{.step = step_of(step)};
    const auto& spec = this->find_job(step.job)->spec.steps[static_cast<std::size_t>(step.step)];
    for (std::size_t index = 0; index < candidates.views.size(); ++index) {
        const auto& id = candidates.controls[index]->entry.id;
        if (call.workers.size() < max_workers_per_call && !entry.refused.contains(id) &&
            !entry.tickets.contains(id) && is_open_to(spec, candidates, index)) {
            call.workers.push_back(id);
        }
    }
    if (call.workers.empty()) {
        return false;
    }
    const auto allowed_at = entry.requested + this->timings.advice_retry;
    if (now < allowed_at) {
        this->advice_allowed_at = std::min(this->advice_allowed_at.value_or(allowed_at), allowed_at);
        return true;
    }
    entry.in_flight = true;
    entry.requested = now;
    ++this->advice_in_flight;
    this->add_action(request_advice{.call = std::move(call)});
    return true;
}

void scheduler::impl::drop_advice(const std::string& job) {
    auto at = this->advice.lower_bound(task_id{.job = job});
    while (at != this->advice.end() && at->first.job == job) {
        this->advice_in_flight -= at->second.in_flight ? 1 : 0;
        at = this->advice.erase(at);
    }
}

void scheduler::on_advice(const advice_call& call, const advice_answer& answer, boot_time now) {
    auto& state = *this->self;
    const auto found = state.advice.find(step_of(call.step));
    if (found == state.advice.end() || !found->second.in_flight) {
        return;
    }
    auto& entry = found->second;
    entry.in_flight = false;
    --state.advice_in_flight;
    if (!answer.done) {
        write_log(severity::info, "advice_not_given", {{"job", call.step.job}, {"reason", answer.reason}});
        return;
    }
    const auto* job = state.find_job(call.step.job);
    const auto* queue = job == nullptr ? nullptr : state.find_queue(job->spec.queue);
    if (queue == nullptr || !queue->advice) {
        return;
    }
    entry.refused.insert(call.workers.begin(), call.workers.end());
    for (const auto& issued : answer.tickets) {
        entry.tickets[issued.worker] = {.ticket = issued.ticket,
                                        .valid_until = now + queue->advice->ticket_lifetime};
        entry.refused.erase(issued.worker);
    }
    state.dispatch_due = true;
}

} // namespace hornbeamrail
