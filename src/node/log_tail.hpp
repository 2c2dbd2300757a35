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

struct log_tail_options {
    log_topic topic = log_topic::jobs;
    std::int32_t partition = 0;
    std::chrono::milliseconds wait{1000};   ///< how long one read may wait for a record
    std::chrono::milliseconds pause{0};     ///< between two reads
    std::chrono::milliseconds timeout{900}; ///< of an answer, beyond `wait`
    std::chrono::milliseconds retry{150};   ///< after a read that failed
};

/// Follows one partition of the log: first the newest record of each key, then every record as it comes. When
/// records have expired it starts over with the newest. Does no I/O: the driver sends the reads it asks for.
class log_tail {
public:
    using read_request = std::variant<read_call, newest_call>;

    explicit log_tail(log_tail_options settings) : options(std::move(settings)) {}

    /// Starts over with the newest record of each key.
    void restart() {
        ++this->epoch;
        this->loaded = false;
        this->after_key.clear();
        this->next.reset();
        this->in_flight = false;
        this->not_before = {};
    }

    /// @param wait how long one read may wait for a record
    /// @param pause between two reads
    void set_pace(std::chrono::milliseconds wait, std::chrono::milliseconds pause) {
        this->options.wait = wait;
        this->options.pause = pause;
    }

    /// @return the read that is due, if any
    std::optional<read_request> tick(boot_time now) {
        if (this->in_flight || now < this->not_before) {
            return std::nullopt;
        }
        this->in_flight = true;
        this->asked_at = now;
        if (!this->loaded) {
            this->load_begin = this->after_key.empty() ? now : this->load_begin;
            return newest_call{.topic = this->options.topic,
                               .partition = this->options.partition,
                               .after_key = this->after_key};
        }
        return read_call{.topic = this->options.topic,
                         .partition = this->options.partition,
                         .from = *this->next,
                         .wait = this->options.wait};
    }

    /// @param deliver called with each record
    /// @return whether the answer was good
    template <class Deliver>
    bool on_newest(std::uint64_t asked_epoch, const newest_answer& answer, boot_time now, Deliver deliver) {
        if (asked_epoch != this->epoch) {
            return true; // of a time before a restart
        }
        this->in_flight = false;
        if (!answer.done) {
            this->not_before = now + this->options.retry;
            return false;
        }
        for (const auto& record : answer.records) {
            deliver(record);
        }
        if (!this->next) {
            this->next = answer.end; // later records are read from here; pages may hold some of them already
        }
        if (answer.more && !answer.records.empty()) {
            this->after_key = answer.records.back().key;
            return true; // what the later pages hold is not known yet
        }
        this->loaded = true;
        this->confirmed_at = this->load_begin;
        this->complete_at = this->load_begin;
        return true;
    }

    /// @param deliver called with each record
    /// @return whether the answer was good
    template <class Deliver>
    bool on_read(std::uint64_t asked_epoch, const read_answer& answer, boot_time now, Deliver deliver) {
        if (asked_epoch != this->epoch) {
            return true;
        }
        this->in_flight = false;
        if (answer.outcome == read_outcome_kind::expired) {
            this->restart();
            return true;
        }
        if (answer.outcome != read_outcome_kind::records) {
            this->not_before = now + this->options.retry;
            return false;
        }
        for (const auto& record : answer.records) {
            deliver(record);
        }
        this->next = std::max(*this->next, answer.next);
        this->confirmed_at = this->asked_at;
        // The log has waited before it said that there is nothing.
        this->complete_at =
            answer.records.empty() ? std::min(now, this->asked_at + this->options.wait) : this->asked_at;
        this->not_before = now + this->options.pause;
        return true;
    }

    [[nodiscard]] bool is_loaded() const noexcept { return this->loaded; }

    /// @return when the latest good read was sent: the tail knows everything up to then
    [[nodiscard]] boot_time confirmed() const noexcept { return this->confirmed_at; }

    /// @return a time up to which the tail has every record, provided that waiting reads hear of them
    [[nodiscard]] boot_time complete_until() const noexcept { return this->complete_at; }
    [[nodiscard]] boot_time asked() const noexcept { return this->asked_at; }
    [[nodiscard]] std::int64_t position() const noexcept { return this->next.value_or(0); }
    [[nodiscard]] std::uint64_t current_epoch() const noexcept { return this->epoch; }
    [[nodiscard]] const log_tail_options& settings() const noexcept { return this->options; }

private:
    log_tail_options options;
    std::uint64_t epoch = 0; ///< counts restarts
    bool loaded = false;
    std::string after_key;
    std::optional<std::int64_t> next;
    bool in_flight = false;
    boot_time not_before{};
    boot_time asked_at{};
    boot_time load_begin{}; ///< when the first page of the newest records was asked for
    boot_time confirmed_at{};
    boot_time complete_at{};
};

} // namespace hornbeamrail
