#pragma once

#include "cli/demo_report.hpp"
#include "fakes/seeded_generator.hpp"
#include "hornbeamrail/node_settings.hpp"
#include "transport/http_client_pool.hpp"
#include "transport/io_threads.hpp"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hornbeamrail::cli {

/// Callers of one team.
struct demo_team {
    std::string name;
    std::string key;
    std::vector<std::string> services;
    int sessions = 0; ///< each sends its next request once the previous one is answered
};

/// Size and timing of the load.
struct demo_load_options {
    std::vector<endpoint> nodes; ///< caller addresses
    std::vector<demo_team> teams;
    std::uint64_t seed = 1;
    std::int64_t longest_run_ms = 25;
    std::chrono::milliseconds longest_pause{160}; ///< between two requests of a session
    double non_idempotent_fraction = 0.3;
    std::int64_t epoch = 0; ///< for the first request ids; later ones use the epoch from the responses
};

/// Sends requests to the nodes and records the results from the callers' point of view. Like the load
/// balancer of the platform, it stops sending to a node that refuses connections or reports that it is
/// stopping. Thread-safe.
class demo_load : public std::enable_shared_from_this<demo_load> {
public:
    /// @param threads run the callers; must outlive this object
    demo_load(io_threads& threads, demo_load_options options);

    /// Starts all sessions.
    void start();

    /// Assigns all requests sent from now on to @p phase.
    void set_phase(std::size_t phase) { this->current_phase.store(phase); }

    /// Ends the sessions and blocks until their last requests are answered.
    /// @return whether all sessions ended within @p timeout
    bool finish(std::chrono::milliseconds timeout);

    /// Records the start of a request on an executor; a callback for `platform_server_options::on_run`.
    void on_run(const vm_description& vm, boot_time started, boot_time ends, const std::string& body);

    /// Moves the recorded requests and starts into @p record. Call it after `finish()`.
    void take_records(demo_record& record);

private:
    struct session {
        std::size_t team = 0;
        seeded_generator generator{1};
    };

    void send_next(std::size_t index);
    void send(std::size_t index, demo_request request, std::string service, std::string body);
    void on_answer(std::size_t index, demo_request request, std::size_t node, const std::string& body,
                   const http_call_result& result);
    std::size_t choose_node(session& caller);
    void read_answer(demo_request& request, std::size_t node, const std::string& body,
                     const http_response& response);

    io_threads& threads;
    demo_load_options options;
    http_client_pool client_pool;
    std::vector<session> sessions; ///< each is used by one handler at a time
    /// By node. An excluded node receives no requests while another node is not excluded.
    std::vector<std::atomic<bool>> excluded_nodes;
    std::atomic<std::size_t> current_phase{0};
    std::atomic<std::int64_t> epoch{0};
    std::atomic<std::int64_t> issued_requests{0};
    std::atomic<int> active_sessions{0};
    std::atomic<bool> stopping{false};
    std::mutex mutex; ///< guards `requests` and `starts`
    std::vector<demo_request> requests;
    std::vector<demo_start> starts;
};

} // namespace hornbeamrail::cli
