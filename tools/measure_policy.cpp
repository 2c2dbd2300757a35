// Measures the policies in simulated time: several dispatchers with in-memory executors, compared with a
// baseline that runs with the same seed. Prints a table and writes JSON lines.
// Usage: measure_policy [SEED] [JSON_LINES_FILE]

#include "node/dispatcher.hpp"
#include "policy/fair_share.hpp"
#include "policy/grant_plan.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

using namespace hornbeamrail;
using namespace std::chrono_literals;

namespace {

using micros = std::chrono::microseconds;

constexpr int node_count = 7;
constexpr int executor_count = 10;
constexpr std::int64_t slots_per_executor = 8;
constexpr std::int64_t total_slots = executor_count * slots_per_executor;
constexpr boot_time begin_time{1000s};

/// Callers of one team.
struct stream {
    std::string team;
    std::function<double(micros)> rate;                ///< requests per second over all nodes
    std::function<int(micros, std::mt19937_64&)> node; ///< index of the node that receives a request
    micros mean_run{50000};
    std::chrono::milliseconds deadline{1000};
    bool urgent = false;
};

/// Load and faults of one run.
struct scenario {
    std::vector<team_config> teams;
    std::vector<stream> streams;
    micros duration{10s};
    micros measured_from{2s};
    std::function<double(int executor, micros)> failing_fraction = [](int, micros) {
        return 0.0;
    };
    micros failure_time{1ms};              ///< response time of a failing executor
    bool unresponsive_at_deadline = false; ///< executors end a request at its deadline but send no answer
};

/// Results of one run, counted from `measured_from` to the end.
struct observations {
    std::int64_t offered = 0;
    std::int64_t answered_in_time = 0; ///< complete answers within the deadline
    std::int64_t failed = 0;
    std::int64_t first_dispatches = 0;
    std::int64_t retries = 0;
    std::int64_t above_limit = 0; ///< starts that exceeded a team's upper limit, in the whole run
    std::map<std::string, double> slot_seconds;
    std::vector<double> urgent_waits; ///< seconds; a request that never starts counts as 1000 s
    std::vector<std::int64_t> dispatches_by_executor = std::vector<std::int64_t>(executor_count);
    double usable_at_first_node = 0; ///< units 2 s after `measured_from`, of the first team
};

/// Core of one node: grants from the simulated log and demand from the simulated heartbeats.
struct sim_core {
    const std::shared_ptr<const fleet_state>* published = nullptr;
    incarnation_id self = 0;
    /// Units by team whose release is being appended to the log.
    std::map<std::string, std::int64_t, std::less<>> pending_releases;
    hornbeamrail::fleet_demand known_demand;

    std::shared_ptr<const fleet_state> state() const { return *this->published; }
    bool view_is_fresh(boot_time) const { return true; }
    incarnation_id incarnation() const { return this->self; }
    log_offset epoch() const { return (*this->published)->next_offset(); }
    std::int64_t usable_units(std::string_view team) const {
        const auto found = this->pending_releases.find(team);
        return (*this->published)->grant_of(team, this->self) -
               (found == this->pending_releases.end() ? 0 : found->second);
    }
    hornbeamrail::fleet_demand fleet_demand() const { return this->known_demand; }
    incarnation_id partition_owner(std::string_view) const { return this->self; }
};

/// Baseline: one unbounded FIFO queue, or one per team served round-robin; limits and slots split statically
/// among the nodes; executors chosen round-robin, without ejection; unlimited retries until the deadline.
class baseline_node {
public:
    struct options {
        bool round_robin_teams = false;
    };

    baseline_node(const sim_core& node_core, options node_options)
        : core(node_core), settings(node_options), node_slots(total_slots / node_count) {}

    submit_result submit(boot_time now, const incoming_request& request) {
        const auto id = this->next++;
        const auto& team = this->core.state()->keys().find(*request.key_hash)->second.team;
        this->tickets[id] = {.team = team, .deadline = now + request.deadline};
        this->queue_of(team).push_back(id);
        return id;
    }

