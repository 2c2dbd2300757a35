#pragma once

#include "coordination/core_options.hpp"
#include "coordination/membership.hpp"
#include "protocol/log_record.hpp"
#include "protocol/platform.hpp"
#include "state/fleet_state.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Recovers the resources of dead nodes: reclaims unresponsive nodes and frees them after the hold-off time.
///
/// At `node_free` no work that the dead node started is still running. Once a majority has confirmed the
/// reclaim, the view of the node is stale after at most `fresh_bound` (F); its slot leases expire, and work
/// that it had started ends at its deadline. With proof that its process has ended, the node started nothing
/// after the proof, so F is left out. Not thread-safe.
class reclaimer {
public:
    explicit reclaimer(const core_timings& core_settings) : timings(core_settings) {}

    /// Processes the platform's list, which may prove that the VM of a node no longer exists.
    void on_vm_list(const vm_list& list, const fleet_state& state);

    /// @return reclaim and free records to append. Nodes stagger them by rank.
    std::vector<record_body> next_records(boot_time now, const fleet_state& state, incarnation_id self,
                                          const membership& members);

    /// Restarts all hold-off times after a pause of the process, because times measured before may be wrong
    /// by the length of the pause.
    void on_pause();

    /// @param process_ended whether the process of the node is known to have ended
    /// @return the time between the majority's confirmation of a reclaim, or the proof of the end, and
    /// `node_free`
    [[nodiscard]] std::chrono::microseconds hold_off(const fleet_state& state, bool process_ended) const;

private:
    /// Starts an attempt to append a record about @p node, if the delay for @p rank or the retry delay has
    /// passed.
    bool start_attempt_if_due(boot_time now, incarnation_id node, std::size_t rank);

    core_timings timings;
    /// Nodes whose VM the newest list contained, with the id of the VM.
    std::map<incarnation_id, std::string> listed_nodes;
    std::set<incarnation_id> unlisted_nodes; ///< nodes whose VM was removed from the list
    /// When the majority's confirmation of the reclaim was first observed.
    std::map<incarnation_id, boot_time> confirmed_at;
    /// When the proof that the process ended was first observed.
    std::map<incarnation_id, boot_time> ended_at;
    std::map<incarnation_id, boot_time> next_attempt; ///< earliest time of the next append per node
};

} // namespace hornbeamrail
