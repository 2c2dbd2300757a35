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

/// Running mean of run times.
class run_time_mean {
public:
    void add(std::chrono::microseconds run_time);

    /// @return the mean, or nothing before the first sample
    [[nodiscard]] std::optional<std::chrono::microseconds> mean() const;

private:
    double microseconds = 0;
    int samples = 0;
};

} // namespace hornbeamrail
