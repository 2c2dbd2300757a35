#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Parameters of outlier ejection.
struct worker_health_options {
    int consecutive_failures = 5;                   ///< number that ejects an executor
    double failed_fraction = 0.5;                   ///< fraction of recent dispatches that ejects an executor
    double min_samples = 10;                        ///< dispatches required before `failed_fraction` applies
    double max_ejected_fraction = 0.3;              ///< of the executors of a pool, rounded down
    std::chrono::milliseconds first_ejection{5000}; ///< doubles with each ejection that follows
    std::chrono::milliseconds max_ejection{60000};
    std::chrono::milliseconds return_ramp{10000}; ///< time from the return to full weight
};

/// Tracks the health of the executors of one pool by the outcomes of dispatches.
///
/// An executor that fails immediately has free slots and would attract all requests, so it is ejected. It
/// returns on a ramp; the first failure during the ramp ejects it again, for twice as long.
class worker_health {
public:
    explicit worker_health(worker_health_options health_options = {}) : options(health_options) {}

    /// Adds an executor; has no effect when it is known.
    void add(std::string_view vm);

    /// Removes an executor; has no effect when it is not known.
    void remove(std::string_view vm);

    /// Counts the outcome of a dispatch. Outcomes during an ejection are ignored.
    /// @return whether this outcome ejected the executor
    bool record(boot_time now, std::string_view vm, bool failed);

    /// @return fraction of the executor's slots to use: 0 while ejected, 0..1 on the ramp, else 1
    [[nodiscard]] double weight(boot_time now, std::string_view vm) const;

    [[nodiscard]] std::size_t size() const noexcept { return this->executors.size(); }

    /// @return number of executors that are ejected at @p now
    [[nodiscard]] std::size_t ejected(boot_time now) const;

private:
    /// Recent outcomes of one executor.
    struct entry {
        int consecutive = 0; ///< failures without a success in between
        double samples = 0;  ///< decays with each outcome
        double failures = 0; ///< decays with each outcome
        int ejections = 0;   ///< since the last complete ramp
        boot_time ejected_until{};
        bool returning = false; ///< ejected or on the ramp
    };

    /// @return whether one more ejection keeps `max_ejected_fraction`
    [[nodiscard]] bool may_eject(boot_time now) const;
    void eject(boot_time now, entry& executor);

    worker_health_options options;
    std::map<std::string, entry, std::less<>> executors;
};

} // namespace hornbeamrail
