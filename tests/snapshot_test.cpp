#include "state/snapshot.hpp"

#include "protocol/digest.hpp"
#include "state/byte_codec.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace hornbeamrail;

namespace {

record_body any_record(log_offset offset) {
    const auto text = [] {
        return "x" + std::to_string(*rc::gen::inRange(0, 6));
    };
    const auto node = [offset] {
        return *rc::gen::inRange<log_offset>(1, offset + 1);
    };
    switch (*rc::gen::inRange(0, 12)) {
    case 0: {
        fleet_config config{.site = text()};
        config.zones.push_back({.name = text(), .region = "r"});
        config.pools = {{.name = "p", .vms = 3}};
        config.teams = {{.name = "t", .share = 100.0 / 3, .upper_limit = 50, .services = {"s"}}};
        return config_record{.config = std::make_shared<const fleet_config>(config)};
    }
    case 1:
        return key_grant_record{.key_id = text(), .key_hash = sha256_hex(text()), .team = "t"};
    case 2:
        return key_revoke_record{.key_id = text()};
    case 3:
        return zone_out_record{.zone = text()};
    case 4:
    case 5:
        return node_register_record{
            .node_id = text(), .peer_address = {"10.0.0.1", 80}, .zone = "z", .region = "r"};
    case 6:
        return node_reclaim_record{.incarnation = node(), .vm_gone = *rc::gen::arbitrary<bool>()};
    case 7:
        return node_free_record{.incarnation = node()};
    case 8:
        return grant_delta_record{.incarnation = node(), .sequence = 1, .deltas = {{"t", 7}}};
    case 9:
        return planner_claim_record{.incarnation = node()};
    case 10:
        return task_submit_record{.incarnation = node(),
                                  .task = {.id = text(), .team = "t", .service = "s", .key_id = text()}};
    default:
        return vm_add_record{.epoch = *rc::gen::inRange<log_offset>(0, 3),
                             .vms = {{.id = text(), .address = {"10.0.0.2", 81}, .zone = "z", .pool = "p"}}};
    }
}

fleet_state any_state() {
    fleet_state state;
    const auto records = *rc::gen::inRange(0, 60);
    for (log_offset offset = 1; offset <= records; ++offset) {
        state.apply(offset, {.change_id = random_uuid(), .body = any_record(offset)});
    }
    return state;
}

fleet_state decoded(const std::string& bytes) {
    error failure;
    auto state = value_or_error([&] { return snapshot_codec::decode(bytes); }, failure);
    RC_ASSERT(state.has_value());
    return *state;
}

} // namespace

// Guards against a node that starts from a snapshot diverging from the others on the following records.
BOOST_AUTO_TEST_CASE(state_is_equal_after_a_round_trip) {
    BOOST_TEST(rc::check("round trip", [] {
        auto state = any_state();
        const auto bytes = snapshot_codec::encode(state);
        auto copy = decoded(bytes);
        RC_ASSERT(snapshot_codec::encode(copy) == bytes);
        for (int count = 0; count < 10; ++count) {
            const auto offset = state.next_offset();
            const log_record record{.change_id = random_uuid(), .body = any_record(offset)};
            const auto outcome = state.apply(offset, record);
            const auto other = copy.apply(offset, record);
            RC_ASSERT(outcome.accepted == other.accepted);
            RC_ASSERT(outcome.reason == other.reason);
        }
        RC_ASSERT(snapshot_codec::encode(copy) == snapshot_codec::encode(state));
    }));
}

// Guards the table of changes: after a round trip it evicts the same entries at the same offsets.
BOOST_AUTO_TEST_CASE(change_table_keeps_its_segments) {
    fleet_state state;
    for (log_offset offset = 1; offset <= 17000; ++offset) {
        state.apply(offset, {.change_id = "c" + std::to_string(offset), .body = zone_in_record{.zone = "z"}});
    }
    auto copy = decoded(snapshot_codec::encode(state));
    for (log_offset offset = 17001; offset <= 18000; ++offset) {
        const log_record record{.change_id = "c" + std::to_string(offset),
                                .body = zone_in_record{.zone = "z"}};
        state.apply(offset, record);
        copy.apply(offset, record);
    }
    BOOST_TEST(!state.outcome_of("c1").has_value());
    BOOST_TEST((snapshot_codec::encode(copy) == snapshot_codec::encode(state)));
}

// Guards against corruption: every changed or missing byte is detected.
BOOST_AUTO_TEST_CASE(damaged_snapshots_are_rejected) {
    BOOST_TEST(rc::check("damage", [] {
        auto bytes = snapshot_codec::encode(any_state());
        const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
        if (*rc::gen::arbitrary<bool>()) {
            bytes[position] = static_cast<char>(bytes[position] ^ (1 << *rc::gen::inRange(0, 8)));
        } else {
            bytes.resize(position);
        }
        error failure;
        RC_ASSERT(!value_or_error([&] { return snapshot_codec::decode(bytes); }, failure).has_value());
    }));
}

// Guards the reader against malformed bytes with a valid checksum, as a faulty writer could produce.
BOOST_AUTO_TEST_CASE(reader_handles_arbitrary_bytes) {
    BOOST_TEST(rc::check("any bytes", [](const std::string& bytes) {
        byte_reader reader(bytes);
        while (!reader.failed() && !reader.at_end()) {
            reader.text();
            reader.count();
            reader.integer();
        }
    }));
}

// Guards the assembly of parts that arrive in any order, repeatedly, and interleaved with another snapshot.
BOOST_AUTO_TEST_CASE(parts_in_any_order) {
    BOOST_TEST(rc::check("parts", [] {
        const auto state = any_state();
        const auto bytes = snapshot_codec::encode(state);
        auto parts =
            split_snapshot("one", state.next_offset(), bytes, *rc::gen::inRange<std::size_t>(20, 200));
        const auto count = parts.size();
        auto other = split_snapshot("two", state.next_offset(), bytes, 100);
        other.pop_back();
        parts.insert(parts.end(), other.begin(), other.end());
        parts.push_back(parts[0]);
        std::shuffle(parts.begin(), parts.end(), std::mt19937(*rc::gen::arbitrary<unsigned>()));
        snapshot_assembler assembler;
        int complete = 0;
        for (const auto& part : parts) {
            const auto result = assembler.add(part);
            if (result) {
                ++complete;
                RC_ASSERT(snapshot_codec::encode(*result) == bytes);
            }
        }
        // A snapshot with a single part is completed again when the part is repeated.
        RC_ASSERT(complete == (count == 1 ? 2 : 1));
        RC_ASSERT(assembler.damaged_snapshots() == 0);
    }));
}

// A task of a revoked key must not start after its node restarted from a snapshot, so the snapshot holds the
// keys of the tasks.
BOOST_AUTO_TEST_CASE(snapshot_holds_the_key_of_a_task) {
    fleet_state state;
    state.apply(1, {.change_id = "n",
                    .body = node_register_record{
                        .node_id = "n", .peer_address = {"10.0.0.1", 80}, .zone = "z", .region = "r"}});
    state.apply(
        2, {.change_id = "t",
            .body = task_submit_record{
                .incarnation = 1, .task = {.id = "task", .team = "t", .service = "s", .key_id = "key"}}});
    BOOST_REQUIRE(state.tasks().contains("task"));
    error failure;
    const auto copy =
        value_or_error([&] { return snapshot_codec::decode(snapshot_codec::encode(state)); }, failure);
    BOOST_REQUIRE(copy.has_value());
    BOOST_TEST(copy->tasks().at("task").spec.key_id == "key");
}
