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

/// Recovers what dead nodes hold: reclaims silent nodes, waits for the hold-off and frees them.
///
/// At `node_free` nothing that the dead node started runs any more: since a majority has confirmed the
/// reclaim, the node has no fresh view after F; its slot leases lapse, and what it had started ends at its
/// deadline. With proof that its process has ended, it started nothing after the proof, so F is left out.
class reclaimer {
public:
    explicit reclaimer(const core_timings& own) : timings(own) {}

    /// Takes in the platform's list, which may prove that a node's VM is gone.
    void on_vm_list(const vm_list& list, const fleet_state& state);

    /// @return records to append
    std::vector<record_body> next_records(boot_time now, const fleet_state& state, incarnation_id self,
                                          const membership& members);

    /// The process was paused: what it timed before may have been wrong by the length of the pause.
    void on_pause();

    /// @return the time between the majority's confirmation of a reclaim and `node_free`
    [[nodiscard]] std::chrono::microseconds hold_off(const fleet_state& state, bool process_ended) const;

private:
    bool due(boot_time now, incarnation_id node, std::size_t rank);

    core_timings timings;
    std::map<incarnation_id, std::string> listed;     ///< nodes whose VM the list held, with the id of the VM
    std::set<incarnation_id> gone;                    ///< nodes whose VM left the list
    std::map<incarnation_id, boot_time> confirmed_at; ///< when the reclaim was first seen confirmed
    std::map<incarnation_id, boot_time> ended_at;     ///< when the proof was first folded
    std::map<incarnation_id, boot_time> next_try;
};

} // namespace hornbeamrail
