#pragma once

#include "state/fleet_state.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace hornbeamrail {

/// Part of the fleet's nodes: one node, a group of nodes of a zone, a zone, a region, or the fleet.
struct node_cell {
    std::string region;                ///< empty for the fleet
    std::vector<incarnation_id> nodes; ///< in the order in which they act as the aggregator of the cell
    std::vector<node_cell> children;   ///< in the order of their first nodes; empty for one node
};

/// One level on the way from a node to the root of the tree.
struct node_group {
    int level = 0;                   ///< distance of the group from the root
    const node_cell* cell = nullptr; ///< its children exchange heartbeats, each through its aggregator
    std::size_t own = 0;             ///< index of the child that holds the node
};

/// Hierarchy of heartbeats: groups in a zone, zones in a region, regions in the fleet. No cell has more than
/// a fixed number of children, so that the exchanges of a node do not grow with the fleet. Every node
/// computes the same tree from the same fold; nodes that are being reclaimed are left out.
class node_tree {
public:
    /// @param group_nodes largest number of children of a cell, at least 2
    node_tree(const fleet_state& state, std::size_t group_nodes);

    /// @return the groups of a node from its smallest one to the whole fleet; empty for an unknown node
    [[nodiscard]] std::vector<node_group> path_of(incarnation_id node) const;

    [[nodiscard]] const node_cell& root() const noexcept { return this->fleet; }

private:
    node_cell fleet;
};

} // namespace hornbeamrail