    std::vector<dispatch_action> tick(boot_time now) {
        std::vector<dispatch_action> actions;
        while (this->running < this->node_slots) {
            auto* queue = this->next_queue();
            if (queue == nullptr) {
                break;
            }
            const auto id = queue->front();
            queue->pop_front();
            auto& ticket = this->tickets.at(id);
            ++this->running;
            ++this->used[ticket.team];
            ++this->executor_turn;
            const auto remaining =
                std::chrono::duration_cast<std::chrono::milliseconds>(ticket.deadline - now);
            actions.emplace_back(dispatch_request{.ticket = id,
                                                  .vm = std::to_string(this->executor_turn % executor_count),
                                                  .service = "s",
                                                  .remaining = std::max(remaining, 1ms)});
        }
        return actions;
    }

    bool on_dispatch_done(boot_time now, ticket_id id, const dispatch_result& result) {
        auto& ticket = this->tickets.at(id);
        --this->running;
        --this->used[ticket.team];
        if (result.end != dispatch_end::answered && now < ticket.deadline) {
            this->queue_of(ticket.team).push_front(id);
            return false;
        }
        this->tickets.erase(id);
        return result.end == dispatch_end::answered;
    }

    void on_lease(boot_time, std::string_view, boot_time, const lease_answer&) {}
    std::vector<service_demand> demand(boot_time) const { return {}; }
    std::int64_t running_units(std::string_view) const { return 0; }

    [[nodiscard]] std::int64_t limit_of(std::string_view team) const {
        return this->core.state()->config().find_team(team)->upper_limit / node_count;
    }

private:
    struct ticket_entry {
        std::string team;
        boot_time deadline{};
    };

    std::deque<ticket_id>& queue_of(const std::string& team) {
        return this->queues[this->settings.round_robin_teams ? team : ""];
    }

    std::deque<ticket_id>* next_queue() {
        for (std::size_t i = 0; i < this->queues.size(); ++i) {
            auto it =
                std::next(this->queues.begin(), std::ptrdiff_t(++this->team_turn % this->queues.size()));
            if (it->second.empty()) {
                continue;
            }
            const auto& team = this->tickets.at(it->second.front()).team;
            if (this->used[team] < this->limit_of(team)) {
                return &it->second;
            }
        }
        return nullptr;
    }

    const sim_core& core;
    options settings;
    std::int64_t node_slots;
    std::int64_t running = 0;
    std::size_t executor_turn = 0;
    std::size_t team_turn = 0;
    std::map<std::string, std::deque<ticket_id>> queues;
    std::map<std::string, std::int64_t> used;
    std::unordered_map<ticket_id, ticket_entry> tickets;
    ticket_id next = 1;
};

/// A discrete-event simulation of one site: nodes of type Node, executors, callers, heartbeats and a log with
/// a delay.
template <class Node>
class site {
public:
    template <class MakeNode>
    site(const scenario& plan, std::uint64_t seed, MakeNode make_node)
        : setup(plan), arrivals_random(seed), failures_random(seed + 1) {
        this->build_fold();
        for (auto& core : this->cores) {
            this->nodes.push_back(make_node(core));
        }
        for (auto& core : this->cores) {
            core.known_demand = {};
        }
    }

    observations run() {
        for (std::size_t i = 0; i < this->setup.streams.size(); ++i) {
            this->next_arrival(begin_time, i);
        }
        for (int n = 0; n < node_count; ++n) {
            this->at(begin_time + 1ms * n, [this, n](boot_time now) { this->poll(now, n); });
            this->at(begin_time + 35ms * n, [this, n](boot_time now) { this->heartbeat(now, n); });
        }
        this->at(this->time(this->setup.measured_from + 2s), [this](boot_time) {
            this->observed.usable_at_first_node = this->usable(0, this->setup.teams.front().name);
        });
        const auto end = this->time(this->setup.duration);
        while (!this->events.empty() && this->events.top().time <= end) {
            auto next = this->events.top();
            this->events.pop();
            next.action(next.time);
        }
        for (const auto& [id, item] : this->requests) {
            if (item.urgent && !item.started && item.measured && item.arrived + 3s < end) {
                this->observed.urgent_waits.push_back(1000);
            }
        }
        return this->observed;
    }

private:
    struct event {
        boot_time time;
        std::uint64_t order;
        std::function<void(boot_time)> action;
        bool operator<(const event& other) const {
            return this->time != other.time ? this->time > other.time : this->order > other.order;
        }
    };
    struct request_info {
        std::string team;
        micros run{};
        boot_time arrived{};
        boot_time deadline{};
        bool urgent = false;
        bool dispatched = false;
        bool started = false; ///< accepted by an executor
        bool measured = false;
    };

