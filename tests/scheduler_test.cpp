#include "scheduler_site.hpp"

#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;
using namespace hornbeamrail::test;

BOOST_AUTO_TEST_CASE(steps_run_in_order_and_the_job_completes) {
    scheduler_site site(1);
    site.add_vms(3);
    site.take_over();
    auto job = batch_job(4);
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    const auto id = site.submit(job);
    site.run(milliseconds(5000));
    BOOST_TEST(site.state_of(id) == "completed");
    BOOST_TEST(site.site.history().size() == 8);
    boot_time first_step_end{};
    boot_time second_step_begin = boot_time::max();
    for (const auto& run : site.site.history()) {
        if (run.task.step == 0) {
            first_step_end = std::max(first_step_end, run.ended_at);
        } else {
            second_step_begin = std::min(second_step_begin, run.started_at);
        }
    }
    BOOST_TEST((second_step_begin >= first_step_end));
}

BOOST_AUTO_TEST_CASE(no_account_exceeds_its_cap) {
    scheduler_site site(2);
    site.add_vms(8);
    site.take_over();
    for (int job = 0; job < 20; ++job) {
        site.submit(batch_job(6, 4000)); // the upper limit is 60 cores: 15 tasks
    }
    std::int64_t peak = 0;
    for (int round = 0; round < 100; ++round) {
        site.run(milliseconds(100));
        std::int64_t running = 0;
        for (const auto& run : site.site.history()) {
            running += run.ended_at == boot_time::max() ? 1 : 0;
        }
        peak = std::max(peak, running);
    }
    BOOST_TEST(peak == 15); // the limit is used and not exceeded
}

// Guards against a job that never starts although its account uses little: the limit was lowered, and the
// task is larger than what a long-running one leaves of it.
BOOST_AUTO_TEST_CASE(task_beyond_the_rest_of_a_lowered_limit_starts) {
    scheduler_site site(2);
    site.add_vms(4);
    site.take_over();
    auto lasting = long_running_job(1, 1);
    lasting.account = "team";
    lasting.steps.front().need.cpu_millicores = 3900;
    site.submit(lasting);
    site.run(milliseconds(1000));
    auto lowered = site.current_config();
    lowered.accounts.front().upper_limit = {.cpu_millicores = 10000};
    site.publish_config(lowered);
    const auto id = site.submit(batch_job(3, 6500));
    site.run(milliseconds(500));
    BOOST_TEST(site.running_tasks(id) == 1); // the others would exceed the limit by more than one task
    site.run(milliseconds(4000));
    BOOST_TEST(site.state_of(id) == "completed");
}

// Guards against a pool that gets no VM for such a task.
BOOST_AUTO_TEST_CASE(task_beyond_the_rest_of_the_limit_gets_a_vm) {
    scheduler_site site(2);
    site.add_vms(1);
    site.add_vms(2, "spare");
    site.take_over();
    auto lowered = site.current_config();
    lowered.accounts.front().upper_limit = {.cpu_millicores = 1000};
    site.publish_config(lowered);
    auto filling = long_running_job(1, 1);
    filling.steps.front().need.cpu_millicores = 30000;
    site.submit(filling);
    site.run(milliseconds(5000));
    const auto id = site.submit(batch_job(1, 6500));
    site.run(milliseconds(8000));
    BOOST_TEST(site.state_of(id) == "completed");
}

BOOST_AUTO_TEST_CASE(cancelled_job_is_gone_within_its_bound) {
    scheduler_site site(3);
    site.add_vms(6);
    site.take_over();
    const auto id = site.submit(long_running_job(5, 1));
    site.run(milliseconds(2000));
    BOOST_TEST(site.running_tasks(id) == 5);
    site.cancel(id);
    site.run(milliseconds(1000));
    BOOST_TEST(site.running_tasks(id) == 0);
    BOOST_TEST(site.state_of(id) == "cancelled");
}

BOOST_AUTO_TEST_CASE(cancellation_before_its_job_takes_effect) {
    scheduler_site site(4);
    site.add_vms(2);
    site.take_over();
    site.cancel("0000000000000001");
    site.run(milliseconds(100));
    const auto id = site.submit(batch_job(2));
    site.run(milliseconds(2000));
    BOOST_TEST(site.site.history().empty());
    BOOST_TEST(site.state_of(id) == "cancelled");
}

