#pragma once

#include "hornbeamrail/node_settings.hpp"
#include "peer_types.h"
#include "policy/fleet_demand.hpp"
#include "protocol/platform.hpp"
#include "state/fleet_state.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hornbeamrail {

/// Whether a refused request may have run, as reported to the caller.
enum class run_outcome { not_run, unknown, ran };

/// @return "not_run", "unknown" or "ran", as in the `Outcome` header
std::string_view to_string(run_outcome outcome) noexcept;

/// Answer to a caller whose request got no complete answer from an executor.
struct refusal {
    std::string error; ///< stable error name, for example "queue_full"
    int status = 0;    ///< HTTP status
    run_outcome outcome = run_outcome::not_run;
    std::string message;
    std::string remedy;
    std::optional<std::chrono::milliseconds> retry_after; ///< set for 429
};

/// Identifies one submitted request within this process. Never reused.
using ticket_id = std::uint64_t;

/// A caller's request without its body, which the driver keeps.
struct incoming_request {
    std::string service;
    /// SHA-256 of the presented key, lower-case hex; empty without a key.
    std::optional<std::string> key_hash;
    std::string request_id; ///< `e<epoch>-<token>` for non-idempotent requests, else free text
    std::chrono::milliseconds deadline{10000}; ///< from now
    bool urgent = false;
    bool idempotent = true;
    std::size_t body_bytes = 0;
};

/// The ticket of an accepted request, or the refusal to send immediately.
using submit_result = std::variant<ticket_id, refusal>;

/// How a dispatch ended, as seen by the driver.
enum class dispatch_end {
    answered,      ///< complete 200 answer with the same correlation id; the driver passes it to the caller
    failed_answer, ///< complete answer with a status that is neither 200 nor a refusal to run
    busy,          ///< the executor refused: all slots taken (`not_run`)
    lease_lapsed,  ///< the executor refused the token (`not_run`)
    not_sent,      ///< no byte was written
    no_answer,     ///< bytes were written; no complete answer, or one with another correlation id
    timed_out,     ///< bytes were written; the remaining time passed without an answer
    /// The executor answered 504 with `Outcome: unknown` and the same correlation id at the deadline, which
    /// it does only after it has stopped the work. The unit is therefore released immediately. After
    /// `timed_out` it stays in use until the slot lease and the deadline have passed. A closed connection
    /// does not prove that the work stopped: the executor may continue it.
    stopped,
};

/// Time beyond the remaining time of a dispatch that drivers wait for `dispatch_end::stopped`. A round trip
/// and the executor's timer take a few ms; the caller's 504 is delayed by at most this time.
inline constexpr std::chrono::milliseconds stop_answer_wait{50};

/// Result of one dispatch, reported by the driver.
struct dispatch_result {
    dispatch_end end = dispatch_end::no_answer;
};

/// Answer of an executor to `POST /lease`.
struct lease_answer {
    std::string token; ///< expires after `ttl`; a later answer with another token does not extend it
    std::chrono::milliseconds ttl{2000};
    std::int64_t slots = 8;
    std::int64_t running = 0; ///< running requests of all nodes at the time of the answer
    bool leaving = false;     ///< the executor accepts no new work because its VM is leaving
};

/// Requests a claim from the owner of the partition. The driver answers exactly once, by `on_claim_answer` or
/// `on_claim_failed`.
struct ask_claim {
    ticket_id ticket = 0;
    incarnation_id owner = 0; ///< partition owner; may be this node
    wire::Claim claim;
};

/// Reports to the owner how a claim ended. The driver retries until the owner answers or has left the fleet.
struct resolve_claim {
    incarnation_id owner = 0;
    wire::ResolveClaim resolution;
};

/// Sends a request to an executor. The driver answers exactly once, by `on_dispatch_done`.
struct dispatch_request {
    ticket_id ticket = 0;
    std::string vm;
    endpoint address;
    std::string service;
    std::string lease_token;
    std::string correlation_id; ///< unique per dispatch
    /// Sent as `Deadline-Ms`; the driver waits `stop_answer_wait` longer.
    std::chrono::milliseconds remaining{0};
};

/// Renews the slot lease of an executor. The driver answers exactly once, by `on_lease` or `on_lease_failed`.
struct renew_lease {
    std::string vm;
    endpoint address;
};

/// Sends a refusal to the caller of a ticket. No later action refers to the ticket.
struct refuse_ticket {
    ticket_id ticket = 0;
    refusal answer;
};

/// An effect that the driver carries out for the dispatcher.
using dispatch_action = std::variant<ask_claim, resolve_claim, dispatch_request, renew_lease, refuse_ticket>;

/// Queries of the coordination core that the dispatcher uses. `node_core` satisfies it; tests use stubs.
template <class Core>
concept core_queries = requires(const Core& core, boot_time now, std::string_view text) {
    { core.state() } -> std::convertible_to<std::shared_ptr<const fleet_state>>;
    { core.view_is_fresh(now) } -> std::convertible_to<bool>;
    { core.incarnation() } -> std::convertible_to<incarnation_id>; ///< 0 while not registered
    { core.epoch() } -> std::convertible_to<log_offset>;
    { core.usable_units(text) } -> std::convertible_to<std::int64_t>; ///< of a team
    { core.fleet_demand() } -> std::convertible_to<fleet_demand>;
    { core.partition_owner(text) } -> std::convertible_to<incarnation_id>; ///< by request id; 0: unowned
};

