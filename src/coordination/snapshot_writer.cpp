#include "coordination/snapshot_writer.hpp"

#include "state/snapshot.hpp"

#include <algorithm>
#include <chrono>

namespace hornbeamrail {

namespace {

// Below this many records a start from the first record is quicker than any snapshot.
constexpr log_offset fewest_records = 64;

// A snapshot needs about a second from its first append until all nodes have folded it. With this much delay
// per node fewer than two nodes write one on average.
constexpr std::chrono::milliseconds delay_per_node{1000};
constexpr std::chrono::milliseconds longest_delay{60000};

} // namespace

snapshot_writer::snapshot_writer(const core_limits& own, std::uint64_t seed) : limits(own), random(seed) {}

bool snapshot_writer::snapshot_is_due(const replica& log) const {
    const auto age = log.head() - std::max(log.state()->last_snapshot_offset(), log_offset{1});
    const auto half_span = (log.head() - log.first_kept()) / 2;
    return age > std::clamp(half_span, fewest_records, this->limits.snapshot_records);
}

std::vector<snapshot_part_record> snapshot_writer::next_parts(boot_time now, const replica& log,
                                                              std::size_t nodes,
                                                              const std::string& snapshot_id) {
    const auto newest = log.state()->last_snapshot_offset();
    if (!this->snapshot_is_due(log) || (this->write_at && newest != this->write_after)) {
        this->write_at.reset();
        return {};
    }
    if (!this->write_at) {
        const auto longest = std::min(
            longest_delay, delay_per_node * static_cast<std::int64_t>(std::max<std::size_t>(nodes, 1)));
        std::uniform_int_distribution<std::int64_t> delay(0, longest.count());
        this->write_at = now + std::chrono::milliseconds(delay(this->random));
        this->write_after = newest;
        return {};
    }
    if (now < *this->write_at) {
        return {};
    }
    // Should the parts get lost, the next delay starts only after they had time to be folded.
    this->write_at = now + longest_delay;
    ++this->write_count;
    const auto& state = log.state();
    return split_snapshot(snapshot_id, state->next_offset(), snapshot_codec::encode(*state),
                          this->limits.snapshot_part_bytes);
}

} // namespace hornbeamrail
