// Rule TWICE: an executor restarts under its id while the store is down. See claim.txt.

#include "site_2.hpp"

namespace review {
namespace {

/// Length of the outage of the store; the site file has outages of 4.5 s.
constexpr milliseconds outage{4500};

std::string job_body(const boost::json::object& durations, int count, bool has_second_step) {
    boost::json::array steps;
    steps.push_back(boost::json::object{
        {"Count", count}, {"Cpu", 1000}, {"MemMb", 100}, {"EstimateMs", 1000}, {"AntiAffinity", 1}});
    if (has_second_step) {
        steps.push_back(boost::json::object{{"Count", count},
                                            {"Cpu", 1000},
                                            {"MemMb", 100},
                                            {"EstimateMs", 300},
                                            {"AntiAffinity", 1},
                                            {"After", {0}}});
    }
    return boost::json::serialize(
        boost::json::object{{"Spec", boost::json::serialize(durations)}, {"Steps", std::move(steps)}});
}

verdict run_case(site& deployment, bool trouble) {
    if (!deployment.start()) {
        deployment.note("nodes_not_ready");
        return verdict::not_run;
    }
    // A few small jobs first, so that each executor has ends that were acknowledged long ago.
    for (int number = 1; number <= 3; ++number) {
        const auto id = "00000000000000a" + std::to_string(number);
        if (!deployment.submit(id, job_body({}, 8, false)) ||
            !deployment.wait_for_state(id, "completed", milliseconds(10000))) {
            return verdict::not_run;
        }
    }
    const std::string job = "00000000000000b1";
    // The first task ends by itself, the second when it is told to; the tasks of the second step are short.
    if (!deployment.submit(job, job_body({{"0.0", 900}, {"0.1", 0}, {"1.0", 200}, {"1.1", 200}}, 2, true)) ||
        !deployment.wait_for(milliseconds(5000), [&] {
            return deployment.worker_of(job + ".0.0.0") != nullptr &&
                   deployment.worker_of(job + ".0.0.1") != nullptr;
        })) {
        return verdict::not_run;
    }
    auto& first = *deployment.worker_of(job + ".0.0.0");
    auto& second = *deployment.worker_of(job + ".0.0.1");
    pause(milliseconds(300));
    const auto outage_begin = now_ms();
    if (trouble) {
        deployment.note("store_down");
        deployment.log.set_silent(true);
    }
    // The executor's end is not recorded while the store is down, so that it is asked at longer intervals.
    const auto listed_again = [&] {
        return !deployment
                    .find_event("hold",
                                [&](const boost::json::object& event) {
                                    return event.at("worker").as_string() == first.id &&
                                           !event.at("waited").as_bool() &&
                                           event.at("ended").to_number<int>() > 0;
                                })
                    .empty();
    };
    if (trouble && !deployment.wait_for(milliseconds(3500), listed_again)) {
        deployment.note("executor_was_not_asked");
        return verdict::not_run;
    }
    if (trouble) {
        deployment.crash_worker(first);
        pause(milliseconds(250));
        deployment.start_worker(first);
    } else {
        pause(milliseconds(1500));
    }
    pause(milliseconds(200));
    site::finish_task(second, job + ".0.0.1");
    if (trouble) {
        pause(milliseconds(std::max<std::int64_t>(0, outage_begin + outage.count() - now_ms())));
        deployment.log.set_silent(false);
        deployment.note("store_up");
    }
    const bool completed = deployment.wait_for_state(job, "completed", milliseconds(20000));
    pause(milliseconds(1000));
    const auto breaches = find_starts_after_done(deployment.events());
    for (const auto& breach : breaches) {
        deployment.note("rule_broken", {{"rule", "TWICE"},
                                        {"task", breach.task},
                                        {"done_at", breach.done_at},
                                        {"acknowledged_at", breach.acknowledged_at},
                                        {"started_at", breach.started_at}});
    }
    deployment.note("result", {{"completed", completed}, {"breaches", breaches.size()}});
    if (!breaches.empty()) {
        return verdict::broken;
    }
    return completed ? verdict::held : verdict::not_run;
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    const bool trouble = argc < 2 || std::string(argv[1]) != "0";
    review::run_and_exit({}, "review/6", [trouble](review::site& deployment) {
        return review::run_case(deployment, trouble);
    });
}
