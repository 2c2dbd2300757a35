#include "policy/grant_plan.hpp"
#include "protocol/digest.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hornbeamrail;

namespace {

/// Runs rounds of `plan_grants` for several nodes against one fold.
class grant_rounds {
public:
    grant_rounds(int nodes, std::int64_t limit) {
        fleet_config config{.pools = {{.name = "p"}},
                            .services = {{.name = "s", .pool = "p"}},
                            .teams = {{.name = "t", .upper_limit = limit, .services = {"s"}}}};
        this->add(config_record{.config = std::make_shared<const fleet_config>(config)});
        for (int i = 0; i < nodes; ++i) {
            const auto offset = this->fold.next_offset();
            this->add(node_register_record{.node_id = std::to_string(i),
                                           .peer_address = {"127.0.0.1", std::uint16_t(i + 1)},
                                           .zone = "a",
                                           .region = "r"});
            this->demand.nodes.push_back({.incarnation = offset});
        }
    }

    /// Every node decides from the same state; the records are applied afterwards.
    /// @return number of records written
    int round() {
        std::vector<log_record> records;
        for (const auto& node : this->demand.nodes) {
            auto deltas = plan_grants(node.incarnation, this->fold, this->demand);
            if (!deltas.empty()) {
                const auto sequence = this->fold.find_node(node.incarnation)->grant_sequence + 1;
                records.push_back({.change_id = random_uuid(),
                                   .body = grant_delta_record{.incarnation = node.incarnation,
                                                              .sequence = sequence,
                                                              .deltas = deltas}});
            }
        }
        for (const auto& record : records) {
            this->fold.apply(this->fold.next_offset(), record);
        }
        return static_cast<int>(records.size());
    }

    void set(std::size_t node, std::int64_t running, std::int64_t queued,
             std::chrono::milliseconds wait = {}) {
        this->demand.nodes[node].services = {
            {.service = "s", .team = "t", .running = running, .queued = queued, .oldest_wait = wait}};
    }

    [[nodiscard]] std::int64_t grant(std::size_t node) const {
        return this->fold.grant_of("t", this->demand.nodes[node].incarnation);
    }

    fleet_state fold;
    fleet_demand demand;

private:
    void add(record_body body) {
        const auto outcome =
            this->fold.apply(this->fold.next_offset(), {.change_id = random_uuid(), .body = std::move(body)});
        BOOST_REQUIRE_MESSAGE(outcome.accepted, outcome.reason);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(grant_plan_suite)

// Guards against units that stay at nodes without callers. The limit must be usable at one node within 2 s: 4
// rounds of 250 ms leave half of that time for the log.
BOOST_AUTO_TEST_CASE(limit_becomes_usable_at_the_only_node_with_demand) {
    grant_rounds rounds(7, 100);
    for (std::size_t i = 0; i < 7; ++i) {
        rounds.set(i, 14, 20);
    }
    rounds.round();
    BOOST_TEST(rounds.fold.granted_units("t") == 100);
    for (std::size_t i = 1; i < 7; ++i) {
        rounds.set(i, 0, 0);
    }
    rounds.set(0, 14, 200);
    for (int i = 0; i < 4; ++i) {
        rounds.round();
    }
    BOOST_TEST(rounds.grant(0) >= 95);
}

// Guards against appends while demand is steady: they would use up the append rate of the log.
BOOST_AUTO_TEST_CASE(steady_demand_writes_nothing) {
    grant_rounds rounds(7, 100);
    for (std::size_t i = 0; i < 7; ++i) {
        rounds.set(i, 10, 10);
    }
    for (int i = 0; i < 4; ++i) {
        rounds.round();
    }
    for (std::size_t i = 0; i < 7; ++i) {
        rounds.set(i, 10, 10 + i % 2);
    }
    BOOST_TEST(rounds.round() == 0);
}

// Guards against a node whose callers wait forever because other nodes hold all units.
BOOST_AUTO_TEST_CASE(no_node_with_demand_starves) {
    grant_rounds rounds(4, 2);
    std::vector<int> served(4);
    std::vector<std::int64_t> waited(4);
    for (int round = 0; round < 80; ++round) {
        for (std::size_t i = 0; i < 4; ++i) {
            // A node with a unit serves its oldest request each round, which resets its oldest wait.
            const bool holds = rounds.grant(i) > 0;
            served[i] += holds ? 1 : 0;
            waited[i] = holds ? 0 : waited[i] + 250;
            rounds.set(i, 0, 10, std::chrono::milliseconds(waited[i]));
        }
        rounds.round();
    }
    for (const auto count : served) {
        BOOST_TEST(count >= 8);
    }
}

// Guards against returning units that are in use, and against grants above the limit.
BOOST_AUTO_TEST_CASE(units_in_use_are_never_returned) {
    BOOST_TEST(rc::check([] {
        const int nodes = *rc::gen::inRange(1, 6);
        const auto limit = *rc::gen::inRange(1, 40);
        grant_rounds rounds(nodes, limit);
        for (int round = 0; round < 12; ++round) {
            for (int i = 0; i < nodes; ++i) {
                const auto held = rounds.grant(std::size_t(i));
                rounds.set(std::size_t(i), *rc::gen::inRange<std::int64_t>(0, held + 1),
                           *rc::gen::inRange(0, 30));
            }
            rounds.round();
            RC_ASSERT(rounds.fold.granted_units("t") <= limit);
            for (int i = 0; i < nodes; ++i) {
                RC_ASSERT(rounds.grant(std::size_t(i)) >=
                          rounds.demand.nodes[std::size_t(i)].services[0].running);
            }
        }
        // With steady demand at all nodes, each node gets a unit within a few rounds if there are enough
        // units.
        for (int i = 0; i < nodes; ++i) {
            rounds.set(std::size_t(i), 0, 10);
        }
        for (int round = 0; round < 4; ++round) {
            rounds.round();
        }
        RC_ASSERT(rounds.fold.granted_units("t") == std::min<std::int64_t>(limit, 11 * nodes) ||
                  limit > 11 * nodes);
        for (int i = 0; i < nodes && nodes <= limit; ++i) {
            RC_ASSERT(rounds.grant(std::size_t(i)) >= 1);
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
