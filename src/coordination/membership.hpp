#pragma once

#include "coordination/core_action.hpp"
#include "coordination/core_options.hpp"
#include "coordination/demand_table.hpp"
#include "coordination/freshness.hpp"
#include "coordination/node_tree.hpp"
#include "state/fleet_state.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// State that a node reports in every heartbeat.
struct node_status {
    incarnation_id incarnation = 0;
    log_offset next_offset = 1;
    std::optional<std::chrono::microseconds> evidence_age; ///< age of the newest freshness evidence
    log_offset evidence_head = 0;                          ///< log head of that evidence
    bool log_answers = false;                              ///< the log answered a recent read of this node
    bool leaving = false;                                  ///< a graceful leave is in progress
    std::int64_t vm_list_version = 0;
};

/// Heartbeats, failure detection, aggregation of demand, and offsets confirmed by a majority.
///
/// A node exchanges heartbeats with the other nodes of its smallest group. The acting aggregator of a cell is
/// its first responsive node. It also exchanges heartbeats with the aggregators of the sibling cells. The
/// counted nodes of a region (see `node_counted_record`) exchange them with each other as well, because an
/// attestation is valid only when it comes directly from the attesting node. Not thread-safe.
class membership {
public:
    explicit membership(const core_options& node_options);

    /// Updates the peers and the heartbeat tree from the nodes of @p state.
    /// @param self incarnation of this node, or 0
    void refresh(boot_time now, const std::shared_ptr<const fleet_state>& state, incarnation_id self);

    /// Sets the demand of this node, which its heartbeats report.
    void set_own_demand(demand_table demand) { this->own_demand = std::move(demand); }

    /// @param call_number last used call number, incremented for each request
    /// @return the heartbeats that are due
    std::vector<send_peer_request> heartbeats(boot_time now, const node_status& status,
                                              std::uint64_t& call_number);

    /// Processes a heartbeat of a peer. Its age is unknown, so it is no evidence of freshness.
    /// @return the heartbeat to answer with
    wire::Heartbeat answer(boot_time now, const node_status& status, const wire::Heartbeat& request);

    /// @return whether @p call is an outstanding heartbeat of this node
    [[nodiscard]] bool is_open(const peer_call& call) const { return this->open_calls.contains(call.number); }

    /// Processes the answer to an outstanding heartbeat.
    /// @return the peer's evidence of freshness, if any, with its age counted from the start of the request
    std::optional<view_evidence> on_answer(boot_time now, const peer_call& call,
                                           const wire::Heartbeat& answer);

    /// Processes the failure of a heartbeat. Calls that are not outstanding heartbeats are ignored.
    void on_failed(const peer_call& call);

    /// Resets failure detection after a pause of the process: missing heartbeats from before @p now prove
    /// nothing, and outstanding calls are abandoned.
    void on_pause(boot_time now);

    /// @return evidence, during a log outage, that a majority of the counted set holds no record newer than
    /// the fold of this node
    [[nodiscard]] std::optional<view_evidence> majority_evidence(boot_time now,
                                                                 const node_status& status) const;

    /// @return the offset below which a strict majority of the region's counted nodes has folded all records;
    /// 0 when unknown
    [[nodiscard]] log_offset confirmed_offset(std::string_view region) const;

    /// @return live nodes of the region of this node that sent no heartbeat for `reclaim_after` and that the
    /// other responsive nodes of their group report as unresponsive too
    [[nodiscard]] std::vector<incarnation_id> unresponsive_nodes(boot_time now) const;

    /// @return whether @p node is in the heartbeat group of this node and has sent no heartbeat for @p span
    [[nodiscard]] bool is_unresponsive(boot_time now, incarnation_id node,
                                       std::chrono::milliseconds span) const;

    /// @return whether @p node is in the smallest heartbeat group of this node
    [[nodiscard]] bool is_partner(incarnation_id node) const;

    /// @return the responsive peer with the newest fold, if that fold is ahead of @p next_offset
    [[nodiscard]] std::optional<endpoint> peer_ahead(boot_time now, log_offset next_offset) const;

    /// @return the position of this node among the live ones; used to stagger actions that any node may take
    [[nodiscard]] std::size_t rank() const noexcept { return this->own_rank; }

    /// @return the demand of this node and of each node of its group; one entry with incarnation 0 holds the
    /// sum over all other nodes
    [[nodiscard]] hornbeamrail::fleet_demand fleet_demand(boot_time now) const;

    /// @return the state of all peers as JSON for operators
    [[nodiscard]] boost::json::value dump(boot_time now) const;

private:
    /// Last known state of another node.
    struct peer {
        incarnation_id incarnation = 0;
        endpoint address;
        std::string region;
        boot_time last_heartbeat_at{};
        int failed_calls = 0; ///< since its last heartbeat
        log_offset next_offset = 0;
        bool leaving = false;