/// The queries of one core, with the type of the core erased.
struct core_reader {
    std::function<std::shared_ptr<const fleet_state>()> state;
    std::function<bool(boot_time)> view_is_fresh;
    std::function<incarnation_id()> incarnation;
    std::function<log_offset()> epoch;
    std::function<std::int64_t(std::string_view)> usable_units;
    std::function<fleet_demand()> demand_of_all_nodes;
    std::function<incarnation_id(std::string_view)> partition_owner;
};

/// @param core must outlive the reader
/// @return a reader that forwards each query to @p core
template <core_queries Core>
core_reader read_from(const Core& core) {
    return {.state = [&core] { return std::shared_ptr<const fleet_state>(core.state()); },
            .view_is_fresh = [&core](boot_time now) { return bool(core.view_is_fresh(now)); },
            .incarnation = [&core] { return incarnation_id(core.incarnation()); },
            .epoch = [&core] { return log_offset(core.epoch()); },
            .usable_units = [&core](std::string_view team) { return std::int64_t(core.usable_units(team)); },
            .demand_of_all_nodes = [&core] { return fleet_demand(core.fleet_demand()); },
            .partition_owner =
                [&core](std::string_view id) {
                    return incarnation_id(core.partition_owner(id));
                }};
}

struct dispatcher_options {
    std::string zone;       ///< zone of this node
    std::uint64_t seed = 1; ///< of random choices and correlation ids; must differ between processes
    std::chrono::milliseconds lease_interval{500}; ///< between renewals of one slot lease
    std::chrono::milliseconds plan_interval{250};  ///< between recomputations of slot shares
};

/// Admits, places, retries and claims the requests of one node. Does no I/O.
///
/// Not thread-safe: the driver guards it with one mutex, taken after the mutex of the core, because every
/// input runs queries of the core. The driver calls `tick` after each input and at least every 20 ms, and
/// carries out the returned actions in order. The time passed in must not decrease.
class dispatcher {
public:
    dispatcher(core_reader core, dispatcher_options options);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Admits or refuses a request.
    /// @return the ticket, or a refusal, always with the outcome `not_run`
    submit_result submit(boot_time now, const incoming_request& request);

    /// Runs due timers and starts queued requests.
    /// @return the actions that the driver carries out
    std::vector<dispatch_action> tick(boot_time now);

    /// The owner of the partition answered a claim.
    void on_claim_answer(boot_time now, ticket_id ticket, const wire::ClaimAnswer& answer);
    /// The owner of the partition did not answer; it may have recorded the claim.
    void on_claim_failed(boot_time now, ticket_id ticket);

    /// A dispatch ended.
    /// @return whether the driver passes the executor's answer to the caller. After a failed dispatch a later
    ///         `refuse_ticket` action answers the caller.
    bool on_dispatch_done(boot_time now, ticket_id ticket, const dispatch_result& result);

    /// @param sent_at when the driver began to send the lease request; the TTL counts from this time
    void on_lease(boot_time now, std::string_view vm, boot_time sent_at, const lease_answer& answer);
    void on_lease_failed(boot_time now, std::string_view vm);

    /// The connection of the caller has closed. Queued work is dropped; dispatched work runs to completion.
    void on_caller_gone(boot_time now, ticket_id ticket);

    /// Refuses new requests from now on; accepted ones are completed.
    void begin_stop(boot_time now);

    /// @return whether no ticket is open and only tasks hold units
    [[nodiscard]] bool idle() const;

    /// Reserves units of a team for a task, counted together with those of requests.
    /// @return whether the units were available and the view is fresh
    bool try_reserve_units(boot_time now, std::string_view team, std::int64_t units);
    /// Counts the units of a running task that another node handed over, even beyond the usable units.
    void adopt_units(boot_time now, std::string_view team, std::int64_t units);
    /// Releases units that were reserved by `try_reserve_units` or counted by `adopt_units`.
    void release_units(boot_time now, std::string_view team, std::int64_t units);

    /// @return units of @p team in use at this node, tasks included
    [[nodiscard]] std::int64_t running_units(std::string_view team) const;
    /// @return units of @p team that tasks hold at this node
    [[nodiscard]] std::int64_t task_units_held(std::string_view team) const;

    /// @return running and queued units of this node, for `report_demand` of the core. The core returns the
    ///         grant of units that this report shows as unused, so the driver reports and ticks the core
    ///         under both locks, without a start in between.
    [[nodiscard]] std::vector<service_demand> demand(boot_time now) const;

    /// @return remaining fraction of the availability budget per service, from the answers of this node; 1
    ///         when nothing has failed
    [[nodiscard]] std::map<std::string, double, std::less<>> budgets_left(boot_time now) const;

    /// @return counters, queues, executors and the reasons of the last refusals
    [[nodiscard]] boost::json::value dump(boot_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace hornbeamrail
