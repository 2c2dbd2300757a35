#include "scheduler_site.hpp"

#include <boost/test/unit_test.hpp>

// Tasks that are faster near their data or in one rack, on three racks with workers of 32 cores.

using namespace hornbeamrail;
using namespace hornbeamrail::test;

namespace {

/// From a decision until the task is at work, and the longest time until the next decision.
constexpr milliseconds dispatch_time{300};
/// Longest wait of a task for a near place.
constexpr milliseconds longest_wait{1000};

/// A site whose VMs stay in the pool, with a scheduler that has been at work for a while.
struct near_site : scheduler_site {
    explicit near_site(int vms = 3, double slowdown = 1.5) : scheduler_site(1) {
        this->limits.remote_slowdown = slowdown;
        this->site.set_duration(milliseconds(1000));
        this->add_vms(vms);
        this->take_over();
        auto settings = this->current_config();
        settings.pools = {{.name = "pool"}};
        this->publish_config(settings);
        this->run(milliseconds(2500));
    }

    /// @return racks of the runs of a job, in the order of their starts
    [[nodiscard]] std::vector<std::string> racks_of(const std::string& id) {
        std::vector<std::string> racks;
        for (const auto& run : this->site.history()) {
            if (run.task.job == id) {
                racks.push_back(this->rack_of_worker.at(run.worker));
            }
        }
        return racks;
    }

    /// Remembers the racks of the workers, which the history does not name.
    void note_racks() {
        for (const auto& entry : this->site.workers()) {
            this->rack_of_worker[entry.id] = std::string(entry.rack());
        }
    }

    [[nodiscard]] near_wait_figures figures() const { return this->schedule->statistics(this->now).near; }

    std::map<std::string, std::string> rack_of_worker;
};

job_spec job_near(const std::string& rack, std::int64_t cpu_millicores,
                  milliseconds estimate = milliseconds(1000)) {
    auto job = batch_job(1, cpu_millicores);
    job.account.clear();
    job.steps.front().data_rack = rack;
    job.steps.front().estimate = estimate;
    return job;
}

/// Submits a task that fills the worker of the rack "r0", and a task for the same rack when the first one is
/// expected to end in @p left.
/// @return id of the second job
std::string submit_behind_full_rack(near_site& site, milliseconds left = milliseconds(250)) {
    site.note_racks();
    site.submit(job_near("r0", 32000));
    site.run(milliseconds(1000) - left);
    return site.submit(job_near("r0", 4000));
}

} // namespace

BOOST_AUTO_TEST_CASE(task_waits_for_a_near_place_that_is_about_to_be_free) {
    near_site site;
    const auto id = submit_behind_full_rack(site);
    site.run(milliseconds(100));
    BOOST_TEST(site.running_tasks(id) == 0);
    BOOST_TEST(site.figures().waits_begun == 1);
    site.run(milliseconds(400));
    BOOST_TEST(site.running_tasks(id) == 1);
    BOOST_TEST((site.racks_of(id) == std::vector<std::string>{"r0"}));
    const auto figures = site.figures();
    BOOST_TEST(figures.near_placements == 2);
    BOOST_TEST(figures.far_placements == 0);
    BOOST_TEST(figures.waits_given_up == 0);
    BOOST_TEST(figures.waited.count() >= 100);
}

// Guards against a wait that goes on because each estimate promises a place shortly.
BOOST_AUTO_TEST_CASE(task_takes_any_place_when_the_wait_takes_longer_than_expected) {
    near_site site;
    site.site.set_duration(milliseconds(10000));
    const auto id = submit_behind_full_rack(site);
    site.run(milliseconds(100));
    BOOST_TEST(site.running_tasks(id) == 0);
    site.run(longest_wait + dispatch_time - milliseconds(100));
    BOOST_TEST(site.running_tasks(id) == 1);
    BOOST_TEST(site.racks_of(id).front() != "r0");
    BOOST_TEST(site.figures().waits_given_up == 1);
    BOOST_TEST(site.figures().waited.count() <= longest_wait.count());
}

