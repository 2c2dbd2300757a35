#include "coordination/freshness.hpp"

namespace hornbeamrail {

namespace {

// Pending evidence beyond this number is dropped, oldest first.
constexpr std::size_t max_pending = 32;

} // namespace

std::chrono::microseconds inflate(std::chrono::microseconds span, const core_timings& timings) {
    return std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(span.count()) * timings.clock_inflation) + 1);
}

void freshness::add(view_evidence evidence, log_offset next_offset) {
    if (this->newest_evidence && evidence.as_of <= this->newest_evidence->as_of) {
        return;
    }
    if (evidence.head <= next_offset) {
        this->newest_evidence = evidence;
        return;
    }
    this->pending.push_back(evidence);
    if (this->pending.size() > max_pending) {
        this->pending.pop_front();
    }
}

void freshness::on_folded(log_offset next_offset) {
    std::erase_if(this->pending, [&](const view_evidence& evidence) {
        if (evidence.head > next_offset) {
            return false;
        }
        if (!this->newest_evidence || evidence.as_of > this->newest_evidence->as_of) {
            this->newest_evidence = evidence;
        }
        return true;
    });
}

void freshness::clear() {
    this->newest_evidence.reset();
    this->pending.clear();
}

std::optional<std::chrono::microseconds> freshness::age(boot_time now) const {
    if (!this->newest_evidence || now < this->newest_evidence->as_of) {
        return std::nullopt;
    }
    return inflate(now - this->newest_evidence->as_of, this->timings);
}

bool freshness::is_fresh(boot_time now) const {
    const auto current = this->age(now);
    return current && *current <= this->timings.fresh_bound;
}

} // namespace hornbeamrail
