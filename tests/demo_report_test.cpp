#include "cli/demo_report.hpp"

#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;
using namespace hornbeamrail::cli;
using std::chrono::milliseconds;

namespace {

boot_time at(int milliseconds_since_start) {
    return boot_time(milliseconds(milliseconds_since_start));
}

/// A run that passes every check. Each test adds one violation.
struct record_fixture {
    record_fixture() {
        this->record.phases = {{"only", at(0), at(10000)}};
        this->record.zone = "b";
        this->record.revoked_team = "t";
        this->record.upper_limits = {{"t", 2}};
        this->record.node_stop = milliseconds(5);
        this->add("one", caller_view::answered, 100);
        this->add("two", caller_view::answered, 150);
        this->add("refused", caller_view::refused, -1);
    }

    /// @param started time of the single start in milliseconds, or -1 for no start
    demo_request& add(const std::string& token, caller_view view, int started) {
        if (started >= 0) {
            this->record.starts.push_back({token, "t", "a", at(started), at(started + 100)});
        }
        this->record.requests.push_back({.token = token, .team = "t", .view = view, .error = {}});
        this->record.requests.back().idempotent = false;
        return this->record.requests.back();
    }

    demo_record record;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(demo_report_suite, record_fixture)

// A correct run must pass, and the report must handle an empty phase.
BOOST_AUTO_TEST_CASE(correct_run_passes) {
    const auto verdict = check_guarantees(this->record);
    BOOST_TEST(verdict.passed());
    BOOST_TEST(report_text(this->record, verdict).ends_with("result: every check holds\n"));
    const auto report = report_json(this->record, verdict);
    BOOST_TEST(report.at("teams").at(0).at("peak_running").as_int64() == 2);
    BOOST_TEST(report.at("phases").at(0).at("answered").as_int64() == 2);
}

// The following cases check that a run that violates a guarantee fails.

BOOST_AUTO_TEST_CASE(cut_request_fails) {
    this->add("cut", caller_view::cut, 300);
    BOOST_TEST(check_guarantees(this->record).cut == 1);
    BOOST_TEST(!check_guarantees(this->record).passed());
}

BOOST_AUTO_TEST_CASE(second_start_of_a_non_idempotent_request_fails) {
    this->record.starts.push_back({"one", "t", "a", at(400), at(410)});
    BOOST_TEST(check_guarantees(this->record).doubled == 1);
    this->record.requests[0].idempotent = true;
    BOOST_TEST(check_guarantees(this->record).passed());
}

BOOST_AUTO_TEST_CASE(wrong_answer_fails) {
    this->record.requests[0].wrong_answer = true;
    BOOST_TEST(check_guarantees(this->record).wrong == 1);
    BOOST_TEST(!check_guarantees(this->record).passed());
}

BOOST_AUTO_TEST_CASE(answer_without_a_start_fails) {
    this->add("invented", caller_view::answered, -1);
    BOOST_TEST(check_guarantees(this->record).wrong == 1);
}

BOOST_AUTO_TEST_CASE(refusal_as_not_run_after_a_start_fails) {
    this->add("falsely_refused", caller_view::refused, 300);
    BOOST_TEST(check_guarantees(this->record).false_not_run == 1);
    BOOST_TEST(!check_guarantees(this->record).passed());
}

BOOST_AUTO_TEST_CASE(more_running_than_the_limit_fails) {
    this->add("third", caller_view::answered, 199);
    BOOST_TEST(check_guarantees(this->record).over_limit == 1);
    BOOST_TEST(!check_guarantees(this->record).passed());
}

BOOST_AUTO_TEST_CASE(late_start_in_the_zone_fails) {
    this->record.zone_out_accepted = at(1000);
    this->record.zone_in_sent = at(9000);
    this->add("kept", caller_view::answered, 4000);
    this->add("after", caller_view::answered, 9500);
    this->record.starts[2].zone = "b";
    this->record.starts[3].zone = "b";
    BOOST_TEST(check_guarantees(this->record).passed());
    BOOST_TEST(check_guarantees(this->record).last_start_in_zone->count() == 3000);
    this->record.starts[2].started = at(4001);
    BOOST_TEST(!check_guarantees(this->record).zone_bound_met);
}

BOOST_AUTO_TEST_CASE(late_start_under_the_revoked_key_fails) {
    this->record.revoke_accepted = at(1000);
    this->add("late", caller_view::answered, 6001);
    BOOST_TEST(!check_guarantees(this->record).key_bound_met);
    this->record.starts.back().started = at(6000);
    BOOST_TEST(check_guarantees(this->record).passed());
}

BOOST_AUTO_TEST_CASE(stop_that_does_not_end_fails) {
    this->record.node_stop.reset();
    BOOST_TEST(!check_guarantees(this->record).passed());
}

BOOST_AUTO_TEST_SUITE_END()
