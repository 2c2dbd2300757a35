#pragma once

#include "coordination/node_core.hpp"
#include "fakes/fake_link.hpp"
#include "fakes/fake_log.hpp"
#include "fakes/seeded_generator.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

struct core_simulation_options {
    std::uint64_t seed = 1;
    fake_log_options log;
    fake_link_options link;
    std::chrono::milliseconds tick_interval{25};
    std::chrono::milliseconds report_interval{100};
    /// Time after which a call without an answer counts as failed.
    std::chrono::milliseconds append_timeout{2000};
    double duplicate_part = 0; ///< part of the peer requests that arrive twice
    bool count_bytes = false;  ///< encode each peer message to count its bytes
};

/// Where one node of a simulation runs.
struct simulated_place {
    std::string node_id;
    std::string zone = "a";
    std::string region = "r";
    double clock_rate = 1; ///< seconds of the node's clock per second of true time
};

/// What one simulated node has cost so far.
struct node_cost {
    std::int64_t messages = 0; ///< peer requests and responses, sent and received
    std::int64_t bytes = 0;    ///< of these messages in Thrift compact protocol with framing
    std::int64_t log_bytes = 0;
    std::int64_t append_calls = 0;
    std::chrono::nanoseconds processor{0};
};

/// Drives several `node_core` objects over stand-ins of the log and the links, in simulated time.
///
/// Each node carries a load: units of a team that it wants to run. A unit starts only under a fresh view and
/// below `usable_units`, and runs for a fixed time even when its node dies, as work at an executor does.
class core_simulation {
public:
    explicit core_simulation(core_simulation_options chosen);

    /// Starts a process. A node id that was used before keeps its peer address.
    /// @param adapt changes options of the core before it is made
    node_core& start(const simulated_place& place, const std::function<void(core_options&)>& adapt = {});

    /// Ends a process at once. Its units run on to their ends.
    void kill(const std::string& node_id);

    /// Stops a process from taking in anything; its clock runs on.
    void pause(const std::string& node_id);
    void resume(const std::string& node_id);

    [[nodiscard]] bool alive(const std::string& node_id) const;
    [[nodiscard]] node_core& core(const std::string& node_id);
    [[nodiscard]] boot_time local_time(const std::string& node_id) const;
    [[nodiscard]] bool fresh(const std::string& node_id);

    void run_for(std::chrono::microseconds span);
    /// Runs until @p condition holds, checked every 5 ms of simulated time.
    /// @return the time it took, or nothing when @p limit passed first
    std::optional<std::chrono::microseconds> run_until(const std::function<bool()>& condition,
                                                       std::chrono::microseconds limit);
    [[nodiscard]] std::chrono::microseconds now() const noexcept { return this->clock; }

    [[nodiscard]] fake_log& log() noexcept { return this->platform_log; }
    [[nodiscard]] fake_link& links() noexcept { return this->network; }
    /// Additional time until the log answers.
    void set_log_delay(std::chrono::microseconds delay) { this->log_delay = delay; }
    void append_now(const std::vector<std::string>& records);

    /// Sets the units of a team that a node wants to run from now on, and how long one runs.
    void set_load(const std::string& node_id, const std::string& team, std::int64_t wanted,
                  std::chrono::milliseconds run_time = std::chrono::milliseconds(200));
    [[nodiscard]] std::int64_t running(std::string_view team) const;
    [[nodiscard]] std::int64_t running(const std::string& node_id, std::string_view team) const;
    [[nodiscard]] std::int64_t started(std::string_view team) const;
    /// @return the most units of @p team that ran at once since the start or the last call
    std::int64_t take_peak(const std::string& team);

    /// Called whenever units start: node, team.
    std::function<void(const std::string&, const std::string&)> on_start;

    [[nodiscard]] node_cost cost(const std::string& node_id) const;
    /// @return the ids of the VMs that the platform lists; change it to make VMs vanish
    [[nodiscard]] std::map<std::string, vm_listing>& listed_vms() noexcept { return this->vms; }

private:
    struct team_load {
        std::int64_t wanted = 0;
        std::chrono::microseconds run_time{200000};
        std::deque<std::chrono::microseconds> ends; ///< of running units, ascending
        std::int64_t started = 0;
    };
    struct process {
        simulated_place place;
        endpoint address;
        std::unique_ptr<node_core> core;
        std::uint64_t generation =
            0; ///< changes when the process ends, so that late answers find no receiver
        bool paused = false;
        bool tick_scheduled = false;
        std::vector<std::function<void()>> while_paused;
        std::map<std::string, team_load, std::less<>> loads;
        node_cost cost;
    };
    struct event {
        std::chrono::microseconds at;
        std::uint64_t order;
        std::function<void()> run;
    };
    struct waiting_read {
        std::string node_id;
        std::uint64_t generation;
        boot_time started;
        read_log request;
        bool answered = false;
    };

    void schedule(std::chrono::microseconds delay, std::function<void()> run);
    /// Delivers an input to a process, now or when it wakes.
    void deliver(process& target, std::uint64_t generation, std::function<void(node_core&, boot_time)> input);
    template <class Function>
    void measured(process& target, Function&& function);
    void tick(process& target);
    void periodic_tick(const std::string& node_id, std::uint64_t generation);
    void report(process& target);
    void work(process& target);
    void perform(process& source, append_records action);
    void perform(process& source, read_log action);
    void perform(process& source, const fetch_vm_list& action);
    void perform(process& source, send_peer_request action);
    void perform(process& source, const vm_call& action);
    void answer_read(const std::shared_ptr<waiting_read>& read);
    void wake_readers();
    process* process_at(const endpoint& address);
    template <class Message>
    void count_message(process& at, const Message& message);

    core_simulation_options options;
    seeded_generator random;
    fake_log platform_log;
    fake_link network;
    std::chrono::microseconds clock{1'000'000};
    std::chrono::microseconds log_delay{0};
    std::uint64_t event_count = 0;
    std::vector<event> events; ///< heap, earliest first
    std::map<std::string, process> processes;
    std::deque<std::shared_ptr<waiting_read>> readers;
    std::map<std::string, vm_listing> vms;
    std::map<std::string, std::int64_t> peaks;
    std::int64_t vm_list_version = 1;
    bool measuring = false; ///< processor time is being taken; it must not be counted twice
};

} // namespace hornbeamrail
