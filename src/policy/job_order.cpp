#include "policy/job_order.hpp"

namespace hornbeamrail {

job_rank rank_job(const job_urgency& job, unix_time now) {
    if (job.long_running) {
        return {.job_class = scheduling_class::long_running, .priority = job.priority};
    }
    const auto latest_start = job.due + job.objective - job.remaining_critical_path;
    const auto slack = latest_start - now;
    const auto job_class = job.beyond_share
                               ? scheduling_class::beyond_share
                               : (slack.count() >= 0 ? scheduling_class::on_time : scheduling_class::late);
    return {.job_class = job_class,
            .priority = job.priority,
            .not_started = job.started ? 0 : 1,
            .slack_ms = slack.count()};
}

} // namespace hornbeamrail
