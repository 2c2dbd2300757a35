#include "fakes/fake_executor.hpp"
#include "fakes/fake_link.hpp"
#include "fakes/fake_log.hpp"
#include "fakes/fake_site.hpp"
#include "fakes/fake_vm_list.hpp"
#include "fakes/fake_worker.hpp"
#include "run_checks.hpp"

#include <boost/test/unit_test.hpp>

namespace hr = hornbeamrail;
using namespace std::chrono_literals;

namespace {

const hr::boot_time start{1h};

hr::vm_listing make_vm(std::string id) {
    return {.vm = {.id = std::move(id), .pool = "spare"}};
}

/// Runs a task of 1 s on a worker with a lease of 2 s, acknowledges its end, and runs the task again.
/// @param acknowledged when, after the first start
/// @return what the check of duplicate runs finds
std::vector<std::string> repeat_acknowledged_run(std::chrono::milliseconds acknowledged) {
    hr::fake_site site({});
    site.add_vm("m", "pool", "z", "r", {.cpu_millicores = 1000, .memory_mb = 1000}, start);
    const hr::worker_target worker{.id = "w-1"};
    const hr::task_id task{.job = "a"};
    site.start(worker, {.task = task, .run = 1, .lease_until = 2s}, {}, start);
    site.hold(worker, {.acknowledged_end = 1}, start + acknowledged);
    site.start(worker, {.task = task, .run = 2, .lease_until = 20s}, {}, start + 10s);
    return hr::test::duplicate_runs(site.history());
}

} // namespace

// Guards against a stand-in whose lost answer also drops the records; no test would then reach the retry
// path.
BOOST_AUTO_TEST_CASE(log_keeps_a_record_whose_answer_is_lost) {
    hr::fake_log log(1, {.lost_answer_fraction = 1});
    const auto outcome = log.append({"a", "b"});
    BOOST_TEST(outcome.applied);
    BOOST_TEST(!outcome.first_offset.has_value());
    const auto read = log.read(1, 10);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->head == 3);
    BOOST_TEST(read->entries.at(1).data == "b");
}

// Guards against offsets that move when old records are dropped.
BOOST_AUTO_TEST_CASE(log_retention_keeps_offsets) {
    hr::fake_log log(1, {.retained_records = 2});
    log.append({"a", "b", "c"});
    const auto read = log.read(1, 10);
    BOOST_TEST(read->first == 2);
    BOOST_TEST(read->entries.front().offset == 2);
    BOOST_TEST(read->entries.front().data == "b");
    log.faults().down = true;
    BOOST_TEST(!log.read(1, 10).has_value());
    BOOST_TEST(!log.append({"d"}).applied);
    BOOST_TEST(log.head() == 4);
}

// Guards against a list without lag, which would hide races between the list and the actual state.
BOOST_AUTO_TEST_CASE(vm_list_lags) {
    hr::fake_vm_list vms({.lag = 2s});
    vms.add(start, make_vm("a"));
    vms.set_state(start + 1s, "a", hr::vm_state::leaving);
    BOOST_TEST(vms.list(start + 1s)->vms.empty());
    BOOST_CHECK(vms.list(start + 2s)->vms.at(0).state == hr::vm_state::live);
    BOOST_CHECK(vms.list(start + 3s)->vms.at(0).state == hr::vm_state::leaving);
    vms.remove(start + 5s, "a");
    BOOST_CHECK(vms.list(start + 6s)->vms.at(0).state == hr::vm_state::leaving);
    BOOST_TEST(vms.list(start + 7s)->vms.empty());
}

// Guards against a repeated platform call that reboots a VM twice.
BOOST_AUTO_TEST_CASE(vm_operations_are_idempotent) {
    hr::fake_vm_list vms({.reboot_time = 10s});
    int reboots = 0;
    bool idle = false;
    vms.set_idle_check([&](hr::boot_time, const std::string&) { return idle; });
    vms.set_reboot_hook([&](hr::boot_time, const std::string&) { ++reboots; });
    vms.add(start, make_vm("a"));
    BOOST_TEST(vms.drain(start, "a", "op"));
    BOOST_CHECK(vms.operation(start, "a")->state == hr::vm_operation_state::draining);
    idle = true;
    BOOST_CHECK(vms.operation(start, "a")->state == hr::vm_operation_state::drained);
    BOOST_TEST(vms.reboot(start, "a", "op", "cards"));
    BOOST_TEST(vms.reboot(start + 1s, "a", "op", "cards"));
    BOOST_TEST(reboots == 1);
    BOOST_CHECK(vms.operation(start + 9s, "a")->state == hr::vm_operation_state::rebooting);
    BOOST_CHECK(vms.operation(start + 10s, "a")->state == hr::vm_operation_state::done);
    BOOST_TEST(vms.truth().vms.at(0).vm.pool == "cards");
    BOOST_TEST(!vms.drain(start, "unknown", "op"));
}