BOOST_AUTO_TEST_CASE(task_does_not_wait_if_that_costs_the_objective) {
    near_site site;
    auto settings = site.current_config();
    settings.queues.front().objective_factor = 1.0;
    settings.queues.front().objective_slack = milliseconds(650); // a far worker needs 500 of it
    site.publish_config(settings);
    const auto id = submit_behind_full_rack(site, milliseconds(400));
    site.run(dispatch_time);
    BOOST_TEST(site.running_tasks(id) == 1);
    BOOST_TEST(site.racks_of(id).front() != "r0");
    BOOST_TEST(site.figures().waits_begun == 0);
}

BOOST_AUTO_TEST_CASE(nothing_waits_where_tasks_run_as_fast_elsewhere) {
    near_site site(3, 1.0);
    const auto id = submit_behind_full_rack(site);
    site.run(dispatch_time);
    BOOST_TEST(site.running_tasks(id) == 1);
    BOOST_TEST(site.figures().far_placements == 0); // not counted
}

BOOST_AUTO_TEST_CASE(long_running_task_does_not_wait) {
    near_site site;
    site.submit(job_near("r0", 32000));
    site.run(milliseconds(750));
    auto job = long_running_job(1, 1);
    job.steps.front().data_rack = "r0";
    job.steps.front().estimate = milliseconds(60000);
    const auto id = site.submit(job);
    site.run(milliseconds(100));
    BOOST_TEST(site.running_tasks(id) == 1);
}

// One fault at a time ends the wait: the near worker drains, its zone is taken out, it is lost, or no longer
// answers.
BOOST_AUTO_TEST_CASE(wait_ends_when_the_near_worker_is_no_longer_usable) {
    const std::vector<std::pair<std::string, std::function<void(near_site&)>>> faults{
        {"drains",
         [](near_site& site) {
             site.site.set_draining("m-pool-0", true);
         }},
        {"zone out",
         [](near_site& site) {
             site.set_zones_out({"zone-a"});
         }},
        {"lost",
         [](near_site& site) {
             site.site.take_down("m-pool-0", site.now + milliseconds(60000), site.now);
             site.break_hold("w-1");
         }},
        {"does not answer",
         [](near_site& site) {
             site.cut_workers = {"w-1"};
             site.break_hold("w-1");
         }},
    };
    for (const auto& [name, inject] : faults) {
        BOOST_TEST_CONTEXT(name) {
            near_site site;
            site.site.set_duration(milliseconds(10000));
            const auto id = submit_behind_full_rack(site);
            site.run(milliseconds(60));
            BOOST_TEST(site.running_tasks(id) == 0);
            inject(site);
            site.run(dispatch_time);
            BOOST_TEST(site.running_tasks(id) == 1);
            BOOST_TEST(site.racks_of(id).front() != "r0");
        }
    }
}

// Guards against waits that add up: a successor does not know how long a task has waited.
BOOST_AUTO_TEST_CASE(successor_lets_no_task_wait_at_first) {
    near_site site;
    site.site.set_duration(milliseconds(10000));
    const auto id = submit_behind_full_rack(site);
    site.run(milliseconds(60));
    BOOST_TEST(site.running_tasks(id) == 0);
    site.take_over();
    site.run(dispatch_time);
    BOOST_TEST(site.running_tasks(id) == 1);
    BOOST_TEST(site.duplicate_runs().empty());
}

BOOST_AUTO_TEST_CASE(rack_sensitive_step_waits_for_one_rack) {
    for (const bool gang : {false, true}) {
        BOOST_TEST_CONTEXT("gang " << gang) {
            near_site site(6); // two workers in each rack
            site.note_racks();
            for (const auto* rack : {"r0", "r1", "r2"}) {
                site.submit(job_near(rack, 32000));
            }
            site.run(milliseconds(750));
            auto job = batch_job(4, 16000); // fills a rack
            job.account.clear();
            job.steps.front().rack_sensitive = true;
            job.steps.front().gang = gang;
            const auto id = site.submit(job);
            site.run(milliseconds(100));
            BOOST_TEST(site.running_tasks(id) == 0);
            site.run(milliseconds(600));
            BOOST_TEST(site.running_tasks(id) == 4);
            const auto racks = site.racks_of(id);
            BOOST_TEST(std::count(racks.begin(), racks.end(), racks.front()) == 4);
            BOOST_TEST(site.figures().waits_begun == 4);
        }
    }
}

