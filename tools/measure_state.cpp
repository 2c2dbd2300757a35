// Measures the coordination layer in simulated time: dissemination, cost per node, startup, appends, log
// outage, demand skew and memory. Prints a table with targets and baselines and writes JSON lines. Usage:
// measure_state [SEED] [JSON_LINES_FILE]

#include "fakes/core_simulation.hpp"
#include "protocol/digest.hpp"
#include "state/snapshot.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <malloc.h>
#include <numeric>
#include <string>
#include <vector>

using namespace hornbeamrail;
using namespace std::chrono_literals;

namespace {

constexpr double megabyte = 1024.0 * 1024.0;

/// @return the name of a figure in KNOWN-RED.txt, for example "time_in_force_max_s"
std::string case_name(const std::string& figure) {
    std::string name;
    for (const char letter : figure) {
        if (std::isalnum(static_cast<unsigned char>(letter)) != 0) {
            name += static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
        } else if (!name.empty() && name.back() != '_') {
            name += '_';
        }
    }
    return name;
}

/// Prints one row per figure, compares it with its target and records missed targets.
class report {
public:
    report(std::uint64_t seed, const std::string& path) : lines(path) {
        fmt::print("seed {}\n{:<58} {:>12} {:>14} {:>14}\n", seed, "figure", "value", "target", "baseline");
        std::ifstream known("KNOWN-RED.txt");
        for (std::string line; std::getline(known, line);) {
            this->known_red += line + '\n';
        }
    }

    enum class bound { none, at_most, at_least };

    void add(const std::string& figure, double value, bound kind = bound::none, double target = 0,
             const std::string& baseline = "-") {
        const bool holds =
            kind == bound::none || (kind == bound::at_most ? value <= target : value >= target);
        const auto limit = kind == bound::none
                               ? std::string("-")
                               : fmt::format("{} {}", kind == bound::at_most ? "<=" : ">=", target);
        const bool known =
            this->known_red.find("measure: state/" + case_name(figure) + " ") != std::string::npos;
        fmt::print("{:<58} {:>12.3f} {:>14} {:>14} {}\n", figure, value, limit, baseline,
                   holds   ? ""
                   : known ? "known red"
                           : "MISSED");
        std::fflush(stdout);
        this->lines << boost::json::serialize(boost::json::object{{"figure", figure},
                                                                  {"value", value},
                                                                  {"target", limit},
                                                                  {"baseline", baseline},
                                                                  {"holds", holds}})
                    << '\n';
        this->missed = this->missed || (!holds && !known);
    }