// Guards against a start under a lapsed lease or in a ninth slot.
BOOST_AUTO_TEST_CASE(executor_refuses_lapsed_leases_and_a_ninth_run) {
    hr::fake_executor executor(1);
    const std::string token = executor.lease(start, "n1").token;
    for (int i = 0; i < 8; ++i) {
        const auto outcome = executor.run(start, {token, std::to_string(i), "b", 1s, 10s});
        BOOST_CHECK(outcome.verdict == hr::run_verdict::started);
        BOOST_CHECK(outcome.answered == start + 1s);
    }
    BOOST_CHECK(executor.run(start, {token, "9", "b", 1s, 10s}).verdict == hr::run_verdict::busy);
    BOOST_CHECK(executor.run(start + 2s, {token, "9", "b", 1s, 10s}).verdict ==
                hr::run_verdict::lease_lapsed);
    BOOST_TEST(executor.running(start + 1s) == 0);
}

// Guards against a run that continues after its deadline. The grants of a dead node become available again at
// a time by which its runs must have ended.
BOOST_AUTO_TEST_CASE(executor_stops_a_run_at_its_deadline) {
    hr::fake_executor executor(1, {.run_time_factor = 50});
    const std::string token = executor.lease(start, "n1").token;
    const auto outcome = executor.run(start, {token, "1", "b", 1s, 4s});
    BOOST_CHECK(outcome.ends == start + 4s);
    BOOST_CHECK(outcome.answered == outcome.ends);
    BOOST_TEST(outcome.answer.stopped);
    executor.faults().at_deadline = hr::deadline_answer::none;
    BOOST_TEST(!executor.run(start, {token, "2", "b", 1s, 4s}).answered.has_value());
}

// Guards against two owners of one task after its handover.
BOOST_AUTO_TEST_CASE(worker_fences_older_owners) {
    hr::fake_worker worker;
    const auto first = worker.reserve(start, {"t", 5, 8, 1024, 0, 10s});
    BOOST_CHECK(worker.start(start, "t", first.lease_id, 60s) == hr::worker_verdict::done);
    const auto second = worker.reserve(start + 1s, {"t", 9, 8, 1024, 0, 10s});
    BOOST_CHECK(second.verdict == hr::worker_verdict::done);
    BOOST_CHECK(worker.command(start + 1s, "t", first.lease_id, hr::task_command::renew) ==
                hr::worker_verdict::lease_lapsed);
    BOOST_CHECK(worker.reserve(start + 1s, {"t", 5, 8, 1024, 0, 10s}).verdict ==
                hr::worker_verdict::stale_token);
    BOOST_TEST(worker.running(start + 10s) == 1);
    BOOST_TEST(worker.running(start + 12s) == 0);
    BOOST_CHECK(worker.usage(start + 20s).at(0).state == hr::worker_task_state::checkpointed);
}

// Guards against a reservation that exceeds the capacity of the worker.
BOOST_AUTO_TEST_CASE(worker_refuses_more_than_it_has) {
    hr::fake_worker worker;
    BOOST_CHECK(worker.reserve(start, {"a", 1, 20, 1, 0, 10s}).verdict == hr::worker_verdict::done);
    BOOST_CHECK(worker.reserve(start, {"b", 1, 20, 1, 0, 10s}).verdict == hr::worker_verdict::no_room);
}

// Guards against a one-way cut that blocks both directions.
BOOST_AUTO_TEST_CASE(link_cuts_one_way) {
    hr::fake_link link(1, {.jitter = 0us});
    link.set_zone("a", "z1");
    link.set_zone("b", "z2");
    BOOST_CHECK(link.send(start, "a", "b") == start + 500us);
    link.cut_one_way("a", "b");
    BOOST_TEST(!link.send(start, "a", "b").has_value());
    BOOST_TEST(link.send(start, "b", "a").has_value());
    link.restore("a", "b");
    BOOST_TEST(link.send(start, "a", "b").has_value());
}

// Guards against a check that overlooks a run after an acknowledged end, and against one that counts an end
// which nobody could read before the lease of its worker had lapsed.
BOOST_AUTO_TEST_CASE(acknowledgement_counts_unless_the_lease_lapsed_before) {
    BOOST_TEST(repeat_acknowledged_run(1900ms).size() == 1);
    BOOST_TEST(repeat_acknowledged_run(2100ms).empty());
}
