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
#include <vector>

namespace hornbeamrail {

/// Settings of one `log_tail`.
struct log_tail_options {
    log_topic topic = log_topic::jobs;
    std::int32_t partition = 0;
    std::chrono::milliseconds wait{1000};   ///< maximum time that the log holds one read open for a record
    std::chrono::milliseconds pause{0};     ///< between an answer and the next read
    std::chrono::milliseconds timeout{900}; ///< of a read, in addition to `wait`
    std::chrono::milliseconds retry_delay{150}; ///< after a read that failed
    /// A read without an answer this long after `wait` is repeated on another connection: a connection may
    /// have fallen silent while others work.
    std::chrono::milliseconds hedge_delay{150};
    std::chrono::milliseconds newest_hedge_delay{600}; ///< the same for a page of newest records
};

/// Identifies one request of a `log_tail`.
struct tail_ticket {
    std::uint64_t number = 0;
    boot_time sent_at{};
    std::chrono::milliseconds wait{0}; ///< time for which the log may hold the request open
};

/// What an answer meant to a `log_tail`.
enum class tail_outcome {
    advanced, ///< its records were delivered
    failed,   ///< no request is outstanding any more; the next one follows after `retry_delay`
    ignored,  ///< another request was answered first, or is still outstanding, or the tail was restarted
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
        this->loaded = false;
        this->after_key.clear();
        this->next_offset.reset();
        this->outstanding.clear();
        this->not_before = {};
    }

    /// @param wait maximum time that the log holds one read open for a record
    /// @param pause time between an answer and the next read
    void set_read_timing(std::chrono::milliseconds wait, std::chrono::milliseconds pause) {
        this->options.wait = wait;
        this->options.pause = pause;
    }

    /// @return the request to send now, if any; its ticket is `latest_ticket()`
    std::optional<read_request> tick(boot_time now) {
        const bool is_due = this->outstanding.empty() ? now >= this->not_before : this->needs_hedge(now);
        if (!is_due) {
            return std::nullopt;
        }
        // A hedge does not wait, so that its answer shows at once whether the log can be reached.
        const bool may_wait = this->loaded && this->outstanding.empty();
        const auto wait = may_wait ? this->options.wait : std::chrono::milliseconds(0);
        this->outstanding.push_back({.number = ++this->requests, .sent_at = now, .wait = wait});
        if (!this->loaded) {
            const bool begins_load = this->after_key.empty() && this->outstanding.size() == 1;
            this->load_started_at = begins_load ? now : this->load_started_at;
            return newest_call{.topic = this->options.topic,
                               .partition = this->options.partition,
                               .after_key = this->after_key};
        }
        return read_call{.topic = this->options.topic,
                         .partition = this->options.partition,
                         .from = *this->next_offset,
                         .wait = wait};
    }

    /// @return the ticket of the request that `tick` returned last
    [[nodiscard]] tail_ticket latest_ticket() const {
        return this->outstanding.empty() ? tail_ticket{} : this->outstanding.back();
    }

    /// Handles the answer to a `newest_call`.
    /// @param ticket of the request
    /// @param deliver called with each record
    template <class Deliver>
    tail_outcome on_newest(const tail_ticket& ticket, const newest_answer& answer, Deliver deliver,
                           boot_time now) {
        if (const auto refused = this->settle(ticket, answer.done, now)) {
            return *refused;
        }
        for (const auto& record : answer.records) {
            deliver(record);
        }
        if (!this->next_offset) {
            // Reads continue from here. Later pages may already contain some of these records.
            this->next_offset = answer.end;
        }
        // A page that would be repeated for ever ends the load: keys that others write can be unusable for
        // the request of the next page.
        const bool advances = answer.continue_after != this->after_key || !is_read_only(this->options.topic);
        if (answer.more && !answer.continue_after.empty() && advances) {
            this->after_key = answer.continue_after;
            return tail_outcome::advanced; // keys beyond this page are not known yet
        }
        this->loaded = true;
        this->confirmed_at = this->load_started_at;
        this->complete_at = this->load_started_at;
        return tail_outcome::advanced;
    }

