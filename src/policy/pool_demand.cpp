#include "policy/pool_demand.hpp"

#include <algorithm>
#include <cmath>

namespace hornbeamrail {

void pool_demand::add_sample(const std::string& service, double slots, boot_time now) {
    const auto [found, inserted] = this->estimates.try_emplace(
        service, estimate{.slots = slots, .peak = slots, .at = now, .first = now});
    if (inserted || now <= found->second.at) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - found->second.at;
    const std::chrono::duration<double> smoothing = this->smoothing_time;
    const double weight = 1 - std::exp(-elapsed / smoothing);
    auto& current = found->second;
    current.slots += weight * (slots - current.slots);
    const std::chrono::duration<double> decay = peak_decay;
    current.peak = std::max(current.slots, current.peak * std::exp(-elapsed / decay));
    current.at = now;
}

double pool_demand::smoothed(std::string_view service) const {
    const auto found = this->estimates.find(service);
    return found == this->estimates.end() ? 0 : found->second.slots;
}

double pool_demand::recent_peak(std::string_view service) const {
    const auto found = this->estimates.find(service);
    return found == this->estimates.end() ? 0 : found->second.peak;
}

bool pool_demand::settled(std::string_view service) const {
    const auto found = this->estimates.find(service);
    return found != this->estimates.end() && found->second.at - found->second.first >= this->smoothing_time;
}

} // namespace hornbeamrail
