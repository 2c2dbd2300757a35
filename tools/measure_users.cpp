#include "fakes/fake_executor.hpp"
#include "fakes/site_simulation.hpp"
#include "fakes/static_site.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <numeric>
#include <string>
#include <vector>

DEFINE_int64(seed, 1, "seed of the workload and of the run");
DEFINE_string(json, "build/measure_users.jsonl", "output file for the figures as JSON lines");
DEFINE_string(known_red, "KNOWN-RED.txt", "file that lists targets that may be missed");
DEFINE_string(svg, "build/users.svg",
              "output file for the plot of the work completed while a zone leaves and returns");

namespace {

namespace hr = hornbeamrail;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds length{60};
constexpr seconds rotation{6};
constexpr seconds zone_out_at{12};
constexpr seconds zone_out_length{24};

double in_seconds(microseconds value) {
    return static_cast<double>(value.count()) / 1e6;
}

/// Workload of one deployment.
struct deployment {
    std::string name;
    microseconds client_delay;
    microseconds mean_run;
    milliseconds deadline;
};

hr::site_options options_of(const deployment& user) {
    hr::site_options options{.seed = static_cast<std::uint64_t>(FLAGS_seed)};
    options.shape.site = user.name;
    options.shape.pool_vms = {12, 11, 10, 9, 8};
    options.shape.spare_vms = 6;
    options.shape.longest_run = user.deadline;
    options.client_delay = user.client_delay;
    options.timings.longest_run = user.deadline;
    options.workload.length = length;
    options.workload.rotation = rotation;
    options.workload.mean_run = user.mean_run;
    options.workload.deadline = user.deadline;
    // Each VM is maintained once in four weeks, which is less than one maintenance in this minute.
    options.wall_start = std::chrono::sys_seconds{};
    for (int i = 0; i < 11; ++i) {
        options.faults.push_back({.kind = hr::fault_kind::operator_race,
                                  .at = milliseconds(2000 + 5000 * i),
                                  .choice = static_cast<std::uint64_t>(1000 + 37 * i)});
    }
    return options;
}

/// One run of a request, in the system or in a baseline.
struct request_run {
    std::string service;
    std::string team;
    double from = 0; ///< seconds since the start of the load
    double until = 0;
    bool done = false;
};

std::vector<request_run> runs_of(const std::vector<hr::site_arrival>& arrivals,
                                 const std::vector<hr::static_outcome>& outcomes) {
    std::vector<request_run> all;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        all.push_back({arrivals[i].service, arrivals[i].team, in_seconds(outcomes[i].started),
                       in_seconds(outcomes[i].ended), outcomes[i].done});
    }
    return all;
}

std::vector<request_run> runs_of(const hr::site_result& run, const hr::site_options& options) {
    std::map<std::int64_t, request_run> by_run;
    const hr::boot_time start = hr::site_world::start + options.warm_up;
    for (const hr::history_event& event : run.history) {
        if (event.kind == hr::event_kind::run_start) {
            // Request ids end in the number of the arrival.
            const auto number =
                static_cast<std::size_t>(std::stoul(event.request.substr(event.request.rfind('r') + 1)));
            by_run[event.run] = {event.service, run.arrivals[number].team, in_seconds(event.at - start)};
        } else if (event.kind == hr::event_kind::run_end) {
            by_run[event.run].until = in_seconds(event.at - start);
            by_run[event.run].done = event.text == "completed";
        }
    }
    std::vector<request_run> all;
    for (auto& [id, item] : by_run) {
        all.push_back(std::move(item));
    }
    return all;
}

/// @return slot-seconds of completed work in the interval from @p from to @p until, in seconds
double work_within(const std::vector<request_run>& all, double from, double until) {
    double sum = 0;
    for (const request_run& item : all) {
        if (item.done) {
            sum += std::max(0.0, std::min(item.until, until) - std::max(item.from, from));
        }
    }
    return sum;
}

