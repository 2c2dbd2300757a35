#include "policy/drain_rate.hpp"

#include "protocol/durations.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamrail {

drain_rate::drain_rate(std::chrono::milliseconds time_constant)
    : time_constant_s(seconds_of(time_constant)) {}

void drain_rate::advance(boot_time now) {
    const double elapsed_s = seconds_of(now - this->updated);
    if (elapsed_s <= 0) {
        return;
    }
    this->updated = now;
    if (!this->has_backlog) {
        return;
    }
    // Only time with a backlog decays the counts: the rate stays valid over a pause without callers.
    const double keep = std::exp(-elapsed_s / this->time_constant_s);
    this->starts *= keep;
    this->seconds = this->seconds * keep + this->time_constant_s * (1 - keep);
}

void drain_rate::set_backlog(boot_time now, bool backlog) {
    this->advance(now);
    this->has_backlog = backlog;
}

void drain_rate::on_start(boot_time now) {
    this->advance(now);
    if (this->has_backlog) {
        this->starts += 1;
    }
}

std::optional<double> drain_rate::per_second(boot_time now) const {
    auto current = *this;
    current.advance(now);
    // Less than a quarter of a second of backlog may be a single burst.
    if (current.seconds < 0.25) {
        return std::nullopt;
    }
    return current.starts / current.seconds;
}

void run_time_estimate::add(std::chrono::microseconds run_time) {
    const auto sample = static_cast<double>(run_time.count());
    // The first 64 samples have equal weight; later ones weigh 1/64 each.
    this->samples = std::min(this->samples + 1, 64);
    this->mean_us += (sample - this->mean_us) / this->samples;
    this->update_high(sample);
}

void run_time_estimate::add_cut_off(std::chrono::microseconds at_least) {
    this->update_high(std::max(this->high_us, static_cast<double>(at_least.count())) + 1);
}

void run_time_estimate::update_high(double sample) {
    if (this->high_us == 0) {
        this->high_us = sample;
        return;
    }
    // Steps up are 19 times the steps down, so that the estimate settles where 1 of 20 samples is above it.
    const double step = 0.05 * this->high_us;
    this->high_us += sample > this->high_us ? 0.95 * step : -0.05 * step;
}

std::optional<std::chrono::microseconds> run_time_estimate::mean() const {
    if (this->samples == 0) {
        return std::nullopt;
    }
    return std::chrono::microseconds(std::llround(this->mean_us));
}

std::optional<std::chrono::microseconds> run_time_estimate::high() const {
    if (this->high_us == 0) {
        return std::nullopt;
    }
    return std::chrono::microseconds(std::llround(this->high_us));
}

} // namespace hornbeamrail
