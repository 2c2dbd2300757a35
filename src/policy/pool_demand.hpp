#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace hornbeamrail {

/// Smoothed demand for executor slots per service.
///
/// Demand shifts between services: a burst of five times the mean lasts a few seconds, while a VM that
/// changes pools is unavailable for a drain and a reboot. The smoothing time is many times the length of a
/// burst, so that only demand that lasts longer than a move causes one.
class pool_demand {
public:
    static constexpr std::chrono::seconds default_smoothing{120};
    static constexpr std::chrono::seconds peak_decay{600};

    explicit pool_demand(std::chrono::seconds smoothing = default_smoothing) : smoothing_time(smoothing) {}

    /// Adds a sample. A sample that is not newer than the last one of the service is ignored.
    /// @param service name of the service
    /// @param slots running and queued units of the whole fleet at @p now
    void add_sample(const std::string& service, double slots, boot_time now);

    /// @return the smoothed demand in slots; 0 for a service without samples
    [[nodiscard]] double smoothed(std::string_view service) const;

    /// @return the largest recent smoothed demand in slots, which decays with the time constant `peak_decay`.
    /// A pool keeps VMs for it, so that varying demand does not move the same VMs back and forth.
    [[nodiscard]] double recent_peak(std::string_view service) const;

    /// @return whether the service has been sampled for at least the smoothing time; before that, low demand
    /// is not significant
    [[nodiscard]] bool settled(std::string_view service) const;

private:
    /// Estimate for one service.
    struct estimate {
        double slots = 0;  ///< smoothed demand
        double peak = 0;   ///< decaying maximum of `slots`
        boot_time at{};    ///< time of the last sample
        boot_time first{}; ///< time of the first sample
    };

    std::chrono::seconds smoothing_time;
    std::map<std::string, estimate, std::less<>> estimates;
};

} // namespace hornbeamrail
