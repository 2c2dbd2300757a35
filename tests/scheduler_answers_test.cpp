#include "manual_site.hpp"
#include "state/job_index.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

// Answers that come late, out of order or not at all, and decisions that wait for them.

using namespace hornbeamrail;
using namespace hornbeamrail::test;

namespace {

step_spec long_running_step(std::int32_t count) {
    return {.count = count,
            .need = {.cpu_millicores = 20000, .memory_mb = 1000},
            .long_running = true,
            .max_per_worker = 1,
            .max_unavailable = 1};
}

} // namespace

// Guards against a count of calls for advice in flight that never falls again: after four tickets refused
// while a new call was in flight, no step of any queue with advice started for the rest of the term.
BOOST_AUTO_TEST_CASE(refused_tickets_do_not_use_up_the_calls_for_advice) {
    manual_site site;
    for (const auto* worker : {"w-1", "w-2"}) {
        site.add_worker(worker);
        site.confirm(worker);
    }
    site.submit({.count = 2, .need = {.cpu_millicores = 20000, .memory_mb = 1000}}, "advised");
    for (int round = 0; round < 6; ++round) {
        site.run(milliseconds(1000));
        for (const auto& request : std::exchange(site.advice, {})) {
            site.answer(request);
        }
        site.run(milliseconds(300));
        const auto refused = std::exchange(site.starts, {});
        BOOST_TEST_CONTEXT("round " << round) {
            BOOST_REQUIRE(refused.size() == 2);
        }
        site.answer(refused[0], order_outcome::no_ticket);
        site.run(milliseconds(50)); // the scheduler calls for advice again
        site.answer(refused[1], order_outcome::no_ticket);
    }
}

// Guards against a task that waits although a worker may run it: the worker came while no call for advice was
// allowed, and when the next one was, nothing searched for workers.
BOOST_AUTO_TEST_CASE(advice_for_a_new_worker_is_requested_as_soon_as_allowed) {
    constexpr milliseconds pause_between_calls{300};
    for (milliseconds joins_after{0}; joins_after < milliseconds(200); joins_after += milliseconds(10)) {
        manual_site site;
        site.add_worker("w-1");
        site.confirm("w-1");
        site.submit(long_running_step(2), "advised");
        site.run(milliseconds(20));
        BOOST_REQUIRE(site.advice.size() == 1);
        const auto requested = site.now;
        site.answer(site.advice.front());
        site.run(milliseconds(40));
        BOOST_REQUIRE(site.starts.size() == 1); // one task on each worker
        site.answer(site.starts.front(), order_outcome::done);
        site.run(joins_after);
        site.add_worker("w-2");
        site.confirm("w-2");
        site.run(std::chrono::duration_cast<milliseconds>(requested + pause_between_calls + milliseconds(40) -
                                                          site.now));
        BOOST_TEST(site.advice.size() == 2, "joins after " << joins_after.count() << " ms");
    }
}

// Guards against two runs of a task: the late answer to a hold of an earlier record of the worker was taken
// for that of the hold in flight, whose list would have named the run.
BOOST_AUTO_TEST_CASE(answer_to_an_earlier_hold_ends_no_run) {
    manual_site site;
    site.add_worker("w-1");
    site.run(milliseconds(20));
    const auto first = site.holds["w-1"].back();
    site.schedule.on_worker_removed("w-1", site.now);
    site.add_worker("w-1");
    site.run(milliseconds(20));
    BOOST_REQUIRE(site.holds["w-1"].size() == 2);
    const auto second = site.holds["w-1"].back();
    site.answer(first); // overtakes the answer to the second one
    site.run(milliseconds(20));
    if (site.holds["w-1"].size() == 2) {
        site.answer(second);
        site.run(milliseconds(20));
    }
    site.answer_hold("w-1");
    site.run(milliseconds(40));
    const auto job = site.submit(long_running_step(1));
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.starts.size() == 1);
    site.answer(site.starts.front(), order_outcome::done);
    const running_task run{.task = site.starts.front().order.task, .run = 1};
    site.answer_hold("w-1", {run});
    site.run(milliseconds(40));
    site.answer(second);
    site.run(milliseconds(500));
    BOOST_TEST(site.starts.size() == 1);
}

