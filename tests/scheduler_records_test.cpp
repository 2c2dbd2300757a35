#include "scheduler_site.hpp"

#include <boost/test/unit_test.hpp>

// What the log does not accept must hold back nothing but what depends on it.

using namespace hornbeamrail;
using namespace hornbeamrail::test;

namespace {

/// @return a job of small tasks without an account
job_spec wide_batch_job(std::int32_t tasks) {
    auto job = batch_job(tasks, 10);
    job.account.clear();
    job.steps.front().need.memory_mb = 1;
    job.steps.front().supports_checkpoints = true;
    return job;
}

struct log_fixture {
    log_fixture() : site(31) {
        this->site.add_vms(4);
        this->site.site.set_duration(milliseconds(800));
        this->site.take_over();
    }

    /// Submits a small job and runs the site.
    /// @return state of the job after @p span
    std::string state_of_small_job(milliseconds span) {
        const auto id = this->site.submit(batch_job(2));
        this->site.run(span);
        return this->site.state_of(id);
    }

    /// @return whether the jobs topic has the record of the job
    [[nodiscard]] bool has_record(const std::string& id) const {
        const auto stored = this->site.log.newest({.topic = log_topic::jobs}).records;
        return std::any_of(stored.begin(), stored.end(),
                           [&](const auto& record) { return record.key == id && !record.value.empty(); });
    }

    /// Goes on until the records of jobs that ended before have been dropped.
    void run_past_the_retention() {
        this->site.tick_span = milliseconds(20);
        this->site.run(site_limits().final_state_retention + milliseconds(5000));
    }

    scheduler_site site;
};

} // namespace

