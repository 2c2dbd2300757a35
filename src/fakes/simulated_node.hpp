#pragma once

#include "coordination/node_core.hpp"
#include "fakes/site_world.hpp"
#include "node/dispatcher.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hornbeamrail {

/// Defects injected into a run to show that the checker detects them. Most change the input or the driver of
/// one node; the product code is unchanged. The number is that of the violated guarantee.
struct injected_defects {
    bool loses_answers = false;       ///< 1: the driver drops a third of the answers
    bool swaps_pools = false;         ///< 2: one node reads another pool in `vm_add` records
    bool ignores_revocations = false; ///< 3: one node does not see `key_revoke` records
    bool ignores_limits = false;      ///< 4: the dispatcher reads ten times the usable units
    bool ignores_zone_out = false;    ///< 5: one node does not see `zone_out` records
    bool ignores_correlation = false; ///< 6: the driver forwards answers of other runs and incomplete answers
    bool misreports_lost_runs = false; ///< 7: the driver reports a dispatch without an answer as not sent
    bool grants_every_claim = false;   ///< 8: the driver grants claims without a call to the owner
    bool hides_leaving = false;        ///< 9: the driver drops the leaving flags
    bool stops_at_once = false;        ///< 10: a planned stop ends the process without waiting
    bool reboots_busy_vms = false;     ///< 10: the platform reports every drain as done at once
    bool ignores_config = false;       ///< 11: one node does not see later `config` records
    bool always_fresh = false;         ///< 3, 5: the dispatcher always reads its view as fresh
};

/// Callbacks through which a simulated node reports the outcomes of attempts to the simulated callers.
struct node_events {
    std::function<void(std::size_t request, std::int64_t attempt, const fake_run_answer&)> on_result;
    std::function<void(std::size_t request, std::int64_t attempt, const refusal&)> on_refusal;
    std::function<void(std::size_t request, std::int64_t attempt, const std::string& cause)> on_lost;
};

/// Identity and start parameters of one node process.
struct node_identity {
    std::string process; ///< unique per process, for the history
    std::string node_id; ///< also its name on the simulated network and the id of the entry VM
    endpoint address;
    std::string zone;
    std::vector<endpoint> seeds;
    std::chrono::sys_seconds wall_start{}; ///< wall-clock time at the start of the run
    bool defective = false;                ///< whether defects that affect a single node apply to it
};

/// A request in progress at the driver of a node.
struct open_request {
    std::size_t request = 0;
    std::int64_t attempt = 0;
    std::string id;
    std::string service;
    std::string body;
    std::chrono::microseconds run_time{};
};

/// One process of an entry node: a `node_core` and a `dispatcher`, driven over the fakes in simulated time.
/// Its clock runs up to 1% fast or slow.
class simulated_node : public std::enable_shared_from_this<simulated_node> {
public:
    using node_lookup = std::function<std::shared_ptr<simulated_node>(const endpoint&)>;

    simulated_node(site_world& world, node_identity identity, const core_timings& timings,
                   const injected_defects& injected, node_events callbacks, node_lookup lookup);

    /// Starts the periodic ticks. Called once.
    void start();

    /// Ends the process; its callers lose their connections.
    /// @param cause "killed" or "stopped"
    void end(const std::string& cause);
    /// Suspends the process; deliveries wait until it resumes.
    void pause(boot_clock::duration length);
    /// Begins a planned stop, which ends when the requests in progress have ended.
    void begin_stop();

    /// Submits a request of a caller.
    void submit(const open_request& request, const incoming_request& head);
    /// Reports that the caller closed its connection.
    void caller_gone(std::size_t request, std::int64_t attempt);

    /// Runs @p action in the process: after the pause if it is paused, not at all if it has ended.
    void deliver(std::function<void()> action);

    [[nodiscard]] bool alive() const noexcept { return this->running; }
    [[nodiscard]] bool paused() const { return this->paused_until > this->site.now(); }
    /// @return the result of the load balancer's health check
    [[nodiscard]] bool healthy() const;
    [[nodiscard]] const node_identity& identity() const noexcept { return this->own_identity; }
    [[nodiscard]] node_core& core() noexcept { return this->coordination; }
    [[nodiscard]] const dispatcher& requests() const noexcept { return this->dispatching; }
    /// @return the time on the clock of the process
    [[nodiscard]] boot_time clock() const;

private:
    struct dispatch_wait;
    using call_done = std::shared_ptr<bool>;

    core_reader make_reader();
    void tick_periodically();
    void schedule_tick();
    void run_tick();
    void sample_view();
    void report_demand();
    void after(boot_clock::duration delay, std::function<void()> action);

    void carry_out(const core_action& action);
    void carry_out(append_records action);
    void carry_out(const read_log& action);
    void carry_out(const fetch_vm_list& action);
    void carry_out(const send_peer_request& action);
    void carry_out(const vm_call& action);
    [[nodiscard]] vm_operation_state call_platform(const vm_call& action);
    void answer_read(const read_log& action, boot_time read_started, boot_time wait_until);

    void carry_out(const dispatch_action& action);
    void carry_out(const ask_claim& action);
    void carry_out(const resolve_claim& action);
    void carry_out(const dispatch_request& action);
    void carry_out(const renew_lease& action);
    void carry_out(const refuse_ticket& action);
    void call_peer(const endpoint& peer, const wire::PeerRequest& request, boot_clock::duration timeout,
                   std::function<void(const wire::PeerResponse*)> done);
    [[nodiscard]] std::optional<endpoint> address_of(incarnation_id incarnation) const;
    void finish_dispatch(ticket_id ticket, dispatch_end end, const fake_run_answer* answer);

    [[nodiscard]] log_read apply_record_defects(log_read read) const;
    [[nodiscard]] std::string apply_record_defects(std::string data) const;

    site_world& site;
    node_identity own_identity;
    injected_defects defects;
    node_events events;
    node_lookup find_node;
    double clock_rate;
    boot_clock::duration clock_offset;
    std::chrono::milliseconds longest_run;
    node_core coordination;
    dispatcher dispatching;
    bool running = true;
    bool stopping = false;
    bool tick_pending = false;
    boot_time paused_until{};
    boot_time demand_reported_at{};
    boot_time pools_recorded_at{};
    std::map<ticket_id, open_request> open_requests;
    log_offset recorded_version = -1;
    bool recorded_fresh = false;
    std::string recorded_digest;
    log_offset recorded_pools_offset = -1;
};

} // namespace hornbeamrail