    /// Handles the answer to a `read_call`. Restarts when the records have expired.
    /// @param ticket of the request
    /// @param deliver called with each record
    template <class Deliver>
    tail_outcome on_read(const tail_ticket& ticket, const read_answer& answer, Deliver deliver,
                         boot_time now) {
        const bool is_usable = answer.outcome != read_outcome_kind::unavailable;
        if (const auto refused = this->settle(ticket, is_usable, now)) {
            return *refused;
        }
        if (answer.outcome == read_outcome_kind::expired) {
            this->restart();
            return tail_outcome::advanced;
        }
        for (const auto& record : answer.records) {
            deliver(record);
        }
        this->next_offset = std::max(*this->next_offset, answer.next);
        const bool stopped_early = answer.next < answer.end;
        if (stopped_early) {
            return tail_outcome::advanced; // later records exist already; the next read follows at once
        }
        this->confirmed_at = ticket.sent_at;
        // An empty answer means that no record arrived while the log held the read open.
        this->complete_at =
            answer.records.empty() ? std::min(now, ticket.sent_at + ticket.wait) : ticket.sent_at;
        this->not_before = now + this->options.pause;
        return tail_outcome::advanced;
    }

    /// @return whether the newest record of each key has been read
    [[nodiscard]] bool is_loaded() const noexcept { return this->loaded; }

    /// @return when the latest successful read was sent; the tail has every record written before
    [[nodiscard]] boot_time confirmed() const noexcept { return this->confirmed_at; }

    /// @return the time up to which the tail has every record, assuming that long polls return new records
    [[nodiscard]] boot_time complete_until() const noexcept { return this->complete_at; }
    /// @return offset of the next record to read; 0 before the first answer
    [[nodiscard]] std::int64_t position() const noexcept { return this->next_offset.value_or(0); }
    [[nodiscard]] const log_tail_options& settings() const noexcept { return this->options; }

private:
    /// @return whether the only outstanding request is overdue
    [[nodiscard]] bool needs_hedge(boot_time now) const {
        const auto& request = this->outstanding.front();
        const auto patience =
            this->loaded ? request.wait + this->options.hedge_delay : this->options.newest_hedge_delay;
        return this->outstanding.size() == 1 && this->may_hedge && now >= request.sent_at + patience;
    }

    /// Removes the request from the outstanding ones, or all of them if its answer is usable.
    /// @return the outcome of an answer that delivers nothing, or nothing if its records are to be delivered
    std::optional<tail_outcome> settle(const tail_ticket& ticket, bool is_usable, boot_time now) {
        const auto found =
            std::find_if(this->outstanding.begin(), this->outstanding.end(),
                         [&ticket](const auto& request) { return request.number == ticket.number; });
        if (found == this->outstanding.end()) {
            return tail_outcome::ignored;
        }
        this->may_hedge = is_usable; // while the log is down, one request at a time
        if (is_usable) {
            this->outstanding.clear();
            return std::nullopt;
        }
        this->outstanding.erase(found);
        if (!this->outstanding.empty()) {
            return tail_outcome::ignored;
        }
        this->not_before = now + this->options.retry_delay;
        return tail_outcome::failed;
    }

    log_tail_options options;
    std::uint64_t requests = 0;           ///< number of the latest request
    std::vector<tail_ticket> outstanding; ///< at most two: a request and its hedge
    bool may_hedge = true;                ///< the latest answer was usable
    bool loaded = false;
    std::string after_key; ///< last key of the latest page of newest records
    std::optional<std::int64_t> next_offset;
    boot_time not_before{};
    boot_time load_started_at{}; ///< when the first page of the newest records was requested
    boot_time confirmed_at{};
    boot_time complete_at{};
};

} // namespace hornbeamrail
