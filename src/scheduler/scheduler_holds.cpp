#include "scheduler/scheduler_impl.hpp"

#include "protocol/durations.hpp"

#include <algorithm>

// Holds: they renew the leases of a worker under its current fence and acknowledge ends.

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// Least number of renewals during one lease.
constexpr int renewals_per_lease = 4;

/// @return longest time by the clock of this node that a lease of @p length may last
milliseconds longest_lease(milliseconds length) {
    const auto on_slow_clock = static_cast<double>(length.count()) * slow_clock_factor;
    return milliseconds(static_cast<std::int64_t>(on_slow_clock)) + lease_margin;
}

} // namespace

std::int64_t scheduler::impl::fence_of(const worker_control& worker) const {
    const auto found = this->fence_increments.find(worker.entry.id);
    const std::int64_t increments = found == this->fence_increments.end() ? 0 : found->second;
    return this->term * this->options.fences_per_term + increments;
}

std::optional<milliseconds> scheduler::impl::lease_end(const worker_control& worker, milliseconds length,
                                                       boot_time now) const {
    if (!worker.process.clock) {
        return std::nullopt;
    }
    return *worker.process.clock + to_millis(now - worker.process.clock_at) + length;
}

void scheduler::impl::extend_lease_bound(worker_control& worker, milliseconds length, boot_time now) {
    worker.lease_bound = std::max(worker.lease_bound, now + longest_lease(length));
}

void scheduler::impl::note_lease_sent(worker_control& worker, milliseconds length, boot_time now) {
    this->extend_lease_bound(worker, length, now);
    worker.late_lease_bound =
        now + this->timings.longest_order_delay + longest_lease(this->options.limits.max_lease_duration);
}

bool scheduler::impl::may_extend_leases(boot_time now) const {
    return now <= this->term_confirmed + this->timings.hold_without_log;
}

milliseconds scheduler::impl::hold_pause() const {
    constexpr int pauses_per_delay = 2;
    return std::min(this->timings.hold_pause + pauses_per_delay * this->loop_delay,
                    this->timings.longest_hold_pause);
}

boot_time scheduler::impl::next_hold_at(const worker_control& worker, boot_time now) const {
    // While the worker has ends to list it answers at once, with the same list again. The leases must be
    // renewed nevertheless.
    if (!worker.process.unrecorded_ends.empty()) {
        const auto renewal_interval = this->options.limits.max_lease_duration / renewals_per_lease;
        // A log that rejects the progress of one job takes that of others, whose ends must not wait long.
        const bool log_takes_others = !this->unrecorded_jobs.empty() && !this->log_is_late(now);
        const auto interval = log_takes_others ? this->timings.hold_retry : renewal_interval;
        return std::max(worker.next_hold, worker.hold_sent + interval);
    }
    const bool waits_for_starts =
        worker.process.has_recorded_ends() && worker.confirmed && !worker.may_acknowledge();
    return waits_for_starts ? std::max(worker.next_hold, worker.hold_sent + this->timings.hold_retry)
                            : worker.next_hold;
}

void scheduler::impl::hold_workers(boot_time now) {
    if (!this->may_extend_leases(now)) {
        return;
    }
    for (auto& [id, worker] : this->workers) {
        if (!worker.hold_in_flight && now >= this->next_hold_at(worker, now)) {
            this->send_hold_order(worker, now);
        }
    }
}

void scheduler::impl::send_hold_order(worker_control& worker, boot_time now) {
    const bool acknowledges = worker.process.has_recorded_ends() && worker.may_acknowledge();
    hold_order order{.number = ++this->latest_hold,
                     .fence = this->fence_of(worker),
                     .acknowledged_end = acknowledges ? worker.process.recorded_end() : 0};
    // A worker that stays silent may be cut off for good. Renewals that may not reach it would keep its
    // tasks from running elsewhere.
    const bool is_silent =
        worker.is_unresponsive() && now > worker.unanswered_since + this->options.limits.max_lease_duration;
    if (worker.process.clock && !is_silent) {
        order.lease_until = this->lease_end(worker, this->options.limits.max_lease_duration, now);
        this->note_lease_sent(worker, this->options.limits.max_lease_duration, now);
    }
    const bool has_ends_left =
        !worker.process.unrecorded_ends.empty() || (worker.process.has_recorded_ends() && !acknowledges);
    // A start beside a hold that acknowledges takes one more fence, so when fences get scarce such a hold
    // does not wait.
    const bool may_wait = !has_ends_left && (!acknowledges || this->has_many_fences(worker));
    if (worker.confirmed && !worker.is_unresponsive() && may_wait) {
        order.wait = this->timings.hold_wait;
    }
    worker.hold_in_flight = true;
    worker.hold_acknowledges = acknowledges;
    const bool is_held_up = worker.confirmed && worker.process.has_recorded_ends() && !acknowledges;
    this->dispatch_due = this->dispatch_due || (worker.ends_held_up && !is_held_up);
    worker.ends_held_up = is_held_up;
    worker.hold_sent = now;
    worker.hold_number = order.number;
    this->add_action(
        send_hold{.worker = {.id = worker.entry.id, .address = worker.entry.address}, .order = order});
}

void scheduler::impl::increment_fence(const worker_control& worker) {
    auto& increments = this->fence_increments[worker.entry.id];
    if (increments + 1 < this->options.fences_per_term) {
        ++increments;
    }
}

bool scheduler::impl::has_many_fences(const worker_control& worker) const {
    const auto found = this->fence_increments.find(worker.entry.id);
    const auto used = found == this->fence_increments.end() ? 0 : found->second;
    return used < this->options.fences_per_term / 2;
}

void scheduler::impl::raise_fence(worker_control& worker, boot_time now) {
    this->increment_fence(worker);
    worker.confirmed = false;
    // A long-polling hold carries the old fence and resolves no order, so its answer is ignored.
    worker.hold_in_flight = false;
    worker.next_hold = now;
}

} // namespace hornbeamrail
