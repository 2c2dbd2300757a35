#pragma once

#include "coordination/scheduler.hpp"
#include "coordination/scheduler_lease.hpp"
#include "node/log_tail.hpp"
#include "node/operator_view.hpp"
#include "node/site_node_options.hpp"
#include "node/submission_queue.hpp"
#include "protocol/json_log.hpp"
#include "state/counters.hpp"
#include "state/job_index.hpp"
#include "transport/http_server.hpp"
#include "transport/io_threads.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace hornbeamrail {

/// An entry node on a platform: takes callers' jobs, follows the log, and is the scheduler while it holds the
/// lease. `Port` carries the calls to the platform, `Codec` translates the documents of callers and
/// operators.
///
/// One mutex guards everything but the sockets. Calls and answers are sent after it is released, as both may
/// come back at once.
template <class Port, class Codec>
class site_node : public std::enable_shared_from_this<site_node<Port, Codec>> {
public:
    /// Binds the addresses and starts the node.
    /// @param threads runs the node; must outlive it
    /// @return the running node, or `errc::io_failed` when an address cannot be used
    static result<std::shared_ptr<site_node>> make(io_threads& threads, site_node_options options);

    /// Begins a graceful stop: the health check turns red, the lease is given up, requests in progress are
    /// finished.
    void begin_stop();

    /// Waits for the end of the graceful stop.
    /// @return whether it ended within @p cap
    bool wait_stopped(std::chrono::milliseconds cap);

    /// @return state of the node for operators
    [[nodiscard]] boost::json::value dump() const;

private:
    using clock = boot_clock;
    using outbox = std::vector<std::function<void()>>;

    site_node(io_threads& threads, site_node_options settings);
    result<void> listen();
    void start_timer();

    // Rounds of decisions.
    void pump(bool forced);
    void tick_tails(boot_time now, outbox& out);
    void tick_lease(boot_time now, outbox& out);
    void tick_term(boot_time now);
    void tick_scheduler(boot_time now, outbox& out);
    void tick_submissions(boot_time now, outbox& out);
    void run(outbox& out);

    // The log.
    void read_tail(log_tail& tail, boot_time now, outbox& out);
    template <class Answer>
    void finish_read(log_tail& tail, std::uint64_t epoch, const Answer& answer);
    void deliver(const log_tail& tail, const keyed_record& record, boot_time now);
    void after_read(log_tail& tail, boot_time now);

    // The scheduler's term.
    enum class term_phase { none, fencing, loading, loading_states, running };
    void begin_term(boot_time now);
    void end_term();
    void append_fence(log_topic topic, outbox& out);
    void append_scheduled(append_call call, std::int64_t sequence, outbox& out);
    void send_append(append_call call, std::int64_t sequence);
    void on_scheduled(const append_call& call, std::int64_t sequence, const append_answer& answer);
    void carry_out(scheduler_action& action, outbox& out);
    void carry_out_order(scheduler_action& action, outbox& out);
    void read_vms(boot_time asked_at, std::string page, std::shared_ptr<std::vector<vm_entry>> vms);

    // Callers.
    void on_caller(http_request request, http_reply reply);
    http_response answer_now(const typename Codec::call& call, const queue_config& queue,
                             const std::string& id, const http_request& request, const http_reply& reply,
                             bool& later, boot_time now);
    void store(keyed_record record, const typename Codec::call& call, const http_reply& reply,
               int done_status, std::function<void()> stored);
    [[nodiscard]] bool is_ready(boot_time now) const;
    [[nodiscard]] bool keys_are_fresh(boot_time now) const;
    [[nodiscard]] bool jobs_are_fresh(boot_time now) const;

    // Counters.
    void count_answer(std::string_view call, int status);
    void count_order(std::string_view kind, std::string_view outcome);
    void count_levels();

    template <class Function>
    void locked(Function function) {
        {
            const std::lock_guard lock(this->mutex);
            function(clock::now());
        }
        this->pump(false);
    }

    io_threads& threads;
    site_node_options options;
    Port port;
    mutable std::mutex mutex; ///< guards all below; no other lock is taken while it is held
    scheduler_lease lease;
    scheduler schedule;
    job_index index;
    operator_view operators;
    submission_queue submissions;
    std::deque<log_tail> tails; ///< fixed after construction, so references stay valid
    log_tail* operators_tail = nullptr;
    log_tail* leader_tail = nullptr;
    log_tail* states_tail = nullptr;
    log_tail* workers_tail = nullptr;
    log_tail* progress_tail = nullptr;
    std::vector<log_tail*> job_tails;
    term_phase phase = term_phase::none;
    std::int32_t fences_left = 0;
    std::vector<keyed_record> loaded_progress;
    std::set<std::string> listed_workers; ///< seen since the workers tail began
    bool appending = false;
    boot_time last_pump{};
    boot_time last_log_contact{};
    std::optional<boot_time> log_lost_since; ///< first read that failed since the latest good one
    bool stopping = false;
    bool was_ready = false;
    outbox replies; ///< answers made under the lock
    counter_registry counters;
    latency_histogram& store_latency;
    latency_histogram& start_latency;
    latency_histogram& commit_latency;
    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<http_server> ready_server;
    std::unique_ptr<http_server> admin_server;
};

} // namespace hornbeamrail

#include "node/site_node_impl.hpp"

#include "node/site_node_callers.hpp"
#include "node/site_node_log.hpp"
#include "node/site_node_scheduler.hpp"
