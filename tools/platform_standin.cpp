// Runs the simulated platform as a separate process: log, VM list, VM operations and executors.

#include "cli/command.hpp"
#include "fakes/platform_server.hpp"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>

DEFINE_string(address, "127.0.0.1:8400", "address and port of the platform interface");
DEFINE_int32(executors_per_pool, 0, "number of executors per pool; 0: the number in the fleet configuration");
DEFINE_string(fleet, "config/lakeshore.json", "fleet configuration with the pools and zones");
DEFINE_bool(publish, false, "publish the fleet configuration in the log at startup");
DEFINE_string(key, "", "with --publish: also grant this key to the first team");
DEFINE_int32(run_ms, 2, "run time in milliseconds of a request whose body does not start with run_ms=N;");
DEFINE_int32(threads, 2, "worker threads");
DEFINE_uint64(seed, 1, "seed of the injected faults");

using namespace hornbeamrail;

namespace {

result<void> run() {
    BOOST_LEAF_AUTO(text, cli::read_file(FLAGS_fleet, max_fleet_config_bytes));
    BOOST_LEAF_AUTO(parsed, parse_fleet_config(text));
    const auto fleet = std::make_shared<const fleet_config>(std::move(parsed));
    const auto address = parse_endpoint(FLAGS_address);
    if (!address) {
        return make_error(errc::invalid_argument, "--address is not an IP address and port",
                          "write it as 127.0.0.1:8400");
    }
    io_threads threads(FLAGS_threads);
    BOOST_LEAF_AUTO(platform,
                    platform_server::make(threads, {.address = *address,
                                                    .seed = FLAGS_seed,
                                                    .fleet = fleet,
                                                    .executors_per_pool = FLAGS_executors_per_pool,
                                                    .run_time = std::chrono::milliseconds(FLAGS_run_ms)}));
    if (FLAGS_publish) {
        platform->publish_fleet(*fleet, FLAGS_key);
    }
    fmt::print("platform stand-in on {} with {} executors\n", to_string(platform->address()),
               platform->vms().size());
    std::fflush(stdout);
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
    threads.stop();
    return {};
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("runs a simulated platform on loopback ports");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    // Signals are blocked before the worker threads start, so that only sigwait receives them.
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    error failure;
    const auto done = value_or_error(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(run());
            return true;
        },
        failure);
    if (!done) {
        return cli::print_error(failure);
    }
    return 0;
}
