#include "fakes/history_checker.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

namespace hr = hornbeamrail;
using namespace std::chrono_literals;
using kind = hr::event_kind;
using hr::guarantee;

namespace {

hr::boot_time at(std::chrono::milliseconds since_start) {
    return hr::boot_time(1h + since_start);
}

/// Builds a history event by event. It begins with the definitions of services, a team, a key and a VM.
struct history_writer {
    history_writer() {
        this->add({.at = at(0ms),
                   .kind = kind::service_defined,
                   .service = "proofs",
                   .pool = "proof-pool",
                   .max_failed_fraction = 0.01,
                   .duration = 10min});
        this->add({.at = at(0ms),
                   .kind = kind::service_defined,
                   .service = "reorders",
                   .pool = "reorder-pool",
                   .max_failed_fraction = 0.01,
                   .duration = 10min});
        this->add(
            {.at = at(0ms), .kind = kind::team_defined, .team = "shops", .names = {"proofs"}, .units = 2});
        this->change("grant", "key_grant", at(0ms), at(0ms), 1, {.team = "shops", .key = "k1"});
        this->add({.at = at(0ms),
                   .kind = kind::vm_in_pool,
                   .vm = "v1",
                   .zone = "z1",
                   .pool = "proof-pool",
                   .units = 8});
    }

    void add(hr::history_event event) { this->events.push_back(std::move(event)); }

    void change(const std::string& id, const std::string& record_kind, hr::boot_time submitted,
                hr::boot_time accepted, std::int64_t version, hr::history_event subject) {
        subject.change_id = id;
        subject.text = record_kind;
        subject.kind = kind::change_submitted;
        subject.at = submitted;
        this->add(subject);
        subject.kind = kind::change_accepted;
        subject.at = accepted;
        subject.version = version;
        this->add(subject);
    }

    void invoke(const std::string& request, hr::boot_time when, std::int64_t attempt = 1,
                bool idempotent = true, const std::string& key = "k1") {
        this->add({.at = when,
                   .kind = kind::invoke,
                   .node = "n1",
                   .request = request,
                   .attempt = attempt,
                   .service = "proofs",
                   .key = key,
                   .body = request,
                   .duration = 10s,
                   .idempotent = idempotent});
    }

    std::int64_t start(const std::string& request, hr::boot_time when, std::int64_t attempt = 1,
                       const std::string& service = "proofs") {
        this->add({.at = when,
                   .kind = kind::run_start,
                   .node = "n1",
                   .request = request,
                   .attempt = attempt,
                   .service = service,
                   .vm = "v1",
                   .zone = "z1",
                   .run = ++this->runs,
                   .units = 1});
        return this->runs;
    }

    void end(std::int64_t run, hr::boot_time when, const std::string& reason = "completed") {
        this->add({.at = when, .kind = kind::run_end, .text = reason, .run = run});
    }

    void answer(const std::string& request, hr::boot_time when, int status = 200,
                const std::string& outcome = "ran", std::int64_t attempt = 1) {
        this->add({.at = when,
                   .kind = kind::answer,
                   .node = "n1",
                   .request = request,
                   .attempt = attempt,
                   .outcome = outcome,
                   .body = status == 200 ? "done:" + request : "",
                   .status = status});
    }

    void complete(const std::string& request, hr::boot_time when) {
        this->invoke(request, when);
        const auto run = this->start(request, when + 1ms);
        this->end(run, when + 5ms);
        this->answer(request, when + 6ms);
    }

    std::vector<hr::violation> check() const { return hr::check_history(this->events); }

    std::vector<hr::history_event> events;
    std::int64_t runs = 0;
};

/// @return whether the checker finds violations of @p broken and of no other guarantee
bool violates_only(const history_writer& history, guarantee broken) {
    const auto found = history.check();
    for (const auto& violation : found) {
        BOOST_TEST_MESSAGE(hr::describe(violation, history.events));
    }
    return !found.empty() &&
           std::ranges::all_of(found, [&](const auto& v) { return v.broken == broken && !v.events.empty(); });
}

/// @return whether the checker finds no violation
bool has_no_violation(const history_writer& history) {
    const auto found = history.check();
    for (const auto& violation : found) {
        BOOST_TEST_MESSAGE(hr::describe(violation, history.events));
    }
    return found.empty();
}

} // namespace

// Guards against a budget check that ignores failures or counts client errors.
BOOST_AUTO_TEST_CASE(availability_budget) {
    history_writer good;
    for (int i = 0; i < 100; ++i) {
        good.complete("r" + std::to_string(i), at(i * 6000ms));
    }
    good.invoke("bad-key", at(600s), 1, true, "k9");
    good.answer("bad-key", at(600s), 401, "not_run");
    good.invoke("failed", at(601s));
    good.answer("failed", at(601s), 503, "not_run");
    BOOST_TEST(has_no_violation(good));

    history_writer bad = good;
    for (int i = 0; i < 5; ++i) {
        bad.invoke("f" + std::to_string(i), at(602s));
        bad.answer("f" + std::to_string(i), at(602s), 503, "not_run");
    }
    BOOST_TEST(violates_only(bad, guarantee::availability_budget));
}

