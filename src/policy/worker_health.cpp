#include "policy/worker_health.hpp"

#include "policy/placement.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

/// The newest sample has a weight of about 1/20, so that the recent outcomes of a recovered executor
/// dominate.
constexpr double sample_decay = 0.95;

} // namespace

void worker_health::add(std::string_view vm) {
    if (!this->executors.contains(vm)) {
        this->executors.emplace(std::string(vm), entry{});
    }
}

void worker_health::remove(std::string_view vm) {
    if (const auto found = this->executors.find(vm); found != this->executors.end()) {
        this->executors.erase(found);
    }
}

std::size_t worker_health::ejected(boot_time now) const {
    return static_cast<std::size_t>(
        std::count_if(this->executors.begin(), this->executors.end(),
                      [&](const auto& item) { return item.second.ejected_until > now; }));
}

bool worker_health::may_eject(boot_time now) const {
    return static_cast<double>(this->ejected(now) + 1) <=
           this->options.max_ejected_fraction * static_cast<double>(this->size());
}

void worker_health::eject(boot_time now, entry& executor) {
    auto length = this->options.first_ejection;
    for (int i = 0; i < executor.ejections && length < this->options.max_ejection; ++i) {
        length *= 2;
    }
    executor.ejected_until = now + std::min(length, this->options.max_ejection);
    ++executor.ejections;
    executor.returning = true;
    executor.consecutive = 0;
    executor.samples = executor.failures = 0;
}

bool worker_health::record(boot_time now, std::string_view vm, bool failed) {
    const auto found = this->executors.find(vm);
    if (found == this->executors.end()) {
        return false;
    }
    auto& executor = found->second;
    if (executor.ejected_until > now) {
        return false; // dispatched before the ejection
    }
    if (executor.returning && now >= executor.ejected_until + this->options.return_ramp) {
        executor.returning = false;
        executor.ejections = 0;
    }
    executor.samples = executor.samples * sample_decay + 1;
    executor.failures = executor.failures * sample_decay + (failed ? 1 : 0);
    executor.consecutive = failed ? executor.consecutive + 1 : 0;
    if (!failed) {
        return false;
    }
    const bool failing = executor.returning || executor.consecutive >= this->options.consecutive_failures ||
                         (executor.samples >= this->options.min_samples &&
                          executor.failures >= this->options.failed_fraction * executor.samples);
    if (!failing || !this->may_eject(now)) {
        return false;
    }
    this->eject(now, executor);
    return true;
}

double worker_health::weight(boot_time now, std::string_view vm) const {
    const auto found = this->executors.find(vm);
    if (found == this->executors.end() || !found->second.returning) {
        return 1;
    }
    if (found->second.ejected_until > now) {
        return 0;
    }
    return ramp_weight(now, found->second.ejected_until, this->options.return_ramp);
}

} // namespace hornbeamrail
