#include "node/task_manager.hpp"

#include "fakes/fake_worker.hpp"
#include "protocol/digest.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace hornbeamrail;
using namespace std::chrono_literals;

namespace {

/// Unit account of one team with an upper limit, in place of the dispatcher.
struct fake_account {
    bool try_reserve_units(boot_time, std::string_view, std::int64_t units) {
        if (this->used + units > this->limit) {
            return false;
        }
        this->used += units;
        this->peak_used = std::max(this->peak_used, this->used);
        return true;
    }
    void adopt_units(boot_time, std::string_view, std::int64_t units) { this->used += units; }
    void release_units(boot_time, std::string_view, std::int64_t units) { this->used -= units; }

    std::int64_t limit = 64;
    std::int64_t used = 0;
    std::int64_t peak_used = 0;
};

/// The part of the core that the task manager reads.
struct fake_core {
    std::shared_ptr<const fleet_state> state() const {
        return std::make_shared<const fleet_state>(*this->fold);
    }
    bool view_is_fresh(boot_time) const { return this->fresh; }
    incarnation_id incarnation() const { return this->own_incarnation; }
    log_offset epoch() const { return this->fold->next_offset() - 1; }
    std::int64_t usable_units(std::string_view) const { return 64; }
    hornbeamrail::fleet_demand fleet_demand() const { return {}; }
    incarnation_id partition_owner(std::string_view) const { return this->own_incarnation; }

    const fleet_state* fold = nullptr;
    incarnation_id own_incarnation = 0;
    bool fresh = true;
};

/// Two nodes that share one fold and four workers. Only the first node has a task manager unless a test
/// replaces it.
class task_fixture {
public:
    task_fixture() {
        fleet_config config{.site = "test",
                            .zones = {{.name = "a", .region = "r"}, {.name = "b", .region = "r"}},
                            .pools = {{.name = "p", .vms = 4}},
                            .services = {{.name = "s", .pool = "p"}},
                            .teams = {{.name = "t", .share = 50, .upper_limit = 64, .services = {"s"}}}};
        this->add(config_record{.config = std::make_shared<const fleet_config>(config)});
        this->core.fold = &this->fold;
        this->core.own_incarnation = this->join("n1", 1);
        this->other_incarnation = this->join("n2", 2);
        this->add(planner_claim_record{.incarnation = this->core.own_incarnation, .expected_epoch = 0});
        vm_add_record vms{.epoch = this->fold.planner().epoch, .vms = {}};
        for (int index = 0; index < 4; ++index) {
            const auto id = fmt::format("vm{}", index);
            vms.vms.push_back({.id = id,
                               .address = {"127.0.0.1", static_cast<std::uint16_t>(100 + index)},
                               .zone = index < 2 ? "a" : "b",
                               .rack = "rack",
                               .pool = "p",
                               .cores = 32,
                               .memory_mb = 65536});
            this->workers.emplace(id, fake_worker({.usage_lag = 0s}));
        }
        this->add(vms);
        this->manager.emplace(read_from(this->core), make_unit_account_reference(this->account),
                              task_manager_options{});
    }

    change_outcome add(record_body body) { return this->add_with_id(random_uuid(), std::move(body)); }

    change_outcome add_with_id(std::string id, record_body body) {
        return this->fold.apply(this->fold.next_offset(),
                                {.change_id = std::move(id), .body = std::move(body)});
    }

    incarnation_id join(const std::string& id, std::uint16_t port) {
        return this
            ->add(node_register_record{
                .node_id = id, .peer_address = {"127.0.0.1", port}, .zone = "a", .region = "r"})
            .offset;
    }

    static task_spec spec(const std::string& id, std::int64_t cores = 4) {
        return {.id = id,
                .team = "t",
                .service = "s",
                .cores = cores,
                .memory_mb = 1024,
                .run_time = 20s,
                .key_id = "key"};
    }

    /// Runs the manager for @p time in steps of 100 ms and executes its actions immediately.
    void run(boot_time::duration time) {
        for (const auto end = this->now + time; this->now < end; this->now += 100ms) {
            for (const auto& action : this->manager->tick(this->now)) {
                std::visit([this](const auto& value) { this->execute(value); }, action);
            }
        }
    }

    void execute(const append_task_record& append) {
        if (std::holds_alternative<task_cancel_record>(append.body)) {
            this->cancel_changes.insert(append.change_id);
        }
        if (this->log_is_up) {
            this->add_with_id(append.change_id, append.body);
        }
    }

