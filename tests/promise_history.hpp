#pragma once

// Histories of troubles for a simulated site, drawn from seeds.

#include "scheduler_site.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <vector>

namespace hornbeamrail::test {

/// What happens at one time of a history.
enum class trouble {
    log_silent,        ///< the log is away for `duration`
    entries_lapse,     ///< as `log_silent`; `count` entries of workers lapse, 0: all of them
    log_slow,          ///< appends are answered late
    takeover,          ///< by a node that only knows the log
    power_loss,        ///< no node runs for `duration`, then one takes over
    cut_answers,       ///< orders reach `count` workers, answers don't return
    cut_both,          ///< nothing reaches `count` workers or returns from them
    slow_answers,      ///< answers of workers arrive late and overtake each other
    late_orders,       ///< `count` workers carry out orders 2 to 12 s later and answer none
    crash,             ///< `count` workers end; new ones start on their VMs
    restart,           ///< `count` workers restart under their ids
    restart_earlier,   ///< the same, and their clocks step back
    restart_elsewhere, ///< the same with another address and less capacity
    vm_down,           ///< `count` VMs go down for `duration`; 0: for good
    fails_all,         ///< `count` workers fail every run
    fails_share,       ///< `count` workers fail half of the runs
    unhealthy,         ///< `count` workers refuse every start
    no_room,           ///< the same, for want of room
    vm_list_down,      ///< reads of the VM list fail
    vm_list_slow,      ///< reads of the VM list are answered seconds late
    drain_and_leave,   ///< `count` workers drain and leave after `duration`; planned
    wave,              ///< maintenance of `count` VMs within `duration`; planned
    zone_out,          ///< one zone is out of service for `duration`; planned
    limit_lowered,     ///< the limit of an account is a quarter for `duration`
    config_change,     ///< a new version with nothing changed that matters
    poison,            ///< `count` jobs that can never be done
    burst,             ///< `count` jobs of many tasks
};
inline constexpr int trouble_count = 27;

inline constexpr std::array<const char*, trouble_count> trouble_names{
    "log_silent",        "entries_lapse", "log_slow",     "takeover",
    "power_loss",        "cut_answers",   "cut_both",     "slow_answers",
    "late_orders",       "crash",         "restart",      "restart_earlier",
    "restart_elsewhere", "vm_down",       "fails_all",    "fails_share",
    "unhealthy",         "no_room",       "vm_list_down", "vm_list_slow",
    "drain_and_leave",   "wave",          "zone_out",     "limit_lowered",
    "config_change",     "poison",        "burst"};

struct site_event {
    milliseconds at{};
    trouble kind = trouble::crash;
    milliseconds duration{};
    int count = 1;
    std::uint64_t choice = 0; ///< decides which workers or VMs
};

/// A job that is submitted in a history.
struct submission {
    milliseconds at{};
    job_spec job;
    milliseconds cancel_after{};      ///< 0: never
    std::size_t checkpoint_bytes = 0; ///< of each task
};

/// Everything that happens in one simulated run.
struct promise_history {
    std::uint64_t seed = 1;
    int vms = 4;
    int spare_vms = 0;
    milliseconds length{20000};
    double failure_share = 0;              ///< of long-running tasks that fail by themselves in 2 s
    bool entries_repeat = false;           ///< see `scheduler_site::entries_repeat`
    bool orders_outlive_processes = false; ///< see `scheduler_site::orders_outlive_processes`
    std::vector<submission> jobs;
    std::vector<site_event> events;
};

/// Draws histories.
class history_generator {
public:
    explicit history_generator(std::uint64_t first_seed) : random(first_seed), seed(first_seed) {}

