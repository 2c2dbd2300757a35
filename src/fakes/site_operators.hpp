#pragma once

#include "fakes/simulated_node.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Operators of a simulated site: they submit changes through any node, repeat them until the outcome is
/// known, and record what they were told.
class site_operators {
public:
    /// @param pick returns a node that answers, or nullptr
    site_operators(site_world& world, std::function<std::shared_ptr<simulated_node>()> pick);

    using decided = std::function<void(bool accepted)>;

    /// Submits a change and repeats it with the same id until it is decided.
    /// @param subject fields of the history events: text, key, team, zone, vm, units
    void submit(record_body body, history_event subject, decided done = {});

    void grant_key(const std::string& team, decided done = {});
    void revoke_key(const std::string& key, decided done = {});
    /// Changes one team's upper limit in the fleet text that @p node holds.
    void change_limit(const std::shared_ptr<simulated_node>& node, const std::string& team,
                      std::int64_t units);

    /// @return the newest accepted key of a team, or ""
    [[nodiscard]] std::string key_of(const std::string& team) const;
    [[nodiscard]] std::string older_key_of(const std::string& team) const;

    [[nodiscard]] const std::vector<std::chrono::microseconds>& roll_out() const noexcept {
        return this->roll_out_times;
    }

private:
    struct change {
        std::string id;
        record_body body;
        history_event subject;
        decided done;
        boot_time submitted{};
        boot_time last_sent{};
        std::shared_ptr<simulated_node> node;
    };

    void send(const std::shared_ptr<change>& pending);
    void poll(const std::shared_ptr<change>& pending);

    site_world& site;
    std::function<std::shared_ptr<simulated_node>()> pick_node;
    std::int64_t submitted_changes = 0;
    std::map<std::string, std::vector<std::string>> keys; ///< by team, accepted ones, oldest first
    std::vector<std::chrono::microseconds> roll_out_times;
};

} // namespace hornbeamrail
