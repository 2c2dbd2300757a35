#include "scheduler_site.hpp"

#include <boost/test/unit_test.hpp>

// Planned work takes no task from work that has no other room, and holds back nothing for work that can't
// come.

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

/// Limit on the time for which a job has nothing running although a worker has room for it.
constexpr milliseconds start_limit{3000};

/// @return a job of one small task without an account
job_spec small_job() {
    auto job = batch_job(1, 500);
    job.account.clear();
    return job;
}

/// A site of two VMs without any other room.
struct two_vms {
    two_vms() : site(3) {
        this->site.add_vms(2);
        this->site.site.set_duration(milliseconds(300));
        this->site.take_over();
        this->site.run(milliseconds(500));
    }

    /// Submits a small job every 500 ms.
    /// @return the longest time until one of them had started
    milliseconds longest_wait(milliseconds span) {
        milliseconds longest{0};
        for (milliseconds passed{0}; passed < span; passed += milliseconds(500)) {
            const auto id = this->site.submit(small_job());
            milliseconds waited{0};
            while (this->site.running_tasks(id) == 0 && waited < span) {
                this->site.run(milliseconds(20));
                waited += milliseconds(20);
            }
            longest = std::max(longest, waited);
            this->site.run(milliseconds(500));
        }
        return longest;
    }

    scheduler_site site;
};

} // namespace

// Guards against a wave that keeps all other work off VMs that it never maintains, because their tasks may
// not be unavailable at any time: jobs that were accepted waited for as long as these tasks ran.
BOOST_FIXTURE_TEST_CASE(wave_keeps_no_work_off_vms_that_it_never_maintains, two_vms) {
    const auto lasting = this->site.submit(long_running_job(2, 0));
    this->site.run(milliseconds(2000));
    BOOST_REQUIRE(this->site.ready_tasks(lasting) == 2);
    this->site.request_wave(wave_over_pool(2, milliseconds(26000), 2));
    this->site.run(milliseconds(1000));
    BOOST_TEST(this->longest_wait(milliseconds(10000)).count() <= 200);
    BOOST_TEST(this->site.running_tasks(lasting) == 2);
    BOOST_TEST(this->site.maintenance_orders == 0);
    this->site.cancel(lasting);
    this->site.run(milliseconds(15000));
    BOOST_TEST(this->site.maintenance_orders == 2);
    BOOST_TEST(this->site.reports.back().second); // the wave has completed
}

// Guards against the same with tasks that may not end now: another one of their step finds no room, so one is
// always missing.
BOOST_FIXTURE_TEST_CASE(drain_gives_way_to_jobs_that_have_no_other_room, two_vms) {
    const auto lasting = this->site.submit(long_running_job(3, 1)); // at most one on each VM
    this->site.run(milliseconds(2000));
    BOOST_REQUIRE(this->site.ready_tasks(lasting) == 2);
    this->site.request_wave(wave_over_pool(2, milliseconds(26000), 2));
    this->site.run(milliseconds(1000));
    BOOST_TEST(this->longest_wait(milliseconds(30000)) < start_limit);
    BOOST_TEST(this->site.running_tasks(lasting) == 2);
}

// Guards against the same with a task that runs for longer than the wave leaves time.
BOOST_FIXTURE_TEST_CASE(drain_of_a_long_task_gives_way_to_jobs_that_have_no_other_room, two_vms) {
    this->site.site.set_duration(milliseconds(60000));
    auto job = batch_job(2);
    job.steps.front().need.memory_mb = 40000; // one on each VM
    const auto longest = this->site.submit(job);
    this->site.run(milliseconds(1000));
    BOOST_REQUIRE(this->site.running_tasks(longest) == 2);
    this->site.site.set_duration(milliseconds(300));
    this->site.request_wave(wave_over_pool(2, milliseconds(200000), 2));
    this->site.run(milliseconds(1000));
    BOOST_TEST(this->longest_wait(milliseconds(30000)) < start_limit);
}

// Guards against a drain that goes on because each of several jobs is held back for less than its limit.
BOOST_FIXTURE_TEST_CASE(drain_gives_way_when_jobs_are_held_back_in_turn, two_vms) {
    this->site.site.set_duration(milliseconds(60000));
    auto job = batch_job(2);
    job.steps.front().need.memory_mb = 40000; // one on each VM
    this->site.submit(job);
    this->site.run(milliseconds(1000));
    this->site.request_wave(wave_over_pool(2, milliseconds(200000), 2));
    this->site.run(milliseconds(1000));
    const auto first = this->site.submit(small_job());
    this->site.run(milliseconds(1000));
    const auto second = this->site.submit(small_job());
    this->site.run(milliseconds(500));
    BOOST_REQUIRE(this->site.running_tasks(first) + this->site.running_tasks(second) == 0);
    this->site.cancel(first);
    this->site.run(milliseconds(900));
    BOOST_TEST(this->site.running_tasks(second) == 1);
}

