#include "scheduler_site.hpp"

#include <boost/test/unit_test.hpp>

// Long-running tasks are at work again within 6 s of their last run wherever there is room.

using namespace hornbeamrail;
using namespace hornbeamrail::test;

namespace {

/// Limit from the end of a run, or the submission, until a long-running task is at work again.
constexpr milliseconds restart_limit{6000};

std::int64_t count_blocked(const scheduler_site& site, std::string_view reason) {
    for (const auto& blocked : site.schedule->statistics(site.now).blocked) {
        if (blocked.reason == reason) {
            return blocked.workers;
        }
    }
    return -1;
}

} // namespace

// Guards against a task that waits without a trace: the figures of the process name it and what keeps the
// workers of its pool from running it.
BOOST_AUTO_TEST_CASE(overdue_task_is_counted_with_the_reason) {
    scheduler_site site(1);
    site.add_vms(2);
    site.take_over();
    site.run(milliseconds(100));
    site.unanswered_workers = {"w-1", "w-2"};
    site.run(milliseconds(3000));
    site.submit(long_running_job(1, 1));
    site.run(milliseconds(1000));
    BOOST_TEST(site.schedule->statistics(site.now).overdue_tasks == 0);
    site.run(milliseconds(3000));
    BOOST_TEST(site.schedule->statistics(site.now).overdue_tasks == 1);
    BOOST_TEST(count_blocked(site, "unresponsive") == 2);
}

// Guards against a worker that refuses every order for the rest of a term: its fence was raised after an
// order without an answer, its entry lapsed while it was idle, and the worker returned with a lower fence.
BOOST_AUTO_TEST_CASE(worker_whose_entry_lapsed_runs_tasks_again) {
    scheduler_site site(2);
    site.add_vms(1);
    site.take_over();
    site.run(milliseconds(100));
    site.unanswered_workers = {"w-1"};
    const auto first = site.submit(long_running_job(1, 1));
    site.run(milliseconds(1500)); // the fence is raised and reaches the worker
    site.unanswered_workers.clear();
    site.run(milliseconds(1500));
    BOOST_REQUIRE(site.running_tasks(first) == 1);
    site.cancel(first);
    site.run(milliseconds(1000));
    site.lapsed_entries = {"w-1"};
    site.run(milliseconds(1000));
    site.lapsed_entries.clear();
    const auto second = site.submit(long_running_job(1, 1));
    site.run(restart_limit);
    BOOST_TEST(site.running_tasks(second) == 1);
}

// Guards against a task that waits for ever beside free workers: its workers did not answer when it became
// ready, and nothing started the search again when they did.
BOOST_AUTO_TEST_CASE(returning_worker_runs_the_waiting_task) {
    scheduler_site site(4);
    site.add_vms(2);
    site.take_over();
    site.run(milliseconds(100));
    site.unanswered_workers = {"w-1", "w-2"};
    site.run(milliseconds(3000));
    const auto id = site.submit(long_running_job(1, 1));
    site.run(milliseconds(1000));
    site.unanswered_workers.clear();
    site.run(restart_limit);
    BOOST_TEST(site.running_tasks(id) == 1);
}

// Guards against a task that waits for ever after its worker was avoided for repeated failures: the end of
// that time is no event of its own.
BOOST_AUTO_TEST_CASE(avoided_worker_runs_the_waiting_task_later) {
    scheduler_site site(5);
    site.add_vms(1);
    site.take_over();
    const auto id = site.submit(long_running_job(1, 1));
    for (int failure = 0; failure < 3; ++failure) {
        site.run(milliseconds(1500));
        site.site.fail_tasks(id, site.now);
    }
    site.run(restart_limit);
    BOOST_TEST(site.running_tasks(id) == 1);
}

// Guards against a pool in which nothing starts for seconds: jobs that can never be done fail on every
// worker, and all workers are avoided at the same time.
BOOST_AUTO_TEST_CASE(hopeless_jobs_do_not_close_the_pool) {
    scheduler_site site(6);
    site.add_vms(4);
    site.site.set_duration(milliseconds(200));
    site.take_over();
    for (int number = 0; number < 60; ++number) {
        auto hopeless = batch_job(4);
        hopeless.account.clear();
        site.site.set_failing(site.submit(hopeless));
        site.run(milliseconds(50));
    }
    site.run(milliseconds(1000));
    const auto lasting = site.submit(long_running_job(4, 1));
    const auto batch = site.submit(batch_job(4));
    site.run(milliseconds(2000));
    BOOST_TEST(site.running_tasks(lasting) == 4);
    BOOST_TEST(site.state_of(batch) == "completed");
}

// Guards against a worker that is avoided for the failures of long-running tasks that worked in between.
BOOST_AUTO_TEST_CASE(long_running_task_at_work_clears_earlier_failures) {
    scheduler_site site(10);
    site.add_vms(1);
    site.take_over();
    const auto id = site.submit(long_running_job(1, 1));
    for (int failure = 0; failure < 3; ++failure) {
        site.run(milliseconds(3000));
        BOOST_REQUIRE(site.ready_tasks(id) == 1);
        site.site.fail_tasks(id, site.now);
    }
    site.run(milliseconds(100));
    BOOST_TEST(count_blocked(site, "avoided") == 0);
}

// Guards against a task that is sent to the same worker for ever although others have room: the worker
// refuses every start, and its backoff ended at the same moment as that of the task.
BOOST_AUTO_TEST_CASE(refused_task_starts_elsewhere) {
    scheduler_site site(7);
    site.add_vms(2);
    site.take_over();
    const auto first = site.submit(long_running_job(1, 1));
    site.run(milliseconds(2000));
    BOOST_REQUIRE(site.running_tasks(first) == 1);
    site.site.set_refusing(site.site.history().front().worker, true); // long-running tasks share this worker
    const auto second = site.submit(long_running_job(1, 1));
    site.run(restart_limit);
    BOOST_TEST(site.running_tasks(second) == 1);
}

