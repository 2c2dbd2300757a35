#pragma once

#include "coordination/append_queue.hpp"
#include "coordination/claim_service.hpp"
#include "coordination/freshness.hpp"
#include "coordination/grant_manager.hpp"
#include "coordination/membership.hpp"
#include "coordination/node_core.hpp"
#include "coordination/planner.hpp"
#include "coordination/planner_lease.hpp"
#include "coordination/reclaimer.hpp"
#include "coordination/replica.hpp"
#include "coordination/snapshot_writer.hpp"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hornbeamrail {

/// State of a `node_core` and the steps of its tick. Private to `node_core`.
struct node_core::impl {
    explicit impl(core_options node_options);

    using actions = std::vector<core_action>;

    /// Records the time of an input and detects a pause of the process. Every input function calls it first.
    void on_input(boot_time now);

    /// Updates all components after records were folded.
    void on_folded(boot_time now);

    /// Updates the incarnation of this node from the fold after its registration or its end.
    void update_incarnation(boot_time now);

    /// Issues the next log read unless one is outstanding.
    void read_log_step(boot_time now, actions& out);

    /// Fetches records or a snapshot from a peer.
    void catch_up_step(boot_time now, actions& out);
    void vm_list_step(boot_time now, actions& out);

    /// Appends the registration of this node.
    void register_step(boot_time now);

    /// Requests membership in the counted set of the region when there is a free place.
    void counted_step(boot_time now);

    /// Plans grants and appends the grant delta of this node.
    void grant_step(boot_time now);

    /// Releases claim partitions beyond the equal share of this node.
    void partition_step(boot_time now);

    /// Reclaims and frees unresponsive nodes.
    void reclaim_step(boot_time now);

    /// Writes a snapshot into the log when one is due.
    void snapshot_step(boot_time now);

    /// Claims the planner lease when it is vacant, and runs the planner while this node holds the lease and
    /// its view is fresh.
    void planner_step(boot_time now, actions& out);

    /// Completes a graceful leave once two reports were received and no unit runs.
    void leave_step(boot_time now);

    [[nodiscard]] const fleet_state& fold() const { return *this->log.state(); }

    /// @return the state that this node reports in its heartbeats
    [[nodiscard]] node_status local_status(boot_time now) const;
    [[nodiscard]] bool log_answers(boot_time now) const;
    [[nodiscard]] bool is_fresh(boot_time now) const;

    /// @return whether this node may append records: it is registered, the log answers and the view is fresh
    [[nodiscard]] bool may_append(boot_time now) const;
    [[nodiscard]] bool is_planner(boot_time now) const;

    /// @return the peer to fetch records or a snapshot from
    [[nodiscard]] std::optional<endpoint> choose_catch_up_peer(boot_time now);

    /// @return regions whose majority has not yet folded the record at @p offset
    [[nodiscard]] std::vector<std::string> unconfirmed_regions(log_offset offset) const;

    std::string new_change_id();

    /// Queues a record under a new change id.
    /// @return the change id, or nothing when the queue is full
    std::optional<std::string> append(record_body body);
    [[nodiscard]] bool is_queued(const std::optional<std::string>& change_id) const;

    core_options options;
    std::mt19937_64 random;
    replica log;
    append_queue queue;
    freshness own_freshness;
    membership members;
    grant_manager grants;
    claim_service claims;
    planner_lease lease;
    planner vm_planner;
    reclaimer node_reclaimer;
    snapshot_writer snapshots;

    boot_time last_input_at{}; ///< time of the newest input
    bool has_input = false;    ///< `last_input_at` is set
    std::int64_t pauses = 0;   ///< number of detected pauses of the process

    bool is_read_pending = false;
    boot_time next_read{};
    std::optional<boot_time> last_own_read; ///< start of the last successful read
    bool last_read_failed = false;

    std::uint64_t call_number = 0;
    std::set<std::uint64_t> fetch_calls; ///< outstanding requests for records or a snapshot
    bool needs_snapshot = false;         ///< the last queried peer no longer holds the next record
    boot_time next_fetch{};
    std::size_t next_seed = 0; ///< round-robin index over the known peers
    std::optional<boot_time> snapshot_served_at;

    bool is_vm_list_pending = false;
    boot_time next_vm_list{};
    std::shared_ptr<const vm_list> vms = std::make_shared<const vm_list>();

    incarnation_id own_incarnation = 0; ///< 0 unless live in the fold
    bool registered_before = false;     ///< this process has registered an incarnation before

    // Change ids of the last record of each kind that this node appended.
    std::optional<std::string> register_change;
    std::optional<std::string> counted_change;
    boot_time next_counted_try{};
    std::optional<std::string> release_change;
    std::optional<std::string> grant_change;
    std::optional<std::string> leave_change;

    bool stopping = false;
    int reports_since_stop = 0;
    bool idle = true; ///< the last demand report had no running units

    std::map<std::string, double, std::less<>> budgets;
    std::chrono::sys_seconds wall{}; ///< newest wall clock time from the driver
    boot_time wall_at{};             ///< time at which `wall` was set; 0 before the first

    bool held_planner_lease = false;
};

} // namespace hornbeamrail
