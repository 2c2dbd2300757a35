#include "fakes/site_workload.hpp"

#include "fakes/seeded_generator.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace hornbeamrail {

namespace {

/// Shares of the teams in percent. Two of the six teams hold most of the fleet (65%).
constexpr std::array<double, 6> team_shares{38, 27, 12, 10, 8, 5};

std::int64_t slots_of(const fleet_config& config, const service_config& service) {
    return config.find_pool(service.pool)->vms * service.slots_per_executor;
}

const team_config& pick_team(const fleet_config& config, std::string_view service,
                             const workload_options& options, seeded_generator& generator) {
    const auto weight = [&](const team_config& team) {
        const double factor = team.name == options.greedy_team ? options.greedy_factor : 1;
        return config.team_may_use(team, service) ? team.share * factor : 0;
    };
    double sum = 0;
    for (const team_config& team : config.teams) {
        sum += weight(team);
    }
    double point = generator.unit() * sum;
    for (const team_config& team : config.teams) {
        point -= weight(team);
        if (point <= 0 && weight(team) > 0) {
            return team;
        }
    }
    return config.teams.front();
}

std::chrono::microseconds pick_run_time(std::chrono::microseconds mean, seeded_generator& generator) {
    // One run in twenty takes five times as long as the others. The mean of `tail` is 1.2; the division keeps
    // the mean run time at `mean`.
    const double tail = generator.chance(0.05) ? 5 : 1;
    const double factor = (0.5 + generator.unit()) * tail / 1.2;
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor));
}

void add_service_arrivals(const fleet_config& config, std::size_t index, const workload_options& options,
                          seeded_generator& generator, std::vector<site_arrival>& arrivals) {
    const service_config& service = config.services[index];
    const double full_rate =
        static_cast<double>(slots_of(config, service)) * 1e6 / static_cast<double>(options.mean_run.count());
    const double mean_rate = options.burst_load * full_rate / options.burst_factor;
    double at_seconds = 0;
    while (true) {
        const auto turn =
            static_cast<std::size_t>(at_seconds * 1e6 / static_cast<double>(options.rotation.count()));
        const bool bursting = turn % config.services.size() == index;
        const double rate = mean_rate * (bursting ? options.burst_factor : options.off_burst_factor);
        // A gap that passes the end of a turn ends there. A long gap between bursts would otherwise delay the
        // next burst.
        const double gap = -std::log(1 - generator.unit()) / rate;
        const double turn_end =
            static_cast<double>(turn + 1) * static_cast<double>(options.rotation.count()) / 1e6;
        at_seconds += gap;
        if (at_seconds > turn_end) {
            at_seconds = turn_end;
            if (at_seconds * 1e6 >= static_cast<double>(options.length.count())) {
                return;
            }
            continue;
        }
        if (at_seconds * 1e6 >= static_cast<double>(options.length.count())) {
            return;
        }
        const team_config& team = pick_team(config, service.name, options, generator);
        arrivals.push_back({.at = std::chrono::microseconds(static_cast<std::int64_t>(at_seconds * 1e6)),
                            .service = service.name,
                            .team = team.name,
                            .run_time = pick_run_time(options.mean_run, generator),
                            .deadline = options.deadline,
                            .idempotent = !generator.chance(options.non_idempotent_fraction),
                            .urgent = generator.chance(options.urgent_fraction),
                            .resubmit = generator.chance(options.resubmit_fraction)});
    }
}

} // namespace

fleet_config make_site_config(const site_shape& shape) {
    fleet_config config{.site = shape.site};
    for (const std::string name : {"z1", "z2", "z3"}) {
        config.zones.push_back({.name = name, .region = "r1"});
    }
    std::vector<std::string> names;
    for (std::size_t i = 0; i < shape.pool_vms.size(); ++i) {
        const std::int64_t vms = shape.pool_vms[i];
        names.push_back(fmt::format("service{}", i + 1));
        const std::string pool = fmt::format("pool{}", i + 1);
        config.pools.push_back({.name = pool, .vms = vms, .min_vms = std::max<std::int64_t>(1, vms / 2)});
        config.services.push_back(
            {.name = names.back(),
             .pool = pool,
             .availability = {.window = shape.budget_window, .max_failed_part = shape.max_failed_part},
             .longest_run = shape.longest_run});
    }
    config.pools.push_back({.name = "spare", .vms = shape.spare_vms, .spare = true});
    const std::int64_t slots =
        8 * std::accumulate(shape.pool_vms.begin(), shape.pool_vms.end(), std::int64_t{0});
    for (std::size_t i = 0; i < team_shares.size(); ++i) {
        const double fraction = shape.limit_fraction * std::sqrt(team_shares[i] / team_shares[0]);
        config.teams.push_back(
            {.name = fmt::format("team{}", i + 1),
             .share = team_shares[i],
             .upper_limit = static_cast<std::int64_t>(static_cast<double>(slots) * fraction),
             .services = names});
    }
    // The first service is open; requests without a key run under the team with the smallest share.
    config.services.front().open = true;
    config.services.front().open_team = config.teams.back().name;
    return config;
}

std::vector<site_arrival> make_arrivals(const fleet_config& config, const workload_options& options) {
    seeded_generator generator(options.seed);
    std::vector<site_arrival> arrivals;
    for (std::size_t i = 0; i < config.services.size(); ++i) {
        add_service_arrivals(config, i, options, generator, arrivals);
    }
    std::ranges::stable_sort(arrivals, {}, &site_arrival::at);
    return arrivals;
}

} // namespace hornbeamrail
