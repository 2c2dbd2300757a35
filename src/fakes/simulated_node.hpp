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

/// Defects that a run can be given, to show that the checker finds them. Most change what one node sees or
/// how its driver behaves; the product code stays as it is.
struct injected_defects {
    bool loses_answers = false;        ///< 1: the driver drops a third of the answers
    bool swaps_pools = false;          ///< 2: one node reads another pool in `vm_add` records
    bool ignores_revocations = false;  ///< 3: one node does not see `key_revoke` records
    bool ignores_limits = false;       ///< 4: the dispatcher is told of ten times the usable units
    bool ignores_zone_out = false;     ///< 5: one node does not see `zone_out` records
    bool ignores_correlation = false;  ///< 6: the driver passes on any answer
    bool misreports_lost_runs = false; ///< 7: the driver says "not sent" of a dispatch without an answer
    bool grants_every_claim = false;   ///< 8: the driver grants claims without asking the owner
    bool hides_leaving = false;        ///< 9: leaving flags are dropped
    bool stops_at_once = false;        ///< 10: a planned stop ends the process without waiting
    bool reboots_busy_vms = false;     ///< 10: the platform reports every drain as done at once
    bool ignores_config = false;       ///< 11: one node does not see later `config` records
    bool always_fresh = false;         ///< 3, 5: the dispatcher is told that its view is fresh
};

/// What the driver of a node tells the callers' side.
struct node_events {
    std::function<void(std::size_t request, std::int64_t attempt, const fake_run_answer&)> on_result;
    std::function<void(std::size_t request, std::int64_t attempt, const refusal&)> on_refusal;
    std::function<void(std::size_t request, std::int64_t attempt, const std::string& cause)> on_lost;
};

struct node_identity {
    std::string process; ///< unique per process, for the history
    std::string node_id; ///< also the place on the network and the id of the entry VM
    endpoint address;
    std::string zone;
    std::vector<endpoint> seeds;
    std::chrono::sys_seconds wall_start{}; ///< wall-clock time at the start of the run
    bool defective = false;                ///< the node that defects of one node concern
};

/// A request of a caller, as the driver of a node holds it.
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
    using find_node = std::function<std::shared_ptr<simulated_node>(const endpoint&)>;

    simulated_node(site_world& site, node_identity who, const core_timings& timings,
                   const injected_defects& injected, node_events callbacks, find_node lookup);

    /// Begins the periodic work. Called once.
    void start();

    /// Ends the process; its callers lose their connections.
    void end(const std::string& cause);
    void pause(boot_clock::duration length);
    void begin_stop();

    /// A request arrives from a caller.
    void submit(const open_request& request, const incoming_request& head);
    void caller_gone(std::size_t request, std::int64_t attempt);

    /// Runs @p action in the process, later when it is paused, never when it has ended.
    void deliver(std::function<void()> action);

    [[nodiscard]] bool alive() const noexcept { return this->running; }
    [[nodiscard]] bool paused() const { return this->resumes > this->site.now(); }
    [[nodiscard]] bool healthy() const;
    [[nodiscard]] const node_identity& identity() const noexcept { return this->who; }
    [[nodiscard]] node_core& core() noexcept { return this->coordination; }
    [[nodiscard]] const dispatcher& requests() const noexcept { return this->dispatching; }
    [[nodiscard]] boot_time clock() const;

private:
    struct dispatch_wait;
    using call_done = std::shared_ptr<bool>;

    core_reader make_reader();
    void periodic();
    void poke();
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

    [[nodiscard]] log_read filtered(log_read read) const;
    [[nodiscard]] std::string filtered(std::string data) const;

    site_world& site;
    node_identity who;
    injected_defects defects;
    node_events events;
    find_node lookup_node;
    double clock_rate;
    boot_clock::duration clock_offset;
    std::chrono::milliseconds longest_run;
    node_core coordination;
    dispatcher dispatching;
    bool running = true;
    bool stopping = false;
    bool tick_pending = false;
    boot_time resumes{};
    boot_time demand_reported{};
    boot_time pools_sampled{};
    std::map<ticket_id, open_request> open;
    log_offset seen_version = -1;
    bool seen_fresh = false;
    std::string seen_digest;
    log_offset seen_pools = -1;
};

} // namespace hornbeamrail
