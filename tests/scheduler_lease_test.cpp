#include "coordination/scheduler_lease.hpp"
#include "fakes/fake_site.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace hornbeamrail;
using std::chrono::milliseconds;

namespace {

/// Nodes that share the leader topic.
struct lease_site {
    struct member {
        std::unique_ptr<scheduler_lease> lease;
        std::int64_t read_from = 0;
        bool reaches_log = true;
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
                this->step(node);
            }
        }
    }

    void step(member& each) {
        if (!each.reaches_log) {
            each.lease->on_read_failed(this->now);
        } else {
            const auto read = this->log.read({.topic = log_topic::leader, .from = each.read_from});
            for (const auto& record : read.records) {
                each.lease->on_record(record, this->now);
            }
            each.read_from = read.next;
            each.lease->on_read(read.next, this->now, this->now);
        }
        if (const auto append = each.lease->tick(this->now)) {
            each.lease->on_append(each.reaches_log ? this->log.append(*append)
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

    std::vector<member> nodes;
    fake_keyed_log log;
    boot_time now{milliseconds(1000)};
};

} // namespace

BOOST_AUTO_TEST_CASE(one_node_holds_a_free_lease_soon) {
    lease_site site;
    for (const auto* name : {"a", "b", "c", "d"}) {
        site.add(name);
    }
    site.run(milliseconds(500));
    BOOST_TEST(site.holders() == 1);
}

BOOST_AUTO_TEST_CASE(silence_of_the_holder_moves_the_lease_with_a_higher_term) {
    lease_site site;
    site.add("a");
    site.run(milliseconds(500));
    const auto first_term = site.nodes[0].lease->term();
    site.add("b");
    site.nodes[0].reaches_log = false;
    site.run(milliseconds(3000));
    BOOST_TEST(site.nodes[1].lease->is_held());
    BOOST_TEST(site.nodes[1].lease->term() > first_term);
    site.nodes[0].reaches_log = true;
    site.run(milliseconds(500));
    BOOST_TEST(!site.nodes[0].lease->is_held());
}

BOOST_AUTO_TEST_CASE(nobody_claims_during_an_outage_of_the_log) {
    lease_site site;
    site.add("a");
    site.add("b");
    site.run(milliseconds(500));
    const bool first_holds = site.nodes[0].lease->is_held();
    for (auto& node : site.nodes) {
        node.reaches_log = false;
    }
    site.run(milliseconds(8000));
    for (auto& node : site.nodes) {
        node.reaches_log = true;
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

// Weak nodes that take the lease first lose it while they load.
BOOST_AUTO_TEST_CASE(weak_node_leaves_the_lease_to_a_strong_one) {
    lease_site site;
    site.add("weak", milliseconds(1200));
    site.add("strong");
    site.run(milliseconds(3000));
    BOOST_TEST(site.nodes[1].lease->is_held());
}

// A strong node that stops gives the lease up: another strong one takes it, whatever order the nodes act in.
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

BOOST_AUTO_TEST_CASE(claim_whose_answer_was_lost_is_learned_from_the_log) {
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
