#include "policy/access_index.hpp"

#include <utility>

namespace hornbeamrail {

access_index::access_index(std::shared_ptr<const fleet_config> fleet) : config(std::move(fleet)) {
    for (const auto& service : this->config->services) {
        this->services.emplace(service.name, &service);
    }
    for (const auto& team : this->config->teams) {
        this->teams.emplace(
            team.name, team_entry{.config = &team, .services = {team.services.begin(), team.services.end()}});
    }
}

const access_index::team_entry* access_index::find_team(std::string_view name) const {
    const auto found = this->teams.find(name);
    return found == this->teams.end() ? nullptr : &found->second;
}

const team_config* access_index::team(std::string_view name) const {
    const auto* found = this->find_team(name);
    return found == nullptr ? nullptr : found->config;
}

std::variant<const team_config*, admission_reason>
access_index::identify(const fleet_state& state, std::string_view service_name,
                       const std::optional<std::string>& key_hash) const {
    const auto service = this->services.find(service_name);
    if (service == this->services.end()) {
        return admission_reason::unknown_service;
    }
    if (!key_hash) {
        const auto* open_team = service->second->open ? this->find_team(service->second->open_team) : nullptr;
        if (open_team == nullptr) {
            return admission_reason::no_key;
        }
        return open_team->config;
    }
    const auto found = state.keys().find(*key_hash);
    if (found == state.keys().end()) {
        return admission_reason::unknown_key;
    }
    if (found->second.revoked) {
        return admission_reason::revoked_key;
    }
    const auto* team = this->find_team(found->second.team);
    if (team == nullptr || !team->services.contains(service_name)) {
        return admission_reason::wrong_team;
    }
    return team->config;
}

} // namespace hornbeamrail
