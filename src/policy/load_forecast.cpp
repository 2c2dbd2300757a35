#include "policy/load_forecast.hpp"

#include "protocol/durations.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// Expected time span of a step, relative to now.
struct step_span {
    milliseconds begin{0};
    milliseconds end{0};
};

/// @return the expected span of each step
std::vector<step_span> compute_spans(const std::vector<forecast_step>& steps) {
    std::vector<step_span> spans(steps.size());
    for (std::size_t number = 0; number < steps.size(); ++number) {
        const auto& step = steps[number];
        auto& span = spans[number];
        for (const auto earlier : step.after) {
            span.begin = std::max(span.begin, spans[static_cast<std::size_t>(earlier)].end);
        }
        span.end = span.begin;
        if (step.waiting > 0) {
            span.end = span.begin + step.duration;
        } else if (step.running > 0) {
            span.end = span.begin + std::max(milliseconds(0), step.duration - step.elapsed);
        }
    }
    return spans;
}

} // namespace

double forecast_millicores(const std::vector<forecast_step>& steps, milliseconds ahead) {
    const auto spans = compute_spans(steps);
    double total = 0;
    for (std::size_t number = 0; number < steps.size(); ++number) {
        const auto& step = steps[number];
        const auto& span = spans[number];
        const bool is_ready = span.begin == milliseconds(0);
        if (is_ready && step.elapsed + ahead < step.duration) {
            total += step.running * step.task_millicores;
        }
        if (step.waiting == 0) {
            continue;
        }
        if (is_ready) {
            const double still_running =
                ahead.count() <= 0 ? 1.0 : seconds_of(step.duration) / seconds_of(ahead);
            total += step.waiting * step.task_millicores * std::min(1.0, still_running);
        } else if (span.begin <= ahead && ahead < span.end) {
            total += step.waiting * step.task_millicores;
        }
    }
    return total;
}

double work_within(const std::vector<forecast_step>& steps, milliseconds ahead) {
    const auto spans = compute_spans(steps);
    double work = 0;
    for (std::size_t number = 0; number < steps.size(); ++number) {
        const auto end = std::min(spans[number].end, ahead);
        const auto overlap = std::max(milliseconds(0), end - spans[number].begin);
        work += steps[number].waiting * steps[number].task_millicores * seconds_of(overlap);
    }
    return work;
}

} // namespace hornbeamrail
