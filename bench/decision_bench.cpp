// Measures the cost of decisions for a fleet of today's size and of the size expected in two years, and the
// slope between the two. Prints one JSON line per measurement. Usage: decision_bench [SEED]

#include "node/dispatcher.hpp"
#include "policy/grant_plan.hpp"
#include "policy/task_placement.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

using namespace hornbeamrail;
using namespace std::chrono_literals;

namespace {

struct fleet_size {
    std::string name;
    int nodes;
    int workers;
    int teams;
    int pools;
    int team_entries_per_node; ///< (service, team) pairs with demand in each heartbeat
};

/// Core with a fixed fold and constant answers.
struct bench_core {
    std::shared_ptr<const fleet_state> published;
    hornbeamrail::fleet_demand demand;
    incarnation_id self = 0;

    std::shared_ptr<const fleet_state> state() const { return this->published; }
    bool view_is_fresh(boot_time) const { return true; }
    incarnation_id incarnation() const { return this->self; }
    log_offset epoch() const { return this->published->next_offset(); }
    std::int64_t usable_units(std::string_view) const { return 1000; }
    hornbeamrail::fleet_demand fleet_demand() const { return this->demand; }
    incarnation_id partition_owner(std::string_view) const { return this->self; }
};

std::string team_name(int team) {
    return fmt::format("team-{}", team);
}

std::string service_name(int service) {
    return fmt::format("service-{}", service);
}

bench_core make_core(const fleet_size& size, std::mt19937_64& random) {
    fleet_state fold;
    const auto add = [&](record_body body) {
        const auto id = std::to_string(fold.next_offset());
        return fold.apply(fold.next_offset(), {.change_id = id, .body = std::move(body)});
    };
    fleet_config config{
        .zones = {{.name = "a", .region = "r"}, {.name = "b", .region = "r"}, {.name = "c", .region = "r"}}};
    std::vector<std::string> names;
    for (int p = 0; p < size.pools; ++p) {
        config.pools.push_back({.name = fmt::format("pool-{}", p), .vms = size.workers / size.pools});
        config.services.push_back(
            {.name = service_name(p), .pool = config.pools.back().name, .queue_limit = 4000});
        names.push_back(service_name(p));
    }
    for (int t = 0; t < size.teams; ++t) {
        config.teams.push_back(
            {.name = team_name(t), .share = 100.0 / size.teams, .upper_limit = 10000, .services = names});
    }
    add(config_record{.config = std::make_shared<const fleet_config>(config)});
    for (int t = 0; t < size.teams; ++t) {
        add(key_grant_record{
            .key_id = std::to_string(t), .key_hash = fmt::format("hash-{}", t), .team = team_name(t)});
    }
    bench_core core;
    for (int n = 0; n < size.nodes; ++n) {
        const auto outcome = add(node_register_record{.node_id = std::to_string(n),
                                                      .peer_address = {"127.0.0.1", std::uint16_t(n + 1)},
                                                      .zone = "a",
                                                      .region = "r"});
        core.self = outcome.offset;
        node_demand node{.incarnation = outcome.offset};
        for (int e = 0; e < size.team_entries_per_node; ++e) {
            node.services.push_back({.service = service_name(int(random() % std::uint64_t(size.pools))),
                                     .team = team_name(int(random() % std::uint64_t(size.teams))),
                                     .running = 2,
                                     .queued = 3});
        }
        core.demand.nodes.push_back(std::move(node));
    }
    add(planner_claim_record{.incarnation = core.self});
    std::vector<vm_description> vms;
    for (int w = 0; w < size.workers; ++w) {
        vms.push_back({.id = fmt::format("vm-{}", w),
                       .address = {"10.0.0.1", 80},
                       .zone = std::string(1, char('a' + w % 3)),
                       .rack = fmt::format("rack-{}", w / 4),
                       .pool = fmt::format("pool-{}", w % size.pools),
                       .cores = 32,
                       .memory_mb = 65536,
                       .accelerators = w % 4 == 0 ? 8 : 0});
    }
    add(vm_add_record{.epoch = fold.planner().epoch, .vms = std::move(vms)});
    core.published = std::make_shared<const fleet_state>(fold);
    return core;
}

double seconds_since(std::chrono::steady_clock::time_point begin) {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

/// @return median in microseconds
double median(std::vector<double>& samples) {
    std::sort(samples.begin(), samples.end());
    return samples[samples.size() / 2] * 1e6;
}

/// Median costs in microseconds.
struct costs {
    double request = 0; ///< submit, the tick that starts the request, and its end
    double plan = 0;    ///< the tick that plans slots, every 250 ms
    double grants = 0;  ///< plan_grants, every 250 ms
    double task = 0;    ///< placement and release of a task in a half-full pool of all workers
};

costs measure(const fleet_size& size, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const auto core = make_core(size, random);
    dispatcher node(read_from(core), {.zone = "a", .seed = seed});
    boot_time now(1000s);
    std::vector<double> requests;
    std::vector<double> plans;
    const auto answer_leases = [&](std::vector<dispatch_action>& actions) {
        for (auto& action : actions) {
            if (auto* renew = std::get_if<renew_lease>(&action)) {
                node.on_lease(now, renew->vm, now, {.token = "t"});
            }
        }
    };
    for (int i = 0; i < 20000; ++i) {
        now += 100us;
        if (i % 2500 == 0) {
            now += 250ms;
            const auto begin = std::chrono::steady_clock::now();
            auto actions = node.tick(now);
            plans.push_back(seconds_since(begin));
            answer_leases(actions);
        }
        incoming_request request{.service = service_name(int(random() % std::uint64_t(size.pools))),
                                 .key_hash = fmt::format("hash-{}", random() % std::uint64_t(size.teams)),
                                 .request_id = "x"};
        const auto begin = std::chrono::steady_clock::now();
        const auto ticket = node.submit(now, request);
        auto actions = node.tick(now);
        if (const auto* id = std::get_if<ticket_id>(&ticket)) {
            node.on_dispatch_done(now, *id, {.end = dispatch_end::answered});
        }
        requests.push_back(seconds_since(begin));
        answer_leases(actions);
    }
    std::vector<double> grants;
    for (int i = 0; i < 20; ++i) {
        const auto begin = std::chrono::steady_clock::now();
        const auto deltas = plan_grants(core.self, *core.published, core.demand);
        grants.push_back(seconds_since(begin));
    }

    task_placement placement;
    for (const auto& [id, vm] : core.published->vms()) {
        auto description = vm.vm;
        description.pool = "all";
        placement.set_worker(description, true);
    }
    for (int i = 0; i < size.workers * 3; ++i) {
        placement.place(now, "all", {.id = fmt::format("base-{}", i), .cores = 5, .memory_mb = 9000}, random);
    }
    std::vector<double> tasks;
    for (int i = 0; i < 20000; ++i) {
        const task_spec task{.id = fmt::format("t-{}", i),
                             .cores = std::int64_t(1 + random() % 12),
                             .memory_mb = std::int64_t(1000 + random() % 20000),
                             .accelerators = std::int64_t(i % 3 == 0 ? 1 : 0)};
        const auto begin = std::chrono::steady_clock::now();
        placement.place(now, "all", task, random);
        placement.release(task.id);
        tasks.push_back(seconds_since(begin));
    }
    return {
        .request = median(requests), .plan = median(plans), .grants = median(grants), .task = median(tasks)};
}

} // namespace

int main(int argc, char** argv) {
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const fleet_size today{"today", 7, 60, 6, 5, 12};
    // A node receives heartbeats of the 7 nodes of its zone and the sums of the 9 other zones (design
    // section 4.2).
    const fleet_size later{"two_years", 16, 6900, 770, 31, 600};
    const auto small = measure(today, seed);
    const auto large = measure(later, seed);
    const double growth = double(later.workers) / today.workers;
    bool met = true;
    const auto report = [&](const char* name, double a, double b) {
        const double slope = std::log(b / a) / std::log(growth);
        const bool target_met = slope < 1;
        met = met && target_met;
        fmt::print(
            "{{\"bench\":\"{}\",\"seed\":{},\"today_us\":{:.2f},\"two_years_us\":{:.2f},\"ratio\":{:.2f},"
            "\"workers_ratio\":{:.0f},\"slope\":{:.2f},\"target\":\"slope < 1\",\"met\":{}}}\n",
            name, seed, a, b, b / a, growth, slope, target_met);
    };
    report("request_admission_and_placement", small.request, large.request);
    report("task_placement_in_one_pool", small.task, large.task);
    // The periodic plans read every heartbeat entry. Their target is the processor budget of design
    // section 1.7.
    const double entries =
        double(later.nodes * later.team_entries_per_node) / (today.nodes * today.team_entries_per_node);
    const auto report_plan = [&](const char* name, double a, double b) {
        const double core_fraction = b * 4 / 1e6;
        fmt::print(
            "{{\"bench\":\"{}\",\"seed\":{},\"today_us\":{:.2f},\"two_years_us\":{:.2f},\"ratio\":{:.2f},"
            "\"entries_ratio\":{:.0f},\"slope_over_entries\":{:.2f},\"core_part_at_4_per_s\":{:.4f}}}\n",
            name, seed, a, b, b / a, entries, std::log(b / a) / std::log(entries), core_fraction);
        return core_fraction;
    };
    const double plans = report_plan("slot_plan_every_250ms", small.plan, large.plan) +
                         report_plan("grant_plan_every_250ms", small.grants, large.grants);
    met = met && plans <= 0.035;
    fmt::print("{{\"bench\":\"both_plans\",\"seed\":{},\"core_part\":{:.4f},\"target\":\"<= 0.035 of a "
               "core\",\"met\":{}}}\n",
               seed, plans, plans <= 0.035);
    return met ? EXIT_SUCCESS : EXIT_FAILURE;
}