// Guards against a long-running task that may never return to the worker where it failed, although no other
// has room.
BOOST_AUTO_TEST_CASE(failed_task_returns_to_the_only_worker_with_room) {
    scheduler_site site(8);
    site.add_vms(2);
    site.take_over();
    auto large = long_running_job(1, 1);
    large.steps.front().need.cpu_millicores = 31000;
    site.submit(large);
    site.run(milliseconds(500));
    const auto id = site.submit(long_running_job(1, 1));
    site.run(milliseconds(2000));
    BOOST_REQUIRE(site.running_tasks(id) == 1);
    site.site.fail_tasks(id, site.now);
    site.run(restart_limit);
    BOOST_TEST(site.running_tasks(id) == 1);
}

// The same for a batch task whose only permitted worker is the one where it failed: it has another attempt.
BOOST_AUTO_TEST_CASE(failed_batch_task_returns_to_the_only_permitted_worker) {
    scheduler_site site(9);
    site.add_vms(2);
    site.take_over();
    auto job = batch_job(1);
    job.steps.front().required_label = "r0"; // of the first VM
    const auto id = site.submit(job);
    site.run(milliseconds(500));
    site.site.fail_tasks(id, site.now);
    site.run(milliseconds(4000));
    BOOST_TEST(site.state_of(id) == "completed");
}

// Guards against a task that counts as running for ever on a worker that is cut off: each hold that it did
// not answer prolonged the lease that it might have.
BOOST_AUTO_TEST_CASE(tasks_of_a_worker_that_stays_cut_off_run_elsewhere) {
    scheduler_site site(11);
    site.add_vms(2);
    site.take_over();
    const auto id = site.submit(long_running_job(1, 1));
    site.run(milliseconds(2000));
    BOOST_REQUIRE(site.running_tasks(id) == 1);
    site.cut_workers = {site.site.history().front().worker};
    // Its leases are renewed for one lease without an answer, and end within another one.
    site.run(fake_site::options().longest_lease * 3);
    BOOST_TEST(site.running_tasks(id) == 1);
    BOOST_TEST(site.duplicate_runs().empty());
}

// Guards against work that is started elsewhere because its worker was silent for a while.
BOOST_AUTO_TEST_CASE(short_silence_of_a_worker_ends_no_task) {
    scheduler_site site(12);
    site.add_vms(2);
    site.take_over();
    const auto id = site.submit(long_running_job(1, 1));
    site.run(milliseconds(2000));
    const auto worker = site.site.history().front().worker;
    site.unanswered_workers = {worker};
    site.run(milliseconds(9000));
    site.unanswered_workers.clear();
    site.run(milliseconds(2000));
    BOOST_TEST(site.running_tasks(id) == 1);
    BOOST_TEST(site.site.history().size() == 1);
}

// Guards against a pool that gets no VMs while its own run nothing: VMs whose workers do not answer, or are
// not listed any more, counted for it.
BOOST_AUTO_TEST_CASE(vms_without_a_usable_worker_do_not_count_for_their_pool) {
    scheduler_site site(13);
    site.add_vms(2);
    site.add_vms(3, "spare");
    site.take_over();
    site.run(milliseconds(100));
    site.cut_workers = {"w-1"};
    site.lapsed_entries = {"w-2"};
    site.run(milliseconds(6000));
    const auto id = site.submit(long_running_job(1, 1));
    site.run(restart_limit);
    BOOST_TEST(site.running_tasks(id) == 1);
}

// Guards against a wave and tasks that wait for each other: the VMs with room are next in the wave and take
// no tasks, and their tasks may not end before the missing ones run.
BOOST_AUTO_TEST_CASE(wave_and_waiting_tasks_do_not_block_each_other) {
    scheduler_site site(14);
    site.add_vms(2);
    site.take_over();
    const auto first = site.submit(long_running_job(2, 1));
    const auto second = site.submit(long_running_job(2, 1));
    site.run(milliseconds(3000));
    BOOST_REQUIRE(site.ready_tasks(first) == 2);
    BOOST_REQUIRE(site.ready_tasks(second) == 2);
    site.request_wave(wave_over_pool(2, milliseconds(60000), 2));
    // On different VMs, so that each VM runs a task that may not end now.
    const auto worker_of = [&site](const std::string& job, std::int32_t index) {
        for (const auto& run : site.site.history()) {
            if (run.task.job == job && run.task.index == index) {
                return run.worker;
            }
        }
        return std::string();
    };
    const std::int32_t other = worker_of(first, 0) == worker_of(second, 0) ? 1 : 0;
    site.site.fail_task({.job = first, .occurrence = 0, .step = 0, .index = 0}, site.now);
    site.site.fail_task({.job = second, .occurrence = 0, .step = 0, .index = other}, site.now);
    std::int64_t most_of_first = 0;
    std::int64_t most_of_second = 0;
    for (milliseconds waited{0}; waited < restart_limit; waited += milliseconds(20)) {
        site.run(milliseconds(20));
        most_of_first = std::max(most_of_first, site.running_tasks(first));
        most_of_second = std::max(most_of_second, site.running_tasks(second));
    }
    BOOST_TEST(most_of_first == 2);
    BOOST_TEST(most_of_second == 2);
    site.run(milliseconds(54000));
    BOOST_REQUIRE(!site.reports.empty());
    BOOST_TEST(site.reports.back().second); // the wave has completed in time
    BOOST_TEST(site.running_tasks(first) == 2);
    BOOST_TEST(site.running_tasks(second) == 2);
}
