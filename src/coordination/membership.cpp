#include "coordination/membership.hpp"

#include <boost/container_hash/hash.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <set>

namespace hornbeamrail {

namespace {

constexpr std::size_t max_reported_unresponsive = 64;

/// @return the k-th largest value; k counts from 1
template <class Value>
Value largest(std::vector<Value> values, std::size_t k) {
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(k - 1), values.end(),
                     std::greater<>());
    return values[k - 1];
}

std::size_t majority_of(std::size_t nodes) {
    return nodes / 2 + 1;
}

std::size_t hash_nodes(const fleet_state& state) {
    std::size_t value = 0;
    for (const auto& [incarnation, node] : state.nodes()) {
        boost::hash_combine(value, incarnation);
        boost::hash_combine(value, node.live());
        boost::hash_combine(value, node.counted);
    }
    return value;
}

bool contains_node(const std::vector<incarnation_id>& nodes, incarnation_id node) {
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

} // namespace

membership::membership(const core_options& node_options) : options(node_options) {}

void membership::refresh(boot_time now, const std::shared_ptr<const fleet_state>& state,
                         incarnation_id incarnation) {
    const auto current = hash_nodes(*state);
    if (this->tree && current == this->nodes_hash && incarnation == this->self) {
        return;
    }
    this->nodes_hash = current;
    this->self = incarnation;
    this->tree = std::make_unique<node_tree>(*state, this->options.limits.group_nodes);
    this->path = this->tree->path_of(incarnation);
    this->counted = state->counted_nodes(this->options.region);
    this->self_counted = contains_node(this->counted, incarnation);
    this->own_rank = 0;
    std::erase_if(this->peers, [&](const auto& entry) { return state->find_node(entry.first) == nullptr; });
    for (const auto& [other, node] : state->nodes()) {
        if (node.live() && other < incarnation) {
            ++this->own_rank;
        }
        if (other == incarnation || this->peers.contains(other)) {
            continue;
        }
        auto& entry = this->peers[other];
        entry.incarnation = other;
        entry.address = node.peer_address;
        entry.region = node.region;
        entry.last_heartbeat_at = now; // The timeout starts when the peer becomes known to this node.
    }
}

const membership::peer* membership::find(incarnation_id node) const {
    const auto found = this->peers.find(node);
    return found == this->peers.end() ? nullptr : &found->second;
}

bool membership::is_responsive(boot_time now, incarnation_id node, std::chrono::milliseconds span) const {
    const auto* entry = this->find(node);
    return entry != nullptr && now - entry->last_heartbeat_at < span;
}

bool membership::is_cell_responsive(boot_time now, const node_cell& cell,
                                    std::chrono::milliseconds span) const {
    return std::any_of(cell.nodes.begin(), cell.nodes.end(),
                       [&](incarnation_id node) { return this->is_responsive(now, node, span); });
}

bool membership::is_partner(incarnation_id node) const {
    return !this->path.empty() && contains_node(this->path.front().cell->nodes, node);
}

bool membership::is_unresponsive(boot_time now, incarnation_id node, std::chrono::milliseconds span) const {
    return this->is_partner(node) && !this->is_responsive(now, node, span);
}

// The first responsive child of a cell provides the acting aggregator. Two nodes may briefly take the role at
// the same time. This is harmless, because a receiver counts the sums of only one node per cell and level.
bool membership::is_aggregator(boot_time now, const node_group& group) const {
    for (std::size_t child = 0; child < group.own_child; ++child) {
        if (this->is_cell_responsive(now, group.cell->children[child], this->options.timings.suspect_after)) {
            return false;
        }
    }
    return true;
}

bool membership::participates(boot_time now, int level) const {
    for (const auto& group : this->path) {
        if (group.level == level) {
            return true;
        }
        if (!this->is_aggregator(now, group)) {
            return false;
        }
    }
    return false;
}

const membership::peer* membership::find_aggregator(boot_time now, const node_cell& cell, int level) const {
    for (const auto node : cell.nodes) {
        const auto* entry = this->find(node);
        if (entry != nullptr && entry->level == level &&
            now - entry->last_heartbeat_at < this->options.timings.reclaim_after) {
            return entry;
        }
    }
    return nullptr;
}

incarnation_id membership::heartbeat_target(boot_time now, const node_cell& cell, int level) const {
    const auto suspect_after = this->options.timings.suspect_after;
    for (const auto node : cell.nodes) {
        if (this->is_responsive(now, node, suspect_after) && this->find(node)->level == level) {
            return node;
        }
    }
    // Until the aggregator of the cell has sent a request, try the nodes of the cell in turn, the likely
    // aggregator first.
    return cell.nodes[this->rounds / 2 % cell.nodes.size()];
}

std::vector<membership::level_sums> membership::sum_demand(boot_time now) const {
    std::vector<level_sums> result(this->path.size());
    std::vector<demand_table> others(this->path.size());
    bool is_participant = true;
    demand_table subtree = this->own_demand;
    for (std::size_t index = 0; index < this->path.size() && is_participant; ++index) {
        const auto& group = this->path[index];
        auto& level = result[index];
        level.participates = true;
        level.subtree = subtree;
        for (std::size_t child = 0; child < group.cell->children.size(); ++child) {
            const auto* entry = child == group.own_child
                                    ? nullptr
                                    : this->find_aggregator(now, group.cell->children[child], group.level);
            if (entry != nullptr) {
                others[index].add(entry->demand);
            }
        }
        subtree.add(others[index]);
        level.is_aggregator = this->is_aggregator(now, group);
        is_participant = level.is_aggregator;
    }
    for (auto index = this->path.size(); index-- > 0;) {
        auto& level = result[index];
        if (!level.participates || index + 1 == this->path.size()) {
            continue;
        }
        if (level.is_aggregator) {
            level.outside = result[index + 1].outside;
            level.outside.add(others[index + 1]);
            continue;
        }
        for (const auto node : this->path[index].cell->nodes) {
            const auto* entry = this->find(node);
            if (entry != nullptr && entry->aggregates && entry->level == this->path[index].level &&
                now - entry->last_heartbeat_at < this->options.timings.reclaim_after) {
                level.outside = entry->outside;
                break;
            }
        }
    }
    return result;
}

wire::Heartbeat membership::own_heartbeat(boot_time now, const node_status& status) const {
    wire::Heartbeat heartbeat;
    heartbeat.incarnation = status.incarnation;
    heartbeat.next_offset = status.next_offset;
    // Rounded up, because a reported age must not be less than the true age.
    heartbeat.log_age_ms =
        status.evidence_age ? std::chrono::ceil<std::chrono::milliseconds>(*status.evidence_age).count() : -1;
    heartbeat.log_head = status.evidence_head;
    heartbeat.log_answers = status.log_answers;
    heartbeat.leaving = status.leaving;
    heartbeat.vm_list_version = status.vm_list_version;
    heartbeat.level = -1;
    for (const auto& [region, offset] : this->confirmed) {
        wire::RegionConfirmed entry;
        entry.region = region;
        entry.next_offset = offset;
        heartbeat.confirmed.push_back(std::move(entry));
    }
    for (const auto& group : this->path) {
        for (std::size_t child = 0; child < group.cell->children.size(); ++child) {
            const auto& cell = group.cell->children[child];
            if (child != group.own_child && heartbeat.silent.size() < max_reported_unresponsive &&
                !this->is_cell_responsive(now, cell, this->options.timings.suspect_after)) {
                heartbeat.silent.push_back(cell.nodes.front());
            }
        }
        if (!this->is_aggregator(now, group)) {
            break;
        }
    }
    return heartbeat;
}

void membership::send(boot_time now, const node_status& status, const wire::Heartbeat& base,
                      incarnation_id target, int level, const level_sums* sums_of_level,
                      std::size_t max_entries, std::uint64_t& call_number,
                      std::vector<send_peer_request>& requests) {
    const auto found = this->peers.find(target);
    if (found == this->peers.end() || found->second.open_call != 0) {
        return;
    }
    auto& entry = found->second;
    auto heartbeat = base;
    heartbeat.level = level;
    heartbeat.incarnation = status.incarnation;
    open_call call{.peer = target, .sent_at = now};
    if (sums_of_level != nullptr) {
        if (entry.sent_level != level) {
            entry.sent_level = level;
            entry.demand_sent.reset();
            entry.outside_sent.reset();
        }
        // An aggregator reserves half of the entries for the sums that it passes down.
        max_entries = std::max<std::size_t>(1, sums_of_level->is_aggregator ? max_entries / 2 : max_entries);
        heartbeat.demand_reset = entry.demand_sent.needs_reset();
        call.demand = entry.demand_sent.changes(sums_of_level->subtree, max_entries);
        heartbeat.demand = call.demand;
        if (sums_of_level->is_aggregator) {
            call.outside = entry.outside_sent.changes(sums_of_level->outside, max_entries);
            heartbeat.outside = call.outside;
            heartbeat.__isset.outside = true;
        }
    }
    entry.open_call = ++call_number;
    this->open_calls.emplace(call_number, std::move(call));
    wire::PeerRequest request;
    request.__set_heartbeat(heartbeat);
    requests.push_back({.call = {.peer = entry.address, .number = call_number},
                        .request = std::move(request),
                        .timeout = this->options.timings.peer_timeout});
}

std::vector<send_peer_request> membership::heartbeats(boot_time now, const node_status& status,
                                                      std::uint64_t& call_number) {
    std::vector<send_peer_request> requests;
    if (now < this->next_round || this->self == 0) {
        return requests;
    }
    this->next_round = now + this->options.timings.heartbeat_interval;
    ++this->rounds;
    this->update_confirmed(status);
    const auto base = this->own_heartbeat(now, status);
    const auto levels = this->sum_demand(now);
    std::size_t links = 1;
    for (std::size_t index = 0; index < this->path.size() && levels[index].participates; ++index) {
        links += this->path[index].cell->children.size() - 1;
    }
    const auto entries_per_link = this->options.limits.demand_entries / links;
    std::set<incarnation_id> contacted{this->self};
    // While the log answers, exchanges above the smallest group run at half the rate. They only carry sums
    // and majority offsets, and they account for most of the messages of the busiest nodes.
    const bool all_levels = !status.log_answers || this->rounds % 2 == 0;
    for (std::size_t index = 0; index < this->path.size() && levels[index].participates; ++index) {
        if (index > 0 && !all_levels) {
            break;
        }
        const auto& group = this->path[index];
        for (std::size_t child = 0; child < group.cell->children.size(); ++child) {
            if (child == group.own_child) {
                continue;
            }
            const auto target = this->heartbeat_target(now, group.cell->children[child], group.level);
            contacted.insert(target);
            this->send(now, status, base, target, group.level, &levels[index], entries_per_link, call_number,
                       requests);
        }
    }
    for (const auto node : this->counted) {
        if (this->self_counted && all_levels && contacted.insert(node).second) {
            this->send(now, status, base, node, -1, nullptr, 0, call_number, requests);
        }
    }
    return requests;
}

void membership::record_heartbeat(boot_time now, const wire::Heartbeat& heartbeat) {
    for (const auto& region : heartbeat.confirmed) {
        auto& offset = this->confirmed[region.region];
        offset = std::max(offset, region.next_offset);
    }
    const auto found = this->peers.find(heartbeat.incarnation);
    if (found == this->peers.end()) {
        return;
    }
    auto& entry = found->second;
    entry.last_heartbeat_at = now;
    entry.failed_calls = 0;
    entry.next_offset = std::max(entry.next_offset, heartbeat.next_offset);
    entry.leaving = heartbeat.leaving;
    entry.reported_unresponsive = heartbeat.silent;
}

wire::Heartbeat membership::answer(boot_time now, const node_status& status, const wire::Heartbeat& request) {
    this->record_heartbeat(now, request);
    if (const auto found = this->peers.find(request.incarnation);
        found != this->peers.end() && request.level >= 0) {
        auto& entry = found->second;
        if (request.demand_reset || entry.level != request.level) {
            entry.demand.clear();
            entry.outside.clear();
        }
        entry.level = request.level;
        entry.demand.apply(request.demand);
        entry.outside.apply(request.outside);
        entry.aggregates = request.__isset.outside;
    }
    auto own = this->own_heartbeat(now, status);
    own.level = this->participates(now, request.level) ? request.level : -1;
    return own;
}

std::optional<view_evidence> membership::on_answer(boot_time now, const peer_call& call,
                                                   const wire::Heartbeat& answer) {
    const auto open = std::move(this->open_calls.extract(call.number).mapped());
    this->record_heartbeat(now, answer);
    if (const auto found = this->peers.find(open.peer); found != this->peers.end()) {
        auto& entry = found->second;
        entry.open_call = 0;
        // After a restart another process may answer at the address. Its answer attests nothing for this
        // incarnation.
        if (answer.incarnation == open.peer) {
            entry.attested_at = open.sent_at;
            entry.attested_next_offset = answer.next_offset;
            entry.attested_log_answers = answer.log_answers;
            entry.demand_sent.on_acknowledged(open.demand);
            entry.outside_sent.on_acknowledged(open.outside);
        }
    }
    if (answer.log_age_ms < 0) {
        return std::nullopt;
    }
    return view_evidence{.as_of = open.sent_at - std::chrono::milliseconds(answer.log_age_ms),
                         .head = answer.log_head};
}

void membership::on_failed(const peer_call& call) {
    const auto open = this->open_calls.find(call.number);
    if (open == this->open_calls.end()) {
        return;
    }
    if (const auto found = this->peers.find(open->second.peer); found != this->peers.end()) {
        found->second.open_call = 0;
        ++found->second.failed_calls;
        // It is unknown whether the peer processed the request.
        found->second.demand_sent.reset();
        found->second.outside_sent.reset();
    }
    this->open_calls.erase(open);
}

void membership::on_pause(boot_time now) {
    for (auto& [incarnation, entry] : this->peers) {
        entry.last_heartbeat_at = now;
        entry.attested_at.reset();
        entry.open_call = 0;
        entry.reported_unresponsive.clear();
        entry.demand_sent.reset();
        entry.outside_sent.reset();
    }
    this->open_calls.clear();
}

std::optional<view_evidence> membership::majority_evidence(boot_time now, const node_status& status) const {
    if (!this->self_counted || status.log_answers) {
        return std::nullopt;
    }
    std::vector<boot_time> attestations{now}; // The attestation of this node itself.
    for (const auto node : this->counted) {
        const auto* entry = this->find(node);
        if (entry != nullptr && entry->attested_at && !entry->attested_log_answers &&
            entry->attested_next_offset <= status.next_offset) {
            attestations.push_back(*entry->attested_at);
        }
    }
    const auto majority = majority_of(this->counted.size());
    if (attestations.size() < majority) {
        return std::nullopt;
    }
    return view_evidence{.as_of = largest(std::move(attestations), majority), .head = status.next_offset};
}

void membership::update_confirmed(const node_status& status) {
    if (!this->self_counted) {
        return;
    }
    std::vector<log_offset> offsets;
    for (const auto node : this->counted) {
        const auto* entry = this->find(node);
        offsets.push_back(node == this->self ? status.next_offset
                          : entry == nullptr ? 0
                                             : entry->next_offset);
    }
    const auto majority = majority_of(offsets.size());
    auto& offset = this->confirmed[this->options.region];
    offset = std::max(offset, largest(std::move(offsets), majority));
}

log_offset membership::confirmed_offset(std::string_view region) const {
    const auto found = this->confirmed.find(region);
    return found == this->confirmed.end() ? 0 : found->second;
}

bool membership::has_responsive_majority(boot_time now) const {
    const auto responsive =
        std::count_if(this->counted.begin(), this->counted.end(), [&](incarnation_id node) {
            return node == this->self || this->is_responsive(now, node, this->options.timings.suspect_after);
        });
    return static_cast<std::size_t>(responsive) >= majority_of(this->counted.size());
}

// A node that receives no heartbeats from another may have lost only its own link to it. Every responsive
// node of the group must report the other node as unresponsive too.
bool membership::peers_confirm_unresponsive(boot_time now, const node_group& group,
                                            std::size_t unresponsive_child) const {
    const auto unresponsive = group.cell->children[unresponsive_child].nodes.front();
    std::size_t confirming_peers = 0;
    for (std::size_t child = 0; child < group.cell->children.size(); ++child) {
        if (child == group.own_child || child == unresponsive_child) {
            continue;
        }
        for (const auto node : group.cell->children[child].nodes) {
            if (!this->is_responsive(now, node, this->options.timings.suspect_after) ||
                (group.cell->children[child].nodes.size() > 1 && this->find(node)->level != group.level)) {
                continue;
            }
            ++confirming_peers;
            if (!contains_node(this->find(node)->reported_unresponsive, unresponsive)) {
                return false;
            }
        }
    }
    // A counted node with a responsive majority is not isolated itself. Any other node needs at least one
    // peer that confirms.
    return this->self_counted ? this->has_responsive_majority(now) : confirming_peers > 0;
}

std::vector<incarnation_id> membership::unresponsive_nodes(boot_time now) const {
    std::vector<incarnation_id> unresponsive;
    for (const auto& group : this->path) {
        for (std::size_t child = 0; child < group.cell->children.size(); ++child) {
            const auto& cell = group.cell->children[child];
            // A region that is partitioned off continues to serve with its own counted set, so nodes of other
            // regions do not reclaim its nodes.
            if (child == group.own_child || cell.region != this->options.region ||
                this->is_cell_responsive(now, cell, this->options.timings.reclaim_after) ||
                !this->peers_confirm_unresponsive(now, group, child)) {
                continue;
            }
            // This node sends heartbeats to one node of a larger cell at a time, so a missing heartbeat
            // proves nothing about the others. A node of such a cell is reported only after two failed calls
            // to it.
            std::copy_if(cell.nodes.begin(), cell.nodes.end(), std::back_inserter(unresponsive),
                         [&](incarnation_id node) {
                             return cell.nodes.size() == 1 || this->find(node)->failed_calls >= 2;
                         });
        }
        if (!this->is_aggregator(now, group)) {
            break;
        }
    }
    return unresponsive;
}

std::optional<endpoint> membership::peer_ahead(boot_time now, log_offset next_offset) const {
    const peer* best = nullptr;
    for (const auto& [incarnation, entry] : this->peers) {
        if (entry.next_offset > next_offset &&
            now - entry.last_heartbeat_at < this->options.timings.suspect_after &&
            (best == nullptr || entry.next_offset > best->next_offset)) {
            best = &entry;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->address);
}

hornbeamrail::fleet_demand membership::fleet_demand(boot_time now) const {
    hornbeamrail::fleet_demand demand;
    demand.nodes.push_back({.incarnation = this->self, .services = this->own_demand.to_vector()});
    if (this->path.empty()) {
        return demand;
    }
    const auto& group = this->path.front();
    for (std::size_t child = 0; child < group.cell->children.size(); ++child) {
        const auto* entry = child == group.own_child
                                ? nullptr
                                : this->find_aggregator(now, group.cell->children[child], group.level);
        if (entry != nullptr) {
            demand.nodes.push_back(
                {.incarnation = entry->incarnation, .services = entry->demand.to_vector()});
        }
    }
    if (const auto rest = this->sum_demand(now).front().outside.to_vector(); !rest.empty()) {
        demand.nodes.push_back({.incarnation = 0, .services = rest});
    }
    return demand;
}

boost::json::value membership::dump(boot_time now) const {
    boost::json::array entries;
    for (const auto& [incarnation, entry] : this->peers) {
        entries.push_back(
            {{"incarnation", incarnation},
             {"address", to_string(entry.address)},
             {"region", entry.region},
             {"silent_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.last_heartbeat_at).count()},
             {"next_offset", entry.next_offset},
             {"partner", this->is_partner(incarnation)},
             {"failed_calls", entry.failed_calls},
             {"leaving", entry.leaving}});
    }
    boost::json::object regions;
    for (const auto& [region, offset] : this->confirmed) {
        regions[region] = offset;
    }
    return {{"counted", this->self_counted},
            {"rank", this->own_rank},
            {"peers", std::move(entries)},
            {"confirmed", std::move(regions)}};
}

} // namespace hornbeamrail
