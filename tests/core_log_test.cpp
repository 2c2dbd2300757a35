#include "coordination/append_queue.hpp"
#include "coordination/replica.hpp"
#include "core_test_site.hpp"
#include "protocol/digest.hpp"

using namespace hornbeamrail;
using namespace std::chrono_literals;

namespace {

std::string encoded(record_body body) {
    return encode_record({.change_id = random_uuid(), .body = std::move(body)});
}

/// Appends records that change nothing lasting, to let the log grow.
void grow(core_test_site& site, int records) {
    for (int count = 0; count < records; ++count) {
        site.simulation.append_now({encoded(zone_in_record{.zone = "b"})});
        if (count % 50 == 0) {
            site.run(100ms);
        }
    }
    site.run(2s);
}

} // namespace

// Guards against an append that took effect without an answer taking effect twice or getting lost.
BOOST_AUTO_TEST_CASE(lost_answers_and_duplicates_have_one_effect) {
    core_simulation_options options{.seed = 7};
    options.log.lost_answer_part = 0.4;
    options.log.duplicate_part = 0.3;
    options.duplicate_part = 0.3;
    core_test_site site(options);
    site.start(3);
    for (int round = 0; round < 20; ++round) {
        site.apply(1 + round % 3, zone_out_record{.zone = "a"});
        site.apply(1 + (round + 1) % 3, zone_in_record{.zone = "a"});
    }
    for (int number = 1; number <= 3; ++number) {
        site.simulation.set_load(core_test_site::name(number), "t", 50);
    }
    site.run(10s);
    BOOST_TEST(site.simulation.running("t") >= 95);
    BOOST_TEST(site.simulation.take_peak("t") <= 100);
    BOOST_TEST(site.any_state()->nodes().size() == 3);
}

// Guards against a change that was submitted during an outage getting lost.
BOOST_AUTO_TEST_CASE(changes_of_an_outage_are_repeated) {
    core_test_site site;
    site.start(3);
    site.simulation.log().faults().down = true;
    const auto change = site.submit(2, zone_out_record{.zone = "a"});
    site.run(30s);
    BOOST_TEST((site.core(2).change_status(change).phase == change_phase::pending));
    site.simulation.log().faults().down = false;
    BOOST_TEST(site.within(4s, [&] { return site.accepted(2, change); }));
}

// Guards the bound of append calls: every window of a second holds at most 7 calls of a node.
BOOST_AUTO_TEST_CASE(append_calls_are_bounded) {
    append_queue queue(core_limits{}, 1);
    const fleet_state state;
    std::vector<boot_time> calls;
    for (auto now = boot_time(1s); now < boot_time(11s); now += 1ms) {
        queue.add({.change_id = random_uuid(), .body = zone_in_record{.zone = "a"}});
        if (const auto call = queue.next_call(now, state)) {
            calls.push_back(now);
            queue.on_failed(now, call->batch);
        }
    }
    BOOST_TEST(calls.size() > 60);
    for (std::size_t first = 0; first + 7 < calls.size(); ++first) {
        BOOST_REQUIRE((calls[first + 7] - calls[first] >= 1s));
    }
}

// Guards against repeating a record whose outcome the fold may have forgotten since.
BOOST_AUTO_TEST_CASE(forgotten_outcomes_are_not_repeated) {
    append_queue queue(core_limits{}, 1);
    fleet_state state;
    queue.add({.change_id = "x", .body = zone_in_record{.zone = "a"}});
    const auto call = queue.next_call(boot_time(1s), state);
    BOOST_REQUIRE(call);
    queue.on_failed(boot_time(2s), call->batch);
    for (log_offset offset = 1; offset < 16000; ++offset) {
        state.skip(offset);
    }
    queue.settle(state);
    BOOST_TEST(!queue.next_call(boot_time(60s), state));
    BOOST_TEST(queue.forgotten() == 1);
}

