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
    explicit site_with_an_end(std::int64_t fences = scheduler_options().fences_per_term)
        : manual_site(fences) {
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

/// Two workers, of which the first falls silent.
struct site_with_two_workers : manual_site {
    send_start start(const step_spec& step) {
        this->submit(step);
        this->run(milliseconds(60));
        BOOST_REQUIRE(!this->starts.empty());
        return std::exchange(this->starts, {}).back();
    }

    /// @return whether the task has been started on the second worker
    [[nodiscard]] bool is_started_elsewhere(const send_start& start) const {
        return std::any_of(this->starts.begin(), this->starts.end(), [&](const auto& later) {
            return later.order.task == start.order.task && later.worker.id == "w-2";
        });
    }

    /// Answers the holds of the second worker while the first one is silent.
    void go_on(milliseconds span) {
        for (const auto until = this->now + span; this->now < until;) {
            this->be_silent("w-1", milliseconds(50));
            this->answer_hold("w-2", this->on_second);
        }
    }

    /// Goes on until @p span after the start that is not answered.
    void go_on_until(milliseconds span) {
        this->go_on(std::chrono::duration_cast<milliseconds>(this->sent_at + span - this->now));
    }

    /// Lets the list of VMs show the one of the first worker down.
    void take_down_vm() {
        auto down = vm_of("m-1", "");
        down.condition = vm_condition::down;
        this->set_vms({down, vm_of("m-2", "w-2")}, this->now);
    }

    send_start running;
    send_start open;
    boot_time sent_at{};
    std::vector<running_task> on_second; ///< what the second worker reports
};

/// On the first worker, one task runs and the start of another is not answered.
struct site_with_an_open_start : site_with_two_workers {
    site_with_an_open_start() {
        this->add_worker("w-1");
        this->confirm("w-1");
        this->running = this->start(short_step());
        this->answer(this->running, order_outcome::done);
        this->open = this->start(short_step());
        this->sent_at = this->now;
        this->schedule.on_start_answer(this->open.worker, this->open.order, {}, this->now);
        this->add_worker("w-2");
        this->confirm("w-2");
    }
};

/// The same with two open starts of a job that has another task at work on the second worker.
struct site_with_open_starts : site_with_two_workers {
    site_with_open_starts() {
        this->add_worker("w-1");
        this->confirm("w-1");
        this->running = this->start(short_step());
        this->answer(this->running, order_outcome::done);
        this->add_worker("w-2");
        this->confirm("w-2");
        auto step = short_step();
        step.count = 3;
        step.max_per_worker = 2;
        this->submit(step);
        this->run(milliseconds(60));
        const auto sent = std::exchange(this->starts, {});
        BOOST_REQUIRE(sent.size() == 3);
        BOOST_REQUIRE((sent[0].worker.id == "w-1" && sent[2].worker.id == "w-2"));
        this->open = sent[0];
        this->sent_at = this->now;
        this->schedule.on_start_answer(sent[0].worker, sent[0].order, {}, this->now);
        this->schedule.on_start_answer(sent[1].worker, sent[1].order, {}, this->now);
        this->answer(sent[2], order_outcome::done);
        this->on_second = {{.task = sent[2].order.task, .run = sent[2].order.run}};
    }
};

/// Least time for which a job with nothing at work waits for a VM that is down, and the longest time for
/// which it may have nothing at work.
constexpr milliseconds least_idle_wait{4000};
constexpr milliseconds longest_idle_time{7000};
/// Longest time after which an order without an answer is executed, and longest lease.
constexpr milliseconds longest_delay{12000};
constexpr milliseconds longest_lease{6000};

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

// Guards against a worker that is stuck for good: the end of a run whose start was not answered stands behind
// more ends than one report lists, and none of them was acknowledged because of that start.
BOOST_AUTO_TEST_CASE(more_ends_than_one_report_lists_are_acknowledged_beside_an_open_start) {
    scheduler_site site(6);
    site.add_vms(1);
    site.take_over();
    site.run(milliseconds(1000));
    auto wide = batch_job(700, 5);
    wide.account.clear();
    wide.steps.front().need.memory_mb = 1;
    const auto first = site.submit(wide);
    site.run(milliseconds(700));
    BOOST_REQUIRE(site.running_tasks(first) == 700);
    site.cut_workers = {"w-1"};
    const auto second = site.submit(batch_job(2));
    site.run(milliseconds(4000));
    site.cut_workers.clear();
    site.run(milliseconds(4000));
    BOOST_TEST(site.state_of(first) == "completed");
    BOOST_TEST(site.state_of(second) == "completed");
    BOOST_TEST(site.duplicate_runs().empty());
}

// Guards against a worker whose ends are never acknowledged: starts that are answered do not hold that up.
BOOST_AUTO_TEST_CASE(ends_are_acknowledged_after_the_starts_in_flight) {
    site_with_an_end site;
    site.answer(site.start_task(), order_outcome::done);
    const auto acknowledgement = site.next_hold_after_the_end();
    BOOST_TEST(acknowledgement.acknowledged_end == 1);
    BOOST_TEST((acknowledgement.wait > milliseconds(0))); // no call more
}

// Guards against a term that runs out of fences: each start beside an acknowledgement takes one.
BOOST_AUTO_TEST_CASE(acknowledgements_do_not_wait_when_fences_get_scarce) {
    constexpr std::int64_t fences = 4;
    site_with_an_end site(fences);
    for (int refused = 0; refused < 2; ++refused) {
        const auto start = site.start_task();
        site.schedule.on_start_answer(start.worker, start.order, {}, site.now); // raises the fence
        site.run(milliseconds(20));
        site.answer_hold("w-1", {{.task = site.first.order.task, .run = 1}});
        site.run(milliseconds(200));
        for (const auto& again : std::exchange(site.starts, {})) {
            site.answer(again, order_outcome::rejected);
        }
    }
    const auto acknowledgement = site.next_hold_after_the_end();
    BOOST_TEST(acknowledgement.acknowledged_end == 1);
    BOOST_TEST((acknowledgement.wait == milliseconds(0)));
    BOOST_TEST(acknowledgement.fence < 2 * fences); // the first one of the next term
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

// Guards against the same with two restarts: the late answer of the first of two processes that the scheduler
// does not know yet dropped the entry of the second one.
BOOST_AUTO_TEST_CASE(late_answer_between_two_restarts_does_not_hide_the_new_address) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        scheduler_site site(seed);
        const auto id = run_one_task(site);
        site.answer_jitter = milliseconds(800);
        site.run(milliseconds(1200));
        site.site.restart("m-pool-0", {.clock_stepped_back = true}, site.now);
        site.break_hold("w-1");
        site.run(milliseconds(100 + 10 * static_cast<int>(seed)));
        site.site.restart("m-pool-0", {.clock_stepped_back = true, .new_address = true}, site.now);
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

// Guards against two runs of a task: its start order reaches a later process of the worker seconds later and
// gets a lease of full length there.
BOOST_AUTO_TEST_CASE(late_start_in_a_later_process_is_not_run_elsewhere) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        scheduler_site site(seed);
        site.entries_repeat = true;
        site.orders_outlive_processes = true;
        site.site.set_duration(milliseconds(5000));
        site.add_vms(3);
        site.take_over();
        site.run(milliseconds(13000));       // the leases that a predecessor may have granted have expired
        site.submit(long_running_job(1, 1)); // the next task goes to the worker in use
        site.run(milliseconds(2000));
        BOOST_REQUIRE(site.site.history().size() == 1);
        const auto worker = site.site.history().front().worker;
        site.late_workers = {worker};
        const auto id = site.submit(batch_job(1));
        site.run(milliseconds(150));
        site.site.restart(worker == "w-1" ? "m-pool-0" : "m-pool-1", {}, site.now);
        site.break_hold(worker);
        site.run(milliseconds(7000));
        site.late_workers.clear();
        site.run(milliseconds(40000));
        BOOST_TEST(site.state_of(id) == "completed", "seed " << seed);
        for (const auto& violation : site.duplicate_runs()) {
            BOOST_ERROR("seed " << seed << ": " << violation);
        }
    }
}

