#pragma once

#include "peer_types.h"
#include "policy/fleet_demand.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Key of a demand entry.
struct demand_key {
    std::string service;
    std::string team;

    friend auto operator<=>(const demand_key&, const demand_key&) = default;
};

/// Units of one service and team.
struct demand_units {
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::int64_t oldest_wait_ms = 0; ///< wait of the oldest queued unit
};

/// Demand per service and team, of one node or summed over several nodes. Entries without units are left out.
class demand_table {
public:
    demand_table() = default;
    explicit demand_table(const std::vector<service_demand>& demand);

    /// Adds the units of @p other per entry. The oldest wait is the maximum of both.
    void add(const demand_table& other);

    /// Replaces the entries listed in @p changes. Listed entries without units are erased.
    void apply(const std::vector<wire::Demand>& changes);

    void clear() { this->entries.clear(); }

    /// @return all entries, sorted by service and team
    [[nodiscard]] const std::map<demand_key, demand_units>& all() const noexcept { return this->entries; }

    /// @return all entries as `service_demand`
    [[nodiscard]] std::vector<service_demand> to_vector() const;

private:
    std::map<demand_key, demand_units> entries;
};

/// Encodes a demand table for one peer as changes since the last request that the peer answered.
class demand_link {
public:
    /// @param max_entries maximum number of entries returned; the rest follows in later calls
    /// @return entries that differ significantly from the copy of the peer; an entry without units means that
    /// it vanished
    std::vector<wire::Demand> changes(const demand_table& current, std::size_t max_entries);

    /// Records that the peer answered the request that carried @p sent.
    void on_acknowledged(const std::vector<wire::Demand>& sent);

    /// Marks the copy of the peer as unknown, so that the next request replaces it.
    void reset();

    /// @return whether the next request must replace the copy of the peer
    [[nodiscard]] bool needs_reset() const noexcept { return this->is_peer_copy_unknown; }

private:
    std::map<demand_key, demand_units> acknowledged; ///< entries that the peer has acknowledged
    demand_key next_key; ///< first key of the next call when not all entries fit into one
    bool is_peer_copy_unknown = true;
};

} // namespace hornbeamrail
