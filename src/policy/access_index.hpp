#pragma once

#include "policy/admission.hpp"
#include "state/fleet_state.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <variant>

namespace hornbeamrail {

/// Index of the services and teams of one configuration by name. Each request looks up both; a linear scan
/// over 770 teams would cost more than all other steps of an admission. Immutable after construction.
class access_index {
public:
    access_index() : access_index(std::make_shared<const fleet_config>()) {}

    /// @param fleet configuration to index; not null
    explicit access_index(std::shared_ptr<const fleet_config> fleet);

    /// Finds the team of a request.
    /// @param state fleet state folded from the log, with the API keys; its configuration must be the indexed
    /// one
    /// @param service name of the requested service
    /// @param key_hash SHA-256 of the API key in the request; nothing when the request has no key, in
    /// which case an open service uses its open team
    /// @return the team's entry in the configuration, or the reason for refusal
    [[nodiscard]] std::variant<const team_config*, admission_reason>
    identify(const fleet_state& state, std::string_view service,
             const std::optional<std::string>& key_hash) const;

    /// @return the team's entry in the configuration, or nullptr
    [[nodiscard]] const team_config* team(std::string_view name) const;

private:
    struct team_entry {
        const team_config* config = nullptr;
        std::unordered_set<std::string_view> services;
    };
    [[nodiscard]] const team_entry* find_team(std::string_view name) const;

    std::shared_ptr<const fleet_config> config; ///< owns the strings that the maps view
    std::unordered_map<std::string_view, const service_config*> services;
    std::unordered_map<std::string_view, team_entry> teams;
};

} // namespace hornbeamrail
