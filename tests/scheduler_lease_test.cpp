#include "fakes/fake_site.hpp"
#include "scheduler/scheduler_lease.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace hornbeamrail;
using std::chrono::milliseconds;

namespace {

/// Nodes with a common leader topic, in simulated time.
struct lease_site {
    struct lease_node {
        std::unique_ptr<scheduler_lease> lease;
        std::int64_t read_from = 0;
        bool can_reach_log = true;
    };

    void add(const std::string& name, milliseconds weak_node_delay = milliseconds(0)) {
        this->nodes.push_back(
            {.lease = std::make_unique<scheduler_lease>(scheduler_lease_options{
                 .node_id = name, .incarnation = name + "-1", .weak_node_delay = weak_node_delay})});
    }

    void run(milliseconds span) {
        const auto until = this->now + span;
        while (this->now < until) {
            this->now += milliseconds(20);
            for (auto& node : this->nodes) {
                this->advance(node);
            }
        }
    }

    void advance(lease_node& node) {
        if (!node.can_reach_log) {
            node.lease->on_read_failed(this->now);
        } else {
            const auto read = this->log.read({.topic = log_topic::leader, .from = node.read_from});
            for (const auto& record : read.records) {
                node.lease->on_record(record, this->now);
            }
            node.read_from = read.next;
            node.lease->on_read(read.next, this->now, this->now);
        }
        if (const auto append = node.lease->tick(this->now)) {
            node.lease->on_append(node.can_reach_log ? this->log.append(*append)
                                                     : append_answer{.outcome = append_outcome::refused},
                                  this->now);
        }
    }

    [[nodiscard]] int holders() const {
        int count = 0;
        for (const auto& node : this->nodes) {
            count += node.lease->is_held() ? 1 : 0;
        }
        return count;
    }

    std::vector<lease_node> nodes;
    fake_keyed_log log;
    boot_time now{milliseconds(1000)};
};

} // namespace

BOOST_AUTO_TEST_CASE(one_node_claims_a_free_lease) {
    lease_site site;
    for (const auto* name : {"a", "b", "c", "d"}) {
        site.add(name);
    }
    site.run(milliseconds(500));
    BOOST_TEST(site.holders() == 1);
}

BOOST_AUTO_TEST_CASE(unresponsive_holder_loses_the_lease_to_a_higher_term) {
    lease_site site;
    site.add("a");
    site.run(milliseconds(500));
    const auto first_term = site.nodes[0].lease->term();
    site.add("b");
    site.nodes[0].can_reach_log = false;
    site.run(milliseconds(3000));
    BOOST_TEST(site.nodes[1].lease->is_held());
    BOOST_TEST(site.nodes[1].lease->term() > first_term);
    site.nodes[0].can_reach_log = true;
    site.run(milliseconds(500));
    BOOST_TEST(!site.nodes[0].lease->is_held());
}

BOOST_AUTO_TEST_CASE(no_node_claims_during_a_log_outage) {
    lease_site site;
    site.add("a");
    site.add("b");
    site.run(milliseconds(500));
    const bool first_holds = site.nodes[0].lease->is_held();
    for (auto& node : site.nodes) {
        node.can_reach_log = false;
    }
    site.run(milliseconds(8000));
    for (auto& node : site.nodes) {
        node.can_reach_log = true;
    }
    site.run(milliseconds(1000));
    BOOST_TEST(site.nodes[first_holds ? 0 : 1].lease->is_held());
    BOOST_TEST(site.holders() == 1);
}

BOOST_AUTO_TEST_CASE(released_lease_is_claimed_at_once) {
    lease_site site;
    site.add("a");
    site.run(milliseconds(500));
    site.add("b");
    site.run(milliseconds(300));
    site.nodes[0].lease->begin_stop();
    site.run(milliseconds(400));
    BOOST_TEST(site.nodes[0].lease->is_released());
    BOOST_TEST(site.nodes[1].lease->is_held());
}

// A weak node (one with few resources) that claims the lease first loses it again while it loads the
// schedule, so strong nodes claim first.
BOOST_AUTO_TEST_CASE(strong_node_claims_before_a_weak_one) {
    lease_site site;
    site.add("weak", milliseconds(1200));
    site.add("strong");
    site.run(milliseconds(3000));
    BOOST_TEST(site.nodes[1].lease->is_held());
}

// A strong node that stops releases the lease. Another strong node claims it, regardless of the order in
// which the nodes act.
BOOST_AUTO_TEST_CASE(released_lease_goes_to_a_strong_node) {
    lease_site site;
    site.add("first");
    site.run(milliseconds(500));
    for (const auto* name : {"weak-1", "weak-2", "weak-3"}) {
        site.add(name, milliseconds(1200));
    }
    site.add("strong");
    site.run(milliseconds(3000));
    site.nodes.front().lease->begin_stop();
    site.run(milliseconds(800));
    BOOST_TEST(site.nodes.front().lease->is_released());
    BOOST_TEST(site.nodes.back().lease->is_held());
}

BOOST_AUTO_TEST_CASE(claim_with_a_lost_answer_is_read_from_the_log) {
    lease_site site;
    site.add("a");
    auto& node = site.nodes[0];
    node.lease->on_read(0, site.now, site.now);
    site.now += milliseconds(2000);
    node.lease->on_read(0, site.now, site.now);
    const auto claim = node.lease->tick(site.now);
    BOOST_REQUIRE(claim.has_value());
    site.log.append(*claim);
    node.lease->on_append({.outcome = append_outcome::unknown}, site.now);
    BOOST_TEST(!node.lease->is_held());
    site.run(milliseconds(200));
    BOOST_TEST(node.lease->is_held());
}

// Guards against a stopping node that goes on as the scheduler after its successor was free to claim.
BOOST_AUTO_TEST_CASE(release_with_a_lost_answer_ends_the_lease) {
    lease_site site;
    site.add("a");
    site.run(milliseconds(1000));
    auto& node = site.nodes[0];
    BOOST_REQUIRE(node.lease->is_held());
    node.lease->begin_stop();
    const auto release = node.lease->tick(site.now);
    BOOST_REQUIRE(release.has_value());
    site.log.append(*release);
    node.lease->on_append({.outcome = append_outcome::unknown}, site.now);
    const auto read = site.log.read({.topic = log_topic::leader, .from = node.read_from});
    for (const auto& record : read.records) {
        node.lease->on_record(record, site.now);
    }
    BOOST_TEST(node.lease->is_released());
}
