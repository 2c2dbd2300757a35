// Rule TWICE: an executor restarts under its id while orders to it are carried out late. See claim.txt.

#include "site_2.hpp"

namespace review {
namespace {

/// Length of the spell in which orders are late; the site file has 6.1 s.
constexpr milliseconds late_spell{6000};
/// An order without an answer is carried out this much later; `fleetbench kinds` says 2 to 12 s.
constexpr milliseconds late_by{4000};

/// Time for which the deployment runs before anything happens.
constexpr milliseconds settle_time{15000};

/// A proxy before one executor. It passes calls on, each on a connection of its own. While orders are late,
/// it answers none and passes them on `late_by` later.
class late_proxy {
public:
    late_proxy(int own_port, int worker_port)
        : target(worker_port),
          server(own_port, [this](const http_request& request) { return this->serve(request); }) {}

    void set_late(bool is_late) { this->late = is_late; }

    /// @return number of holds that were answered
    [[nodiscard]] int answered_holds() const { return this->holds; }

private:
    std::optional<http_response> serve(const http_request& request) {
        const std::map<std::string, std::string> headers{
            {"X-Expect-Instance", request.header("x-expect-instance")}};
        const auto pass_on = [request, headers, port = this->target] {
            return call(port, request.method, request.target, headers, request.body, milliseconds(3000));
        };
        if (this->late) {
            std::thread([pass_on] {
                pause(late_by);
                pass_on();
            }).detach();
            while (this->late) {
                pause(milliseconds(20));
            }
            return std::nullopt;
        }
        const auto response = pass_on();
        if (response.status == 0) {
            return std::nullopt;
        }
        this->holds += request.path() == "/hornbeamrail/hold" ? 1 : 0;
        return response;
    }

    int target = 0;
    std::atomic<bool> late{false};
    std::atomic<int> holds{0};
    http_server server;
};

verdict run_case(site& deployment, bool trouble) {
    std::vector<std::unique_ptr<late_proxy>> proxies;
    for (auto& each : deployment.workers) {
        each.advertised = free_port();
        proxies.push_back(std::make_unique<late_proxy>(each.advertised, each.port));
    }
    const auto keep_serving = [&proxies] {
        for (auto& each : proxies) {
            each.release(); // the threads of the proxies run until the process ends
        }
    };
    if (!deployment.start()) {
        deployment.note("nodes_not_ready");
        keep_serving();
        return verdict::not_run;
    }
    // A task that lasts: the system fills the executor that it uses already.
    const std::string lasting = "00000000000000f1";
    const bool is_running =
        deployment.submit(lasting, R"({"Spec":"{\"0.0\":0}","Steps":[{"Count":1,"Cpu":8000,"MemMb":100,)"
                                   R"("EstimateMs":1000,"LongRunning":true}]})") &&
        deployment.wait_for(milliseconds(5000),
                            [&] { return deployment.worker_of(lasting + ".0.0.0") != nullptr; });
    if (!is_running) {
        keep_serving();
        return verdict::not_run;
    }
    auto& used = *deployment.worker_of(lasting + ".0.0.0");
    auto& proxy = *proxies[static_cast<std::size_t>(&used - deployment.workers.data())];
    // A successor takes leases of its predecessor for granted for 12.5 s; the deployment runs longer than
    // that.
    pause(settle_time);
    const auto answered = proxy.answered_holds();
    deployment.wait_for(milliseconds(3000), [&] { return proxy.answered_holds() > answered; });
    const auto begin = now_ms();
    if (trouble) {
        proxy.set_late(true);
        deployment.note("orders_are_late", {{"worker", used.id}, {"by_ms", late_by.count()}});
    }
    const std::string job = "00000000000000f2";
    const bool accepted =
        deployment.submit(job, R"({"Spec":"{\"0.0\":5000}","Steps":[{"Count":1,"Cpu":1000,"MemMb":100,)"
                               R"("EstimateMs":5000}]})");
    if (trouble) {
        pause(milliseconds(150));
        deployment.crash_worker(used);
        pause(milliseconds(200));
        deployment.start_worker(used);
        pause(milliseconds(std::max<std::int64_t>(0, begin + late_spell.count() - now_ms())));
        proxy.set_late(false);
        deployment.note("orders_are_not_late");
    }
    const bool completed = accepted && deployment.wait_for_state(job, "completed", milliseconds(25000));
    pause(milliseconds(500));
    keep_serving();
    std::size_t breaches = 0;
    for (const auto& text : find_overlaps(deployment.events())) {
        ++breaches;
        deployment.note("rule_broken", {{"rule", "TWICE"}, {"runs", text}});
    }
    for (const auto& breach : find_starts_after_done(deployment.events())) {
        ++breaches;
        deployment.note("rule_broken", {{"rule", "TWICE"},
                                        {"task", breach.task},
                                        {"done_at", breach.done_at},
                                        {"acknowledged_at", breach.acknowledged_at},
                                        {"started_at", breach.started_at}});
    }
    deployment.note("result", {{"completed", completed}, {"breaches", breaches}});
    if (breaches > 0) {
        return verdict::broken;
    }
    return completed ? verdict::held : verdict::not_run;
}

} // namespace
} // namespace review

int main(int argc, char** argv) {
    const bool trouble = argc < 2 || std::string(argv[1]) != "0";
    review::run_and_exit({}, "review/7", [trouble](review::site& deployment) {
        return review::run_case(deployment, trouble);
    });
}