    [[nodiscard]] boot_time time(micros since_begin) const { return begin_time + since_begin; }
    [[nodiscard]] bool measured(boot_time now) const { return now >= this->time(this->setup.measured_from); }

    void at(boot_time when, std::function<void(boot_time)> action) {
        this->events.push({when, this->order++, std::move(action)});
    }

    void add(record_body body) {
        this->fold.apply(this->fold.next_offset(),
                         {.change_id = std::to_string(this->fold.next_offset()), .body = std::move(body)});
        this->published = std::make_shared<const fleet_state>(this->fold);
    }

    void build_fold() {
        fleet_config config{.zones = {{.name = "a", .region = "r"},
                                      {.name = "b", .region = "r"},
                                      {.name = "c", .region = "r"}},
                            .pools = {{.name = "p", .vms = executor_count}},
                            .services = {{.name = "s", .pool = "p"}},
                            .teams = this->setup.teams};
        this->add(config_record{.config = std::make_shared<const fleet_config>(config)});
        for (const auto& team : this->setup.teams) {
            this->add(
                key_grant_record{.key_id = team.name, .key_hash = "key-" + team.name, .team = team.name});
        }
        for (int n = 0; n < node_count; ++n) {
            const auto offset = this->fold.next_offset();
            this->add(node_register_record{.node_id = std::to_string(n),
                                           .peer_address = {"127.0.0.1", std::uint16_t(n + 1)},
                                           .zone = std::string(1, char('a' + n % 3)),
                                           .region = "r"});
            this->cores.push_back({.published = &this->published, .self = offset});
        }
        this->add(planner_claim_record{.incarnation = this->cores[0].self});
        std::vector<vm_description> vms;
        for (int e = 0; e < executor_count; ++e) {
            vms.push_back({.id = std::to_string(e),
                           .address = {"10.0.0.1", 80},
                           .zone = std::string(1, char('a' + e % 3)),
                           .rack = std::to_string(e / 4),
                           .pool = "p",
                           .cores = 32,
                           .memory_mb = 65536});
        }
        this->add(vm_add_record{.epoch = this->fold.planner().epoch, .vms = std::move(vms)});
    }

    void next_arrival(boot_time now, std::size_t index) {
        // Thinning: candidates arrive at the highest rate and are accepted in proportion to the current rate.
        constexpr double highest_rate = 20000;
        const auto& source = this->setup.streams[index];
        double passed = 0;
        do {
            passed += std::exponential_distribution(highest_rate)(this->arrivals_random);
            const auto when = now - begin_time + micros(std::llround(passed * 1e6));
            if (when > this->setup.duration) {
                return;
            }
            const double acceptance = source.rate(when) / highest_rate;
            if (std::uniform_real_distribution(0.0, 1.0)(this->arrivals_random) < acceptance) {
                break;
            }
        } while (true);
        this->at(now + micros(std::llround(passed * 1e6)), [this, index](boot_time when) {
            this->arrive(when, index);
            this->next_arrival(when, index);
        });
    }

    void arrive(boot_time now, std::size_t index) {
        const auto& source = this->setup.streams[index];
        const int n = source.node(now - begin_time, this->arrivals_random);
        const double run =
            std::exponential_distribution(1.0)(this->arrivals_random) * double(source.mean_run.count());
        const auto result = this->nodes[std::size_t(n)]->submit(now, {.service = "s",
                                                                      .key_hash = "key-" + source.team,
                                                                      .request_id = "x",
                                                                      .deadline = source.deadline,
                                                                      .urgent = source.urgent});
        const bool counted = this->measured(now);
        this->observed.offered += counted ? 1 : 0;
        if (const auto* ticket = std::get_if<ticket_id>(&result)) {
            this->requests[{n, *ticket}] = {.team = source.team,
                                            .run = micros(std::llround(run)) + 1ms,
                                            .arrived = now,
                                            .deadline = now + source.deadline,
                                            .urgent = source.urgent,
                                            .measured = counted};
        } else if (counted && source.urgent) {
            this->observed.urgent_waits.push_back(1000);
        }
        this->act(now, n);
    }

    void poll(boot_time now, int n) {
        this->act(now, n);
        this->at(now + 10ms, [this, n](boot_time when) { this->poll(when, n); });
    }

