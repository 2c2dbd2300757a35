#pragma once

#include "protocol/platform_port.hpp"

#include <chrono>

namespace hornbeamrail {

/// Timings of a node on a platform.
struct site_node_timings {
    std::chrono::milliseconds tick{20};
    std::chrono::milliseconds shortest_pump{4};    ///< between two rounds of decisions
    std::chrono::milliseconds follower_wait{1200}; ///< of reads of jobs and states for a record
    std::chrono::milliseconds jobs_pause{800};     ///< between reads of jobs on nodes that do not schedule
    std::chrono::milliseconds states_pause{120};   ///< between reads of states, of which callers wait to hear
    std::chrono::milliseconds scheduler_pause{15}; ///< between reads of jobs on the scheduler
    /// A waiting read may miss records while the log reorganizes; the next read finds them.
    std::chrono::milliseconds scheduler_wait{200};
    std::chrono::milliseconds workers_pause{250}; ///< between reads of the workers topic
    std::chrono::milliseconds start_timeout{600};
    std::chrono::milliseconds hold_timeout{500}; ///< beyond the time that the worker waits
    std::chrono::milliseconds stop_timeout{900};
    std::chrono::milliseconds vm_timeout{1500};
    std::chrono::milliseconds newest_timeout{2000};
    std::chrono::milliseconds append_retry{60};
    std::chrono::milliseconds default_caller_timeout{3000}; ///< of a caller that states none
    std::chrono::milliseconds answer_reserve{100}; ///< a caller gets its answer so long before its deadline
    /// A caller is not kept waiting longer for the log: another node may reach it.
    std::chrono::milliseconds longest_store{1200};
    std::chrono::milliseconds log_grace{500}; ///< requests are refused when the log has been lost for so long
    std::chrono::milliseconds key_margin{900}; ///< keys count as stale so long before their bound
    std::chrono::milliseconds job_age{2200};   ///< of the jobs, at a node that says which jobs exist
    std::chrono::milliseconds ready_age{1700}; ///< of the configuration, at a node that reports itself ready
    std::chrono::milliseconds stop_idle_grace{700};
    std::chrono::milliseconds stop_rotation{2200}; ///< the load balancer takes a stopping node out within
};

struct site_node_options {
    site_node_settings settings;
    site_node_timings timings;
    std::string incarnation; ///< unique to the process
};

} // namespace hornbeamrail