    [[nodiscard]] bool all_targets_met() const { return !this->missed; }

private:
    std::ofstream lines;
    std::string known_red;
    bool missed = false;
};

using bound = report::bound;

struct fleet_size {
    std::string name;
    int workers = 50;
    int pools = 6;
    int teams = 6;
    int zones = 3;
    int regions = 1;
};

const fleet_size today{.name = "today"};
const fleet_size two_years{
    .name = "two years", .workers = 6900, .pools = 31, .teams = 770, .zones = 10, .regions = 4};

std::string zone_name(int zone) {
    return "z" + std::to_string(zone);
}

std::string region_of(const fleet_size& size, int zone) {
    return "r" + std::to_string(zone % size.regions);
}

fleet_config make_config(const fleet_size& size, std::int64_t upper_limit) {
    fleet_config config{.site = "measured"};
    for (int zone = 0; zone < size.zones; ++zone) {
        config.zones.push_back({.name = zone_name(zone), .region = region_of(size, zone)});
    }
    for (int pool = 0; pool < size.pools; ++pool) {
        const auto name = "pool" + std::to_string(pool);
        config.pools.push_back(
            {.name = name, .vms = size.workers / size.pools, .spare = pool == size.pools - 1});
        if (pool < size.pools - 1) {
            config.services.push_back({.name = "service" + std::to_string(pool), .pool = name});
        }
    }
    for (int team = 0; team < size.teams; ++team) {
        config.teams.push_back({.name = "team" + std::to_string(team),
                                .share = 100.0 / size.teams,
                                .upper_limit = upper_limit,
                                .services = {"service0"}});
    }
    return config;
}

std::string encoded(record_body body) {
    return encode_record({.change_id = random_uuid(), .body = std::move(body)});
}

std::string config_bytes(const fleet_size& size, std::int64_t upper_limit, log_offset expected = 0) {
    return encoded(
        config_record{.expected_version = expected,
                      .config = std::make_shared<const fleet_config>(make_config(size, upper_limit))});
}

double percentile(std::vector<double> values, double fraction) {
    std::sort(values.begin(), values.end());
    return values.empty()
               ? 0
               : values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

double seconds(std::chrono::nanoseconds span) {
    return std::chrono::duration<double>(span).count();
}

/// A simulated site whose nodes are named "n1", "n2" and so on. The constructor returns once all nodes are
/// registered; it exits with code 2 if they do not register.
struct site {
    site(core_simulation_options options, const fleet_size& shape, int nodes, std::int64_t upper_limit,
         const std::function<void(core_options&)>& adjust_options = {})
        : simulation(options), size(shape), count(nodes) {
        this->simulation.append_now({config_bytes(shape, upper_limit)});
        for (int node = 1; node <= nodes; ++node) {
            const int zone = node % shape.zones;
            this->simulation.start(
                {.node_id = name(node), .zone = zone_name(zone), .region = region_of(shape, zone)},
                adjust_options);
        }
        const bool ready = this->simulation
                               .run_until(
                                   [this] {
                                       for (int node = 1; node <= this->count; ++node) {
                                           if (this->simulation.core(name(node)).incarnation() == 0) {
                                               return false;
                                           }
                                       }
                                       return true;
                                   },
                                   120s)
                               .has_value();
        if (!ready) {
            fmt::print("a site of {} nodes did not start\n", nodes);
            std::exit(2);
        }
    }

    static std::string name(int node) { return "n" + std::to_string(node); }

    core_simulation simulation;
    fleet_size size;
    int count;
};

void measure_time_in_force(report& table, std::uint64_t seed, bool batched) {
    constexpr auto span = 30min;
    constexpr double changes_per_second = 22000.0 / 86400.0;
    core_simulation_options options{.seed = seed};
    site nodes(options, today, 7, 100, [batched](core_options& own) {
        own.limits.append_batch_bytes = batched ? own.limits.append_batch_bytes : 1;
    });
    seeded_generator random(seed + 1);
    struct open_change {
        std::string id;
        int node;
        std::chrono::microseconds submitted;
        bool in_force = false;
    };
    std::vector<open_change> open;
    std::vector<double> in_force;
    std::vector<double> accepted;
    const auto begin = nodes.simulation.now();
    int number = 0;
    const auto submit = [&](int node) {
        const auto id = random_uuid();
        key_grant_record key{.key_id = std::to_string(++number), .key_hash = sha256_hex(id), .team = "team1"};
        nodes.simulation.core(site::name(node))
            .submit_change(nodes.simulation.local_time(site::name(node)), id, std::move(key));
        open.push_back({.id = id, .node = node, .submitted = nodes.simulation.now()});
    };
    for (int step = 0; nodes.simulation.now() - begin < span; ++step) {
        nodes.simulation.run_for(5ms);
        // Every 5 minutes one node submits a burst of 50 changes within a second; the other changes are
        // random.
        const auto burst_phase = (nodes.simulation.now() - begin) % 5min;
        if (burst_phase >= 60s && burst_phase < 61s && step % 4 == 0) {
            submit(3);
        }
        if (random.chance((changes_per_second - 50.0 / 300) * 0.005)) {
            submit(static_cast<int>(random.between(std::int64_t{1}, std::int64_t{7})));
        }
        std::erase_if(open, [&](open_change& change) {
            const auto age = seconds(nodes.simulation.now() - change.submitted);
            bool everywhere = true;
            for (int node = 1; node <= 7 && everywhere && !change.in_force; ++node) {
                everywhere =
                    nodes.simulation.core(site::name(node)).state()->outcome_of(change.id).has_value();
            }
            if (everywhere && !change.in_force) {
                change.in_force = true;
                in_force.push_back(age);
            }
            const auto status = nodes.simulation.core(site::name(change.node)).change_status(change.id);
            if (status.phase == change_phase::accepted) {
                accepted.push_back(age);
            }
            return status.phase == change_phase::accepted;
        });
    }
    if (!batched) {
        table.add("time in force, one record per append call, max s", percentile(in_force, 1));
        return;
    }
    table.add("changes submitted at 22000 a day in 30 min", number);
    table.add("changes not in force at the end", static_cast<double>(open.size()), bound::at_most, 1);
    table.add("time in force p50 s", percentile(in_force, 0.5));
    table.add("time in force p99 s", percentile(in_force, 0.99));
    table.add("time in force max s", percentile(in_force, 1), bound::at_most, 5);
    table.add("time until accepted p50 s", percentile(accepted, 0.5));
    table.add("time until accepted max s", percentile(accepted, 1), bound::at_most, 5);
}

struct node_rates {
    double messages = 0;
    double bytes = 0;
    double log_bytes = 0;
    double processor = 0;
};

/// Measures how the cost per node grows with the number of nodes. Each node has demand for 20 teams, and one
/// node in ten changes its demand each second.
void measure_slope(report& table, std::uint64_t seed) {
    constexpr auto span = 4s;
    node_rates first;
    node_rates last;
    const std::vector<int> sizes{16, 64, 192};
    for (const int count : sizes) {
        site nodes({.seed = seed, .count_bytes = true}, two_years, count, 2000);
        seeded_generator random(seed + 2);
        const auto change_load = [&](int node) {
            for (int team = 0; team < 20; ++team) {
                nodes.simulation.set_load(site::name(node),
                                          "team" + std::to_string((node * 7 + team * 31) % 770),
                                          random.between(std::int64_t{0}, std::int64_t{20}));
            }
        };
        for (int node = 1; node <= count; ++node) {
            change_load(node);
        }
        nodes.simulation.run_for(6s);
        std::vector<node_cost> before;
        for (int node = 1; node <= count; ++node) {
            before.push_back(nodes.simulation.cost(site::name(node)));
        }
        for (auto passed = 0s; passed < span; passed += 1s) {
            for (int node = 1; node <= count; ++node) {
                if (random.chance(0.1)) {
                    change_load(node);
                }
            }
            nodes.simulation.run_for(1s);
        }
        node_rates worst;
        node_rates mean;
        for (int node = 1; node <= count; ++node) {
            const auto& old = before[static_cast<std::size_t>(node - 1)];
            const auto cost = nodes.simulation.cost(site::name(node));
            const auto add = [&](double node_rates::*field, double value) {
                worst.*field = std::max(worst.*field, value / seconds(span));
                mean.*field += value / seconds(span) / count;
            };
            add(&node_rates::messages, static_cast<double>(cost.messages - old.messages));
            add(&node_rates::bytes, static_cast<double>(cost.bytes - old.bytes));
            add(&node_rates::log_bytes, static_cast<double>(cost.log_bytes - old.log_bytes));
            add(&node_rates::processor, seconds(cost.processor - old.processor));
        }
        const auto label = fmt::format("{} nodes", count);
        table.add(label + ": messages/s, mean", mean.messages);
        table.add(label + ": messages/s, busiest node", worst.messages);
        table.add(label + ": peer KB/s, mean", mean.bytes / 1024);
        table.add(label + ": log KB/s, mean", mean.log_bytes / 1024);
        table.add(label + ": peer and log KB/s, busiest node", (worst.bytes + worst.log_bytes) / 1024,
                  count == sizes.back() ? bound::at_most : bound::none, 23);
        table.add(label + ": processor %, mean", mean.processor * 100);
        table.add(label + ": processor %, busiest node", worst.processor * 100,
                  count == sizes.back() ? bound::at_most : bound::none, 3.5);
        (count == sizes.front() ? first : last) = mean;
    }
    const double steps = (sizes.back() - sizes.front()) / 100.0;
    table.add("slope per 100 nodes: messages/s", (last.messages - first.messages) / steps);
    table.add("slope per 100 nodes: peer KB/s", (last.bytes - first.bytes) / 1024 / steps);
    table.add("slope per 100 nodes: processor %", (last.processor - first.processor) * 100 / steps);
}

/// @return the log of a fleet that has run for some time: configuration, VMs, keys and enough changes to
///     fill the change table
std::vector<std::string> make_history(const fleet_size& size) {
    std::vector<std::string> records{config_bytes(size, 1000)};
    records.push_back(encoded(node_register_record{.node_id = "old",
                                                   .peer_address = {"10.9.0.1", 1},
                                                   .zone = zone_name(0),
                                                   .region = region_of(size, 0)}));
    records.push_back(encoded(planner_claim_record{.incarnation = 2}));
    vm_add_record added{.epoch = 3, .vms = {}};
    for (int vm = 0; vm < size.workers; ++vm) {
        added.vms.push_back(
            {.id = fmt::format("vm-{:05}", vm),
             .address = {fmt::format("10.{}.{}.{}", vm >> 16, (vm >> 8) & 255, vm & 255), 8080},
             .zone = zone_name(vm % size.zones),
             .rack = fmt::format("rack{}", vm / 4),
             .pool = "pool" + std::to_string(vm % size.pools),
             .cores = 32,
             .memory_mb = 65536,
             .accelerators = vm % 4});
        if (added.vms.size() == 500 || vm + 1 == size.workers) {
            records.push_back(encoded(added));
            added.vms.clear();
        }
    }
    for (int team = 0; team < size.teams; ++team) {
        const auto id = std::to_string(team);
        records.push_back(
            encoded(key_grant_record{.key_id = id, .key_hash = sha256_hex(id), .team = "team" + id}));
    }
    for (int change = 0; change < 16000; ++change) {
        const auto vm = fmt::format("vm-{:05}", change / 2 % size.workers);
        records.push_back(change % 2 == 0 ? encoded(vm_out_record{.vm = vm})
                                          : encoded(vm_in_record{.vm = vm}));
    }
    return records;
}

fleet_state fold(const std::vector<std::string>& records) {
    fleet_state state;
    for (const auto& bytes : records) {
        error failure;
        const auto record = value_or_error([&] { return decode_record(bytes); }, failure);
        state.apply(state.next_offset(), *record);
    }
    return state;
}

/// @return seconds of simulated time plus processor time until the node is registered and its view is fresh
double start_from_log(std::uint64_t seed, const std::vector<std::string>& history, const fleet_state& state) {
    core_simulation_options options{.seed = seed};
    // The log retains the snapshot and the 5000 records after it, and nothing before it.
    options.log.retained_records = 5200;
    core_simulation simulation(options);
    simulation.append_now(history);
    for (const auto& part : split_snapshot("s", state.next_offset(), snapshot_codec::encode(state),
                                           core_limits{}.snapshot_part_bytes)) {
        simulation.append_now({encoded(part)});
    }
    for (int change = 0; change < 5000; ++change) {
        const auto vm = fmt::format("vm-{:05}", change / 2 % 50);
        simulation.append_now(
            {change % 2 == 0 ? encoded(vm_out_record{.vm = vm}) : encoded(vm_in_record{.vm = vm})});
    }
    const auto& core = simulation.start({.node_id = "new", .zone = zone_name(0), .region = "r0"});
    const auto elapsed =
        simulation.run_until([&] { return core.incarnation() != 0 && simulation.fresh("new"); }, 60s);
    return elapsed ? seconds(*elapsed) + seconds(simulation.cost("new").processor) : 1e9;
}

/// @return seconds of simulated time plus processor time until the node has the state of a peer while the
///     log is down
double start_from_peer(std::uint64_t seed, const std::vector<std::string>& history) {
    core_simulation simulation({.seed = seed});
    simulation.append_now(history);
    simulation.start({.node_id = "old", .zone = zone_name(0), .region = "r0"});
    simulation.run_until([&] { return simulation.core("old").incarnation() != 0; }, 60s);
    simulation.log().faults().down = true;
    simulation.run_for(1s);
    const auto target = simulation.core("old").state()->next_offset();
    const auto before = simulation.cost("old").processor;
    const auto& core = simulation.start({.node_id = "new", .zone = zone_name(0), .region = "r0"});
    const auto elapsed = simulation.run_until([&] { return core.state()->next_offset() >= target; }, 60s);
    return elapsed ? seconds(*elapsed) + seconds(simulation.cost("new").processor) +
                         seconds(simulation.cost("old").processor - before)
                   : 1e9;
}

void measure_start_and_memory(report& table, std::uint64_t seed) {
    for (const auto* size : {&today, &two_years}) {
        const auto history = make_history(*size);
        auto state = fold(history);
        const auto bytes = snapshot_codec::encode(state);
        const double target = size == &today ? 2 : 10;
        table.add(size->name + ": snapshot MB", static_cast<double>(bytes.size()) / megabyte, bound::at_most,
                  4);
        const auto before = mallinfo2().uordblks;
        error failure;
        const auto copy = value_or_error([&] { return snapshot_codec::decode(bytes); }, failure);
        table.add(size->name + ": state in memory MB",
                  static_cast<double>(mallinfo2().uordblks - before) / megabyte);
        table.add(size->name + ": start from snapshot and tail s", start_from_log(seed, history, state),
                  bound::at_most, target);
        table.add(size->name + ": start from a peer s", start_from_peer(seed, history), bound::at_most,
                  target);

        core_simulation simulation({.seed = seed});
        simulation.append_now(history);
        const auto empty = mallinfo2().uordblks;
        simulation.start({.node_id = "new", .zone = zone_name(0), .region = "r0"});
        simulation.run_for(5s);
        table.add(size->name + ": core in memory MB",
                  static_cast<double>(mallinfo2().uordblks - empty) / megabyte, bound::at_most, 32);
    }
}

void measure_appends(report& table, std::uint64_t seed) {
    site nodes({.seed = seed}, today, 7, 100);
    seeded_generator random(seed + 3);
    std::vector<std::int64_t> calls; ///< total of all nodes, sampled every 100 ms
    for (int step = 0; step < 3000; ++step) {
        // Every 3 s each demand becomes 70 units (about five times its mean) with probability 0.2 and 1 unit
        // otherwise. Operators submit a change at each node every 100 ms.
        if (step % 30 == 0) {
            for (int node = 1; node <= 7; ++node) {
                for (int team = 0; team < 6; ++team) {
                    nodes.simulation.set_load(site::name(node), "team" + std::to_string(team),
                                              random.chance(0.2) ? 70 : 1);
                }
            }
        }
        for (int node = 1; node <= 7; ++node) {
            const auto id = random_uuid();
            nodes.simulation.core(site::name(node))
                .submit_change(nodes.simulation.local_time(site::name(node)), id,
                               zone_in_record{.zone = "z0"});
        }
        nodes.simulation.run_for(100ms);
        std::int64_t sum = 0;
        for (int node = 1; node <= 7; ++node) {
            sum += nodes.simulation.cost(site::name(node)).append_calls;
        }
        calls.push_back(sum);
    }
    std::int64_t max_calls = 0;
    for (std::size_t index = 10; index < calls.size(); ++index) {
        max_calls = std::max(max_calls, calls[index] - calls[index - 10]);
    }
    table.add("append calls in the busiest second of a site", static_cast<double>(max_calls), bound::at_most,
              50, "70 unbatched");
}

void measure_quiet_appends(report& table, std::uint64_t seed) {
    site nodes({.seed = seed}, today, 7, 100);
    for (int node = 1; node <= 7; ++node) {
        nodes.simulation.set_load(site::name(node), "team1", 5 * node);
    }
    nodes.simulation.run_for(10s);
    const auto calls = [&] {
        std::int64_t sum = 0;
        for (int node = 1; node <= 7; ++node) {
            sum += nodes.simulation.cost(site::name(node)).append_calls;
        }
        return sum;
    };
    const auto before = calls();
    nodes.simulation.run_for(60s);
    table.add("append calls a second with steady demand", static_cast<double>(calls() - before) / 60);
}

void measure_outage(report& table, std::uint64_t seed) {
    site nodes({.seed = seed}, today, 7, 100);
    for (int node = 1; node <= 7; ++node) {
        nodes.simulation.set_load(site::name(node), "team1", 20);
    }
    nodes.simulation.run_for(10s);
    const auto started = [&](std::chrono::microseconds span) {
        const auto before = nodes.simulation.started("team1");
        nodes.simulation.run_for(span);
        return static_cast<double>(nodes.simulation.started("team1") - before);
    };
    const auto normal = started(2min) * 5;
    nodes.simulation.log().faults().down = true;
    const auto during = started(10min);
    nodes.simulation.log().faults().down = false;
    table.add("goodput through a 10 min log outage %", during / normal * 100, bound::at_least, 99,
              "0 by log only");
    const auto after = started(2min) * 5;
    table.add("goodput after the outage %", after / normal * 100, bound::at_least, 99);
}

void measure_skew(report& table, std::uint64_t seed) {
    double worst = 100;
    double worst_static = 100;
    for (int round = 0; round < 7; ++round) {
        site nodes({.seed = seed + static_cast<std::uint64_t>(round)}, today, 7, 100);
        // All demand is at one node, then at another, then split two to one between two nodes, then among
        // three.
        const auto settle = [&](const std::vector<std::int64_t>& demand_by_node) {
            for (int node = 1; node <= 7; ++node) {
                nodes.simulation.set_load(site::name(node), "team1",
                                          demand_by_node[static_cast<std::size_t>(node - 1)]);
            }
            nodes.simulation.run_for(2s);
            const auto used = static_cast<double>(nodes.simulation.running("team1"));
            worst = std::min(worst, used);
            worst_static = std::min(worst_static, static_cast<double>(std::accumulate(
                                                      demand_by_node.begin(), demand_by_node.end(),
                                                      std::int64_t{0}, [](auto sum, auto units) {
                                                          return sum + std::min<std::int64_t>(units, 100 / 7);
                                                      })));
        };
        std::vector<std::int64_t> demand_by_node(7, 0);
        demand_by_node[static_cast<std::size_t>(round)] = 200;
        settle(demand_by_node);
        std::rotate(demand_by_node.begin(), demand_by_node.begin() + 3, demand_by_node.end());
        settle(demand_by_node);
        settle({80, 0, 40, 0, 0, 0, 0});
        settle({0, 40, 0, 40, 40, 0, 0});
    }
    table.add("share of a limit used after 2 s of steady skew %, worst", worst, bound::at_least, 95,
              fmt::format("{:.0f} static", worst_static));
}

} // namespace

int main(int argc, char** argv) {
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    report table(seed, argc > 2 ? argv[2] : "build/measure_state.jsonl");
    measure_time_in_force(table, seed, true);
    measure_time_in_force(table, seed, false);
    measure_appends(table, seed);
    measure_quiet_appends(table, seed);
    measure_outage(table, seed);
    measure_skew(table, seed);
    measure_start_and_memory(table, seed);
    measure_slope(table, seed);
    return table.all_targets_met() ? 0 : 1;
}
