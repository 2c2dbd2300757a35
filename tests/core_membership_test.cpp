#include "coordination/grant_manager.hpp"
#include "core_test_site.hpp"

using namespace hornbeamrail;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(core_membership_suite, core_test_site)

// Guards the heartbeat hierarchy of a region with several groups: fresh views during a log outage, demand
// across groups, and the failure of an aggregator.
BOOST_AUTO_TEST_CASE(region_of_several_groups) {
    this->start(20);
    this->simulation.set_load("n20", "t", 60);
    this->simulation.set_load("n18", "t", 60);
    this->run(5s);
    BOOST_TEST(this->simulation.running("t") >= 95);
    const auto first = this->newest_state()->nodes().begin()->first;
    int aggregator = 1;
    while (this->core(aggregator).incarnation() != first) {
        ++aggregator;
    }
    this->simulation.kill(name(aggregator));
    BOOST_TEST(this->within(10s, [&] { return !this->newest_state()->find_node(first)->live(); }));
    this->simulation.log().faults().down = true;
    for (int step = 0; step < 100; ++step) {
        this->run(100ms);
        for (int number = 1; number <= 20; ++number) {
            BOOST_REQUIRE((number == aggregator || this->simulation.fresh(name(number))));
        }
    }
    this->simulation.log().faults().down = false;
    this->run(2s);
    BOOST_TEST(this->newest_state()->nodes().size() == 20); // No other node was reclaimed.
    this->simulation.set_load("n20", "t", 0);
    this->simulation.set_load("n3", "t", 60);
    BOOST_TEST(this->within(5s, [&] { return this->simulation.running("t") >= 95; }));
    BOOST_TEST(this->simulation.take_peak("t") <= 100);
}

// Guards the upper limit while work of a dead node is still running: its units return after the hold-off
// time, and not before.
BOOST_AUTO_TEST_CASE(units_of_a_dead_node_return_after_its_work_ended) {
    this->start(4);
    this->simulation.set_load("n1", "t", 100, 30s);
    BOOST_REQUIRE(this->within(5s, [&] { return this->simulation.running("n1", "t") == 100; }));
    this->simulation.kill("n1");
    for (int number = 2; number <= 4; ++number) {
        this->simulation.set_load(name(number), "t", 100, 1s);
    }
    this->simulation.take_peak("t");
    this->run(36s);
    BOOST_TEST(this->newest_state()->counted_nodes("r").size() == 4);
    BOOST_TEST(this->within(16s, [&] { return this->simulation.running("t") >= 95; }));
    BOOST_TEST(this->simulation.take_peak("t") <= 100);
    BOOST_TEST(this->newest_state()->nodes().size() == 3);
}

// Guards the upper limit against a node that is paused until after its reclaim and resumes once its units
// have moved to other nodes.
BOOST_AUTO_TEST_CASE(paused_node_past_its_reclaim) {
    this->start(4);
    this->simulation.set_load("n1", "t", 100, 200ms);
    BOOST_REQUIRE(this->within(5s, [&] { return this->simulation.running("n1", "t") == 100; }));
    const auto old = this->core(1).incarnation();
    this->simulation.pause("n1");
    for (int number = 2; number <= 4; ++number) {
        this->simulation.set_load(name(number), "t", 100, 1s);
    }
    BOOST_REQUIRE(this->within(60s, [&] { return this->newest_state()->find_node(old) == nullptr; }));
    BOOST_REQUIRE(this->within(5s, [&] { return this->simulation.running("t") >= 95; }));
    this->simulation.take_peak("t");
    this->simulation.resume("n1");
    this->run(5s);
    BOOST_TEST(this->simulation.take_peak("t") <= 100);
    BOOST_TEST(this->within(10s, [&] { return this->core(1).incarnation() > old; }));
    BOOST_TEST(this->within(10s, [&] { return this->counted() == 4; }));
}

