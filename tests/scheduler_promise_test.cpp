#include "promise_site.hpp"

#include "protocol/json_log.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>
#include <sstream>

// The promise on long-running tasks in seeded histories of troubles. HORNBEAMRAIL_PROMISE_SEEDS="first count"
// plays other seeds by hand, reduces each history that shows a violation and prints it.

using namespace hornbeamrail;
using namespace hornbeamrail::test;

namespace {

std::vector<promise_violation> play(const promise_history& history) {
    return promise_site(history).play();
}

bool shows(const promise_history& history, const std::string& kind) {
    const auto found = play(history);
    return std::any_of(found.begin(), found.end(),
                       [&kind](const auto& violation) { return violation.kind == kind; });
}

/// Removes each item of @p items of the history without which the violation still shows.
template <class Item>
void reduce(promise_history& history, std::vector<Item> promise_history::*items, const std::string& kind) {
    for (auto chunk = std::max<std::size_t>(1, (history.*items).size() / 2); chunk > 0; chunk /= 2) {
        for (std::size_t at = 0; at < (history.*items).size();) {
            auto reduced = history;
            auto& left = reduced.*items;
            const auto first = left.begin() + static_cast<std::ptrdiff_t>(at);
            const auto last = left.begin() + static_cast<std::ptrdiff_t>(std::min(at + chunk, left.size()));
            left.erase(first, last);
            if (shows(reduced, kind)) {
                history = std::move(reduced);
            } else {
                at += chunk;
            }
        }
    }
}

template <class Value>
void simplify(promise_history& history, Value promise_history::*member, Value simple,
              const std::string& kind) {
    auto reduced = history;
    reduced.*member = simple;
    if (shows(reduced, kind)) {
        history = std::move(reduced);
    }
}

promise_history minimize(promise_history history, const std::string& kind) {
    reduce(history, &promise_history::jobs, kind);
    reduce(history, &promise_history::events, kind);
    simplify(history, &promise_history::failure_share, 0.0, kind);
    simplify(history, &promise_history::entries_repeat, true, kind);
    simplify(history, &promise_history::spare_vms, 0, kind);
    for (int fewer = history.vms - 1; fewer > 0 && history.vms == fewer + 1; --fewer) {
        simplify(history, &promise_history::vms, fewer, kind);
    }
    reduce(history, &promise_history::jobs, kind);
    return history;
}

std::string describe(const promise_history& history) {
    std::ostringstream text;
    text << fmt::format(
        "  history: {} vms, {} spare, {} ms, failures {}, entries {}, late orders {}, seed {}\n", history.vms,
        history.spare_vms, history.length.count(), history.failure_share,
        history.entries_repeat ? "repeat" : "once",
        history.orders_outlive_processes ? "on their way" : "received", history.seed);
    for (const auto& item : history.jobs) {
        const auto& step = item.job.steps.front();
        text << fmt::format(
            "  job at {}: {} account '{}' {}x({} cpu, {} mb){}{} per_worker {} label '{}' "
            "steps {} cancel {}\n",
            item.at.count(), item.job.queue, item.job.account, step.count, step.need.cpu_millicores,
            step.need.memory_mb, step.long_running ? " lasting" : "", step.best_effort ? " best_effort" : "",
            step.max_per_worker, step.required_label, item.job.steps.size(), item.cancel_after.count());
    }
    for (const auto& event : history.events) {
        text << fmt::format("  event at {}: {} for {} count {} choice {}\n", event.at.count(),
                            trouble_names[static_cast<std::size_t>(event.kind)], event.duration.count(),
                            event.count, event.choice);
    }
    return text.str();
}

struct seed_range {
    std::uint64_t first = 1;
    std::uint64_t count = 60;
    bool by_hand = false;
};

seed_range chosen_seeds() {
    seed_range seeds;
    if (const char* chosen = std::getenv("HORNBEAMRAIL_PROMISE_SEEDS")) {
        std::istringstream(chosen) >> seeds.first >> seeds.count;
        seeds.by_hand = true;
    }
    return seeds;
}

/// Plays the histories of the chosen seeds that @p make draws, and reports their violations.
template <class Make>
void play_seeds(Make make) {
    const auto seeds = chosen_seeds();
    set_log_threshold(std::getenv("HORNBEAMRAIL_PROMISE_LOG") != nullptr ? severity::info : severity::error);
    for (auto seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        const promise_history history = make(history_generator(seed));
        std::set<std::string> kinds;
        for (const auto& violation : play(history)) {
            if (kinds.insert(violation.kind).second) {
                BOOST_ERROR(fmt::format("seed {} at {} ms, {} for {} ms: {}", seed, violation.at.count(),
                                        violation.kind, violation.lasted.count(), violation.text));
            }
        }
        const bool reduces = seeds.by_hand && std::getenv("HORNBEAMRAIL_PROMISE_KEEP") == nullptr;
        for (const auto& kind : kinds) {
            if (!reduces) {
                continue;
            }
            const auto reduced = minimize(history, kind);
            std::cout << "REDUCED seed " << seed << " " << kind << "\n" << describe(reduced);
            for (const auto& violation : play(reduced)) {
                std::cout << fmt::format("  at {} ms, {} for {} ms: {}\n", violation.at.count(),
                                         violation.kind, violation.lasted.count(), violation.text);
            }
            std::cout << std::flush;
        }
    }
}

} // namespace

// Guards against a long-running task that stays away from work although a worker has room for it, and against
// a job that has nothing running although one has.
BOOST_AUTO_TEST_CASE(work_goes_on_in_seeded_histories) {
    play_seeds([](history_generator generator) { return generator.make(); });
}

// Guards against the same beside planned work on VMs whose tasks may not end, and beside jobs with large
// progress.
BOOST_AUTO_TEST_CASE(work_goes_on_beside_planned_work) {
    play_seeds([](history_generator generator) { return generator.make_with_planned_work(); });
}

// Guards against values of one process of a worker that are applied to another one: a task runs twice, or not
// at all.
BOOST_AUTO_TEST_CASE(work_goes_on_beside_restarts_of_workers) {
    play_seeds([](history_generator generator) { return generator.make_with_restarts(); });
}

// Guards against a job that waits for its account's limit although the account uses little, and against
// starts beyond the limit.
BOOST_AUTO_TEST_CASE(work_goes_on_under_lowered_limits) {
    play_seeds([](history_generator generator) { return generator.make_with_lowered_limits(); });
}
