#include "coordination/scheduler_impl.hpp"

#include "protocol/json_log.hpp"

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// The advice service handles the calls of one node one after the other.
constexpr std::int32_t most_calls_in_flight = 4;
/// Each worker named costs time, so a few that have room are named.
constexpr std::size_t most_workers_named = 30;

task_id step_of(task_id task) {
    task.index = 0;
    return task;
}

} // namespace

const step_advice* scheduler::impl::advice_of(const task_id& step,
                                              const std::vector<worker_control*>& candidates, boot_time now) {
    auto& known = this->advice[step_of(step)];
    const bool valid = now + this->timings.advice_reserve < known.valid_until;
    const bool may_ask = !known.in_flight && now >= known.asked + this->timings.advice_retry &&
                         this->advice_in_flight < most_calls_in_flight;
    if (!valid && may_ask) {
        advice_call call{.step = step_of(step)};
        for (const auto* worker : candidates) {
            if (call.workers.size() < most_workers_named && !known.refused.contains(worker->entry.id)) {
                call.workers.push_back(worker->entry.id);
            }
        }
        if (!call.workers.empty()) {
            known.in_flight = true;
            known.asked = now;
            ++this->advice_in_flight;
            this->act(ask_advice{.call = std::move(call)});
        }
    }
    this->dispatch_due = this->dispatch_due || !valid;
    return valid ? &known : nullptr;
}

void scheduler::impl::forget_advice(const std::string& job) {
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
    auto& known = found->second;
    known.in_flight = false;
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
    known.tickets.clear();
    known.refused.insert(call.workers.begin(), call.workers.end());
    for (const auto& good : answer.tickets) {
        known.tickets[good.worker] = good.ticket;
        known.refused.erase(good.worker);
    }
    known.valid_until = now + queue->advice->ticket_lifetime;
    state.dispatch_due = true;
}

} // namespace hornbeamrail
