#pragma once

#include "fakes/seeded_generator.hpp"
#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace hornbeamrail {

struct fake_link_options {
    std::chrono::microseconds delay{250};      ///< one way, between places of one zone
    std::chrono::microseconds zone_delay{500}; ///< one way, between zones
    std::chrono::microseconds jitter{200};     ///< maximum random addition to a delay
    double loss_fraction = 0;                  ///< fraction of the messages that are lost
};

/// Stand-in of the network between named places (nodes, VMs, the platform). Not thread-safe.
class fake_link {
public:
    explicit fake_link(std::uint64_t seed, fake_link_options options = {});

    [[nodiscard]] fake_link_options& faults() noexcept { return this->options; }

    /// Sets the zone of a place. Messages to or from a place without a zone have the delay within a zone.
    void set_zone(const std::string& place, std::string zone);

    /// Drops every message from @p from to @p to until `restore`.
    void cut_one_way(const std::string& from, const std::string& to);
    /// Drops the messages in both directions.
    void cut(const std::string& first, const std::string& second);
    /// Restores both directions.
    void restore(const std::string& first, const std::string& second);
    void restore_all() { this->cuts.clear(); }
    [[nodiscard]] bool is_cut(const std::string& from, const std::string& to) const;

    /// @return when a message that is sent at @p now arrives, or nothing when it is lost
    std::optional<boot_time> send(boot_time now, const std::string& from, const std::string& to);

private:
    fake_link_options options;
    seeded_generator generator;
    std::map<std::string, std::string> zones;
    std::set<std::pair<std::string, std::string>> cuts;
};

} // namespace hornbeamrail
