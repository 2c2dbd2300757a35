#include "policy/admission.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamrail {

namespace {

/// Upper bound of `retry_after`: the load of a queue is not predictable beyond it.
constexpr std::chrono::milliseconds max_retry_after{30000};
constexpr std::chrono::milliseconds min_retry_after{100};

std::chrono::milliseconds clamp_retry_after(std::chrono::microseconds wait) {
    return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(wait), min_retry_after, max_retry_after);
}

/// @return expected time in the queue, at most one hour; nothing when the drain rate is unknown, or when it
/// is 0 and no request is ahead
std::optional<std::chrono::microseconds> expected_wait(const arrival_load& load) {
    if (!load.drain) {
        return std::nullopt;
    }
    if (*load.drain <= 0) {
        return load.ahead > 0 ? std::optional(std::chrono::microseconds(std::chrono::hours(1)))
                              : std::nullopt;
    }
    const double seconds = static_cast<double>(load.ahead) / *load.drain;
    return std::chrono::microseconds(std::llround(std::min(seconds, 3600.0) * 1e6));
}

} // namespace

std::string_view to_string(admission_reason reason) noexcept {
    switch (reason) {
    case admission_reason::no_key:
        return "no_key";
    case admission_reason::unknown_key:
        return "unknown_key";
    case admission_reason::revoked_key:
        return "revoked_key";
    case admission_reason::wrong_team:
        return "wrong_team";
    case admission_reason::unknown_service:
        return "unknown_service";
    case admission_reason::limit_reached:
        return "limit_reached";
    case admission_reason::queue_full:
        return "queue_full";
    case admission_reason::deadline_infeasible:
        return "deadline_infeasible";
    case admission_reason::dependency_short:
        return "dependency_short";
    }
    return "unknown";
}

std::optional<load_refusal> check_load(const arrival_load& load) {
    if (load.upper_limit <= 0) {
        return load_refusal{admission_reason::limit_reached, max_retry_after};
    }
    if (load.dependency_short) {
        return load_refusal{admission_reason::dependency_short, std::chrono::seconds(1)};
    }
    const auto wait = expected_wait(load);
    if (load.queue_full) {
        return load_refusal{admission_reason::queue_full,
                            clamp_retry_after(wait.value_or(std::chrono::seconds(1)))};
    }
    if (wait && load.ahead > 0 && *wait + load.run > load.deadline) {
        const auto reason =
            load.limit_binds ? admission_reason::limit_reached : admission_reason::deadline_infeasible;
        return load_refusal{reason, clamp_retry_after(*wait + load.run - load.deadline)};
    }
    return std::nullopt;
}

} // namespace hornbeamrail
