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

/// @return a long-running task that ended at 10 s and did not run again on a worker with room, and no fault
soak_outcome make_outcome_with_overdue_task() {
    soak_outcome outcome{
        .jobs = {{"l", {.accepted = true, .cancelled = true, .long_running = true}}},
        .states = {{"l", reported_state::cancelled}},
        .history = {make_run("l", 0, 0, 10000)},
        .long_running = {{"l", {.steps = {{.count = 1, .max_per_worker = 1}}, .accepted_at = at(0)}}}};
    outcome.history.front().outcome = task_end::failed;
    for (int time = 8000; time <= 17000; time += 500) {
        outcome.samples.push_back(
            {.at = at(time),
             .workers = {{.id = "w", .state = "m0 in z, ready", .takes_tasks = true, .slots = 2}}});
    }
    return outcome;
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

BOOST_AUTO_TEST_CASE(shown_job_that_was_never_submitted_is_reported) {
    auto outcome = make_correct_outcome();
    outcome.states_of_unsubmitted = {{"u", reported_state::unknown}, {"v", reported_state::cancelled}};
    check_one_violation(outcome, "v is reported although it was never submitted");
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

// Guards against a check that misses a task that does not run, or reports it without the facts of the case.
BOOST_AUTO_TEST_CASE(overdue_long_running_task_is_reported_once) {
    auto outcome = make_outcome_with_overdue_task();
    outcome.disturbances = {{.from = at(1000), .until = at(2000), .text = "node 1 killed"}};
    check_one_violation(outcome,
                        "l.0.0.0 does not run at 16000 ms although there is room; accepted at 0 ms, "
                        "last run: 1 on w, 0 to 10000 ms, failed; workers: w (m0 in z, ready, 0 of 2 "
                        "in use); faults: 1000 ms: node 1 killed");
}

// Guards against a check that misses an accepted job without any run.
BOOST_AUTO_TEST_CASE(long_running_task_that_never_ran_is_reported) {
    auto outcome = make_outcome_with_overdue_task();
    outcome.history.clear();
    check_one_violation(outcome, "last run: none");
}

// Guards against a violation for a task that runs again in time.
BOOST_AUTO_TEST_CASE(long_running_task_that_runs_again_in_time_is_correct) {
    auto outcome = make_outcome_with_overdue_task();
    auto again = make_run("l", 0, 15900, 0);
    again.run = 2;
    again.ended_at = boot_time::max();
    outcome.history.push_back(again);
    BOOST_TEST(find_violations(outcome).empty());
    BOOST_TEST(count_judgements(outcome) == outcome.samples.size());
}

// Guards against judging a moment that is not calm yet.
BOOST_AUTO_TEST_CASE(task_is_not_judged_within_the_calm_time_of_a_fault) {
    auto outcome = make_outcome_with_overdue_task();
    outcome.disturbances = {{.from = at(9000), .until = at(10500)}};
    BOOST_TEST(find_violations(outcome).empty());
    outcome.disturbances.front().until = at(9900);
    check_one_violation(outcome, "does not run at 17000 ms");
}

// Guards against a violation for a task that its caller has cancelled.
BOOST_AUTO_TEST_CASE(cancelled_long_running_task_need_not_run) {
    auto outcome = make_outcome_with_overdue_task();
    outcome.long_running["l"].cancelled_at = at(15000);
    BOOST_TEST(find_violations(outcome).empty());
}

// Guards against a violation for a task that found no worker: unusable, full, or at the limit of its step.
BOOST_AUTO_TEST_CASE(long_running_task_without_room_is_not_overdue) {
    auto unusable = make_outcome_with_overdue_task();
    unusable.samples.back().workers.front().takes_tasks = false;
    unusable.samples[unusable.samples.size() - 4].workers.clear();
    BOOST_TEST(find_violations(unusable).empty());

    auto full = make_outcome_with_overdue_task();
    full.history.push_back(make_run("a", 0, 0, 20000));
    full.history.push_back(make_run("a", 1, 0, 20000));
    BOOST_TEST(find_violations(full).empty());

    auto limited = make_outcome_with_overdue_task();
    limited.long_running["l"].steps.front().count = 2;
    limited.history.push_back(make_run("l", 1, 0, 20000));
    BOOST_TEST(find_violations(limited).empty());
    limited.long_running["l"].steps.front().max_per_worker = 2;
    check_one_violation(limited, "l.0.0.0 does not run");
}

// Guards against a batch job that fails although no task of it used up its attempts.
BOOST_AUTO_TEST_CASE(job_may_fail_when_a_task_used_its_attempts) {
    auto outcome = make_correct_outcome();
    outcome.attempts = 2;
    outcome.states["a"] = reported_state::failed;
    outcome.history[0].outcome = task_end::failed;
    check_one_violation(outcome, "ended as failed");
    auto second = make_run("a", 0, 200, 300);
    second.run = 2;
    second.outcome = task_end::failed;
    outcome.history.push_back(second);
    BOOST_TEST(find_violations(outcome).empty());
    outcome.jobs["a"].long_running = true;
    check_one_violation(outcome, "ended as failed");
}
