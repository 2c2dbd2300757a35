#pragma once

#include <csignal>

namespace hornbeamrail::cli {

/// Blocks the signals that stop the process or reload its settings, so that only `sigwait` receives them.
/// Call it before any thread starts: threads inherit the mask.
/// @return the blocked signals
inline sigset_t block_stop_signals() {
    sigset_t signals{};
    sigemptyset(&signals);
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, number);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

} // namespace hornbeamrail::cli
