#include "coordination/freshness.hpp"

namespace hornbeamrail {

namespace {

constexpr std::size_t max_waiting = 32;

} // namespace

std::chrono::microseconds inflate(std::chrono::microseconds span, const core_timings& timings) {
    return std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(span.count()) * timings.clock_inflation) + 1);
}

void freshness::add(view_evidence evidence, log_offset next_offset) {
    if (this->folded && evidence.as_of <= this->folded->as_of) {
        return;
    }
    if (evidence.head <= next_offset) {
        this->folded = evidence;
        return;
    }
    this->waiting.push_back(evidence);
    if (this->waiting.size() > max_waiting) {
        this->waiting.pop_front();
    }
}

void freshness::on_folded(log_offset next_offset) {
    std::erase_if(this->waiting, [&](const view_evidence& evidence) {
        if (evidence.head > next_offset) {
            return false;
        }
        if (!this->folded || evidence.as_of > this->folded->as_of) {
            this->folded = evidence;
        }
        return true;
    });
}

void freshness::clear() {
    this->folded.reset();
    this->waiting.clear();
}

std::optional<std::chrono::microseconds> freshness::age(boot_time now) const {
    if (!this->folded || now < this->folded->as_of) {
        return std::nullopt;
    }
    return inflate(now - this->folded->as_of, this->timings);
}

bool freshness::is_fresh(boot_time now) const {
    const auto current = this->age(now);
    return current && *current <= this->timings.fresh_bound;
}

} // namespace hornbeamrail
