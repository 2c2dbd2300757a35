#include "manual_site.hpp"
#include "scheduler_site.hpp"

#include <boost/test/unit_test.hpp>

// Workers that restart under their ids: nothing of the earlier process holds for the later one.

using namespace hornbeamrail;
using namespace hornbeamrail::test;

namespace {

/// Limit from the end of a run until a long-running task is at work again.
constexpr milliseconds restart_limit{6000};

/// Adds a VM and starts a long-running task on its worker.
/// @return id of the task's job
std::string run_one_task(scheduler_site& site) {
    site.add_vms(1);
    site.take_over();
    site.run(milliseconds(1000));
    const auto id = site.submit(long_running_job(1, 1));
    site.run(milliseconds(2000));
    BOOST_REQUIRE(site.running_tasks(id) == 1);
    return id;
}

step_spec short_step() {
    return {.count = 1, .need = {.cpu_millicores = 1000, .memory_mb = 1000}};
}

/// A worker that has listed an end, which is recorded, so that it can be acknowledged.
struct site_with_an_end : manual_site {
    site_with_an_end() {
        this->add_worker("w-1");
        this->confirm("w-1");
        this->first = this->start_task();
        this->answer(this->first, order_outcome::done);
    }

    /// Hands in a job of one task.
    /// @return its start order, in flight
    send_start start_task() {
        this->submit(short_step());
        this->run(milliseconds(60));
        BOOST_REQUIRE(!this->starts.empty());
        return std::exchange(this->starts, {}).back();
    }

    /// Reports the end, and goes on until the next hold is sent.
    const hold_order& next_hold_after_the_end() {
        this->answer_hold_with_end("w-1", 1, this->first.order);
        const auto before = this->holds["w-1"].size();
        for (int round = 0; round < 100 && this->holds["w-1"].size() == before; ++round) {
            this->run(milliseconds(5));
        }
        BOOST_REQUIRE(this->holds["w-1"].size() > before);
        return this->holds["w-1"].back().order;
    }

    send_start first;
};

} // namespace

// Guards against a second run of a task that is done: the worker restarted between two holds while the log
// was silent, and the hold that reached the later process acknowledged the ends of the earlier one.
BOOST_AUTO_TEST_CASE(restart_between_two_holds_discards_no_end) {
    scheduler_site site(4);
    site.add_vms(2);
    site.take_over();
    site.submit(batch_job(6));
    site.run(milliseconds(3000)); // the ends are recorded and acknowledged
    auto job = batch_job(2);
    job.steps.front().max_per_worker = 1;
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    const auto id = site.submit(job);
    site.run(milliseconds(300));
    site.unanswered_workers = {"w-2"}; // its end stays unknown, so that the second step waits
    site.log_is_up = false;
    site.run(milliseconds(1200));
    BOOST_REQUIRE(site.site.restart("m-pool-0", {}, site.now).has_value());
    site.site.set_duration(milliseconds(200));
    site.unanswered_workers.clear();
    site.run(milliseconds(3000));
    site.log_is_up = true;
    site.run(milliseconds(8000));
    BOOST_TEST(site.state_of(id) == "completed");
    for (const auto& violation : site.duplicate_runs()) {
        BOOST_ERROR(violation);
    }
}

// Guards against an acknowledgement that discards the end of a run which only a later process has executed:
// its start was in flight when the hold was sent.
BOOST_AUTO_TEST_CASE(no_end_is_acknowledged_while_a_start_is_in_flight) {
    site_with_an_end site;
    site.start_task();
    BOOST_TEST(site.next_hold_after_the_end().acknowledged_end == 0);
}

// Guards against the same with a start that was answered by a process younger than the latest report.
BOOST_AUTO_TEST_CASE(no_end_is_acknowledged_after_a_start_in_another_process) {
    site_with_an_end site;
    site.answer(site.start_task(), order_outcome::done, milliseconds(5));
    BOOST_TEST(site.next_hold_after_the_end().acknowledged_end == 0);
}

// Guards against a worker whose ends are never acknowledged: starts that are answered do not hold that up.
BOOST_AUTO_TEST_CASE(ends_are_acknowledged_after_the_starts_in_flight) {
    site_with_an_end site;
    site.answer(site.start_task(), order_outcome::done);
    BOOST_TEST(site.next_hold_after_the_end().acknowledged_end == 1);
}

