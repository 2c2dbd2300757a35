#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <optional>

namespace hornbeamrail {

/// Measures how fast a queue drains while it has a backlog.
///
/// Starts from an empty queue say nothing about the rate, so only the time during which something waits
/// counts.
class drain_rate {
public:
    /// @param memory starts older than this have little weight
    explicit drain_rate(std::chrono::milliseconds memory = std::chrono::seconds(2));

    /// @param backlog whether something waits from @p now on
    void set_backlog(boot_time now, bool backlog);
    void on_start(boot_time now);

    /// @return starts per second, or nothing before enough was seen
    [[nodiscard]] std::optional<double> per_second(boot_time now) const;

private:
    void advance(boot_time now);

    double memory_seconds;
    double starts = 0;  ///< decayed count of starts under backlog
    double seconds = 0; ///< decayed time under backlog
    boot_time updated{};
    bool waiting = false;
};

/// Mean and 95th percentile of run times, without storing them.
class run_time_estimate {
public:
    void add(std::chrono::microseconds run_time);

    /// Counts a run that was cut off: it would have taken longer.
    void add_cut_off(std::chrono::microseconds at_least);

    /// @return the mean of complete runs, or nothing before the first one
    [[nodiscard]] std::optional<std::chrono::microseconds> mean() const;

    /// @return the time that 95 of 100 runs stay below, or nothing before the first sample
    [[nodiscard]] std::optional<std::chrono::microseconds> high() const;

private:
    void move_high(double sample);

    double mean_us = 0;
    double high_us = 0;
    int samples = 0;
};

} // namespace hornbeamrail
