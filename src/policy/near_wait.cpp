#include "policy/near_wait.hpp"

#include "protocol/durations.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamrail {

namespace {

using std::chrono::milliseconds;

/// Up to this load of the rack a wait may take the whole gain: a later task rarely misses the place.
constexpr double full_share_load = 0.5;
/// From this load on no wait pays: the place is never idle without it.
constexpr double no_wait_load = 1.25;
/// Share of the gain that a wait may take if the job meets its objective elsewhere now and might not
/// afterwards.
constexpr double share_at_risk = 0.5;
/// From a decision until the task is at work. The latest start that meets an objective comes earlier by it.
constexpr milliseconds start_margin{100};
/// Time constant of the average of claims. Jobs that come together count as one claim, not as a load.
constexpr double claims_window_s = 3.0;

/// @return the share of the gain that a wait may take in a rack with that load
double share_of_gain(double rack_load) {
    return std::clamp((no_wait_load - rack_load) / (no_wait_load - full_share_load), 0.0, 1.0);
}

milliseconds scaled(milliseconds time, double factor) {
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace

std::string_view to_string(near_wait_reason reason) noexcept {
    switch (reason) {
    case near_wait_reason::pays:
        return "pays";
    case near_wait_reason::keeps_objective:
        return "keeps_objective";
    case near_wait_reason::late:
        return "late";
    case near_wait_reason::bound_passed:
        return "bound_passed";
    case near_wait_reason::no_place_in_time:
        return "no_place_in_time";
    case near_wait_reason::costs_more:
        return "costs_more";
    case near_wait_reason::objective:
        return "objective";
    case near_wait_reason::no_gain:
        break;
    }
    return "no_gain";
}

near_wait_decision decide_near_wait(const near_wait_request& request) {
    near_wait_decision decision{.expected_gain =
                                    scaled(request.remaining_work, std::max(0.0, request.slowdown - 1))};
    const auto gain = decision.expected_gain;
    const auto take_far = [&decision](near_wait_reason reason) {
        decision.reason = reason;
        return decision;
    };
    if (gain.count() <= 0) {
        return take_far(near_wait_reason::no_gain);
    }
    if (request.slack.count() < 0) {
        return take_far(near_wait_reason::late);
    }
    if (request.waited >= request.longest_wait) {
        return take_far(near_wait_reason::bound_passed);
    }
    if (!request.until_near || request.waited + *request.until_near > request.longest_wait) {
        return take_far(near_wait_reason::no_place_in_time);
    }
    const auto until = *request.until_near;
    const auto slack = request.slack - start_margin;
    const auto slack_elsewhere = slack - gain;
    const bool meets_elsewhere = slack_elsewhere.count() >= 0;
    const bool meets_only_near = !meets_elsewhere && until <= slack;
    // After this wait a far worker would be too late, although it is not now.
    const bool risks_objective = meets_elsewhere && until > slack_elsewhere;
    const auto share = meets_only_near ? 1.0 : share_of_gain(request.rack_load);
    const auto allowed = scaled(gain, risks_objective ? std::min(share, share_at_risk) : share);
    if (request.waited + until > allowed) {
        return take_far(risks_objective ? near_wait_reason::objective : near_wait_reason::costs_more);
    }
    const auto rest = std::min(allowed, request.longest_wait) - request.waited;
    decision.waits = true;
    decision.decide_again_in = std::max(milliseconds(1), rest);
    decision.reason = meets_only_near ? near_wait_reason::keeps_objective : near_wait_reason::pays;
    return decision;
}

near_places::near_places(options settings) : members(std::move(settings.workers)) {
    this->promised.resize(this->members.size() + settings.arriving.size());
    for (auto& end : settings.ends) {
        const auto member = std::find(this->members.begin(), this->members.end(), end.worker);
        if (member != this->members.end() && end.remaining <= settings.horizon) {
            end.worker = static_cast<std::size_t>(member - this->members.begin());
            this->changes.push_back(end);
        }
    }
    for (std::size_t index = 0; index < settings.arriving.size(); ++index) {
        const auto& arriving = settings.arriving[index];
        if (arriving.arrives_in <= settings.horizon) {
            this->changes.push_back({.worker = this->members.size() + index,
                                     .remaining = arriving.arrives_in,
                                     .freed = arriving.capacity});
        }
    }
    std::stable_sort(this->changes.begin(), this->changes.end(),
                     [](const auto& left, const auto& right) { return left.remaining < right.remaining; });
}

std::vector<std::optional<resources>> near_places::available(const std::vector<worker_view>& workers,
                                                             const placement_request& request) const {
    auto without_need = request;
    without_need.need = {};
    std::vector<std::optional<resources>> free(this->promised.size());
    for (std::size_t slot = 0; slot < free.size(); ++slot) {
        const bool is_member = slot < this->members.size();
        if (is_member) {
            const auto& worker = workers[this->members[slot]];
            if (worker.standing != worker_standing::good || !can_run(worker, without_need)) {
                continue;
            }
            free[slot] = worker.available;
        } else {
            free[slot] = resources{};
        }
        *free[slot] -= this->promised[slot];
    }
    return free;
}

std::optional<near_places::place> near_places::find(const std::vector<worker_view>& workers,
                                                    const placement_request& request) const {
    auto free = this->available(workers, request);
    for (std::size_t slot = 0; slot < free.size(); ++slot) {
        if (free[slot] && fits(request.need, *free[slot])) {
            return place{.slot = slot};
        }
    }
    for (const auto& change : this->changes) {
        auto& at = free[change.worker];
        if (!at) {
            continue;
        }
        *at += change.freed;
        if (fits(request.need, *at)) {
            return place{.expected_in = change.remaining, .slot = change.worker};
        }
    }
    return std::nullopt;
}

std::optional<milliseconds> near_places::find_all(const std::vector<worker_view>& workers,
                                                  const placement_request& request,
                                                  std::int32_t count) const {
    auto free = this->available(workers, request);
    const auto room_in = [&](const std::optional<resources>& at) {
        const auto room = at ? copies_that_fit(request.need, *at) : 0;
        return request.max_per_worker > 0 ? std::min<std::int64_t>(room, request.max_per_worker) : room;
    };
    std::int64_t room = 0;
    for (const auto& at : free) {
        room += room_in(at);
    }
    if (room >= count) {
        return milliseconds(0);
    }
    for (const auto& change : this->changes) {
        auto& at = free[change.worker];
        if (!at) {
            continue;
        }
        room -= room_in(at);
        *at += change.freed;
        room += room_in(at);
        if (room >= count) {
            return change.remaining;
        }
    }
    return std::nullopt;
}

void near_places::reserve(const place& reserved, const resources& need, milliseconds duration) {
    this->promised[reserved.slot] += need;
    const expected_end end{
        .worker = reserved.slot, .remaining = reserved.expected_in + duration, .freed = need};
    const auto later = std::upper_bound(
        this->changes.begin(), this->changes.end(), end,
        [](const auto& left, const auto& right) { return left.remaining < right.remaining; });
    this->changes.insert(later, end);
}

void rack_claims::add(double millicore_seconds, boot_time now) {
    const double elapsed = seconds_of(now - this->updated);
    this->millicores *= std::exp(-std::max(0.0, elapsed) / claims_window_s);
    this->millicores += millicore_seconds / claims_window_s;
    this->updated = std::max(this->updated, now);
}

double rack_claims::load(std::int64_t capacity_millicores, boot_time now) const {
    const double elapsed = std::max(0.0, seconds_of(now - this->updated));
    return this->millicores * std::exp(-elapsed / claims_window_s) /
           static_cast<double>(std::max<std::int64_t>(1, capacity_millicores));
}

bool rack_claims::is_idle(boot_time now) const {
    constexpr double counted_windows = 5;
    return seconds_of(now - this->updated) > counted_windows * claims_window_s;
}

} // namespace hornbeamrail