    void execute(const reserve_worker& call) {
        const auto answer = this->workers.at(call.vm).reserve(this->now, {.task_id = call.task_id,
                                                                          .fencing_token = call.fencing_token,
                                                                          .cores = call.cores,
                                                                          .memory_mb = call.memory_mb,
                                                                          .accelerators = call.accelerators,
                                                                          .ttl = call.ttl,
                                                                          .adopt = call.adopt});
        const bool done = answer.verdict == worker_verdict::done;
        this->manager->on_reserved(this->now, call.task_id, call.fencing_token, this->now,
                                   done ? worker_answer::done : worker_answer::refused, answer.lease_id);
    }

    void execute(const command_worker& call) {
        auto& worker = this->workers.at(fmt::format("vm{}", call.address.port - 100));
        worker_verdict verdict{};
        if (call.command == task_command::start) {
            ++this->starts[call.task_id];
            this->last_start = this->now;
            verdict = worker.start(this->now, call.task_id, call.lease_id, call.run_time);
        } else {
            verdict = worker.command(this->now, call.task_id, call.lease_id, call.command);
        }
        if (this->answers_lost) {
            this->manager->on_command_done(this->now, call.task_id, call.fencing_token, call.command,
                                           this->now, worker_answer::no_answer);
            return;
        }
        this->manager->on_command_done(this->now, call.task_id, call.fencing_token, call.command, this->now,
                                       verdict == worker_verdict::done ? worker_answer::done
                                                                       : worker_answer::refused);
    }

    void execute(const read_usage& call) {
        std::vector<task_report> reports;
        for (const auto& usage : this->workers.at(call.vm).usage(this->now)) {
            reports.push_back({.task_id = usage.task_id,
                               .state = std::string(to_string(usage.state)),
                               .cores_used = usage.cores_used,
                               .memory_mb_used = usage.memory_mb_used});
        }
        this->manager->on_usage(this->now, call.vm, reports);
    }

    task_phase phase(const std::string& id) const { return this->fold.tasks().at(id).phase; }

    std::int64_t running_workers() {
        std::int64_t running = 0;
        for (auto& [id, worker] : this->workers) {
            running += worker.running(this->now);
        }
        return running;
    }

