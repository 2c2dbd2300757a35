#include "policy/account_limit.hpp"

#include <algorithm>
#include <array>

namespace hornbeamrail {

namespace {

constexpr std::array dimensions{&resources::cpu_millicores, &resources::memory_mb, &resources::accelerators};

/// @return whether @p holds is true for each dimension that has a limit
template <class Condition>
bool holds_where_limited(const resources& upper_limit, Condition holds) {
    return std::all_of(dimensions.begin(), dimensions.end(),
                       [&](auto dimension) { return upper_limit.*dimension <= 0 || holds(dimension); });
}

} // namespace

limited_start start_of_task(const step_spec& step) {
    return {.total = step.need, .task = step.need, .must_not_wait = step.long_running};
}

limited_start start_of_gang(const step_spec& step) {
    limited_start start{.task = step.need};
    for (std::int32_t member = 0; member < step.count; ++member) {
        start.total += step.need;
    }
    return start;
}

limit_verdict account_limit::check(const resources& used, const limited_start& start) const {
    const bool is_within = holds_where_limited(this->upper_limit, [&](auto dimension) {
        return used.*dimension + start.total.*dimension <= this->upper_limit.*dimension;
    });
    if (is_within) {
        return limit_verdict::within;
    }
    const bool may_exceed = holds_where_limited(this->upper_limit, [&](auto dimension) {
        const auto limit = this->upper_limit.*dimension;
        const bool is_underused = used.*dimension * 2 < limit;
        const auto without_last = used.*dimension + start.total.*dimension - start.task.*dimension;
        return is_underused &&
               static_cast<double>(without_last) <= static_cast<double>(limit) * (1 + this->tolerance);
    });
    return start.must_not_wait && may_exceed ? limit_verdict::beyond : limit_verdict::denied;
}

bool account_limit::can_ever_permit(const limited_start& start) const {
    auto urgent = start;
    urgent.must_not_wait = true;
    return this->check({}, urgent) != limit_verdict::denied;
}

} // namespace hornbeamrail
