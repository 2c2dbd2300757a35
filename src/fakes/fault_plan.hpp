#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Kinds of faults of a simulated site.
enum class fault_kind {
    worker_wave, ///< a third of the VMs end, 20 ms apart; half of them are replaced, the others return
    zone_drill,  ///< operators take a zone out of service and return it
    zone_loss,   ///< all VMs and nodes of a zone end at the same time
    log_outage,
    log_slow,
    lost_appends, ///< half of the appends take effect without an answer; a fifth are applied twice
    node_pause,
    node_kill,         ///< the process ends; a new one starts at the same address
    node_replace,      ///< the entry VM ends; one with a new id replaces it
    node_stop,         ///< planned stop of a node
    link_cut,          ///< a node loses the links to its peers and perhaps to the platform and the VMs
    one_way_cut,       ///< as `link_cut`, but in one direction only
    operator_race,     ///< two operators change the fleet configuration concurrently
    key_change,        ///< a new key is granted and an old one revoked
    vm_drain,          ///< operators take some VMs out of service and return them
    vm_leave,          ///< the platform announces the removal of some VMs
    cancel_wave,       ///< half of the callers with open requests close their connections
    failing_executors, ///< some executors fail every run
    lying_executors,   ///< late, crossed and truncated answers, and runs that hang
    slow_executors,    ///< run times differ widely from the declared ones
    resubmissions,     ///< callers send the same request id through a second node
};

inline constexpr int fault_kind_count = 21;

/// @return the name of the enumerator
std::string_view to_string(fault_kind kind) noexcept;

/// One fault of a simulation. `choice` selects its target, such as a node, a VM or a zone, and its variant.
struct planned_fault {
    fault_kind kind = fault_kind::worker_wave;
    std::chrono::milliseconds at{};
    std::chrono::milliseconds length{};
    std::uint64_t choice = 0;
};

using fault_plan = std::vector<planned_fault>;

/// Generates pairs of faults, most of which overlap.
/// @param seed determines the whole plan
/// @param length time within which the faults begin and end
/// @param planned_only limits the plan to deliberate actions of operators and callers, without failures
fault_plan make_fault_plan(std::uint64_t seed, std::chrono::milliseconds length, bool planned_only = false);

/// @return one line per fault
std::string to_string(const fault_plan& plan);

} // namespace hornbeamrail
