#include "policy/job_order.hpp"

namespace hornbeamrail {

job_rank rank_job(const job_urgency& job, unix_time now) {
    if (job.long_running) {
        return {.lane = 0, .priority = job.priority};
    }
    const auto latest_start = job.due + job.objective - job.remaining_chain;
    const auto slack = latest_start - now;
    return {.lane = slack.count() >= 0 ? 1 : 2,
            .priority = job.priority,
            .fresh = job.begun ? 0 : 1,
            .slack_ms = slack.count()};
}

} // namespace hornbeamrail
