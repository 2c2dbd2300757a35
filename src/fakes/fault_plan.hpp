#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

enum class fault_kind {
    worker_wave, ///< a third of the VMs end at once and return later, or are replaced
    zone_drill,  ///< operators take a zone out and back in
    zone_loss,   ///< every VM and node of a zone ends at once
    log_outage,
    log_slow,
    lost_appends, ///< half of the appends take effect without an answer; some are delivered twice
    node_pause,
    node_kill,         ///< the process ends; a new one takes the same address
    node_replace,      ///< the entry VM ends; a new one with another id comes
    node_stop,         ///< planned stop
    link_cut,          ///< a node loses its peers and the platform
    one_way_cut,       ///< some messages of a node are lost in one direction
    operator_race,     ///< two operators change the fleet text at once
    key_change,        ///< a new key is granted and an old one revoked
    vm_drain,          ///< operators take a VM out and back in
    vm_leave,          ///< the platform announces that it takes a VM away
    cancel_wave,       ///< many callers close their connections
    failing_executors, ///< some executors fail everything
    lying_executors,   ///< late, crossed and half answers, hanging runs
    slow_executors,    ///< run times are far off
    resubmissions,     ///< callers send the same request id through a second node
};

inline constexpr int fault_kind_count = 21;

std::string_view to_string(fault_kind kind) noexcept;

/// One fault of a run. `choice` selects what it hits.
struct planned_fault {
    fault_kind kind = fault_kind::worker_wave;
    std::chrono::milliseconds at{};
    std::chrono::milliseconds length{};
    std::uint64_t choice = 0;
};

using fault_plan = std::vector<planned_fault>;

/// Generates pairs of faults that overlap.
/// @param seed decides everything
/// @param length time within which the faults begin and end
/// @param planned_only only what operators and callers do on purpose; nothing breaks
fault_plan make_fault_plan(std::uint64_t seed, std::chrono::milliseconds length, bool planned_only = false);

/// @return one line per fault
std::string to_string(const fault_plan& plan);

} // namespace hornbeamrail
