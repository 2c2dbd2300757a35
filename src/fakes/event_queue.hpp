#pragma once

#include "protocol/platform.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace hornbeamrail {

/// Simulated time. Events of the same time run in the order in which they were scheduled.
class event_queue {
public:
    explicit event_queue(boot_time start) : current(start) {}

    [[nodiscard]] boot_time now() const noexcept { return this->current; }

    /// Schedules @p action; a time in the past counts as now.
    void at(boot_time when, std::function<void()> action) {
        this->events.push_back({std::max(when, this->current), this->scheduled++, std::move(action)});
        std::ranges::push_heap(this->events, later);
    }
    void after(boot_clock::duration delay, std::function<void()> action) {
        this->at(this->current + delay, std::move(action));
    }

    /// Runs every event up to @p end, the ones that they schedule included.
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