// Guards against a live worker that is taken for replaced: the list that an earlier term requested arrived
// after a newer one.
BOOST_AUTO_TEST_CASE(earlier_vm_list_replaces_no_worker) {
    manual_site site;
    site.run(milliseconds(10));
    const auto before = site.now;
    site.begin_term();
    site.add_worker("w-2");
    site.confirm("w-2");
    site.set_vms({vm_of("m-1", "w-2")}, site.now);
    site.submit(long_running_step(1));
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.starts.size() == 1);
    site.answer(site.starts.front(), order_outcome::done);
    site.set_vms({vm_of("m-1", "w-1")}, before);
    site.run(milliseconds(500));
    const auto workers = site.schedule.dump(site.now).at("workers").as_array();
    BOOST_REQUIRE(workers.size() == 1);
    BOOST_TEST(workers.front().at("tasks").to_number<std::int64_t>() == 1);
}

// Guards against two runs of a task that was started while its worker restarted: the report that shows the
// restart lists the run.
BOOST_AUTO_TEST_CASE(run_that_a_restarted_worker_lists_is_not_started_again) {
    manual_site site;
    for (const auto* worker : {"w-1", "w-2"}) {
        site.add_worker(worker);
        site.confirm(worker);
    }
    site.submit(long_running_step(1));
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.starts.size() == 1);
    const auto start = site.starts.front();
    site.answer(start, order_outcome::done); // the new process accepted it
    site.answer_hold(start.worker.id, {{.task = start.order.task, .run = 1}}, 2);
    site.run(milliseconds(500));
    BOOST_TEST(site.starts.size() == 1);
}

// Guards against a second run of a task that had ended: the scheduler acknowledged the end to a new process
// of the worker before it was listed, because the end of the earlier process had the same number.
BOOST_AUTO_TEST_CASE(restarted_worker_gets_no_acknowledgement_of_earlier_ends) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    site.submit({.count = 1, .need = {.cpu_millicores = 2000, .memory_mb = 1000}});
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.starts.size() == 1);
    site.answer(site.starts.front(), order_outcome::done);
    site.run(milliseconds(40));
    site.log_answers = false;
    auto report = site.report_of({}, 1);
    report.ended = {
        {.number = 1, .task = site.starts.front().order.task, .run = 1, .outcome = task_end::failed}};
    site.schedule.on_hold_report(site.holds["w-1"].back().worker, site.holds["w-1"].back().order, report,
                                 site.now);
    site.run(milliseconds(1600)); // the append that records the end is not answered yet
    site.answer_hold("w-1", {}, 2);
    site.answer_appends();
    site.run(milliseconds(100));
    BOOST_TEST(site.holds["w-1"].back().order.acknowledged_end == 0);
}

// Guards against a start that the log does not hold: the record of an earlier run of the task on the same
// worker was taken for that of the new run.
BOOST_AUTO_TEST_CASE(record_of_an_earlier_run_starts_no_later_one) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    site.log_answers = false;
    site.submit(long_running_step(1));
    site.run(milliseconds(30)); // the append that records the first run is not answered yet
    const auto hold = site.holds["w-1"].back();
    site.schedule.on_hold_report(hold.worker, hold.order, {.outcome = order_outcome::other_worker}, site.now);
    site.add_worker("w-1");
    site.confirm("w-1");
    BOOST_REQUIRE(site.commits.size() == 1);
    site.answer_appends();
    site.run(milliseconds(40));
    BOOST_TEST(site.starts.empty());
    site.answer_appends(); // records the second run
    site.run(milliseconds(40));
    BOOST_REQUIRE(site.starts.size() == 1);
    BOOST_TEST(site.starts.front().order.run == 2);
}

