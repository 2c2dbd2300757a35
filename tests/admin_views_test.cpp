#include "fakes/sample_records.hpp"
#include "node/admin_views.hpp"
#include "protocol/digest.hpp"

#include <boost/json/serialize.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>

using namespace hornbeamrail;

namespace {

constexpr node_health healthy{.registered = true, .fresh = true, .log_answers = true};

/// A fleet state with the sample fleet configuration, three nodes and four VMs in each service's pool, two
/// per zone.
class views_fixture {
public:
    views_fixture() {
        this->add(config_record{.config = std::make_shared<const fleet_config>(sample_fleet_config())});
        log_offset first = 0;
        for (std::uint16_t port = 1; port <= 3; ++port) {
            const auto node = this->add(node_register_record{.node_id = "n" + std::to_string(port),
                                                             .peer_address = {"127.0.0.1", port},
                                                             .zone = "a",
                                                             .region = "r"});
            if (first != 0) { // the fold counts the first node of a site immediately
                this->add(node_counted_record{.incarnation = node});
            }
            this->nodes.push_back(node);
            first = first == 0 ? node : first;
        }
        const auto epoch = this->add(planner_claim_record{.incarnation = first, .expected_epoch = 0});
        vm_add_record vms{.epoch = epoch, .vms = {}};
        for (int index = 0; index < 8; ++index) {
            vms.vms.push_back({.id = "vm" + std::to_string(index),
                               .address = {"10.0.0.1", 1},
                               .zone = index % 2 == 0 ? "a" : "b",
                               .rack = "r1",
                               .pool = index < 4 ? "p1" : "p2"});
        }
        this->add(std::move(vms));
    }

    log_offset add(record_body body) {
        const auto outcome = this->state.apply(this->state.next_offset(),
                                               {.change_id = random_uuid(), .body = std::move(body)});
        BOOST_REQUIRE_MESSAGE(outcome.accepted, outcome.reason);
        return outcome.offset;
    }

    [[nodiscard]] std::vector<std::string> alarms(const node_health& health = healthy) const {
        std::vector<std::string> names;
        for (const auto& alarm : alarms_document({this->state, this->platform, this->demand}, health, {})) {
            BOOST_TEST(!alarm.at("remedy").as_string().empty());
            names.push_back(std::string(alarm.at("alarm").as_string()) + " " +
                            std::string(alarm.at("subject").as_string()));
        }
        return names;
    }

    [[nodiscard]] bool raises(const std::string& alarm, const node_health& health = healthy) const {
        const auto names = this->alarms(health);
        return std::find(names.begin(), names.end(), alarm) != names.end();
    }

    fleet_state state;
    vm_list platform;
    fleet_demand demand;
    std::vector<log_offset> nodes;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admin_views_suite, views_fixture)

// False alarms of a healthy fleet would hide the real ones.
BOOST_AUTO_TEST_CASE(healthy_fleet_raises_no_alarm) {
    BOOST_TEST(this->alarms().empty());
}

BOOST_AUTO_TEST_CASE(each_condition_raises_its_alarm) {
    BOOST_TEST(this->raises("not_registered this node", {.log_answers = true}));
    BOOST_TEST(this->raises("not_fresh this node", {.registered = true, .log_answers = true}));
    BOOST_TEST(this->raises("log_out log service", {.registered = true, .fresh = true}));
    this->add(zone_out_record{.zone = "b"});
    BOOST_TEST(this->raises("zone_out b"));
    BOOST_TEST(this->raises("pool_short p1")); // min_vms 4, two of four serve
    this->add(node_reclaim_record{.incarnation = this->nodes.back()});
    BOOST_TEST(this->raises("majority_at_risk r"));
    this->state.skip(this->state.next_offset());
    BOOST_TEST(this->raises("records_set_aside log"));
    this->demand.nodes = {
        {.incarnation = 1,
         .services = {
             {.service = "front", .team = "public", .running = 8, .queued = 40, .oldest_wait = {}}}}};
    BOOST_TEST(this->raises("service_full front"));
    BOOST_TEST(this->raises("team_at_limit public"));
}

// Operators use these counts for planning. A VM that is out, leaving or in a zone that is out is not serving.
BOOST_AUTO_TEST_CASE(pools_count_serving_vms) {
    const auto serving = [this] {
        const auto document = fleet_document({this->state, this->platform, this->demand}, {});
        return document.at("pools").at(0).at("serving").to_number<int>();
    };
    BOOST_TEST(serving() == 4);
    this->add(vm_out_record{.vm = "vm0"});
    BOOST_TEST(serving() == 3);
    this->add(zone_out_record{.zone = "b"});
    BOOST_TEST(serving() == 1);
    this->platform.version = 1;
    this->platform.vms = {
        {.vm = {.id = "vm2", .address = {}, .zone = {}, .rack = {}, .pool = {}}, .state = vm_state::leaving}};
    BOOST_TEST(serving() == 0);
}

// Guards against documents of the admin port that disclose a key or its hash.
BOOST_AUTO_TEST_CASE(no_document_holds_a_key_hash) {
    const auto hash = sha256_hex("secret");
    this->add(key_grant_record{.key_id = "k1", .key_hash = hash, .team = "large"});
    const fleet_view view{this->state, this->platform, this->demand};
    const auto keys = keys_document(this->state);
    BOOST_TEST(boost::json::serialize(keys) == R"([{"key_id":"k1","team":"large","revoked":false}])");
    for (const auto& text :
         {boost::json::serialize(fleet_document(view, {})),
          boost::json::serialize(config_document(this->state)), boost::json::serialize(keys)}) {
        BOOST_TEST(text.find(hash) == std::string::npos);
    }
}

// The commands diff and apply need the configuration exactly as it was published.
BOOST_AUTO_TEST_CASE(configuration_is_returned_unchanged) {
    const auto document = config_document(this->state);
    BOOST_TEST(document.at("version").as_int64() == this->state.config_version());
    BOOST_TEST(boost::json::serialize(document.at("config")) ==
               boost::json::serialize(to_json(sample_fleet_config())));
}

BOOST_AUTO_TEST_CASE(drill_counts_the_vms_of_a_zone) {
    const auto drill = drill_document({this->state, this->platform, this->demand}, "b");
    BOOST_TEST(drill.at("vms").to_number<int>() == 4);
    BOOST_TEST(drill.at("defined").as_bool());
    BOOST_TEST(!drill_document({this->state, this->platform, this->demand}, "none").at("defined").as_bool());
}

BOOST_AUTO_TEST_SUITE_END()
