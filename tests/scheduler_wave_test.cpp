#include "scheduler_site.hpp"

#include <boost/test/unit_test.hpp>

// Long-running tasks beside maintenance waves: planned work takes no task from work that has no other room.

using namespace hornbeamrail;
using namespace hornbeamrail::test;

namespace {

/// Limit from the end of a run until a long-running task is at work again.
constexpr milliseconds restart_limit{6000};

/// @return a job of which four tasks fill a VM
job_spec large_lasting_job(int tasks, int max_unavailable) {
    auto job = long_running_job(tasks, max_unavailable);
    job.steps.front().need.cpu_millicores = 8000;
    job.steps.front().max_per_worker = 0;
    return job;
}

} // namespace

// Guards against a wave that stops a task to empty a VM although no other worker has room for it: the task
// waits for the VM, and the VM for the task.
BOOST_AUTO_TEST_CASE(wave_stops_no_task_without_room_elsewhere) {
    scheduler_site site(1);
    site.add_vms(2);
    site.take_over();
    site.run(milliseconds(500));
    const auto id = site.submit(large_lasting_job(6, 1));
    site.run(milliseconds(2000));
    BOOST_REQUIRE(site.running_tasks(id) == 6);
    site.request_wave(wave_over_pool(1, milliseconds(10000), 1));
    site.run(milliseconds(10000));
    site.run(restart_limit);
    BOOST_TEST(site.running_tasks(id) == 6);
}

// Guards against a task that failed by itself and waits for its VM, which is next in a wave and waits for a
// task that may not be interrupted.
BOOST_AUTO_TEST_CASE(failed_task_returns_to_the_vm_that_is_next_in_a_wave) {
    scheduler_site site(2);
    site.add_vms(1);
    site.take_over();
    site.run(milliseconds(500));
    const auto kept = site.submit(large_lasting_job(1, 0));
    const auto failing = site.submit(large_lasting_job(1, 0));
    site.run(milliseconds(2000));
    site.request_wave(wave_over_pool(1, milliseconds(10000), 1));
    site.run(milliseconds(1000));
    site.site.fail_tasks(failing, site.now);
    site.run(restart_limit);
    BOOST_TEST(site.running_tasks(kept) == 1);
    BOOST_TEST(site.running_tasks(failing) == 1);
}