// Guards against a worker that refuses every order for the rest of a term because it has seen a higher fence
// of the same term, for whatever reason: no successor can exist while answers of the log confirm the term.
BOOST_AUTO_TEST_CASE(worker_with_a_higher_fence_of_this_term_takes_tasks_again) {
    manual_site site;
    site.add_worker("w-1");
    site.run(milliseconds(20));
    const auto seen = site.holds["w-1"].back().order.fence + 3;
    std::size_t answered = 0;
    for (int round = 0; round < 600; ++round) {
        site.run(milliseconds(10));
        const auto& holds = site.holds["w-1"];
        if (holds.size() > answered) {
            const auto& hold = holds.back();
            answered = holds.size();
            auto report = manual_site::report_of({}, 1);
            report.outcome = hold.order.fence < seen ? order_outcome::fenced : order_outcome::done;
            site.schedule.on_hold_report(hold.worker, hold.order, report, site.now);
        }
    }
    BOOST_TEST(site.holds["w-1"].back().order.fence == seen);
    site.submit(long_running_step(1));
    site.run(milliseconds(100));
    BOOST_TEST(site.starts.size() == 1);
}

// Guards against a job that runs again minutes after its end: the log did not store the drop of its record,
// its state was dropped nevertheless, and the next scheduler loads it as a new job.
BOOST_AUTO_TEST_CASE(state_of_a_job_stays_while_its_record_may_remain) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    const auto job = site.submit({.count = 1, .need = {.cpu_millicores = 2000, .memory_mb = 1000}});
    site.run(milliseconds(100));
    site.schedule.on_job_record(0, {.key = job + std::string(cancel_suffix), .value = "1"}, site.now);
    BOOST_REQUIRE(site.starts.size() == 1);
    site.answer(site.starts.front(), order_outcome::late);
    site.run(milliseconds(5000));
    BOOST_REQUIRE(site.drops == 1);
    site.run(site_limits().final_state_retention + milliseconds(5000));
    BOOST_TEST(site.deleted_states == 0);
}

// Guards against the same after a drop that the log refused: it is repeated, and the state goes only then.
BOOST_AUTO_TEST_CASE(refused_drop_of_a_job_record_is_repeated) {
    manual_site site;
    site.drop_succeeds = false;
    const auto job = site.submit({.count = 1, .need = {.cpu_millicores = 2000, .memory_mb = 1000}});
    site.run(milliseconds(100));
    site.schedule.on_job_record(0, {.key = job + std::string(cancel_suffix), .value = "1"}, site.now);
    site.run(site_limits().final_state_retention + milliseconds(5000));
    BOOST_TEST(site.drops > 1);
    BOOST_TEST(site.deleted_states == 0);
    site.drop_succeeds = true;
    site.run(milliseconds(5000));
    BOOST_TEST(site.deleted_states == 1);
}

// Guards against a partition of the jobs topic that refuses drops for good: the records and states of all
// other jobs stayed as well.
BOOST_AUTO_TEST_CASE(refused_drop_in_one_partition_keeps_no_record_of_another) {
    manual_site site;
    site.drop_succeeds = true;
    site.partition_without_drops = 1;
    for (const std::int32_t partition : {0, 1, 2}) {
        const auto job = site.submit({.count = 1, .need = {.cpu_millicores = 2000}}, "batch", partition);
        site.run(milliseconds(100));
        site.schedule.on_job_record(partition, {.key = job + std::string(cancel_suffix), .value = "1"},
                                    site.now);
    }
    site.run(site_limits().final_state_retention + milliseconds(5000));
    BOOST_TEST(site.deleted_states == 2);
}

// Guards against a gang that is forgotten: its start was refused, its retry was not due yet when the
// scheduler looked, and nothing else happened.
BOOST_AUTO_TEST_CASE(gang_is_placed_again_after_a_refused_start) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    site.submit({.count = 2, .need = {.cpu_millicores = 2000, .memory_mb = 1000}, .gang = true});
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.starts.size() == 2);
    const auto refused = std::exchange(site.starts, {});
    for (const auto& start : refused) {
        site.answer(start, order_outcome::late);
    }
    site.run(milliseconds(1000));
    BOOST_TEST(site.starts.size() == 2);
}

