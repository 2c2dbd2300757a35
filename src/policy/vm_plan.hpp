#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamrail {

/// A VM of a maintenance wave that is up and still to be maintained.
struct wave_candidate {
    std::string vm;
    bool draining = false;        ///< gets no new tasks already
    bool may_end_tasks = true;    ///< ending what runs on it keeps every availability limit
    std::int32_t batch_tasks = 0; ///< tasks whose work would be lost
    std::int32_t latency_sensitive_tasks = 0;
    std::int64_t used_millicores = 0; ///< thousandths of a core in use
};

struct wave_status {
    std::int32_t max_down = 1; ///< of the operators' request
    std::int32_t down = 0;     ///< VMs that are in maintenance or were ordered to
    std::int32_t left = 0;     ///< VMs that have not been ordered
    std::chrono::milliseconds elapsed{0};
    std::chrono::milliseconds duration{0};
    std::chrono::milliseconds maintenance{0}; ///< of one VM
};

struct wave_step {
    std::vector<std::string> maintain; ///< VMs to order now
    std::vector<std::string> drain;    ///< VMs that shall get no new tasks
};

/// Pattern: a wave has to end in time while its VMs carry work. VMs with nothing to lose go first; a few
/// others are drained ahead, and one that is not empty is taken only when the wave would be late otherwise.
wave_step plan_wave_step(const wave_status& status, std::vector<wave_candidate> candidates);

} // namespace hornbeamrail