/// Weighted max-min fair allocation: no team receives more than its demand, and the rest is divided among the
/// other teams by share.
/// @param demand by team, in the unit of @p capacity
/// @return allocation by team
std::map<std::string, double> fair_allocation(const hr::fleet_config& config,
                                              std::map<std::string, double> demand, double capacity) {
    std::map<std::string, double> allocation;
    while (!demand.empty() && capacity > 1e-9) {
        double weights = 0;
        for (const auto& [team, team_demand] : demand) {
            weights += config.find_team(team)->share;
        }
        std::vector<std::string> satisfied;
        for (const auto& [team, team_demand] : demand) {
            if (team_demand <= capacity * config.find_team(team)->share / weights) {
                satisfied.push_back(team);
            }
        }
        if (satisfied.empty()) {
            for (const auto& [team, team_demand] : demand) {
                allocation[team] = capacity * config.find_team(team)->share / weights;
            }
            return allocation;
        }
        for (const std::string& team : satisfied) {
            allocation[team] = demand[team];
            capacity -= demand[team];
            demand.erase(team);
        }
    }
    return allocation;
}

/// @return mean over all bursts of the fraction of the work of the pool that teams received beyond their fair
///     allocation; the first two seconds of each burst are not counted
double distance_from_share(const hr::fleet_config& config, const std::vector<hr::site_arrival>& arrivals,
                           const std::vector<request_run>& all) {
    double sum = 0;
    int bursts = 0;
    for (int burst = 0; burst < length / rotation; ++burst) {
        const std::string& service =
            config.services[static_cast<std::size_t>(burst) % config.services.size()].name;
        const double from = burst * in_seconds(rotation) + 2;
        const double until = (burst + 1) * in_seconds(rotation);
        std::map<std::string, double> received;
        std::map<std::string, double> requested;
        double total = 0;
        for (const request_run& item : all) {
            const double overlap = std::max(0.0, std::min(item.until, until) - std::max(item.from, from));
            if (item.service == service) {
                received[item.team] += overlap;
                total += overlap;
            }
        }
        for (const hr::site_arrival& arrival : arrivals) {
            const double at = in_seconds(arrival.at);
            if (arrival.service == service && at >= from - 2 && at < until) {
                requested[arrival.team] +=
                    in_seconds(arrival.run_time) * (until - from) / in_seconds(rotation);
            }
        }
        const auto fair = fair_allocation(config, requested, total);
        double distance = 0;
        for (const auto& [team, fair_work] : fair) {
            distance += std::abs(received[team] - fair_work) / 2;
        }
        sum += total > 0 ? distance / total : 0;
        ++bursts;
    }
    return sum / bursts;
}

struct wait_summary {
    double completed = 0; ///< fraction of the offered requests
    double p99 = 0;       ///< seconds from arrival to start of completed requests
};

wait_summary summarize(std::vector<double> waits, std::size_t offered) {
    if (waits.empty()) {
        return {};
    }
    std::ranges::sort(waits);
    return {static_cast<double>(waits.size()) / static_cast<double>(offered), waits[waits.size() * 99 / 100]};
}

using arrival_filter = std::function<bool(const hr::site_arrival&)>;

wait_summary waits_of(const hr::site_result& run, const deployment& user,
                      const arrival_filter& is_excluded = {}) {
    std::vector<double> waits;
    for (std::size_t i = 0; i < run.outcomes.size(); ++i) {
        if (run.outcomes[i].done && !(is_excluded && is_excluded(run.arrivals[i]))) {
            const microseconds wait = run.outcomes[i].latency - run.arrivals[i].run_time - user.client_delay;
            waits.push_back(std::max(0.0, in_seconds(wait)));
        }
    }
    return summarize(std::move(waits), run.arrivals.size());
}

wait_summary waits_of(const std::vector<hr::site_arrival>& arrivals,
                      const std::vector<hr::static_outcome>& outcomes,
                      const arrival_filter& is_excluded = {}) {
    std::vector<double> waits;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        if (outcomes[i].done && !(is_excluded && is_excluded(arrivals[i]))) {
            waits.push_back(in_seconds(outcomes[i].started - arrivals[i].at));
        }
    }
    return summarize(std::move(waits), arrivals.size());
}