// Guards against a task that waits although the only VM with room was released: its maintenance was refused,
// and the scheduler did not look again.
BOOST_AUTO_TEST_CASE(refused_vm_order_lets_waiting_tasks_start) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    site.set_vms({vm_of("m-1", "w-1")}, site.now);
    site.schedule.set_waves({{.number = 1, .vms = {"m-1"}, .duration = milliseconds(20000), .max_down = 1}});
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.maintenance.size() == 1);
    site.submit(long_running_step(1));
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.starts.empty());
    site.schedule.on_vm_order(site.maintenance.front().order, vm_order_outcome::wrong_wave, site.now);
    site.run(milliseconds(1000));
    BOOST_TEST(site.starts.size() == 1);
}

// Guards against a task that waits until a ticket expires: the advice was given when other workers took
// tasks, and those that take tasks now were never asked about.
BOOST_AUTO_TEST_CASE(advice_is_requested_for_workers_that_came_later) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    site.submit(long_running_step(2), "advised");
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.advice.size() == 1);
    site.answer(site.advice.front());
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.starts.size() == 1);
    site.answer(site.starts.front(), order_outcome::done);
    site.add_worker("w-2");
    site.run(milliseconds(20));
    site.answer_hold("w-2");
    site.run(milliseconds(20));
    site.answer_hold("w-2");
    site.run(milliseconds(3000));
    BOOST_TEST(site.advice.size() == 2);
}

// Guards against tasks that wait for advice about workers which cannot run them: a call named workers without
// the required label, or with as many tasks of the step as they may have, and left out the one that can.
BOOST_AUTO_TEST_CASE(advice_is_requested_for_workers_that_may_run_the_step) {
    constexpr int others = 40; // more than a call names
    manual_site site;
    const auto add = [&site](const std::string& id, const std::string& label) {
        site.schedule.on_worker({.id = id,
                                 .instance_started_ms = 1,
                                 .pool = "pool",
                                 .address = {.address = "127.0.0.1", .port = 1},
                                 .zone = "zone-a",
                                 .capacity = {.cpu_millicores = 32000, .memory_mb = 65536},
                                 .labels = {"a", label}},
                                site.now);
        site.confirm(id);
    };
    for (int number = 0; number < others; ++number) {
        add(fmt::format("w-{}", 100 + number), "r2");
    }
    add("w-200", "r1");
    step_spec step = long_running_step(2);
    step.required_label = "r1";
    site.submit(step, "advised");
    site.run(milliseconds(20));
    BOOST_REQUIRE(site.advice.size() == 1);
    BOOST_TEST(site.advice.front().call.workers == std::vector<std::string>{"w-200"},
               boost::test_tools::per_element());
    site.answer(std::exchange(site.advice, {}).front());
    site.run(milliseconds(60));
    BOOST_REQUIRE(site.starts.size() == 1);
    site.answer(site.starts.front(), order_outcome::done);
    site.run(milliseconds(400));
    BOOST_TEST(site.advice.empty()); // the only worker with the label has a task of the step
}

// Guards against a VM that drains for ever and a wave that never ends: the order that moves a long-running
// task away from it was refused, and was not repeated.
BOOST_AUTO_TEST_CASE(refused_stop_of_a_task_on_a_draining_vm_is_repeated) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    site.submit({.count = 2,
                 .need = {.cpu_millicores = 2000, .memory_mb = 1000},
                 .long_running = true,
                 .max_unavailable = 1});
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.starts.size() == 2);
    std::vector<running_task> runs;
    for (const auto& start : site.starts) {
        site.answer(start, order_outcome::done);
        runs.push_back({.task = start.order.task, .run = start.order.run});
    }
    site.answer_hold("w-1", runs);
    site.add_worker("w-2"); // with room for the task
    site.confirm("w-2");
    site.set_vms({vm_of("m-1", "w-1")}, site.now);
    site.schedule.set_waves({{.number = 1, .vms = {"m-1"}, .duration = milliseconds(60000), .max_down = 1}});
    site.run(milliseconds(200));
    BOOST_REQUIRE(site.stops.size() == 1);
    const auto refused = site.stops.front();
    site.schedule.on_stop_answer(refused.worker, refused.order, {.outcome = order_outcome::unhealthy},
                                 site.now);
    for (int round = 0; round < 4; ++round) {
        site.answer_hold("w-1", runs);
        site.run(milliseconds(500));
    }
    BOOST_TEST(site.stops.size() > 1);
}

