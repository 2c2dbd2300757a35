#pragma once

#include "protocol/platform_port.hpp"

#include <chrono>

namespace hornbeamrail {

/// Intervals, timeouts and bounds of a `site_node`.
struct site_node_timings {
    /// Interval of the timer that runs a cycle.
    std::chrono::milliseconds tick{20};
    /// Minimum time between the end of a cycle and the next one.
    std::chrono::milliseconds min_cycle_interval{4};
    /// The next cycle is not due before this many times the duration of the previous one has passed.
    int cycle_pause_factor = 2;
    /// How long reads of jobs and states wait for a record.
    std::chrono::milliseconds follower_wait{1200};
    /// Pause between reads of jobs on a node that is not the scheduler.
    std::chrono::milliseconds jobs_pause{800};
    /// Pause between reads of states. Short because callers wait for changes of state.
    std::chrono::milliseconds states_pause{120};
    /// Pause between reads of jobs on the scheduler.
    std::chrono::milliseconds scheduler_pause{15};
    /// How long reads of jobs on the scheduler wait for a record. A waiting read may miss records while the
    /// log reorganizes; the next read finds them.
    std::chrono::milliseconds scheduler_wait{200};
    /// Pause between reads of the workers topic.
    std::chrono::milliseconds workers_pause{100};
    std::chrono::milliseconds start_timeout{600};
    /// Timeout of a hold, in addition to the time that the worker keeps the call open.
    std::chrono::milliseconds hold_timeout{500};
    std::chrono::milliseconds stop_timeout{900};
    std::chrono::milliseconds vm_timeout{1500};
    std::chrono::milliseconds newest_timeout{2000};
    /// A node that holds the scheduler lease and has loaded nothing of its term for this time passes the
    /// lease on. Longer than two reads of newest records without an answer.
    std::chrono::milliseconds load_stall_limit{5000};
    /// Time for which a node that passed the lease on does not claim it. Exceeds the time after which the
    /// other nodes claim a lease that is not renewed.
    std::chrono::milliseconds lease_pause{4000};
    /// Delay before the scheduler retries an append.
    std::chrono::milliseconds append_retry{60};
    /// Timeout of callers that send none.
    std::chrono::milliseconds default_caller_timeout{3000};
    /// A caller that waits for the log is answered this long before its timeout. Also the minimum of this
    /// wait, if the timeout is very short.
    std::chrono::milliseconds answer_reserve{100};
    /// Maximum time that a caller waits for the log. Bounded so that the caller can retry at another node,
    /// which may still reach the log.
    std::chrono::milliseconds max_store_wait{1200};
    /// Requests that need the log are refused once log reads have failed for this time.
    std::chrono::milliseconds log_outage_grace{500};
    /// A node refuses callers' requests when the age of its configuration reaches `key_revocation_delay`
    /// minus this margin.
    std::chrono::milliseconds key_staleness_margin{900};
    /// Maximum age of the job records and states on a node that is ready or reports a job as unknown.
    std::chrono::milliseconds max_job_age{2200};
    /// Maximum age of the configuration on a ready node.
    std::chrono::milliseconds max_config_age{1700};
    std::chrono::milliseconds stop_idle_grace{700};
    /// Time within which the load balancer removes a stopping node.
    std::chrono::milliseconds load_balancer_removal{2200};
};

/// Options of one `site_node`.
struct site_node_options {
    site_node_settings settings;
    site_node_timings timings;
    std::string incarnation; ///< unique to this start of the process
};

} // namespace hornbeamrail
