#pragma once

#include "state/fleet_state.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace hornbeamrail {

/// Subtree of the heartbeat hierarchy: one node, a group of nodes of a zone, a zone, a region, or the fleet.
struct node_cell {
    std::string region;                ///< empty for the fleet
    std::vector<incarnation_id> nodes; ///< in order of precedence for the role of the cell's aggregator
    std::vector<node_cell> children;   ///< ordered by their first nodes; empty for a single node
};

/// One level on the path from a node to the root of the tree.
struct node_group {
    int level = 0;                   ///< distance of the group from the root
    const node_cell* cell = nullptr; ///< cell whose children exchange heartbeats through their aggregators
    std::size_t own_child = 0;       ///< index of the child that contains the node
};

/// Heartbeat hierarchy: groups in a zone, zones in a region, regions in the fleet.
///
/// Each cell has a bounded number of children, so that the number of heartbeats of a node does not grow with
/// the fleet. Every node computes the same tree from the same fold. Nodes that are being reclaimed are left
/// out. Immutable after construction.
class node_tree {
public:
    /// @param group_nodes maximum number of children of a cell, at least 2
    node_tree(const fleet_state& state, std::size_t group_nodes);

    /// @return the groups of a node from the smallest one to the whole fleet; empty for an unknown node. The
    /// pointers are valid as long as this tree.
    [[nodiscard]] std::vector<node_group> path_of(incarnation_id node) const;

    [[nodiscard]] const node_cell& root() const noexcept { return this->fleet; }

private:
    node_cell fleet;
};

} // namespace hornbeamrail