// Guards against a best-effort task that stands still for ever: it was slowed down for a task with a latency
// target, and that task left the worker.
BOOST_AUTO_TEST_CASE(best_effort_task_gets_its_speed_back_when_it_is_alone) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    const auto serving = site.submit({.count = 1,
                                      .need = {.cpu_millicores = 2000, .memory_mb = 1000},
                                      .long_running = true,
                                      .latency_target = milliseconds(100)});
    site.submit({.count = 1, .need = {.cpu_millicores = 2000, .memory_mb = 1000}, .best_effort = true});
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.starts.size() == 2);
    std::vector<running_task> runs;
    for (const auto& start : site.starts) {
        site.answer(start, order_outcome::done);
        runs.push_back({.task = start.order.task, .run = start.order.run, .latest_load = 500});
    }
    site.answer_hold("w-1", runs);
    site.run(milliseconds(3000));
    BOOST_REQUIRE(!site.paces.empty());
    BOOST_REQUIRE(site.paces.back().order.percent < 50);
    site.schedule.on_job_record(0, {.key = serving + std::string(cancel_suffix), .value = "1"}, site.now);
    std::erase_if(runs, [&serving](const auto& run) { return run.task.job == serving; });
    site.answer_hold("w-1", runs); // the cancelled run is gone
    site.run(milliseconds(20000));
    BOOST_TEST(site.paces.back().order.percent == 100);
}

// Guards against a task that is offered to one worker for ever, although another has room: the worker answers
// holds and leaves starts unanswered.
BOOST_AUTO_TEST_CASE(task_whose_start_was_not_answered_goes_to_another_worker) {
    manual_site site;
    for (const auto* worker : {"w-1", "w-2"}) {
        site.add_worker(worker);
        site.confirm(worker);
    }
    site.submit(long_running_step(1));
    std::set<std::string> tried;
    for (int attempt = 0; attempt < 4; ++attempt) {
        site.run(milliseconds(300));
        if (site.starts.empty()) {
            continue;
        }
        const auto start = std::exchange(site.starts, {}).front();
        tried.insert(start.worker.id);
        site.run(milliseconds(600));
        site.answer(start, order_outcome::unknown);
        site.run(milliseconds(20));
        site.answer_hold(start.worker.id); // with the raised fence: the run does not exist
    }
    BOOST_TEST(tried.size() == 2);
}

// Guards against two runs of a task: the answer to a hold of an earlier term on the same node was taken for
// that of the hold in flight.
BOOST_AUTO_TEST_CASE(answer_to_a_hold_of_an_earlier_term_is_ignored) {
    manual_site site;
    site.add_worker("w-1");
    site.run(milliseconds(20));
    const auto earlier = site.holds["w-1"].back();
    site.begin_term();
    site.add_worker("w-1");
    site.run(milliseconds(20));
    BOOST_REQUIRE(site.holds["w-1"].size() == 2);
    site.answer(earlier);
    site.run(milliseconds(100));
    BOOST_TEST(site.holds["w-1"].size() == 2); // the one in flight has no answer yet
}

