#pragma once

#include "hornbeamrail/error.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

struct diagnostic;

/// An availability zone.
struct zone_config {
    std::string name;
    std::string region;
};

/// A pool of VMs. A pool without a service is the spare pool.
struct pool_config {
    std::string name;
    std::int64_t vms = 0;     ///< number of VMs planned by the operators
    std::int64_t min_vms = 0; ///< moves and maintenance leave the pool at least this many VMs
    std::int64_t cores_per_vm = 32;
    std::int64_t memory_mb_per_vm = 65536;
    std::int64_t accelerators_per_vm = 0;
    bool spare = false;
};

/// Failure budget: the fraction of requests that may fail within a sliding window.
struct availability_target {
    std::chrono::hours window{24 * 28};
    double max_failed_part = 0.001; ///< fraction of the requests, 0 < value < 1
};

/// A service with its pool and limits.
struct service_config {
    std::string name;
    std::string pool;
    std::vector<std::string> depends_on; ///< names of services
    availability_target availability;
    bool open = false;                            ///< requests without a key run under `open_team`
    std::string open_team;                        ///< set if and only if `open`
    std::chrono::milliseconds longest_run{30000}; ///< maximum duration of a run
    std::int64_t queue_limit = 400;               ///< requests of all teams queued per node
    std::int64_t slots_per_executor = 8;
    std::int64_t connections_per_executor = 64;
};

/// A team with its share of the fleet.
struct team_config {
    std::string name;
    double share = 0;                  ///< percent of the fleet when its capacity is fully used
    std::int64_t upper_limit = 0;      ///< units in use at once across the fleet
    std::vector<std::string> services; ///< services that the team may use
};

/// Limits for the periodic maintenance of VMs.
struct maintenance_config {
    std::chrono::hours period{24 * 28}; ///< every VM is maintained once in this period
    double max_parallel_part = 0.1;     ///< largest fraction of a pool that may be in maintenance at once
};

/// Desired configuration of a fleet, written by the operators. Not modified after it was read;
/// threads share it as const.
struct fleet_config {
    std::string site;
    std::vector<zone_config> zones;
    std::vector<pool_config> pools;
    std::vector<service_config> services;
    std::vector<team_config> teams;
    maintenance_config maintenance;

    // Each lookup returns nullptr when nothing with that name is defined.
    [[nodiscard]] const zone_config* find_zone(std::string_view name) const;
    [[nodiscard]] const pool_config* find_pool(std::string_view name) const;
    [[nodiscard]] const service_config* find_service(std::string_view name) const;
    [[nodiscard]] const team_config* find_team(std::string_view name) const;

    /// @return the service whose pool is @p pool, or nullptr (the spare pool has none)
    [[nodiscard]] const service_config* service_of_pool(std::string_view pool) const;

    /// @return whether @p team may use @p service
    [[nodiscard]] bool team_may_use(const team_config& team, std::string_view service) const;
};

/// Reads and checks a fleet configuration.
/// @param document the parsed JSON document
/// @param diagnostics receives every problem with its JSON path and remedy
/// @return the configuration; usable only if @p diagnostics stayed empty
fleet_config read_fleet_config(const boost::json::value& document, std::vector<diagnostic>& diagnostics);

/// Reads and checks a fleet configuration.
/// @param text JSON, at most `max_fleet_config_bytes`
/// @return the configuration; `errc::too_large` or `errc::parse_failed`; `errc::invalid_argument` with the
///     first problem
result<fleet_config> parse_fleet_config(std::string_view text);

/// @return the configuration as JSON; `read_fleet_config` of it gives an equal configuration
boost::json::value to_json(const fleet_config& config);

/// Largest accepted text of a fleet configuration.
inline constexpr std::size_t max_fleet_config_bytes = 4 * 1024 * 1024;

} // namespace hornbeamrail
