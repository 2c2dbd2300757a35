#include "policy/drain_rate.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamrail {

drain_rate::drain_rate(std::chrono::milliseconds memory)
    : memory_seconds(std::chrono::duration<double>(memory).count()) {}

void drain_rate::advance(boot_time now) {
    const double passed = std::chrono::duration<double>(now - this->updated).count();
    if (passed <= 0) {
        return;
    }
    this->updated = now;
    if (!this->waiting) {
        return;
    }
    // Decay by time under backlog only: a pause without callers does not make the old rate wrong.
    const double keep = std::exp(-passed / this->memory_seconds);
    this->starts *= keep;
    this->seconds = this->seconds * keep + this->memory_seconds * (1 - keep);
}

void drain_rate::set_backlog(boot_time now, bool backlog) {
    this->advance(now);
    this->waiting = backlog;
}

void drain_rate::on_start(boot_time now) {
    this->advance(now);
    if (this->waiting) {
        this->starts += 1;
    }
}

std::optional<double> drain_rate::per_second(boot_time now) const {
    auto current = *this;
    current.advance(now);
    // A quarter of a second of backlog is the least that tells a rate from a single burst.
    if (current.seconds < 0.25) {
        return std::nullopt;
    }
    return current.starts / current.seconds;
}

void run_time_mean::add(std::chrono::microseconds run_time) {
    // The first samples average evenly; later ones weigh 1/64 each.
    this->samples = std::min(this->samples + 1, 64);
    this->microseconds += (static_cast<double>(run_time.count()) - this->microseconds) / this->samples;
}

std::optional<std::chrono::microseconds> run_time_mean::mean() const {
    if (this->samples == 0) {
        return std::nullopt;
    }
    return std::chrono::microseconds(std::llround(this->microseconds));
}

} // namespace hornbeamrail
