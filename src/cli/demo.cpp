#include "cli/demo.hpp"

#include "cli/change.hpp"
#include "cli/command.hpp"
#include "cli/demo_load.hpp"
#include "fakes/platform_server.hpp"
#include "node/entry_node.hpp"
#include "protocol/digest.hpp"
#include "protocol/json_log.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <thread>

DEFINE_int32(seconds, 20, "duration of the load in seconds");
DEFINE_uint64(seed, 1, "seed of the callers, the nodes and the simulated platform");

namespace hornbeamrail::cli {

namespace {

constexpr int min_seconds = 4;
constexpr int node_count = 3;
constexpr std::chrono::seconds start_timeout{30};
constexpr std::chrono::milliseconds change_timeout{10000};
constexpr std::chrono::seconds stop_timeout{40};

/// A phase and its fraction of the duration of the load.
struct phase_plan {
    std::string_view name;
    double fraction;
};
constexpr std::array<phase_plan, 5> plan{{{"steady load", 0.2},
                                          {"zone out", 0.25},
                                          {"zone back", 0.15},
                                          {"key revoked", 0.2},
                                          {"node stopped", 0.2}}};

/// A small version of the Lakeshore deployment: three services and three teams, one with a low upper limit.
fleet_config demo_fleet() {
    const auto pool = [](std::string name) {
        return pool_config{.name = std::move(name), .vms = 6, .min_vms = 3};
    };
    const std::vector<std::string> services{"deck-catalog", "proof-render", "reorder"};
    return {.site = "demo",
            .zones = {{.name = "zone-a", .region = "demo"},
                      {.name = "zone-b", .region = "demo"},
                      {.name = "zone-c", .region = "demo"}},
            .pools = {pool("catalog-vms"),
                      pool("proof-vms"),
                      pool("reorder-vms"),
                      {.name = "spare-vms", .vms = 3, .spare = true}},
            .services = {{.name = services[0], .pool = "catalog-vms"},
                         {.name = services[1], .pool = "proof-vms", .depends_on = {services[0]}},
                         {.name = services[2], .pool = "reorder-vms", .depends_on = {services[0]}}},
            .teams = {{.name = "harbor-games", .share = 50, .upper_limit = 60, .services = services},
                      {.name = "broker-alliance", .share = 30, .upper_limit = 40, .services = services},
                      {.name = "counter-sales", .share = 10, .upper_limit = 6, .services = services}}};
}

constexpr std::array<int, 3> sessions_per_team{40, 20, 20};

/// The simulated platform, the nodes and the callers of one run.
class demo_site {
public:
    demo_site() : threads(4), fleet(std::make_shared<const fleet_config>(demo_fleet())) {}

    ~demo_site() {
        this->nodes.clear();
        this->threads.stop();
    }
    demo_site(const demo_site&) = delete;
    demo_site& operator=(const demo_site&) = delete;

    result<void> start() {
        BOOST_LEAF_ASSIGN(this->platform,
                          platform_server::make(this->threads,
                                                {.seed = FLAGS_seed,
                                                 .fleet = this->fleet,
                                                 .vm_list = {.reboot_time = std::chrono::seconds(3)},
                                                 .on_run = [this](const vm_description& vm, boot_time started,
                                                                  boot_time ends, const std::string& body) {
                                                     this->load->on_run(vm, started, ends, body);
                                                 }}));
        BOOST_LEAF_CHECK(this->start_nodes());
        BOOST_LEAF_CHECK(this->configure());
        return this->wait_until_serving();
    }

    result<demo_record> run() {
        demo_record record{.phases = {}, .requests = {}, .starts = {}, .zone = "zone-b"};
        record.revoked_team = this->fleet->teams[1].name;
        for (const auto& team : this->fleet->teams) {
            record.upper_limits[team.name] = team.upper_limit;
        }
        this->load_options.seed = FLAGS_seed;
        this->load_options.epoch = this->nodes.front()->status().at("epoch").to_number<std::int64_t>();
        this->load = std::make_shared<demo_load>(this->threads, std::move(this->load_options));
        this->load->start();
        for (std::size_t phase = 0; phase < plan.size(); ++phase) {
            const auto begin = boot_clock::now();
            const auto length = std::chrono::duration_cast<std::chrono::microseconds>(
                std::chrono::duration<double>(plan[phase].fraction * FLAGS_seconds));
            this->load->set_phase(phase);
            BOOST_LEAF_CHECK(this->begin_phase(phase, record));
            const auto end = std::max(begin + length, boot_clock::now());
            std::this_thread::sleep_for(end - boot_clock::now());
            record.phases.push_back({std::string(plan[phase].name), begin, boot_clock::now()});
        }
        const bool all_ended = this->load->finish(stop_timeout);
        this->load->take_records(record);
        if (!all_ended) {
            return make_error(errc::timed_out, "some callers are still waiting for answers",
                              "report this as a defect");
        }
        return record;
    }

private:
    result<void> start_nodes() {
        std::vector<endpoint> peers;
        std::vector<endpoint> admins;
        for (int index = 0; index < node_count; ++index) {
            node_settings settings{.node_id = fmt::format("entry-{}", index + 1),
                                   .zone = this->fleet->zones[static_cast<std::size_t>(index)].name,
                                   .region = "demo",
                                   .caller_address = {"127.0.0.1", 0},
                                   .peer_address = {"127.0.0.1", 0},
                                   .admin_address = {"127.0.0.1", 0},
                                   .platform = this->platform->address(),
                                   .peer_seeds = peers};
            BOOST_LEAF_AUTO(node, entry_node::make({.settings = std::move(settings),
                                                    .seed = FLAGS_seed * node_count + index + 1}));
            peers.push_back(node->peer_address());
            admins.push_back(node->admin_address());
            this->load_options.nodes.push_back(node->caller_address());
            this->nodes.push_back(std::move(node));
        }
        for (std::size_t team = 0; team < this->fleet->teams.size(); ++team) {
            this->load_options.teams.push_back({.name = this->fleet->teams[team].name,
                                                .key = random_hex(32),
                                                .services = this->fleet->teams[team].services,
                                                .sessions = sessions_per_team[team]});
        }
        this->operators = std::make_unique<admin_client>(std::move(admins), change_timeout);
        return {};
    }