// Guards against the same in single steps: when the leases of the known process have expired, its run has
// ended, but the order without an answer may still be executed.
BOOST_FIXTURE_TEST_CASE(open_start_outlives_the_leases_of_the_known_process, site_with_an_open_start) {
    this->go_on_until(longest_lease * 2 + milliseconds(1000));
    BOOST_TEST(this->is_started_elsewhere(this->running));
    this->go_on_until(longest_delay + longest_lease);
    BOOST_TEST(!this->is_started_elsewhere(this->open));
    this->go_on_until(longest_delay + longest_lease * 2 + milliseconds(1000));
    BOOST_TEST(this->is_started_elsewhere(this->open));
}

// Guards against the same while the VM of the worker is down: it may come back under its id. Another task of
// the job is at work.
BOOST_FIXTURE_TEST_CASE(open_start_outlives_the_loss_of_the_vm, site_with_open_starts) {
    this->set_vms({vm_of("m-1", "w-1"), vm_of("m-2", "w-2")}, this->now);
    this->go_on_until(milliseconds(1000));
    this->take_down_vm();
    this->go_on_until(longest_delay - milliseconds(500));
    BOOST_TEST(this->is_started_elsewhere(this->running));
    BOOST_TEST(!this->is_started_elsewhere(this->open));
    this->go_on_until(longest_delay + milliseconds(500));
    BOOST_TEST(this->is_started_elsewhere(this->open));
}

