#include "hornbeamrail/node_settings.hpp"
#include "hornbeamrail/request_id.hpp"
#include "protocol/digest.hpp"
#include "protocol/log_record.hpp"
#include "protocol/task_units.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>

#include <cstdlib>

using namespace hornbeamrail;

namespace {

/// Makes RapidCheck runs reproducible. RC_PARAMS in the environment takes precedence.
struct fixed_seed {
    fixed_seed() { setenv("RC_PARAMS", "seed=20240601", 0); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(fixed_seed);

// Guards at-most-once: two spellings of one id would be treated as two requests.
BOOST_AUTO_TEST_CASE(request_ids_have_one_spelling) {
    const auto id = parse_request_id("e42-token_-9");
    BOOST_REQUIRE(id.has_value());
    BOOST_TEST(id->epoch == 42);
    BOOST_TEST(id->token == "token_-9");
    for (const auto* text :
         {"", "e", "42-abcdefgh", "e-abcdefgh", "e042-abcdefgh", "e+42-abcdefgh", "e-1-abcdefgh",
          "e42abcdefgh", "e42-", "e42-short", "e42-has space", "e42-abc\xc3\xa4xyz", "E42-abcdefgh",
          " e42-abcdefgh", "e42-abcdefgh ", "e9223372036854775808-abcdefgh"}) {
        BOOST_TEST(!parse_request_id(text).has_value(), text);
    }
    BOOST_TEST(parse_request_id("e1-" + std::string(64, 'a')).has_value());
    BOOST_TEST(!parse_request_id("e1-" + std::string(65, 'a')).has_value());
}

// Guards rolling upgrades: nodes of different versions must agree on the partition of an id.
BOOST_AUTO_TEST_CASE(claim_partitions_do_not_change) {
    BOOST_TEST(claim_partition_of("e1-abcdefgh") == 27);
    BOOST_TEST(claim_partition_of("e2-abcdefgh") == 4);
}

// Guards the distribution of claims over the nodes when callers number their requests.
BOOST_AUTO_TEST_CASE(numbered_ids_spread_over_the_partitions) {
    std::array<int, claim_partition_count> ids{};
    constexpr int per_partition = 100;
    for (int index = 0; index < per_partition * claim_partition_count; ++index) {
        ++ids.at(static_cast<std::size_t>(claim_partition_of("e1-request" + std::to_string(index))));
    }
    const auto [fewest, most] = std::minmax_element(ids.begin(), ids.end());
    BOOST_TEST(*fewest > per_partition / 2);
    BOOST_TEST(*most < per_partition * 2);
}

// Guards stored key hashes: they must be standard SHA-256.
BOOST_AUTO_TEST_CASE(sha256_matches_the_published_vectors) {
    BOOST_TEST(sha256_hex("") == "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
    BOOST_TEST(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(random_values_have_the_expected_format) {
    BOOST_TEST(random_hex(32).size() == 64U);
    BOOST_TEST(random_hex(32) != random_hex(32));
    const auto uuid = random_uuid();
    BOOST_TEST(uuid.size() == 36U);
    BOOST_TEST(uuid[14] == '4');
    BOOST_TEST(random_uuid() != uuid);
}

// Guards record data in JSON: arbitrary bytes must be decoded unchanged.
BOOST_AUTO_TEST_CASE(base64_round_trips_any_bytes) {
    BOOST_TEST(base64_encode("any carnal pleas") == "YW55IGNhcm5hbCBwbGVhcw==");
    BOOST_TEST(rc::check(
        "base64", [](const std::string& bytes) { RC_ASSERT(base64_decode(base64_encode(bytes)) == bytes); }));
}

BOOST_AUTO_TEST_CASE(malformed_base64_decodes_to_nothing) {
    for (const auto* text : {"a", "abc", "ab!d", "=abc", "ab=c", "====", "a===", "abcd====", "YQ==YQ=="}) {
        BOOST_TEST(base64_decode(text).empty(), text);
    }
}

// Guards against host names, which are not resolved.
BOOST_AUTO_TEST_CASE(endpoints_are_numeric_addresses) {
    BOOST_CHECK((parse_endpoint("127.0.0.1:8080") == endpoint{"127.0.0.1", 8080}));
    BOOST_CHECK((parse_endpoint("[::1]:0") == endpoint{"::1", 0}));
    for (const auto* text :
         {"", ":", "127.0.0.1", "127.0.0.1:", "localhost:80", "127.0.0.1:-1", "127.0.0.1:65536", "::1:80",
          "[::1]", "[::1]80", "127.0.0:80", "127.0.0.1:8o", " 127.0.0.1:80"}) {
        BOOST_TEST(!parse_endpoint(text).has_value(), text);
    }
    for (const auto* text : {"10.1.2.3:1", "[fe80::1]:65535"}) {
        BOOST_TEST(to_string(*parse_endpoint(text)) == text);
    }
}

BOOST_AUTO_TEST_CASE(task_phases_have_stable_names) {
    for (const auto phase : {task_phase::queued, task_phase::placed, task_phase::finished, task_phase::failed,
                             task_phase::cancelled, task_phase::unknown}) {
        BOOST_CHECK(parse_task_phase(to_string(phase)) == phase);
    }
    BOOST_CHECK(!parse_task_phase("done"));
}

// Guards against a task that counts fewer units than its scarcest resource requires, and against accepting a
// task that does not fit on any VM.
BOOST_AUTO_TEST_CASE(task_units_follow_the_scarcest_resource) {
    const fleet_config config{.pools = {{.name = "p", .accelerators_per_vm = 4}},
                              .services = {{.name = "s", .pool = "p"}, {.name = "poolless", .pool = "none"}}};
    const auto units = [&](std::int64_t cores, std::int64_t memory_mb, std::int64_t accelerators,
                           const std::string& service = "s") {
        return task_units(
                   config,
                   {.service = service, .cores = cores, .memory_mb = memory_mb, .accelerators = accelerators})
            .value_or(0);
    };
    BOOST_TEST(units(1, 1, 0) == 1);
    BOOST_TEST(units(5, 1, 0) == 2);
    BOOST_TEST(units(1, 3 * 8192, 0) == 3);
    BOOST_TEST(units(1, 1, 3) == 6);
    BOOST_TEST(units(32, 65536, 4) == 8);
    BOOST_TEST(units(33, 1, 0) == 0);
    BOOST_TEST(units(1, 65537, 0) == 0);
    BOOST_TEST(units(1, 1, 5) == 0);
    BOOST_TEST(units(1, 1, 0, "poolless") == 0);
    BOOST_TEST(units(1, 1, 0, "none") == 0);
}