// Guards against a node that resumes during the hold-off time reviving its old incarnation.
BOOST_AUTO_TEST_CASE(reclaimed_node_registers_again) {
    this->start(3);
    const auto old = this->core(2).incarnation();
    this->simulation.pause("n2");
    BOOST_REQUIRE(this->within(10s, [&] {
        const auto* node = this->newest_state()->find_node(old);
        return node != nullptr && !node->live();
    }));
    this->simulation.resume("n2");
    BOOST_TEST(this->within(5s, [&] { return this->core(2).incarnation() > old; }));
    BOOST_TEST(!this->newest_state()->find_node(old)->live());
}

// Guards against a node that lost only its own links reclaiming healthy nodes.
BOOST_AUTO_TEST_CASE(one_way_partition_reclaims_no_node) {
    this->start(4);
    this->simulation.links().cut_one_way("n2", "n1");
    this->simulation.links().cut("n3", "n1");
    this->run(20s);
    BOOST_TEST(this->counted() == 4);
    this->simulation.links().cut("n4",
                                 "n1"); // Now no node receives heartbeats of n1, although n1 reaches the log.
    this->run(6s);
    BOOST_TEST(this->newest_state()->nodes().size() >= 4);
    for (int number = 2; number <= 4; ++number) {
        BOOST_TEST(this->newest_state()->find_node(this->core(number).incarnation())->live());
    }
}

// Guards against a site that cannot restart because the majority that would have to confirm the reclaims has
// ended.
BOOST_AUTO_TEST_CASE(all_nodes_replaced_at_the_same_addresses) {
    this->start(3);
    this->apply(1, zone_out_record{.zone = "a"});
    for (int number = 1; number <= 3; ++number) {
        this->simulation.kill(name(number));
    }
    this->run(2s);
    for (int number = 1; number <= 3; ++number) {
        this->simulation.start(place(number));
    }
    BOOST_TEST(this->within(10s, [&] { return this->all_counted(3); }));
    BOOST_TEST(this->core(1).state()->zone_is_out("a"));
    BOOST_TEST(this->within(60s, [&] { return this->newest_state()->nodes().size() == 3; }));
    this->apply(2, zone_in_record{.zone = "a"});
}

// Guards against a site that cannot restart after its VMs were replaced by others: the platform's list proves
// that the nodes on the missing VMs have ended.
BOOST_AUTO_TEST_CASE(all_but_one_vm_replaced) {
    this->start(3);
    this->run(2s);
    for (int number = 2; number <= 3; ++number) {
        this->simulation.kill(name(number));
        this->simulation.listed_vms().erase(name(number));
    }
    BOOST_TEST(this->within(10s, [&] { return this->counted() == 1; }));
    this->simulation.start(place(5));
    this->simulation.start(place(6));
    BOOST_TEST(this->within(15s, [&] { return this->counted() == 3; }));
    this->apply(5, zone_out_record{.zone = "a"});
}

// Guards against counting a node before a majority has folded its registration: any two majorities must
// intersect.
BOOST_AUTO_TEST_CASE(node_is_counted_only_with_a_majority) {
    this->start(3);
    for (int isolated = 2; isolated <= 3; ++isolated) {
        this->simulation.links().cut_one_way("log", name(isolated));
        this->simulation.links().cut(name(1), name(isolated));
        this->simulation.links().cut("n4", name(isolated));
    }
    this->simulation.start(place(4));
    BOOST_REQUIRE(this->within(5s, [&] { return this->core(4).incarnation() != 0; }));
    this->run(4s);
    BOOST_TEST(!this->core(4).state()->find_node(this->core(4).incarnation())->counted);
    this->simulation.links().restore_all();
    BOOST_TEST(this->within(10s, [&] { return this->counted() == 4; }));
}

