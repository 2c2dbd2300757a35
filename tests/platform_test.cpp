#include "platform/caller_calls.hpp"
#include "platform/documents.hpp"
#include "platform/log_calls.hpp"
#include "platform/settings.hpp"
#include "platform/vm_calls.hpp"
#include "platform/worker_calls.hpp"

#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;
using std::chrono::milliseconds;

namespace {

http_call_result answered(int status, std::string body) {
    return {.status = call_status::answered, .response = {.status = status, .body = std::move(body)}};
}

template <class Result>
bool fails(Result make) {
    error failure;
    return !value_or_error(make, failure).has_value();
}

template <class Result>
auto value(Result make) {
    error failure;
    auto decoded = value_or_error(make, failure);
    BOOST_REQUIRE_MESSAGE(decoded.has_value(), failure.message);
    return std::move(*decoded);
}

} // namespace

BOOST_AUTO_TEST_CASE(settings_are_translated) {
    const auto settings = value([] {
        return platform::parse_settings(
            R"({"Node":"n1","Zone":"z","Listen":{"Front":"10.0.0.1:80","Ready":"10.0.0.1:81"},
            "platform":{"Address":"10.0.0.9:90","parts":2,"RecordBytes":1000,"CallBytes":5000},"Limits":{"CpuShare":0.5,"Cores":2,"MaxFds":4100},
            "Bounds":{"HoldMaxMs":5000,"status_s":60},"Cloud":{"Address":"10.0.0.8:91"},"Unknown":1,"Ip":"10.0.0.1","PortRange":[7000,7015]})");
    });
    BOOST_TEST(settings.node_id == "n1");
    BOOST_TEST(settings.limits.max_lease_duration.count() == 5000);
    BOOST_TEST(settings.limits.final_state_retention.count() == 60000);
    BOOST_TEST(settings.limits.job_partitions == 2);
    BOOST_TEST(settings.limits.appends.max_record_bytes == 1000U);
    BOOST_TEST(settings.limits.appends.max_append_bytes == 5000U);
    BOOST_TEST(settings.cores == 1.0);
    BOOST_TEST(settings.vm_address.has_value());
    BOOST_TEST(to_string(settings.admin_address.value()) == "10.0.0.1:7001");
    BOOST_TEST(fails([] { return platform::parse_settings("{}"); }));
    BOOST_TEST(fails([] { return platform::parse_settings("no JSON"); }));
}

BOOST_AUTO_TEST_CASE(invalid_worker_entries_are_rejected) {
    const std::string good =
        R"({"Service":"s","Address":"10.0.0.1:8","Zone":"z","State":"ready","Capacity":{"Cpu":1},"Labels":["a","r1"],"born":7})";
    const auto entry = value([&] { return platform::decode_worker("w", good); });
    BOOST_TEST(entry.instance_started_ms == 7);
    BOOST_TEST(entry.rack() == "r1");
    for (const auto* text :
         {"", "\x01\x02", "[]", "{}",
          R"({"Service":1,"Address":"10.0.0.1:8","Zone":"z","State":"ready","Capacity":{},"Labels":[]})",
          R"({"Service":"s","Address":"host","Zone":"z","State":"ready","Capacity":{},"Labels":[]})",
          R"({"Service":"s","Address":"10.0.0.1:8","Zone":"z","State":"odd","Capacity":{},"Labels":[]})"}) {
        BOOST_TEST(fails([text] { return platform::decode_worker("w", text); }));
    }
}

BOOST_AUTO_TEST_CASE(jobs_are_translated_with_their_defaults) {
    const auto job = value([] {
        return platform::decode_job(
            "5c0e7a21d94b36f8",
            R"({"Spec":"x","Steps":[{"Count":4,"Cpu":500,"AntiAffinity":2},{"Count":1,"After":[0],"Gang":true}]})");
    });
    BOOST_TEST(job.steps.size() == 2);
    BOOST_TEST(job.steps[0].max_per_worker == 2);
    BOOST_TEST(job.steps[1].gang);
    BOOST_TEST(fails([] { return platform::decode_job("5c0e7a21d94b36f8", R"({"Spec":"x"})"); }));
    BOOST_TEST(fails([] { return platform::decode_job("id", R"({"Steps":[{"Count":1}]})"); }));
}

