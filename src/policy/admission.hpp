#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hornbeamrail {

/// Reason for the refusal of a request. The names are the error names of the request interface.
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

/// @return the error name of @p reason
std::string_view to_string(admission_reason reason) noexcept;

/// Load at the arrival of a request, from the request's point of view.
struct arrival_load {
    std::int64_t upper_limit = 0;    ///< units of the team across the fleet
    bool limit_binds = false;        ///< all units of the team at this node are in use
    bool dependency_short = false;   ///< a service that this one depends on lacks capacity for the request
    bool queue_full = false;         ///< the queue has no space for the request, even by displacing another
    std::int64_t ahead = 0;          ///< requests of the team that start before it
    std::optional<double> drain;     ///< starts per second of the team's queue; nothing when unknown
    std::chrono::microseconds run{}; ///< time to reserve for the run; 0 when unknown
    std::chrono::microseconds deadline{}; ///< time left until the request expires
};

/// Refusal of a request because of load.
struct load_refusal {
    admission_reason reason{};
    std::chrono::milliseconds retry_after{0}; ///< time after which a retry may succeed
};

/// Refuses a request on arrival, so that under overload it does not expire in the queue: when the upper limit
/// of its team is 0, a dependency lacks capacity, the queue is full, or the expected wait and run time exceed
/// the time left until its deadline.
/// @return nothing when the request is accepted, else the refusal
std::optional<load_refusal> check_load(const arrival_load& load);

} // namespace hornbeamrail