double idle_vm_seconds(const hr::site_result& run) {
    double sum = 0;
    for (const auto& [pool, idle] : run.figures.idle_slot_seconds) {
        sum += idle / 8; // each VM has 8 slots
    }
    return sum;
}

struct sized_baseline {
    double scale = 0;
    double idle_vm_seconds = 0;
    wait_summary waits;
};

/// Finds the smallest static pools that complete as much as the system with no longer waits.
sized_baseline size_baseline(const hr::fleet_config& config, const std::vector<hr::site_arrival>& arrivals,
                             const wait_summary& limits) {
    std::int64_t slots = 0;
    for (const hr::service_config& service : config.services) {
        slots += config.find_pool(service.pool)->vms * service.slots_per_executor;
    }
    sized_baseline found;
    for (double scale = 0.5; scale < 4; scale += 0.05) {
        const auto outcomes = run_static_site(config, arrivals, {.scale = scale});
        const double busy = work_within(runs_of(arrivals, outcomes), 0, in_seconds(length));
        found = {scale, (static_cast<double>(slots) * scale * in_seconds(length) - busy) / 8,
                 waits_of(arrivals, outcomes)};
        if (found.waits.completed >= limits.completed && found.waits.p99 <= limits.p99) {
            break;
        }
    }
    return found;
}

/// @return for each change, the seconds until the last node has read it if each node polls every 5 s
std::vector<double> polled_roll_out(std::size_t changes, int nodes) {
    hr::seeded_generator generator(static_cast<std::uint64_t>(FLAGS_seed));
    std::vector<double> times;
    for (std::size_t i = 0; i < changes; ++i) {
        double longest = 0;
        for (int node = 0; node < nodes; ++node) {
            longest = std::max(longest, 5 * generator.unit());
        }
        times.push_back(longest);
    }
    return times;
}

/// @return number of VM moves of a planner that follows each burst immediately and moves back afterwards
std::int64_t naive_moves(const hr::fleet_config& config, double burst_load) {
    std::int64_t moves = 0;
    for (int burst = 0; burst < length / rotation; ++burst) {
        const auto& service = config.services[static_cast<std::size_t>(burst) % config.services.size()];
        const auto vms = static_cast<double>(config.find_pool(service.pool)->vms);
        moves += 2 * static_cast<std::int64_t>(std::ceil(vms * (burst_load - 1)));
    }
    return moves;
}

/// One row of the report.
struct row {
    std::string key; ///< stable name, used in KNOWN-RED.txt
    std::string measure;
    double ours = 0;
    double baseline = 0;
    std::string target;
    bool met = true;
};

/// @return whether KNOWN-RED.txt lists the target as missed
bool is_known_red(const std::string& name) {
    std::ifstream file(FLAGS_known_red);
    const std::string entry = "measure: users/" + name;
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(entry, 0) == 0 && (line.size() == entry.size() || line[entry.size()] == ' ')) {
            return true;
        }
    }
    return false;
}

/// Prints one row and writes its JSON line.
/// @return whether the target is met or its miss is listed in KNOWN-RED.txt
bool print(const std::string& user, const row& line, std::ofstream& json) {
    const std::string name = user + "_" + line.key;
    const bool known = !line.met && is_known_red(name);
    const std::string verdict = line.target == "-" ? ""
                                : line.met         ? "met"
                                : known            ? "NOT MET (known red)"
                                                   : "NOT MET";
    fmt::print("{:<11} {:<48} {:>10.3f} {:>10.3f} {:>8.3f}  {:<28} {}\n", user, line.measure, line.ours,
               line.baseline, line.baseline == 0 ? 0 : line.ours / line.baseline, line.target, verdict);
    json << fmt::format(
        "{{\"measure\":\"users\",\"seed\":{},\"name\":\"{}\",\"ours\":{:.4f},\"baseline\":{:.4f},"
        "\"target\":\"{}\",\"met\":{}}}\n",
        FLAGS_seed, name, line.ours, line.baseline, line.target, line.met);
    return line.met || known;
}

