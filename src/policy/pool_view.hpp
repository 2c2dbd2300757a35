#pragma once

#include "state/fleet_state.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hornbeamrail {

/// State of one pool on which the planner bases its decisions.
struct pool_view {
    std::string pool;
    std::string service; ///< empty for the spare pool
    std::int64_t min_vms = 0;
    std::int64_t slots_per_vm = 0;   ///< 0 for the spare pool
    std::int64_t arriving = 0;       ///< VMs that are moving into this pool
    std::vector<const vm_info*> vms; ///< VMs that belong to the pool, in any operation

    /// VMs that serve: in no operation, not taken out, in a zone that is not out, and live on the platform's
    /// list.
    std::vector<const vm_info*> serving;

    /// @return slots of the serving VMs
    [[nodiscard]] std::int64_t serving_slots() const {
        return static_cast<std::int64_t>(this->serving.size()) * this->slots_per_vm;
    }
};

/// Builds the views of all pools of the configuration.
/// @param state fleet state folded from the log; must outlive the views
/// @param absent_vms ids of VMs that the platform lists as leaving or no longer lists
/// @return views by pool name
std::map<std::string, pool_view, std::less<>>
make_pool_views(const fleet_state& state, const std::set<std::string, std::less<>>& absent_vms);

} // namespace hornbeamrail
