#pragma once

#include "coordination/core_options.hpp"
#include "fakes/fault_plan.hpp"
#include "fakes/history.hpp"
#include "fakes/history_checker.hpp"
#include "fakes/simulated_node.hpp"
#include "fakes/site_workload.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hornbeamrail {

/// @return timings with a shorter longest run, so that units held by a dead node become usable again within a
/// short simulation
core_timings simulation_timings();

/// All inputs of a run. Equal options give equal histories.
struct site_options {
    std::uint64_t seed = 1;
    int nodes = 6;
    site_shape shape;
    /// Window of the availability budgets that the checker uses.
    std::chrono::microseconds budget_window{std::chrono::hours(24 * 28)};
    workload_options workload; ///< its seed is derived from `seed`
    fault_plan faults;
    injected_defects defects;
    core_timings timings = simulation_timings();
    std::chrono::microseconds warm_up{
        8'000'000}; ///< before the load, for the registration of nodes, VMs and keys
    std::chrono::microseconds settle_time{8'000'000}; ///< after the load
    std::chrono::microseconds client_delay{3000};     ///< one way
    /// A VM without maintenance is due four weeks after the epoch, so with this default all VMs are due at
    /// once.
    std::chrono::sys_seconds wall_start{std::chrono::sys_days{std::chrono::year(2026) / 1 / 1}};
};

/// Outcome of one request of the workload over all its submissions.
struct request_outcome {
    bool done = false;                   ///< received a complete answer
    bool refused_full = false;           ///< the last refusal was for lack of capacity (429)
    bool lost = false;                   ///< neither answered nor refused
    std::string error;                   ///< of the last refusal
    std::chrono::microseconds latency{}; ///< from arrival to answer
};

/// Figures of a run in addition to its history.
struct site_figures {
    std::int64_t offered = 0;
    std::int64_t completed = 0;
    std::int64_t vm_moves = 0;                       ///< reboots into a pool and maintenance
    std::map<std::string, double> idle_slot_seconds; ///< by pool, during the load
    std::vector<std::chrono::microseconds> roll_out; ///< from a configuration's submission to its acceptance
    std::map<std::string, std::int64_t> refusals;    ///< by error
};

/// Result of a run.
struct site_result {
    std::vector<history_event> history;
    std::vector<site_arrival> arrivals;
    std::vector<request_outcome> outcomes; ///< one per arrival
    site_figures figures;
};

/// Runs a site in simulated time, with entry nodes over the fakes, callers, operators and faults.
site_result run_site(const site_options& options);

/// @return the options with which the history measurement runs a seed. Two of three seeds mix all kinds of
/// faults; such a run counts as all the faults of a four-week budget window. Every third seed has only
/// planned faults and a budget window of one hour, the shortest that is valid.
site_options history_options(std::uint64_t seed);

} // namespace hornbeamrail
