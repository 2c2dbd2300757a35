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

/// What a refused caller may conclude about its request.
enum class run_outcome { not_run, unknown, ran };

/// @return "not_run", "unknown" or "ran", as in the `Outcome` header
std::string_view to_string(run_outcome outcome) noexcept;

/// Answer to a caller whose request has no complete answer of an executor.
struct refusal {
    std::string error; ///< stable name, for example "queue_full"
    int status = 0;    ///< HTTP status
    run_outcome outcome = run_outcome::not_run;
    std::string message;
    std::string remedy;
    std::optional<std::chrono::milliseconds> retry_after; ///< set for 429
};

/// Identifies one submitted request at this node. Never reused.
using ticket_id = std::uint64_t;

/// A request as read from the caller. The body stays with the driver.
struct incoming_request {
    std::string service;
    std::optional<std::string>
        key_hash;           ///< SHA-256 of the presented key, lower-case hex; nothing without a key
    std::string request_id; ///< `e<epoch>-<token>` for non-idempotent requests, else free text
    std::chrono::milliseconds deadline{10000}; ///< from now
    bool urgent = false;
    bool idempotent = true;
    std::size_t body_bytes = 0;
};

/// The ticket of an accepted request, or the refusal to send at once.
using submit_result = std::variant<ticket_id, refusal>;

/// How a dispatch ended, as seen by the driver.
enum class dispatch_end {
    answered,      ///< complete 200 answer with the same correlation id; the driver passes it to the caller
    failed_answer, ///< complete answer with another status that is not a refusal to run
    busy,          ///< the executor refused: all slots taken (`not_run`)
    lease_lapsed,  ///< the executor refused the token (`not_run`)
    not_sent,      ///< no byte was written
    no_answer,     ///< bytes were written; no complete answer, or one with another correlation id
    timed_out,     ///< bytes were written; the remaining time passed without an answer
    /// The executor answered 504 with `Outcome: unknown` and the same correlation id at the deadline, which
    /// it does only after it has stopped the work. The unit is free at once, while after `timed_out` it stays
    /// in use until the slot lease and the deadline have passed. A closed connection is no such proof: the
    /// executor may go on.
    stopped,
};

/// Drivers wait this long beyond the remaining time of a dispatch for `dispatch_end::stopped`: a round trip
/// and the executor's timer take a few ms, and the caller's 504 is delayed by no more than this.
inline constexpr std::chrono::milliseconds stop_answer_wait{50};

struct dispatch_result {
    dispatch_end end = dispatch_end::no_answer;
};

/// Answer of an executor to `POST /lease`.
struct lease_answer {
    std::string token; ///< lapses after `ttl`; a later answer with another token does not extend it
    std::chrono::milliseconds ttl{2000};
    std::int64_t slots = 8;
    std::int64_t running = 0; ///< of all nodes, when the executor answered
    bool leaving = false;
};

/// Ask the owner of the partition for a claim. Answered by `on_claim_answer` or `on_claim_failed`, exactly
/// once.
struct ask_claim {
    ticket_id ticket = 0;
    incarnation_id owner = 0; ///< may be this node
    wire::Claim claim;
};

/// Tell the owner how a claim ended. The driver repeats it until the owner answers or is gone.
struct resolve_claim {
    incarnation_id owner = 0;
    wire::ResolveClaim resolution;
};

/// Send a request to an executor. Answered by `on_dispatch_done`, exactly once.
struct dispatch_request {
    ticket_id ticket = 0;
    std::string vm;
    endpoint address;
    std::string service;
    std::string lease_token;
    std::string correlation_id; ///< unique per dispatch
    std::chrono::milliseconds remaining{
        0}; ///< sent as `Deadline-Ms`; the driver waits `stop_answer_wait` longer
};

/// Ask an executor for its slot lease. Answered by `on_lease` or `on_lease_failed`, exactly once.
struct renew_lease {
    std::string vm;
    endpoint address;
};

/// Answer the caller of a ticket. The ticket is unknown to the dispatcher afterwards.
struct refuse_ticket {
    ticket_id ticket = 0;
    refusal answer;
};

