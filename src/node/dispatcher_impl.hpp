#pragma once

#include "node/dispatcher.hpp"
#include "node/executor_table.hpp"
#include "node/refusals.hpp"
#include "node/unit_ledger.hpp"
#include "policy/access_index.hpp"
#include "policy/admission.hpp"
#include "policy/availability_budget.hpp"
#include "policy/drain_rate.hpp"
#include "policy/request_queue.hpp"
#include "policy/retry_budget.hpp"
#include "policy/slot_plan.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace hornbeamrail {

/// Run time estimate of a service before its first answer.
inline constexpr std::chrono::microseconds initial_run_time_estimate{20000};

enum class ticket_phase { claiming, queued, waiting_retry, dispatched };

std::string_view to_string(ticket_phase phase);

/// State of one accepted request.
struct ticket_entry {
    ticket_id id = 0;
    incoming_request request;
    std::string team;
    boot_time arrived{};
    boot_time deadline{};
    ticket_phase phase = ticket_phase::queued;
    int dispatches = 0;
    bool caller_gone = false;  ///< or already answered
    bool may_have_run = false; ///< some dispatch may have run

    // Claim (non-idempotent requests only)
    bool claimed = false;
    int claim_requests = 0;
    std::int64_t claim_attempt = 0; ///< distinguishes claims of the same id by this node
    incarnation_id claimant = 0;
    incarnation_id owner = 0;

    // Dispatch
    executor_table::reserved_slot executor;
    boot_time started{};
    std::chrono::microseconds expected_run{};
    std::chrono::milliseconds remaining{};

    // Retry
    boot_time retry_at{};

    [[nodiscard]] run_outcome outcome() const {
        return this->may_have_run ? run_outcome::unknown : run_outcome::not_run;
    }
};

/// Load of one team on one service.
struct team_load {
    drain_rate drain;
    double shed_fraction = 0; ///< fraction of arriving requests to refuse while a dependency is short
};

/// Queue, plan, budgets and counters of one service at this node.
struct service_entry {
    const service_config* config = nullptr;
    request_queue queue;
    retry_budget retries;
    availability_budget availability;
    run_time_estimate run_time;
    std::map<std::string, team_load, std::less<>> teams;
    slot_plan plan;
    std::int64_t running = 0;  ///< dispatched by this node
    std::int64_t deferred = 0; ///< tickets that wait for a claim or a retry; counted against the queue limit
    std::int64_t started = 0;
    std::int64_t retried = 0;

    [[nodiscard]] std::chrono::microseconds expected_run() const {
        return this->run_time.mean().value_or(initial_run_time_estimate);
    }

    /// @return the time that must be left when a request with this deadline starts. Most runs take less. Work
    ///         that is cut off at its deadline wastes its slot and, if its end is uncertain, holds its unit
    ///         longer. At most half of the deadline, or callers with short deadlines would never be served.
    [[nodiscard]] std::chrono::microseconds required_run_time(std::chrono::microseconds deadline) const {
        return std::min(this->run_time.high().value_or(std::chrono::microseconds(0)), deadline / 2);
    }
};

struct dispatch_counters {
    std::int64_t submitted = 0;
    std::int64_t dispatched = 0;
    std::int64_t retried = 0;
    std::int64_t answered = 0;
    std::int64_t callers_gone = 0;
    std::int64_t busy = 0;
    std::int64_t lease_lapsed = 0;
    std::int64_t not_sent = 0;
    std::int64_t no_answer = 0;
    std::int64_t timed_out = 0;
    std::int64_t failed_answers = 0;
};

/// State of the dispatcher. Only the `dispatcher*.cpp` files use it.
struct dispatcher::impl {
    impl(core_reader reader, dispatcher_options dispatcher_options)
        : core(std::move(reader)), options(std::move(dispatcher_options)), random(this->options.seed),
          executors({.zone = this->options.zone,
                     .seed = this->options.seed,
                     .lease_interval = this->options.lease_interval}),
          correlation_prefix(fmt::format("{:016x}", this->random())) {}

    // Inputs
    submit_result submit(boot_time now, const incoming_request& request);
    std::vector<dispatch_action> tick(boot_time now);
    void on_claim_answer(boot_time now, ticket_id id, const wire::ClaimAnswer& answer);
    void on_claim_failed(boot_time now, ticket_id id);
    bool on_dispatch_done(boot_time now, ticket_id id, dispatch_end end);
    void on_caller_gone(boot_time now, ticket_id id);

