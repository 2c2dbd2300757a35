#pragma once

#include "fakes/simulated_node.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Operators of a simulated site. They submit changes through any node, resubmit them until the outcome is
/// known, and record the outcome.
class site_operators {
public:
    /// @param pick returns a live node, or nullptr
    site_operators(site_world& world, std::function<std::shared_ptr<simulated_node>()> pick);

    /// Called when a change is accepted or rejected.
    using decision_callback = std::function<void(bool accepted)>;

    /// Submits a change and resubmits it with the same id until it is accepted or rejected.
    /// @param subject fields of the history events: text, key, team, zone, vm, units
    void submit(record_body body, history_event subject, decision_callback done = {});

    /// Grants a new key to a team.
    void grant_key(const std::string& team, decision_callback done = {});
    /// Revokes a key.
    void revoke_key(const std::string& key, decision_callback done = {});
    /// Submits the fleet configuration of @p node with another upper limit for one team.
    /// @param units the new upper limit
    void change_upper_limit(const std::shared_ptr<simulated_node>& node, const std::string& team,
                            std::int64_t units);

    /// @return the newest accepted key of a team, or ""
    [[nodiscard]] std::string key_of(const std::string& team) const;
    /// @return the oldest accepted key of a team, or ""
    [[nodiscard]] std::string oldest_key_of(const std::string& team) const;

    /// @return for each accepted configuration, the time from its submission to its acceptance
    [[nodiscard]] const std::vector<std::chrono::microseconds>& roll_out() const noexcept {
        return this->roll_out_times;
    }

private:
    struct change {
        std::string id;
        record_body body;
        history_event subject;
        decision_callback done;
        boot_time submitted{};
        boot_time last_sent{};
        std::shared_ptr<simulated_node> node;
    };

    void send(const std::shared_ptr<change>& pending);
    void poll(const std::shared_ptr<change>& pending);

    site_world& site;
    std::function<std::shared_ptr<simulated_node>()> pick_node;
    std::int64_t submitted_changes = 0;
    std::map<std::string, std::vector<std::string>> keys; ///< accepted keys by team, oldest first
    std::vector<std::chrono::microseconds> roll_out_times;
};

} // namespace hornbeamrail
