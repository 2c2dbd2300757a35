#include "policy/job_order.hpp"

namespace hornbeamrail {

job_rank rank_job(const job_urgency& job, unix_time now) {
    if (job.long_running) {
        return {.lane = job_lane::lasting, .priority = job.priority};
    }
    const auto latest_start = job.due + job.objective - job.remaining_chain;
    const auto slack = latest_start - now;
    const auto lane =
        job.beyond_share ? job_lane::leftover : (slack.count() >= 0 ? job_lane::in_time : job_lane::late);
    return {.lane = lane, .priority = job.priority, .fresh = job.begun ? 0 : 1, .slack_ms = slack.count()};
}

} // namespace hornbeamrail