    promise_history make() {
        promise_history made{.seed = this->random(),
                             .vms = this->between(2, 12),
                             .spare_vms = this->chance(0.4) ? this->between(1, 5) : 0,
                             .failure_share = this->chance(0.5) ? 0.03 : 0,
                             .entries_repeat = this->chance(0.5)};
        const bool memory_is_scarce = this->chance(0.4);
        const int jobs = this->between(1, 4);
        for (int number = 0; number < jobs; ++number) {
            made.jobs.push_back(this->lasting_job(made.vms, memory_is_scarce));
        }
        milliseconds at{4000};
        const int rounds = this->between(2, 4);
        for (int round = 0; round < rounds; ++round) {
            const int events = this->between(1, this->chance(0.3) ? 10 : 4);
            const auto begin = made.events.size();
            for (int number = 0; number < events; ++number) {
                made.events.push_back(this->event(at, made.vms));
            }
            auto end = at;
            for (auto item = begin; item < made.events.size(); ++item) {
                end = std::max(end, made.events[item].at +
                                        std::min(made.events[item].duration, milliseconds(15000)));
            }
            at = end + milliseconds(this->between(9000, 14000));
        }
        made.length = at + milliseconds(3000);
        this->add_batch_jobs(made);
        return made;
    }

    /// Draws a history in which work is planned on VMs whose tasks may not end, and some jobs have large
    /// progress.
    promise_history make_with_planned_work() {
        auto made = this->make();
        this->random.seed(this->seed + 1'000'000); // does not depend on what `make` has drawn
        for (auto& item : made.jobs) {
            auto& step = item.job.steps.front();
            if (step.long_running && this->chance(0.5)) {
                step.max_unavailable = 0;
            }
        }
        const int waves = this->between(1, 3);
        for (int number = 0; number < waves; ++number) {
            made.events.push_back({.at = milliseconds(this->between(3000, 20000)),
                                   .kind = trouble::wave,
                                   .duration = milliseconds(this->between(8000, 30000)),
                                   .count = this->between(1, made.vms),
                                   .choice = this->random()});
        }
        const int wide_jobs = this->between(0, 2);
        for (int number = 0; number < wide_jobs; ++number) {
            auto job = batch_job(this->between(200, static_cast<int>(job_limits::max_tasks)), 5);
            job.account.clear();
            job.steps.front().need.memory_mb = 1;
            made.jobs.push_back({.at = milliseconds(this->between(0, 12000)),
                                 .job = std::move(job),
                                 .checkpoint_bytes = static_cast<std::size_t>(this->between(10, 4000))});
        }
        return made;
    }

    /// Draws a history in which workers restart under their ids beside everything that keeps the scheduler
    /// from noticing: orders and answers that are late or lost, an absent log, takeovers.
    promise_history make_with_restarts() {
        constexpr std::array restarts{trouble::restart, trouble::restart_earlier, trouble::restart_elsewhere};
        constexpr std::array beside{trouble::late_orders,  trouble::late_orders, trouble::cut_answers,
                                    trouble::cut_both,     trouble::log_silent,  trouble::log_slow,
                                    trouble::slow_answers, trouble::takeover,    trouble::vm_list_down,
                                    trouble::entries_lapse};
        auto made = this->make();
        this->random.seed(this->seed + 2'000'000); // does not depend on what `make` has drawn
        made.orders_outlive_processes = this->chance(0.5);
        made.events.clear();
        for (milliseconds at{4000}; at < made.length - milliseconds(20000);
             at += milliseconds(this->between(18000, 24000))) {
            for (int number = this->between(1, 4); number > 0; --number) {
                made.events.push_back(this->event_of(beside, at, 3000, made.vms));
            }
            for (int number = this->between(1, 3); number > 0; --number) {
                made.events.push_back(this->event_of(restarts, at, 8000, made.vms));
            }
        }
        return made;
    }

