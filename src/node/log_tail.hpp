#pragma once

#include "protocol/platform.hpp"
#include "protocol/platform_port.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace hornbeamrail {

/// Settings of one `log_tail`.
struct log_tail_options {
    log_topic topic = log_topic::jobs;
    std::int32_t partition = 0;
    std::chrono::milliseconds wait{1000};   ///< maximum time that the log holds one read open for a record
    std::chrono::milliseconds pause{0};     ///< between an answer and the next read
    std::chrono::milliseconds timeout{900}; ///< of a read, in addition to `wait`
    std::chrono::milliseconds retry_delay{150}; ///< after a read that failed
};

/// Follows one partition of the log: loads the newest record of each key, then reads every later record.
/// Reloads when the next record has expired from the log.
///
/// Does no I/O: the caller sends the requests that `tick` returns and passes the answers to `on_newest` and
/// `on_read`. Not thread-safe.
class log_tail {
public:
    using read_request = std::variant<read_call, newest_call>;

    explicit log_tail(log_tail_options settings) : options(std::move(settings)) {}

    /// Discards the position and reloads the newest record of each key. Answers to earlier requests are
    /// ignored.
    void restart() {
        ++this->epoch;
        this->loaded = false;
        this->after_key.clear();
        this->next_offset.reset();
        this->in_flight = false;
        this->not_before = {};
    }

    /// @param wait maximum time that the log holds one read open for a record
    /// @param pause time between an answer and the next read
    void set_read_timing(std::chrono::milliseconds wait, std::chrono::milliseconds pause) {
        this->options.wait = wait;
        this->options.pause = pause;
    }

    /// @return the request to send now, if any; at most one is in flight
    std::optional<read_request> tick(boot_time now) {
        if (this->in_flight || now < this->not_before) {
            return std::nullopt;
        }
        this->in_flight = true;
        this->request_sent_at = now;
        if (!this->loaded) {
            this->load_started_at = this->after_key.empty() ? now : this->load_started_at;
            return newest_call{.topic = this->options.topic,
                               .partition = this->options.partition,
                               .after_key = this->after_key};
        }
        return read_call{.topic = this->options.topic,
                         .partition = this->options.partition,
                         .from = *this->next_offset,
                         .wait = this->options.wait};
    }

    /// Handles the answer to a `newest_call`.
    /// @param request_epoch `current_epoch()` when the request was sent
    /// @param deliver called with each record
    /// @return false when the request failed; it is then retried after `retry_delay`
    template <class Deliver>
    bool on_newest(std::uint64_t request_epoch, const newest_answer& answer, boot_time now, Deliver deliver) {
        if (request_epoch != this->epoch) {
            return true; // sent before a restart
        }
        this->in_flight = false;
        if (!answer.done) {
            this->not_before = now + this->options.retry_delay;
            return false;
        }
        for (const auto& record : answer.records) {
            deliver(record);
        }
        if (!this->next_offset) {
            // Reads continue from here. Later pages may already contain some of these records.
            this->next_offset = answer.end;
        }
        if (answer.more && !answer.records.empty()) {
            this->after_key = answer.records.back().key;
            return true; // The snapshot is incomplete until its last page.
        }
        this->loaded = true;
        this->confirmed_at = this->load_started_at;
        this->complete_at = this->load_started_at;
        return true;
    }

    /// Handles the answer to a `read_call`. Restarts when the records have expired.
    /// @param request_epoch `current_epoch()` when the request was sent
    /// @param deliver called with each record
    /// @return false when the request failed; it is then retried after `retry_delay`
    template <class Deliver>
    bool on_read(std::uint64_t request_epoch, const read_answer& answer, boot_time now, Deliver deliver) {
        if (request_epoch != this->epoch) {
            return true;
        }
        this->in_flight = false;
        if (answer.outcome == read_outcome_kind::expired) {
            this->restart();
            return true;
        }
        if (answer.outcome != read_outcome_kind::records) {
            this->not_before = now + this->options.retry_delay;
            return false;
        }
        for (const auto& record : answer.records) {
            deliver(record);
        }
        this->next_offset = std::max(*this->next_offset, answer.next);
        this->confirmed_at = this->request_sent_at;
        // An empty answer means that no record arrived while the log held the read open.
        this->complete_at = answer.records.empty() ? std::min(now, this->request_sent_at + this->options.wait)
                                                   : this->request_sent_at;
        this->not_before = now + this->options.pause;
        return true;
    }

    /// @return whether the newest record of each key has been read
    [[nodiscard]] bool is_loaded() const noexcept { return this->loaded; }

    /// @return when the latest successful read was sent; the tail has every record written before
    [[nodiscard]] boot_time confirmed() const noexcept { return this->confirmed_at; }

    /// @return the time up to which the tail has every record, assuming that long polls return new records
    [[nodiscard]] boot_time complete_until() const noexcept { return this->complete_at; }
    /// @return when the latest request was sent, answered or not
    [[nodiscard]] boot_time last_request_sent() const noexcept { return this->request_sent_at; }
    /// @return offset of the next record to read; 0 before the first answer
    [[nodiscard]] std::int64_t position() const noexcept { return this->next_offset.value_or(0); }
    /// @return number of restarts; identifies the requests sent since the latest one
    [[nodiscard]] std::uint64_t current_epoch() const noexcept { return this->epoch; }
    [[nodiscard]] const log_tail_options& settings() const noexcept { return this->options; }

private:
    log_tail_options options;
    std::uint64_t epoch = 0; ///< counts restarts
    bool loaded = false;
    std::string after_key; ///< last key of the latest page of newest records
    std::optional<std::int64_t> next_offset;
    bool in_flight = false;
    boot_time not_before{};
    boot_time request_sent_at{};
    boot_time load_started_at{}; ///< when the first page of the newest records was requested
    boot_time confirmed_at{};
    boot_time complete_at{};
};

} // namespace hornbeamrail
