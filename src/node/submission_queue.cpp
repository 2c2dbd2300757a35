#include "node/submission_queue.hpp"

#include "protocol/json_log.hpp"

#include <algorithm>

namespace hornbeamrail {

submission_queue::submission_queue(submission_queue_options settings) : options(std::move(settings)) {}

void submission_queue::add(keyed_record record, boot_time deadline, callback done) {
    this->waiting.push_back({.record = std::move(record), .deadline = deadline, .done = std::move(done)});
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

void submission_queue::expire(std::deque<item>& items, boot_time now, store_outcome outcome) {
    for (auto& entry : items) {
        if (entry.done && now >= entry.deadline) {
            std::exchange(entry.done, nullptr)(outcome);
        }
    }
}

std::optional<append_call> submission_queue::tick(boot_time now) {
    this->expire(this->batch, now, store_outcome::unknown);
    this->expire(this->waiting, now, store_outcome::not_stored);
    std::erase_if(this->waiting, [](const item& one) { return !one.done; });
    if (this->in_flight || now < this->next_append) {
        return std::nullopt;
    }
    if (this->batch.empty()) {
        if (this->waiting.empty()) {
            return std::nullopt;
        }
        const auto count = std::min(this->waiting.size(), this->options.longest_batch);
        std::move(this->waiting.begin(), this->waiting.begin() + static_cast<std::ptrdiff_t>(count),
                  std::back_inserter(this->batch));
        this->waiting.erase(this->waiting.begin(),
                            this->waiting.begin() + static_cast<std::ptrdiff_t>(count));
        ++this->sequence;
        this->uncertain = false;
    }
    this->in_flight = true;
    return this->make_append();
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
    this->next_append = now + this->options.interval;
    switch (answer.outcome) {
    case append_outcome::appended:
        this->answer_batch(store_outcome::stored);
        return;
    case append_outcome::refused:
        if (!this->uncertain) {
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
        // The log has lost track of this producer's numbers: a higher epoch starts them anew.
        write_log(severity::warning, "store_sequence_lost", {{"reason", answer.reason}});
        ++this->epoch;
        this->answer_batch(this->uncertain ? store_outcome::unknown : store_outcome::not_stored);
        return;
    case append_outcome::unknown:
        this->uncertain = true;
        break;
    }
    const bool awaited = std::any_of(this->batch.begin(), this->batch.end(),
                                     [](const item& one) { return static_cast<bool>(one.done); });
    if (!awaited) {
        // Nobody waits any more. A later batch takes a new epoch, as this one may still take effect.
        this->batch.clear();
        ++this->epoch;
    }
    this->next_append = now + this->options.retry;
}

} // namespace hornbeamrail
