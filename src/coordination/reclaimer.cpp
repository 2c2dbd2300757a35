#include "coordination/reclaimer.hpp"

#include "coordination/freshness.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

// Nodes take their turns this far apart, so that usually one record is appended.
constexpr std::chrono::milliseconds reclaim_turn{400};
constexpr std::size_t max_reclaim_turns = 10;

constexpr std::chrono::seconds reclaim_retry{5};

} // namespace

std::chrono::microseconds reclaimer::hold_off(const fleet_state& state, bool process_ended) const {
    auto longest_run = this->timings.longest_run;
    for (const auto& service : state.config().services) {
        longest_run = std::max(longest_run, service.longest_run);
    }
    const auto work = std::max(this->timings.slot_lease + longest_run, this->timings.task_lease);
    const auto fresh = process_ended ? std::chrono::milliseconds(0) : this->timings.fresh_bound;
    return inflate(work + fresh, this->timings);
}

void reclaimer::on_vm_list(const vm_list& list, const fleet_state& state) {
    std::set<std::string> present;
    for (const auto& listing : list.vms) {
        if (listing.kind == vm_kind::entry) {
            present.insert(listing.vm.id);
        }
    }
    for (const auto& [incarnation, id] : this->listed) {
        if (!present.contains(id)) {
            this->gone.insert(incarnation);
        }
    }
    this->listed.clear();
    for (const auto& [incarnation, node] : state.nodes()) {
        if (present.contains(node.node_id)) {
            this->listed.emplace(incarnation, node.node_id);
            // A list older than the node may have missed its VM while it was replaced.
            this->gone.erase(incarnation);
        }
    }
    std::erase_if(this->gone, [&](incarnation_id node) { return state.find_node(node) == nullptr; });
}

void reclaimer::on_pause() {
    this->confirmed_at.clear();
    this->ended_at.clear();
}

bool reclaimer::due(boot_time now, incarnation_id node, std::size_t rank) {
    const auto [entry, is_new] =
        this->next_try.try_emplace(node, now + reclaim_turn * std::min(rank, max_reclaim_turns));
    if (now < entry->second) {
        return false;
    }
    entry->second = now + reclaim_retry;
    return true;
}

std::vector<record_body> reclaimer::next_records(boot_time now, const fleet_state& state, incarnation_id self,
                                                 const membership& members) {
    std::vector<record_body> records;
    std::set<incarnation_id> wanted;
    const auto silent = members.silent_nodes(now);
    for (const auto& [incarnation, node] : state.nodes()) {
        if (incarnation == self) {
            continue;
        }
        // The list lags, and a new VM may carry the id of the one that left: silence is needed as well.
        const bool reclaim =
            node.live() && std::find(silent.begin(), silent.end(), incarnation) != silent.end();
        const bool vm_gone =
            this->gone.contains(incarnation) && !node.ended &&
            (reclaim || !node.live() || members.is_silent(now, incarnation, this->timings.suspect_after));
        if (vm_gone || reclaim) {
            wanted.insert(incarnation);
            if (this->due(now, incarnation, members.rank())) {
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
        const bool free_by_end =
            ended != this->ended_at.end() && now - ended->second >= this->hold_off(state, true);
        const bool free_by_majority =
            confirmed != this->confirmed_at.end() && now - confirmed->second >= this->hold_off(state, false);
        if (free_by_end || free_by_majority) {
            wanted.insert(incarnation);
            if (this->due(now, incarnation, members.rank())) {
                records.emplace_back(node_free_record{.incarnation = incarnation});
            }
        }
    }
    const auto unknown = [&](const auto& entry) {
        return state.find_node(entry.first) == nullptr;
    };
    std::erase_if(this->confirmed_at, unknown);
    std::erase_if(this->ended_at, unknown);
    std::erase_if(this->next_try, [&](const auto& entry) { return !wanted.contains(entry.first); });
    return records;
}

} // namespace hornbeamrail