// Guards against a job that is accepted and then exhausts the memory of the scheduler, or that no scheduler
// can read.
BOOST_AUTO_TEST_CASE(jobs_beyond_the_limits_are_rejected_at_submission) {
    for (const auto* steps :
         {R"([{"Count":2000000000}])", R"([{"Count":4294967297}])", R"([{"Count":1,"Cpu":-5}])",
          R"([{"Count":1,"EstimateMs":9000000000000000000}])", R"([{"Count":1,"After":[4294967296]}])"}) {
        const auto body = std::string(R"({"Spec":"s","Steps":)") + steps + "}";
        BOOST_TEST(fails([&] { return platform::decode_job("00000000000000ab", body); }), steps);
    }
    BOOST_TEST(fails([] {
        return platform::decode_job("00000000000000ab",
                                    R"({"Steps":[{"Count":1}],"RunCount":4294967297,"IntervalMs":1})");
    }));
}

BOOST_AUTO_TEST_CASE(task_ids_round_trip) {
    const task_id task{.job = "5c0e7a21d94b36f8", .occurrence = 2, .step = 1, .index = 17};
    BOOST_TEST(platform::encode_task(task) == "5c0e7a21d94b36f8.2.1.17");
    BOOST_TEST((platform::decode_task("5c0e7a21d94b36f8.2.1.17") == task));
    for (const auto* text : {"", "a", "a.1.2", "a.1.2.x", ".1.2.3", "a.1.2.3.4"}) {
        BOOST_TEST(!platform::decode_task(text).has_value());
    }
}

BOOST_AUTO_TEST_CASE(append_outcomes_are_decoded) {
    using enum append_outcome;
    BOOST_TEST((platform::decode_append(answered(200, R"({"Offset":3,"End":5})")).outcome == appended));
    BOOST_TEST(platform::decode_append(answered(200, R"({"Offset":3,"End":5})")).end == 5);
    BOOST_TEST((platform::decode_append(answered(412, R"({"End":5})")).outcome == wrong_end));
    BOOST_TEST((platform::decode_append(answered(409, R"({"Reason":"fenced"})")).outcome == fenced));
    BOOST_TEST(
        (platform::decode_append(answered(409, R"({"Reason":"seq","Seq":4})")).outcome == wrong_sequence));
    BOOST_TEST((platform::decode_append(answered(503, "")).outcome == refused));
    BOOST_TEST((platform::decode_append(answered(507, "")).outcome == refused));
    BOOST_TEST((platform::decode_append(answered(429, "")).outcome == refused));
    // No repetition of such a call succeeds.
    for (const int status : {400, 403, 404, 413}) {
        BOOST_TEST((platform::decode_append(answered(status, "")).outcome == rejected));
    }
    // Only a status that excludes an effect counts as refused.
    for (const int status : {408, 500, 502, 504, 599}) {
        BOOST_TEST((platform::decode_append(answered(status, "")).outcome == unknown));
    }
    BOOST_TEST((platform::decode_append({.status = call_status::unknown}).outcome == unknown));
    BOOST_TEST((platform::decode_append({.status = call_status::unsent}).outcome == refused));
}

