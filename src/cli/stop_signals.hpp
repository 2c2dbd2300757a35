#pragma once

#include <csignal>

namespace hornbeamrail::cli {

/// Blocks the signals that end a process or make it read its settings again, so that only `sigwait` receives
/// them. Call before any thread starts.
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
