#pragma once

#include "protocol/site_document.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hornbeamrail {

/// State published by the operators: the configuration with the highest version, zones taken out, and
/// maintenance waves. Not thread-safe.
class operator_view {
public:
    /// Replaces the configuration if the version of @p config is higher than the current one.
    /// @return whether it was replaced
    bool set_config(site_config config);
    void set_zone(const std::string& zone, bool out);
    void set_wave(wave_request request);
    void remove_wave(std::int64_t number);

    /// Begins a full reload; zones and waves that are not set again before `end_reload` are dropped.
    void begin_reload();
    void end_reload();

    [[nodiscard]] bool has_config() const noexcept {
        return this->current->version != 0 || this->config_received;
    }
    [[nodiscard]] std::shared_ptr<const site_config> config() const noexcept { return this->current; }
    [[nodiscard]] const std::set<std::string>& zones_out() const noexcept { return this->zones; }
    [[nodiscard]] std::vector<wave_request> waves() const;

private:
    std::shared_ptr<const site_config> current = std::make_shared<site_config>();
    bool config_received = false;
    std::set<std::string> zones;
    std::map<std::int64_t, wave_request> wave_requests;
    std::set<std::string> zones_seen;
    std::set<std::int64_t> waves_seen;
};

} // namespace hornbeamrail