BOOST_AUTO_TEST_CASE(records_round_trip) {
    const append_call call{.topic = log_topic::jobs,
                           .records = {{.key = "k1", .value = "value"}, {.key = "k2"}},
                           .expected_end = 4};
    const auto request = platform::encode_append(call);
    BOOST_TEST(request.target.ends_with("&At=4"));
    const std::string header("\0\0\0\0\0\0\0\6\0\0\0\0\0\0\0\0", 16);
    const auto read = platform::decode_read({.from = 4}, answered(200, header + request.body));
    BOOST_REQUIRE(read.records.size() == 2);
    BOOST_TEST(read.records[0].key == "k1");
    BOOST_TEST(read.records[0].value == "value");
    BOOST_TEST(read.records[1].value.empty());
    BOOST_TEST(read.records[1].offset == 5);
    BOOST_TEST(read.next == 6);
    BOOST_TEST(
        (platform::decode_read({}, answered(410, R"({"First":9})")).outcome == read_outcome_kind::expired));
    BOOST_TEST((platform::decode_read({}, answered(503, "")).outcome == read_outcome_kind::unavailable));
    // A truncated body yields the complete records.
    const auto truncated =
        platform::decode_read({.from = 4}, answered(200, header + request.body.substr(0, 14)));
    BOOST_TEST(truncated.records.size() == 1);
}

BOOST_AUTO_TEST_CASE(newest_records_are_decoded) {
    const auto page = platform::decode_newest(
        answered(200, R"({"items":[{"Key":"a","Value":"aGk=","Offset":2}],"HasMore":true,"End":9})"));
    BOOST_TEST(page.done);
    BOOST_TEST(page.more);
    BOOST_TEST(page.end == 9);
    BOOST_TEST(page.records.at(0).value == "hi");
    // An empty value would read as the deletion of the key.
    const auto malformed = platform::decode_newest(answered(
        200,
        R"({"items":[{"Key":"a","Value":"??"},{"Key":"b"},{"Value":"aGk="},7,{"Key":"c","Value":"aGk="}]})"));
    BOOST_REQUIRE(malformed.records.size() == 1);
    BOOST_TEST(malformed.records[0].key == "c");
    BOOST_TEST(!platform::decode_newest(answered(200, "{}")).done);
    BOOST_TEST(!platform::decode_newest(answered(503, "")).done);
}

BOOST_AUTO_TEST_CASE(order_outcomes_are_decoded) {
    const auto outcome = [](int status, std::string body) {
        return platform::decode_order(answered(status, std::move(body))).outcome;
    };
    BOOST_TEST((outcome(200, R"({"ClockMs":4})") == order_outcome::done));
    BOOST_TEST((outcome(409, R"({"Reason":"fence"})") == order_outcome::fenced));
    BOOST_TEST((outcome(409, R"({"Reason":"old"})") == order_outcome::stale_run));
    BOOST_TEST((outcome(409, R"({"Reason":"late"})") == order_outcome::late));
    BOOST_TEST((outcome(409, R"({"Reason":"room"})") == order_outcome::no_room));
    BOOST_TEST((outcome(409, R"({"Reason":"ticket"})") == order_outcome::no_ticket));
    BOOST_TEST((outcome(421, "") == order_outcome::other_worker));
    BOOST_TEST((outcome(503, "") == order_outcome::unhealthy));
    BOOST_TEST((outcome(400, "") == order_outcome::rejected));
    BOOST_TEST((platform::decode_order({.status = call_status::unknown}).outcome == order_outcome::unknown));
    BOOST_TEST((platform::decode_order({.status = call_status::unsent}).outcome == order_outcome::unsent));
}