    fleet_state fold;
    fake_core core;
    fake_account account;
    std::map<std::string, fake_worker> workers;
    std::optional<task_manager> manager;
    incarnation_id other_incarnation = 0;
    boot_time now{1h};
    boot_time last_start{};
    std::map<std::string, int> starts;
    std::set<std::string> cancel_changes; ///< change ids of the cancellations that were appended
    bool log_is_up = true;                ///< false: records are dropped, as by a full queue
    bool answers_lost = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(task_manager_suite, task_fixture)

BOOST_AUTO_TEST_CASE(task_runs_to_its_end_and_frees_its_units) {
    BOOST_TEST(!this->manager->submit(this->now, spec("one")).has_value());
    this->run(5s);
    BOOST_TEST((this->phase("one") == task_phase::placed));
    BOOST_TEST(this->account.used == 1);
    this->run(30s);
    BOOST_TEST((this->phase("one") == task_phase::finished));
    BOOST_TEST(this->account.used == 0);
}

// Guards against a task that waits forever because no worker is large enough.
BOOST_AUTO_TEST_CASE(task_larger_than_any_worker_is_refused_with_the_reason) {
    const auto refused = this->manager->submit(this->now, spec("big", 33));
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST(refused->error == "can_never_run");
    BOOST_TEST((refused->outcome == run_outcome::not_run));
}

// Guards against exceeding the upper limit when more tasks are queued than it allows.
BOOST_AUTO_TEST_CASE(upper_limit_bounds_running_tasks) {
    this->account.limit = 6;
    for (int index = 0; index < 10; ++index) {
        this->manager->submit(this->now, spec(fmt::format("t{}", index), 8));
    }
    this->run(5s);
    BOOST_TEST(this->running_workers() == 3);
    BOOST_TEST(this->account.peak_used == 6); // the limit is used and not exceeded
    this->run(100s);
    BOOST_TEST((this->phase("t9") == task_phase::finished));
}

// Guards against a start whose placement record did not reach the log: the next owner could not find the
// task.
BOOST_AUTO_TEST_CASE(nothing_starts_before_its_placement_is_recorded) {
    this->manager->submit(this->now, spec("one"));
    this->run(100ms);
    this->log_is_up = false;
    this->run(15s);
    BOOST_TEST(this->starts["one"] == 0);
}

// Guards against a task that never runs and units that are never freed: the record of the placement was
// dropped, because the queue of records was full, and nothing else ended the wait for it.
BOOST_AUTO_TEST_CASE(task_whose_placement_record_was_dropped_runs) {
    this->manager->submit(this->now, spec("one"));
    this->run(100ms);
    this->log_is_up = false;
    this->run(15s);
    this->log_is_up = true;
    this->run(40s);
    BOOST_TEST((this->phase("one") == task_phase::finished));
    BOOST_TEST(this->starts["one"] == 1);
    BOOST_TEST(this->account.used == 0);
}

// The same for the record of the end of a task.
BOOST_AUTO_TEST_CASE(task_whose_end_record_was_dropped_ends) {
    this->manager->submit(this->now, spec("one"));
    this->run(5s);
    this->log_is_up = false;
    this->run(25s);
    this->log_is_up = true;
    this->run(10s);
    BOOST_TEST((this->phase("one") == task_phase::finished));
    BOOST_TEST(this->account.used == 0);
}

// Guards against a queue of records that fills while the log is away: the queued tasks of a revoked key were
// cancelled again in every cycle, each time as another change.
BOOST_AUTO_TEST_CASE(queued_task_of_a_revoked_key_is_cancelled_by_one_change) {
    this->account.limit = 0;
    this->add(key_grant_record{.key_id = "key", .key_hash = std::string(64, 'a'), .team = "t"});
    this->manager->submit(this->now, spec("one"));
    this->run(1s);
    this->add(key_revoke_record{.key_id = "key"});
    this->log_is_up = false;
    this->run(10s);
    this->log_is_up = true;
    this->run(5s);
    BOOST_TEST((this->phase("one") == task_phase::cancelled));
    BOOST_TEST(this->cancel_changes.size() == 1);
}

// Guards against a start in a zone that was taken out while the placement was recorded.
BOOST_AUTO_TEST_CASE(zone_out_between_placement_and_start) {
    this->manager->submit(this->now, spec("one"));
    this->run(100ms);
    this->add(zone_out_record{.zone = "a"});
    this->add(zone_out_record{.zone = "b"});
    this->run(10s);
    BOOST_TEST(this->running_workers() == 0);
    this->add(zone_in_record{.zone = "b"});
    this->run(10s);
    BOOST_TEST(this->running_workers() == 1);
}

// Guards against starting queued tasks of a revoked key.
BOOST_AUTO_TEST_CASE(revoked_key_cancels_queued_tasks) {
    this->account.limit = 0;
    this->add(key_grant_record{.key_id = "key", .key_hash = std::string(64, 'a'), .team = "t"});
    this->manager->submit(this->now, spec("one"));
    this->run(1s);
    this->add(key_revoke_record{.key_id = "key"});
    this->account.limit = 64;
    this->run(5s);
    BOOST_TEST(this->starts["one"] == 0);
    BOOST_TEST((this->phase("one") == task_phase::cancelled));
}

// Guards against a second run of a non-idempotent task whose worker was lost: it may have run.
BOOST_AUTO_TEST_CASE(lost_worker_makes_a_non_idempotent_task_unknown) {
    auto once = spec("once");
    once.idempotent = false;
    this->manager->submit(this->now, once);
    this->manager->submit(this->now, spec("again"));
    this->run(3s);
    for (auto& [id, worker] : this->workers) {
        worker.restart();
    }
    this->run(15s); // a task that reports do not mention is lost only after `report_lag`
    BOOST_TEST((this->phase("once") == task_phase::unknown));
    BOOST_TEST(this->starts["once"] == 1);
    BOOST_TEST(this->starts["again"] == 2);
}

// Guards against a second run of a non-idempotent task that was taken over: its earlier owner started it.
BOOST_AUTO_TEST_CASE(adopted_non_idempotent_task_becomes_unknown_with_its_worker) {
    auto once = spec("once");
    once.idempotent = false;
    this->manager->submit(this->now, once);
    this->run(3s);
    BOOST_REQUIRE(this->starts["once"] == 1);
    this->manager->begin_stop();
    this->add(node_leave_record{.incarnation = this->core.own_incarnation});
    this->core.own_incarnation = this->other_incarnation;
    this->manager.emplace(read_from(this->core), make_unit_account_reference(this->account),
                          task_manager_options{.seed = 2});
    this->run(2s);
    this->answers_lost = true;
    this->run(20s);
    BOOST_TEST((this->phase("once") == task_phase::unknown));
    BOOST_TEST(this->starts["once"] == 1);
}

// Guards against a second run when the answer to a start is lost.
BOOST_AUTO_TEST_CASE(lost_start_answer_is_repeated_without_a_second_run) {
    this->answers_lost = true;
    this->manager->submit(this->now, spec("one"));
    this->run(3s);
    BOOST_TEST(this->starts["one"] > 1);
    BOOST_TEST(this->running_workers() == 1);
    this->answers_lost = false;
    this->run(40s);
    BOOST_TEST((this->phase("one") == task_phase::finished));
}

// Guards against units that leak or are released twice when queued, starting and running tasks are cancelled.
BOOST_AUTO_TEST_CASE(cancellation_wave_frees_units_exactly_once) {
    this->account.limit = 8;
    for (int index = 0; index < 20; ++index) {
        this->manager->submit(this->now, spec(fmt::format("t{}", index), 8));
    }
    this->run(2s);
    for (int index = 0; index < 20; ++index) {
        this->manager->cancel(fmt::format("t{}", index));
        this->manager->cancel(fmt::format("t{}", index));
    }
    this->run(10s);
    BOOST_TEST(this->account.used == 0);
    BOOST_TEST(this->running_workers() == 0);
    BOOST_TEST((this->phase("t0") == task_phase::cancelled));
    BOOST_TEST((this->phase("t19") == task_phase::cancelled));
}

// Guards against a worker that fails every task quickly and therefore receives most of them.
BOOST_AUTO_TEST_CASE(worker_that_fails_everything_is_quarantined) {
    this->workers.at("vm0").faults().fails_everything = true;
    for (int index = 0; index < 40; ++index) {
        this->manager->submit(this->now, spec(fmt::format("t{}", index)));
    }
    this->run(200s);
    int finished = 0;
    for (const auto& [id, task] : this->fold.tasks()) {
        finished += task.phase == task_phase::finished ? 1 : 0;
    }
    BOOST_TEST(finished >= 36);
    BOOST_TEST(this->account.used == 0);
}

// Guards against losing a running task when its node stops: the next owner must renew the lease in time.
BOOST_AUTO_TEST_CASE(leaving_node_hands_a_running_task_over) {
    this->manager->submit(this->now, spec("one"));
    this->run(3s);
    BOOST_TEST(this->running_workers() == 1);
    this->manager->begin_stop();
    this->add(node_leave_record{.incarnation = this->core.own_incarnation});
    this->core.own_incarnation = this->other_incarnation;
    fake_account successor_account;
    this->manager.emplace(read_from(this->core), make_unit_account_reference(successor_account),
                          task_manager_options{.seed = 2});
    this->manager->sync(this->now);
    BOOST_TEST(successor_account.used == 1);
    this->run(30s);
    BOOST_TEST((this->phase("one") == task_phase::finished));
    BOOST_TEST(this->starts["one"] == 1);
    BOOST_TEST(successor_account.used == 0);
    this->manager.reset();
}

// Guards against a task that is never started because its owner left after recording the placement.
BOOST_AUTO_TEST_CASE(successor_starts_a_task_that_was_only_reserved) {
    this->manager->submit(this->now, spec("one"));
    this->run(300ms); // submit, lease, record
    this->manager->begin_stop();
    this->run(1s);
    BOOST_TEST(this->starts["one"] == 0);
    BOOST_REQUIRE((this->phase("one") == task_phase::placed));
    this->add(node_leave_record{.incarnation = this->core.own_incarnation});
    this->core.own_incarnation = this->other_incarnation;
    this->manager.emplace(read_from(this->core), make_unit_account_reference(this->account),
                          task_manager_options{.seed = 2});
    this->run(40s);
    BOOST_TEST((this->phase("one") == task_phase::finished));
    BOOST_TEST(this->starts["one"] == 1);
}

// Guards against a task that is given up while it runs: the answer to a call under an earlier fencing token,
// before the task was handed over, was taken for that of its new owner.
BOOST_AUTO_TEST_CASE(answer_under_an_earlier_token_is_ignored) {
    this->manager->submit(this->now, spec("one"));
    this->run(3s);
    const auto earlier_token = this->fold.tasks().at("one").fencing_token;
    this->add(node_leave_record{.incarnation = this->core.own_incarnation});
    this->core.own_incarnation = this->other_incarnation; // the same process, registered again
    this->manager->sync(this->now);
    this->manager->on_command_done(this->now, "one", earlier_token, task_command::renew, this->now,
                                   worker_answer::refused);
    this->manager->on_reserved(this->now, "one", earlier_token, this->now, worker_answer::refused, {});
    this->run(40s);
    BOOST_TEST((this->phase("one") == task_phase::finished));
    BOOST_TEST(this->starts["one"] == 1);
}

// Guards against losing work on a VM under maintenance: the task is checkpointed and resumes on another
// worker.
BOOST_AUTO_TEST_CASE(drained_vm_checkpoints_its_tasks) {
    this->manager->submit(this->now, spec("one"));
    this->run(3s);
    const auto vm = this->fold.tasks().at("one").vm;
    this->add(maintenance_start_record{.epoch = this->fold.planner().epoch, .vm = vm});
    this->run(5s);
    BOOST_TEST(this->workers.at(vm).running(this->now) == 0);
    BOOST_TEST(this->fold.tasks().at("one").vm != vm);
    BOOST_TEST(this->running_workers() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
