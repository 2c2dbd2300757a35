#include "coordination/append_queue.hpp"

#include "protocol/json_log.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds initial_retry_delay = 200ms;
constexpr std::chrono::milliseconds max_retry_delay = 5000ms;

// Minimum number of changes that the fold remembers. A record that was first sent more offsets ago may have
// taken effect and been dropped from the table of changes, so it must not be sent again.
constexpr log_offset min_remembered_changes =
    static_cast<log_offset>(change_table::segment_entries * (change_table::max_segments - 1));

} // namespace

append_queue::append_queue(const core_limits& configured_limits, std::uint64_t seed)
    : limits(configured_limits), random(seed) {}

bool append_queue::contains(std::string_view change_id) const {
    return std::any_of(this->records.begin(), this->records.end(),
                       [&](const auto& record) { return record.change_id == change_id; });
}

bool append_queue::add(const log_record& record) {
    if (this->contains(record.change_id)) {
        return true;
    }
    if (this->records.size() >= max_records) {
        return false;
    }
    this->records.push_back({.change_id = record.change_id, .bytes = encode_record(record)});
    return true;
}

void append_queue::withdraw(std::string_view change_id) {
    std::erase_if(this->records, [&](const auto& record) {
        return record.change_id == change_id && record.state == phase::waiting && record.attempts == 0;
    });
}

std::chrono::microseconds append_queue::retry_delay(int attempts) {
    const auto shift = std::min(attempts - 1, 5);
    const auto delay =
        std::min<std::chrono::microseconds>(initial_retry_delay * (1 << shift), max_retry_delay);
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count());
    return std::chrono::microseconds(jitter(this->random));
}

std::optional<append_records> append_queue::next_call(boot_time now, const fleet_state& state) {
    if (now < this->next_call_at || this->calls_in_flight >= max_calls) {
        return std::nullopt;
    }
    append_records call;
    std::size_t bytes = 0;
    for (auto& record : this->records) {
        if (record.state != phase::waiting || record.due_at > now) {
            continue;
        }
        bytes += record.bytes.size();
        if (!call.records.empty() && bytes > this->limits.append_batch_bytes) {
            break;
        }
        if (record.attempts++ == 0) {
            record.first_sent_offset = state.next_offset();
        } else {
            ++this->retry_count;
        }
        record.state = phase::in_flight;
        record.batch = this->last_batch + 1;
        call.records.push_back(record.bytes);
    }
    if (call.records.empty()) {
        return std::nullopt;
    }
    call.batch = ++this->last_batch;
    ++this->calls_in_flight;
    ++this->call_count;
    // Even spacing keeps every window of one second below the limit. A token bucket would allow bursts.
    this->next_call_at =
        now + std::chrono::microseconds(1'000'000 / this->limits.append_calls_per_second + 1);
    return call;
}

void append_queue::on_appended(std::uint64_t batch, log_offset first_offset) {
    this->calls_in_flight -= std::min<std::size_t>(this->calls_in_flight, 1);
    for (auto& record : this->records) {
        if (record.batch == batch && record.state == phase::in_flight) {
            record.state = phase::appended;
            record.offset = first_offset++;
        }
    }
}

void append_queue::on_failed(boot_time now, std::uint64_t batch) {
    this->calls_in_flight -= std::min<std::size_t>(this->calls_in_flight, 1);
    for (auto& record : this->records) {
        if (record.batch == batch && record.state == phase::in_flight) {
            record.state = phase::waiting;
            record.due_at = now + this->retry_delay(record.attempts);
        }
    }
}

void append_queue::on_log_available(boot_time now) {
    for (auto& record : this->records) {
        if (record.state == phase::waiting && record.due_at > now + initial_retry_delay) {
            record.due_at = now + this->retry_delay(1);
        }
    }
}

void append_queue::remove_settled(const fleet_state& state) {
    std::erase_if(this->records, [&](const queued_record& record) {
        if (record.attempts == 0) {
            return false;
        }
        if (state.outcome_of(record.change_id) ||
            (record.state == phase::appended && record.offset < state.next_offset())) {
            return true;
        }
        if (record.state == phase::in_flight ||
            state.next_offset() - record.first_sent_offset < min_remembered_changes) {
            return false;
        }
        ++this->unknown_outcome_count;
        write_log(severity::warning, "append_outcome_unknown", {{"change_id", record.change_id}});
        return true;
    });
}

} // namespace hornbeamrail
