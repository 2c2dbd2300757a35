#pragma once

// Members of site_node that run the scheduler's term. Included only by site_node.hpp.

namespace hornbeamrail {

template <class Port, class Codec>
void site_node<Port, Codec>::tick_lease(boot_time now, outbox& out) {
    const bool may_release = !this->schedule.has_vm_orders_in_flight() ||
                             now >= this->stop_begun + this->options.timings.vm_timeout;
    if (this->stopping && may_release) {
        this->lease.begin_stop();
    }
    if (this->is_load_stalled(now)) {
        write_log(severity::warning, "term_not_loaded", {{"term", this->lease.term()}});
        this->lease.step_down(now);
        this->lease_paused_until = now + this->options.timings.lease_pause;
    }
    auto append = now < this->lease_paused_until ? std::nullopt : this->lease.tick(now);
    if (!append) {
        return;
    }
    const auto self = this->shared_from_this();
    out.push_back([self, call = std::move(*append)] {
        self->port.append(call, [self](append_answer answer) {
            self->with_lock([&](boot_time at) {
                self->lease.on_append(answer, at);
                if (answer.outcome != append_outcome::appended) {
                    self->load_progress_at = at; // the log rejects renewals as well
                }
            });
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
    this->load_progress_at = now;
    this->pending_fences = 2;
    this->append_fence(log_topic::progress, this->replies);
    this->append_fence(log_topic::states, this->replies);
}

template <class Port, class Codec>
void site_node<Port, Codec>::end_term() {
    write_log(severity::info, "term_ended", {{"term", this->schedule.term()}});
    this->schedule.end_term();
    this->phase = term_phase::inactive;
    this->loaded_progress.clear();
    for (auto* tail : this->job_tails) {
        tail->set_read_timing(this->options.timings.follower_wait, this->options.timings.jobs_pause);
    }
}

template <class Port, class Codec>
bool site_node<Port, Codec>::is_load_stalled(boot_time now) const {
    // Renewals are small and may succeed while nothing else does. Until the term is loaded, no node
    // schedules.
    return this->lease.is_held() && this->phase != term_phase::inactive &&
           this->phase != term_phase::running &&
           now > this->load_progress_at + this->options.timings.load_stall_limit;
}

template <class Port, class Codec>
void site_node<Port, Codec>::append_fence(log_topic topic, outbox& out) {
    append_call call{.topic = topic};
    this->append_as_scheduler(std::move(call), 0, out);
}

template <class Port, class Codec>
void site_node<Port, Codec>::tick_term(boot_time now) {
    const bool holds_lease = this->lease.is_held();
    const bool is_current_term =
        this->phase != term_phase::inactive && this->schedule.term() == this->lease.term();
    if (this->phase != term_phase::inactive && (!holds_lease || !is_current_term)) {
        this->end_term();
    }
    if (holds_lease && this->phase == term_phase::inactive && this->operators.has_config()) {
        this->begin_term(now);
    }
    // Once both topics are fenced, earlier schedulers can no longer append to them.
    if (this->phase == term_phase::fencing && this->pending_fences == 0) {
        this->phase = term_phase::loading;
        this->loaded_progress.clear();
        this->workers_tail->restart();
        this->progress_tail->restart();
        for (auto* tail : this->job_tails) {
            tail->restart();
            tail->set_read_timing(this->options.timings.scheduler_wait,
                                  this->options.timings.scheduler_pause);
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
    this->schedule.set_term_confirmed(this->term_confirmed);
    this->schedule.set_lease_renewed(this->lease.renewed());
    for (auto& action : this->schedule.tick(now, site_node_detail::wall_clock_now())) {
        this->execute(action, out);
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::append_as_scheduler(append_call call, std::int64_t sequence, outbox& out) {
    call.producer = append_producer{.name = std::string(site_node_detail::scheduler_producer),
                                    .epoch = this->schedule.term(),
                                    .sequence = sequence};
    const auto self = this->shared_from_this();
    out.push_back([self, call = std::move(call), sequence] { self->send_append(call, sequence); });
}

template <class Port, class Codec>
void site_node<Port, Codec>::send_append(append_call call, std::int64_t sequence) {
    const auto self = this->shared_from_this();
    this->port.append(call, [self, call, sequence, sent_at = clock::now()](append_answer answer) {
        self->commit_latency.record(clock::now() - sent_at);
        self->with_lock([&](boot_time) { self->on_scheduler_append(call, sequence, sent_at, answer); });
    });
}

template <class Port, class Codec>
void site_node<Port, Codec>::on_scheduler_append(const append_call& call, std::int64_t sequence,
                                                 boot_time sent_at, const append_answer& answer) {
    const auto now = clock::now();
    if (this->phase == term_phase::inactive || call.producer->epoch != this->schedule.term()) {
        return; // sent in an earlier term
    }
    const bool already_appended =
        answer.outcome == append_outcome::wrong_sequence && answer.expected_sequence == sequence + 1;
    if (answer.outcome == append_outcome::appended || already_appended) {
        this->term_confirmed = std::max(this->term_confirmed, sent_at);
        if (call.records.empty()) {
            --this->pending_fences;
            this->load_progress_at = now;
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
    if (answer.outcome == append_outcome::rejected && !call.records.empty()) {
        call.topic == log_topic::progress ? this->schedule.on_commit_rejected(sequence, answer.reason, now)
                                          : this->schedule.on_publish_rejected(sequence, answer.reason, now);
        return;
    }
    const auto self = this->shared_from_this();
    this->threads.run_after(this->options.timings.append_retry, [self, call, sequence] {
        bool is_current_term = false;
        {
            const std::lock_guard lock(self->mutex);
            is_current_term =
                self->phase != term_phase::inactive && call.producer->epoch == self->schedule.term();
        }
        if (is_current_term) {
            self->send_append(call, sequence);
        }
    });
}

template <class Port, class Codec>
void site_node<Port, Codec>::execute(scheduler_action& action, outbox& out) {
    const auto self = this->shared_from_this();
    if (auto* commit = std::get_if<commit_progress>(&action)) {
        this->append_as_scheduler({.topic = log_topic::progress, .records = std::move(commit->records)},
                                  commit->sequence, out);
    } else if (auto* states = std::get_if<publish_states>(&action)) {
        for (const auto& record : states->records) {
            this->index.apply_state(record);
        }
        this->append_as_scheduler({.topic = log_topic::states, .records = std::move(states->records)},
                                  states->sequence, out);
    } else if (auto* drop = std::get_if<drop_job_records>(&action)) {
        append_call call{
            .topic = log_topic::jobs, .partition = drop->partition, .records = std::move(drop->records)};
        out.push_back([self, call = std::move(call), sequence = drop->sequence] {
            self->port.append(call, [self, sequence](const append_answer& answer) {
                const bool done = answer.outcome == append_outcome::appended;
                if (!done) {
                    write_log(severity::info, "job_records_kept", {{"reason", answer.reason}});
                }
                self->with_lock([&](boot_time) { self->schedule.on_records_dropped(sequence, done); });
            });
        });
    } else if (auto* report = std::get_if<write_report>(&action)) {
        append_call call{.topic = log_topic::reports,
                         .records = {Codec::wave_report(report->wave, report->completed)}};
        out.push_back([self, call = std::move(call), report = *report] {
            self->port.append(call, [self, report](const append_answer& answer) {
                self->with_lock([&](boot_time) {
                    self->schedule.on_reported(report.wave, report.completed,
                                               answer.outcome == append_outcome::appended);
                });
            });
        });
    } else {
        this->execute_order(action, out);
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::execute_order(scheduler_action& action, outbox& out) {
    const auto self = this->shared_from_this();
    const auto& timings = this->options.timings;
    if (auto* start = std::get_if<send_start>(&action)) {
        out.push_back([self, order = std::move(*start), &timings] {
            self->port.start(order.worker, order.order, timings.start_timeout,
                             [self, worker = order.worker, sent = order.order,
                              sent_at = clock::now()](const order_answer& answer) {
                                 self->start_latency.record(clock::now() - sent_at);
                                 self->count_order("start", to_string(answer.outcome));
                                 self->with_lock([&](boot_time now) {
                                     self->schedule.on_start_answer(worker, sent, answer, now);
                                 });
                             });
        });
    } else if (auto* stop = std::get_if<send_stop>(&action)) {
        out.push_back([self, order = std::move(*stop), &timings] {
            self->port.stop(order.worker, order.order, timings.stop_timeout,
                            [self, order](const order_answer& answer) {
                                self->count_order("stop", to_string(answer.outcome));
                                self->with_lock([&](boot_time now) {
                                    self->schedule.on_stop_answer(order.worker, order.order, answer, now);
                                });
                            });
        });
    } else if (auto* pace = std::get_if<send_pace>(&action)) {
        out.push_back([self, order = std::move(*pace), &timings] {
            self->port.pace(order.worker, order.order, timings.stop_timeout,
                            [self, order](const order_answer& answer) {
                                self->with_lock([&](boot_time now) {
                                    self->schedule.on_pace_answer(order.worker, order.order, answer, now);
                                });
                            });
        });
    } else if (auto* hold = std::get_if<send_hold>(&action)) {
        out.push_back([self, order = std::move(*hold), &timings] {
            self->port.hold(order.worker, order.order, order.order.wait + timings.hold_timeout,
                            [self, order](const hold_report& report) {
                                self->count_order("hold", to_string(report.outcome));
                                self->with_lock([&](boot_time now) {
                                    self->schedule.on_hold_report(order.worker, order.order, report, now);
                                });
                            });
        });
    } else if (std::holds_alternative<read_vm_list>(action)) {
        out.push_back([self, requested_at = clock::now()] {
            self->read_vms(requested_at, "", std::make_shared<std::vector<vm_entry>>());
        });
    } else if (auto* move = std::get_if<order_move>(&action)) {
        out.push_back([self, order = std::move(move->order), &timings] {
            self->port.move_vm(order, timings.vm_timeout, [self, order](vm_order_outcome outcome) {
                self->with_lock([&](boot_time now) { self->schedule.on_vm_order(order, outcome, now); });
            });
        });
    } else if (auto* maintain = std::get_if<order_maintenance>(&action)) {
        out.push_back([self, order = std::move(maintain->order), &timings] {
            self->port.maintain_vm(order, timings.vm_timeout, [self, order](vm_order_outcome outcome) {
                self->with_lock([&](boot_time now) { self->schedule.on_vm_order(order, outcome, now); });
            });
        });
    } else if (auto* advice = std::get_if<request_advice>(&action)) {
        out.push_back([self, call = std::move(advice->call), &timings] {
            self->port.advise(call, timings.vm_timeout * 4, [self, call](const advice_answer& answer) {
                self->with_lock([&](boot_time now) { self->schedule.on_advice(call, answer, now); });
            });
        });
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::read_vms(boot_time requested_at, std::string page,
                                      std::shared_ptr<std::vector<vm_entry>> vms) {
    const auto self = this->shared_from_this();
    this->port.list_vms(page, this->options.timings.vm_timeout, [self, requested_at, vms](vm_page answer) {
        if (answer.done && !answer.next_page.empty()) {
            vms->insert(vms->end(), answer.vms.begin(), answer.vms.end());
            self->read_vms(requested_at, answer.next_page, vms);
            return;
        }
        vms->insert(vms->end(), answer.vms.begin(), answer.vms.end());
        self->with_lock([&](boot_time now) {
            if (answer.done) {
                self->schedule.on_vm_list(*vms, requested_at, now);
            } else {
                write_log(severity::info, "vm_list_unavailable", {{"reason", answer.reason}});
                self->schedule.on_vm_list_failed(now);
            }
        });
    });
}

} // namespace hornbeamrail
