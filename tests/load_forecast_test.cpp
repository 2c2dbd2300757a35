#include "policy/load_forecast.hpp"

#include <boost/test/unit_test.hpp>

// Forecast of the CPU in use when a VM that is ordered now arrives.

using namespace hornbeamrail;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds vm_arrival{2000};

/// A job of two steps of ten tasks with one core each.
std::vector<forecast_step> two_steps(milliseconds duration) {
    const forecast_step first{.task_millicores = 1000, .duration = duration, .waiting = 10};
    auto second = first;
    second.after = {0};
    return {first, second};
}

} // namespace

// At the beginning of a surge of long jobs most of their work lies beyond the arrival of the VMs. Guards
// against ordering VMs for all of it at once.
BOOST_AUTO_TEST_CASE(long_jobs_need_only_the_work_before_the_vms_arrive) {
    BOOST_TEST(work_within(two_steps(milliseconds(4000)), vm_arrival) == 20'000); // of 80,000
    BOOST_TEST(work_within(two_steps(milliseconds(1500)), vm_arrival) == 20'000); // of 30,000
    BOOST_TEST(work_within(two_steps(milliseconds(500)), vm_arrival) == 10'000);  // all of it
}

// Guards against keeping VMs for tasks that will have ended, and against releasing those of the next step.
BOOST_AUTO_TEST_CASE(running_tasks_count_until_their_expected_end) {
    auto steps = two_steps(milliseconds(3000));
    steps[0].running = 10;
    steps[0].waiting = 0;
    steps[0].elapsed = milliseconds(500);
    BOOST_TEST(forecast_millicores(steps, vm_arrival) == 10'000); // the first step still runs
    steps[0].elapsed = milliseconds(1500);
    BOOST_TEST(forecast_millicores(steps, vm_arrival) == 10'000); // the second step has replaced it
    steps.pop_back();
    BOOST_TEST(forecast_millicores(steps, vm_arrival) == 0);
}

// Guards against a backlog that is forgotten, or counted in full although most of it ends before.
BOOST_AUTO_TEST_CASE(waiting_tasks_count_as_far_as_they_still_run) {
    const std::vector<forecast_step> long_tasks{
        {.task_millicores = 1000, .duration = milliseconds(5000), .waiting = 8}};
    const std::vector<forecast_step> short_tasks{
        {.task_millicores = 1000, .duration = milliseconds(500), .waiting = 8}};
    BOOST_TEST(forecast_millicores(long_tasks, vm_arrival) == 8000);
    BOOST_TEST(forecast_millicores(short_tasks, vm_arrival) == 2000);
}

// A step of which some tasks wait for a worker lasts as long as these.
BOOST_AUTO_TEST_CASE(next_step_waits_for_the_last_task) {
    auto steps = two_steps(milliseconds(1000));
    steps[0] = {.task_millicores = 1000,
                .duration = milliseconds(1000),
                .running = 9,
                .waiting = 1,
                .elapsed = milliseconds(900)};
    // The second step runs from 1000 ms to 2000 ms.
    BOOST_TEST(forecast_millicores(steps, milliseconds(1500)) > 10'000);
    BOOST_TEST(forecast_millicores(steps, milliseconds(2500)) < 1'000);
}