    // Fleet state and plans
    void update_state(boot_time now);
    void apply_config();
    void plan(boot_time now);
    void plan_dependencies(const std::map<std::string, std::vector<request_queue::team_summary>>& teams);
    /// @return the fraction of the demand on a dependency that exceeds its slots; 0 unless it is short
    [[nodiscard]] double missing_fraction(const service_entry& dependency) const;
    void shed_dependents(const std::string& name, bool sheds_all, double missing,
                         const std::map<std::string, std::vector<request_queue::team_summary>>& teams);
    bool may_start_work(boot_time now) {
        return this->state != nullptr && this->core.incarnation() != 0 && this->core.view_is_fresh(now);
    }

    // Admission
    std::optional<refusal> check_request(boot_time now, const incoming_request& request);
    std::optional<refusal> check_arrival(boot_time now, const incoming_request& request,
                                         service_entry& service, const team_config& team);
    void set_slot_share(service_entry& service, const team_config& team);
    submit_result accept(boot_time now, const incoming_request& request, service_entry& service,
                         const std::string& team);
    bool enqueue(boot_time now, ticket_entry& ticket);

    // Claims
    void request_claim(ticket_entry& ticket);
    void on_claim_granted(boot_time now, ticket_entry& ticket);
    void on_claim_refused(boot_time now, ticket_entry& ticket, wire::ClaimStatus::type answer);
    void resolve(ticket_entry& ticket, wire::ClaimResolution::type resolution);

    // Starts
    void start_queued(boot_time now, service_entry& service);
    bool start(boot_time now, service_entry& service, ticket_entry& ticket);
    void count_dispatch(service_entry& service, ticket_entry& ticket);
    std::optional<refusal> check_before_start(ticket_entry& ticket);
    void expire(boot_time now);
    void requeue_due_retries(boot_time now);
    void on_units_released(std::string_view team);
    void backlog_changed(boot_time now, service_entry& service, std::string_view team);

    // Ends
    void end_dispatch(boot_time now, ticket_entry& ticket, dispatch_end end);
    void release_unit(const ticket_entry& ticket, dispatch_end end);
    bool on_answered(boot_time now, ticket_entry& ticket);
    void requeue(boot_time now, ticket_entry& ticket);
    void retry_within_budget_or_refuse(boot_time now, ticket_entry& ticket, std::string message);
    bool schedule_retry(boot_time now, ticket_entry& ticket);

    // Refusals
    void refuse(boot_time now, ticket_entry& ticket, refusal answer);
    void record_refusal(boot_time now, const incoming_request& request, std::string_view team,
                        const refusal& answer);
    void leave_phase(boot_time now, ticket_entry& ticket);
    void erase(ticket_id id);
    service_entry* service_of(const ticket_entry& ticket) {
        return &this->services.at(ticket.request.service);
    }

    // Reporting
    [[nodiscard]] std::vector<service_demand> demand(boot_time now) const;
    [[nodiscard]] boost::json::value dump(boot_time now) const;
    [[nodiscard]] boost::json::array dump_services(boot_time now) const;
    [[nodiscard]] boost::json::object dump_units() const;
    [[nodiscard]] boost::json::object dump_tickets() const;

    core_reader core;
    dispatcher_options options;
    std::mt19937_64 random;
    std::shared_ptr<const fleet_state> state;
    std::shared_ptr<const fleet_config> config;
    access_index access; ///< of `config`
    executor_table executors;
    unit_ledger units;
    unit_ledger task_units; ///< those of `units` that tasks hold
    std::map<std::string, service_entry, std::less<>> services;
    std::unordered_map<ticket_id, ticket_entry> tickets;
    std::set<std::pair<boot_time, ticket_id>> deadlines; ///< of tickets that are not dispatched
    std::set<std::pair<boot_time, ticket_id>> retries;
    std::vector<dispatch_action> actions;
    refusal_log refusals;
    dispatch_counters count;
    std::string correlation_prefix;
    ticket_id next_ticket = 1;
    std::int64_t claims_requested = 0;
    boot_time next_plan{};
    bool stopping = false;
};

} // namespace hornbeamrail