BOOST_AUTO_TEST_CASE(tasks_of_a_crashed_worker_run_elsewhere) {
    scheduler_site site(5);
    site.add_vms(3);
    site.site.set_duration(milliseconds(2000));
    site.take_over();
    const auto id = site.submit(batch_job(6));
    site.run(milliseconds(500));
    site.site.crash("m-pool-0", site.now);
    site.site.crash("m-pool-1", site.now);
    site.run(milliseconds(8000));
    BOOST_TEST(site.state_of(id) == "completed");
    BOOST_TEST(site.duplicate_runs().empty());
}

BOOST_AUTO_TEST_CASE(successor_adopts_what_runs) {
    scheduler_site site(6);
    site.add_vms(4);
    site.site.set_duration(milliseconds(1500));
    site.take_over();
    const auto id = site.submit(batch_job(8));
    site.run(milliseconds(500));
    site.take_over();
    site.run(milliseconds(4000));
    BOOST_TEST(site.state_of(id) == "completed");
    BOOST_TEST(site.site.history().size() == 8);
    BOOST_TEST(site.duplicate_runs().empty());
}

BOOST_AUTO_TEST_CASE(maintenance_keeps_limits_and_ends) {
    scheduler_site site(7);
    site.add_vms(8);
    site.take_over();
    const auto id = site.submit(long_running_job(5, 1));
    site.run(milliseconds(6000));
    site.request_wave(wave_over_pool(8, milliseconds(60000), 4));
    std::int64_t fewest = 5;
    for (int round = 0; round < 3000 && (site.reports.empty() || !site.reports.back().second); ++round) {
        site.run(milliseconds(20));
        fewest = std::min(fewest, site.running_tasks(id));
    }
    BOOST_TEST(fewest >= 4);
    BOOST_REQUIRE(!site.reports.empty());
    BOOST_TEST(site.reports.back().second);
}

// Most VMs of the wave run tasks of one step, of which one may be unavailable. The wave meets its duration
// only if the next VM follows as soon as the tasks of the previous one are ready again.
BOOST_AUTO_TEST_CASE(wave_over_long_running_tasks_ends_in_time) {
    scheduler_site site(12);
    site.add_vms(12);
    site.take_over();
    const auto id = site.submit(long_running_job(10, 1));
    site.run(milliseconds(6000));
    site.request_wave(wave_over_pool(12, milliseconds(36000), 4));
    std::int64_t fewest = 10;
    for (int round = 0; round < 36 * 50; ++round) {
        site.run(milliseconds(20));
        fewest = std::min(fewest, site.ready_tasks(id));
    }
    BOOST_TEST(fewest >= 9);
    BOOST_REQUIRE(!site.reports.empty());
    BOOST_TEST(site.reports.back().second);
}

// A maintenance order for a VM that was already maintained has the same answer as the first order, but its
// worker keeps running. A successor that repeats the order must not treat the worker as lost.
BOOST_AUTO_TEST_CASE(repeated_maintenance_order_does_not_lose_the_worker) {
    scheduler_site site(8);
    site.add_vms(4);
    site.site.set_duration(milliseconds(1000));
    site.take_over();
    site.request_wave(
        {.number = 1, .vms = {"m-pool-0", "m-pool-1"}, .duration = milliseconds(30000), .max_down = 2});
    site.run(milliseconds(7000));
    for (int job = 0; job < 10; ++job) {
        site.submit(batch_job(6));
    }
    site.run(milliseconds(300));
    site.take_over();
    site.run(milliseconds(6000));
    BOOST_TEST(site.duplicate_runs().empty());
}

BOOST_AUTO_TEST_CASE(idle_vms_move_to_the_pool_that_needs_them) {
    scheduler_site site(9);
    site.add_vms(2);
    site.add_vms(4, "spare");
    site.take_over();
    site.run(milliseconds(4000));
    for (int job = 0; job < 30; ++job) {
        auto spec = batch_job(6, 4000);
        spec.account.clear();
        site.submit(spec);
    }
    site.run(milliseconds(4000));
    std::set<std::string> used;
    for (const auto& run : site.site.history()) {
        used.insert(run.worker);
    }
    BOOST_TEST(used.size() >= 5);
}

