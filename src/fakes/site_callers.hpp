#pragma once

#include "fakes/site_operators.hpp"
#include "fakes/site_simulation.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Callers of a simulated site: they send the workload through a load balancer, resubmit when a connection
/// breaks, and record what they saw.
class site_callers {
public:
    using pick_node = std::function<std::shared_ptr<simulated_node>()>;

    site_callers(site_world& world, site_operators& operators, std::vector<site_arrival> workload,
                 std::chrono::microseconds client_delay, pick_node pick);

    /// Schedules every arrival.
    void start();

    node_events events();

    /// Part of the requests that are sent through two nodes at once.
    double resubmit_part = 0;
    /// Part of the callers that go on using the oldest key of their team.
    double old_key_part = 0.05;

    /// Callers of this part of the open requests close their connections.
    void cancel(double part);

    [[nodiscard]] const std::vector<site_arrival>& arrivals() const noexcept { return this->workload; }
    [[nodiscard]] const std::vector<request_outcome>& outcomes() const noexcept { return this->results; }

private:
    struct submission {
        std::shared_ptr<simulated_node> node;
        bool open = true;
    };
    struct request_state {
        std::string id;
        std::string key;
        std::vector<submission> attempts;
        bool ended = false;
    };

    void arrive(std::size_t request);
    void send(std::size_t request);
    void retry(std::size_t request, std::chrono::microseconds delay);
    void time_out(std::size_t request, std::int64_t number);
    void on_result(std::size_t request, std::int64_t number, const fake_run_answer& answer);
    void on_refusal(std::size_t request, std::int64_t number, const refusal& answer);
    void on_lost(std::size_t request, std::int64_t number, const std::string& cause);
    bool close(std::size_t request, std::int64_t number);
    [[nodiscard]] history_event event_of(event_kind kind, std::size_t request, std::int64_t number) const;
    [[nodiscard]] boot_time deadline_of(std::size_t request) const;

    site_world& site;
    site_operators& operators;
    std::vector<site_arrival> workload;
    std::chrono::microseconds client_delay;
    pick_node pick;
    boot_time load_start{};
    std::vector<request_state> requests;
    std::vector<request_outcome> results;
};

} // namespace hornbeamrail
