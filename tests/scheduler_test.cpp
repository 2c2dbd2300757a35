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
            first_step_end = std::max(first_step_end, run.ended);
        } else {
            second_step_begin = std::min(second_step_begin, run.begun);
        }
    }
    BOOST_TEST((second_step_begin >= first_step_end));
}

BOOST_AUTO_TEST_CASE(no_account_exceeds_its_cap) {
    scheduler_site site(2);
    site.add_vms(8);
    site.take_over();
    for (int job = 0; job < 20; ++job) {
        site.submit(batch_job(6, 4000)); // the cap is 60 cores: 15 tasks
    }
    for (int round = 0; round < 100; ++round) {
        site.run(milliseconds(100));
        std::int64_t running = 0;
        for (const auto& run : site.site.history()) {
            running += run.ended == boot_time::max() ? 1 : 0;
        }
        BOOST_TEST(running <= 15);
    }
}

BOOST_AUTO_TEST_CASE(cancelled_job_is_gone_within_its_bound) {
    scheduler_site site(3);
    site.add_vms(6);
    site.take_over();
    const auto id = site.submit(lasting_job(5, 1));
    site.run(milliseconds(2000));
    BOOST_TEST(site.running_tasks(id) == 5);
    site.cancel(id);
    site.run(milliseconds(1000));
    BOOST_TEST(site.running_tasks(id) == 0);
    BOOST_TEST(site.state_of(id) == "cancelled");
}

BOOST_AUTO_TEST_CASE(cancellation_that_arrives_before_its_job_counts) {
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

BOOST_AUTO_TEST_CASE(crashed_worker_loses_its_tasks_to_another) {
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
    BOOST_TEST(site.doubled_runs().empty());
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
    BOOST_TEST(site.doubled_runs().empty());
}

BOOST_AUTO_TEST_CASE(maintenance_keeps_limits_and_ends) {
    scheduler_site site(7);
    site.add_vms(8);
    site.take_over();
    const auto id = site.submit(lasting_job(5, 1));
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

// Most VMs of the wave carry tasks of one step, of which one may be away: the next VM is taken as soon as the
// tasks of the last one are at work again.
BOOST_AUTO_TEST_CASE(wave_over_long_running_tasks_ends_in_time) {
    scheduler_site site(12);
    site.add_vms(12);
    site.take_over();
    const auto id = site.submit(lasting_job(10, 1));
    site.run(milliseconds(6000));
    site.request_wave(wave_over_pool(12, milliseconds(36000), 4));
    std::int64_t fewest = 10;
    for (int round = 0; round < 36 * 50; ++round) {
        site.run(milliseconds(20));
        fewest = std::min(fewest, site.tasks_at_work(id));
    }
    BOOST_TEST(fewest >= 9);
    BOOST_REQUIRE(!site.reports.empty());
    BOOST_TEST(site.reports.back().second);
}

// A maintenance order for a VM that was maintained before is answered like the first one; the worker lives
// on.
BOOST_AUTO_TEST_CASE(successor_does_not_take_a_repeated_maintenance_order_for_an_end) {
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
    BOOST_TEST(site.doubled_runs().empty());
}

BOOST_AUTO_TEST_CASE(idle_vms_go_to_the_pool_that_lacks_them) {
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

// Orders that are lost or carried out late, crashes and takeovers: no task runs twice at the same time, and
// every job ends.
// One account sends ten times its share, more than the pool holds; the jobs of another are served in time.
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

// Without renewals another node may soon order VMs: the bound of a wave would be kept by each alone.
BOOST_AUTO_TEST_CASE(no_vm_is_ordered_without_renewals) {
    scheduler_site site(11);
    site.add_vms(30);
    site.take_over();
    site.run(milliseconds(500));
    site.renews = false;
    site.run(milliseconds(900));
    const auto before = site.moves;
    site.request_wave(wave_over_pool(30, milliseconds(20000), 4));
    site.run(milliseconds(4000));
    BOOST_TEST(site.maintenance_orders == 0);
    BOOST_TEST(site.moves == before);
    site.renews = true;
    site.run(milliseconds(2000));
    BOOST_TEST(site.maintenance_orders > 0);
}

// The jobs that a successor reads at once from the log did not arrive at once.
BOOST_AUTO_TEST_CASE(successor_does_not_take_known_jobs_for_a_surge) {
    scheduler_site site(10);
    site.add_vms(4);
    site.add_vms(12, "spare");
    site.take_over();
    for (int round = 0; round < 40; ++round) { // 4 tasks of 2 cores at a time: one VM would do
        site.submit(batch_job(2));
        site.run(milliseconds(500));
    }
    const auto moves = site.moves;
    site.take_over();
    site.run(milliseconds(1500));
    BOOST_TEST(site.moves == moves);
}

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
        for (const auto& doubled : site.doubled_runs()) {
            BOOST_ERROR(fmt::format("seed {}: {}", seed, doubled));
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

BOOST_AUTO_TEST_CASE(gang_starts_whole_or_not_at_all) {
    scheduler_site site(11);
    site.add_vms(2);
    site.take_over();
    auto small = batch_job(1, 30000);
    site.submit(small);
    site.run(milliseconds(200));
    auto gang = batch_job(3, 20000); // three tasks of 20 cores need three VMs or the time of two
    gang.account.clear();
    gang.steps.front().gang = true;
    site.submit(gang);
    auto pair = batch_job(2, 16000);
    pair.account.clear();
    pair.steps.front().gang = true;
    const auto id = site.submit(pair);
    site.run(milliseconds(4000));
    BOOST_TEST(site.state_of(id) == "completed");
    for (const auto& run : site.site.history()) {
        BOOST_TEST(run.task.job != gang.id);
    }
}

BOOST_AUTO_TEST_CASE(advised_queue_starts_only_where_it_has_a_ticket) {
    scheduler_site site(12);
    site.add_vms(4);
    site.take_over();
    const auto allowed = site.site.workers().front().id;
    site.advised = [&allowed](const std::string& worker) {
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

// A job whose record is dropped before its final state is stored is unknown after a power loss.
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