// Guards against a late order that a worker carries out after the scheduler gave it up: the fence of the
// worker stayed the same when it was declared lost.
BOOST_AUTO_TEST_CASE(lost_worker_comes_back_with_a_higher_fence) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    site.submit(long_running_step(1));
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.starts.size() == 1);
    const auto hold = site.holds["w-1"].back();
    site.schedule.on_hold_report(hold.worker, hold.order, {.outcome = order_outcome::other_worker}, site.now);
    site.add_worker("w-1");
    site.run(milliseconds(20));
    BOOST_TEST(site.holds["w-1"].back().order.fence > site.starts.front().order.fence);
}

// Guards against a best-effort task that stays slowed down for good: the answer to the order was lost, and
// the scheduler went on with the pace before it.
BOOST_AUTO_TEST_CASE(pace_whose_answer_was_lost_is_ordered_again) {
    manual_site site;
    site.add_worker("w-1");
    site.confirm("w-1");
    site.submit({.count = 1,
                 .need = {.cpu_millicores = 2000, .memory_mb = 1000},
                 .long_running = true,
                 .latency_target = milliseconds(100)});
    site.submit({.count = 1, .need = {.cpu_millicores = 2000, .memory_mb = 1000}, .best_effort = true});
    site.run(milliseconds(100));
    BOOST_REQUIRE(site.starts.size() == 2);
    std::vector<running_task> runs;
    for (const auto& start : site.starts) {
        site.answer(start, order_outcome::done);
        runs.push_back({.task = start.order.task, .run = start.order.run, .latest_load = 500});
    }
    site.pace_outcome = order_outcome::unknown;
    site.answer_hold("w-1", runs);
    site.run(milliseconds(500));
    BOOST_REQUIRE(site.paces.size() == 1);
    site.pace_outcome = order_outcome::done;
    for (auto& run : runs) {
        run.latest_load = 10;
    }
    site.answer_hold("w-1", runs);
    site.run(milliseconds(3000));
    BOOST_TEST(site.paces.back().order.percent == 100);
}

namespace {

/// Two workers; a long-running task runs on the first, for which an entry of another writer arrives.
struct foreign_entry_fixture : manual_site {
    foreign_entry_fixture() {
        this->add_worker("w-1");
        this->confirm("w-1");
        this->submit(long_running_step(1));
        this->run(milliseconds(100));
        BOOST_REQUIRE(this->starts.size() == 1);
        this->answer(this->starts.front(), order_outcome::done);
        this->add_worker("w-2");
        this->confirm("w-2");
    }

    void add_foreign_entry() {
        constexpr std::int64_t instance = 1;
        this->add_worker("w-1", instance, false, foreign_port);
    }

    [[nodiscard]] running_task running() const { return {.task = this->starts.front().order.task, .run = 1}; }

    static constexpr std::uint16_t foreign_port = 2;
};

} // namespace

// Guards against two runs of a task: an entry of another writer named the address of another worker, which
// answered the hold, and the task was started elsewhere although its worker went on.
BOOST_FIXTURE_TEST_CASE(entry_with_another_address_replaces_no_worker_that_answers, foreign_entry_fixture) {
    this->add_foreign_entry();
    for (int hold = 0; hold < 3; ++hold) {
        this->answer_hold("w-1", {this->running()});
        this->run(milliseconds(100));
        BOOST_TEST(this->holds["w-1"].back().worker.address.port != foreign_port);
    }
    BOOST_TEST(this->starts.size() == 1);
}

// Guards against the same with a worker that is silent for a moment: the answer of another worker at an
// address where it has never answered shows nothing.
BOOST_FIXTURE_TEST_CASE(another_worker_at_an_unknown_address_ends_no_run, foreign_entry_fixture) {
    this->add_foreign_entry();
    this->be_silent("w-1", milliseconds(100));
    this->run(milliseconds(600)); // the next hold is in flight
    BOOST_REQUIRE(this->holds["w-1"].back().worker.address.port == foreign_port);
    const auto hold = this->holds["w-1"].back();
    this->schedule.on_hold_report(hold.worker, hold.order, {.outcome = order_outcome::other_worker},
                                  this->now);
    this->run(milliseconds(500));
    BOOST_TEST(this->starts.size() == 1);
}
