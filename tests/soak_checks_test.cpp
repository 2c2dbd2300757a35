#include "soak_checks.hpp"

#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;
using namespace hornbeamrail::test;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t tasks_per_job = 2;

boot_time at(int milliseconds_after_start) {
    return boot_time(milliseconds(milliseconds_after_start));
}

observed_run make_run(const std::string& job, std::int32_t index, int started, int ended) {
    return {.worker = "w",
            .task = {.job = job, .index = index},
            .run = 1,
            .started_at = at(started),
            .ended_at = at(ended),
            .outcome = task_end::done,
            .acknowledged = true};
}

/// @return one job that was accepted and completed, and one that was refused
soak_outcome make_correct_outcome() {
    return {.jobs = {{"a", {.accepted = true}}, {"r", {.refused = true}}},
            .states = {{"a", reported_state::completed}},
            .history = {make_run("a", 0, 0, 100), make_run("a", 1, 50, 150)},
            .tasks_per_job = tasks_per_job};
}

void check_one_violation(const soak_outcome& outcome, std::string_view text) {
    const auto violations = find_violations(outcome);
    BOOST_REQUIRE_EQUAL(violations.size(), 1U);
    BOOST_TEST(violations.front().find(text) != std::string::npos, violations.front());
}

} // namespace

BOOST_AUTO_TEST_CASE(correct_outcome_has_no_violations) {
    BOOST_TEST(find_violations(make_correct_outcome()).empty());
}

BOOST_AUTO_TEST_CASE(refused_job_that_ran_is_reported) {
    auto outcome = make_correct_outcome();
    outcome.history.push_back(make_run("r", 0, 200, 300));
    check_one_violation(outcome, "r was refused as not run");
}

BOOST_AUTO_TEST_CASE(accepted_job_that_is_unknown_is_reported) {
    auto outcome = make_correct_outcome();
    outcome.states.clear();
    check_one_violation(outcome, "a was accepted but did not end");
}

BOOST_AUTO_TEST_CASE(accepted_job_that_does_not_end_is_reported) {
    auto outcome = make_correct_outcome();
    outcome.states["a"] = reported_state::unfinished;
    check_one_violation(outcome, "a was accepted but did not end");
}

BOOST_AUTO_TEST_CASE(accepted_job_that_fails_is_reported) {
    auto outcome = make_correct_outcome();
    outcome.states["a"] = reported_state::failed;
    check_one_violation(outcome, "ended as failed");
}

BOOST_AUTO_TEST_CASE(completed_job_with_missing_tasks_is_reported) {
    auto outcome = make_correct_outcome();
    outcome.history.pop_back();
    check_one_violation(outcome, "a was reported as completed with 1 tasks done");
}

BOOST_AUTO_TEST_CASE(overlapping_runs_of_a_task_are_reported) {
    auto outcome = make_correct_outcome();
    outcome.history.front().acknowledged = false;
    outcome.history.push_back(make_run("a", 0, 60, 160));
    check_one_violation(outcome, "at the same time");
}

BOOST_AUTO_TEST_CASE(run_after_an_acknowledged_end_is_reported) {
    auto outcome = make_correct_outcome();
    outcome.history.push_back(make_run("a", 0, 300, 400));
    check_one_violation(outcome, "after its end");
}

BOOST_AUTO_TEST_CASE(cancelled_job_may_be_incomplete) {
    auto outcome = make_correct_outcome();
    outcome.jobs["a"].cancelled = true;
    outcome.states["a"] = reported_state::cancelled;
    outcome.history.pop_back();
    BOOST_TEST(find_violations(outcome).empty());
}
