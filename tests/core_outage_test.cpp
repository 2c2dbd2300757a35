#include "coordination/freshness.hpp"
#include "core_test_site.hpp"

using namespace hornbeamrail;
using namespace std::chrono_literals;

namespace {

void load_all(core_test_site& site, std::int64_t units) {
    for (int number = 1; number <= site.node_count; ++number) {
        site.simulation.set_load(core_test_site::name(number), "t", units);
    }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(core_outage_suite, core_test_site)

// Guards against a log outage stopping work: views stay fresh while a majority agrees on the newest record.
BOOST_AUTO_TEST_CASE(log_outage_keeps_serving) {
    this->start(5);
    load_all(*this, 20);
    this->run(5s);
    this->simulation.log().faults().down = true;
    this->run(3s);
    const auto before = this->simulation.started("t");
    for (int step = 0; step < 600; ++step) {
        this->run(100ms);
        for (int number = 1; number <= this->node_count; ++number) {
            BOOST_REQUIRE(this->simulation.fresh(name(number)));
        }
    }
    // 100 units take 200 ms each and are started in ticks of 25 ms.
    BOOST_TEST(this->simulation.started("t") - before > 60 * 100 * 4);
    BOOST_TEST(this->simulation.take_peak("t") <= 100);
    this->simulation.log().faults().down = false;
    this->run(2s);
    this->apply(1, zone_out_record{.zone = "a"});
}

// Guards against a node that reaches neither the log nor a majority starting work on a stale view.
BOOST_AUTO_TEST_CASE(isolated_node_stops_within_the_bound) {
    this->start(5);
    this->simulation.log().faults().down = true;
    this->run(2s);
    for (int other = 2; other <= 5; ++other) {
        this->simulation.links().cut(name(1), name(other));
    }
    BOOST_TEST(this->simulation.fresh("n1"));
    this->run(2s);
    BOOST_TEST(!this->simulation.fresh("n1"));
    BOOST_TEST(this->simulation.fresh("n2"));
    this->simulation.links().restore_all();
    BOOST_TEST(this->within(1s, [&] { return this->simulation.fresh("n1"); }));
}

// Guards against nodes in a minority, which are partitioned from the log and the others, admitting work after
// a change that they did not receive was accepted.
BOOST_AUTO_TEST_CASE(minority_does_not_outlive_an_accepted_change) {
    this->start(5);
    for (const auto* cut : {"n1", "n2"}) {
        this->simulation.links().cut(cut, "log");
        for (const auto* other : {"n3", "n4", "n5"}) {
            this->simulation.links().cut(cut, other);
        }
    }
    const auto change = this->submit(3, zone_out_record{.zone = "a"});
    BOOST_REQUIRE(this->within(5s, [&] { return this->accepted(3, change); }));
    this->run(3s);
    for (const auto* cut : {"n1", "n2"}) {
        const bool has_folded_change = this->simulation.core(cut).state()->zone_is_out("a");
        BOOST_TEST((has_folded_change || !this->simulation.fresh(cut)));
    }
}

// Guards against accepting a change that only a minority can have received.
BOOST_AUTO_TEST_CASE(change_is_pending_until_a_majority_folded_it) {
    this->start(5);
    for (int isolated = 2; isolated <= 5; ++isolated) {
        this->simulation.links().cut_one_way("log", name(isolated));
        this->simulation.links().cut(name(1), name(isolated));
    }
    this->run(1s);
    const auto change = this->submit(1, zone_out_record{.zone = "a"});
    BOOST_REQUIRE(this->within(2s, [&] { return this->core(1).state()->zone_is_out("a"); }));
    this->run(2s);
    const auto status = this->core(1).change_status(change);
    BOOST_TEST((status.phase == change_phase::pending));
    BOOST_TEST(status.unconfirmed_regions == std::vector<std::string>{"r"}, boost::test_tools::per_element());
    this->simulation.links().restore_all();
    BOOST_TEST(this->within(5s, [&] { return this->accepted(1, change); }));
}

// Guards against a node without a link to the log taking over the freshness of its peers without their
// records.
BOOST_AUTO_TEST_CASE(node_without_the_log_stays_fresh_through_peers) {
    this->start(3);
    this->simulation.links().cut("n3", "log");
    this->run(5s);
    BOOST_TEST(this->simulation.fresh("n3"));
    this->apply(1, zone_out_record{.zone = "b"});
    BOOST_TEST(this->within(2s, [&] { return this->core(3).state()->zone_is_out("b"); }));
}

// Guards against a slow log, whose reads take longer than the freshness bound, stopping work.
BOOST_AUTO_TEST_CASE(slow_log_keeps_serving) {
    this->start(3);
    load_all(*this, 20);
    this->run(3s);
    this->simulation.set_log_delay(3s);
    for (int step = 0; step < 200; ++step) {
        this->run(100ms);
        for (int number = 1; number <= 3; ++number) {
            BOOST_REQUIRE(this->simulation.fresh(name(number)));
        }
    }
}

// Guards against a process that starts during a log outage serving without a registered incarnation, or
// starting from an older state than its peers hold.
BOOST_AUTO_TEST_CASE(restart_during_a_log_outage) {
    this->start(3);
    this->apply(1, zone_out_record{.zone = "a"});
    this->simulation.log().faults().down = true;
    this->run(1s);
    this->simulation.kill("n3");
    this->run(500ms);
    this->simulation.start(place(3));
    BOOST_TEST(this->within(2s, [&] { return this->core(3).state()->zone_is_out("a"); }));
    this->run(5s);
    BOOST_TEST(this->core(3).incarnation() == 0);
    BOOST_TEST(this->core(3).usable_units("t") == 0);
    BOOST_TEST(this->simulation.fresh("n1"));
    this->simulation.log().faults().down = false;
    BOOST_TEST(this->within(10s, [&] { return this->core(3).incarnation() != 0; }));
    BOOST_TEST(this->within(20s, [&] { return this->counted() == 3; }));
}

// Guards against evidence from before a pause admitting work after it, even before the first tick.
BOOST_AUTO_TEST_CASE(nothing_is_fresh_after_a_pause) {
    this->start(3);
    this->simulation.pause("n2");
    this->run(1500ms);
    BOOST_TEST(!this->simulation.fresh("n2"));
    this->simulation.resume("n2");
    BOOST_TEST(this->within(1s, [&] { return this->simulation.fresh("n2"); }));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards the freshness bound against clocks that run 1% fast or slow: it applies to the true time since the
// last evidence.
BOOST_AUTO_TEST_CASE(clock_rates_one_percent_apart) {
    for (const double rate : {0.99, 1.01}) {
        core_test_site site;
        for (int number = 1; number <= 3; ++number) {
            auto place = core_test_site::place(number);
            place.clock_rate = number == 1 ? rate : 2 - rate;
            site.simulation.start(place);
        }
        BOOST_REQUIRE(site.within(30s, [&] { return site.counted() == 3; }));
        BOOST_TEST(site.simulation.fresh("n1"));
        site.simulation.links().cut("n1", "log");
        site.simulation.links().cut("n1", "n2");
        site.simulation.links().cut("n1", "n3");
        site.run(2000ms);
        BOOST_TEST(!site.simulation.fresh("n1"));
    }
}

// Guards the limit of the age calculation: 2 s of true time are 1.98 s on a clock that runs 1% slow.
BOOST_AUTO_TEST_CASE(evidence_expires_by_true_time) {
    freshness view{core_timings{}};
    view.add({.as_of = boot_time(10s), .head = 5}, 5);
    BOOST_TEST(view.is_fresh(boot_time(11'900ms)));
    BOOST_TEST(!view.is_fresh(boot_time(11'980ms)));
    view.add({.as_of = boot_time(12s), .head = 6}, 5);
    BOOST_TEST(!view.is_fresh(boot_time(12'100ms)));
    view.on_folded(6);
    BOOST_TEST(view.is_fresh(boot_time(12'100ms)));
}
