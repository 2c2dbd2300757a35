#pragma once

#include "peer_types.h"
#include "policy/fleet_demand.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hornbeamrail {

struct demand_key {
    std::string service;
    std::string team;

    friend auto operator<=>(const demand_key&, const demand_key&) = default;
};

struct demand_units {
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::int64_t oldest_wait_ms = 0;
};

/// Demand per service and team of one node or summed over several.
class demand_table {
public:
    demand_table() = default;
    explicit demand_table(const std::vector<service_demand>& demand);

    void add(const demand_table& other);

    /// Replaces the entries named in @p changes; entries without units are erased.
    void apply(const std::vector<wire::Demand>& changes);

    void clear() { this->entries.clear(); }

    [[nodiscard]] const std::map<demand_key, demand_units>& all() const noexcept { return this->entries; }
    [[nodiscard]] std::vector<service_demand> to_vector() const;

private:
    std::map<demand_key, demand_units> entries;
};

/// Sends a demand table to one peer as changes since the last request that the peer answered.
class demand_link {
public:
    /// @param max_entries largest number of entries returned; the rest follows in later calls
    /// @return entries that differ from what the peer holds
    std::vector<wire::Demand> changes(const demand_table& current, std::size_t max_entries);

    /// The peer has answered the request that carried @p sent.
    void on_answered(const std::vector<wire::Demand>& sent);

    /// The peer's copy is unknown, so the next request replaces it.
    void reset();

    [[nodiscard]] bool needs_reset() const noexcept { return this->unknown; }

private:
    std::map<demand_key, demand_units> held; ///< what the peer is known to hold
    demand_key position;                     ///< first key of the next call, when not all entries fit
    bool unknown = true;
};

} // namespace hornbeamrail