using dispatch_action = std::variant<ask_claim, resolve_claim, dispatch_request, renew_lease, refuse_ticket>;

/// What the dispatcher needs to know of the coordination core. `node_core` satisfies it; tests give plain
/// values.
template <class Core>
concept core_queries = requires(const Core& core, boot_time now, std::string_view text) {
    { core.state() } -> std::convertible_to<std::shared_ptr<const fleet_state>>;
    { core.view_is_fresh(now) } -> std::convertible_to<bool>;
    { core.incarnation() } -> std::convertible_to<incarnation_id>; ///< 0 while not registered
    { core.epoch() } -> std::convertible_to<log_offset>;
    { core.usable_units(text) } -> std::convertible_to<std::int64_t>; ///< by team
    { core.fleet_demand() } -> std::convertible_to<fleet_demand>;
    { core.partition_owner(text) } -> std::convertible_to<incarnation_id>; ///< by request id; 0: none
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
    std::uint64_t seed = 1; ///< of random choices and correlation ids; differs between processes
    std::chrono::milliseconds lease_interval{500};
    std::chrono::milliseconds plan_interval{250};
};

/// Decides admission, share, placement, retries and claims of the requests of one node. Does no I/O.
///
/// Not thread-safe: one mutex guards the dispatcher, taken after that of the core, because the dispatcher
/// reads the core's queries from every input. The driver calls `tick` after each input and at least every 20
/// ms, and carries out the returned actions in order. Times never run backwards.
class dispatcher {
public:
    dispatcher(core_reader core, dispatcher_options options);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// @return the ticket; or a refusal, always with the outcome `not_run`
    submit_result submit(boot_time now, const incoming_request& request);

    /// @return what the driver has to do now
    std::vector<dispatch_action> tick(boot_time now);

    void on_claim_answer(boot_time now, ticket_id ticket, const wire::ClaimAnswer& answer);
    void on_claim_failed(boot_time now, ticket_id ticket);

    /// @return whether the driver passes the executor's answer to the caller; for a failed dispatch the
    /// caller is
    ///         answered by a later `refuse_ticket` action
    bool on_dispatch_done(boot_time now, ticket_id ticket, const dispatch_result& result);

    /// @param sent_at when the driver began to send the lease request; the lease time counts from here
    void on_lease(boot_time now, std::string_view vm, boot_time sent_at, const lease_answer& answer);
    void on_lease_failed(boot_time now, std::string_view vm);

    /// The connection of the caller has closed. Queued work is dropped; dispatched work runs to its end.
    void on_caller_gone(boot_time now, ticket_id ticket);

    /// Refuses new requests from now on; accepted ones are finished.
    void begin_stop(boot_time now);

    /// @return whether no ticket is held and no unit but those of tasks
    [[nodiscard]] bool idle() const;

    /// Takes units of a team for a task, under the same count as requests.
    /// @return whether the units were free and the view is fresh
    bool try_reserve_units(boot_time now, std::string_view team, std::int64_t units);
    /// Takes units of a task that runs already and was handed over by another node.
    void adopt_units(boot_time now, std::string_view team, std::int64_t units);
    /// Returns units taken by `try_reserve_units` or `adopt_units`.
    void release_units(boot_time now, std::string_view team, std::int64_t units);

    /// @return units of @p team that run or are being dispatched here, tasks included
    [[nodiscard]] std::int64_t running_units(std::string_view team) const;
    /// @return units of @p team that tasks hold here
    [[nodiscard]] std::int64_t task_units_held(std::string_view team) const;

    /// @return running and queued units of this node, for `report_demand` of the core. The core returns units
    ///         that this report shows as unused, so the driver reports and ticks the core under both locks,
    ///         without a start in between.
    [[nodiscard]] std::vector<service_demand> demand(boot_time now) const;

    /// @return part of the availability budget left per service, as the callers of this node saw it; 1:
    /// untouched
    [[nodiscard]] std::map<std::string, double, std::less<>> budgets_left(boot_time now) const;

    /// @return counters, queues, executors and the reasons of the last refusals
    [[nodiscard]] boost::json::value dump(boot_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace hornbeamrail
