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

/// Appends records without effect until the log has grown by @p records.
void grow_log(core_test_site& site, int records) {
    for (int count = 0; count < records; ++count) {
        site.simulation.append_now({encoded(zone_in_record{.zone = "b"})});
        if (count % 50 == 0) {
            site.run(100ms);
        }
    }
    site.run(2s);
}

} // namespace

// Guards against an append whose answer is lost being applied twice or not at all.
BOOST_AUTO_TEST_CASE(lost_answers_and_duplicates_have_one_effect) {
    core_simulation_options options{.seed = 7};
    options.log.lost_answer_fraction = 0.4;
    options.log.duplicate_fraction = 0.3;
    options.duplicate_fraction = 0.3;
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
    BOOST_TEST(site.newest_state()->nodes().size() == 3);
}

// Guards against losing a change that was submitted during a log outage.
BOOST_AUTO_TEST_CASE(changes_submitted_in_an_outage_are_retried) {
    core_test_site site;
    site.start(3);
    site.simulation.log().faults().down = true;
    const auto change = site.submit(2, zone_out_record{.zone = "a"});
    site.run(30s);
    BOOST_TEST((site.core(2).change_status(change).phase == change_phase::pending));
    site.simulation.log().faults().down = false;
    BOOST_TEST(site.within(4s, [&] { return site.accepted(2, change); }));
}

