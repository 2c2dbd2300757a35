#pragma once

#include "protocol/platform.hpp"

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamrail {

/// Kind of a recorded event, with the fields of `history_event` that it uses.
enum class event_kind {
    /// service, pool, max_failed_fraction, duration (budget window), open, team (open queues)
    service_defined,
    team_defined,     ///< team, units (upper limit), names (services)
    invoke,           ///< request, attempt, node, service, key, idempotent, duration (deadline), body
    answer,           ///< request, attempt, node, status, text (error), outcome, body, complete
    connection_lost,  ///< request, attempt, node, text: "killed", "stopped" (planned), "cancelled",
                      ///< "refused" (no node accepted the connection) or "timeout"
    run_start,        ///< run, request, attempt, node, service, vm, zone, units
    run_end,          ///< run, text: "completed", "failed", "deadline", "crashed" or "stopped" (planned)
    change_submitted, ///< change_id, text (record kind) and its subject: key, team, zone, vm, units
    change_accepted,  ///< as change_submitted, with version (log offset)
    change_rejected,  ///< change_id
    node_view,        ///< node (process), version (configuration in force), fresh, body (digest of the
                      ///< configuration)
    node_end,         ///< node (process), text: "killed", "stopped"
    stop_begin,       ///< node (process) or vm: a planned stop begins
    stop_end,         ///< node (process) or vm
    pool_view,        ///< node (process), version (fold offset), body ("vm=pool" pairs separated by spaces)
    vm_in_pool,       ///< vm, pool, zone, units (slots): the VM belongs to this pool from now on
    vm_ended,         ///< vm: it accepts no work from now on
    vm_leaving,       ///< vm: it reports that it accepts no new work
    vm_returned,      ///< vm: it accepts work again
    lease_granted,    ///< node (process), vm, duration (time to live)
};

/// @return the name of the enumerator
std::string_view to_string(event_kind kind) noexcept;

/// One event of a history. Fields that the kind does not use keep their defaults.
struct history_event {
    boot_time at{};
    event_kind kind = event_kind::invoke;
    std::string node;
    std::string request;
    std::int64_t attempt = 0;
    std::string service;
    std::string team;
    std::string key;
    std::string vm;
    std::string zone;
    std::string pool;
    std::string change_id;
    std::string text;
    std::string outcome;
    std::string body;
    std::vector<std::string> names;
    std::int64_t run = 0;
    std::int64_t units = 0;
    std::int64_t version = 0;
    std::int64_t status = 0;
    double max_failed_fraction = 0;
    std::chrono::microseconds duration{};
    bool idempotent = true;
    bool open = false;
    bool fresh = false;
    bool complete = true;
};

/// @return the event on one line with the fields that are set; long texts are truncated
std::string to_string(const history_event& event);

/// Collects the events of a run. Thread-safe. Events keep the order of the calls of `record`, so the caller
/// has to record an effect before the effect is visible elsewhere.
class history_recorder {
public:
    /// Appends an event.
    void record(history_event event);
    /// @return a copy of the events so far
    [[nodiscard]] std::vector<history_event> events() const;

private:
    mutable std::mutex mutex;
    std::vector<history_event> entries;
};

} // namespace hornbeamrail