    void act(boot_time now, int n) {
        for (auto& action : this->nodes[std::size_t(n)]->tick(now)) {
            if (auto* dispatch = std::get_if<dispatch_request>(&action)) {
                this->dispatch(now, n, *dispatch);
            } else if (auto* renew = std::get_if<renew_lease>(&action)) {
                const auto running = this->running_at[std::size_t(std::stoi(renew->vm))];
                this->nodes[std::size_t(n)]->on_lease(
                    now, renew->vm, now, {.token = "t", .slots = slots_per_executor, .running = running});
            } else if (auto* refused = std::get_if<refuse_ticket>(&action)) {
                const auto found = this->requests.find({n, refused->ticket});
                if (found != this->requests.end()) {
                    this->observed.failed +=
                        this->measured(now) && refused->answer.error == "backend_failed" ? 1 : 0;
                    if (found->second.urgent && !found->second.started && found->second.measured) {
                        this->observed.urgent_waits.push_back(1000);
                    }
                    this->requests.erase(found);
                }
            }
        }
    }

    void dispatch(boot_time now, int n, const dispatch_request& action) {
        auto& request = this->requests.at({n, action.ticket});
        const auto executor = std::stoul(action.vm);
        if (this->measured(now)) {
            ++(request.dispatched ? this->observed.retries : this->observed.first_dispatches);
            ++this->observed.dispatches_by_executor[executor];
        }
        request.dispatched = true;
        if (this->running_at[executor] >= slots_per_executor) {
            this->finish_at(now + 1ms, n, action.ticket, dispatch_end::busy, request.team, -1, 0s);
            return;
        }
        if (request.urgent && !request.started && request.measured) {
            this->observed.urgent_waits.push_back(
                std::chrono::duration<double>(now - request.arrived).count());
        }
        request.started = true;
        const double failure_probability = this->setup.failing_fraction(int(executor), now - begin_time);
        const bool failing =
            std::uniform_real_distribution(0.0, 1.0)(this->failures_random) < failure_probability;
        auto run = failing ? this->setup.failure_time : request.run;
        auto end = failing ? dispatch_end::failed_answer : dispatch_end::answered;
        if (run > action.remaining) {
            run = action.remaining;
            end = this->setup.unresponsive_at_deadline ? dispatch_end::timed_out : dispatch_end::stopped;
        }
        ++this->running_at[executor];
        const auto team = this->fold.config().find_team(request.team);
        if (++this->running_of[request.team] > team->upper_limit) {
            ++this->observed.above_limit;
        }
        this->finish_at(now + run, n, action.ticket, end, request.team, int(executor), run);
    }

    void finish_at(boot_time when, int n, ticket_id ticket, dispatch_end end, const std::string& team,
                   int executor, micros run) {
        this->at(when, [this, n, ticket, end, team, executor, run](boot_time now) {
            if (executor >= 0) {
                --this->running_at[std::size_t(executor)];
                --this->running_of[team];
                if (this->measured(now)) {
                    this->observed.slot_seconds[team] += std::chrono::duration<double>(run).count();
                }
            }
            const bool delivered = this->nodes[std::size_t(n)]->on_dispatch_done(now, ticket, {.end = end});
            const auto found = this->requests.find({n, ticket});
            if (delivered && found != this->requests.end()) {
                this->observed.answered_in_time +=
                    this->measured(now) && now <= found->second.deadline ? 1 : 0;
                this->requests.erase(found);
            }
            this->act(now, n);
        });
    }

    [[nodiscard]] double usable(int n, const std::string& team) const {
        if constexpr (std::is_same_v<Node, baseline_node>) {
            return double(this->nodes[std::size_t(n)]->limit_of(team));
        } else {
            return double(this->cores[std::size_t(n)].usable_units(team));
        }
    }

    /// Sends the demand of the node to all others (2 ms) and requests grants from the log (30 ms).
    void heartbeat(boot_time now, int n) {
        auto& core = this->cores[std::size_t(n)];
        const node_demand own{.incarnation = core.self, .services = this->nodes[std::size_t(n)]->demand(now)};
        receive_demand(core, own);
        for (int other = 0; other < node_count; ++other) {
            if (other != n) {
                this->at(now + 2ms, [this, other, own](boot_time) {
                    receive_demand(this->cores[std::size_t(other)], own);
                });
            }
        }
        this->plan(now, n);
        this->at(now + 250ms, [this, n](boot_time when) { this->heartbeat(when, n); });
    }