// Guards against a log that no longer holds the first record: a new node starts from snapshot and tail.
BOOST_AUTO_TEST_CASE(start_from_a_truncated_log) {
    core_simulation_options options;
    options.log.retained_records = 400;
    core_test_site site(options);
    site.start(3);
    site.apply(1, zone_out_record{.zone = "a"});
    grow(site, 1500);
    BOOST_REQUIRE(site.simulation.log().read(1, 1)->first > 500);
    // Without seeds the log is the only source.
    site.simulation.start(core_test_site::place(4), [](core_options& own) { own.peer_seeds.clear(); });
    BOOST_REQUIRE(site.within(5s, [&] { return site.core(4).incarnation() != 0; }));
    BOOST_TEST(site.core(4).state()->zone_is_out("a"));
}

// Guards against all nodes being replaced after the log was truncated.
BOOST_AUTO_TEST_CASE(all_nodes_replaced_with_a_truncated_log) {
    core_simulation_options options;
    options.log.retained_records = 400;
    core_test_site site(options);
    site.start(3);
    site.apply(1, zone_out_record{.zone = "a"});
    grow(site, 1500);
    for (int number = 1; number <= 3; ++number) {
        site.simulation.kill(core_test_site::name(number));
    }
    site.run(1s);
    for (int number = 1; number <= 3; ++number) {
        site.simulation.start(core_test_site::place(number));
    }
    BOOST_TEST(site.within(10s, [&] { return site.all_counted(3); }));
    BOOST_TEST(site.core(2).state()->zone_is_out("a"));
}

// Guards against a running node losing its place when the log is truncated while it was paused.
BOOST_AUTO_TEST_CASE(node_wakes_behind_the_truncated_log) {
    core_simulation_options options;
    options.log.retained_records = 300;
    core_test_site site(options);
    site.start(3);
    site.simulation.pause("n3");
    site.apply(1, zone_out_record{.zone = "a"});
    grow(site, 1500);
    site.simulation.resume("n3");
    BOOST_TEST(site.within(10s, [&] { return site.core(3).state()->zone_is_out("a"); }));
    BOOST_TEST(site.within(20s, [&] { return site.core(3).incarnation() != 0; }));
}

// Guards against two writers of snapshots at once doing harm.
BOOST_AUTO_TEST_CASE(two_snapshot_writers_leave_one_state) {
    fleet_state state;
    replica log{core_limits{}};
    log_read read{.first = 1, .head = 1, .entries = {}};
    const auto add = [&](const std::string& data) {
        read.entries.push_back({read.head++, data});
    };
    add(encoded(config_record{.config = std::make_shared<const fleet_config>(core_test_site::config(10))}));
    add(encoded(zone_out_record{.zone = "a"}));
    log.add_log_read(read);
    auto first = split_snapshot("first", log.next_offset(), snapshot_codec::encode(*log.state()), 300);
    add(encoded(zone_out_record{.zone = "b"}));
    log.add_log_read(read);
    auto second = split_snapshot("second", log.next_offset(), snapshot_codec::encode(*log.state()), 300);
    BOOST_REQUIRE(first.size() > 1);
    for (std::size_t part = 0; part < std::max(first.size(), second.size()); ++part) {
        if (part < first.size()) {
            add(encoded(first[part]));
        }
        if (part < second.size()) {
            add(encoded(second[part]));
        }
    }
    add(encoded(zone_out_record{.zone = "c"}));
    log.add_log_read(read);
    // A log truncated to what the first snapshot does not cover, so the second one must be found.
    log_read truncated{
        .first = 3, .head = read.head, .entries = {read.entries.begin() + 2, read.entries.end()}};
    replica late{core_limits{}};
    late.add_log_read(truncated);
    BOOST_TEST(snapshot_codec::encode(*late.state()) == snapshot_codec::encode(*log.state()));
}

