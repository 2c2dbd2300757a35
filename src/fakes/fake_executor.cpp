#include "fakes/fake_executor.hpp"

#include <algorithm>

namespace hornbeamrail {

fake_executor::fake_executor(std::uint64_t seed, fake_executor_options initial)
    : options(initial), generator(seed) {}

slot_lease fake_executor::lease(boot_time now, const std::string& holder) {
    this->remove_ended_runs(now);
    std::erase_if(this->leases, [&](const auto& entry) { return entry.second <= now; });
    const std::string token = holder + "/" + std::to_string(++this->issued_leases);
    this->leases[token] = now + this->options.lease_ttl;
    return {.token = token,
            .ttl = this->options.lease_ttl,
            .slots = this->options.slots,
            .running = static_cast<std::int64_t>(this->entries.size()),
            .leaving = this->options.leaving};
}

fake_run_result fake_executor::run(boot_time now, const fake_run& request) {
    this->remove_ended_runs(now);
    const auto lease = this->leases.find(request.token);
    if (lease == this->leases.end() || lease->second <= now) {
        return {.verdict = run_verdict::lease_lapsed, .ends = now, .answered = now};
    }
    if (static_cast<std::int64_t>(this->entries.size()) >= this->options.slots) {
        return {.verdict = run_verdict::busy, .ends = now, .answered = now};
    }
    fake_run_result outcome;
    this->determine_outcome(now, request, outcome);
    this->entries.push_back({request.correlation_id, request.body, outcome.ends});
    return outcome;
}

void fake_executor::determine_outcome(boot_time now, const fake_run& request, fake_run_result& outcome) {
    outcome.answer = {.correlation_id = request.correlation_id, .body = answer_body(request.body)};
    const boot_time deadline = now + request.remaining;
    if (this->options.fails_everything) {
        outcome.ends = std::min(deadline, now + std::chrono::milliseconds(1));
        outcome.answered = outcome.ends;
        outcome.answer.failed = true;
        return;
    }
    const auto run_time = std::chrono::microseconds(static_cast<std::int64_t>(
        static_cast<double>(request.run_time.count()) * this->options.run_time_factor));
    outcome.ends = now + run_time;
    if (this->generator.chance(this->options.hang_fraction) || outcome.ends > deadline) {
        outcome.ends = deadline;
        outcome.answer.stopped = true;
        outcome.answer.complete = this->options.at_deadline == deadline_answer::stopped;
        if (this->options.at_deadline != deadline_answer::none) {
            outcome.answered = deadline + this->options.stop_answer_delay;
        }
        return;
    }
    outcome.answered = outcome.ends;
    if (this->generator.chance(this->options.late_fraction)) {
        *outcome.answered += this->options.late_by;
    }
    if (this->generator.chance(this->options.crossed_fraction) && !this->entries.empty()) {
        outcome.answer.correlation_id = this->entries.back().correlation_id;
        outcome.answer.body = answer_body(this->entries.back().body);
    }
    if (this->generator.chance(this->options.truncated_fraction)) {
        outcome.answer.complete = false;
        outcome.answer.body.resize(outcome.answer.body.size() / 2);
    }
}

void fake_executor::restart() {
    this->entries.clear();
    this->leases.clear();
}

void fake_executor::pause(boot_time now, boot_time until) {
    for (running_entry& entry : this->entries) {
        entry.ends += until - now;
    }
    this->resume_time = std::max(this->resume_time, until);
}

std::int64_t fake_executor::running(boot_time now) {
    this->remove_ended_runs(now);
    return static_cast<std::int64_t>(this->entries.size());
}

std::string fake_executor::answer_body(const std::string& request_body) {
    return "done:" + request_body;
}

void fake_executor::remove_ended_runs(boot_time now) {
    std::erase_if(this->entries, [&](const running_entry& entry) { return entry.ends <= now; });
}

} // namespace hornbeamrail
