#pragma once

#include "fakes/core_simulation.hpp"
#include "protocol/digest.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

#include <string>
#include <vector>

namespace hornbeamrail {

/// Simulated site of node cores for tests, with three zones and one team "t" with an upper limit.
class core_test_site {
public:
    explicit core_test_site(core_simulation_options options = {}) : simulation(options) {}

    static fleet_config config(std::int64_t upper_limit) {
        return {.site = "test",
                .zones = {{.name = "a", .region = "r"},
                          {.name = "b", .region = "r"},
                          {.name = "c", .region = "r"}},
                .pools = {{.name = "p", .vms = 2}, {.name = "spare", .vms = 1, .spare = true}},
                .services = {{.name = "s", .pool = "p"}},
                .teams = {{.name = "t", .share = 50, .upper_limit = upper_limit, .services = {"s"}}}};
    }

    static simulated_place place(int number) {
        static const std::vector<std::string> zones{"a", "b", "c"};
        return {.node_id = name(number), .zone = zones[static_cast<std::size_t>(number) % zones.size()]};
    }
    static std::string name(int number) { return "n" + std::to_string(number); }

    /// Starts nodes 1 to @p count, waits until the counted set is complete and applies a configuration.
    void start(int count, std::int64_t upper_limit = 100) {
        this->node_count = count;
        for (int number = 1; number <= count; ++number) {
            this->simulation.start(place(number));
        }
        BOOST_REQUIRE(this->simulation.run_until(
            [&] {
                return this->counted() == std::min<std::size_t>(7, static_cast<std::size_t>(count)) &&
                       this->newest_state()->nodes().size() == static_cast<std::size_t>(count);
            },
            std::chrono::seconds(30)));
        this->apply(1, config_record{.expected_version = 0,
                                     .config = std::make_shared<const fleet_config>(config(upper_limit))});
    }

    [[nodiscard]] node_core& core(int number) { return this->simulation.core(name(number)); }

    [[nodiscard]] std::size_t counted() { return this->newest_state()->counted_nodes("r").size(); }

    /// @return the newest fold of all live nodes
    [[nodiscard]] std::shared_ptr<const fleet_state> newest_state() {
        std::shared_ptr<const fleet_state> best = std::make_shared<const fleet_state>();
        for (int number = 1; number <= 99; ++number) {
            if (this->simulation.alive(name(number)) &&
                this->core(number).state()->next_offset() > best->next_offset()) {
                best = this->core(number).state();
            }
        }
        return best;
    }

    /// @return whether nodes 1 to @p count are each registered and counted in their own fold
    bool all_counted(int count) {
        for (int number = 1; number <= count; ++number) {
            const auto* node = this->core(number).state()->find_node(this->core(number).incarnation());
            if (node == nullptr || !node->counted) {
                return false;
            }
        }
        return true;
    }

    /// Submits a change at a node.
    /// @return its change id
    std::string submit(int number, record_body body) {
        auto id = random_uuid();
        BOOST_REQUIRE(
            this->core(number).submit_change(this->simulation.local_time(name(number)), id, std::move(body)));
        return id;
    }

    /// @return whether the node reports the change as accepted
    bool accepted(int number, const std::string& id) {
        return this->core(number).change_status(id).phase == change_phase::accepted;
    }

    /// Submits a change and waits until it is accepted.
    /// @return its change id
    std::string apply(int number, record_body body) {
        auto id = this->submit(number, std::move(body));
        BOOST_REQUIRE(
            this->simulation.run_until([&] { return this->accepted(number, id); }, std::chrono::seconds(5)));
        return id;
    }

    void run(std::chrono::milliseconds span) { this->simulation.run_for(span); }

    /// Runs the simulation until @p condition holds, for at most @p limit.
    /// @return whether it held
    bool within(std::chrono::milliseconds limit, const std::function<bool()>& condition) {
        return this->simulation.run_until(condition, limit).has_value();
    }

    /// Sends a claim to the node @p owner.
    wire::ClaimStatus::type claim(int owner, const std::string& id, incarnation_id claimant,
                                  std::int64_t attempt = 1) {
        wire::Claim claim;
        claim.request_id = id;
        claim.claimant = claimant;
        claim.attempt = attempt;
        wire::PeerRequest request;
        request.__set_claim(claim);
        return this->core(owner)
            .on_peer_request(this->simulation.local_time(name(owner)), request)
            .claim.status;
    }

    /// Reports the end of a claim to the node @p owner.
    void resolve(int owner, const std::string& id, incarnation_id claimant, std::int64_t attempt,
                 wire::ClaimResolution::type result) {
        wire::ResolveClaim resolution;
        resolution.request_id = id;
        resolution.claimant = claimant;
        resolution.attempt = attempt;
        resolution.resolution = result;
        wire::PeerRequest request;
        request.__set_resolve_claim(resolution);
        this->core(owner).on_peer_request(this->simulation.local_time(name(owner)), request);
    }

    core_simulation simulation;
    int node_count = 0;
};

} // namespace hornbeamrail
