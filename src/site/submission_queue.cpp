#include "site/submission_queue.hpp"

#include "protocol/json_log.hpp"

#include <algorithm>

namespace hornbeamrail {

std::string_view to_string(store_outcome outcome) noexcept {
    switch (outcome) {
    case store_outcome::stored:
        return "stored";
    case store_outcome::not_stored:
        return "log_unavailable";
    case store_outcome::rejected:
        return "too_large";
    case store_outcome::unknown:
        break;
    }
    return "log_silent";
}

submission_queue::submission_queue(submission_queue_options settings)
    : options(std::move(settings)), window(this->options.appends) {}

void submission_queue::add(keyed_record record, boot_time deadline, callback done) {
    this->queued.push_back({.record = std::move(record), .deadline = deadline, .done = std::move(done)});
}

append_call submission_queue::make_append() const {
    append_call call{
        .topic = log_topic::jobs,
        .partition = this->options.partition,
        .producer =
            append_producer{.name = this->options.producer, .epoch = this->epoch, .sequence = this->sequence},
        .timeout = this->options.timeout};
    for (const auto& entry : this->batch) {
        call.records.push_back(entry.record);
    }
    return call;
}

void submission_queue::expire(std::deque<submission>& items, boot_time now, store_outcome outcome) {
    for (auto& entry : items) {
        if (entry.done && now >= entry.deadline) {
            std::exchange(entry.done, nullptr)(outcome);
        }
    }
}

std::optional<append_call> submission_queue::tick(boot_time now) {
    this->expire(this->batch, now, store_outcome::unknown);
    this->expire(this->queued, now, store_outcome::not_stored);
    std::erase_if(this->queued, [](const submission& entry) { return !entry.done; });
    if (this->in_flight || now < this->next_append) {
        return std::nullopt;
    }
    if (this->batch.empty()) {
        if (this->queued.empty()) {
            return std::nullopt;
        }
        this->fill_batch();
    }
    this->in_flight = true;
    return this->make_append();
}

void submission_queue::fill_batch() {
    const auto count = static_cast<std::ptrdiff_t>(this->window.next_count(
        this->queued, [](const submission& entry) -> const auto& { return entry.record; }));
    std::move(this->queued.begin(), this->queued.begin() + count, std::back_inserter(this->batch));
    this->queued.erase(this->queued.begin(), this->queued.begin() + count);
    ++this->sequence;
    this->may_be_appended = false;
}

void submission_queue::on_rejected(const append_answer& answer) {
    if (this->may_be_appended) {
        ++this->epoch; // fences the earlier attempt, whose sequence number is used again
    }
    --this->sequence;
    if (this->window.on_rejected()) {
        const auto& record = this->batch.front().record;
        write_log(severity::error, "record_rejected",
                  {{"key", record.key}, {"bytes", bytes_in_log(record)}, {"reason", answer.reason}});
        this->answer_batch(store_outcome::rejected);
        return;
    }
    std::move(this->batch.rbegin(), this->batch.rend(), std::front_inserter(this->queued));
    this->batch.clear();
}

void submission_queue::answer_batch(store_outcome outcome) {
    auto answered = std::move(this->batch);
    this->batch.clear();
    for (auto& entry : answered) {
        if (entry.done) {
            entry.done(outcome);
        }
    }
}

void submission_queue::on_append(const append_answer& answer, boot_time now) {
    this->in_flight = false;
    this->next_append = now + this->options.append_interval;
    switch (answer.outcome) {
    case append_outcome::appended:
        this->window.on_appended();
        this->answer_batch(store_outcome::stored);
        return;
    case append_outcome::rejected:
        this->on_rejected(answer);
        return;
    case append_outcome::refused:
        if (!this->may_be_appended) {
            write_log(severity::info, "store_refused",
                      {{"records", this->batch.size()}, {"reason", answer.reason}});
            --this->sequence;
            this->answer_batch(store_outcome::not_stored);
            return;
        }
        break;
    case append_outcome::fenced:
    case append_outcome::wrong_sequence:
    case append_outcome::wrong_end:
        // The log no longer accepts this producer's sequence numbers; a higher epoch restarts them.
        write_log(severity::warning, "store_sequence_lost", {{"reason", answer.reason}});
        ++this->epoch;
        this->answer_batch(this->may_be_appended ? store_outcome::unknown : store_outcome::not_stored);
        return;
    case append_outcome::unknown:
        this->may_be_appended = true;
        break;
    }
    const bool has_waiting_caller =
        std::any_of(this->batch.begin(), this->batch.end(),
                    [](const submission& entry) { return static_cast<bool>(entry.done); });
    if (!has_waiting_caller) {
        // All callers were answered. This batch may still take effect, so the next one uses a new epoch.
        this->batch.clear();
        ++this->epoch;
    }
    this->next_append = now + this->options.retry_delay;
}

} // namespace hornbeamrail
