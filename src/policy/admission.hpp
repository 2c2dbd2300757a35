#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hornbeamrail {

/// Why a request is not accepted. The names are the error names of the request interface.
enum class admission_reason {
    no_key,
    unknown_key,
    revoked_key,
    wrong_team,
    unknown_service,
    limit_reached,
    queue_full,
    deadline_infeasible,
    dependency_short,
};

std::string_view to_string(admission_reason reason) noexcept;

/// Load that one arriving request meets.
struct arrival_load {
    std::int64_t upper_limit = 0; ///< of the team across the fleet
    bool limit_binds = false;     ///< the team's units at this node are all in use
    bool dependency_short = false;
    bool queue_full = false;         ///< and no queued request gives way
    std::int64_t ahead = 0;          ///< requests of the team that start before it
    std::optional<double> drain;     ///< starts per second of the team's queue; nothing when not known
    std::chrono::microseconds run{}; ///< time to leave for the run, 0 when not known
    std::chrono::microseconds deadline{};
};

struct load_refusal {
    admission_reason reason{};
    std::chrono::milliseconds retry_after{0};
};

/// Decides whether a request can be served in time.
/// @return nothing to accept it, else the reason and when a repetition could succeed
std::optional<load_refusal> check_load(const arrival_load& load);

} // namespace hornbeamrail
