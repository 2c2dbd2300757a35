#include "coordination/reclaimer.hpp"

#include "coordination/freshness.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

// Delay between the records of nodes of successive ranks, so that usually only one record is appended.
constexpr std::chrono::milliseconds reclaim_stagger{400};
constexpr std::size_t max_reclaim_stagger_ranks = 10; // nodes of higher rank wait no longer than this one

// Delay before a record about the same node is appended again.
constexpr std::chrono::seconds reclaim_retry{5};

} // namespace

std::chrono::microseconds reclaimer::hold_off(const fleet_state& state, bool process_ended) const {
    auto longest_run = this->timings.longest_run;
    for (const auto& service : state.config().services) {
        longest_run = std::max(longest_run, service.longest_run);
    }
    const auto longest_work = std::max(this->timings.slot_lease + longest_run, this->timings.task_lease);
    const auto freshness_bound = process_ended ? std::chrono::milliseconds(0) : this->timings.fresh_bound;
    return inflate(longest_work + freshness_bound, this->timings);
}

void reclaimer::on_vm_list(const vm_list& list, const fleet_state& state) {
    std::set<std::string> present;
    for (const auto& listing : list.vms) {
        if (listing.kind == vm_kind::entry) {
            present.insert(listing.vm.id);
        }
    }
    for (const auto& [incarnation, id] : this->listed_nodes) {
        if (!present.contains(id)) {
            this->unlisted_nodes.insert(incarnation);
        }
    }
    this->listed_nodes.clear();
    for (const auto& [incarnation, node] : state.nodes()) {
        if (present.contains(node.node_id)) {
            this->listed_nodes.emplace(incarnation, node.node_id);
            // An older list may not have contained the VM because it was being replaced.
            this->unlisted_nodes.erase(incarnation);
        }
    }
    std::erase_if(this->unlisted_nodes,
                  [&](incarnation_id node) { return state.find_node(node) == nullptr; });
}

void reclaimer::on_pause() {
    this->confirmed_at.clear();
    this->ended_at.clear();
}

bool reclaimer::start_attempt_if_due(boot_time now, incarnation_id node, std::size_t rank) {
    const auto [entry, is_new] = this->next_attempt.try_emplace(
        node, now + reclaim_stagger * std::min(rank, max_reclaim_stagger_ranks));
    if (now < entry->second) {
        return false;
    }
    entry->second = now + reclaim_retry;
    return true;
}

std::vector<record_body> reclaimer::next_records(boot_time now, const fleet_state& state, incarnation_id self,
                                                 const membership& members) {
    std::vector<record_body> records;
    std::set<incarnation_id> candidates;
    const auto unresponsive = members.unresponsive_nodes(now);
    for (const auto& [incarnation, node] : state.nodes()) {
        if (incarnation == self) {
            continue;
        }
        // The list lags, and a new VM may have the id of the removed one, so the node must be unresponsive as
        // well.
        const bool reclaim = node.live() && std::find(unresponsive.begin(), unresponsive.end(),
                                                      incarnation) != unresponsive.end();
        const bool vm_gone = this->unlisted_nodes.contains(incarnation) && !node.ended &&
                             (reclaim || !node.live() ||
                              members.is_unresponsive(now, incarnation, this->timings.suspect_after));
        if (vm_gone || reclaim) {
            candidates.insert(incarnation);
            if (this->start_attempt_if_due(now, incarnation, members.rank())) {
                records.emplace_back(node_reclaim_record{.incarnation = incarnation, .vm_gone = vm_gone});
            }
            continue;
        }
        if (node.live()) {
            continue;
        }
        if (node.ended) {
            this->ended_at.try_emplace(incarnation, now);
        }
        if (members.confirmed_offset(node.region) > node.reclaim_offset) {
            this->confirmed_at.try_emplace(incarnation, now);
        }
        const auto ended = this->ended_at.find(incarnation);
        const auto confirmed = this->confirmed_at.find(incarnation);
        const bool can_free_after_exit =
            ended != this->ended_at.end() && now - ended->second >= this->hold_off(state, true);
        const bool can_free_after_confirmation =
            confirmed != this->confirmed_at.end() && now - confirmed->second >= this->hold_off(state, false);
        if (can_free_after_exit || can_free_after_confirmation) {
            candidates.insert(incarnation);
            if (this->start_attempt_if_due(now, incarnation, members.rank())) {
                records.emplace_back(node_free_record{.incarnation = incarnation});
            }
        }
    }
    const auto is_unregistered = [&](const auto& entry) {
        return state.find_node(entry.first) == nullptr;
    };
    std::erase_if(this->confirmed_at, is_unregistered);
    std::erase_if(this->ended_at, is_unregistered);
    std::erase_if(this->next_attempt, [&](const auto& entry) { return !candidates.contains(entry.first); });
    return records;
}

} // namespace hornbeamrail