// Guards against a job that has nothing at work for longer than permitted while the VM is down: it waits for
// the VM to come back, but not for as long as the order may be late.
BOOST_FIXTURE_TEST_CASE(open_start_of_an_idle_job_waits_for_the_vm, site_with_an_open_start) {
    this->set_vms({vm_of("m-1", "w-1"), vm_of("m-2", "w-2")}, this->now);
    this->go_on_until(milliseconds(1000));
    this->take_down_vm();
    this->go_on_until(milliseconds(1000) + least_idle_wait);
    BOOST_TEST(this->is_started_elsewhere(this->running));
    BOOST_TEST(!this->is_started_elsewhere(this->open));
    this->go_on_until(milliseconds(1000) + longest_idle_time);
    BOOST_TEST(this->is_started_elsewhere(this->open));
}

// Guards against a second run of such a task: the worker comes back under its id, and its new process has
// executed the order.
BOOST_FIXTURE_TEST_CASE(open_start_of_an_idle_job_is_found_on_the_returned_vm, site_with_an_open_start) {
    this->set_vms({vm_of("m-1", "w-1"), vm_of("m-2", "w-2")}, this->now);
    this->go_on_until(milliseconds(1000));
    this->take_down_vm();
    this->go_on_until(milliseconds(4000));
    this->set_vms({vm_of("m-1", "w-1"), vm_of("m-2", "w-2")}, this->now);
    this->add_worker("w-1", 2);
    for (const auto until = this->now + longest_delay; this->now < until;) {
        this->run(milliseconds(50));
        this->answer_hold("w-1", {{.task = this->open.order.task, .run = 1}}, 2);
        this->answer_hold("w-2");
    }
    BOOST_TEST(!this->is_started_elsewhere(this->open));
}

// Guards against a task that waits although its worker does not come back: its VM runs another one.
BOOST_FIXTURE_TEST_CASE(open_start_ends_when_another_worker_runs_on_the_vm, site_with_an_open_start) {
    this->set_vms({vm_of("m-1", "w-1"), vm_of("m-2", "w-2")}, this->now);
    this->go_on_until(milliseconds(1000));
    this->take_down_vm();
    this->go_on_until(milliseconds(2000));
    BOOST_TEST(!this->is_started_elsewhere(this->open));
    this->set_vms({vm_of("m-1", "w-3"), vm_of("m-2", "w-2")}, this->now);
    this->go_on_until(milliseconds(3000));
    BOOST_TEST(this->is_started_elsewhere(this->open));
}

// Guards against ends that are never acknowledged: they waited for the log when their worker was declared
// lost, and the worker comes back.
BOOST_AUTO_TEST_CASE(worker_that_comes_back_gets_its_ends_acknowledged) {
    site_with_an_end site;
    const auto running = site.start_task();
    site.answer(running, order_outcome::done);
    const auto open = site.start_task();
    site.log_answers = false;
    site.answer_hold_with_end("w-1", 1, site.first.order);
    site.schedule.on_start_answer(open.worker, open.order, {}, site.now);
    site.run(milliseconds(50));
    site.be_silent("w-1", longest_lease * 2 + milliseconds(2000)); // all but the open start is given up
    site.log_answers = true;
    site.answer_appends();
    std::int64_t acknowledged = 0;
    for (int hold = 0; hold < 20 && acknowledged == 0; ++hold) {
        site.answer_hold_with_end("w-1", 1, site.first.order);
        site.run(milliseconds(300));
        for (const auto& start : std::exchange(site.starts, {})) {
            site.answer(start, order_outcome::no_room); // of the tasks that were given up
        }
        acknowledged = site.holds["w-1"].back().order.acknowledged_end;
    }
    BOOST_TEST(acknowledged == 1);
}

