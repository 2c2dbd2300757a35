#include "cli/serve.hpp"

#include "cli/command.hpp"
#include "cli/stop_signals.hpp"
#include "node/entry_node.hpp"
#include "protocol/json_log.hpp"

#include <boost/json/object.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <memory>

DEFINE_string(config, "", "settings file of the node");

namespace hornbeamrail::cli {

namespace {

/// Limit for a graceful stop: the longest request, leaving the membership, and a reserve.
constexpr std::chrono::milliseconds stop_timeout{60000};

/// Serves until SIGTERM or SIGINT, then stops gracefully. SIGHUP reloads the certificates.
/// @return `errc::timed_out` if the stop takes longer than `stop_timeout`
result<void> serve(entry_node& node, const sigset_t& signals) {
    while (true) {
        int received = 0;
        sigwait(&signals, &received);
        if (received != SIGHUP) {
            break;
        }
        error failure;
        const auto reloaded = value_or_error(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(node.reload_certificates());
                return true;
            },
            failure);
        write_log(reloaded ? severity::info : severity::error, "certificates_read",
                  {{"done", reloaded.has_value()}, {"reason", failure.message}});
    }
    node.begin_stop();
    if (!node.wait_stopped(stop_timeout)) {
        return make_error(errc::timed_out, "the graceful stop timed out",
                          "check the log for requests that do not end");
    }
    return {};
}

result<bool> run(const sigset_t& signals) {
    BOOST_LEAF_AUTO(text, read_file(FLAGS_config, 1 << 20));
    BOOST_LEAF_AUTO(settings, parse_node_settings(text));
    const auto node_id = settings.node_id;
    BOOST_LEAF_AUTO(node, entry_node::make({.settings = std::move(settings)}));
    write_log(severity::info, "serving",
              {{"node_id", node_id},
               {"caller_address", to_string(node->caller_address())},
               {"peer_address", to_string(node->peer_address())},
               {"admin_address", to_string(node->admin_address())}});
    BOOST_LEAF_CHECK(serve(*node, signals));
    return true;
}

} // namespace

int run_serve(int argc, char** argv) {
    if (!expect_arguments(argc, argv, 0, "no arguments besides --config FILE")) {
        return exit_invalid;
    }
    const auto signals = block_stop_signals();
    error failure;
    if (!value_or_error([&] { return run(signals); }, failure)) {
        return print_error(failure);
    }
    return exit_done;
}

} // namespace hornbeamrail::cli
