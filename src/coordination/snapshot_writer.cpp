#include "coordination/snapshot_writer.hpp"

#include "state/snapshot.hpp"

#include <algorithm>
#include <chrono>

namespace hornbeamrail {

namespace {

// With fewer records, startup from the first record is faster than with any snapshot.
constexpr log_offset min_records = 64;

// It takes about one second from the first append of a snapshot until all nodes have folded it. With this
// delay per node, fewer than two nodes write a snapshot on average.
constexpr std::chrono::milliseconds delay_per_node{1000};
constexpr std::chrono::milliseconds max_delay{60000};

} // namespace

snapshot_writer::snapshot_writer(const core_limits& configured_limits, std::uint64_t seed)
    : limits(configured_limits), random(seed) {}

bool snapshot_writer::snapshot_is_due(const replica& log) const {
    const auto records_since_snapshot =
        log.head() - std::max(log.state()->last_snapshot_offset(), log_offset{1});
    const auto half_span = (log.head() - log.first_retained()) / 2;
    return records_since_snapshot > std::clamp(half_span, min_records, this->limits.snapshot_records);
}

std::vector<snapshot_part_record> snapshot_writer::next_parts(boot_time now, const replica& log,
                                                              std::size_t nodes,
                                                              const std::string& snapshot_id) {
    const auto newest = log.state()->last_snapshot_offset();
    if (!this->snapshot_is_due(log) || (this->write_at && newest != this->newest_when_scheduled)) {
        this->write_at.reset();
        return {};
    }
    if (!this->write_at) {
        const auto max_node_delay =
            std::min(max_delay, delay_per_node * static_cast<std::int64_t>(std::max<std::size_t>(nodes, 1)));
        std::uniform_int_distribution<std::int64_t> delay(0, max_node_delay.count());
        this->write_at = now + std::chrono::milliseconds(delay(this->random));
        this->newest_when_scheduled = newest;
        return {};
    }
    if (now < *this->write_at) {
        return {};
    }
    // If the parts are lost, this node writes another snapshot, but only after they have had time to be
    // folded.
    this->write_at = now + max_delay;
    ++this->write_count;
    const auto& state = log.state();
    return split_snapshot(snapshot_id, state->next_offset(), snapshot_codec::encode(*state),
                          this->limits.snapshot_part_bytes);
}

} // namespace hornbeamrail
