#include "fakes/sample_records.hpp"
#include "protocol/log_record.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;

namespace {

error failure_of(std::string_view bytes) {
    error failure;
    BOOST_TEST(!value_or_error([&] { return decode_record(bytes); }, failure).has_value());
    return failure;
}

} // namespace

// Guards against a field that the encoder or the decoder omits: every field of a sample differs from its
// default.
BOOST_DATA_TEST_CASE(every_kind_round_trips, boost::unit_test::data::xrange(record_kind_count), kind) {
    std::mt19937_64 generator(7);
    const auto record = sample_record(kind, generator);
    const auto bytes = encode_record(record);
    const auto decoded = decode_record(bytes).value();
    BOOST_TEST(decoded.body.index() == kind);
    BOOST_TEST(decoded.change_id == record.change_id);
    BOOST_TEST(encode_record(decoded) == bytes);
}

// Guards against a field that the encoder omits, which a comparison of encoded records cannot detect.
BOOST_AUTO_TEST_CASE(decoded_fields_equal_the_written_ones) {
    std::mt19937_64 generator(7);
    const auto round_trip = [&]<class Body>(const Body& body) {
        return std::get<Body>(decode_record(encode_record({.change_id = "c", .body = body})).value().body);
    };
    const node_register_record node{"n", {"::1", 9}, "z", "r", 9};
    BOOST_TEST(round_trip(node).ended_before == 9);
    BOOST_CHECK(round_trip(node).peer_address == node.peer_address);
    BOOST_TEST(round_trip(node_reclaim_record{.incarnation = 3, .vm_gone = true}).vm_gone);
    const auto deltas =
        round_trip(grant_delta_record{.incarnation = 3, .sequence = 4, .deltas = {{"t", -5}}}).deltas;
    BOOST_REQUIRE(deltas.size() == 1);
    BOOST_TEST(deltas[0].units == -5);
    const auto task = round_trip(task_submit_record{.incarnation = 3,
                                                    .task = {.id = "i",
                                                             .team = "t",
                                                             .service = "s",
                                                             .run_time = std::chrono::milliseconds(5),
                                                             .idempotent = false,
                                                             .urgent = true}})
                          .task;
    BOOST_TEST((!task.idempotent && task.urgent && task.run_time.count() == 5));
    const auto state = round_trip(task_state_record{
        .task_id = "i", .fencing_token = 8, .phase = task_phase::cancelled, .vm = "v", .detail = "d"});
    BOOST_CHECK(state.phase == task_phase::cancelled);
    BOOST_TEST((state.fencing_token == 8 && state.vm == "v" && state.detail == "d"));
    const auto done = round_trip(maintenance_done_record{
        .epoch = 2, .vm = "v", .at = std::chrono::sys_seconds(std::chrono::seconds(99))});
    BOOST_TEST(done.at.time_since_epoch().count() == 99);
}

// Guards mixed versions during a rollout: the previous format is accepted, a newer one is rejected.
BOOST_AUTO_TEST_CASE(previous_format_is_read_and_next_is_refused) {
    std::mt19937_64 generator(7);
    auto document = boost::json::parse(encode_record(sample_record(1, generator))).as_object();
    document["format"] = log_record_format - 1;
    BOOST_TEST(decode_record(boost::json::serialize(document)).has_value());
    document["format"] = log_record_format + 1;
    BOOST_CHECK(failure_of(boost::json::serialize(document)).code == errc::parse_failed);
}

// Guards rollouts: a newer version may add optional fields without changing the format.
BOOST_AUTO_TEST_CASE(unknown_fields_of_a_body_are_ignored) {
    const auto record = decode_record(
        R"({"format":1,"change_id":"c","kind":"zone_out","body":{"zone":"a","reason":"flood"}})");
    BOOST_TEST(record.has_value());
}

// Guards the fold against records that are truncated, malformed or of an unknown kind.
BOOST_AUTO_TEST_CASE(malformed_records_are_rejected_with_a_remedy) {
    for (
        const auto* bytes :
        {"", "null", "[]", "{}", R"({"format":1,"change_id":"c","kind":"zone_out"})",
         R"({"format":1,"change_id":"c","kind":"zone_gone","body":{"zone":"a"}})",
         R"({"format":1,"change_id":"c","kind":"zone_out","body":{"zone":1}})",
         R"({"format":1,"change_id":"","kind":"zone_out","body":{"zone":"a"}})",
         R"({"format":1,"change_id":"c","kind":"config","body":{"expected_version":0,"config":{}}})",
         R"({"format":1,"change_id":"c","kind":"partitions_release","body":{"incarnation":1,"partitions":[64]}})",
         R"({"format":1,"change_id":"c","kind":"zone_out","body":{"zone":"a"})"}) {
        const auto failure = failure_of(bytes);
        BOOST_CHECK(failure.code == errc::parse_failed);
        BOOST_TEST(!failure.remedy.empty());
    }
    BOOST_CHECK(failure_of(std::string(5 * 1024 * 1024, ' ')).code == errc::too_large);
}