// Guards against excusing a refusal for lack of capacity while slots are free.
BOOST_AUTO_TEST_CASE(availability_budget_counts_needless_overload_refusals) {
    history_writer needless;
    needless.complete("r", at(0ms));
    for (int i = 0; i < 100; ++i) {
        needless.invoke("f" + std::to_string(i), at(600s));
        needless.answer("f" + std::to_string(i), at(600s), 429, "not_run");
    }
    BOOST_TEST(violates_only(needless, guarantee::availability_budget));

    history_writer full;
    full.invoke("a", at(599s));
    full.invoke("b", at(599s));
    const auto a = full.start("a", at(599s));
    const auto b = full.start("b", at(599s));
    for (int i = 0; i < 100; ++i) {
        full.invoke("f" + std::to_string(i), at(600s));
        full.answer("f" + std::to_string(i), at(600s), 429, "not_run");
    }
    full.end(a, at(601s));
    full.end(b, at(601s));
    full.answer("a", at(601s));
    full.answer("b", at(601s));
    BOOST_TEST(has_no_violation(full));
}

// Guards against counting refusals while operators have every zone out, and against excusing refusals after
// the zone has returned.
BOOST_AUTO_TEST_CASE(availability_budget_excuses_refusals_without_capacity) {
    const auto refusals = [](std::chrono::milliseconds when) {
        history_writer history;
        history.complete("r", at(0ms));
        history.change("out", "zone_out", at(500s), at(501s), 5, {.zone = "z1"});
        history.change("in", "zone_in", at(590s), at(591s), 6, {.zone = "z1"});
        for (int i = 0; i < 100; ++i) {
            history.invoke("f" + std::to_string(i), at(when));
            history.answer("f" + std::to_string(i), at(when), 503, "not_run");
        }
        history.complete("last", at(600s));
        return history;
    };
    BOOST_TEST(has_no_violation(refusals(580s)));
    BOOST_TEST(violates_only(refusals(595s), guarantee::availability_budget));
}

// Guards against accepting nodes that disagree on the pool of a VM, and work outside the pool.
BOOST_AUTO_TEST_CASE(one_pool_per_vm) {
    history_writer good;
    good.add({.at = at(1s), .kind = kind::pool_view, .node = "n1", .body = "v1=proof-pool", .version = 7});
    good.add({.at = at(1s), .kind = kind::pool_view, .node = "n2", .body = "v1=proof-pool", .version = 7});
    good.add({.at = at(2s), .kind = kind::pool_view, .node = "n1", .body = "v1=spare", .version = 9});
    BOOST_TEST(has_no_violation(good));

    history_writer differing = good;
    differing.add({.at = at(3s), .kind = kind::pool_view, .node = "n2", .body = "v1=other", .version = 9});
    BOOST_TEST(violates_only(differing, guarantee::one_pool_per_vm));

    history_writer twice;
    twice.add({.at = at(1s), .kind = kind::pool_view, .node = "n1", .body = "v1=a v1=b", .version = 7});
    BOOST_TEST(violates_only(twice, guarantee::one_pool_per_vm));

    history_writer outside;
    outside.add(
        {.at = at(0ms), .kind = kind::vm_in_pool, .vm = "v1", .zone = "z1", .pool = "spare", .units = 8});
    outside.complete("r", at(1s));
    BOOST_TEST(violates_only(outside, guarantee::one_pool_per_vm));
}

// Guards against accepting work without a key, under an unknown key, for the wrong service, or under a key
// that is revoked or not yet granted.
BOOST_AUTO_TEST_CASE(key_of_team) {
    history_writer good;
    good.change("revoke", "key_revoke", at(9s), at(10s), 2, {.key = "k1"});
    good.complete("within-bound", at(14s));
    BOOST_TEST(has_no_violation(good));

    history_writer late = good;
    late.complete("late", at(15001ms));
    BOOST_TEST(violates_only(late, guarantee::key_of_team));

    history_writer unknown;
    unknown.invoke("r", at(1s), 1, true, "k9");
    unknown.end(unknown.start("r", at(1s)), at(2s));
    unknown.answer("r", at(2s));
    BOOST_TEST(violates_only(unknown, guarantee::key_of_team));

    history_writer keyless;
    keyless.invoke("r", at(1s), 1, true, "");
    keyless.end(keyless.start("r", at(1s)), at(2s));
    keyless.answer("r", at(2s));
    BOOST_TEST(violates_only(keyless, guarantee::key_of_team));

    history_writer wrong_service;
    wrong_service.invoke("r", at(1s));
    wrong_service.events.back().service = "reorders";
    wrong_service.end(wrong_service.start("r", at(1s)), at(2s));
    wrong_service.answer("r", at(2s));
    BOOST_TEST(violates_only(wrong_service, guarantee::key_of_team));

    history_writer early;
    early.invoke("r", at(1s), 1, true, "k2");
    early.end(early.start("r", at(1s)), at(2s));
    early.answer("r", at(2s));
    early.change("late-grant", "key_grant", at(3s), at(3s), 2, {.team = "shops", .key = "k2"});
    BOOST_TEST(violates_only(early, guarantee::key_of_team));
}