BOOST_AUTO_TEST_CASE(rack_sensitive_step_is_spread_if_no_rack_is_free_in_time) {
    near_site site(6);
    site.note_racks();
    for (const auto* rack : {"r0", "r1", "r2"}) {
        site.submit(job_near(rack, 32000, milliseconds(9000)));
    }
    site.run(milliseconds(750));
    auto job = batch_job(4, 16000);
    job.account.clear();
    job.steps.front().rack_sensitive = true;
    const auto id = site.submit(job);
    site.run(dispatch_time);
    BOOST_TEST(site.running_tasks(id) == 4);
}

// Tasks without data in a rack leave its places to those that wait there, but use them before an idle worker.
BOOST_AUTO_TEST_CASE(other_tasks_leave_room_in_a_rack_that_is_wanted) {
    near_site site(4); // two workers in r0
    site.note_racks();
    site.submit(job_near("r0", 32000));
    site.submit(job_near("r0", 30000));
    site.submit(job_near("r1", 1000, milliseconds(9000))); // this worker is in use, and emptier
    site.run(milliseconds(700));
    const auto waiting = site.submit(job_near("r0", 4000));
    site.run(milliseconds(60));
    BOOST_TEST(site.running_tasks(waiting) == 0);
    auto other = batch_job(1, 1000);
    other.account.clear();
    const auto id = site.submit(other);
    site.run(milliseconds(100));
    BOOST_TEST((site.racks_of(id) == std::vector<std::string>{"r1"}));
}

// Whatever the demand for one rack, no task waits longer than the bound while there is room elsewhere.
BOOST_AUTO_TEST_CASE(no_wait_exceeds_the_bound) {
    for (const double slowdown : {1.5, 4.0}) {
        near_site site(60, slowdown);
        std::map<std::string, boot_time> submitted;
        for (int round = 0; round < 150; ++round) {
            auto job = job_near("r0", 8000 + 4000 * static_cast<std::int64_t>(site.random() % 4),
                                milliseconds(200 + static_cast<std::int64_t>(site.random() % 2000)));
            job.steps.front().count = 1 + static_cast<int>(site.random() % 6);
            submitted[site.submit(job)] = site.now;
            site.run(milliseconds(20 + static_cast<std::int64_t>(site.random() % 100)));
        }
        site.run(milliseconds(4000));
        const auto figures = site.figures();
        BOOST_TEST(figures.waits_begun > 0);
        BOOST_TEST(figures.far_placements > 0);
        BOOST_TEST(figures.waited.count() <= figures.waits_begun * longest_wait.count());
        for (const auto& run : site.site.history()) {
            BOOST_TEST((run.started_at <= submitted.at(run.task.job) + longest_wait + dispatch_time));
        }
    }
}

// Waits beside crashes, takeovers, lost answers and outages of the log end in one run of each task.
BOOST_AUTO_TEST_CASE(waits_beside_faults_cause_no_second_run_and_no_lost_job) {
    for (std::uint64_t seed = 300; seed < 312; ++seed) {
        scheduler_site site(
            seed, {.lost_answer = 0.03, .late_order = 0.02, .crash = 0.2, .failover = 0.15, .outage = 0.1});
        site.limits.remote_slowdown = 3.0;
        site.add_vms(9);
        site.take_over();
        std::vector<std::string> ids;
        for (int round = 0; round < 60; ++round) {
            auto job = job_near(fmt::format("r{}", site.random() % 3), 12000);
            job.steps.front().count = 1 + static_cast<int>(site.random() % 4);
            job.steps.front().rack_sensitive = round % 3 == 0;
            job.steps.front().gang = round % 6 == 0;
            if (round % 2 == 0) {
                job.steps.front().data_rack.clear();
            }
            ids.push_back(site.submit(job));
            site.run(milliseconds(200));
        }
        site.faults = {};
        site.run(milliseconds(30000));
        for (const auto& violation : site.duplicate_runs()) {
            BOOST_ERROR(fmt::format("seed {}: {}", seed, violation));
        }
        for (const auto& id : ids) {
            BOOST_TEST_CONTEXT("seed " << seed << " job " << id) {
                BOOST_TEST(site.state_of(id) == "completed");
            }
        }
    }
}
