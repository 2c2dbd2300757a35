#pragma once

#include "fakes/site_operators.hpp"
#include "fakes/site_simulation.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Callers of a simulated site. They send the workload through a load balancer, resubmit requests when a
/// connection breaks, and record the answers.
class site_callers {
public:
    using pick_node = std::function<std::shared_ptr<simulated_node>()>;

    /// @param client_delay one-way network delay between a caller and a node
    /// @param pick returns the node that receives the next request, or nullptr
    site_callers(site_world& world, site_operators& operators, std::vector<site_arrival> workload,
                 std::chrono::microseconds client_delay, pick_node pick);

    /// Schedules every arrival.
    void start();

    /// @return the callbacks for the nodes; they are valid for the lifetime of this object
    node_events events();

    /// Fraction of the requests that are sent through two nodes at once.
    double resubmit_fraction = 0;
    /// Fraction of the callers that still use the oldest key of their team.
    double old_key_fraction = 0.05;

    /// Closes the connections of this fraction of the open requests.
    void cancel(double fraction);

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
    void time_out(std::size_t request, std::int64_t attempt);
    void on_result(std::size_t request, std::int64_t attempt, const fake_run_answer& answer);
    void on_refusal(std::size_t request, std::int64_t attempt, const refusal& answer);
    void on_lost(std::size_t request, std::int64_t attempt, const std::string& cause);
    /// Closes an attempt.
    /// @return false if it was closed before
    bool close(std::size_t request, std::int64_t attempt);
    [[nodiscard]] history_event make_event(event_kind kind, std::size_t request, std::int64_t attempt) const;
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