// Guards against leases that are computed from the clock of another process: the answer to an order of before
// the restart arrives after it.
BOOST_AUTO_TEST_CASE(answer_of_an_earlier_process_does_not_set_the_clock) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    const stop_order stop{.task = {.job = "a"}, .run = 1};
    site.schedule.on_stop_answer({.id = "w-1"}, stop,
                                 {.outcome = order_outcome::done, .worker_clock = std::chrono::hours(1)},
                                 site.now);
    site.submit(short_step());
    site.run(milliseconds(60));
    BOOST_REQUIRE(site.starts.size() == 1);
    BOOST_TEST((site.starts.front().order.lease_until < milliseconds(10000)));
}

// Guards against a start order to a worker that has stopped answering while the start was recorded.
BOOST_AUTO_TEST_CASE(recorded_start_is_not_sent_to_a_silent_worker) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    site.log_answers = false;
    site.submit(short_step());
    site.run(milliseconds(60));
    BOOST_REQUIRE(site.starts.empty());
    site.be_silent("w-1", milliseconds(100));
    site.log_answers = true;
    site.answer_appends();
    site.run(milliseconds(100));
    BOOST_TEST(site.starts.empty());
}

// Guards against a start on a worker that is in another pool, or has lost the label that its step requires,
// since the task was placed; and against a part of a gang that waits for the rest.
BOOST_AUTO_TEST_CASE(recorded_start_is_not_sent_to_a_worker_that_has_changed) {
    auto labelled = short_step();
    labelled.required_label = "r1";
    auto pair = labelled;
    pair.count = 2;
    pair.max_per_worker = 1;
    pair.gang = true;
    const worker_entry usual{.id = "w-1",
                             .instance_started_ms = 1,
                             .pool = "pool",
                             .address = {.address = "127.0.0.1", .port = 1},
                             .zone = "zone-a",
                             .capacity = {.cpu_millicores = 32000, .memory_mb = 65536},
                             .labels = {"a", "r1"}};
    auto elsewhere = usual;
    elsewhere.pool = "other";
    auto other_kind = usual;
    other_kind.labels = {"a", "r2"};
    for (const auto& step : {labelled, pair}) {
        for (const auto& changed : {usual, elsewhere, other_kind}) {
            manual_site site;
            for (const auto* worker : {"w-1", "w-2"}) {
                site.add_worker(worker);
                site.confirm(worker);
            }
            site.log_answers = false;
            site.submit(step);
            site.run(milliseconds(60));
            BOOST_REQUIRE(site.starts.empty());
            site.schedule.on_worker(changed, site.now);
            site.answer_appends();
            site.run(milliseconds(5));
            const bool is_changed = changed.pool != usual.pool || changed.labels != usual.labels;
            BOOST_TEST(site.starts.size() == static_cast<std::size_t>(is_changed ? 0 : step.count));
        }
    }
}

// Guards against two runs of a task: a worker lists a run of it that counted as missing, and it is started
// elsewhere while that run is being stopped.
BOOST_FIXTURE_TEST_CASE(task_waits_until_a_listed_run_has_ended, site_with_an_open_start) {
    constexpr bool draining = true;
    this->add_worker("w-2", 1, draining);
    this->be_silent("w-1", milliseconds(50));
    this->answer_hold("w-1"); // the task is not listed, so it waits
    this->run(milliseconds(30));
    this->answer_hold("w-1", {{.task = this->open.order.task, .run = 1}});
    this->add_worker("w-2", 1, !draining);
    this->run(milliseconds(100));
    BOOST_TEST(!this->is_started_elsewhere(this->open));
    this->answer_hold("w-1");
    this->run(milliseconds(1000));
    BOOST_TEST(this->is_started_elsewhere(this->open));
}