// Guards against VMs that a pool takes from others for work that may not start there: it is above the upper
// limit of its account, or larger than any VM.
BOOST_AUTO_TEST_CASE(pool_takes_no_vms_for_work_that_may_not_start) {
    scheduler_site site(9);
    site.add_vms(2);
    site.add_vms(12, "spare");
    site.site.set_duration(milliseconds(60000));
    site.take_over();
    site.run(milliseconds(4000));
    for (int job = 0; job < 20; ++job) {
        site.submit(batch_job(20)); // 800 cores, of which the account may use 60
        auto too_large = batch_job(1, 64000);
        too_large.account.clear();
        site.submit(too_large);
    }
    site.run(milliseconds(20000)); // the forecast after the arrivals has ended
    const auto vms = site.site.vms();
    const auto in_pool =
        std::count_if(vms.begin(), vms.end(), [](const auto& vm) { return vm.pool == "pool"; });
    BOOST_TEST(in_pool <= 4);
}

// One account submits ten times its share, more than the pool can run. Jobs of another account still complete
// on time.
BOOST_AUTO_TEST_CASE(account_beyond_its_share_does_not_delay_others) {
    scheduler_site site(13);
    site.add_vms(2);
    site.take_over();
    std::vector<std::string> usual;
    for (int round = 0; round < 200; ++round) {
        auto job = batch_job(4, 4000);
        job.account = "hot";
        site.submit(job);
        if (round % 20 == 0) {
            job.account = "usual";
            usual.push_back(site.submit(job));
        }
        site.run(milliseconds(50));
    }
    site.run(milliseconds(2600));
    for (const auto& id : usual) {
        BOOST_TEST(site.state_of(id) == "completed");
    }
}

// Without renewals another node may soon claim the lease and order VMs. Each scheduler would then apply the
// bound of a wave on its own, and together they would exceed it.
BOOST_AUTO_TEST_CASE(no_vm_is_ordered_without_renewals) {
    scheduler_site site(11);
    site.add_vms(30);
    site.take_over();
    site.run(milliseconds(500));
    site.can_renew_lease = false;
    site.run(milliseconds(900));
    const auto before = site.moves;
    site.request_wave(wave_over_pool(30, milliseconds(20000), 4));
    site.run(milliseconds(4000));
    BOOST_TEST(site.maintenance_orders == 0);
    BOOST_TEST(site.moves == before);
    site.can_renew_lease = true;
    site.run(milliseconds(2000));
    BOOST_TEST(site.maintenance_orders > 0);
}

// A successor reads all known jobs from the log at once. Counted as arrivals of that moment they would look
// like a surge and cause moves.
BOOST_AUTO_TEST_CASE(successor_orders_no_moves_for_known_jobs) {
    scheduler_site site(10);
    site.add_vms(4);
    site.add_vms(12, "spare");
    site.take_over();
    for (int round = 0; round < 40; ++round) { // at most 4 tasks of 2 cores at a time: one VM suffices
        site.submit(batch_job(2));
        site.run(milliseconds(500));
    }
    const auto moves = site.moves;
    site.take_over();
    site.run(milliseconds(1500));
    BOOST_TEST(site.moves == moves);
}

