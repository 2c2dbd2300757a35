#include "coordination/replica.hpp"

#include "protocol/json_log.hpp"

#include <algorithm>

namespace hornbeamrail {

namespace {

constexpr std::size_t max_undecodable_records = 16;

// Maximum number of records that a starting node has to fold after a cached snapshot of a peer.
constexpr log_offset max_cached_snapshot_lag = 512;

// A response with records must fit into a frame of 4 MiB.
constexpr std::size_t max_response_bytes = 1UL << 20U;

bool may_be_snapshot_part(std::string_view bytes) {
    return bytes.find("\"snapshot_part\"") != std::string_view::npos;
}

} // namespace

replica::replica(const core_limits& configured_limits)
    : limits(configured_limits), published(std::make_shared<const fleet_state>(this->current)) {}

log_offset replica::read_offset() const noexcept {
    if (!this->searching) {
        return this->current.next_offset();
    }
    return this->collected.empty() ? this->first_offset : this->collected.back().offset + 1;
}

void replica::add_log_read(const log_read& read) {
    this->first_offset = std::max(this->first_offset, read.first);
    this->highest_head = std::max(this->highest_head, read.head);
    if (this->first_offset > this->current.next_offset()) {
        this->searching = true;
    }
    for (const auto& entry : read.entries) {
        if (this->searching) {
            this->collect_entry(entry);
        } else if (!this->fold_entry(entry)) {
            ++this->gap_count;
            break; // The next read starts at the missing record.
        }
    }
    this->publish();
}

void replica::collect_entry(const log_entry& entry) {
    if (!this->collected.empty() && entry.offset <= this->collected.back().offset) {
        return;
    }
    if (!this->collected.empty() && entry.offset != this->collected.back().offset + 1) {
        this->collected.clear(); // The log was truncated beyond the records collected so far.
    }
    this->collected.push_back(entry);
    if (!may_be_snapshot_part(entry.data)) {
        return;
    }
    error failure;
    const auto record = value_or_error([&] { return decode_record(entry.data); }, failure);
    const auto* part = record ? std::get_if<snapshot_part_record>(&record->body) : nullptr;
    if (part == nullptr) {
        return;
    }
    auto state = this->assembler.add(*part);
    if (state && state->next_offset() >= this->collected.front().offset) {
        this->install(std::move(*state));
    }
}

void replica::install(fleet_state state) {
    if (state.next_offset() <= this->current.next_offset()) {
        return;
    }
    this->current = std::move(state);
    this->tail.clear();
    this->tail_bytes = 0;
    this->cached_snapshot = {};
    this->fold_collected();
}

void replica::fold_collected() {
    if (!this->searching || this->current.next_offset() < this->first_offset) {
        return;
    }
    // Records between the fold and the first collected record may be missing. In this case the log is read
    // again from the next offset of the fold.
    for (const auto& entry : this->collected) {
        if (!this->fold_entry(entry)) {
            break;
        }
    }
    this->searching = false;
    this->collected.clear();
    this->assembler.clear();
}

bool replica::fold_entry(const log_entry& entry) {
    if (entry.offset < this->current.next_offset()) {
        return true;
    }
    if (entry.offset > this->current.next_offset()) {
        return false;
    }
    error failure;
    const auto record = value_or_error([&] { return decode_record(entry.data); }, failure);
    if (record) {
        this->current.apply(entry.offset, *record);
    } else {
        this->current.skip(entry.offset);
        this->undecodable_records.push_back({.offset = entry.offset, .reason = failure.message});
        if (this->undecodable_records.size() > max_undecodable_records) {
            this->undecodable_records.pop_front();
        }
        write_log(severity::warning, "record_set_aside",
                  {{"offset", entry.offset}, {"reason", failure.message}, {"remedy", failure.remedy}});
    }
    this->append_to_tail(entry, record ? &*record : nullptr);
    return true;
}

void replica::append_to_tail(const log_entry& entry, const log_record* record) {
    const auto* part = record == nullptr ? nullptr : std::get_if<snapshot_part_record>(&record->body);
    if (part == nullptr) {
        this->tail.push_back(entry);
    } else {
        // The fold does not use the data of snapshot parts, and keeping it would let one snapshot evict the
        // whole tail.
        auto header = *part;
        header.data.clear();
        this->tail.push_back({.offset = entry.offset,
                              .data = encode_record({.change_id = record->change_id, .body = header})});
    }
    this->tail_bytes += this->tail.back().data.size();
    while (!this->tail.empty() &&
           (this->tail.size() > this->limits.tail_records || this->tail_bytes > this->limits.tail_bytes)) {
        this->tail_bytes -= this->tail.front().data.size();
        this->tail.pop_front();
    }
}

bool replica::add_peer_records(const wire::Records& records) {
    for (const auto& record : records.records) {
        if (!this->fold_entry({.offset = record.offset, .data = record.data})) {
            ++this->gap_count;
            break;
        }
    }
    this->fold_collected();
    this->publish();
    return records.truncated;
}

bool replica::add_peer_snapshot(const wire::Snapshot& snapshot) {
    if (snapshot.next_offset <= this->current.next_offset()) {
        return false;
    }
    error failure;
    auto state = value_or_error([&] { return snapshot_codec::decode(snapshot.data); }, failure);
    if (!state) {
        write_log(severity::warning, "peer_snapshot_damaged", {{"reason", failure.message}});
        return false;
    }
    if (state->next_offset() <= this->current.next_offset()) {
        return false;
    }
    this->install(std::move(*state));
    this->publish();
    return true;
}

void replica::publish() {
    if (this->current.next_offset() != this->published->next_offset()) {
        this->published = std::make_shared<const fleet_state>(this->current);
    }
}

wire::Records replica::records_from(log_offset from, std::int32_t max_records) const {
    wire::Records answer;
    answer.next_offset = from;
    const auto tail_first = this->current.next_offset() - static_cast<log_offset>(this->tail.size());
    if (from >= this->current.next_offset()) {
        return answer;
    }
    if (from < tail_first) {
        answer.truncated = true;
        return answer;
    }
    std::size_t bytes = 0;
    for (auto index = static_cast<std::size_t>(from - tail_first);
         index < this->tail.size() && static_cast<std::int32_t>(answer.records.size()) < max_records &&
         bytes < max_response_bytes;
         ++index) {
        wire::Record record;
        record.offset = this->tail[index].offset;
        record.data = this->tail[index].data;
        bytes += record.data.size();
        answer.next_offset = record.offset + 1;
        answer.records.push_back(std::move(record));
    }
    return answer;
}

wire::Snapshot replica::snapshot() {
    // Many nodes may start at once. A cached snapshot is sufficient while the tail holds the records after
    // it.
    const auto behind = this->next_offset() - this->cached_snapshot.next_offset;
    if (this->cached_snapshot.data.empty() || this->cached_snapshot.next_offset <= 1 ||
        behind > std::min(static_cast<log_offset>(this->tail.size()), max_cached_snapshot_lag)) {
        this->cached_snapshot.next_offset = this->next_offset();
        this->cached_snapshot.data = snapshot_codec::encode(*this->published);
    }
    return this->cached_snapshot;
}

} // namespace hornbeamrail