// Guards against a job whose checkpoints do not fit into one record of the log: its record was refused and
// repeated forever, and nothing of the whole site was recorded any more.
BOOST_FIXTURE_TEST_CASE(checkpoints_of_a_wide_job_stop_no_other_job, log_fixture) {
    for (const std::size_t bytes : {128, 2000, 300'000}) {
        const bool is_huge = bytes > 100'000;
        const auto wide = this->site.submit(wide_batch_job(is_huge ? 40 : job_limits::max_tasks));
        this->site.site.set_checkpoint_bytes(wide, bytes);
        this->site.site.set_duration(milliseconds(3000));
        this->site.run(milliseconds(1500));
        // The record of its end holds the checkpoints of all others.
        this->site.site.fail_task({.job = wide, .index = 3}, this->site.now);
        this->site.run(milliseconds(100));
        this->site.site.set_duration(milliseconds(300));
        BOOST_TEST(this->state_of_small_job(milliseconds(1500)) == "completed");
        this->site.run(milliseconds(4000));
        BOOST_TEST(this->site.state_of(wide) == "completed");
    }
    BOOST_TEST(this->site.rejected_appends == 0);
    BOOST_TEST(this->site.duplicate_runs().empty());
}

// Guards against a takeover that starts tasks of a divided job twice or from the beginning.
BOOST_FIXTURE_TEST_CASE(tasks_of_a_divided_job_resume_after_a_takeover, log_fixture) {
    const auto wide = this->site.submit(wide_batch_job(job_limits::max_tasks));
    this->site.site.set_checkpoint_bytes(wide, 200);
    this->site.site.set_duration(milliseconds(4000));
    this->site.run(milliseconds(1500));
    // A task that ends has its part recorded, with the checkpoints of the others.
    this->site.site.fail_task({.job = wide, .index = 3}, this->site.now);
    this->site.run(milliseconds(500));
    this->site.take_over();
    this->site.run(milliseconds(1000));
    const auto before_crash = this->site.site.history().size();
    this->site.site.crash("m-pool-0", this->site.now);
    this->site.run(milliseconds(9000));
    BOOST_TEST(this->site.state_of(wide) == "completed");
    BOOST_TEST(this->site.duplicate_runs().empty());
    const auto& history = this->site.site.history();
    BOOST_TEST(std::any_of(history.begin() + static_cast<std::ptrdiff_t>(before_crash), history.end(),
                           [](const auto& run) { return run.resumed; }));
}

// Guards against a record that the log does not accept for any reason: only its job waits, and goes on when
// the log accepts the record.
BOOST_FIXTURE_TEST_CASE(rejected_progress_holds_back_its_job_only, log_fixture) {
    const auto unlucky = this->site.submit(batch_job(4));
    const auto running = this->site.submit(batch_job(4));
    this->site.run(milliseconds(300));
    BOOST_REQUIRE(this->site.running_tasks(running) == 4);
    const auto held = this->site.submit(batch_job(3));
    this->site.log.set_rejected([&](log_topic topic, const keyed_record& record) {
        return topic == log_topic::progress && (record.key == held || record.key == running);
    });
    for (int job = 0; job < 5; ++job) {
        BOOST_TEST(this->state_of_small_job(milliseconds(1200)) == "completed");
    }
    BOOST_TEST(this->site.state_of(unlucky) == "completed");
    BOOST_TEST(this->site.running_tasks(held) == 0); // no start without a record
    BOOST_TEST(this->site.state_of(running) == "running");
    BOOST_TEST(this->site.rejected_appends < 100);
    this->site.take_over();
    this->site.run(milliseconds(2000));
    this->site.log.set_rejected({});
    this->site.run(milliseconds(9000));
    BOOST_TEST(this->site.state_of(held) == "completed");
    BOOST_TEST(this->site.state_of(running) == "completed");
    BOOST_TEST(this->site.duplicate_runs().empty());
    BOOST_TEST(this->site.early_runs().empty());
}

// Guards against a state that the log does not accept: callers would see no other job end.
BOOST_FIXTURE_TEST_CASE(rejected_state_hides_no_other_state, log_fixture) {
    const auto hidden = this->site.submit(batch_job(1));
    this->site.log.set_rejected([&](log_topic topic, const keyed_record& record) {
        return topic == log_topic::states && record.key == hidden;
    });
    std::vector<std::string> jobs;
    for (int job = 0; job < 20; ++job) {
        jobs.push_back(this->site.submit(batch_job(1)));
    }
    this->site.run(milliseconds(4000));
    for (const auto& id : jobs) {
        BOOST_TEST(this->site.state_of(id) == "completed");
    }
    BOOST_TEST(this->site.state_of(hidden) == "pending");
    BOOST_TEST(this->site.early_drops == 0);
    this->site.log.set_rejected({});
    this->site.run(milliseconds(40000));
    BOOST_TEST(this->site.state_of(hidden) == "completed");
}

// Guards against one append that holds the states of all jobs of a large site.
BOOST_FIXTURE_TEST_CASE(states_are_published_within_the_limits_of_an_append, log_fixture) {
    this->site.log.set_limits({.max_record_bytes = 4096, .max_append_bytes = 8192});
    std::vector<std::string> jobs;
    for (int job = 0; job < 2000; ++job) {
        jobs.push_back(this->site.submit(batch_job(1)));
    }
    this->site.run(milliseconds(300));
    for (const auto& id : jobs) {
        this->site.cancel(id);
    }
    this->site.run(milliseconds(3000));
    for (const auto& id : jobs) {
        BOOST_REQUIRE(this->site.state_of(id) == "cancelled");
    }
}

// Guards against a job that is final before its last run has ended: its state was stored under no final job,
// and no later job of its partition was ever dropped.
BOOST_FIXTURE_TEST_CASE(job_that_ends_after_its_state_is_dropped, log_fixture) {
    const auto cancelled = this->site.submit(batch_job(4));
    this->site.run(milliseconds(300));
    BOOST_REQUIRE(this->site.running_tasks(cancelled) == 4);
    this->site.cut_workers = {"w-1", "w-2", "w-3", "w-4"};
    this->site.cancel(cancelled);
    this->site.run(milliseconds(300));
    BOOST_REQUIRE(this->site.state_of(cancelled) == "cancelled");
    this->site.cut_workers.clear();
    const auto later = this->site.submit(batch_job(1));
    this->site.run(milliseconds(5000));
    BOOST_REQUIRE(this->site.state_of(later) == "completed");
    BOOST_TEST(!this->has_record(cancelled));
    BOOST_TEST(!this->has_record(later));
}

// Guards against a job whose final state the log does not accept: it must keep its own records only.
BOOST_FIXTURE_TEST_CASE(rejected_final_state_keeps_no_record_of_another, log_fixture) {
    const auto hidden = this->site.submit(batch_job(1));
    this->site.log.set_rejected([&](log_topic topic, const keyed_record& record) {
        return topic == log_topic::states && record.key == hidden;
    });
    this->site.run(milliseconds(2000));
    const auto later = this->site.submit(batch_job(1));
    this->site.run(milliseconds(4000));
    BOOST_REQUIRE(this->site.state_of(later) == "completed");
    BOOST_TEST(this->has_record(hidden));
    BOOST_TEST(!this->has_record(later));
}

// Guards against a cancellation that is lost because it overtakes the record of its job and the scheduler
// changes between the two.
BOOST_FIXTURE_TEST_CASE(cancellation_before_its_job_outlives_a_takeover, log_fixture) {
    const auto id = fmt::format("{:016x}", 1); // of the first job
    this->site.cancel(id);
    this->site.run(milliseconds(3000));
    this->site.take_over();
    BOOST_REQUIRE(this->site.submit(batch_job(2)) == id);
    this->site.run(milliseconds(3000));
    BOOST_TEST(this->site.state_of(id) == "cancelled");
    BOOST_TEST(this->site.site.history().empty());
}

// Guards against records that are kept for ever: cancellations of ids for which there is no job, and of jobs
// that have ended.
BOOST_FIXTURE_TEST_CASE(cancellations_without_a_job_are_dropped, log_fixture) {
    const auto ended = this->site.submit(batch_job(1));
    this->site.run(milliseconds(3000));
    BOOST_REQUIRE(this->site.state_of(ended) == "completed");
    const std::string suffix(cancel_suffix);
    this->site.cancel(ended);
    this->site.cancel("unknown-1");
    this->site.run(milliseconds(3000));
    BOOST_TEST(!this->has_record(ended + suffix));
    BOOST_TEST(this->has_record("unknown-1" + suffix));
    this->site.cancel("unknown-2");
    this->site.take_over(); // the successor drops what its predecessor has read
    this->run_past_the_retention();
    BOOST_TEST(this->site.log.newest({.topic = log_topic::jobs}).records.empty());
}