// Guards against the same with a start that was sent after the hold: a process that has executed it must
// refuse the hold when it arrives late.
BOOST_AUTO_TEST_CASE(start_beside_an_acknowledgement_has_a_higher_fence) {
    site_with_an_end site;
    const auto acknowledgement = site.next_hold_after_the_end();
    BOOST_REQUIRE(acknowledgement.acknowledged_end == 1);
    BOOST_TEST(site.start_task().order.fence > acknowledgement.fence);
}

// Guards against the same with a hold that was not answered and may be executed later.
BOOST_AUTO_TEST_CASE(start_after_an_unanswered_acknowledgement_has_a_higher_fence) {
    site_with_an_end site;
    const auto acknowledgement = site.next_hold_after_the_end();
    const auto& hold = site.holds["w-1"].back();
    site.schedule.on_hold_report(hold.worker, hold.order, {}, site.now);
    site.run(milliseconds(20));
    site.answer_hold("w-1");
    BOOST_TEST(site.start_task().order.fence > acknowledgement.fence);
}

// Guards against a second run of a task that is done: a hold acknowledges the ends of the earlier process,
// the later one takes them for its own, and its ends are forgotten before anyone has read them.
BOOST_AUTO_TEST_CASE(restarted_worker_keeps_ends_that_nobody_has_read) {
    scheduler_site site(1);
    site.add_vms(1);
    site.take_over();
    site.submit(batch_job(6));
    site.run(milliseconds(3000)); // six ends are recorded
    site.unanswered_workers = {"w-1"};
    BOOST_REQUIRE(site.site.restart("m-pool-0", {.clock_stepped_back = true}, site.now).has_value());
    site.break_hold("w-1");
    site.submit(batch_job(3)); // starts in the later process, whose answers are lost
    site.run(milliseconds(2500));
    site.unanswered_workers.clear();
    site.run(milliseconds(5000));
    for (const auto& violation : site.duplicate_runs()) {
        BOOST_ERROR(violation);
    }
}

// Guards against a worker that is ignored for good: it came back at another address and its clock had stepped
// back, so its entry was taken for that of an earlier process, while holds went to the former address.
BOOST_AUTO_TEST_CASE(worker_with_an_earlier_clock_is_found_at_its_new_address) {
    scheduler_site site(2);
    site.entries_repeat = true;
    const auto id = run_one_task(site);
    const worker_restart changes{.clock_stepped_back = true, .new_address = true};
    BOOST_REQUIRE(site.site.restart("m-pool-0", changes, site.now).has_value());
    site.break_hold("w-1");
    site.run(restart_limit + milliseconds(1000));
    BOOST_TEST(site.running_tasks(id) == 1);
}

// Guards against the same with an answer of the ended process that arrives after the entry of the new one,
// which is written once: the entry was dropped, and the new address never asked.
BOOST_AUTO_TEST_CASE(late_answer_of_the_ended_process_does_not_hide_the_new_address) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        scheduler_site site(seed);
        const auto id = run_one_task(site);
        site.answer_jitter = milliseconds(1500);
        site.run(milliseconds(1200));
        const worker_restart changes{.clock_stepped_back = true, .new_address = true};
        BOOST_REQUIRE(site.site.restart("m-pool-0", changes, site.now).has_value());
        site.break_hold("w-1");
        site.run(milliseconds(1500));
        site.answer_jitter = milliseconds(0);
        site.run(restart_limit + milliseconds(1000));
        BOOST_TEST(site.running_tasks(id) == 1, "seed " << seed);
    }
}

// Guards against a worker that stays unlisted: its only entry came before its hold showed that its clock had
// stepped back.
BOOST_AUTO_TEST_CASE(entry_before_the_first_answer_of_a_restarted_worker_lists_it) {
    scheduler_site site(3);
    const auto id = run_one_task(site);
    site.unanswered_workers = {"w-1"};
    site.lapsed_entries = {"w-1"};
    BOOST_REQUIRE(site.site.restart("m-pool-0", {.clock_stepped_back = true}, site.now).has_value());
    site.break_hold("w-1");
    site.run(milliseconds(500));
    site.lapsed_entries.clear();
    site.run(milliseconds(1000));
    site.unanswered_workers.clear();
    site.run(restart_limit + milliseconds(1000));
    BOOST_TEST(site.running_tasks(id) == 1);
}
