#pragma once

#include "coordination/node_core.hpp"
#include "hornbeamrail/node_settings.hpp"
#include "node/dispatcher.hpp"
#include "node/platform_client.hpp"
#include "node/task_manager.hpp"
#include "node/worker_client.hpp"
#include "state/counters.hpp"
#include "state/published.hpp"
#include "transport/http_client_pool.hpp"
#include "transport/http_server.hpp"
#include "transport/io_threads.hpp"
#include "transport/peer_client.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <type_traits>
#include <unordered_map>
#include <vector>

namespace hornbeamrail {

/// Runs the sans-I/O parts of a node (core, dispatcher, task manager): passes inputs to them under their
/// locks and carries out their actions over sockets. Thread-safe.
///
/// Locks: `core_mutex`, then `dispatcher_mutex`, then `pending_mutex`. No lock is held across I/O.
class node_runtime : public std::enable_shared_from_this<node_runtime> {
public:
    /// @param workers runs the sockets and timers; must be stopped before the runtime is destroyed
    /// @param identity TLS identity for calls to peers; may be null
    node_runtime(io_threads& workers, core_options core_settings,
                 const dispatcher_options& dispatcher_settings, const endpoint& platform_address,
                 std::shared_ptr<tls_settings> identity);

    /// Starts the timers that tick the core, the dispatcher and the task manager.
    void start();

    /// Submits a request of a caller. The answer is sent through @p reply, now or later.
    void submit(const incoming_request& request, std::string body, const http_reply& reply);

    /// Handles a call from another entry node.
    wire::PeerResponse answer_peer(const wire::PeerRequest& request);

    /// Runs @p input(core, now) under the core's lock, then carries out the actions of the core.
    /// @return the result of @p input
    template <class Input>
    auto with_core(Input&& input) {
        return this->run_core([&](boot_time now) { return input(this->core, now); });
    }

    /// Runs @p input(dispatcher, now) under both locks, then carries out the actions of the dispatcher.
    template <class Input>
    void with_dispatcher(Input&& input) {
        std::vector<dispatch_action> actions;
        {
            const std::lock_guard core_lock(this->core_mutex);
            const std::lock_guard lock(this->dispatcher_mutex);
            const auto now = boot_clock::now();
            input(this->dispatch, now);
            actions = this->dispatch.tick(now);
        }
        this->carry_out(std::move(actions));
    }

    /// Runs @p input(task manager, now) under both locks, then carries out the actions of the task manager.
    template <class Input>
    void with_tasks(Input&& input) {
        std::vector<task_action> actions;
        {
            const std::lock_guard core_lock(this->core_mutex);
            const std::lock_guard lock(this->dispatcher_mutex);
            const auto now = boot_clock::now();
            input(this->tasks, now);
            actions = this->tasks.tick(now);
        }
        for (auto& action : actions) {
            std::visit([this](auto& typed_action) { this->carry_out(typed_action); }, action);
        }
    }

    /// Runs @p query(core, dispatcher, now) under both locks.
    template <class Query>
    auto read(Query&& query) const {
        const std::lock_guard core_lock(this->core_mutex);
        const std::lock_guard lock(this->dispatcher_mutex);
        return query(std::as_const(this->core), std::as_const(this->dispatch), boot_clock::now());
    }

    /// @return the state of the task manager, for `dump`
    [[nodiscard]] boost::json::value dump_tasks() const {
        const std::lock_guard lock(this->dispatcher_mutex);
        return this->tasks.dump();
    }

    /// @return the newest fold; takes no lock of the core
    [[nodiscard]] std::shared_ptr<const fleet_state> state() const { return this->published_state.load(); }

    /// @return whether the node may start work, as of the last tick of the core
    [[nodiscard]] bool is_serving() const { return this->published_serving.load(); }

    /// @return the epoch for new request ids, as of the last tick of the core
    [[nodiscard]] log_offset epoch() const { return this->published_epoch.load(); }

