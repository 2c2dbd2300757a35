#pragma once

// Members of site_node that follow the log. Included only by site_node.hpp.

namespace hornbeamrail {

template <class Port, class Codec>
void site_node<Port, Codec>::tick_tails(boot_time now, outbox& out) {
    for (auto& tail : this->tails) {
        const bool scheduler_only = &tail == this->workers_tail || &tail == this->progress_tail;
        const bool is_needed =
            !scheduler_only || (this->phase != term_phase::inactive && this->phase != term_phase::fencing);
        const bool is_complete = &tail == this->progress_tail && tail.is_loaded();
        if (is_needed && !is_complete) {
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
    const auto ticket = tail.latest_ticket();
    if (const auto* newest = std::get_if<newest_call>(&*request)) {
        if (newest->after_key.empty() && &tail == this->operators_tail) {
            this->operators.begin_reload();
        }
        if (newest->after_key.empty() && &tail == this->workers_tail) {
            this->listed_workers.clear();
        }
        if (newest->after_key.empty() && tail.settings().topic == log_topic::jobs) {
            this->index.begin_reload(tail.settings().partition, this->options.settings.limits.job_partitions);
        }
        out.push_back([self, &tail, ticket, call = *newest] {
            self->port.newest(
                call, self->options.timings.newest_timeout, [self, &tail, ticket](newest_answer answer) {
                    self->with_lock([&](boot_time) { self->on_read_answer(tail, ticket, answer); });
                });
        });
        return;
    }
    out.push_back([self, &tail, ticket, call = std::get<read_call>(*request)] {
        self->port.read(call, call.wait + tail.settings().timeout, [self, &tail, ticket](read_answer answer) {
            self->with_lock([&](boot_time) { self->on_read_answer(tail, ticket, answer); });
        });
    });
}

template <class Port, class Codec>
template <class Answer>
void site_node<Port, Codec>::on_read_answer(log_tail& tail, const tail_ticket& ticket, const Answer& answer) {
    const auto now = clock::now();
    const bool was_loaded = tail.is_loaded();
    const auto deliver_record = [&](const keyed_record& record) {
        this->deliver(tail, record, now);
    };
    tail_outcome outcome = tail_outcome::ignored;
    if constexpr (std::is_same_v<Answer, newest_answer>) {
        outcome = tail.on_newest(ticket, answer, deliver_record, now);
        if (!was_loaded && tail.is_loaded() && answer.more) {
            write_log(severity::warning, "log_load_incomplete",
                      {{"topic", static_cast<int>(tail.settings().topic)}});
        }
    } else {
        outcome = tail.on_read(ticket, answer, deliver_record, now);
    }
    if (outcome == tail_outcome::ignored) {
        return;
    }
    const bool succeeded = outcome == tail_outcome::advanced;
    if (succeeded) {
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
        if (succeeded && tail.is_loaded()) {
            this->lease.on_read(tail.position(), ticket.sent_at, now);
            if (this->lease.is_held()) {
                this->term_confirmed = std::max(this->term_confirmed, ticket.sent_at);
            }
        } else if (!succeeded) {
            this->lease.on_read_failed(now);
            this->load_progress_at = now;
        }
    }
    if (succeeded && !was_loaded) {
        this->load_progress_at = now;
    }
    if (!was_loaded && tail.is_loaded()) {
        this->on_tail_loaded(tail, now);
    }
}

template <class Port, class Codec>
void site_node<Port, Codec>::on_tail_loaded(log_tail& tail, boot_time now) {
    if (&tail == this->operators_tail) {
        this->operators.end_reload();
        this->schedule.set_zones_out(this->operators.zones_out());
        this->schedule.set_waves(this->operators.waves());
    }
    if (&tail == this->workers_tail && this->phase != term_phase::inactive) {
        this->schedule.retain_listed_workers(this->listed_workers, now);
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
                this->listed_workers.erase(record.key);
                if (record.value.empty()) {
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
        if (topic == log_topic::workers) { // the entry names no worker, as if it had been removed
            this->schedule.on_worker_removed(record.key, now);
        }
        write_log(severity::warning, "record_unreadable", {{"key", record.key}, {"reason", problem.message}});
    }
}

} // namespace hornbeamrail
