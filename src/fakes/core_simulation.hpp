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
    /// Time after which a call to the log without an answer counts as failed.
    std::chrono::milliseconds append_timeout{2000};
    double duplicate_fraction = 0; ///< fraction of the peer requests that arrive twice
    bool count_bytes = false;      ///< encodes each peer message to count its bytes
};

/// Where one node of a simulation runs.
struct simulated_place {
    std::string node_id;
    std::string zone = "a";
    std::string region = "r";
    double clock_rate = 1; ///< seconds of the node's clock per second of true time
};

/// Resources that one simulated node has used since its first start.
struct node_cost {
    std::int64_t messages = 0; ///< peer requests and responses, sent and received
    std::int64_t bytes = 0;    ///< of these messages in Thrift compact protocol with framing
    std::int64_t log_bytes = 0;
    std::int64_t append_calls = 0;
    std::chrono::nanoseconds processor{0};
};

/// Drives several `node_core` objects in simulated time over stand-ins of the log and the links. Not
/// thread-safe.
///
/// Each node has a load: the number of units of a team that it tries to keep running. A unit starts only
/// while the view of the node is fresh and fewer than `usable_units` run. It runs for a fixed time even when
/// its node is killed, because work at an executor continues in that case.
class core_simulation {
public:
    explicit core_simulation(core_simulation_options initial);

    /// Starts the process of a node. A node id that was used before keeps its peer address.
    /// @param adjust_options changes the options of the core before its construction
    /// @return the core, valid until the next start or kill of the node
    node_core& start(const simulated_place& place,
                     const std::function<void(core_options&)>& adjust_options = {});

    /// Ends a process at once. Units that run continue to their ends.
    void kill(const std::string& node_id);

    /// Pauses a process: inputs are deferred until `resume`, and its clock continues.
    void pause(const std::string& node_id);
    void resume(const std::string& node_id);

    [[nodiscard]] bool alive(const std::string& node_id) const;
    [[nodiscard]] node_core& core(const std::string& node_id);
    [[nodiscard]] boot_time local_time(const std::string& node_id) const;
    [[nodiscard]] bool fresh(const std::string& node_id);

    void run_for(std::chrono::microseconds span);
    /// Runs until @p condition holds, checked every 5 ms of simulated time.
    /// @return the simulated time until the condition held, or nothing when @p limit passed first
    std::optional<std::chrono::microseconds> run_until(const std::function<bool()>& condition,
                                                       std::chrono::microseconds limit);
    [[nodiscard]] std::chrono::microseconds now() const noexcept { return this->clock; }

    [[nodiscard]] fake_log& log() noexcept { return this->platform_log; }
    [[nodiscard]] fake_link& links() noexcept { return this->network; }
    /// Sets an additional delay of the answers of the log.
    void set_log_delay(std::chrono::microseconds delay) { this->log_delay = delay; }
    /// Appends records to the log without delay and wakes pending reads.
    void append_now(const std::vector<std::string>& records);

    /// Sets how many units of a team a node tries to keep running, and the run time of one unit.
    void set_load(const std::string& node_id, const std::string& team, std::int64_t target_units,
                  std::chrono::milliseconds run_time = std::chrono::milliseconds(200));
    [[nodiscard]] std::int64_t running(std::string_view team) const;
    [[nodiscard]] std::int64_t running(const std::string& node_id, std::string_view team) const;
    [[nodiscard]] std::int64_t started(std::string_view team) const;
    /// @return the highest number of units of @p team that ran at the same time since the start or the last
    /// call
    std::int64_t take_peak(const std::string& team);

    /// Called for each unit that starts, with the node id and the team.
    std::function<void(const std::string&, const std::string&)> on_start;

    [[nodiscard]] node_cost cost(const std::string& node_id) const;
    /// @return the VMs that the platform lists, by id; erase entries to remove VMs from the list
    [[nodiscard]] std::map<std::string, vm_listing>& listed_vms() noexcept { return this->vms; }

private:
    struct team_load {
        std::int64_t target_units = 0;
        std::chrono::microseconds run_time{200000};
        /// End times of the units in the order of their starts. Ended units are removed from the front before
        /// the next units start.
        std::deque<std::chrono::microseconds> ends;
        std::int64_t started = 0;
    };
    struct process {
        simulated_place place;
        endpoint address;
        std::unique_ptr<node_core> core;
        /// Changes when the process ends, so that late answers are dropped.
        std::uint64_t generation = 0;
        bool paused = false;
        bool tick_scheduled = false;
        std::vector<std::function<void()>> deferred_inputs; ///< arrived during a pause
        std::map<std::string, team_load, std::less<>> loads;
        node_cost cost;
    };
    struct event {
        std::chrono::microseconds at;
        std::uint64_t order;
        std::function<void()> run;
    };
    struct pending_read {
        std::string node_id;
        std::uint64_t generation;
        boot_time started;
        read_log request;
        bool answered = false;
    };

    void schedule(std::chrono::microseconds delay, std::function<void()> run);
    /// Delivers an input to a process, now or when it resumes. Drops it when the process has ended.
    void deliver(process& target, std::uint64_t generation, std::function<void(node_core&, boot_time)> input);
    /// Runs @p function and adds its processor time to the cost of @p target.
    template <class Function>
    void measure_processor_time(process& target, Function&& function);
    void tick(process& target);
    void periodic_tick(const std::string& node_id, std::uint64_t generation);
    void report_load(process& target);
    void start_units(process& target);
    void perform(process& source, append_records action);
    void perform(process& source, read_log action);
    void perform(process& source, const fetch_vm_list& action);
    void perform(process& source, send_peer_request action);
    void perform(process& source, const vm_call& action);
    void answer_read(const std::shared_ptr<pending_read>& read);
    void answer_ready_reads();
    process* find_process(const endpoint& address);
    template <class Message>
    void count_message(process& owner, const Message& message);

    core_simulation_options options;
    seeded_generator random;
    fake_log platform_log;
    fake_link network;
    std::chrono::microseconds clock{1'000'000};
    std::chrono::microseconds log_delay{0};
    std::uint64_t event_count = 0;
    std::vector<event> events; ///< heap, earliest first
    std::map<std::string, process> processes;
    std::deque<std::shared_ptr<pending_read>> pending_reads;
    std::map<std::string, vm_listing> vms;
    std::map<std::string, std::int64_t> peaks;
    std::int64_t vm_list_version = 1;
    bool is_measuring = false; ///< keeps nested calls from counting processor time twice
};

} // namespace hornbeamrail