// Guards against accepting a third unit of a team whose limit is two, and against wrong results around a
// changed limit.
BOOST_AUTO_TEST_CASE(upper_limit) {
    const auto with_runs = [](history_writer history, hr::boot_time when, int count) {
        std::vector<std::int64_t> runs;
        for (int i = 0; i < count; ++i) {
            const std::string id = "r" + std::to_string(history.events.size());
            history.invoke(id, when);
            runs.push_back(history.start(id, when));
        }
        for (const auto run : runs) {
            history.end(run, when + 1s);
        }
        for (const auto& event : std::vector(history.events)) {
            if (event.kind == kind::invoke && event.at == when) {
                history.answer(event.request, when + 1s);
            }
        }
        return history;
    };
    BOOST_TEST(has_no_violation(with_runs({}, at(1s), 2)));
    BOOST_TEST(violates_only(with_runs({}, at(1s), 3), guarantee::upper_limit));

    history_writer raised;
    raised.change("c", "config", at(1s), at(2s), 5, {.team = "shops", .units = 3});
    BOOST_TEST(has_no_violation(with_runs(raised, at(3s), 3)));
    BOOST_TEST(violates_only(with_runs(raised, at(3s), 4), guarantee::upper_limit));

    history_writer lowered;
    lowered.change("c", "config", at(1s), at(2s), 5, {.team = "shops", .units = 1});
    BOOST_TEST(has_no_violation(with_runs(lowered, at(6s), 2)));
    BOOST_TEST(violates_only(with_runs(lowered, at(8s), 2), guarantee::upper_limit));
}

// Guards against accepting starts in a zone that is out, and against reporting starts after the zone's
// return.
BOOST_AUTO_TEST_CASE(zone_out) {
    history_writer good;
    good.change("out", "zone_out", at(1s), at(2s), 5, {.zone = "z1"});
    good.complete("within-bound", at(4900ms));
    good.change("in", "zone_in", at(20s), at(21s), 6, {.zone = "z1"});
    good.complete("after", at(20500ms));
    BOOST_TEST(has_no_violation(good));

    history_writer bad;
    bad.change("out", "zone_out", at(1s), at(2s), 5, {.zone = "z1"});
    bad.complete("late", at(5100ms));
    BOOST_TEST(violates_only(bad, guarantee::zone_out));
}

// Guards against accepting swapped, truncated, repeated and fabricated answers.
BOOST_AUTO_TEST_CASE(own_answer) {
    history_writer good;
    good.complete("a", at(1s));
    good.complete("b", at(1s));
    BOOST_TEST(has_no_violation(good));

    history_writer crossed = good;
    crossed.events.back().body = "done:a";
    BOOST_TEST(violates_only(crossed, guarantee::own_answer));

    history_writer half = good;
    half.events.back().complete = false;
    BOOST_TEST(violates_only(half, guarantee::own_answer));

    history_writer twice = good;
    twice.answer("b", at(2s));
    BOOST_TEST(violates_only(twice, guarantee::own_answer));

    history_writer without_run;
    without_run.invoke("a", at(1s));
    without_run.answer("a", at(1s));
    BOOST_TEST(violates_only(without_run, guarantee::own_answer));
}

// Guards against accepting a refusal with outcome not_run although this submission ran. An earlier submission
// may have run.
BOOST_AUTO_TEST_CASE(true_refusal) {
    history_writer good;
    good.invoke("a", at(1s));
    good.end(good.start("a", at(1s)), at(2s));
    good.add({.at = at(2s), .kind = kind::connection_lost, .node = "n1", .request = "a", .attempt = 1});
    good.invoke("a", at(3s), 2);
    good.answer("a", at(3s), 409, "not_run", 2);
    BOOST_TEST(has_no_violation(good));

    history_writer bad;
    bad.invoke("a", at(1s));
    bad.answer("a", at(2s), 409, "not_run");
    bad.end(bad.start("a", at(3s)), at(4s));
    BOOST_TEST(violates_only(bad, guarantee::true_refusal));
}

