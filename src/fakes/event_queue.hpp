#pragma once

#include "protocol/platform.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace hornbeamrail {

/// Event queue of a simulation and its clock. Events of the same time run in the order in which they were
/// scheduled. Not thread-safe.
class event_queue {
public:
    explicit event_queue(boot_time start) : current(start) {}

    [[nodiscard]] boot_time now() const noexcept { return this->current; }

    /// Schedules @p action at @p when, or now when that time has passed.
    void at(boot_time when, std::function<void()> action) {
        this->events.push_back({std::max(when, this->current), this->scheduled++, std::move(action)});
        std::ranges::push_heap(this->events, later);
    }
    /// Schedules @p action after @p delay.
    void after(boot_clock::duration delay, std::function<void()> action) {
        this->at(this->current + delay, std::move(action));
    }

    /// Runs every event up to @p end, including those that other events schedule, and sets the clock to @p
    /// end.
    void run_until(boot_time end) {
        while (!this->events.empty() && this->events.front().when <= end) {
            std::ranges::pop_heap(this->events, later);
            entry next = std::move(this->events.back());
            this->events.pop_back();
            this->current = next.when;
            next.action();
        }
        this->current = end;
    }

private:
    struct entry {
        boot_time when;
        std::uint64_t order = 0;
        std::function<void()> action;
    };
    static bool later(const entry& left, const entry& right) {
        return std::pair(left.when, left.order) > std::pair(right.when, right.order);
    }

    boot_time current;
    std::uint64_t scheduled = 0;
    std::vector<entry> events;
};

} // namespace hornbeamrail