BOOST_AUTO_TEST_CASE(hold_reports_list_running_and_ended_tasks) {
    const auto report = platform::decode_hold(answered(
        200,
        R"({"ClockMs":9,"born":5,"Running":[["a.0.1.2",3,"p",100,41],["bad",1]],"Ended":[[58,"a.0.1.9",1,"done",""],[59,"a.0.1.8",1,"odd",""]]})"));
    BOOST_TEST((report.outcome == order_outcome::done));
    BOOST_TEST(report.instance_started_ms == 5);
    BOOST_REQUIRE(report.running.size() == 1);
    BOOST_TEST(report.running[0].run == 3);
    BOOST_TEST(report.running[0].latest_load == 41);
    BOOST_REQUIRE(report.ended.size() == 1);
    BOOST_TEST((report.ended[0].outcome == task_end::done));
    BOOST_TEST(!report.complete);
    // The ends after an unreadable one wait, because an acknowledgement covers all earlier ends.
    const auto gap = platform::decode_hold(
        answered(200, R"({"Running":[],"Ended":[[1,"bad",1,"done",""],[2,"a.0.1.9",1,"done",""]]})"));
    BOOST_TEST(gap.ended.empty());
    BOOST_TEST(!gap.complete);
    BOOST_TEST(platform::decode_hold(answered(200, R"({"Running":[],"Ended":[]})")).complete);
    BOOST_TEST((platform::decode_hold(answered(200, R"({"ClockMs":9})")).outcome == order_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(vm_orders_contain_the_fencing_token) {
    const auto request = platform::encode_maintenance({.vm = "m", .wave = 2, .holder = "n", .fence = 7});
    BOOST_TEST(*request.headers.find("X-Fencing-Token") == "7");
    BOOST_TEST(
        (platform::decode_vm_order(answered(409, R"({"Reason":"wave"})")) == vm_order_outcome::wrong_wave));
    BOOST_TEST((platform::decode_vm_order(answered(409, R"({"Reason":"busy"})")) == vm_order_outcome::busy));
    BOOST_TEST((platform::decode_vm_order(answered(429, "")) == vm_order_outcome::overloaded));
    const auto page = platform::decode_list_vms(answered(
        200, R"({"Machines":[{"Machine":"m","Pool":"p","State":"upkeep","Id":"i"}],"NextToken":"t"})"));
    BOOST_TEST(page.next_page == "t");
    BOOST_TEST((page.vms.at(0).condition == vm_condition::maintenance));
}

BOOST_AUTO_TEST_CASE(operators_documents_are_translated) {
    const auto config = value([] {
        return platform::decode_config(
            R"({"Version":3,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","Service":"s",
            "Attempts":2,"Stretch":1.6,"TargetDurationMs":600,"Advice":{"DecideMs":5,"EachMs":1,"ValidMs":3000}}],
            "Services":[{"Name":"s","RejectsOverload":true}],"Tenants":[{"Name":"t","ApiKeys":["k"],"Cap":{"Cpu":5}}]})");
    });
    BOOST_TEST(config.queue_of("h", "/a/id")->name == "r");
    BOOST_TEST(config.queue_of("h", "/b/id") == nullptr);
    BOOST_TEST(config.account_of_key("k")->upper_limit.cpu_millicores == 5);
    BOOST_TEST(config.account_of_key("other") == nullptr);
    BOOST_TEST(config.queues[0].advice->ticket_lifetime.count() == 3000);
    BOOST_TEST(fails([] { return platform::decode_config(R"({"Version":"x"})"); }));
    BOOST_TEST((platform::parse_operator_key("evacuate/z1").kind == platform::operator_key::zone_out));
    BOOST_TEST((platform::parse_operator_key("odd").kind == platform::operator_key::other));
}

BOOST_AUTO_TEST_CASE(caller_calls_are_translated) {
    http_request request{.method = "POST", .target = "/a/5c0e7a21d94b36f8?x=1"};
    request.headers.add("Host", "h.example:80");
    request.headers.add("X-Api-Key", "k");
    request.headers.add("X-Deadline-Ms", "3000");
    const auto call = platform::decode_caller(request);
    BOOST_TEST((call.method == platform::caller_method::submit));
    BOOST_TEST(call.host == "h.example");
    BOOST_TEST(call.path == "/a/5c0e7a21d94b36f8");
    BOOST_TEST(call.caller_timeout->count() == 3000);
}

// Guards against a load of the log that never ends: a page ended with a key that another program wrote, and
// the request for the next page was not valid or named another key.
BOOST_AUTO_TEST_CASE(any_key_may_end_a_page_of_newest_records) {
    const auto target_after = [](const std::string& key) {
        return platform::encode_newest({.topic = log_topic::workers, .after_key = key}).target;
    };
    BOOST_TEST(target_after("9f3c-1.x/y").ends_with("&After=9f3c-1.x/y"));
    BOOST_TEST(target_after("a b&c\n%\xff").ends_with("&After=a%20b%26c%0A%25%FF"));
}
