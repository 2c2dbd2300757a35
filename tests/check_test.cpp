#include "cli/check.hpp"
#include "cli/command.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <ostream>
#include <string>

using namespace hornbeamrail;
using namespace hornbeamrail::cli;
namespace data = boost::unit_test::data;

namespace {

std::string config_text(const std::string& name) {
    return read_file(std::string(HORNBEAMRAIL_CONFIG_DIR) + "/" + name, 1 << 20).value();
}

/// A change that makes a valid document invalid, and the finding that it must cause.
struct broken_case {
    const char* file;
    const char* pointer; ///< JSON pointer of the changed value
    const char* value;   ///< replacement as JSON; if empty, the value is removed
    const char* path;
    const char* remedy; ///< substring of the remedy
};

std::ostream& operator<<(std::ostream& stream, const broken_case& entry) {
    return stream << entry.file << " " << entry.pointer << " = " << entry.value;
}

constexpr auto fleet = "lakeshore.json";
constexpr auto node = "lakeshore-node-1.json";

const std::array broken_cases{
    // Types, ranges and missing or unknown fields.
    broken_case{fleet, "/site", "", "$.site", "add it"},
    broken_case{fleet, "/site", "7", "$.site", "in quotes"},
    broken_case{fleet, "/format", "2", "$.format", "from 1 to 1"},
    broken_case{fleet, "/zones", "{}", "$.zones", "[...]"},
    broken_case{fleet, "/zones", "[]", "$.zones", "at least one zone"},
    broken_case{fleet, "/zones/1", "true", "$.zones[1]", "{...}"},
    broken_case{fleet, "/zonnes", "[]", "$.zonnes", "did you mean \"zones\""},
    broken_case{fleet, "/pools/0/vms", "1.5", "$.pools[0].vms", "whole number"},
    broken_case{fleet, "/pools/0/vms", "-1", "$.pools[0].vms", "from 0"},
    broken_case{fleet, "/pools/5/spare", "\"yes\"", "$.pools[5].spare", "true or false"},
    broken_case{fleet, "/services/0/longest_run_ms", "30001", "$.services[0].longest_run_ms", "to 30000"},
    broken_case{fleet, "/teams/0/share", "101", "$.teams[0].share", "from 0 to 100"},
    broken_case{fleet, "/teams/0/upper_limit", "", "$.teams[0].upper_limit", "whole number"},
    broken_case{fleet, "/teams/0/services/1", "null", "$.teams[0].services[1]", "in quotes"},
    broken_case{fleet, "/maintenance/max_parallel_part", "0", "$.maintenance.max_parallel_part", "from"},
    broken_case{fleet, "/services/1/availability", "0.1", "$.services[1].availability", "{...}"},
    // Names and references.
    broken_case{fleet, "/teams/1/name", "\"harbor-games\"", "$.teams[1].name", "rename"},
    broken_case{fleet, "/zones/1/name", "\"lakeshore-a\"", "$.zones[1].name", "rename"},
    broken_case{fleet, "/services/2/name", "\"reorder\"", "$.services[3].name", "rename"},
    broken_case{fleet, "/pools/1/name", "\"spare-vms\"", "$.pools[5].name", "rename"},
    broken_case{fleet, "/services/3/pool", "\"none\"", "$.services[3].pool", "$.pools"},
    broken_case{fleet, "/services/3/pool", "\"proof-vms\"", "$.services[3].pool", "pool of its own"},
    broken_case{fleet, "/services/3/pool", "\"spare-vms\"", "$.pools[5].spare", "pool of its own"},
    broken_case{fleet, "/pools/5/spare", "false", "$.pools[5].name", "\"spare\": true"},
    broken_case{fleet, "/pools/0/min_vms", "10", "$.pools[0].min_vms", "lower min_vms"},
    broken_case{fleet, "/services/4/depends_on/0", "\"none\"", "$.services[4].depends_on[0]", "$.services"},
    broken_case{fleet, "/teams/4/services/0", "\"none\"", "$.teams[4].services[0]", "$.services"},
    // Dependencies, budgets and shares.
    broken_case{fleet, "/services/0/depends_on", "[\"ship-label\"]", "$.services[0].depends_on",
                "remove one"},
    broken_case{fleet, "/services/0/depends_on", "[\"deck-catalog\"]", "$.services[0].depends_on",
                "remove one"},
    broken_case{fleet, "/services/1/availability/max_failed_part", "0.0001",
                "$.services[1].availability.max_failed_part", "raise this budget"},
    broken_case{fleet, "/services/0/availability/max_failed_part", "0",
                "$.services[0].availability.max_failed_part", "greater than 0"},
    broken_case{fleet, "/services/4/availability/max_failed_part", "1",
                "$.services[4].availability.max_failed_part", "less than 1"},
    broken_case{fleet, "/teams/5/share", "7.5", "$.teams", "at most 100"},
    // Open services.
    broken_case{"commission.json", "/services/4/open_team", "", "$.services[4].open_team", "bounded team"},
    broken_case{"commission.json", "/services/4/open_team", "\"none\"", "$.services[4].open_team",
                "bounded team"},
    broken_case{"commission.json", "/services/4/open_team", "\"water-operations\"", "$.services[4].open_team",
                "team's services"},
    broken_case{"commission.json", "/services/4/open", "false", "$.services[4].open_team", "remove it"},
    // Node settings.
    broken_case{node, "/zone", "", "$.zone", "add it"},
    broken_case{node, "/caller_address", "\"localhost:80\"", "$.caller_address", "127.0.0.1:8080"},
    broken_case{node, "/peer_address", "\"127.0.0.1:70000\"", "$.peer_address", "127.0.0.1:8080"},
    broken_case{node, "/peer_seeds/2", "\"::1:80\"", "$.peer_seeds[2]", "[::1]:8080"},
    broken_case{node, "/admin_address", "\"127.0.0.1:8101\"", "$.admin_address", "of its own"},
    broken_case{node, "/worker_threads", "0", "$.worker_threads", "from 1 to 64"},
    broken_case{node, "/peer_tls", "{\"certificate\":\"c\",\"private_key\":\"k\"}", "$.peer_tls.ca",
                "add it"},
    broken_case{node, "/worker_thread", "2", "$.worker_thread", "did you mean \"worker_threads\""},
};

std::string broken_text(const broken_case& entry) {
    auto document = boost::json::parse(config_text(entry.file));
    const std::string pointer = entry.pointer;
    const auto slash = pointer.rfind('/');
    const auto last = pointer.substr(slash + 1);
    auto& parent = slash == 0 ? document : document.at_pointer(pointer.substr(0, slash));
    if (*entry.value == '\0') {
        parent.as_object().erase(last);
    } else if (parent.is_array()) {
        parent.as_array().at(std::stoul(last)) = boost::json::parse(entry.value);
    } else {
        parent.as_object()[last] = boost::json::parse(entry.value);
    }
    return boost::json::serialize(document);
}

const std::array valid_files{"lakeshore.json",        "commission.json",       "lakeshore-node-1.json",
                             "lakeshore-node-2.json", "lakeshore-node-3.json", "lakeshore-node-4.json",
                             "lakeshore-node-5.json", "lakeshore-node-6.json", "lakeshore-node-7.json"};

} // namespace

