#include "policy/duration_estimates.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// Number of samples whose plain mean is taken; later samples replace it at a constant weight.
constexpr std::int64_t averaged_samples = 20;
constexpr double later_sample_weight = 0.05;
/// A task that has run longer than expected is expected to run for this fraction of its duration again.
constexpr double overrun_fraction = 0.25;

} // namespace

void duration_estimates::add(std::string_view queue, milliseconds actual, milliseconds stated) {
    auto found = this->queues.find(queue);
    if (found == this->queues.end()) {
        found = this->queues.emplace(std::string(queue), learned_means{}).first;
    }
    auto& means = found->second;
    const double weight =
        means.samples < averaged_samples ? 1.0 / static_cast<double>(means.samples + 1) : later_sample_weight;
    means.actual_ms += weight * (static_cast<double>(actual.count()) - means.actual_ms);
    means.stated_ms += weight * (static_cast<double>(stated.count()) - means.stated_ms);
    ++means.samples;
}

milliseconds duration_estimates::expected(std::string_view queue, milliseconds stated) const {
    const auto found = this->queues.find(queue);
    if (found == this->queues.end()) {
        return stated;
    }
    const auto& means = found->second;
    if (stated.count() <= 0 || means.stated_ms <= 0) {
        return milliseconds(static_cast<std::int64_t>(means.actual_ms));
    }
    // Single estimates are unreliable, so only half of the deviation from their mean is applied.
    const double scaled = means.actual_ms * static_cast<double>(stated.count()) / means.stated_ms;
    return milliseconds(static_cast<std::int64_t>((means.actual_ms + scaled) / 2));
}

milliseconds duration_estimates::expected_remaining(std::string_view queue, milliseconds stated,
                                                    milliseconds elapsed) const {
    const auto whole = this->expected(queue, stated);
    const milliseconds overrun(
        static_cast<std::int64_t>(overrun_fraction * static_cast<double>(std::max(whole, elapsed).count())));
    return std::max({whole - elapsed, overrun, milliseconds(1)});
}

} // namespace hornbeamrail
