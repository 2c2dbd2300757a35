#pragma once

#include "coordination/core_options.hpp"
#include "protocol/platform.hpp"

#include <deque>
#include <optional>

namespace hornbeamrail {

/// Evidence that bounds how stale a view can be: every change that was accepted before `as_of` has an offset
/// below `head`. It holds for whoever learns of it, so nodes pass it on with its age.
struct view_evidence {
    boot_time as_of{};
    log_offset head = 0;
};

/// Decides whether new work may start (section 4.3 of the design).
///
/// The view is fresh while the newest evidence whose records are all folded is younger than `fresh_bound`.
/// Evidence comes from own log reads, from peers, and during a log outage from a majority of the counted set.
class freshness {
public:
    explicit freshness(const core_timings& options) : timings(options) {}

    /// @param as_of start of the log read, or the start of the request to the peer less the age it reported
    /// @param next_offset of the own fold
    void add(view_evidence evidence, log_offset next_offset);

    /// Records were folded; evidence that waited for them counts from now on.
    void on_folded(log_offset next_offset);

    /// The process was paused. Nothing that was known before it may admit new work.
    void clear();

    /// @return the newest evidence whose records are all folded
    [[nodiscard]] const std::optional<view_evidence>& newest() const noexcept { return this->folded; }

    /// @return the age of the newest evidence, inflated by the clock rate error
    [[nodiscard]] std::optional<std::chrono::microseconds> age(boot_time now) const;

    [[nodiscard]] bool is_fresh(boot_time now) const;

private:
    core_timings timings;
    std::optional<view_evidence> folded;
    std::deque<view_evidence> waiting; ///< for records up to its head; oldest first
};

/// @return @p span as the largest true time it can stand for
std::chrono::microseconds inflate(std::chrono::microseconds span, const core_timings& timings);

} // namespace hornbeamrail