// The shipped deployments must be valid: operators apply them without changes.
BOOST_DATA_TEST_CASE(shipped_files_are_clean, data::make(valid_files), file) {
    const auto report = check_document(config_text(file));
    BOOST_TEST(report.findings.empty());
    BOOST_CHECK(report.kind == (std::string_view(file).find("node") == std::string_view::npos
                                    ? document_kind::fleet_configuration
                                    : document_kind::node_settings));
}

// Each rule must report its violation at the right JSON path, with a matching remedy.
BOOST_DATA_TEST_CASE(each_rule_reports_path_and_remedy, data::make(broken_cases), entry) {
    const auto report = check_document(broken_text(entry));
    const auto found =
        std::find_if(report.findings.begin(), report.findings.end(), [&](const diagnostic& finding) {
            return finding.path == entry.path && finding.remedy.find(entry.remedy) != std::string::npos;
        });
    std::string all;
    for (const auto& finding : report.findings) {
        all += finding.path + ": " + finding.message + " (" + finding.remedy + ")\n";
    }
    BOOST_TEST((found != report.findings.end()), "findings:\n" << all);
}

// A syntax error in a long file must be reported with its position.
BOOST_AUTO_TEST_CASE(syntax_errors_name_line_and_column) {
    const auto report = check_document("{\n  \"site\": \"s\",,\n}");
    BOOST_REQUIRE(report.findings.size() == 1);
    BOOST_TEST(report.findings[0].message.starts_with("not JSON at line 2, column 15"));
    BOOST_TEST(!check_document("{\"site\":").findings.empty());
    BOOST_TEST(!check_document("{} {}").findings.empty());
    BOOST_TEST(!check_document("").findings.empty());
}

// A file of another program must not pass as a fleet configuration or as node settings.
BOOST_AUTO_TEST_CASE(other_documents_are_refused) {
    for (const auto* text : {"{}", "[]", "3", "{\"site\":\"s\",\"node_id\":\"n\"}"}) {
        const auto report = check_document(text);
        BOOST_CHECK(report.kind == document_kind::unrecognized);
        BOOST_REQUIRE(report.findings.size() == 1);
        BOOST_TEST(report.findings[0].path == "$");
    }
}

// One pass must report every fault.
BOOST_AUTO_TEST_CASE(all_faults_are_reported_at_once) {
    auto document = boost::json::parse(config_text(fleet));
    document.at_pointer("/teams/0").as_object()["share"] = "many";
    document.at_pointer("/services/4").as_object()["pool"] = "none";
    document.at_pointer("/zones/2").as_object()["colour"] = "red";
    BOOST_TEST(check_document(boost::json::serialize(document)).findings.size() >= 3);
}

// Nodes check every fleet configuration that they fold, so the check must neither take long nor recurse
// deeply.
BOOST_AUTO_TEST_CASE(large_tables_are_checked_quickly_or_refused) {
    auto document = boost::json::parse(config_text(fleet)).as_object();
    const auto resize = [&](int count) {
        boost::json::array pools;
        boost::json::array services;
        for (int index = 0; index < count; ++index) {
            const auto number = std::to_string(index);
            pools.push_back({{"name", "p" + number}, {"vms", 1}});
            services.push_back({{"name", "s" + number},
                                {"pool", "p" + number},
                                {"depends_on", {"s" + std::to_string((index + 1) % count)}}});
        }
        document["pools"] = std::move(pools);
        document["services"] = std::move(services);
        document["teams"] = boost::json::array{};
        return check_document(boost::json::serialize(document)).findings;
    };
    const auto start = std::chrono::steady_clock::now();
    const auto cycle = resize(1000);
    BOOST_TEST((std::chrono::steady_clock::now() - start < std::chrono::seconds(2)));
    BOOST_REQUIRE(cycle.size() == 1);
    BOOST_TEST(cycle[0].message.starts_with("dependency cycle: s0 -> s1 -> "));
    BOOST_TEST(resize(1001).at(0).remedy == "keep it at 1000 entries or fewer");
}
