#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <optional>

namespace hornbeamrail {

/// Measures how fast a queue drains while it has a backlog.
///
/// Starts from an empty queue do not indicate the rate, so only time with a backlog counts.
class drain_rate {
public:
    /// @param time_constant of the exponential decay; older starts have little weight
    explicit drain_rate(std::chrono::milliseconds time_constant = std::chrono::seconds(2));

    /// Sets whether the queue has a backlog from @p now on.
    void set_backlog(boot_time now, bool backlog);

    /// Counts a start, if the queue has a backlog.
    void on_start(boot_time now);

    /// @return starts per second, or nothing until enough time with a backlog has passed
    [[nodiscard]] std::optional<double> per_second(boot_time now) const;

private:
    /// Decays the counts up to @p now.
    void advance(boot_time now);

    double time_constant_s;
    double starts = 0;   ///< decayed count of starts under backlog
    double seconds = 0;  ///< decayed time under backlog
    boot_time updated{}; ///< time up to which the counts have decayed
    bool has_backlog = false;
};

/// Mean and 95th percentile of run times, without storing them.
class run_time_estimate {
public:
    /// Counts a complete run.
    void add(std::chrono::microseconds run_time);

    /// Counts a run that was stopped before its end: it would have taken longer than @p at_least. It raises
    /// `high` and does not affect `mean`.
    void add_cut_off(std::chrono::microseconds at_least);

    /// @return the mean of complete runs, weighted towards recent ones; nothing before the first one
    [[nodiscard]] std::optional<std::chrono::microseconds> mean() const;

    /// @return the 95th percentile of all runs, or nothing before the first one
    [[nodiscard]] std::optional<std::chrono::microseconds> high() const;

private:
    void update_high(double sample);

    double mean_us = 0;
    double high_us = 0; ///< 95th percentile; 0 before the first sample
    int samples = 0;    ///< complete runs, counted up to 64
};

} // namespace hornbeamrail