        // Attestation by the peer itself: its answer to a request that was sent at this time.
        std::optional<boot_time> attested_at;
        log_offset attested_next_offset = 0;
        bool attested_log_answers = false;

        int level = -1;          ///< group level of its last request; -1 when it has none
        demand_table demand;     ///< of its subtree at that level
        demand_table outside;    ///< of all nodes outside the cell that it aggregates
        bool aggregates = false; ///< its last request carried `outside`, so it is an aggregator
        /// Nodes that its last heartbeat reports as unresponsive.
        std::vector<incarnation_id> reported_unresponsive;

        std::uint64_t open_call = 0; ///< 0 when no heartbeat to it is outstanding
        int sent_level = -1;         ///< group level of the last request to it
        demand_link demand_sent;
        demand_link outside_sent;
    };

    /// An outstanding heartbeat and the demand entries that it carried.
    struct open_call {
        incarnation_id peer = 0;
        boot_time sent_at{};
        std::vector<wire::Demand> demand;
        std::vector<wire::Demand> outside;
    };

    /// Demand sums of one level on the path of this node, valid for one round of heartbeats.
    struct level_sums {
        bool participates = false;  ///< this node exchanges heartbeats at this level
        bool is_aggregator = false; ///< this node is the acting aggregator of the group's cell
        demand_table subtree;       ///< of the child cell that holds this node
        demand_table outside;       ///< of all nodes outside the group's cell
    };

    [[nodiscard]] const peer* find(incarnation_id node) const;

    /// @return whether @p node sent a heartbeat within @p span
    [[nodiscard]] bool is_responsive(boot_time now, incarnation_id node,
                                     std::chrono::milliseconds span) const;

    /// @return whether any node of @p cell sent a heartbeat within @p span
    [[nodiscard]] bool is_cell_responsive(boot_time now, const node_cell& cell,
                                          std::chrono::milliseconds span) const;

    /// @return the peer that last acted as aggregator of @p cell at @p level, or null
    [[nodiscard]] const peer* find_aggregator(boot_time now, const node_cell& cell, int level) const;

    /// @return the node of @p cell that receives the next heartbeat at @p level
    [[nodiscard]] incarnation_id heartbeat_target(boot_time now, const node_cell& cell, int level) const;

    /// @return the demand sums per level, from the smallest group to the whole fleet
    [[nodiscard]] std::vector<level_sums> sum_demand(boot_time now) const;

    /// @return whether this node is the acting aggregator of the cell of @p group
    [[nodiscard]] bool is_aggregator(boot_time now, const node_group& group) const;

    /// @return whether this node exchanges heartbeats at @p level
    [[nodiscard]] bool participates(boot_time now, int level) const;

    /// @return whether a majority of the counted nodes of the region, this node included, is responsive
    [[nodiscard]] bool has_responsive_majority(boot_time now) const;

    /// @return whether the other responsive members of @p group also report the child as unresponsive
    [[nodiscard]] bool peers_confirm_unresponsive(boot_time now, const node_group& group,
                                                  std::size_t unresponsive_child) const;

    /// @return the heartbeat of this node without level and demand
    [[nodiscard]] wire::Heartbeat own_heartbeat(boot_time now, const node_status& status) const;

    /// Updates the state of the peer that sent @p heartbeat.
    void record_heartbeat(boot_time now, const wire::Heartbeat& heartbeat);

    /// Updates the confirmed offset of the region of this node, if this node is counted.
    void update_confirmed(const node_status& status);

    /// Adds a heartbeat to @p target unless one is outstanding.
    /// @param sums_of_level demand to report at @p level, or null
    /// @param max_entries maximum number of demand entries per table
    void send(boot_time now, const node_status& status, const wire::Heartbeat& base, incarnation_id target,
              int level, const level_sums* sums_of_level, std::size_t max_entries, std::uint64_t& call_number,
              std::vector<send_peer_request>& requests);

    core_options options;
    incarnation_id self = 0;
    bool self_counted = false;
    std::size_t own_rank = 0;
    std::size_t nodes_hash = 0; ///< of the nodes that `tree` was built from
    std::unique_ptr<node_tree> tree;
    std::vector<node_group> path;
    /// Counted nodes of the region of this node, itself included when counted.
    std::vector<incarnation_id> counted;
    std::map<incarnation_id, peer> peers;
    std::map<std::uint64_t, open_call> open_calls;
    std::map<std::string, log_offset, std::less<>> confirmed; ///< by region, see `confirmed_offset`
    demand_table own_demand;
    boot_time next_round{};
    std::size_t rounds = 0; ///< rounds of heartbeats so far
};

} // namespace hornbeamrail
