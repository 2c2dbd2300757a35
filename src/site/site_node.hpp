#pragma once

#include "policy/account_limit.hpp"
#include "protocol/durations.hpp"
#include "protocol/json_log.hpp"
#include "scheduler/scheduler.hpp"
#include "scheduler/scheduler_lease.hpp"
#include "site/log_tail.hpp"
#include "site/operator_view.hpp"
#include "site/site_node_options.hpp"
#include "site/submission_queue.hpp"
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

/// An entry node on a platform: accepts callers' jobs, follows the log, and is the scheduler while it holds
/// the scheduler lease.
///
/// One mutex guards all state except the sockets. Calls and answers are sent after it is released, because
/// either may reenter the node immediately. Thread-safe.
/// @tparam Port sends the calls to the platform and its workers
/// @tparam Codec translates the documents of callers and operators
template <class Port, class Codec>
class site_node : public std::enable_shared_from_this<site_node<Port, Codec>> {
public:
    /// Binds the addresses and starts the node.
    /// @param threads runs the node; must outlive it
    /// @return the running node, or `errc::io_failed` when an address cannot be used
    static result<std::shared_ptr<site_node>> make(io_threads& threads, site_node_options options);

    /// Begins a graceful stop: the node reports itself not ready, releases the scheduler lease and finishes
    /// the requests in progress.
    void begin_stop();

    /// Waits for the end of the graceful stop.
    /// @return whether it ended within @p timeout
    bool wait_stopped(std::chrono::milliseconds timeout);

    /// @return state of the node for operators
    [[nodiscard]] boost::json::value dump() const;

private:
    using clock = boot_clock;
    using outbox = std::vector<std::function<void()>>;

    site_node(io_threads& threads, site_node_options node_options);
    result<void> listen();
    void start_timer();

    // Cycles: each ticks the tails, the lease, the scheduler and the submissions, then sends their calls.
    // Cycles take at most a part of the time, so that answers are handled however long one takes.
    /// @param forced runs the cycle even if the next one is not due
    void run_cycle(bool forced);
    /// Sets when the next cycle is due, after one that began at @p begin.
    void pace_cycles(boot_time begin);
    /// Handles the timer of cycles. Its delay shows how far the node is behind.
    void on_timer();
    void tick_tails(boot_time now, outbox& out);
    void tick_lease(boot_time now, outbox& out);
    void tick_term(boot_time now);
    void tick_scheduler(boot_time now, outbox& out);
    void tick_submissions(boot_time now, outbox& out);
    void flush(outbox& out);

    // The log.
    void read_tail(log_tail& tail, boot_time now, outbox& out);
    template <class Answer>
    void on_read_answer(log_tail& tail, const tail_ticket& ticket, const Answer& answer);
    /// Applies one record of the log.
    void deliver(const log_tail& tail, const keyed_record& record, boot_time now);
    void on_tail_loaded(log_tail& tail, boot_time now);

    // The scheduler's term: fence earlier schedulers, load jobs and progress, load job states, then schedule.
    enum class term_phase { inactive, fencing, loading, loading_states, running };
    void begin_term(boot_time now);
    void end_term();
    /// @return whether the term is being loaded and nothing has been loaded for too long
    [[nodiscard]] bool is_load_stalled(boot_time now) const;
    void append_fence(log_topic topic, outbox& out);
    void append_as_scheduler(append_call call, std::int64_t sequence, outbox& out);
    void send_append(append_call call, std::int64_t sequence);
    void on_scheduler_append(const append_call& call, std::int64_t sequence, boot_time sent_at,
                             const append_answer& answer);
    void execute(scheduler_action& action, outbox& out);
    void execute_order(scheduler_action& action, outbox& out);
    void read_vms(boot_time requested_at, std::string page, std::shared_ptr<std::vector<vm_entry>> vms);

    // Requests of callers.
    void on_caller(http_request request, http_reply reply);
    /// @param is_deferred set when the answer is sent later; the returned one is then empty
    http_response handle_call(const typename Codec::call& call, const queue_config& queue,
                              const std::string& id, const http_request& request, const http_reply& reply,
                              bool& is_deferred, boot_time now);
    /// Stores a record of a job and answers the caller when the log has answered or the deadline has passed.
    /// @param on_stored called under the mutex when the record was stored
    void store(const std::string& job, keyed_record record, const typename Codec::call& call,
               const http_reply& reply, int success_status, std::function<void()> on_stored);
    [[nodiscard]] std::size_t submissions_waiting() const;
    [[nodiscard]] bool is_ready(boot_time now) const;
    [[nodiscard]] bool keys_are_fresh(boot_time now) const;
    [[nodiscard]] bool jobs_are_fresh(boot_time now) const;

    // Metrics.
    void count_answer(std::string_view call, int status);
    void count_order(std::string_view kind, std::string_view outcome);
    void update_gauges();

    /// Calls @p function with the current time under the mutex, then runs a cycle if one is due.
    template <class Function>
    void with_lock(Function function) {
        {
            const std::lock_guard lock(this->mutex);
            function(clock::now());
        }
        this->run_cycle(false);
    }

    io_threads& threads;
    site_node_options options;
    Port port;
    mutable std::mutex mutex; ///< guards all members below; no other lock is taken while it is held
    scheduler_lease lease;
    scheduler schedule;
    job_index index;
    operator_view operators;
    /// One per partition of the jobs topic. A job and its cancellation go to the partition of its id, so that
    /// a request that is repeated at another node replaces the first record.
    std::vector<submission_queue> submissions;
    std::deque<log_tail> tails; ///< not resized after construction: pointers and references stay valid
    log_tail* operators_tail = nullptr;
    log_tail* leader_tail = nullptr;
    log_tail* states_tail = nullptr;
    log_tail* workers_tail = nullptr;
    log_tail* progress_tail = nullptr;
    std::vector<log_tail*> job_tails;
    term_phase phase = term_phase::inactive;
    std::int32_t pending_fences = 0; ///< fence appends of this term that are not confirmed
    /// When a part of the term was loaded last, the term began, or the leader topic was out of reach.
    boot_time load_progress_at{};
    boot_time lease_paused_until{}; ///< this node neither claims nor renews the scheduler lease before
    std::vector<keyed_record> loaded_progress;
    std::set<std::string> listed_workers; ///< workers in the topic since its latest reload
    bool appending = false;
    boot_time next_cycle{};
    boot_time last_timer{};
    std::chrono::milliseconds loop_delay{0}; ///< by how much the timer was late, on average over some runs
    std::chrono::milliseconds reported_loop_delay{0};
    /// When the latest request was sent whose answer showed that this node is the scheduler: a fenced append,
    /// or a read of the leader topic.
    boot_time term_confirmed{};
    std::optional<boot_time> log_lost_since; ///< first failed read since the latest successful one
    bool stopping = false;
    boot_time stop_begun{};
    bool was_ready = false;
    outbox replies; ///< answers and calls to send once the mutex is released
    counter_registry counters;
    latency_histogram& store_latency;
    latency_histogram& start_latency;
    latency_histogram& commit_latency;
    std::unique_ptr<http_server> caller_server;
    std::unique_ptr<http_server> ready_server;
    std::unique_ptr<http_server> admin_server;
};

} // namespace hornbeamrail

#include "site/site_node_impl.hpp"

#include "site/site_node_callers.hpp"
#include "site/site_node_log.hpp"
#include "site/site_node_scheduler.hpp"