double mean(const std::vector<double>& values) {
    return values.empty()
               ? 0
               : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

struct zone_curves {
    std::vector<double> ours;
    std::vector<double> ideal;
    std::vector<double> baseline;
};

std::vector<double> per_second(const std::vector<request_run>& all) {
    std::vector<double> curve;
    for (int second = 0; second < length.count(); ++second) {
        curve.push_back(work_within(all, second, second + 1));
    }
    return curve;
}

zone_curves measure_zone(const deployment& user, std::vector<row>& rows) {
    hr::site_options options = options_of(user);
    options.faults = {{.kind = hr::fault_kind::zone_drill, .at = zone_out_at, .length = zone_out_length}};
    const hr::site_result run = hr::run_site(options);
    const hr::boot_time start = hr::site_world::start + options.warm_up;
    const hr::fleet_config config = hr::make_site_config(options.shape);
    const auto ours = runs_of(run, options);
    const auto ideal =
        runs_of(run.arrivals, run_ideal_site(run.arrivals, slots_in_service(run.history, start)));
    const auto fixed = runs_of(run.arrivals, run_static_site(config, run.arrivals, {},
                                                             {zone_out_at, zone_out_at + zone_out_length}));
    const double from = in_seconds(zone_out_at);
    const double until = from + in_seconds(zone_out_length) + 10;
    const double done = work_within(ours, from, until);
    const double allowed = work_within(ideal, from, until);
    rows.push_back({"zone_work", "work through zone out and in, part of allowed", done / allowed,
                    work_within(fixed, from, until) / allowed, ">= 0.98", done / allowed >= 0.98});
    return {per_second(ours), per_second(ideal), per_second(fixed)};
}

void measure_steady(const deployment& user, std::vector<row>& rows) {
    const hr::site_options options = options_of(user);
    const hr::site_result run = hr::run_site(options);
    const hr::fleet_config config = hr::make_site_config(options.shape);
    const auto fixed = run_static_site(config, run.arrivals, {});
    const wait_summary ours = waits_of(run, user);
    const wait_summary same_size = waits_of(run.arrivals, fixed);
    const sized_baseline sized = size_baseline(config, run.arrivals, ours);
    rows.push_back(
        {"completed", "requests completed, part of offered", ours.completed, same_size.completed, "-"});
    rows.push_back({"p99_wait", "p99 wait of completed requests (s)", ours.p99, same_size.p99, "-"});
    const double idle = idle_vm_seconds(run);
    rows.push_back({"buffer_cost", fmt::format("buffer cost (idle VM s), static x{:.2f}", sized.scale), idle,
                    sized.idle_vm_seconds, "< 0.5 of static, p99 <=", idle < 0.5 * sized.idle_vm_seconds});
    std::vector<double> roll_out;
    for (const microseconds time : run.figures.roll_out) {
        roll_out.push_back(in_seconds(time));
    }
    const auto polled = polled_roll_out(roll_out.size(), options.nodes);
    const double longest = roll_out.empty() ? 0 : *std::ranges::max_element(roll_out);
    rows.push_back({"roll_out_mean", "roll-out time, mean (s)", mean(roll_out), mean(polled), "-"});
    rows.push_back({"roll_out_longest", "roll-out time, longest (s)", longest,
                    *std::ranges::max_element(polled), "<= 5", longest <= 5});
    rows.push_back({"vm_moves", "VM moves and maintenance reboots", static_cast<double>(run.figures.vm_moves),
                    static_cast<double>(naive_moves(config, options.workload.burst_load)), "-"});
    for (const hr::violation& violation : hr::check_history(run.history)) {
        fmt::print("{}", describe(violation, run.history));
    }
}

/// Measures fairness while one of the large accounts requests three times its share.
void measure_share(const deployment& user, std::vector<row>& rows) {
    hr::site_options options = options_of(user);
    options.workload.greedy_team = "team2";
    const hr::site_result run = hr::run_site(options);
    const hr::fleet_config config = hr::make_site_config(options.shape);
    const auto fixed = run_static_site(config, run.arrivals, {});
    const double distance = distance_from_share(config, run.arrivals, runs_of(run, options));
    rows.push_back({"share_distance", "distance from share when full", distance,
                    distance_from_share(config, run.arrivals, runs_of(run.arrivals, fixed)), "< 0.05",
                    distance < 0.05});
    const auto is_greedy = [](const hr::site_arrival& arrival) {
        return arrival.team == "team2";
    };
    rows.push_back({"p99_wait_within_share", "p99 wait of the teams within their share (s)",
                    waits_of(run, user, is_greedy).p99, waits_of(run.arrivals, fixed, is_greedy).p99, "-"});
}

void write_svg(const std::vector<std::pair<std::string, zone_curves>>& plots) {
    constexpr int width = 720;
    constexpr int height = 260;
    std::string svg =
        fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"{}\" "
                    "font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" "
                    "fill=\"white\"/>\n",
                    width, height * static_cast<int>(plots.size()));
    int top = 0;
    for (const auto& [name, curves] : plots) {
        const double highest = std::max(1.0, *std::ranges::max_element(curves.ideal));
        const auto x = [&](double second) {
            return 50 + second * (width - 70) / static_cast<double>(length.count());
        };
        const auto y = [&](double value) {
            return top + height - 30 - value / highest * (height - 70);
        };
        svg += fmt::format(
            "<text x=\"50\" y=\"{}\">{}: slot-seconds of completed work per second, zone out in grey"
            "</text>\n",
            top + 18, name);
        svg += fmt::format("<rect x=\"{:.1f}\" y=\"{}\" width=\"{:.1f}\" height=\"{}\" fill=\"#eeeeee\"/>\n",
                           x(in_seconds(zone_out_at)), top + 30, x(in_seconds(zone_out_length)) - x(0),
                           height - 60);
        const std::array<std::tuple<const std::vector<double>*, const char*, const char*>, 3> lines{
            std::tuple{&curves.ideal, "#999999", "allowed by capacity"},
            std::tuple{&curves.baseline, "#cc7722", "static baseline"},
            std::tuple{&curves.ours, "#1f5fa8", "hornbeamrail"}};
        int legend = 0;
        for (const auto& [curve, colour, label] : lines) {
            std::string points;
            for (std::size_t second = 0; second < curve->size(); ++second) {
                points +=
                    fmt::format("{:.1f},{:.1f} ", x(static_cast<double>(second) + 0.5), y((*curve)[second]));
            }
            svg += fmt::format("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\" points=\"{}\"/>\n",
                               colour, points);
            svg += fmt::format("<text x=\"{}\" y=\"{}\" fill=\"{}\">{}</text>\n", 50 + 160 * legend++,
                               top + height - 8, colour, label);
        }
        svg += fmt::format("<text x=\"4\" y=\"{:.0f}\">{:.0f}</text><text x=\"4\" y=\"{:.0f}\">0</text>\n",
                           y(highest), highest, y(0));
        top += height;
    }
    std::ofstream(FLAGS_svg) << svg << "</svg>\n";
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("measures the workloads of both deployments against static baselines");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::array users{deployment{"lakeshore", milliseconds(3), milliseconds(400), milliseconds(8000)},
                           deployment{"commission", milliseconds(1), milliseconds(200), milliseconds(4000)}};
    fmt::print("{:<11} {:<48} {:>10} {:>10} {:>8}  {:<28}\n", "user", "measure", "ours", "baseline", "ratio",
               "target");
    std::vector<std::pair<std::string, zone_curves>> plots;
    std::ofstream json(FLAGS_json);
    bool all_met = true;
    for (const deployment& user : users) {
        std::vector<row> rows;
        measure_steady(user, rows);
        measure_share(user, rows);
        plots.emplace_back(user.name, measure_zone(user, rows));
        for (const row& line : rows) {
            all_met = print(user.name, line, json) && all_met;
        }
    }
    write_svg(plots);
    fmt::print("seed {}; figures: {}; plot: {}\n", FLAGS_seed, FLAGS_json, FLAGS_svg);
    return all_met ? 0 : 1;
}