// Guards against accepting a second run of a non-idempotent request through another submission.
BOOST_AUTO_TEST_CASE(at_most_once) {
    const auto two_runs = [](bool idempotent) {
        history_writer history;
        for (int attempt = 1; attempt <= 2; ++attempt) {
            history.invoke("e5-token", at(attempt * 1s), attempt, idempotent);
            history.end(history.start("e5-token", at(attempt * 1s), attempt), at(attempt * 1s + 5ms));
            history.answer("e5-token", at(attempt * 1s + 6ms), 200, "ran", attempt);
        }
        return history;
    };
    BOOST_TEST(has_no_violation(two_runs(true)));
    BOOST_TEST(violates_only(two_runs(false), guarantee::at_most_once));
}

// Guards against accepting new work on a VM that reports that it leaves or that operators took out.
BOOST_AUTO_TEST_CASE(leaving_server) {
    history_writer good;
    good.add({.at = at(1s), .kind = kind::vm_leaving, .vm = "v1"});
    good.complete("within-bound", at(3s));
    good.add({.at = at(10s), .kind = kind::vm_returned, .vm = "v1"});
    good.complete("after", at(11s));
    BOOST_TEST(has_no_violation(good));

    history_writer bad;
    bad.add({.at = at(1s), .kind = kind::vm_leaving, .vm = "v1"});
    bad.complete("late", at(4500ms));
    BOOST_TEST(violates_only(bad, guarantee::leaving_server));

    history_writer out;
    out.change("out", "vm_out", at(1s), at(2s), 5, {.vm = "v1"});
    out.complete("late", at(5500ms));
    BOOST_TEST(violates_only(out, guarantee::leaving_server));
}

// Guards against accepting planned stops that interrupt work. Crashes may interrupt it.
BOOST_AUTO_TEST_CASE(graceful_stop) {
    history_writer good;
    good.add({.at = at(1s), .kind = kind::stop_begin, .node = "n1"});
    good.complete("r", at(1s));
    good.add({.at = at(2s), .kind = kind::stop_end, .node = "n1"});
    good.invoke("crashed", at(3s));
    good.end(good.start("crashed", at(3s)), at(4s), "crashed");
    good.answer("crashed", at(4s), 502, "unknown");
    good.complete("again", at(4s));
    good.events.at(0).max_failed_fraction = 1;
    BOOST_TEST(has_no_violation(good));

    history_writer node;
    node.events.at(0).max_failed_fraction = 1;
    node.invoke("r", at(1s));
    node.add({.at = at(1s), .kind = kind::stop_begin, .node = "n1"});
    node.add({.at = at(2s),
              .kind = kind::connection_lost,
              .node = "n1",
              .request = "r",
              .attempt = 1,
              .text = "stopped"});
    BOOST_TEST(violates_only(node, guarantee::graceful_stop));

    history_writer vm;
    vm.events.at(0).max_failed_fraction = 1;
    vm.invoke("r", at(1s));
    const auto run = vm.start("r", at(1s));
    vm.add({.at = at(2s), .kind = kind::stop_begin, .vm = "v1"});
    vm.end(run, at(2s), "stopped");
    vm.answer("r", at(2s), 502, "unknown");
    BOOST_TEST(violates_only(vm, guarantee::graceful_stop));
}

// Guards against accepting a fresh node with an old configuration, a reverted configuration, and two contents
// of one version.
BOOST_AUTO_TEST_CASE(configuration_in_force) {
    const auto view = [](history_writer& history, std::chrono::milliseconds when, const std::string& node,
                         std::int64_t version, bool fresh = true, const std::string& digest = "d") {
        history.add({.at = at(when),
                     .kind = kind::node_view,
                     .node = node,
                     .body = digest + std::to_string(version),
                     .version = version,
                     .fresh = fresh});
    };
    history_writer good;
    view(good, 0s, "n1", 1);
    view(good, 0s, "n2", 1);
    good.change("c", "config", at(1s), at(2s), 5, {.team = "shops", .units = 2});
    view(good, 2s, "n1", 5);
    view(good, 3s, "n2", 1, false);
    view(good, 30s, "n2", 5);
    view(good, 40s, "n1", 5);
    BOOST_TEST(has_no_violation(good));

    history_writer old;
    view(old, 0s, "n1", 1);
    old.change("c", "config", at(1s), at(2s), 5, {.team = "shops", .units = 2});
    view(old, 7100ms, "n1", 5);
    BOOST_TEST(violates_only(old, guarantee::configuration_in_force));

    history_writer reverted = good;
    view(reverted, 41s, "n1", 1, false);
    BOOST_TEST(violates_only(reverted, guarantee::configuration_in_force));

    history_writer texts = good;
    view(texts, 41s, "n2", 5, true, "other");
    BOOST_TEST(violates_only(texts, guarantee::configuration_in_force));
}
