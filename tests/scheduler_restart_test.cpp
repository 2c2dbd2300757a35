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

} // namespace

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
