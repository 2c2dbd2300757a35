#pragma once

// Members of site_node that answer callers. Included only by site_node.hpp.

namespace hornbeamrail {

template <class Port, class Codec>
bool site_node<Port, Codec>::keys_are_fresh(boot_time now) const {
    return now < this->operators_tail->confirmed() + this->options.settings.limits.key_revocation_delay -
                     this->options.timings.key_staleness_margin;
}

template <class Port, class Codec>
bool site_node<Port, Codec>::jobs_are_fresh(boot_time now) const {
    const auto is_fresh = [&](const log_tail* tail) {
        return tail->confirmed() != boot_time{} &&
               now < tail->complete_until() + this->options.timings.max_job_age;
    };
    return is_fresh(this->states_tail) &&
           std::all_of(this->job_tails.begin(), this->job_tails.end(), is_fresh);
}

template <class Port, class Codec>
bool site_node<Port, Codec>::is_ready(boot_time now) const {
    return this->operators.has_config() && !this->stopping && this->jobs_are_fresh(now) &&
           now < this->operators_tail->confirmed() + this->options.timings.max_config_age;
}

template <class Port, class Codec>
void site_node<Port, Codec>::tick_submissions(boot_time now, outbox& out) {
    const auto self = this->shared_from_this();
    for (auto& queue : this->submissions) {
        auto append = queue.tick(now);
        if (!append) {
            continue;
        }
        out.push_back([self, &queue, call = std::move(*append)] {
            self->port.append(call, [self, &queue](append_answer answer) {
                self->with_lock([&](boot_time at) { queue.on_append(answer, at); });
            });
        });
    }
}

template <class Port, class Codec>
std::size_t site_node<Port, Codec>::submissions_waiting() const {
    std::size_t waiting = 0;
    for (const auto& queue : this->submissions) {
        waiting += queue.size();
    }
    return waiting;
}

template <class Port, class Codec>
void site_node<Port, Codec>::store(const std::string& job, keyed_record record,
                                   const typename Codec::call& call, const http_reply& reply,
                                   int success_status, std::function<void()> on_stored) {
    const auto& timings = this->options.timings;
    const auto caller_timeout = call.caller_timeout.value_or(timings.default_caller_timeout);
    const auto max_wait = std::min(caller_timeout - timings.answer_reserve, timings.max_store_wait);
    const auto started_at = clock::now();
    const auto deadline = started_at + std::max(max_wait, timings.answer_reserve);
    const auto key = record.key;
    const auto partition = partition_of_job(job, this->options.settings.limits.job_partitions);
    this->submissions[static_cast<std::size_t>(partition)].add(
        std::move(record), deadline,
        [this, reply, success_status, started_at, key,
         on_stored = std::move(on_stored)](store_outcome outcome) {
            if (outcome == store_outcome::stored) {
                on_stored();
            }
            auto response = site_node_detail::answer_to_store(outcome, success_status);
            this->store_latency.record(clock::now() - started_at);
            this->count_answer("store", response.status);
            if (outcome != store_outcome::stored) {
                write_log(severity::info, "call_refused",
                          {{"key", key}, {"status", response.status}, {"reason", to_string(outcome)}});
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
            this->log_lost_since && now > *this->log_lost_since + this->options.timings.log_outage_grace;
        const bool stores = call.method == Codec::method::submit || call.method == Codec::method::cancel;
        if (!this->operators.has_config() || !this->keys_are_fresh(now) || (stores && log_is_lost)) {
            answer = site_node_detail::retry_later("not_fresh", "this node has no fresh data from the log");
        } else if (queue == nullptr) {
            answer = make_error_response(404, "unknown_queue", "no queue has this host and path",
                                         "check host and path against the configuration", "not_run");
        } else if (!queue->open && config->account_of_key(call.key) == nullptr) {
            answer = make_error_response(401, "unknown_key", "the key does not belong to a client account",
                                         "request a key from the operators", "not_run");
        } else {
            bool is_deferred = false;
            const auto id = call.path.substr(queue->path_prefix.size());
            auto response = this->handle_call(call, *queue, id, request, reply, is_deferred, now);
            if (!is_deferred) {
                answer = std::move(response);
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
    this->run_cycle(false);
}

template <class Port, class Codec>
http_response site_node<Port, Codec>::handle_call(const typename Codec::call& call, const queue_config& queue,
                                                  const std::string& id, const http_request& request,
                                                  const http_reply& reply, bool& is_deferred, boot_time now) {
    using method = typename Codec::method;
    const auto* known_job = this->index.find(id);
    if (call.method == method::query && id.empty()) {
        return site_node_detail::json_answer(200, Codec::waiting(this->index.pending_jobs(queue.name)));
    }
    if (call.method == method::query) {
        if (known_job == nullptr) {
            return this->jobs_are_fresh(now)
                       ? make_error_response(410, "unknown_job", "the job is not known", "submit the job",
                                             "not_run")
                       : site_node_detail::retry_later("not_fresh", "this node does not know all jobs yet");
        }
        const bool cancelled = known_job->cancel_requested && !is_final(known_job->state);
        return site_node_detail::json_answer(
            200, Codec::state(cancelled ? job_state::cancelled : known_job->state));
    }
    if (call.method == method::cancel) {
        const bool has_ended =
            known_job != nullptr && (known_job->cancel_requested || is_final(known_job->state));
        if (has_ended) {
            return site_node_detail::json_answer(200, "{}");
        }
        is_deferred = true;
        // Stored even if the job is unknown here: its record may not have been read yet.
        this->store(id, {.key = id + std::string(cancel_suffix), .value = "1"}, call, reply,
                    known_job == nullptr ? 410 : 200, [this, id] { this->index.note_cancelled(id); });
        return {};
    }
    // A final job has no record in the jobs topic any more, so its queue may be unknown.
    if (known_job != nullptr && (!known_job->queue.empty() || is_final(known_job->state))) {
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
    const auto& limits = this->options.settings.limits;
    if (account != nullptr &&
        !site_node_detail::may_run_gangs(
            *job, {.upper_limit = account->upper_limit, .tolerance = limits.upper_limit_tolerance})) {
        return site_node_detail::beyond_upper_limit(account->name);
    }
    job->submitted = site_node_detail::wall_clock_now();
    keyed_record record{.key = id, .value = boost::json::serialize(to_json(*job))};
    if (bytes_in_log(record) > limits.appends.max_record_bytes) {
        return site_node_detail::too_large();
    }
    is_deferred = true;
    this->store(id, std::move(record), call, reply, 200, [this, stored_job = *job] {
        write_log(severity::info, "job_accepted",
                  {{"job", stored_job.id},
                   {"queue", stored_job.queue},
                   {"account", stored_job.account},
                   {"steps", stored_job.steps.size()}});
        this->index.note_stored(stored_job);
    });
    return {};
}

} // namespace hornbeamrail
