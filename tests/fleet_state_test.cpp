#include "state/fleet_state.hpp"

#include "protocol/digest.hpp"

#include <boost/test/unit_test.hpp>

using namespace hornbeamrail;

namespace {

/// Folds records at consecutive offsets into one state.
class fold_fixture {
public:
    change_outcome add(record_body body) { return this->add_with_id(random_uuid(), std::move(body)); }

    change_outcome add_with_id(std::string id, record_body body) {
        return this->state.apply(this->state.next_offset(),
                                 {.change_id = std::move(id), .body = std::move(body)});
    }

    void configure(std::int64_t upper_limit) {
        fleet_config config{
            .site = "test",
            .zones = {{.name = "a", .region = "r"}},
            .pools = {{.name = "p", .vms = 2}, {.name = "spare", .vms = 1, .spare = true}},
            .services = {{.name = "s", .pool = "p"}},
            .teams = {{.name = "t", .share = 50, .upper_limit = upper_limit, .services = {"s"}}}};
        const auto outcome = this->add(config_record{.expected_version = this->state.config_version(),
                                                     .config = std::make_shared<const fleet_config>(config)});
        BOOST_REQUIRE_MESSAGE(outcome.accepted, outcome.reason);
    }

    /// Registers a node.
    /// @param holds_address whether the record proves that earlier processes of the node have ended
    incarnation_id join(const std::string& node_id, std::uint16_t port, bool holds_address = false) {
        const auto outcome =
            this->add(node_register_record{.node_id = node_id,
                                           .peer_address = {"127.0.0.1", port},
                                           .zone = "a",
                                           .region = "r",
                                           .ended_before = holds_address ? this->state.next_offset() : 0});
        BOOST_REQUIRE(outcome.accepted);
        return outcome.offset;
    }

    std::int64_t acquire(incarnation_id node, std::int64_t sequence, std::int64_t units) {
        this->add(grant_delta_record{
            .incarnation = node, .sequence = sequence, .deltas = {{.team = "t", .units = units}}});
        return this->state.grant_of("t", node);
    }