    static void receive_demand(sim_core& core, const node_demand& demand) {
        std::erase_if(core.known_demand.nodes,
                      [&](const auto& node) { return node.incarnation == demand.incarnation; });
        core.known_demand.nodes.push_back(demand);
    }

    void plan(boot_time now, int n) {
        auto& core = this->cores[std::size_t(n)];
        if (!core.pending_releases.empty() || std::is_same_v<Node, baseline_node>) {
            return; // an append is in flight
        }
        auto deltas = plan_grants(core.self, *this->published, core.known_demand);
        if (deltas.empty()) {
            return;
        }
        for (const auto& delta : deltas) {
            core.pending_releases[delta.team] = std::max<std::int64_t>(0, -delta.units);
        }
        this->at(now + 30ms, [this, n, deltas](boot_time) {
            auto& writer = this->cores[std::size_t(n)];
            const auto sequence = this->fold.find_node(writer.self)->grant_sequence + 1;
            this->add(grant_delta_record{.incarnation = writer.self, .sequence = sequence, .deltas = deltas});
            writer.pending_releases.clear();
        });
    }

    const scenario& setup;
    std::mt19937_64 arrivals_random;
    std::mt19937_64 failures_random;
    fleet_state fold;
    std::shared_ptr<const fleet_state> published;
    std::deque<sim_core> cores;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::int64_t> running_at = std::vector<std::int64_t>(executor_count);
    std::map<std::string, std::int64_t> running_of;
    std::map<std::pair<int, ticket_id>, request_info> requests;
    std::priority_queue<event> events;
    std::uint64_t order = 0;
    observations observed;
};

observations run_dispatchers(const scenario& setup, std::uint64_t seed) {
    std::uint64_t number = 0;
    return site<dispatcher>(setup, seed,
                            [&](const sim_core& core) {
                                const auto zone = std::string(1, char('a' + number % 3));
                                return std::make_unique<dispatcher>(
                                    read_from(core),
                                    dispatcher_options{.zone = zone, .seed = seed * 100 + ++number});
                            })
        .run();
}

observations run_baseline(const scenario& setup, std::uint64_t seed, bool round_robin_teams = false) {
    return site<baseline_node>(setup, seed,
                               [&](const sim_core& core) {
                                   return std::make_unique<baseline_node>(
                                       core, baseline_node::options{round_robin_teams});
                               })
        .run();
}

int any_node(micros, std::mt19937_64& random) {
    return int(random() % node_count);
}

int first_node(micros, std::mt19937_64&) {
    return 0;
}

double saturation_rate(micros mean_run) {
    // `arrive()` adds 1 ms to every run time.
    return double(total_slots) / std::chrono::duration<double>(mean_run + 1ms).count();
}

/// One row of the report.
struct measure {
    std::string name;
    std::string unit;
    double value = 0;
    double baseline = 0;
    std::string target;
    bool met = false;
};

std::vector<measure> measure_skew(std::uint64_t seed) {
    const std::int64_t limit = 42;
    const scenario setup{.teams = {{.name = "t", .share = 50, .upper_limit = limit, .services = {"s"}}},
                         .streams = {{.team = "t",
                                      .rate = [](micros) { return 3 * 42 / 0.05; },
                                      .node =
                                          [](micros at, std::mt19937_64& random) {
                                              return at < 5s ? any_node(at, random) : 0;
                                          }}},
                         .duration = 12s,
                         .measured_from = 5s};
    auto unresponsive_setup = setup;
    unresponsive_setup.unresponsive_at_deadline = true;
    const double usable_unresponsive = run_dispatchers(unresponsive_setup, seed).usable_at_first_node / limit;
    auto late_setup = setup;
    late_setup.measured_from = 7s;
    const auto ours = run_dispatchers(setup, seed);
    const auto base = run_baseline(setup, seed);
    const double used = run_dispatchers(late_setup, seed).slot_seconds["t"] / (5.0 * limit);
    const double baseline_used = run_baseline(late_setup, seed).slot_seconds["t"] / (5.0 * limit);
    const double usable = ours.usable_at_first_node / limit;
    return {{"usable_limit_2s_after_skew", "part of the limit", usable, base.usable_at_first_node / limit,
             ">= 0.95", usable >= 0.95},
            {"usable_limit_2s_silent_executors", "part of the limit", usable_unresponsive,
             base.usable_at_first_node / limit, ">= 0.95", usable_unresponsive >= 0.95},
            {"used_limit_under_skew", "part of the limit", used, baseline_used,
             "no target (shows that it is used)", true},
            {"starts_above_upper_limit", "count", double(ours.above_limit), double(base.above_limit), "0",
             ours.above_limit == 0}};
}

std::vector<measure> measure_overload(std::uint64_t seed) {
    const auto at_load = [&](double load) {
        const double rate = load * saturation_rate(50ms);
        scenario setup{.duration = 12s, .measured_from = 2s};
        for (int t = 0; t < 6; ++t) {
            const auto name = std::to_string(t);
            setup.teams.push_back(
                {.name = name, .share = 100.0 / 6, .upper_limit = total_slots, .services = {"s"}});
            setup.streams.push_back(
                {.team = name, .rate = [rate](micros) { return rate / 6; }, .node = any_node});
        }
        return setup;
    };
    const auto saturated = run_dispatchers(at_load(1), seed).answered_in_time;
    const auto overloaded = run_dispatchers(at_load(5), seed).answered_in_time;
    const auto base_saturated = run_baseline(at_load(1), seed).answered_in_time;
    const auto base_overloaded = run_baseline(at_load(5), seed).answered_in_time;
    const double ratio = double(overloaded) / double(saturated);
    return {{"goodput_at_5x_over_saturation", "ratio", ratio,
             double(base_overloaded) / double(base_saturated), ">= 0.95", ratio >= 0.95},
            {"goodput_at_saturation", "answers/s", double(saturated) / 10, double(base_saturated) / 10,
             "no target (denominator)", true}};
}

std::vector<measure> measure_brown_out(std::uint64_t seed) {
    const double rate = 0.7 * saturation_rate(50ms);
    const scenario setup{
        .teams = {{.name = "t", .share = 50, .upper_limit = total_slots, .services = {"s"}}},
        .streams = {{.team = "t", .rate = [rate](micros) { return rate; }, .node = any_node}},
        .duration = 14s,
        .measured_from = 4s,
        .failing_fraction = [](int, micros at) { return at > 4s ? 0.6 : 0.0; },
        .failure_time = 20ms};
    const auto ours = run_dispatchers(setup, seed);
    const auto base = run_baseline(setup, seed);
    const double ratio = double(ours.retries) / double(ours.first_dispatches);
    return {{"retries_in_brown_out", "per first dispatch", ratio,
             double(base.retries) / double(base.first_dispatches), "< 0.10", ratio < 0.10}};
}

std::vector<measure> measure_shares(std::uint64_t seed) {
    const std::vector<double> shares{40, 30, 20, 10};
    scenario setup{.duration = 24s, .measured_from = 4s};
    for (std::size_t t = 0; t < shares.size(); ++t) {
        const auto name = std::to_string(t);
        setup.teams.push_back(
            {.name = name, .share = shares[t], .upper_limit = total_slots, .services = {"s"}});
        // Each team alone requests 1.5 times the capacity; all callers of the first team use one node.
        const double rate = 1.5 * saturation_rate(50ms);
        setup.streams.push_back({.team = name,
                                 .rate = [rate](micros) { return rate; },
                                 .node = t == 0 ? first_node : any_node,
                                 .deadline = 2000ms});
    }
    const auto distance = [&](const observations& observed) {
        std::vector<double> received;
        for (std::size_t t = 0; t < shares.size(); ++t) {
            const auto found = observed.slot_seconds.find(std::to_string(t));
            received.push_back(found == observed.slot_seconds.end() ? 0 : found->second);
        }
        return distance_from_share(received, shares);
    };
    const double ours = distance(run_dispatchers(setup, seed));
    const double base = distance(run_baseline(setup, seed, true));
    return {{"distance_from_share_when_full", "part of the slots", ours, base, "< 0.05", ours < 0.05}};
}

std::vector<measure> measure_urgent(std::uint64_t seed) {
    const double rate = 2 * saturation_rate(1000ms);
    const scenario setup{
        .teams = {{.name = "busy", .share = 70, .upper_limit = total_slots, .services = {"s"}},
                  {.name = "careful", .share = 30, .upper_limit = total_slots, .services = {"s"}}},
        .streams = {{.team = "busy",
                     .rate = [rate](micros) { return rate; },
                     .node = any_node,
                     .mean_run = 1000ms,
                     .deadline = 10000ms},
                    {.team = "careful",
                     .rate = [](micros) { return 10.0; },
                     .node = any_node,
                     .mean_run = 1000ms,
                     .deadline = 10000ms,
                     .urgent = true}},
        .duration = 40s,
        .measured_from = 10s};
    const auto worst = [](const observations& observed) {
        return observed.urgent_waits.empty()
                   ? 1000
                   : *std::max_element(observed.urgent_waits.begin(), observed.urgent_waits.end());
    };
    const auto p99 = [](observations observed) {
        std::sort(observed.urgent_waits.begin(), observed.urgent_waits.end());
        return observed.urgent_waits.empty() ? 1000
                                             : observed.urgent_waits[observed.urgent_waits.size() * 99 / 100];
    };
    const auto ours = run_dispatchers(setup, seed);
    const auto base = run_baseline(setup, seed);
    return {{"urgent_start_worst", "s", worst(ours), worst(base), "< 2.3", worst(ours) < 2.3},
            {"urgent_start_p99", "s", p99(ours), p99(base), "< 2.3", p99(ours) < 2.3}};
}

std::vector<measure> measure_ejection(std::uint64_t seed) {
    const double rate = 0.6 * saturation_rate(50ms);
    const scenario setup{
        .teams = {{.name = "t", .share = 50, .upper_limit = total_slots, .services = {"s"}}},
        .streams = {{.team = "t", .rate = [rate](micros) { return rate; }, .node = any_node}},
        .duration = 15s,
        .measured_from = 5s,
        .failing_fraction = [](int executor, micros at) {
            return executor == 3 && at > 4s ? 1.0 : 0.0;
        }};
    const auto fraction = [](const observations& observed) {
        return double(observed.dispatches_by_executor[3]) /
               double(observed.first_dispatches + observed.retries);
    };
    const auto ours = run_dispatchers(setup, seed);
    const auto base = run_baseline(setup, seed);
    return {{"dispatches_to_failing_executor", "part of dispatches", fraction(ours), fraction(base), "< 0.01",
             fraction(ours) < 0.01},
            {"failed_answers_to_callers", "part of requests", double(ours.failed) / double(ours.offered),
             double(base.failed) / double(base.offered), "< 0.01",
             double(ours.failed) / double(ours.offered) < 0.01}};
}

/// @return whether KNOWN-RED.txt lists the measure on a line "measure: policy/NAME"
bool is_known_red(const std::string& name) {
    std::ifstream file("KNOWN-RED.txt");
    const auto entry = "measure: policy/" + name;
    for (std::string line; std::getline(file, line);) {
        if (line.compare(0, entry.size(), entry) == 0 &&
            (line.size() == entry.size() || line[entry.size()] == ' ')) {
            return true;
        }
    }
    return false;
}

} // namespace

