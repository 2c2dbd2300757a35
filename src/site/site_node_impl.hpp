#pragma once

// Members of site_node: construction, cycles, graceful stop, metrics. Included only by site_node.hpp.

namespace hornbeamrail {

namespace site_node_detail {

inline constexpr std::string_view scheduler_producer = "scheduler";
inline constexpr std::chrono::milliseconds operators_wait{
    700}; ///< how long reads of the operators topic wait for a record

inline unix_time wall_clock_now() {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

inline http_response json_answer(int status, std::string body) {
    http_response response{.status = status, .body = std::move(body)};
    response.headers.add("Content-Type", "application/json");
    return response;
}

/// @return a 503 answer with `Retry-After`: the request has not run and will not run
inline http_response retry_later(std::string_view error, std::string_view message) {
    auto response = make_error_response(503, error, message, "repeat the request at another node", "not_run");
    response.headers.add("Retry-After", "1");
    return response;
}

/// @return the answer to a request whose record the log does not accept
inline http_response too_large() {
    return make_error_response(413, "too_large", "the job does not fit into one record of the log",
                               "divide the job into several jobs", "not_run");
}

/// @return the answer to a job with a gang that its account may never run
inline http_response beyond_upper_limit(const std::string& account) {
    return make_error_response(
        429, "beyond_upper_limit", "a gang of the job needs more than account " + account + " may use",
        "make the gang smaller, or ask the operators for a higher upper limit", "not_run");
}

/// @return whether the account may run each gang of the job while it runs nothing else
inline bool may_run_gangs(const job_spec& job, const account_limit& limit) {
    return std::all_of(job.steps.begin(), job.steps.end(), [&limit](const step_spec& step) {
        return !step.gang || limit.can_ever_permit(start_of_gang(step));
    });
}

/// @param success_status status if the record was stored
/// @return the answer to a request whose record was to be stored
inline http_response answer_to_store(store_outcome outcome, int success_status) {
    switch (outcome) {
    case store_outcome::stored:
        return json_answer(success_status, "{}");
    case store_outcome::not_stored:
        return retry_later("log_unavailable", "the log does not accept the request");
    case store_outcome::rejected:
        return too_large();
    case store_outcome::unknown:
        break;
    }
    return make_error_response(504, "log_silent", "the log has not answered",
                               "repeat the request with the same id", "unknown");
}

/// Limits appends to what the link of the node transfers in a moment: a larger append would still be in
/// transit when its timeout passes, each time that it is repeated.
inline site_node_options fit_appends_to_link(site_node_options options) {
    constexpr double bytes_per_megabit = 1e6 / 8;
    constexpr double longest_transfer_s = 0.25;
    const auto transferable =
        static_cast<std::size_t>(options.settings.link_mbps * bytes_per_megabit * longest_transfer_s);
    auto& limit = options.settings.limits.appends.max_append_bytes;
    limit = std::min(limit, transferable);
    return options;
}

} // namespace site_node_detail

/// @return delay before the node claims the scheduler lease: nodes that are too small to schedule a large
/// site claim it only when no larger node does
inline std::chrono::milliseconds lease_claim_delay(const site_node_settings& settings) {
    constexpr double strong_node_cores = 0.4; // at least this: no delay
    constexpr double medium_node_cores =
        0.2; // less than this, or a link below `medium_node_link_mbps`: long delay
    constexpr double medium_node_link_mbps = 50;
    constexpr std::chrono::milliseconds medium_node_claim_delay{100};
    constexpr std::chrono::milliseconds weak_node_claim_delay{1200};
    if (settings.cores < medium_node_cores || settings.link_mbps < medium_node_link_mbps) {
        return weak_node_claim_delay;
    }
    return settings.cores < strong_node_cores ? medium_node_claim_delay : std::chrono::milliseconds(0);
}

template <class Port, class Codec>
site_node<Port, Codec>::site_node(io_threads& workers, site_node_options node_options)
    : threads(workers), options(site_node_detail::fit_appends_to_link(std::move(node_options))),
      port(workers, this->options.settings),
      lease({.node_id = this->options.settings.node_id,
             .incarnation = this->options.incarnation,
             .weak_node_delay = lease_claim_delay(this->options.settings)}),
      schedule({.node_id = this->options.settings.node_id, .limits = this->options.settings.limits}),
      store_latency(this->counters.latency_of("submission_store_seconds")),
      start_latency(this->counters.latency_of("start_order_seconds")),
      commit_latency(this->counters.latency_of("progress_commit_seconds")) {
    const auto& timings = this->options.timings;
    const auto add_tail = [this](log_tail_options tail) {
        this->tails.emplace_back(tail);
        return &this->tails.back();
    };
    this->operators_tail =
        add_tail({.topic = log_topic::operators, .wait = site_node_detail::operators_wait});
    this->leader_tail = add_tail({.topic = log_topic::leader, .wait = std::chrono::milliseconds(600)});
    this->states_tail =
        add_tail({.topic = log_topic::states, .wait = timings.follower_wait, .pause = timings.states_pause});
    for (std::int32_t partition = 0; partition < this->options.settings.limits.job_partitions; ++partition) {
        this->job_tails.push_back(add_tail({.topic = log_topic::jobs,
                                            .partition = partition,
                                            .wait = timings.follower_wait,
                                            .pause = timings.jobs_pause}));
        this->submissions.emplace_back(submission_queue_options{
            .producer = this->options.settings.node_id + "-" + this->options.incarnation,
            .partition = partition,
            .appends = this->options.settings.limits.appends});
    }
    this->workers_tail = add_tail({.topic = log_topic::workers, .pause = timings.workers_pause});
    this->progress_tail = add_tail({.topic = log_topic::progress});
}

template <class Port, class Codec>
result<std::shared_ptr<site_node<Port, Codec>>> site_node<Port, Codec>::make(io_threads& threads,
                                                                             site_node_options options) {
    std::shared_ptr<site_node> node(new site_node(threads, std::move(options)));
    BOOST_LEAF_CHECK(node->listen());
    node->start_timer();
    return node;
}

template <class Port, class Codec>
result<void> site_node<Port, Codec>::listen() {
    const auto weak = this->weak_from_this();
    const auto& settings = this->options.settings;
    BOOST_LEAF_ASSIGN(
        this->caller_server,
        http_server::make(this->threads,
                          {.address = settings.caller_address,
                           .max_head_bytes = 16 * 1024,
                           .max_connections = static_cast<std::size_t>(settings.max_connections)},
                          [weak](http_request request, http_reply reply) {
                              if (const auto self = weak.lock()) {
                                  self->on_caller(std::move(request), std::move(reply));
                              }
                          }));
    BOOST_LEAF_ASSIGN(this->ready_server,
                      http_server::make(this->threads, {.address = settings.ready_address},
                                        [weak](http_request, const http_reply& reply) {
                                            const auto self = weak.lock();
                                            bool ready = false;
                                            if (self) {
                                                const std::lock_guard lock(self->mutex);
                                                ready = self->is_ready(clock::now());
                                            }
                                            reply.send(http_response{.status = ready ? 200 : 503});
                                        }));
    if (settings.admin_address) {
        BOOST_LEAF_ASSIGN(this->admin_server,
                          http_server::make(this->threads, {.address = *settings.admin_address},
                                            [weak](http_request request, const http_reply& reply) {
                                                const auto self = weak.lock();
                                                if (self && request.target == "/metrics") {
                                                    self->update_gauges();
                                                    reply.send(
                                                        http_response{.body = self->counters.to_text()});
                                                } else if (self) {
                                                    reply.send(site_node_detail::json_answer(
                                                        200, boost::json::serialize(self->dump())));
                                                }
                                            }));
    }
    return {};
}

template <class Port, class Codec>
void site_node<Port, Codec>::count_answer(std::string_view call, int status) {
    this->counters
        .counter_of("answers_total", {{"call", std::string(call)}, {"status", std::to_string(status)}})
        .add();
}

template <class Port, class Codec>
void site_node<Port, Codec>::count_order(std::string_view kind, std::string_view outcome) {
    this->counters
        .counter_of("orders_total", {{"kind", std::string(kind)}, {"outcome", std::string(outcome)}})
        .add();
}

template <class Port, class Codec>
void site_node<Port, Codec>::update_gauges() {
    const std::lock_guard lock(this->mutex);
    const auto now = clock::now();
    const auto age_ms = [now](boot_time since) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
    };
    this->counters.counter_of("scheduler_term").set(this->schedule.term());
    const auto figures = this->schedule.statistics(now);
    this->counters.counter_of("tasks_overdue").set(figures.overdue_tasks);
    this->counters.counter_of("occurrences_ranked").set(figures.ranked_occurrences);
    this->counters.counter_of("near_placements").set(figures.near.near_placements);
    this->counters.counter_of("far_placements").set(figures.near.far_placements);
    this->counters.counter_of("near_waits_begun").set(figures.near.waits_begun);
    this->counters.counter_of("near_waits_given_up").set(figures.near.waits_given_up);
    this->counters.counter_of("near_waited_ms").set(figures.near.waited.count());
    for (const auto& blocked : figures.blocked) {
        this->counters.counter_of("workers_blocked", {{"reason", std::string(blocked.reason)}})
            .set(blocked.workers);
    }
    this->counters.counter_of("jobs_known").set(static_cast<std::int64_t>(this->index.size()));
    this->counters.counter_of("submissions_waiting")
        .set(static_cast<std::int64_t>(this->submissions_waiting()));
    this->counters.counter_of("config_version").set(this->operators.config()->version);
    this->counters.counter_of("config_age_ms").set(age_ms(this->operators_tail->confirmed()));
    this->counters.counter_of("states_age_ms").set(age_ms(this->states_tail->complete_until()));
    this->counters.counter_of("ready").set(this->is_ready(now) ? 1 : 0);
    this->counters.counter_of("loop_delay_ms").set(this->loop_delay.count());
}

template <class Port, class Codec>
void site_node<Port, Codec>::start_timer() {
    const auto weak = this->weak_from_this();
    this->threads.repeat(this->options.timings.tick, [weak] {
        const auto self = weak.lock();
        if (self) {
            self->on_timer();
        }
        return self != nullptr;
    });
}

template <class Port, class Codec>
void site_node<Port, Codec>::flush(outbox& out) {
    for (auto& item : out) {
        item();
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::on_timer() {
    using std::chrono::milliseconds;
    constexpr int averaged_runs = 4;
    constexpr milliseconds reported_change{200};
    constexpr milliseconds longest_counted{1000}; // a suspended process was not busy
    {
        const std::lock_guard lock(this->mutex);
        const auto now = clock::now();
        const auto since_last =
            this->last_timer == boot_time{} ? this->options.timings.tick : to_millis(now - this->last_timer);
        const auto late =
            std::clamp(since_last - this->options.timings.tick, milliseconds(0), longest_counted);
        this->last_timer = now;
        this->loop_delay = (this->loop_delay * (averaged_runs - 1) + late) / averaged_runs;
        this->schedule.set_loop_delay(this->loop_delay);
        if (std::chrono::abs(this->loop_delay - this->reported_loop_delay) >= reported_change) {
            this->reported_loop_delay = this->loop_delay;
            write_log(severity::warning, "loop_delayed",
                      {{"delay_ms", this->loop_delay.count()}, {"scheduler", this->lease.is_held()}});
        }
    }
    this->run_cycle(false);
}

template <class Port, class Codec>
void site_node<Port, Codec>::pace_cycles(boot_time begin) {
    const std::lock_guard lock(this->mutex);
    const auto end = clock::now();
    const auto pause = this->options.timings.cycle_pause_factor * (end - begin);
    this->next_cycle = end + std::max<boot_clock::duration>(pause, this->options.timings.min_cycle_interval);
}

template <class Port, class Codec>
void site_node<Port, Codec>::run_cycle(bool forced) {
    outbox out;
    const auto begin = clock::now();
    bool is_due = false;
    {
        const std::lock_guard lock(this->mutex);
        const auto now = clock::now();
        out.swap(this->replies);
        is_due = forced || now >= this->next_cycle;
        if (is_due) {
            this->tick_lease(now, out);
            this->tick_term(now);
            this->tick_tails(now, out);
            this->tick_scheduler(now, out);
            this->tick_submissions(now, out);
            for (auto& reply : this->replies) {
                out.push_back(std::move(reply));
            }
            this->replies.clear();
            if (const bool ready = this->is_ready(now); ready != this->was_ready) {
                this->was_ready = ready;
                write_log(severity::info, ready ? "ready" : "not_ready",
                          {{"config_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                                 now - this->operators_tail->confirmed())
                                                 .count()}});
            }
        }
    }
    this->flush(out);
    if (is_due) {
        this->pace_cycles(begin);
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::begin_stop() {
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->stop_begun = clock::now();
        this->schedule.begin_stop();
    }
    this->run_cycle(true);
    const auto weak = this->weak_from_this();
    this->threads.run_after(this->options.timings.load_balancer_removal, [weak] {
        if (const auto self = weak.lock()) {
            self->caller_server->begin_stop(self->options.timings.stop_idle_grace);
        }
    });
}

template <class Port, class Codec>
bool site_node<Port, Codec>::wait_stopped(std::chrono::milliseconds timeout) {
    return this->caller_server->wait_stopped(timeout);
}

template <class Port, class Codec>
boost::json::value site_node<Port, Codec>::dump() const {
    const std::lock_guard lock(this->mutex);
    const auto now = clock::now();
    return boost::json::object{{"node", this->options.settings.node_id},
                               {"ready", this->is_ready(now)},
                               {"config_version", this->operators.config()->version},
                               {"scheduler", this->lease.holder()},
                               {"jobs_known", this->index.size()},
                               {"submissions_waiting", this->submissions_waiting()},
                               {"schedule", this->schedule.dump(now)}};
}

} // namespace hornbeamrail
