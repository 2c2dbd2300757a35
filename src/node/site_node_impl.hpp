#pragma once

// The members of site_node; included by site_node.hpp only.

namespace hornbeamrail {

namespace site_node_detail {

inline constexpr std::string_view scheduler_producer = "scheduler";
inline constexpr std::chrono::milliseconds follower_wait{1200};
inline constexpr std::chrono::milliseconds operators_wait{700};

inline unix_time time_of_day() {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

inline http_response json_answer(int status, std::string body) {
    http_response response{.status = status, .body = std::move(body)};
    response.headers.add("Content-Type", "application/json");
    return response;
}

/// A refusal that tells when to come back. Nothing of the request has run or will.
inline http_response retry_later(std::string_view error, std::string_view message) {
    auto response = make_error_response(503, error, message, "repeat the request at another node", "not_run");
    response.headers.add("Retry-After", "1");
    return response;
}

} // namespace site_node_detail

/// A node too weak to schedule a large site claims the lease only when no stronger one does.
inline std::chrono::milliseconds lease_handicap(const site_node_settings& settings) {
    constexpr double strong_cores = 0.4;
    constexpr double fair_cores = 0.2;
    constexpr double fair_link_mbps = 50;
    constexpr std::chrono::milliseconds fair_delay{100};
    constexpr std::chrono::milliseconds weak_delay{1200};
    if (settings.cores < fair_cores || settings.link_mbps < fair_link_mbps) {
        return weak_delay;
    }
    return settings.cores < strong_cores ? fair_delay : std::chrono::milliseconds(0);
}

template <class Port, class Codec>
site_node<Port, Codec>::site_node(io_threads& workers, site_node_options given)
    : threads(workers), options(std::move(given)), port(workers, this->options.settings),
      lease({.node_id = this->options.settings.node_id,
             .incarnation = this->options.incarnation,
             .handicap = lease_handicap(this->options.settings)}),
      schedule({.node_id = this->options.settings.node_id, .limits = this->options.settings.limits}),
      submissions({.producer = this->options.settings.node_id + "-" + this->options.incarnation,
                   .partition = static_cast<std::int32_t>(
                       std::hash<std::string>()(this->options.settings.node_id) %
                       static_cast<std::size_t>(this->options.settings.limits.job_partitions))}),
      store_latency(this->counters.latency_of("submission_store_seconds")),
      start_latency(this->counters.latency_of("start_order_seconds")),
      commit_latency(this->counters.latency_of("progress_commit_seconds")) {
    const auto& timings = this->options.timings;
    const auto add = [this](log_tail_options tail) {
        this->tails.emplace_back(tail);
        return &this->tails.back();
    };
    this->operators_tail = add({.topic = log_topic::operators, .wait = site_node_detail::operators_wait});
    this->leader_tail = add({.topic = log_topic::leader, .wait = std::chrono::milliseconds(600)});
    this->states_tail = add({.topic = log_topic::states,
                             .wait = site_node_detail::follower_wait,
                             .pause = timings.follower_pause});
    for (std::int32_t partition = 0; partition < this->options.settings.limits.job_partitions; ++partition) {
        this->job_tails.push_back(add({.topic = log_topic::jobs,
                                       .partition = partition,
                                       .wait = site_node_detail::follower_wait,
                                       .pause = timings.follower_pause}));
    }
    this->workers_tail = add({.topic = log_topic::workers, .pause = timings.workers_pause});
    this->progress_tail = add({.topic = log_topic::progress});
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
                                                    self->count_levels();
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
void site_node<Port, Codec>::count_levels() {
    const std::lock_guard lock(this->mutex);
    const auto now = clock::now();
    const auto age_ms = [now](boot_time since) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count();
    };
    this->counters.counter_of("scheduler_term").set(this->schedule.term());
    this->counters.counter_of("jobs_known").set(static_cast<std::int64_t>(this->index.size()));
    this->counters.counter_of("submissions_waiting").set(static_cast<std::int64_t>(this->submissions.size()));
    this->counters.counter_of("config_version").set(this->operators.config()->version);
    this->counters.counter_of("config_age_ms").set(age_ms(this->operators_tail->confirmed()));
    this->counters.counter_of("states_age_ms").set(age_ms(this->states_tail->complete_until()));
    this->counters.counter_of("ready").set(this->is_ready(now) ? 1 : 0);
}

template <class Port, class Codec>
void site_node<Port, Codec>::start_timer() {
    const auto weak = this->weak_from_this();
    this->threads.repeat(this->options.timings.tick, [weak] {
        const auto self = weak.lock();
        if (self) {
            self->pump(true);
        }
        return self != nullptr;
    });
}

template <class Port, class Codec>
void site_node<Port, Codec>::run(outbox& out) {
    for (auto& item : out) {
        item();
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::pump(bool forced) {
    outbox out;
    {
        const std::lock_guard lock(this->mutex);
        const auto now = clock::now();
        out.swap(this->replies);
        if (forced || now >= this->last_pump + this->options.timings.shortest_pump) {
            this->last_pump = now;
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
    this->run(out);
}

template <class Port, class Codec>
void site_node<Port, Codec>::tick_tails(boot_time now, outbox& out) {
    for (auto& tail : this->tails) {
        const bool scheduler_only = &tail == this->workers_tail || &tail == this->progress_tail;
        const bool wanted =
            !scheduler_only || (this->phase != term_phase::none && this->phase != term_phase::fencing);
        const bool finished = &tail == this->progress_tail && tail.is_loaded();
        if (wanted && !finished) {
            this->read_tail(tail, now, out);
        }
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::read_tail(log_tail& tail, boot_time now, outbox& out) {
    auto request = tail.tick(now);
    if (!request) {
        return;
    }
    const auto self = this->shared_from_this();
    const auto epoch = tail.current_epoch();
    if (const auto* newest = std::get_if<newest_call>(&*request)) {
        if (newest->after_key.empty() && &tail == this->operators_tail) {
            this->operators.begin_reload();
        }
        if (newest->after_key.empty() && &tail == this->workers_tail) {
            this->listed_workers.clear();
        }
        out.push_back([self, &tail, epoch, call = *newest] {
            self->port.newest(call, self->options.timings.newest_timeout,
                              [self, &tail, epoch](newest_answer answer) {
                                  self->locked([&](boot_time) { self->finish_read(tail, epoch, answer); });
                              });
        });
        return;
    }
    out.push_back([self, &tail, epoch, call = std::get<read_call>(*request)] {
        self->port.read(call, call.wait + tail.settings().timeout, [self, &tail, epoch](read_answer answer) {
            self->locked([&](boot_time) { self->finish_read(tail, epoch, answer); });
        });
    });
}

template <class Port, class Codec>
template <class Answer>
void site_node<Port, Codec>::finish_read(log_tail& tail, std::uint64_t epoch, const Answer& answer) {
    const auto now = clock::now();
    if (epoch != tail.current_epoch()) {
        return;
    }
    const bool was_loaded = tail.is_loaded();
    const auto deliver_record = [&](const keyed_record& record) {
        this->deliver(tail, record, now);
    };
    bool good = false;
    if constexpr (std::is_same_v<Answer, newest_answer>) {
        good = tail.on_newest(epoch, answer, now, deliver_record);
    } else {
        good = tail.on_read(epoch, answer, now, deliver_record);
    }
    if (good) {
        this->last_log_contact = std::max(this->last_log_contact, tail.asked());
        if (this->log_lost_since) {
            write_log(severity::info, "log_regained",
                      {{"lost_ms",
                        std::chrono::duration_cast<std::chrono::milliseconds>(now - *this->log_lost_since)
                            .count()}});
            this->log_lost_since.reset();
        }
    } else if (!this->log_lost_since) {
        this->log_lost_since = now;
        write_log(severity::warning, "log_lost",
                  {{"topic", static_cast<int>(tail.settings().topic)}, {"reason", answer.reason}});
    }
    if (&tail == this->leader_tail) {
        if (good && tail.is_loaded()) {
            this->lease.on_read(tail.position(), tail.asked(), now);
        } else if (!good) {
            this->lease.on_read_failed(now);
        }
    }
    if (!was_loaded && tail.is_loaded()) {
        this->after_read(tail, good, now);
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::after_read(log_tail& tail, bool, boot_time now) {
    if (&tail == this->operators_tail) {
        this->operators.end_reload();
        this->schedule.set_zones_out(this->operators.zones_out());
        this->schedule.set_waves(this->operators.waves());
    }
    if (&tail == this->workers_tail && this->phase != term_phase::none) {
        this->schedule.keep_listed(this->listed_workers, now);
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::deliver(const log_tail& tail, const keyed_record& record, boot_time now) {
    const auto topic = tail.settings().topic;
    const bool loading = this->phase == term_phase::loading || this->phase == term_phase::loading_states;
    switch (topic) {
    case log_topic::leader:
        this->lease.on_record(record, now);
        return;
    case log_topic::jobs:
        this->index.apply_job(record);
        if (loading || this->phase == term_phase::running) {
            this->schedule.on_job_record(tail.settings().partition, record, now);
        }
        return;
    case log_topic::states:
        this->index.apply_state(record);
        if (this->phase == term_phase::loading_states) {
            this->schedule.load_state(record);
        }
        return;
    case log_topic::progress:
        this->loaded_progress.push_back(record);
        return;
    default:
        break;
    }
    error problem;
    const auto handled = value_or_error(
        [&]() -> result<bool> {
            if (topic == log_topic::workers) {
                if (record.value.empty()) {
                    this->listed_workers.erase(record.key);
                    this->schedule.on_worker_removed(record.key, now);
                    return true;
                }
                BOOST_LEAF_AUTO(entry, Codec::worker(record.key, record.value));
                this->listed_workers.insert(record.key);
                this->schedule.on_worker(entry, now);
                return true;
            }
            const auto key = Codec::key(record.key);
            if (key.kind == Codec::key_kind::config && !record.value.empty()) {
                BOOST_LEAF_AUTO(config, Codec::config(record.value));
                const auto version = config.version;
                if (this->operators.set_config(std::move(config))) {
                    write_log(severity::info, "config_in_force",
                              {{"version", version}, {"offset", record.offset}});
                    this->schedule.set_config(this->operators.config());
                }
            } else if (key.kind == Codec::key_kind::zone_out) {
                write_log(severity::info, "zone_change",
                          {{"zone", key.name}, {"out", !record.value.empty()}});
                this->operators.set_zone(key.name, !record.value.empty());
                this->schedule.set_zones_out(this->operators.zones_out());
            } else if (key.kind == Codec::key_kind::wave && !record.value.empty()) {
                BOOST_LEAF_AUTO(wave, Codec::wave(record.value));
                write_log(severity::info, "wave_requested",
                          {{"wave", wave.number},
                           {"vms", wave.vms.size()},
                           {"max_down", wave.max_down},
                           {"duration_ms", wave.duration.count()}});
                this->operators.set_wave(std::move(wave));
                this->schedule.set_waves(this->operators.waves());
            }
            return true;
        },
        problem);
    if (!handled) {
        write_log(severity::warning, "record_unreadable", {{"key", record.key}, {"reason", problem.message}});
    }
}

// The scheduler's term.

template <class Port, class Codec>
void site_node<Port, Codec>::tick_lease(boot_time now, outbox& out) {
    auto append = this->lease.tick(now);
    if (!append) {
        return;
    }
    const auto self = this->shared_from_this();
    out.push_back([self, call = std::move(*append)] {
        self->port.append(call, [self](append_answer answer) {
            self->locked([&](boot_time at) { self->lease.on_append(answer, at); });
        });
    });
}

template <class Port, class Codec>
void site_node<Port, Codec>::begin_term(boot_time now) {
    write_log(severity::info, "term_begun", {{"term", this->lease.term()}});
    this->schedule.begin_term(this->lease.term(), now);
    this->schedule.set_config(this->operators.config());
    this->schedule.set_zones_out(this->operators.zones_out());
    this->schedule.set_waves(this->operators.waves());
    this->phase = term_phase::fencing;
    this->fences_left = 2;
    this->append_fence(log_topic::progress, this->replies);
    this->append_fence(log_topic::states, this->replies);
}

template <class Port, class Codec>
void site_node<Port, Codec>::end_term() {
    write_log(severity::info, "term_ended", {{"term", this->schedule.term()}});
    this->schedule.end_term();
    this->phase = term_phase::none;
    this->loaded_progress.clear();
    for (auto* tail : this->job_tails) {
        tail->set_pause(this->options.timings.follower_pause);
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::append_fence(log_topic topic, outbox& out) {
    append_call call{.topic = topic};
    this->append_scheduled(std::move(call), 0, out);
}

template <class Port, class Codec>
void site_node<Port, Codec>::tick_term(boot_time now) {
    const bool held = this->lease.is_held();
    const bool current = this->phase != term_phase::none && this->schedule.term() == this->lease.term();
    if (this->phase != term_phase::none && (!held || !current)) {
        this->end_term();
    }
    if (held && this->phase == term_phase::none && this->operators.has_config()) {
        this->begin_term(now);
    }
    if (this->phase == term_phase::fencing && this->fences_left == 0) {
        this->phase = term_phase::loading;
        this->loaded_progress.clear();
        this->workers_tail->restart();
        this->progress_tail->restart();
        for (auto* tail : this->job_tails) {
            tail->restart();
            tail->set_pause(this->options.timings.scheduler_pause);
        }
    }
    const auto all_loaded = [this] {
        return this->workers_tail->is_loaded() && this->progress_tail->is_loaded() &&
               std::all_of(this->job_tails.begin(), this->job_tails.end(),
                           [](const log_tail* tail) { return tail->is_loaded(); });
    };
    if (this->phase == term_phase::loading && all_loaded()) {
        for (const auto& record : this->loaded_progress) {
            this->schedule.load_progress(record);
        }
        this->loaded_progress.clear();
        this->phase = term_phase::loading_states;
        this->states_tail->restart();
    } else if (this->phase == term_phase::loading_states && this->states_tail->is_loaded()) {
        this->schedule.finish_load(now);
        this->phase = term_phase::running;
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::tick_scheduler(boot_time now, outbox& out) {
    if (this->phase != term_phase::running) {
        return;
    }
    this->schedule.set_log_contact(this->last_log_contact);
    for (auto& action : this->schedule.tick(now, site_node_detail::time_of_day())) {
        this->carry_out(action, out);
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::append_scheduled(append_call call, std::int64_t sequence, outbox& out) {
    call.producer = append_producer{.name = std::string(site_node_detail::scheduler_producer),
                                    .epoch = this->schedule.term(),
                                    .sequence = sequence};
    const auto self = this->shared_from_this();
    out.push_back([self, call = std::move(call), sequence] { self->send_append(call, sequence); });
}

template <class Port, class Codec>
void site_node<Port, Codec>::send_append(append_call call, std::int64_t sequence) {
    const auto self = this->shared_from_this();
    this->port.append(call, [self, call, sequence, asked = clock::now()](append_answer answer) {
        self->commit_latency.record(clock::now() - asked);
        self->locked([&](boot_time) { self->on_scheduled(call, sequence, answer); });
    });
}

template <class Port, class Codec>
void site_node<Port, Codec>::on_scheduled(const append_call& call, std::int64_t sequence,
                                          const append_answer& answer) {
    const auto now = clock::now();
    if (this->phase == term_phase::none || call.producer->epoch != this->schedule.term()) {
        return; // of an earlier term
    }
    const bool repeated =
        answer.outcome == append_outcome::wrong_sequence && answer.expected_sequence == sequence + 1;
    if (answer.outcome == append_outcome::appended || repeated) {
        this->last_log_contact = std::max(this->last_log_contact, now - call.timeout);
        if (call.records.empty()) {
            --this->fences_left;
        } else if (call.topic == log_topic::progress) {
            this->schedule.on_committed(sequence, now);
        } else {
            this->schedule.on_published(sequence, now);
        }
        return;
    }
    write_log(severity::info, "record_not_stored",
              {{"topic", static_cast<int>(call.topic)}, {"sequence", sequence}, {"reason", answer.reason}});
    if (answer.outcome == append_outcome::fenced || answer.outcome == append_outcome::wrong_sequence) {
        this->lease.step_down(now);
        return;
    }
    const auto self = this->shared_from_this();
    this->threads.run_after(this->options.timings.append_retry, [self, call, sequence] {
        bool current = false;
        {
            const std::lock_guard lock(self->mutex);
            current = self->phase != term_phase::none && call.producer->epoch == self->schedule.term();
        }
        if (current) {
            self->send_append(call, sequence);
        }
    });
}

template <class Port, class Codec>
void site_node<Port, Codec>::carry_out(scheduler_action& action, outbox& out) {
    const auto self = this->shared_from_this();
    if (auto* commit = std::get_if<commit_progress>(&action)) {
        this->append_scheduled({.topic = log_topic::progress, .records = std::move(commit->records)},
                               commit->sequence, out);
    } else if (auto* states = std::get_if<publish_states>(&action)) {
        for (const auto& record : states->records) {
            this->index.apply_state(record);
        }
        this->append_scheduled({.topic = log_topic::states, .records = std::move(states->records)},
                               states->sequence, out);
    } else if (auto* drop = std::get_if<drop_job_records>(&action)) {
        append_call call{
            .topic = log_topic::jobs, .partition = drop->partition, .records = std::move(drop->records)};
        out.push_back([self, call = std::move(call)] {
            self->port.append(call, [](const append_answer& answer) {
                if (answer.outcome != append_outcome::appended) {
                    write_log(severity::info, "job_records_kept", {{"reason", answer.reason}});
                }
            });
        });
    } else if (auto* report = std::get_if<write_report>(&action)) {
        append_call call{.topic = log_topic::reports,
                         .records = {Codec::wave_report(report->wave, report->completed)}};
        out.push_back([self, call = std::move(call), report = *report] {
            self->port.append(call, [self, report](const append_answer& answer) {
                self->locked([&](boot_time) {
                    self->schedule.on_reported(report.wave, report.completed,
                                               answer.outcome == append_outcome::appended);
                });
            });
        });
    } else {
        this->carry_out_order(action, out);
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::carry_out_order(scheduler_action& action, outbox& out) {
    const auto self = this->shared_from_this();
    const auto& timings = this->options.timings;
    if (auto* start = std::get_if<send_start>(&action)) {
        out.push_back([self, order = std::move(*start), &timings] {
            self->port.start(order.worker, order.order, timings.start_timeout,
                             [self, worker = order.worker, sent = order.order,
                              asked = clock::now()](const order_answer& answer) {
                                 self->start_latency.record(clock::now() - asked);
                                 self->count_order("start", to_string(answer.outcome));
                                 self->locked([&](boot_time now) {
                                     self->schedule.on_start_answer(worker, sent, answer, now);
                                 });
                             });
        });
    } else if (auto* stop = std::get_if<send_stop>(&action)) {
        out.push_back([self, order = std::move(*stop), &timings] {
            self->port.stop(order.worker, order.order, timings.stop_timeout,
                            [self, order](const order_answer& answer) {
                                self->count_order("stop", to_string(answer.outcome));
                                self->locked([&](boot_time now) {
                                    self->schedule.on_stop_answer(order.worker, order.order, answer, now);
                                });
                            });
        });
    } else if (auto* pace = std::get_if<send_pace>(&action)) {
        out.push_back([self, order = std::move(*pace), &timings] {
            self->port.pace(order.worker, order.order, timings.stop_timeout,
                            [self, order](const order_answer& answer) {
                                self->locked([&](boot_time now) {
                                    self->schedule.on_pace_answer(order.worker, order.order, answer, now);
                                });
                            });
        });
    } else if (auto* hold = std::get_if<send_hold>(&action)) {
        out.push_back([self, order = std::move(*hold), &timings] {
            self->port.hold(order.worker, order.order, order.order.wait + timings.hold_timeout,
                            [self, order](const hold_report& report) {
                                self->count_order("hold", to_string(report.outcome));
                                self->locked([&](boot_time now) {
                                    self->schedule.on_hold_report(order.worker, order.order, report, now);
                                });
                            });
        });
    } else if (std::holds_alternative<read_vm_list>(action)) {
        out.push_back([self, asked_at = clock::now()] {
            self->read_vms(asked_at, "", std::make_shared<std::vector<vm_entry>>());
        });
    } else if (auto* move = std::get_if<order_move>(&action)) {
        out.push_back([self, order = std::move(move->order), &timings] {
            self->port.move_vm(order, timings.vm_timeout, [self, order](vm_order_outcome outcome) {
                self->locked([&](boot_time now) { self->schedule.on_vm_order(order, outcome, now); });
            });
        });
    } else if (auto* maintain = std::get_if<order_maintenance>(&action)) {
        out.push_back([self, order = std::move(maintain->order), &timings] {
            self->port.maintain_vm(order, timings.vm_timeout, [self, order](vm_order_outcome outcome) {
                self->locked([&](boot_time now) { self->schedule.on_vm_order(order, outcome, now); });
            });
        });
    } else if (auto* advice = std::get_if<ask_advice>(&action)) {
        out.push_back([self, call = std::move(advice->call), &timings] {
            self->port.advise(call, timings.vm_timeout * 4, [self, call](const advice_answer& answer) {
                self->locked([&](boot_time now) { self->schedule.on_advice(call, answer, now); });
            });
        });
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::read_vms(boot_time asked_at, std::string page,
                                      std::shared_ptr<std::vector<vm_entry>> vms) {
    const auto self = this->shared_from_this();
    this->port.list_vms(page, this->options.timings.vm_timeout, [self, asked_at, vms](vm_page answer) {
        if (answer.done && !answer.next_page.empty()) {
            vms->insert(vms->end(), answer.vms.begin(), answer.vms.end());
            self->read_vms(asked_at, answer.next_page, vms);
            return;
        }
        vms->insert(vms->end(), answer.vms.begin(), answer.vms.end());
        self->locked([&](boot_time now) {
            if (answer.done) {
                self->schedule.on_vm_list(*vms, asked_at, now);
            } else {
                write_log(severity::info, "vm_list_unavailable", {{"reason", answer.reason}});
                self->schedule.on_vm_list_failed(now);
            }
        });
    });
}

// Callers.

template <class Port, class Codec>
bool site_node<Port, Codec>::keys_are_fresh(boot_time now) const {
    return now < this->operators_tail->confirmed() + this->options.settings.limits.key_revocation -
                     this->options.timings.key_margin;
}

template <class Port, class Codec>
bool site_node<Port, Codec>::jobs_are_fresh(boot_time now) const {
    const auto is_fresh = [&](const log_tail* tail) {
        return tail->confirmed() != boot_time{} &&
               now < tail->complete_until() + this->options.timings.job_age;
    };
    return is_fresh(this->states_tail) &&
           std::all_of(this->job_tails.begin(), this->job_tails.end(), is_fresh);
}

template <class Port, class Codec>
bool site_node<Port, Codec>::is_ready(boot_time now) const {
    return this->operators.has_config() && !this->stopping && this->jobs_are_fresh(now) &&
           now < this->operators_tail->confirmed() + this->options.timings.ready_age;
}

template <class Port, class Codec>
void site_node<Port, Codec>::tick_submissions(boot_time now, outbox& out) {
    auto append = this->submissions.tick(now);
    if (!append) {
        return;
    }
    const auto self = this->shared_from_this();
    out.push_back([self, call = std::move(*append)] {
        self->port.append(call, [self](append_answer answer) {
            self->locked([&](boot_time at) { self->submissions.on_append(answer, at); });
        });
    });
}

template <class Port, class Codec>
void site_node<Port, Codec>::store(keyed_record record, const typename Codec::call& call,
                                   const http_reply& reply, int done_status, std::function<void()> stored) {
    const auto& timings = this->options.timings;
    const auto patience = call.patience.value_or(timings.default_patience);
    const auto longest = std::min(patience - timings.answer_reserve, timings.longest_store);
    const auto asked = clock::now();
    const auto deadline = asked + std::max(longest, timings.answer_reserve);
    const auto key = record.key;
    this->submissions.add(
        std::move(record), deadline,
        [this, reply, done_status, asked, key, stored = std::move(stored)](store_outcome outcome) {
            http_response response;
            if (outcome == store_outcome::stored) {
                stored();
                response = site_node_detail::json_answer(done_status, "{}");
            } else if (outcome == store_outcome::not_stored) {
                response =
                    site_node_detail::retry_later("log_unavailable", "the log does not take the request");
            } else {
                response = make_error_response(504, "log_silent", "the log has not answered",
                                               "repeat the request with the same id", "unknown");
            }
            this->store_latency.record(clock::now() - asked);
            this->count_answer("store", response.status);
            if (outcome != store_outcome::stored) {
                write_log(severity::info, "call_refused",
                          {{"key", key},
                           {"status", response.status},
                           {"reason", outcome == store_outcome::unknown ? "log_silent" : "log_unavailable"}});
            }
            this->replies.push_back([reply, response = std::move(response)] { reply.send(response); });
        });
}

template <class Port, class Codec>
void site_node<Port, Codec>::on_caller(http_request request, http_reply reply) {
    std::optional<http_response> answer;
    {
        const std::lock_guard lock(this->mutex);
        const auto now = clock::now();
        const auto call = Codec::decode_call(request);
        const auto config = this->operators.config();
        const auto* queue = config->queue_of(call.host, call.path);
        const bool log_is_lost =
            this->log_lost_since && now > *this->log_lost_since + this->options.timings.log_grace;
        const bool stores = call.method == Codec::method::submit || call.method == Codec::method::cancel;
        if (!this->operators.has_config() || !this->keys_are_fresh(now) || (stores && log_is_lost)) {
            answer = site_node_detail::retry_later("not_fresh", "this node has lost the log");
        } else if (queue == nullptr) {
            answer = make_error_response(404, "unknown_queue", "no queue takes jobs here",
                                         "check host and path against the configuration", "not_run");
        } else if (!queue->open && config->account_of_key(call.key) == nullptr) {
            answer = make_error_response(401, "unknown_key", "the key belongs to no client account",
                                         "ask the operators for a key", "not_run");
        } else {
            bool later = false;
            const auto id = call.path.substr(queue->path_prefix.size());
            auto made = this->answer_now(call, *queue, id, request, reply, later, now);
            if (!later) {
                answer = std::move(made);
            }
        }
        if (answer) {
            this->count_answer("direct", answer->status);
            if (answer->status >= 400) {
                write_log(severity::info, "call_refused",
                          {{"path", call.path},
                           {"host", call.host},
                           {"status", answer->status},
                           {"config_version", config->version},
                           {"config_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                                                 now - this->operators_tail->confirmed())
                                                 .count()}});
            }
        }
    }
    if (answer) {
        reply.send(std::move(*answer));
    }
    this->pump(false);
}

template <class Port, class Codec>
http_response site_node<Port, Codec>::answer_now(const typename Codec::call& call, const queue_config& queue,
                                                 const std::string& id, const http_request& request,
                                                 const http_reply& reply, bool& later, boot_time now) {
    using method = typename Codec::method;
    const auto* known = this->index.find(id);
    if (call.method == method::ask && id.empty()) {
        return site_node_detail::json_answer(200, Codec::waiting(this->index.waiting(queue.name)));
    }
    if (call.method == method::ask) {
        if (known == nullptr) {
            return this->jobs_are_fresh(now)
                       ? make_error_response(410, "unknown_job", "no such job is known", "submit the job",
                                             "not_run")
                       : site_node_detail::retry_later("not_fresh", "this node does not know all jobs yet");
        }
        const bool cancelled = known->cancel_requested && !is_final(known->state);
        return site_node_detail::json_answer(200,
                                             Codec::state(cancelled ? job_state::cancelled : known->state));
    }
    if (call.method == method::cancel) {
        later = true;
        // Stored even if the job is not known here yet: its record may be on its way.
        this->store({.key = id + std::string(cancel_suffix), .value = "1"}, call, reply,
                    known == nullptr ? 410 : 200, [this, id] { this->index.note_cancelled(id); });
        return {};
    }
    if (known != nullptr && !known->queue.empty()) {
        return site_node_detail::json_answer(200, "{}");
    }
    error problem;
    auto job = value_or_error([&] { return Codec::job(id, request.body); }, problem);
    if (!job) {
        return make_error_response(400, "bad_job", problem.message, problem.remedy, "not_run");
    }
    job->queue = queue.name;
    job->pool = queue.pool;
    job->attempts = queue.attempts;
    const auto* account = queue.open ? nullptr : this->operators.config()->account_of_key(call.key);
    job->account = account == nullptr ? std::string() : account->name;
    job->submitted = site_node_detail::time_of_day();
    later = true;
    this->store({.key = id, .value = boost::json::serialize(to_json(*job))}, call, reply, 200,
                [this, noted = *job] {
                    write_log(severity::info, "job_accepted",
                              {{"job", noted.id},
                               {"queue", noted.queue},
                               {"account", noted.account},
                               {"steps", noted.steps.size()}});
                    this->index.note_stored(noted);
                });
    return {};
}

template <class Port, class Codec>
void site_node<Port, Codec>::begin_stop() {
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
        this->lease.begin_stop();
    }
    this->pump(true);
    const auto weak = this->weak_from_this();
    this->threads.run_after(this->options.timings.stop_rotation, [weak] {
        if (const auto self = weak.lock()) {
            self->caller_server->begin_stop(self->options.timings.stop_idle_grace);
        }
    });
}

template <class Port, class Codec>
bool site_node<Port, Codec>::wait_stopped(std::chrono::milliseconds cap) {
    return this->caller_server->wait_stopped(cap);
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
                               {"submissions_waiting", this->submissions.size()},
                               {"schedule", this->schedule.dump(now)}};
}

} // namespace hornbeamrail
