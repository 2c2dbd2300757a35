// Rule MIXED: a job that no node was ever sent is shown after a cancel. See claim.txt.

#include "site_2.hpp"

namespace review {
namespace {

/// Time for which no process of the system runs; the site file has 9.5 s.
constexpr milliseconds down_time{3000};
/// `visible_ms` of the site, within which every node knows what the log holds.
constexpr milliseconds visible{3000};

verdict run_case(site& deployment, bool trouble) {
    if (!deployment.start()) {
        deployment.note("nodes_not_ready");
        return verdict::not_run;
    }
    const std::string job = "00000000000000e1";
    const std::string body = R"({"Spec":"{}","Steps":[{"Count":1,"Cpu":1000,"MemMb":100,"EstimateMs":100}]})";
    if (trouble) {
        for (auto& target : deployment.nodes) {
            target.process.reset();
        }
        deployment.note("all_nodes_killed");
    }
    bool accepted = false;
    for (const auto& target : deployment.nodes) {
        const auto status = deployment.call_node(target, "POST", "/q/" + job, body).status;
        accepted = accepted || status == 200;
        if (trouble && status != 0) {
            deployment.note("a_node_answered");
            return verdict::not_run;
        }
    }
    if (trouble) {
        pause(down_time);
        deployment.note("all_nodes_start_again");
        for (auto& target : deployment.nodes) {
            deployment.start_node(target);
        }
        if (!deployment.wait_until_ready()) {
            return verdict::not_run;
        }
        pause(visible + milliseconds(1000));
    }
    const auto before = deployment.call_node(deployment.nodes.front(), "GET", "/q/" + job);
    if (trouble && before.status != 410) {
        deployment.note("known_before_the_cancel");
        return verdict::not_run;
    }
    // The client gave up meanwhile and cancels, to be sure.
    const auto cancel = deployment.call_node(deployment.nodes.front(), "DELETE", "/q/" + job);
    pause(visible + milliseconds(1000));
    std::size_t shown = 0;
    for (const auto& target : deployment.nodes) {
        const auto answer = deployment.call_node(target, "GET", "/q/" + job);
        shown += answer.status == 200 ? 1 : 0;
    }
    deployment.note("result", {{"accepted", accepted}, {"cancel", cancel.status}, {"nodes_show_it", shown}});
    if (accepted) {
        return shown == deployment.nodes.size() ? verdict::held : verdict::not_run;
    }
    if (shown > 0) {
        deployment.note("rule_broken", {{"rule", "MIXED"}, {"job", job}, {"nodes", shown}});
        return verdict::broken;
    }
    return verdict::held;
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    const bool trouble = argc < 2 || std::string(argv[1]) != "0";
    review::run_and_exit({}, "review/9", [trouble](review::site& deployment) {
        return review::run_case(deployment, trouble);
    });
}