    /// Publishes the fleet configuration and grants a key to each team, as operators do.
    result<void> configure() {
        BOOST_LEAF_CHECK(this->wait_for([this] { return this->healthy_nodes() > 0; }, "no node is healthy"));
        BOOST_LEAF_CHECK(this->change(config_record{.expected_version = 0, .config = this->fleet}));
        for (const auto& team : this->load_options.teams) {
            BOOST_LEAF_CHECK(this->change(key_grant_record{
                .key_id = "key-" + team.name, .key_hash = sha256_hex(team.key), .team = team.name}));
        }
        return {};
    }

    result<void> wait_until_serving() {
        const auto all_pools_serving = [this] {
            const auto status = this->nodes.front()->status();
            const auto& pools = status.at("pools").as_array();
            return !pools.empty() && std::all_of(pools.begin(), pools.end(), [](const auto& pool) {
                return pool.at("serving").template to_number<std::int64_t>() > 0;
            });
        };
        BOOST_LEAF_CHECK(this->wait_for(all_pools_serving, "a pool has no serving VM"));
        return this->wait_for([this] { return this->healthy_nodes() == node_count; },
                              "a node is not healthy");
    }

    result<void> begin_phase(std::size_t phase, demo_record& record) {
        switch (phase) {
        case 1:
            BOOST_LEAF_CHECK(this->change(zone_out_record{.zone = record.zone}));
            record.zone_out_accepted = boot_clock::now();
            break;
        case 2:
            record.zone_in_sent = boot_clock::now();
            BOOST_LEAF_CHECK(this->change(zone_in_record{.zone = record.zone}));
            break;
        case 3:
            BOOST_LEAF_CHECK(this->change(key_revoke_record{.key_id = "key-" + record.revoked_team}));
            record.revoke_accepted = boot_clock::now();
            break;
        case 4:
            this->stop_node(record);
            break;
        default:
            break;
        }
        return {};
    }

    void stop_node(demo_record& record) {
        const auto begin = boot_clock::now();
        this->nodes.back()->begin_stop();
        if (this->nodes.back()->wait_stopped(stop_timeout)) {
            record.node_stop =
                std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - begin);
        }
        this->nodes.pop_back();
    }

    result<void> change(const record_body& body) {
        BOOST_LEAF_AUTO(report, send_change(*this->operators, random_uuid(), body));
        if (report.outcome != change_result::accepted) {
            return make_error(
                errc::rejected,
                fmt::format("a change was not accepted: {} {}", to_string(report.outcome), report.reason),
                "report this as a defect");
        }
        return {};
    }

    [[nodiscard]] int healthy_nodes() const {
        return static_cast<int>(std::count_if(this->nodes.begin(), this->nodes.end(),
                                              [](const auto& node) { return node->healthy(); }));
    }

    template <class Condition>
    result<void> wait_for(Condition condition, const std::string& failure) {
        const auto deadline = boot_clock::now() + start_timeout;
        while (!condition()) {
            if (boot_clock::now() > deadline) {
                return make_error(errc::timed_out, failure, "report this as a defect");
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return {};
    }

    io_threads threads;
    std::shared_ptr<const fleet_config> fleet;
    demo_load_options load_options;
    std::shared_ptr<demo_load> load;
    std::unique_ptr<platform_server> platform;
    std::vector<std::unique_ptr<entry_node>> nodes;
    std::unique_ptr<admin_client> operators;
};

} // namespace

int run_demo(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 0, "no arguments")) {
        return exit_invalid;
    }
    if (FLAGS_seconds < min_seconds) {
        return print_error({errc::invalid_argument, "--seconds is too short for the five phases of the demo",
                            fmt::format("use at least {} seconds", min_seconds)});
    }
    // Only errors are logged, because the log lines of the nodes would obscure the report.
    set_log_threshold(severity::error);
    demo_site site;
    error failure;
    const auto record = value_or_error(
        [&]() -> result<demo_record> {
            BOOST_LEAF_CHECK(site.start());
            return site.run();
        },
        failure);
    if (!record) {
        print_error(failure);
        return exit_refused;
    }
    const auto verdict = check_guarantees(*record);
    if (wants_json()) {
        auto report = report_json(*record, verdict);
        report["seed"] = FLAGS_seed;
        print_json(report);
    } else {
        fmt::print("{}", report_text(*record, verdict));
    }
    return verdict.passed() ? exit_done : exit_refused;
}

} // namespace hornbeamrail::cli