// Guards against a graceful stop that leaves units or partitions behind, or that ends while work is running.
BOOST_AUTO_TEST_CASE(graceful_leave) {
    this->start(3);
    this->simulation.set_load("n1", "t", 100, 2s);
    BOOST_REQUIRE(this->within(5s, [&] { return this->simulation.running("n1", "t") == 100; }));
    this->core(1).begin_stop(this->simulation.local_time("n1"));
    this->run(1s);
    BOOST_TEST(this->newest_state()->nodes().size() == 3);
    BOOST_REQUIRE(this->within(5s, [&] { return this->core(1).is_stopped(); }));
    BOOST_TEST(this->simulation.running("n1", "t") == 0);
    this->run(1s);
    const auto state = this->core(2).state();
    BOOST_TEST(state->nodes().size() == 2);
    for (const auto& partition : state->partitions()) {
        BOOST_TEST(state->find_node(partition.owner) != nullptr);
    }
    for (int number = 2; number <= 3; ++number) {
        this->simulation.set_load(name(number), "t", 50);
    }
    BOOST_TEST(this->within(5s, [&] { return this->simulation.running("t") == 100; }));
}

// Guards against two concurrent planners and against having no planner: the lease passes on 5 s after the
// last heartbeat, even when two nodes have no majority that could reclaim the unresponsive one.
BOOST_AUTO_TEST_CASE(planner_lease_passes_on) {
    this->start(2);
    const auto planners = [&] {
        int count = 0;
        for (int number = 1; number <= 2; ++number) {
            const auto id = name(number);
            count +=
                this->simulation.alive(id) && this->core(number).is_planner(this->simulation.local_time(id));
        }
        return count;
    };
    BOOST_REQUIRE(this->within(5s, [&] { return planners() == 1; }));
    int holder = 1;
    while (!this->core(holder).is_planner(this->simulation.local_time(name(holder)))) {
        ++holder;
    }
    const auto epoch = this->newest_state()->planner().epoch;
    this->simulation.pause(name(holder));
    BOOST_TEST(this->within(9s, [&] { return this->newest_state()->planner().epoch > epoch; }));
    this->simulation.resume(name(holder));
    for (int step = 0; step < 500; ++step) {
        this->run(20ms);
        BOOST_REQUIRE(planners() <= 1);
    }
    BOOST_TEST(planners() == 1);
}

// Guards against units staying idle at nodes without demand: 95% of an upper limit is usable 2 s after the
// demand moved.
BOOST_AUTO_TEST_CASE(units_follow_demand) {
    this->start(5);
    this->simulation.set_load("n1", "t", 100);
    this->run(4s);
    this->simulation.set_load("n1", "t", 0);
    this->simulation.set_load("n2", "t", 100);
    this->run(2s);
    BOOST_TEST(this->simulation.running("n2", "t") >= 95);
    BOOST_TEST(this->simulation.take_peak("t") <= 100);
}

// Guards a release against units that start while it is outstanding: the usable units are lowered first.
BOOST_AUTO_TEST_CASE(cap_is_lowered_before_a_release) {
    fleet_state state;
    state.apply(1, {.change_id = "a",
                    .body = config_record{.config = std::make_shared<const fleet_config>(config(10))}});
    state.apply(2, {.change_id = "b", .body = node_register_record{.node_id = "n", .region = "r"}});
    state.apply(3, {.change_id = "c",
                    .body = grant_delta_record{.incarnation = 2, .sequence = 1, .deltas = {{"t", 10}}}});
    grant_manager grants{core_timings{}};
    grants.on_running({{"t", 1}});
    grants.begin_plan(boot_time(1s), {{"t", -9}});
    BOOST_TEST(grants.usable("t", 2, state) == 1);
    grants.on_running({{"t", 1}});
    // This report may have been taken before the usable units were lowered.
    BOOST_TEST(!grants.next_record(2, state));
    grants.on_running({{"t", 4}});
    const auto record = grants.next_record(2, state);
    BOOST_REQUIRE(record);
    BOOST_TEST(record->deltas.at(0).units == -6);
    BOOST_TEST(grants.usable("t", 2, state) == 4);
    state.apply(4, {.change_id = "d", .body = *record});
    grants.on_folded(2, state);
    BOOST_TEST(grants.usable("t", 2, state) == 4);
}

BOOST_AUTO_TEST_SUITE_END()
