#include "coordination/node_tree.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace hornbeamrail {

namespace {

using cells = std::vector<node_cell>;

/// Creates a cell with the given children. A single child is returned unchanged.
node_cell join(cells children, const std::string& region) {
    if (children.size() == 1) {
        return std::move(children.front());
    }
    std::sort(children.begin(), children.end(),
              [](const auto& left, const auto& right) { return left.nodes.front() < right.nodes.front(); });
    node_cell cell{.region = region};
    for (const auto& child : children) {
        cell.nodes.insert(cell.nodes.end(), child.nodes.begin(), child.nodes.end());
    }
    cell.children = std::move(children);
    return cell;
}

/// Joins cells level by level in groups of nearly equal size until at most `limit` are left, and joins those
/// into one.
node_cell join_in_groups(cells children, const std::string& region, std::size_t limit) {
    while (children.size() > limit) {
        const auto groups = (children.size() + limit - 1) / limit;
        cells joined;
        auto next = children.begin();
        for (std::size_t group = 0; group < groups; ++group) {
            const auto remaining = static_cast<std::size_t>(children.end() - next);
            const auto size = (remaining + groups - group - 1) / (groups - group);
            const auto end = next + static_cast<std::ptrdiff_t>(size);
            joined.push_back(join(cells(std::move_iterator(next), std::move_iterator(end)), region));
            next = end;
        }
        children = std::move(joined);
    }
    return join(std::move(children), region);
}

/// Builds the subtree of a region: one group of all nodes when there are at most `limit`, otherwise a subtree
/// per zone.
node_cell make_region(std::map<std::string, cells> zones, const std::string& region, std::size_t limit) {
    std::size_t nodes = 0;
    for (const auto& [zone, members] : zones) {
        nodes += members.size();
    }
    cells subcells;
    for (auto& [zone, members] : zones) {
        if (nodes <= limit) {
            std::move(members.begin(), members.end(), std::back_inserter(subcells));
        } else {
            subcells.push_back(join_in_groups(std::move(members), region, limit));
        }
    }
    return join_in_groups(std::move(subcells), region, limit);
}

} // namespace

node_tree::node_tree(const fleet_state& state, std::size_t group_nodes) {
    std::map<std::string, std::map<std::string, cells>> regions;
    for (const auto& [incarnation, node] : state.nodes()) {
        if (node.live()) {
            regions[node.region][node.zone].push_back({.region = node.region, .nodes = {incarnation}});
        }
    }
    cells subcells;
    for (auto& [region, zones] : regions) {
        subcells.push_back(make_region(std::move(zones), region, group_nodes));
    }
    if (!subcells.empty()) {
        this->fleet = join_in_groups(std::move(subcells), "", group_nodes);
    }
}

std::vector<node_group> node_tree::path_of(incarnation_id node) const {
    std::vector<node_group> path;
    const auto* cell = &this->fleet;
    if (std::find(cell->nodes.begin(), cell->nodes.end(), node) == cell->nodes.end()) {
        return path;
    }
    while (!cell->children.empty()) {
        const auto holder =
            std::find_if(cell->children.begin(), cell->children.end(), [node](const node_cell& child) {
                return std::find(child.nodes.begin(), child.nodes.end(), node) != child.nodes.end();
            });
        path.push_back({.level = static_cast<int>(path.size()),
                        .cell = cell,
                        .own_child = static_cast<std::size_t>(holder - cell->children.begin())});
        cell = &*holder;
    }
    std::reverse(path.begin(), path.end());
    return path;
}

} // namespace hornbeamrail