// Guards the rate limit of append calls: at most 7 calls of a node in any window of one second.
BOOST_AUTO_TEST_CASE(append_calls_are_rate_limited) {
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

// Guards against a record that the log never accepts: the calls with it fail, and the records that were due
// with it would wait forever.
BOOST_AUTO_TEST_CASE(record_that_the_log_never_accepts_stops_no_other) {
    append_queue queue(core_limits{}, 1);
    const fleet_state state;
    for (int number = 0; number < 40; ++number) {
        const auto id = fmt::format("change-{}", number);
        queue.add({.change_id = id, .body = zone_in_record{.zone = number == 17 ? "bad" : "good"}});
    }
    const auto bad = encode_record({.change_id = "change-17", .body = zone_in_record{.zone = "bad"}});
    std::set<std::string> appended;
    log_offset next = 1;
    for (auto now = boot_time(1s); now < boot_time(11s); now += 10ms) {
        const auto call = queue.next_call(now, state);
        if (!call) {
            continue;
        }
        if (std::find(call->records.begin(), call->records.end(), bad) != call->records.end()) {
            queue.on_failed(now, call->batch);
            continue;
        }
        appended.insert(call->records.begin(), call->records.end());
        queue.on_appended(call->batch, next);
        next += static_cast<log_offset>(call->records.size());
    }
    BOOST_TEST(appended.size() == 39);
}

// Guards against retrying a record whose outcome the fold may no longer remember.
BOOST_AUTO_TEST_CASE(records_with_unknown_outcome_are_not_retried) {
    append_queue queue(core_limits{}, 1);
    fleet_state state;
    queue.add({.change_id = "x", .body = zone_in_record{.zone = "a"}});
    const auto call = queue.next_call(boot_time(1s), state);
    BOOST_REQUIRE(call);
    queue.on_failed(boot_time(2s), call->batch);
    for (log_offset offset = 1; offset < 16000; ++offset) {
        state.skip(offset);
    }
    queue.remove_settled(state);
    BOOST_TEST(!queue.next_call(boot_time(60s), state));
    BOOST_TEST(queue.unknown_outcomes() == 1);
}

// Guards the start of a node when the log no longer holds the first record: it must use the snapshot and the
// records after it.
BOOST_AUTO_TEST_CASE(start_from_a_truncated_log) {
    core_simulation_options options;
    options.log.retained_records = 400;
    core_test_site site(options);
    site.start(3);
    site.apply(1, zone_out_record{.zone = "a"});
    grow_log(site, 1500);
    BOOST_REQUIRE(site.simulation.log().read(1, 1)->first > 500);
    // Without peer seeds the log is the only source.
    site.simulation.start(core_test_site::place(4), [](core_options& own) { own.peer_seeds.clear(); });
    BOOST_REQUIRE(site.within(5s, [&] { return site.core(4).incarnation() != 0; }));
    BOOST_TEST(site.core(4).state()->zone_is_out("a"));
}

// Guards the start of a site whose nodes are all replaced after the log was truncated.
BOOST_AUTO_TEST_CASE(all_nodes_replaced_with_a_truncated_log) {
    core_simulation_options options;
    options.log.retained_records = 400;
    core_test_site site(options);
    site.start(3);
    site.apply(1, zone_out_record{.zone = "a"});
    grow_log(site, 1500);
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

// Guards a node that was paused while the log was truncated beyond its fold: it must catch up and register
// again.
BOOST_AUTO_TEST_CASE(paused_node_resumes_behind_a_truncated_log) {
    core_simulation_options options;
    options.log.retained_records = 300;
    core_test_site site(options);
    site.start(3);
    site.simulation.pause("n3");
    site.apply(1, zone_out_record{.zone = "a"});
    grow_log(site, 1500);
    site.simulation.resume("n3");
    BOOST_TEST(site.within(10s, [&] { return site.core(3).state()->zone_is_out("a"); }));
    BOOST_TEST(site.within(20s, [&] { return site.core(3).incarnation() != 0; }));
}

// Guards against concurrent snapshot writers: their interleaved parts must yield one consistent state.
BOOST_AUTO_TEST_CASE(concurrent_snapshot_writers_yield_one_state) {
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
    // The truncated log starts at the offset of the first snapshot, so a new replica has to start from a
    // snapshot.
    log_read truncated{
        .first = 3, .head = read.head, .entries = {read.entries.begin() + 2, read.entries.end()}};
    replica new_replica{core_limits{}};
    new_replica.add_log_read(truncated);
    BOOST_TEST(snapshot_codec::encode(*new_replica.state()) == snapshot_codec::encode(*log.state()));
}

// Guards against an incomplete or damaged snapshot: it is ignored, and without a valid one there is no state.
BOOST_AUTO_TEST_CASE(incomplete_and_damaged_snapshots_are_ignored) {
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
    replica new_replica{core_limits{}};
    new_replica.add_log_read(truncated);
    BOOST_TEST(new_replica.next_offset() == 1);
    BOOST_TEST(new_replica.damaged_snapshots() == 1);
    log_read rest{.first = 2, .head = read.head, .entries = {}};
    for (const auto& part : parts) {
        rest.entries.push_back({rest.head++, encoded(part)});
    }
    new_replica.add_log_read(rest);
    BOOST_TEST(new_replica.state()->zone_is_out("a"));
    BOOST_TEST(new_replica.next_offset() == rest.head);
}

// Guards against an older state of a peer replacing a newer fold.
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

// Guards against folding across a gap in an answer, and against a record of a newer format stopping the fold.
BOOST_AUTO_TEST_CASE(gaps_are_read_again_and_undecodable_records_are_skipped) {
    replica log{core_limits{}};
    log.add_log_read({.first = 1, .head = 4, .entries = {{1, "{\"format\":9}"}, {3, "x"}}});
    BOOST_TEST(log.next_offset() == 2);
    BOOST_TEST(log.gaps() == 1);
    BOOST_TEST(log.read_offset() == 2);
    BOOST_TEST(log.undecodable().size() == 1);
    BOOST_TEST(log.state()->undecodable_records() == 1);
}

// Guards against accepting more than one of several concurrent edits of the same configuration version.
BOOST_AUTO_TEST_CASE(only_one_of_concurrent_edits_is_accepted) {
    core_test_site site;
    site.start(3);
    const auto version = site.newest_state()->config_version();
    std::vector<std::string> changes;
    for (int number = 1; number <= 3; ++number) {
        changes.push_back(site.submit(number, config_record{.expected_version = version,
                                                            .config = std::make_shared<const fleet_config>(
                                                                core_test_site::config(10 + number))}));
    }
    site.run(5s);
    int accepted_edits = 0;
    for (int number = 1; number <= 3; ++number) {
        const auto status = site.core(number).change_status(changes[static_cast<std::size_t>(number - 1)]);
        BOOST_TEST((status.phase == change_phase::accepted || status.phase == change_phase::rejected));
        if (status.phase == change_phase::accepted) {
            ++accepted_edits;
            BOOST_TEST(site.newest_state()->config().find_team("t")->upper_limit == 10 + number);
        } else {
            BOOST_TEST(status.reason.starts_with("conflict"));
        }
    }
    BOOST_TEST(accepted_edits == 1);
}
