#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hornbeamrail {

struct worker_health_options {
    int consecutive_failures = 5;  ///< that eject an executor
    double failed_part = 0.5;      ///< of recent dispatches that ejects an executor ...
    double min_samples = 10;       ///< ... once this many were seen
    double max_ejected_part = 0.3; ///< of a pool, rounded down
    std::chrono::milliseconds first_ejection{5000};
    std::chrono::milliseconds longest_ejection{60000};
    std::chrono::milliseconds return_ramp{10000};
};

/// Health of the executors of one pool from the outcomes of dispatches.
///
/// An executor that fails at once looks free and would draw all work, so it is ejected. It returns on a ramp;
/// the first failure during the ramp ejects it again, for twice as long.
class worker_health {
public:
    explicit worker_health(worker_health_options health_options = {}) : options(health_options) {}

    void add(std::string_view vm);
    void remove(std::string_view vm);

    /// @return whether the executor was ejected by this outcome
    bool record(boot_time now, std::string_view vm, bool failed);

    /// @return part of the executor's slots to use: 0 while ejected, 0..1 on the ramp, else 1
    [[nodiscard]] double weight(boot_time now, std::string_view vm) const;

    [[nodiscard]] std::size_t size() const noexcept { return this->executors.size(); }
    [[nodiscard]] std::size_t ejected(boot_time now) const;

private:
    struct entry {
        int consecutive = 0;
        double samples = 0; ///< decayed by count
        double failures = 0;
        int ejections = 0; ///< without a full return in between
        boot_time ejected_until{};
        bool returning = false;
    };

    [[nodiscard]] bool may_eject(boot_time now) const;
    void eject(boot_time now, entry& executor);

    worker_health_options options;
    std::map<std::string, entry, std::less<>> executors;
};

} // namespace hornbeamrail
