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

/// What a node tells of itself in every heartbeat.
struct own_view {
    incarnation_id incarnation = 0;
    log_offset next_offset = 1;
    std::optional<std::chrono::microseconds> evidence_age;
    log_offset evidence_head = 0;
    bool log_answers = false;
    bool leaving = false;
    std::int64_t vm_list_version = 0;
};

/// Heartbeats, suspicion, sums of demand and majority offsets.
///
/// A node exchanges heartbeats with the other nodes of its smallest group, and as acting aggregator of a cell
/// with the aggregators of the sibling cells. Counted nodes of a region also exchange them with each other,
/// because attestations must come first-hand.
class membership {
public:
    explicit membership(const core_options& options);

    /// Takes up the nodes of @p state.
    /// @param self incarnation of this node, or 0
    void refresh(boot_time now, const std::shared_ptr<const fleet_state>& state, incarnation_id self);

    void set_own_demand(demand_table demand) { this->own_demand = std::move(demand); }

    /// @return the heartbeats that are due
    std::vector<send_peer_request> heartbeats(boot_time now, const own_view& view,
                                              std::uint64_t& call_number);

    /// Takes in a peer's heartbeat. Its age is unknown, so it is no evidence for freshness.
    /// @return the answer
    wire::Heartbeat answer(boot_time now, const own_view& view, const wire::Heartbeat& request);

    /// @return whether @p call is an open heartbeat of this node
    [[nodiscard]] bool is_open(const peer_call& call) const { return this->open_calls.contains(call.number); }

    /// Takes in the answer to an open heartbeat.
    /// @return evidence that the peer passed on, with its age counted from the start of the request
    std::optional<view_evidence> on_answer(boot_time now, const peer_call& call,
                                           const wire::Heartbeat& answer);
    void on_failed(const peer_call& call);

    /// The process was paused: silence of others before now means nothing, and open calls are void.
    void on_pause(boot_time now);

    /// @return evidence by a majority of the counted set that holds no record newer than the own fold
    [[nodiscard]] std::optional<view_evidence> attested(boot_time now, const own_view& view) const;

    /// @return the offset below which a strict majority of the region's counted nodes has folded all records
    [[nodiscard]] log_offset confirmed_offset(std::string_view region) const;

    /// @return live nodes of the own region that this node and all others that would know have not heard for
    ///         the reclaim time
    [[nodiscard]] std::vector<incarnation_id> silent_nodes(boot_time now) const;

    /// @return whether nothing was heard from a node, with which this one exchanges heartbeats, for @p span
    [[nodiscard]] bool is_silent(boot_time now, incarnation_id node, std::chrono::milliseconds span) const;

    /// @return whether this node exchanges heartbeats with @p node
    [[nodiscard]] bool is_partner(incarnation_id node) const;

    /// @return a peer heard recently whose fold is beyond @p next_offset, the furthest first
    [[nodiscard]] std::optional<endpoint> peer_ahead(boot_time now, log_offset next_offset) const;

    /// @return the position of this node among the live ones; used to stagger work that any node may do
    [[nodiscard]] std::size_t rank() const noexcept { return this->own_rank; }

    [[nodiscard]] hornbeamrail::fleet_demand fleet_demand(boot_time now) const;

    [[nodiscard]] boost::json::value dump(boot_time now) const;

private:
    struct peer {
        incarnation_id incarnation = 0;
        endpoint address;
        std::string region;
        boot_time last_heard{};
        int failed_calls = 0; ///< since it was heard last
        log_offset next_offset = 0;
        bool leaving = false;

        // First-hand attestation: the answer to a request that was sent at this time.
        std::optional<boot_time> attested_at;
        log_offset attested_next = 0;
        bool attested_log_answers = false;

        int level = -1; ///< of its last request
        demand_table demand;
        demand_table outside;
        bool aggregates = false; ///< it sent `outside`
        std::vector<incarnation_id> silent;

        std::uint64_t open_call = 0; ///< 0: none
        int link_level = -1;
        demand_link demand_sent;
        demand_link outside_sent;
    };
    struct open_call {
        incarnation_id peer = 0;
        boot_time sent_at{};
        std::vector<wire::Demand> demand;
        std::vector<wire::Demand> outside;
    };
    /// Sums along the path of this node, valid for one round of heartbeats.
    struct level_sums {
        bool takes_part = false;
        bool leads = false;   ///< this node is the acting aggregator of the group's cell
        demand_table subtree; ///< of the child cell that holds this node
        demand_table outside; ///< of all nodes outside the group's cell
    };

    [[nodiscard]] const peer* find(incarnation_id node) const;
    [[nodiscard]] bool heard(boot_time now, incarnation_id node, std::chrono::milliseconds span) const;
    [[nodiscard]] bool cell_heard(boot_time now, const node_cell& cell, std::chrono::milliseconds span) const;
    [[nodiscard]] const peer* spokesman(boot_time now, const node_cell& cell, int level) const;
    [[nodiscard]] incarnation_id target_in(boot_time now, const node_cell& cell, int level) const;
    [[nodiscard]] std::vector<level_sums> sums(boot_time now) const;
    [[nodiscard]] bool leads(boot_time now, const node_group& group) const;
    [[nodiscard]] bool takes_part(boot_time now, int level) const;
    [[nodiscard]] bool hears_majority(boot_time now) const;
    [[nodiscard]] bool others_agree(boot_time now, const node_group& group, std::size_t silent_child) const;
    [[nodiscard]] wire::Heartbeat own_heartbeat(boot_time now, const own_view& view) const;
    void note(boot_time now, const wire::Heartbeat& heartbeat);
    void update_confirmed(const own_view& view);
    void send(boot_time now, const own_view& view, const wire::Heartbeat& base, incarnation_id target,
              int level, const level_sums* sums_of_level, std::size_t room, std::uint64_t& call_number,
              std::vector<send_peer_request>& requests);

    core_options options;
    incarnation_id self = 0;
    bool self_counted = false;
    std::size_t own_rank = 0;
    std::size_t signature = 0;
    std::unique_ptr<node_tree> tree;
    std::vector<node_group> path;
    std::vector<incarnation_id> counted; ///< of the own region, this node included
    std::map<incarnation_id, peer> peers;
    std::map<std::uint64_t, open_call> open_calls;
    std::map<std::string, log_offset, std::less<>> confirmed;
    demand_table own_demand;
    boot_time next_round{};
    std::size_t rounds = 0;
};

} // namespace hornbeamrail