int main(int argc, char** argv) {
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    std::ofstream lines(argc > 2 ? argv[2] : "build/measure_policy.jsonl");
    std::vector<measure> all;
    for (const auto& group : {measure_skew, measure_overload, measure_brown_out, measure_shares,
                              measure_urgent, measure_ejection}) {
        for (auto& item : group(seed)) {
            all.push_back(std::move(item));
        }
    }
    fmt::print("seed {}, {} nodes, {} executors with {} slots, simulated time\n\n", seed, node_count,
               executor_count, slots_per_executor);
    fmt::print("{:<32} {:>10} {:>10} {:>9}  {:<36} {}\n", "measure", "measured", "baseline", "ratio",
               "target", "met");
    bool passed = true;
    for (const auto& item : all) {
        const bool known = !item.met && is_known_red(item.name);
        passed = passed && (item.met || known);
        const auto ratio = item.baseline != 0 ? fmt::format("{:.3f}", item.value / item.baseline) : "-";
        fmt::print("{:<32} {:>10.4f} {:>10.4f} {:>9}  {:<36} {}\n", item.name, item.value, item.baseline,
                   ratio, item.target,
                   item.met ? "yes"
                   : known  ? "no (known red)"
                            : "NO");
        lines << fmt::format("{{\"measure\":\"{}\",\"unit\":\"{}\",\"seed\":{},\"value\":{:.6g},\"baseline\":"
                             "{:.6g},\"ratio\":{},"
                             "\"target\":\"{}\",\"met\":{}}}\n",
                             item.name, item.unit, seed, item.value, item.baseline,
                             item.baseline != 0 ? fmt::format("{:.6g}", item.value / item.baseline) : "null",
                             item.target, item.met);
    }
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
