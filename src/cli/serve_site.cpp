#include "cli/serve_site.hpp"

#include "cli/command.hpp"
#include "cli/stop_signals.hpp"
#include "platform/adapter.hpp"
#include "platform/codec.hpp"
#include "platform/settings.hpp"
#include "protocol/json_log.hpp"
#include "site/site_node.hpp"

#include <boost/json/object.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>

DEFINE_string(platform_settings, "",
              "settings file of the platform; if empty, the file named in the environment");

namespace hornbeamrail::cli {

namespace {

constexpr std::size_t max_settings_bytes = 1 << 20;
/// Time between the stop deadline of the node and the end of the stop grace period of the platform, in which
/// the process ends.
constexpr std::chrono::milliseconds stop_reserve{600};

using platform_node = site_node<platform::adapter, platform::codec>;

/// @return the path from --platform_settings, else from the environment
std::string settings_path() {
    const char* from_environment = std::getenv(platform::settings_variable);
    return !FLAGS_platform_settings.empty() || from_environment == nullptr ? FLAGS_platform_settings
                                                                           : from_environment;
}

result<site_node_settings> read_settings() {
    BOOST_LEAF_AUTO(text, read_file(settings_path(), max_settings_bytes));
    return platform::parse_settings(text);
}

std::string make_incarnation() {
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

/// Reads the settings again and logs whether they are valid. No change takes effect before the next start.
void reload_settings() {
    error failure;
    const auto settings = value_or_error([] { return read_settings(); }, failure);
    write_log(settings ? severity::info : severity::error, "settings_read",
              {{"done", settings.has_value()}, {"reason", failure.message}});
}

void wait_for_stop(const sigset_t& signals) {
    while (true) {
        int received = 0;
        sigwait(&signals, &received);
        if (received != SIGHUP) {
            return;
        }
        reload_settings();
    }
}

result<bool> run_site(const sigset_t& signals) {
    BOOST_LEAF_AUTO(settings, read_settings());
    const auto node_stop_timeout = settings.limits.stop_grace - stop_reserve;
    io_threads threads(1);
    BOOST_LEAF_AUTO(node,
                    platform_node::make(threads, {.settings = settings, .incarnation = make_incarnation()}));
    write_log(severity::info, "serving",
              {{"node", settings.node_id},
               {"zone", settings.zone},
               {"caller_address", to_string(settings.caller_address)},
               {"log_address", to_string(settings.log_address)}});
    wait_for_stop(signals);
    write_log(severity::info, "stopping", {{"node", settings.node_id}});
    node->begin_stop();
    const bool stopped = node->wait_stopped(node_stop_timeout);
    write_log(stopped ? severity::info : severity::warning, "stopped", {{"clean", stopped}});
    threads.stop();
    return true;
}

} // namespace

int run_serve_site(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 0, "no arguments besides --platform_settings FILE")) {
        return exit_invalid;
    }
    const auto signals = block_stop_signals();
    log_to_standard_output();
    error failure;
    if (!value_or_error([&] { return run_site(signals); }, failure)) {
        return print_error(failure);
    }
    return exit_done;
}

} // namespace hornbeamrail::cli
