#include "site/operator_view.hpp"

namespace hornbeamrail {

bool operator_view::set_config(site_config config) {
    if (this->config_received && config.version <= this->current->version) {
        return false;
    }
    this->config_received = true;
    this->current = std::make_shared<const site_config>(std::move(config));
    return true;
}

void operator_view::set_zone(const std::string& zone, bool out) {
    if (out) {
        this->zones.insert(zone);
        this->zones_seen.insert(zone);
    } else {
        this->zones.erase(zone);
        this->zones_seen.erase(zone);
    }
}

void operator_view::set_wave(wave_request request) {
    this->waves_seen.insert(request.number);
    this->wave_requests[request.number] = std::move(request);
}

void operator_view::remove_wave(std::int64_t number) {
    this->waves_seen.erase(number);
    this->wave_requests.erase(number);
}

void operator_view::begin_reload() {
    this->zones_seen.clear();
    this->waves_seen.clear();
}

void operator_view::end_reload() {
    this->zones = this->zones_seen;
    std::erase_if(this->wave_requests,
                  [this](const auto& item) { return !this->waves_seen.contains(item.first); });
}

std::vector<wave_request> operator_view::waves() const {
    std::vector<wave_request> requests;
    for (const auto& [number, request] : this->wave_requests) {
        requests.push_back(request);
    }
    return requests;
}

} // namespace hornbeamrail
