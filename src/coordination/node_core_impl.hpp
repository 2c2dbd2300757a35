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

/// State of a `node_core` and the steps of its tick. Only `node_core` uses it.
struct node_core::impl {
    explicit impl(core_options chosen);

    using actions = std::vector<core_action>;

    /// Notices a pause of the process. Called first by every input.
    void observe(boot_time now);
    /// Takes up what was folded: outcomes, the own registration, grants, nodes.
    void on_folded(boot_time now);
    void update_incarnation(boot_time now);

    void read_log_step(boot_time now, actions& out);
    void catch_up_step(boot_time now, actions& out);
    void vm_list_step(boot_time now, actions& out);
    void register_step(boot_time now);
    void counted_step(boot_time now);
    void grant_step(boot_time now);
    void partition_step(boot_time now);
    void reclaim_step(boot_time now);
    void snapshot_step(boot_time now);
    /// Runs the planner while this node holds its lease under a fresh view.
    void planner_step(boot_time now, actions& out);
    void leave_step(boot_time now);

    [[nodiscard]] const fleet_state& fold() const { return *this->log.state(); }
    [[nodiscard]] own_view view(boot_time now) const;
    [[nodiscard]] bool log_answers(boot_time now) const;
    [[nodiscard]] bool is_fresh(boot_time now) const;
    /// @return whether nothing, that this node may append, is held up by an outage or a stale view
    [[nodiscard]] bool may_append(boot_time now) const;
    [[nodiscard]] bool is_planner(boot_time now) const;
    [[nodiscard]] std::optional<endpoint> peer_to_ask(boot_time now);
    [[nodiscard]] std::vector<std::string> unconfirmed_regions(log_offset offset) const;

    std::string new_change_id();
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
    planner plans;
    reclaimer dead_nodes;
    snapshot_writer snapshots;

    boot_time last_seen{}; ///< newest time of any input
    bool seen = false;     ///< `last_seen` is set
    std::int64_t pauses = 0;

    bool read_open = false;
    boot_time next_read{};
    std::optional<boot_time> last_own_read; ///< start of the last successful read
    bool last_read_failed = false;

    std::uint64_t call_number = 0;
    std::set<std::uint64_t> fetch_calls; ///< open requests for records or a snapshot
    bool want_snapshot = false;          ///< the last peer asked no longer holds the next record
    boot_time next_fetch{};
    std::size_t next_seed = 0;
    std::optional<boot_time> snapshot_served_at;

    bool vm_list_open = false;
    boot_time next_vm_list{};
    std::shared_ptr<const vm_list> vms = std::make_shared<const vm_list>();

    incarnation_id own_incarnation = 0; ///< live in the fold
    bool registered_before = false;
    std::optional<std::string> register_change;
    std::optional<std::string> counted_change;
    boot_time next_counted_try{};
    std::optional<std::string> release_change;
    std::optional<std::string> grant_change;
    std::optional<std::string> leave_change;

    bool stopping = false;
    int reports_since_stop = 0;
    bool idle = true; ///< the last report had no running units

    std::map<std::string, double, std::less<>> budgets;
    std::chrono::sys_seconds wall{};
    boot_time wall_at{};
    bool held_lease = false;
};

} // namespace hornbeamrail