    /// @return the incarnation, or 0 while the node is not registered, as of the last tick of the core
    [[nodiscard]] incarnation_id incarnation() const { return this->published_incarnation.load(); }

    /// Refuses new requests and starts no new task.
    void begin_stop();
    /// Leaves the fleet. Called when only tasks are running; they are handed over to other nodes.
    void begin_leave();
    [[nodiscard]] bool stopping() const { return this->stop_begun.load(); }

    /// Adds the headers that every answer to a caller has.
    void add_common_headers(http_response& response, const std::string& request_id) const;

    counter_registry counters;

private:
    /// A request without an answer yet. The dispatcher keeps the rest of its state under its ticket.
    struct pending_request {
        std::shared_ptr<const std::string> body;
        std::string request_id;
        http_reply reply;
        boot_time arrived{};
        bool in_flight = false;
        bool was_sent = false; ///< bytes of at least one dispatch were written
        bool caller_gone = false;
    };

    template <class Input>
    auto run_core(Input&& input) {
        std::unique_lock lock(this->core_mutex);
        const auto now = boot_clock::now();
        if constexpr (std::is_void_v<decltype(input(now))>) {
            input(now);
            this->tick_core(now);
            this->sync_tasks(now);
            lock.unlock();
            this->drain_outbox();
        } else {
            auto answer = input(now);
            this->tick_core(now);
            this->sync_tasks(now);
            lock.unlock();
            this->drain_outbox();
            return answer;
        }
    }

    void tick_core(boot_time now);
    void sync_tasks(boot_time now);
    void report_demand();
    void drain_outbox();

    void carry_out(append_records action);
    void carry_out(const read_log& action);
    void carry_out(const fetch_vm_list& action);
    void carry_out(const send_peer_request& action);
    void carry_out(const vm_call& action);

    void carry_out(std::vector<dispatch_action> actions);
    void carry_out(const ask_claim& action);
    void carry_out(const resolve_claim& action);
    void carry_out(dispatch_request action);
    void carry_out(const renew_lease& action);
    void carry_out(const refuse_ticket& action);

    void carry_out(const append_task_record& action);
    void carry_out(const reserve_worker& action);
    void carry_out(const command_worker& action);
    void carry_out(const read_usage& action);

    /// Calls the owner of a claim partition, which may be this node.
    void call_claim_owner(incarnation_id owner, const wire::PeerRequest& request,
                          std::function<void(std::optional<wire::PeerResponse>)> done);
    void on_run_answer(const dispatch_request& action, boot_time sent_at, http_call_result result);
    void on_caller_gone(ticket_id ticket);
    void count_refusal(const refusal& answer);
    std::optional<pending_request> take_pending(ticket_id ticket);
    void answer(boot_time now, pending_request& request, http_response response);

    io_threads& threads;
    std::string node_id;
    node_core core;
    dispatcher dispatch;
    task_manager tasks;
    platform_client platform;
    http_client_pool executors;
    worker_client task_workers;
    peer_client peers;

    mutable std::mutex core_mutex;       ///< guards `core`, `outbox`, `draining`, `tasks_synced`
    mutable std::mutex dispatcher_mutex; ///< guards `dispatch` and `tasks`
    mutable std::mutex pending_mutex;    ///< guards `pending` and `in_flight`
    std::deque<core_action> outbox;      ///< actions of the core, in the order in which it returned them
    bool draining = false;
    /// The last state passed to `tasks`; guarded by `core_mutex`.
    std::shared_ptr<const fleet_state> tasks_synced;
    std::unordered_map<ticket_id, pending_request> pending;
    std::size_t in_flight = 0; ///< entries of `pending` that are at an executor

    published<const fleet_state> published_state;
    std::atomic<log_offset> published_epoch{0};
    std::atomic<incarnation_id> published_incarnation{0};
    std::atomic<bool> published_serving{false};
    std::atomic<bool> stop_begun{false};
    std::atomic<bool> leaving{false};
    latency_histogram& request_latency;
    counter& answered_ok;
};

} // namespace hornbeamrail
