#pragma once

#include "coordination/core_action.hpp"
#include "coordination/core_options.hpp"
#include "policy/fleet_demand.hpp"
#include "protocol/platform.hpp"
#include "state/fleet_state.hpp"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Progress of a change that was submitted to the log.
enum class change_phase {
    unknown,  ///< neither submitted here nor found in the fold's table of recent changes
    pending,  ///< not yet in the log, or not yet confirmed by the majority of some region
    accepted, ///< in the log, in effect and confirmed by every region
    rejected, ///< in the log, without effect
};

/// @return the stable name of @p phase, for example "pending"
std::string_view to_string(change_phase phase) noexcept;

/// Answer to a query for a change id.
struct change_status {
    change_phase phase = change_phase::unknown;
    log_offset offset = 0;                        ///< 0 while the record is not in the fold
    std::string reason;                           ///< set when rejected
    std::vector<std::string> unconfirmed_regions; ///< regions whose majority has not confirmed the change
};

/// Coordination protocol of one node: log replica, membership, freshness, grants, claims, snapshots, planner.
///
/// The core performs no I/O and reads no clock. The driver calls `tick` at least every 50 ms and after each
/// input, and executes the returned actions in order. The times passed in must not decrease. Not thread-safe:
/// the driver guards the core with one mutex, which must be locked before the mutex of the dispatcher.
/// `state()` returns an immutable object that can be read without the mutex.
class node_core {
public:
    explicit node_core(core_options options);
    ~node_core();
    node_core(const node_core&) = delete;
    node_core& operator=(const node_core&) = delete;

    /// Runs all protocol steps that are due.
    /// @return the actions that the driver must execute, in order
    std::vector<core_action> tick(boot_time now);

    /// Handles the result of `read_log`.
    /// @param read_started time at which the driver began to send the read
    void on_log_read(boot_time now, boot_time read_started, const log_read& read);

    /// Handles a failed `read_log`. It is retried after `core_timings::log_retry`.
    void on_log_read_failed(boot_time now);

    /// Handles the success of `append_records`.
    /// @param first_offset offset of the first record of the batch; the others follow consecutively
    void on_append(boot_time now, std::uint64_t batch, log_offset first_offset);

    /// Handles a failed `append_records`. The records may have been appended; they are retried with the same
    /// change ids, which the fold deduplicates.
    void on_append_failed(boot_time now, std::uint64_t batch);

    /// Handles the result of `fetch_vm_list`. A list older than the newest one is ignored.
    void on_vm_list(boot_time now, const vm_list& list);

    /// Handles a failed `fetch_vm_list`.
    void on_vm_list_failed(boot_time now);

    /// Answers a request of a peer, or a claim of the dispatcher of this node.
    wire::PeerResponse on_peer_request(boot_time now, const wire::PeerRequest& request);

    /// Handles the response to `send_peer_request`. A response to a request that has already failed is
    /// ignored.
    void on_peer_response(boot_time now, const peer_call& call, const wire::PeerResponse& response);

    /// Handles a failed `send_peer_request`. The peer may have processed the request.
    void on_peer_failed(boot_time now, const peer_call& call);

    /// Handles the platform's answer to a `vm_call`.
    void on_vm_call_answer(boot_time now, const vm_call& call, vm_operation_state state);

    /// Sets the wall clock time. The driver calls this at least once a minute. Only the maintenance schedule
    /// uses it.
    void on_wall_clock(boot_time now, std::chrono::sys_seconds wall);

    /// Sets the availability budgets that the planner uses.
    /// @param budget_left remaining fraction of the availability budget per service, as measured by this node
    void report_budgets(std::map<std::string, double, std::less<>> budget_left);

    /// Reports the running and queued units of this node. The driver calls this at least every 250 ms.
    /// Between two calls the running units of a team must not grow above `usable_units`.
    /// @param running_units running units per team, including tasks; a team that is not listed has none
    void report_demand(boot_time now, std::vector<service_demand> demand,
                       const std::vector<team_units>& running_units);

    /// Queues a change for the log. Idempotent by change id.
    /// @return false when the queue has no free entry for changes; the change was not queued
    bool submit_change(boot_time now, std::string change_id, record_body body);

    /// Starts a graceful leave: the node accepts no new work and appends `node_leave` once it reports no
    /// running units.
    void begin_stop(boot_time now);

    /// @return the newest fold; its offset never decreases between calls
    [[nodiscard]] std::shared_ptr<const fleet_state> state() const;

    /// @return whether new work may start at @p now
    [[nodiscard]] bool view_is_fresh(boot_time now) const;

    /// @return the incarnation of this node while the fold lists it as live, else 0
    [[nodiscard]] incarnation_id incarnation() const;

    /// @return the epoch for new request ids, which is the offset of the last folded record
    [[nodiscard]] log_offset epoch() const;

    /// @return the number of units of @p team that this node may run at once. It is lower than the grant
    /// while units are being returned, and 0 without a live incarnation or during a graceful leave.
    [[nodiscard]] std::int64_t usable_units(std::string_view team) const;

    /// @return the demand of this node and of each node of its heartbeat group; one entry with incarnation 0
    /// holds the sum over all other nodes
    [[nodiscard]] hornbeamrail::fleet_demand fleet_demand() const;

    /// @return the incarnation that owns the claim partition of @p request_id_text, or 0 when there is none
    [[nodiscard]] incarnation_id partition_owner(std::string_view request_id_text) const;

    /// @return the status of a change that any node submitted
    [[nodiscard]] hornbeamrail::change_status change_status(std::string_view change_id) const;

    /// @return the newest VM list received; empty before the first
    [[nodiscard]] std::shared_ptr<const vm_list> platform_vms() const;

    /// @return whether a log read of this node succeeded that started less than half of `fresh_bound` ago
    [[nodiscard]] bool log_answers(boot_time now) const;

    /// @return whether this node holds the planner lease, its view is fresh and it is not stopping
    [[nodiscard]] bool is_planner(boot_time now) const;

    /// @return whether a graceful leave is complete, which includes a stop before any registration
    [[nodiscard]] bool is_stopped() const;

    /// @return the state of the core as JSON for operators; contains no secret keys
    [[nodiscard]] boost::json::value dump(boot_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace hornbeamrail
