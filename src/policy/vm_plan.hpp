#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamrail {

/// A VM of a maintenance wave that is up and has not been maintained yet.
struct wave_candidate {
    std::string vm;
    bool draining = false;        ///< already gets no new tasks
    bool may_end_tasks = true;    ///< ending its tasks violates no availability limit
    bool may_drain = true;        ///< its tasks may end at some time, and no other work waits for it
    std::int32_t batch_tasks = 0; ///< tasks that are not long-running; ending them loses progress
    std::int32_t long_running_tasks = 0;
    std::int64_t used_millicores = 0; ///< CPU reserved by its tasks, in thousandths of a core
};

/// Progress of a maintenance wave.
struct wave_status {
    std::int32_t max_down = 1;                ///< VMs that may be down at once, from the operators' request
    std::int32_t down = 0;                    ///< VMs that are in maintenance or have been ordered into it
    std::int32_t not_ordered = 0;             ///< VMs that have not been ordered into maintenance
    std::chrono::milliseconds elapsed{0};     ///< since the wave began
    std::chrono::milliseconds duration{0};    ///< within which the wave has to end
    std::chrono::milliseconds maintenance{0}; ///< maintenance time of one VM
};

/// Next step of a maintenance wave.
struct wave_step {
    std::vector<std::string> maintain; ///< VMs to order into maintenance now
    std::vector<std::string> drain;    ///< VMs that get no new tasks
};

/// Chooses the VMs to maintain and to drain next.
///
/// A wave has to end in time while its VMs run tasks. VMs whose tasks lose no progress go first. A few others
/// are drained in advance, so that their tasks have ended when their turn comes. A VM that still runs batch
/// tasks is maintained only when the wave would otherwise end late. A VM whose tasks may not end is never
/// maintained.
wave_step plan_wave_step(const wave_status& status, std::vector<wave_candidate> candidates);

} // namespace hornbeamrail
