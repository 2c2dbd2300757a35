// Rule LOST: an accepted job of a tenant under half of its lowered cap never starts. See claim.txt.

#include "site_2.hpp"

namespace review {
namespace {

/// `finish_s` of the site: jobs are asked for that long after the end of the traffic.
constexpr milliseconds finish_time{14000};
/// Time for which a job may have nothing running then.
constexpr milliseconds longest_idle{3000};
constexpr std::int64_t usual_cap = 20000;
constexpr std::int64_t lowered_cap = 10000;
constexpr std::int64_t lasting_need = 3900; ///< below half of the lowered cap
/// Together with the lasting task 1.04 times the lowered cap; QUOTA allows 1.1 times and one task more.
constexpr std::int64_t batch_need = 6500;

std::string tenants(std::int64_t cap) {
    return R"([{"Name":"t","ApiKeys":["key"],"Weight":1000,"Cap":{"Cpu":)" + std::to_string(cap) + "}}]";
}

verdict run_case(site& deployment, bool trouble) {
    if (!deployment.start()) {
        deployment.note("nodes_not_ready");
        return verdict::not_run;
    }
    const std::string lasting = "00000000000000d1";
    if (!deployment.submit(lasting, R"({"Spec":"{\"0.0\":0}","Steps":[{"Count":1,"Cpu":)" +
                                        std::to_string(lasting_need) +
                                        R"(,"MemMb":100,"EstimateMs":1000,"LongRunning":true}]})") ||
        !deployment.wait_for(milliseconds(5000),
                             [&] { return deployment.worker_of(lasting + ".0.0.0") != nullptr; })) {
        return verdict::not_run;
    }
    const auto cap = trouble ? lowered_cap : usual_cap;
    deployment.write_config(2, tenants(cap));
    deployment.note("config_acknowledged", {{"version", 2}, {"cap_cpu", cap}});
    pause(milliseconds(3000)); // `ConfigMs` is 2,000
    const std::string job = "00000000000000d2";
    if (!deployment.submit(job, R"({"Spec":"{\"0.0\":500}","Steps":[{"Count":1,"Cpu":)" +
                                    std::to_string(batch_need) + R"(,"MemMb":100,"EstimateMs":500}]})")) {
        return verdict::not_run;
    }
    const bool completed = deployment.wait_for_state(job, "completed", finish_time + longest_idle);
    const bool started = deployment.worker_of(job + ".0.0.0") != nullptr;
    const auto state = deployment.call_node(deployment.nodes.front(), "GET", "/q/" + job);
    deployment.note("result", {{"completed", completed}, {"started", started}});
    if (completed) {
        return verdict::held;
    }
    if (started || state.status != 200) {
        return verdict::not_run;
    }
    deployment.note("rule_broken",
                    {{"rule", "LOST"},
                     {"job", job},
                     {"tenant_runs_cpu", lasting_need},
                     {"cap_cpu", cap},
                     {"service_uses_cpu", lasting_need},
                     {"service_has_cpu", 32000 * static_cast<std::int64_t>(deployment.workers.size())}});
    return verdict::broken;
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    const bool trouble = argc < 2 || std::string(argv[1]) != "0";
    review::run_and_exit(
        {.tenants = review::tenants(review::usual_cap)}, "review/8",
        [trouble](review::site& deployment) { return review::run_case(deployment, trouble); });
}