// Lost and late orders, crashes and takeovers: no task runs twice at the same time, and every job completes.
BOOST_AUTO_TEST_CASE(no_task_runs_twice_under_faults) {
    for (std::uint64_t seed = 100; seed < 112; ++seed) {
        scheduler_site site(seed, {.lost_answer = 0.05, .late_order = 0.03, .crash = 0.4, .failover = 0.25});
        site.add_vms(6);
        site.take_over();
        std::vector<std::string> ids;
        for (int round = 0; round < 40; ++round) {
            ids.push_back(site.submit(batch_job(4)));
            site.run(milliseconds(250));
        }
        site.faults = {};
        site.run(milliseconds(25000));
        for (const auto& duplicate : site.duplicate_runs()) {
            BOOST_ERROR(fmt::format("seed {}: {}", seed, duplicate));
        }
        for (const auto& id : ids) {
            BOOST_TEST_CONTEXT("seed " << seed << " job " << id) {
                BOOST_TEST(site.state_of(id) == "completed");
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(job_of_a_removed_queue_runs_to_its_end) {
    scheduler_site site(10);
    site.add_vms(2);
    site.take_over();
    site.remove_queue("batch");
    const auto id = site.submit(batch_job(3));
    site.run(milliseconds(3000));
    BOOST_TEST(site.state_of(id) == "completed");
}

BOOST_AUTO_TEST_CASE(gang_starts_all_members_or_none) {
    scheduler_site site(11);
    site.add_vms(2);
    site.take_over();
    auto small = batch_job(1, 30000);
    site.submit(small);
    site.run(milliseconds(200));
    auto gang = batch_job(3, 20000); // three tasks of 20 cores do not fit on two VMs of 32
    gang.account.clear();
    gang.steps.front().gang = true;
    const auto gang_id = site.submit(gang);
    auto pair = batch_job(2, 16000);
    pair.account.clear();
    pair.steps.front().gang = true;
    const auto id = site.submit(pair);
    site.run(milliseconds(4000));
    BOOST_TEST(site.state_of(id) == "completed");
    for (const auto& run : site.site.history()) {
        BOOST_TEST(run.task.job != gang_id);
    }
}

BOOST_AUTO_TEST_CASE(advised_queue_starts_only_where_it_has_a_ticket) {
    scheduler_site site(12);
    site.add_vms(4);
    site.take_over();
    const auto allowed = site.site.workers().front().id;
    site.is_advised = [&allowed](const std::string& worker) {
        return worker == allowed;
    };
    auto job = batch_job(5);
    job.queue = "advised";
    const auto id = site.submit(job);
    site.run(milliseconds(5000));
    BOOST_TEST(site.state_of(id) == "completed");
    for (const auto& run : site.site.history()) {
        BOOST_TEST(run.worker == allowed);
    }
    BOOST_TEST(site.tickets[allowed] == "ticket-" + allowed);
}

// If the record of a job is dropped before its final state is stored, the job is unknown after a power loss.
BOOST_AUTO_TEST_CASE(job_record_stays_until_the_final_state_is_stored) {
    scheduler_site site(13);
    site.add_vms(4);
    site.site.set_duration(milliseconds(5));
    site.take_over();
    for (int job = 0; job < 2000; ++job) {
        site.submit(batch_job(1));
        site.run(milliseconds(6));
    }
    BOOST_TEST(site.early_drops == 0);
}

// Nothing is known of the demand when a site starts for the first time. Guards against switching off the VMs
// that the first jobs need, which would then wait for VMs to come back.
BOOST_AUTO_TEST_CASE(vms_stay_until_demand_was_seen) {
    scheduler_site site(14);
    site.add_vms(8);
    site.add_vms(1, "spare");
    site.take_over();
    site.submit(long_running_job(2, 1));
    site.run(milliseconds(20000));
    BOOST_TEST(site.moves == 0);
    site.submit(batch_job(2));
    site.run(milliseconds(2000));
    BOOST_TEST(site.moves == 0);
    site.run(milliseconds(8000));
    BOOST_TEST(site.moves > 0);
}

// Guards against a scheduler that is too busy to renew its lease: each end of a task in a full pool ranked
// and sorted all jobs that waited for it, thousands after a surge.
BOOST_AUTO_TEST_CASE(full_pool_ranks_no_waiting_jobs) {
    scheduler_site site(21);
    site.add_vms(4);
    site.site.set_duration(milliseconds(2000));
    site.take_over();
    constexpr int jobs = 3000;
    for (int job = 0; job < jobs; ++job) {
        auto spec = batch_job(1, 1000);
        spec.account.clear();
        site.submit(spec);
    }
    site.run(milliseconds(1500));
    const auto before = site.schedule->statistics(site.now).ranked_occurrences;
    const auto runs = site.site.history().size();
    BOOST_REQUIRE(runs > 100);   // the pool is full
    site.run(milliseconds(300)); // no task ends
    BOOST_TEST(site.schedule->statistics(site.now).ranked_occurrences == before);
}

// Guards against thousands of starts that are sent at once: the last ones would reach their workers too late,
// and the answers to them would delay everything else.
BOOST_AUTO_TEST_CASE(starts_in_flight_are_limited) {
    scheduler_site site(22);
    site.add_vms(40);
    site.take_over();
    site.run(milliseconds(500));
    for (int job = 0; job < 40; ++job) {
        auto spec = batch_job(50, 500);
        spec.account.clear();
        spec.steps.front().need.memory_mb = 100;
        site.submit(spec);
    }
    std::int64_t most = 0;
    for (int round = 0; round < 200; ++round) {
        site.run(milliseconds(2));
        most = std::max(most, site.schedule->dump(site.now).at("starts_in_flight").as_int64());
    }
    BOOST_TEST(most <= 256);
    BOOST_TEST(site.starts == 40 * 50);
}
