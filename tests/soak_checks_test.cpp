#include "soak_checks.hpp"

#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;
using namespace hornbeamrail::test;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t tasks_of_job = 2;

boot_time at(int milliseconds_after_start) {
    return boot_time(milliseconds(milliseconds_after_start));
}

observed_run run_of(const std::string& job, std::int32_t index, int begun, int ended) {
    return {.worker = "w",
            .task = {.job = job, .index = index},
            .run = 1,
            .begun = at(begun),
            .ended = at(ended),
            .how = task_end::done,
            .acknowledged = true};
}

/// One job that was accepted and completed, and one that was refused.
soak_outcome kept_outcome() {
    return {.jobs = {{"a", {.accepted = true}}, {"r", {.refused = true}}},
            .states = {{"a", shown_state::completed}},
            .history = {run_of("a", 0, 0, 100), run_of("a", 1, 50, 150)},
            .tasks_of_job = tasks_of_job};
}

void check_one_broken(const soak_outcome& seen, std::string_view text) {
    const auto found = broken_promises(seen);
    BOOST_REQUIRE_EQUAL(found.size(), 1U);
    BOOST_TEST(found.front().find(text) != std::string::npos, found.front());
}

} // namespace

BOOST_AUTO_TEST_CASE(kept_promises_are_not_reported) {
    BOOST_TEST(broken_promises(kept_outcome()).empty());
}

BOOST_AUTO_TEST_CASE(a_refused_job_that_ran_is_noticed) {
    auto seen = kept_outcome();
    seen.history.push_back(run_of("r", 0, 200, 300));
    check_one_broken(seen, "r was refused as not run");
}

BOOST_AUTO_TEST_CASE(an_accepted_job_that_nobody_knows_is_noticed) {
    auto seen = kept_outcome();
    seen.states.clear();
    check_one_broken(seen, "a was accepted and did not end");
}

BOOST_AUTO_TEST_CASE(an_accepted_job_that_does_not_end_is_noticed) {
    auto seen = kept_outcome();
    seen.states["a"] = shown_state::unfinished;
    check_one_broken(seen, "a was accepted and did not end");
}

BOOST_AUTO_TEST_CASE(an_accepted_job_that_fails_is_noticed) {
    auto seen = kept_outcome();
    seen.states["a"] = shown_state::failed;
    check_one_broken(seen, "ended as failed");
}

BOOST_AUTO_TEST_CASE(a_completed_job_without_all_its_tasks_is_noticed) {
    auto seen = kept_outcome();
    seen.history.pop_back();
    check_one_broken(seen, "completed with 1 tasks done");
}

BOOST_AUTO_TEST_CASE(two_runs_of_a_task_at_once_are_noticed) {
    auto seen = kept_outcome();
    seen.history.front().acknowledged = false;
    seen.history.push_back(run_of("a", 0, 60, 160));
    check_one_broken(seen, "at the same time");
}

BOOST_AUTO_TEST_CASE(a_run_after_an_acknowledged_end_is_noticed) {
    auto seen = kept_outcome();
    seen.history.push_back(run_of("a", 0, 300, 400));
    check_one_broken(seen, "after its end");
}

BOOST_AUTO_TEST_CASE(a_cancelled_job_may_end_either_way) {
    auto seen = kept_outcome();
    seen.jobs["a"].cancelled = true;
    seen.states["a"] = shown_state::cancelled;
    seen.history.pop_back();
    BOOST_TEST(broken_promises(seen).empty());
}