// Guards against a torn or damaged snapshot: the one before it is used, and none means no state.
BOOST_AUTO_TEST_CASE(torn_and_damaged_snapshots_are_passed_over) {
    replica log{core_limits{}};
    log_read read{.first = 1, .head = 1, .entries = {}};
    const auto add = [&](const std::string& data) {
        read.entries.push_back({read.head++, data});
    };
    add(encoded(config_record{.config = std::make_shared<const fleet_config>(core_test_site::config(10))}));
    log.add_log_read(read);
    const auto parts = split_snapshot("good", log.next_offset(), snapshot_codec::encode(*log.state()), 200);
    auto damaged = split_snapshot("damaged", log.next_offset(), snapshot_codec::encode(*log.state()), 200);
    damaged[1].data[5] = damaged[1].data[5] == 'A' ? 'B' : 'A';
    for (const auto& part : damaged) {
        add(encoded(part));
    }
    for (std::size_t part = 0; part + 1 < parts.size(); ++part) {
        auto torn = parts[part];
        torn.snapshot_id = "torn";
        add(encoded(torn));
    }
    add(encoded(zone_out_record{.zone = "a"}));
    log.add_log_read(read);
    log_read truncated{
        .first = 2, .head = read.head, .entries = {read.entries.begin() + 1, read.entries.end()}};
    replica late{core_limits{}};
    late.add_log_read(truncated);
    BOOST_TEST(late.next_offset() == 1);
    BOOST_TEST(late.damaged_snapshots() == 1);
    log_read rest{.first = 2, .head = read.head, .entries = {}};
    for (const auto& part : parts) {
        rest.entries.push_back({rest.head++, encoded(part)});
    }
    late.add_log_read(rest);
    BOOST_TEST(late.state()->zone_is_out("a"));
    BOOST_TEST(late.next_offset() == rest.head);
}

// Guards against a peer with an older state taking a node back.
BOOST_AUTO_TEST_CASE(older_peer_state_is_ignored) {
    replica newer{core_limits{}};
    replica older{core_limits{}};
    log_read read{.first = 1, .head = 3, .entries = {}};
    read.entries.push_back(
        {1,
         encoded(config_record{.config = std::make_shared<const fleet_config>(core_test_site::config(10))})});
    older.add_log_read(read);
    read.entries.push_back({2, encoded(zone_out_record{.zone = "a"})});
    newer.add_log_read(read);
    BOOST_TEST(!newer.add_peer_snapshot(older.snapshot()));
    newer.add_peer_records(older.records_from(1, 10));
    BOOST_TEST(newer.state()->zone_is_out("a"));
    BOOST_TEST(newer.next_offset() == 3);
    BOOST_TEST(!older.add_peer_records(newer.records_from(2, 10)));
    BOOST_TEST(older.state()->zone_is_out("a"));
}

// Guards against a gap in an answer being folded over, and against a record of a newer format stopping the
// fold.
BOOST_AUTO_TEST_CASE(gaps_wait_and_undecodable_records_are_set_aside) {
    replica log{core_limits{}};
    log.add_log_read({.first = 1, .head = 4, .entries = {{1, "{\"format\":9}"}, {3, "x"}}});
    BOOST_TEST(log.next_offset() == 2);
    BOOST_TEST(log.gaps() == 1);
    BOOST_TEST(log.read_offset() == 2);
    BOOST_TEST(log.undecodable().size() == 1);
    BOOST_TEST(log.state()->undecodable_records() == 1);
}

// Guards against two operators both believing that their edit of one version is in force.
BOOST_AUTO_TEST_CASE(racing_edits_have_one_winner) {
    core_test_site site;
    site.start(3);
    const auto version = site.any_state()->config_version();
    std::vector<std::string> changes;
    for (int number = 1; number <= 3; ++number) {
        changes.push_back(site.submit(number, config_record{.expected_version = version,
                                                            .config = std::make_shared<const fleet_config>(
                                                                core_test_site::config(10 + number))}));
    }
    site.run(5s);
    int winners = 0;
    for (int number = 1; number <= 3; ++number) {
        const auto status = site.core(number).change_status(changes[static_cast<std::size_t>(number - 1)]);
        BOOST_TEST((status.phase == change_phase::accepted || status.phase == change_phase::rejected));
        if (status.phase == change_phase::accepted) {
            ++winners;
            BOOST_TEST(site.any_state()->config().find_team("t")->upper_limit == 10 + number);
        } else {
            BOOST_TEST(status.reason.starts_with("conflict"));
        }
    }
    BOOST_TEST(winners == 1);
}
