#pragma once

#include "coordination/core_options.hpp"
#include "protocol/platform.hpp"

#include <deque>
#include <optional>

namespace hornbeamrail {

/// Evidence that bounds the staleness of a view: every change that was accepted before `as_of` has an offset
/// below `head`. It is valid for any node that receives it, so nodes pass it on together with its age.
struct view_evidence {
    boot_time as_of{};
    log_offset head = 0;
};

/// Decides whether new work may start (section 4.3 of the design).
///
/// The view is fresh while the newest evidence whose records are all folded is younger than `fresh_bound`.
/// Evidence comes from log reads of this node, from peers, and during a log outage from a majority of the
/// counted set. Not thread-safe.
class freshness {
public:
    explicit freshness(const core_timings& core_settings) : timings(core_settings) {}

    /// Adds evidence. It takes effect once all records below its head are folded.
    /// @param evidence its `as_of` is the start of the log read, or the start of the request to the peer less
    /// the age that the peer reported
    /// @param next_offset next offset of the fold of this node
    void add(view_evidence evidence, log_offset next_offset);

    /// Applies pending evidence whose records are folded up to @p next_offset.
    void on_folded(log_offset next_offset);

    /// Drops all evidence after a pause of the process, because evidence from before the pause must not admit
    /// new work.
    void clear();

    /// @return the newest evidence whose records are all folded
    [[nodiscard]] const std::optional<view_evidence>& newest() const noexcept {
        return this->newest_evidence;
    }

    /// @return the age of the newest evidence, inflated by the clock rate error; nothing without evidence
    [[nodiscard]] std::optional<std::chrono::microseconds> age(boot_time now) const;

    /// @return whether the age of the view is at most `fresh_bound`
    [[nodiscard]] bool is_fresh(boot_time now) const;

private:
    core_timings timings;
    std::optional<view_evidence> newest_evidence;
    std::deque<view_evidence> pending; ///< evidence whose records are not all folded; oldest first
};

/// @return the longest true time that a measured @p span can correspond to, given the clock rate error
std::chrono::microseconds inflate(std::chrono::microseconds span, const core_timings& timings);

} // namespace hornbeamrail