    fleet_state state;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_state_suite, fold_fixture)

// Guards against lost updates: of two edits based on the same version, only the first is accepted.
BOOST_AUTO_TEST_CASE(second_edit_of_a_version_conflicts) {
    this->configure(10);
    const auto stale = this->state.config_version();
    this->configure(20);
    const auto outcome =
        this->add(config_record{.expected_version = stale, .config = this->state.shared_config()});
    BOOST_TEST(!outcome.accepted);
    BOOST_TEST(outcome.reason.starts_with("conflict"));
    BOOST_TEST(this->state.config().find_team("t")->upper_limit == 20);
}

// Guards against a change taking effect twice when its append is retried after a lost answer.
BOOST_AUTO_TEST_CASE(repeated_change_has_one_effect) {
    this->configure(10);
    const auto first = this->add_with_id("change", zone_out_record{.zone = "a"});
    this->add(zone_in_record{.zone = "a"});
    const auto repeated = this->add_with_id("change", zone_out_record{.zone = "a"});
    BOOST_TEST(repeated.offset == first.offset);
    BOOST_TEST(!this->state.zone_is_out("a"));
}

// Guards the upper limit: the total of the grants of competing nodes does not exceed it.
BOOST_AUTO_TEST_CASE(grants_never_exceed_the_limit) {
    this->configure(10);
    const auto first = this->join("n1", 1);
    const auto second = this->join("n2", 2);
    BOOST_TEST(this->acquire(first, 1, 7) == 7);
    BOOST_TEST(this->acquire(second, 1, 7) == 3);
    BOOST_TEST(this->state.granted_units("t") == 10);
}

// Guards against a repeated grant_delta being applied again after its change id was evicted from the table.
BOOST_AUTO_TEST_CASE(grant_sequence_is_applied_once) {
    this->configure(10);
    const auto node = this->join("n1", 1);
    this->acquire(node, 1, 4);
    BOOST_TEST(this->acquire(node, 1, 4) == 4);
}

// Guards the limit while a reclaimed node may still run tasks: its units stay allocated until node_free.
BOOST_AUTO_TEST_CASE(reclaimed_units_stay_taken_until_free) {
    this->configure(10);
    const auto reclaimed = this->join("n1", 1);
    const auto live = this->join("n2", 2);
    this->acquire(reclaimed, 1, 10);
    BOOST_TEST(!this->add(node_free_record{.incarnation = reclaimed}).accepted);
    BOOST_TEST(this->add(node_reclaim_record{.incarnation = reclaimed}).accepted);
    BOOST_TEST(this->state.grant_of("t", reclaimed) == 0);
    BOOST_TEST(this->acquire(live, 1, 10) == 0);
    BOOST_TEST(this->add(node_free_record{.incarnation = reclaimed}).accepted);
    BOOST_TEST(this->acquire(live, 2, 10) == 10);
}

// Guards against a paused node acquiring units after its reclaim.
BOOST_AUTO_TEST_CASE(reclaimed_node_cannot_acquire) {
    this->configure(10);
    const auto node = this->join("n1", 1);
    this->add(node_reclaim_record{.incarnation = node});
    BOOST_TEST(this->acquire(node, 1, 5) == 0);
}

BOOST_AUTO_TEST_CASE(lowered_limit_scales_grants) {
    this->configure(10);
    const auto first = this->join("n1", 1);
    const auto second = this->join("n2", 2);
    this->acquire(first, 1, 6);
    this->acquire(second, 1, 4);
    this->configure(5);
    BOOST_TEST(this->state.grant_of("t", first) == 3);
    BOOST_TEST(this->state.grant_of("t", second) == 2);
}

// Guards at-most-once: a new owner must recognize ids whose requests the previous owner may have admitted.
BOOST_AUTO_TEST_CASE(partition_takeover_advances_owned_since) {
    const auto first = this->join("n1", 1);
    const auto second = this->join("n2", 2);
    BOOST_TEST(this->state.partitions()[0].owner == first);
    this->add(node_reclaim_record{.incarnation = first});
    BOOST_TEST(this->state.partitions()[0].owner == first);
    const auto freed = this->add(node_free_record{.incarnation = first});
    BOOST_TEST(this->state.partitions()[0].owner == second);
    BOOST_TEST(this->state.partitions()[0].owned_since == freed.offset);
}

// Guards the recovery of a site whose nodes were all replaced, so that no counted node is left to confirm
// others.
BOOST_AUTO_TEST_CASE(counted_set_restarts_after_proof_that_all_ended) {
    const auto first = this->join("n1", 1);
    const auto second = this->join("n2", 2);
    BOOST_TEST(!this->state.find_node(second)->counted);
    this->add(node_reclaim_record{.incarnation = first, .vm_gone = true});
    BOOST_TEST(!this->state.find_node(first)->counted);
    const auto restarted = this->join("n2", 2, true);
    BOOST_TEST(this->state.find_node(restarted)->counted);
    BOOST_TEST(this->state.find_node(second)->ended);
}

// Guards against a delayed registration by an earlier process marking a later, live process of the node as
// ended.
BOOST_AUTO_TEST_CASE(delayed_registration_does_not_end_a_later_process) {
    const auto seen_by_first = this->state.next_offset();
    const auto second = this->join("n1", 1, true);
    const auto late = this->add(node_register_record{.node_id = "n1",
                                                     .peer_address = {"127.0.0.1", 1},
                                                     .zone = "a",
                                                     .region = "r",
                                                     .ended_before = seen_by_first});
    BOOST_TEST(late.accepted);
    BOOST_TEST(!this->state.find_node(second)->ended);
    BOOST_TEST(this->state.find_node(second)->counted);
}

// Guards "exactly one pool per VM" against a planner that resumes after its lease expired.
BOOST_AUTO_TEST_CASE(stale_planner_cannot_move_a_vm) {
    this->configure(10);
    const auto node = this->join("n1", 1);
    const auto epoch = this->add(planner_claim_record{.incarnation = node, .expected_epoch = 0}).offset;
    this->add(vm_add_record{
        .epoch = epoch,
        .vms = {{.id = "vm1", .address = {"127.0.0.1", 9}, .zone = "a", .rack = "r1", .pool = "spare"}}});
    const auto next = this->add(planner_claim_record{.incarnation = node, .expected_epoch = epoch}).offset;
    BOOST_TEST(!this->add(vm_move_record{.epoch = epoch, .vm = "vm1", .from = "spare", .to = "p"}).accepted);
    BOOST_TEST(this->add(vm_move_record{.epoch = next, .vm = "vm1", .from = "spare", .to = "p"}).accepted);
    BOOST_TEST(!this->add(vm_move_record{.epoch = next, .vm = "vm1", .from = "spare", .to = "p"}).accepted);
    BOOST_TEST(this->state.find_vm("vm1")->vm.pool == "spare");
    BOOST_TEST(this->add(vm_move_done_record{.epoch = next, .vm = "vm1"}).accepted);
    BOOST_TEST(this->state.find_vm("vm1")->vm.pool == "p");
}

// Guards against a former owner of a task overwriting the state written by the new owner.
BOOST_AUTO_TEST_CASE(task_state_needs_the_current_fencing_token) {
    const auto first = this->join("n1", 1);
    const auto second = this->join("n2", 2);
    const auto submitted = this->add(
        task_submit_record{.incarnation = first, .task = {.id = "task", .team = "t", .service = "s"}});
    this->add(node_reclaim_record{.incarnation = first});
    const auto freed = this->add(node_free_record{.incarnation = first});
    BOOST_TEST(this->state.tasks().at("task").owner == second);
    BOOST_TEST(!this->add(task_state_record{.task_id = "task",
                                            .fencing_token = submitted.offset,
                                            .phase = task_phase::placed,
                                            .vm = "vm1"})
                    .accepted);
    BOOST_TEST(this->add(task_state_record{.task_id = "task",
                                           .fencing_token = freed.offset,
                                           .phase = task_phase::placed,
                                           .vm = "vm1"})
                   .accepted);
}

// Guards the limit while a node leaves: the units of a task that keeps running must not become free.
BOOST_AUTO_TEST_CASE(leaving_node_hands_units_over_with_running_tasks) {
    this->configure(10);
    const auto leaving = this->join("n1", 1);
    const auto successor = this->join("n2", 2);
    this->acquire(leaving, 1, 10);
    const auto token =
        this->add(task_submit_record{
                      .incarnation = leaving,
                      .task = {.id = "task", .team = "t", .service = "s", .cores = 16, .memory_mb = 1024}})
            .offset;
    this->add(task_state_record{
        .task_id = "task", .fencing_token = token, .phase = task_phase::placed, .vm = "vm1"});
    BOOST_TEST(this->add(node_leave_record{.incarnation = leaving}).accepted);
    BOOST_TEST(this->state.tasks().at("task").owner == successor);
    BOOST_TEST(this->state.grant_of("t", successor) == 4);
    BOOST_TEST(this->state.granted_units("t") == 4);
}

// Guards against tasks without an owner after the only node has left.
BOOST_AUTO_TEST_CASE(next_registered_node_takes_orphaned_tasks) {
    this->configure(10);
    const auto only = this->join("n1", 1);
    this->add(task_submit_record{.incarnation = only, .task = {.id = "task", .team = "t", .service = "s"}});
    this->add(node_leave_record{.incarnation = only});
    const auto next = this->join("n2", 2);
    BOOST_TEST(this->state.tasks().at("task").owner == next);
    BOOST_TEST(this->state.tasks().at("task").fencing_token == next);
}

// Guards against a published state changing while it is read.
BOOST_AUTO_TEST_CASE(copies_are_independent) {
    this->configure(10);
    const fleet_state published = this->state;
    this->add(zone_out_record{.zone = "a"});
    BOOST_TEST(!published.zone_is_out("a"));
    BOOST_TEST(this->state.zone_is_out("a"));
}

BOOST_AUTO_TEST_SUITE_END()
