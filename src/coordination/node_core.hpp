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

enum class change_phase {
    unknown,  ///< neither submitted here nor found in the fold's table of recent changes
    pending,  ///< not in the log yet, or a region's majority has not confirmed it
    accepted, ///< in the log, in effect and confirmed by every region
    rejected, ///< in the log and without effect
};

/// @return the stable name of @p phase, for example "pending"
std::string_view to_string(change_phase phase) noexcept;

struct change_status {
    change_phase phase = change_phase::unknown;
    log_offset offset = 0; ///< 0 while the record is not in the fold
    std::string reason;    ///< set when rejected
    std::vector<std::string> unconfirmed_regions;
};

/// All protocol logic of one node: log replica, membership, freshness, grants, claims, snapshots, planner.
///
/// Does no I/O and reads no clock. The driver calls `tick` at least every 50 ms and after each input, and
/// carries out the returned actions in order. Times never run backwards. Not thread-safe: one mutex guards
/// the core, taken before that of the dispatcher. `state()` returns an immutable value that may be read
/// without the mutex.
class node_core {
public:
    explicit node_core(core_options options);
    ~node_core();
    node_core(const node_core&) = delete;
    node_core& operator=(const node_core&) = delete;

    /// @return what the driver has to do now
    std::vector<core_action> tick(boot_time now);

    /// @param read_started when the driver began to send the read
    void on_log_read(boot_time now, boot_time read_started, const log_read& read);
    void on_log_read_failed(boot_time now);

    void on_append(boot_time now, std::uint64_t batch, log_offset first_offset);
    /// The outcome of the append is unknown.
    void on_append_failed(boot_time now, std::uint64_t batch);

    void on_vm_list(boot_time now, const vm_list& list);
    void on_vm_list_failed(boot_time now);

    /// Answers a request of a peer, or a claim of the own dispatcher.
    wire::PeerResponse on_peer_request(boot_time now, const wire::PeerRequest& request);
    void on_peer_response(boot_time now, const peer_call& call, const wire::PeerResponse& response);
    void on_peer_failed(boot_time now, const peer_call& call);

    void on_vm_call_answer(boot_time now, const vm_call& call, vm_operation_state state);

    /// Tells the wall clock, at least once a minute. Only the maintenance calendar uses it.
    void on_wall_clock(boot_time now, std::chrono::sys_seconds wall);

    /// @param budget_left part of each service's availability budget that is left, as this node knows it
    void report_budgets(std::map<std::string, double, std::less<>> budget_left);

    /// What this node runs and queues. Called at least every 250 ms; units that run may not grow above
    /// `usable_units` between two calls.
    /// @param running_units units running per team (`team_units`), tasks included; teams left out run none
    void report_demand(boot_time now, std::vector<service_demand> demand,
                       const std::vector<team_units>& running_units);

    /// Queues a change for the log. Repeating a change id is safe.
    /// @return false when the queue of changes is full; nothing was done
    bool submit_change(boot_time now, std::string change_id, record_body body);

    /// Starts a graceful leave: no new work, then `node_leave` once the node reports no running units.
    void begin_stop(boot_time now);

    /// @return the newest fold; never older than an earlier answer
    [[nodiscard]] std::shared_ptr<const fleet_state> state() const;

    /// @return whether new work may start at @p now
    [[nodiscard]] bool view_is_fresh(boot_time now) const;

    /// @return the incarnation while it is registered and live in the fold, else 0
    [[nodiscard]] incarnation_id incarnation() const;

    /// @return the epoch for new request ids: offset of the last folded record
    [[nodiscard]] log_offset epoch() const;

    /// @return units of @p team that this node may have running at once; less than its grant while it returns
    ///         units, 0 without a live incarnation
    [[nodiscard]] std::int64_t usable_units(std::string_view team) const;

    /// @return the demand of this node and of each node it hears directly; one entry with incarnation 0 holds
    ///         the sum over all others
    [[nodiscard]] hornbeamrail::fleet_demand fleet_demand() const;

    /// @return the incarnation that decides claims of @p request_id_text, or 0
    [[nodiscard]] incarnation_id partition_owner(std::string_view request_id_text) const;

    [[nodiscard]] hornbeamrail::change_status change_status(std::string_view change_id) const;

    /// @return the newest VM list received; empty before the first
    [[nodiscard]] std::shared_ptr<const vm_list> platform_vms() const;

    /// @return whether the platform's log answered this node's last read
    [[nodiscard]] bool log_answers(boot_time now) const;

    /// @return whether this node holds the planner's lease under a fresh view
    [[nodiscard]] bool is_planner(boot_time now) const;

    /// @return whether a graceful leave is complete, or nothing was registered
    [[nodiscard]] bool stopped() const;

    /// @return the whole state of the core for operators; holds no keys
    [[nodiscard]] boost::json::value dump(boot_time now) const;

private:
    struct impl;
    std::unique_ptr<impl> self;
};

} // namespace hornbeamrail