// Guards against a drain that goes on because the tickets of the job that waits for it expire again and
// again.
BOOST_FIXTURE_TEST_CASE(drain_gives_way_to_a_job_whose_tickets_expire, two_vms) {
    auto changed = this->site.current_config();
    for (auto& queue : changed.queues) {
        if (queue.advice) {
            queue.advice->ticket_lifetime = milliseconds(1500);
        }
    }
    this->site.publish_config(changed);
    this->site.site.set_duration(milliseconds(60000));
    auto job = batch_job(2);
    job.steps.front().need.memory_mb = 40000; // one on each VM
    this->site.submit(job);
    this->site.run(milliseconds(1000));
    this->site.request_wave(wave_over_pool(2, milliseconds(200000), 2));
    this->site.run(milliseconds(1000));
    auto advised = small_job();
    advised.queue = "advised";
    const auto id = this->site.submit(advised);
    this->site.run(milliseconds(1900));
    BOOST_REQUIRE(this->site.running_tasks(id) == 0);
    this->site.run(milliseconds(500));
    BOOST_TEST(this->site.running_tasks(id) == 1);
}

// Guards against a wave that waits for ever for a VM that was lost during its maintenance, and keeps its
// place.
BOOST_AUTO_TEST_CASE(vm_that_is_lost_in_maintenance_keeps_no_place) {
    scheduler_site site(4);
    site.add_vms(4);
    site.take_over();
    site.run(milliseconds(500));
    site.request_wave(wave_over_pool(4, milliseconds(30000), 1));
    for (int round = 0; round < 500 && site.maintenance_orders < 1; ++round) {
        site.run(milliseconds(10));
    }
    BOOST_REQUIRE(site.vm_orders.size() == 1);
    site.run(milliseconds(500));
    site.site.take_down(site.vm_orders.front().second.vm, boot_time::max(), site.now);
    site.run(milliseconds(30000));
    BOOST_TEST(site.maintenance_orders == 4);
}

// Guards against a job that waits for a worker only because other jobs failed there.
BOOST_FIXTURE_TEST_CASE(job_without_other_room_runs_where_others_failed, two_vms) {
    auto filling = long_running_job(1, 1);
    filling.steps.front().need = {.cpu_millicores = 1000, .memory_mb = 65000};
    const auto filler = this->site.submit(filling);
    this->site.run(milliseconds(1000));
    BOOST_REQUIRE(this->site.running_tasks(filler) == 1);
    for (int number = 0; number < 6; ++number) {
        const auto hopeless = this->site.submit(small_job());
        this->site.site.set_failing(hopeless);
    }
    this->site.run(milliseconds(1500));
    const auto id = this->site.submit(small_job());
    this->site.run(start_limit);
    BOOST_TEST(this->site.state_of(id) == "completed");
}

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

// Guards against a job that has nothing running while one VM after another drains, each for less time than a
// drain may hold it back.
BOOST_AUTO_TEST_CASE(drains_in_turn_hold_a_job_back_no_longer_than_one) {
    scheduler_site site(22);
    site.add_vms(4);
    site.take_over();
    site.run(milliseconds(500));
    site.request_wave(
        {.number = 1, .vms = {"m-pool-0", "m-pool-1"}, .duration = milliseconds(60000), .max_down = 1});
    site.run(milliseconds(200));
    site.request_wave({.number = 2,
                       .vms = {"m-pool-0", "m-pool-2", "m-pool-3"},
                       .duration = milliseconds(60000),
                       .max_down = 2});
    site.run(milliseconds(200));
    BOOST_REQUIRE(site.maintenance_orders == 2); // of the VMs 0 and 2; the others drain
    site.site.take_down("m-pool-2", boot_time::max(), site.now);
    site.lapsed_entries = {"w-5"}; // the next worker of VM 0, which is to drain before it takes a task
    const auto id = site.submit(batch_job(1));
    site.run(milliseconds(1900));
    BOOST_REQUIRE(site.maintenance_orders == 4); // VM 0 is back and drains while the others are down
    site.lapsed_entries.clear();
    site.run(milliseconds(50));
    BOOST_REQUIRE(site.running_tasks(id) == 0);
    site.run(milliseconds(450));
    BOOST_TEST(site.running_tasks(id) == 1);
}