    /// Draws a history in which the limit of an account is lowered again and again, to less than some of its
    /// tasks need.
    promise_history make_with_lowered_limits() {
        constexpr std::array beside{trouble::limit_lowered, trouble::limit_lowered, trouble::limit_lowered,
                                    trouble::crash,         trouble::takeover,      trouble::restart,
                                    trouble::cut_answers,   trouble::log_slow,      trouble::config_change};
        auto made = this->make();
        this->random.seed(this->seed + 3'000'000); // does not depend on what `make` has drawn
        for (auto& item : made.jobs) {
            item.job.account = this->chance(0.8) ? "team" : "";
            for (auto& step : item.job.steps) {
                step.count = std::min(step.count, this->between(1, 4));
                step.need.cpu_millicores = 1000 * this->between(1, this->chance(0.5) ? 16 : 4);
            }
        }
        made.events.clear();
        for (milliseconds at{4000}; at < made.length - milliseconds(20000);
             at += milliseconds(this->between(8000, 24000))) {
            for (int number = this->between(1, 3); number > 0; --number) {
                made.events.push_back(this->event_of(beside, at, 3000, made.vms));
                if (made.events.back().kind == trouble::limit_lowered) {
                    made.events.back().duration = milliseconds(this->between(4000, 20000));
                }
            }
        }
        return made;
    }

private:
    template <std::size_t Count>
    site_event event_of(const std::array<trouble, Count>& kinds, milliseconds from, int within, int vms) {
        return {.at = from + milliseconds(this->between(0, within)),
                .kind = kinds[static_cast<std::size_t>(this->between(0, static_cast<int>(Count) - 1))],
                .duration = milliseconds(this->between(200, 8000)),
                .count = this->between(1, vms),
                .choice = this->random()};
    }

    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
    }
    int between(int low, int high) {
        return low + static_cast<int>(this->random() % static_cast<std::uint64_t>(high - low + 1));
    }

    submission lasting_job(int vms, bool memory_is_scarce) {
        const int count = this->between(1, std::max(1, vms));
        auto job = long_running_job(count, std::max(1, count * 15 / 100));
        job.pool = "pool";
        auto& step = job.steps.front();
        step.max_per_worker = this->chance(0.6) ? 1 : this->between(0, 2);
        step.need = {.cpu_millicores = 1000 * this->between(1, 8),
                     .memory_mb = memory_is_scarce ? 1000 * this->between(5, 43) : 1000};
        step.best_effort = this->chance(0.15);
        step.required_label = this->chance(0.15) ? fmt::format("r{}", this->between(0, 2)) : "";
        job.queue = this->chance(0.15) ? "advised" : "lasting";
        job.account = this->chance(0.3) ? "team" : "";
        return {.at = milliseconds(this->between(0, 8000)),
                .job = std::move(job),
                .cancel_after = milliseconds(this->chance(0.15) ? this->between(5000, 40000) : 0)};
    }

    site_event event(milliseconds at, int vms) {
        const auto kind = static_cast<trouble>(this->between(0, trouble_count - 1));
        site_event made{.at = at + milliseconds(this->between(0, 3000)),
                        .kind = kind,
                        .duration = milliseconds(this->between(200, 8000)),
                        .count = this->between(1, vms),
                        .choice = this->random()};
        switch (kind) {
        case trouble::entries_lapse:
            made.count = this->chance(0.5) ? 0 : made.count;
            break;
        case trouble::vm_down:
            made.duration = this->chance(0.3) ? milliseconds(0) : made.duration;
            break;
        case trouble::drain_and_leave:
            made.duration = milliseconds(this->between(2000, 6000));
            made.count = this->between(1, std::max(1, vms - 1));
            break;
        case trouble::wave:
            made.duration = milliseconds(this->between(8000, 30000));
            break;
        case trouble::zone_out:
        case trouble::limit_lowered:
            made.duration = milliseconds(this->between(4000, 20000));
            break;
        case trouble::poison:
            made.count = this->between(5, 60);
            break;
        case trouble::burst:
            made.count = this->between(1, 10);
            break;
        default:
            break;
        }
        return made;
    }

    void add_batch_jobs(promise_history& made) {
        const int gap = this->between(300, 4000);
        for (milliseconds at{1000}; at < made.length - milliseconds(4000); at += milliseconds(gap)) {
            auto job = batch_job(this->between(1, 8), 1000 * this->between(1, 4));
            job.queue = this->chance(0.1) ? "advised" : "batch";
            job.account = this->chance(0.5) ? "team" : "";
            if (this->chance(0.3)) {
                job.steps.push_back(job.steps.front());
                job.steps.back().after = {0};
            }
            made.jobs.push_back({.at = at + milliseconds(this->between(0, 200)), .job = std::move(job)});
        }
    }

    std::mt19937_64 random;
    std::uint64_t seed;
};

} // namespace hornbeamrail::test
