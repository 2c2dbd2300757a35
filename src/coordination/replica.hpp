#pragma once

#include "coordination/core_options.hpp"
#include "peer_types.h"
#include "protocol/platform.hpp"
#include "state/fleet_state.hpp"
#include "state/snapshot.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace hornbeamrail {

/// A record that could not be decoded. Its offset is folded as a skip.
struct undecodable_record {
    log_offset offset = 0;
    std::string reason;
};

/// Fold of the log on one node, fed by log reads, by records of peers and by snapshots.
///
/// Never goes back: a snapshot or record below `next_offset()` has no effect. When the log no longer holds
/// the next record, the replica scans the log from its first record on for a snapshot and goes on from there.
class replica {
public:
    explicit replica(const core_limits& limits);

    /// Folds what a log read returned.
    void add_log_read(const log_read& read);

    /// Folds records that a peer holds.
    /// @return whether the peer no longer holds the record that is next here
    bool add_peer_records(const wire::Records& records);

    /// Installs a peer's snapshot if it is newer than the fold here.
    /// @return whether it was installed
    bool add_peer_snapshot(const wire::Snapshot& snapshot);

    /// @return the published fold
    [[nodiscard]] const std::shared_ptr<const fleet_state>& state() const noexcept { return this->published; }
    [[nodiscard]] log_offset next_offset() const noexcept { return this->published->next_offset(); }

    /// @return the offset that the next log read has to start from
    [[nodiscard]] log_offset read_offset() const noexcept;

    /// @return the lowest offset that the log was seen to hold, and the highest head seen
    [[nodiscard]] log_offset first_kept() const noexcept { return this->first; }
    [[nodiscard]] log_offset head() const noexcept { return this->highest_head; }

    /// @return whether the log no longer holds the next record and no snapshot was found yet
    [[nodiscard]] bool searching_snapshot() const noexcept { return this->searching; }

    /// @return records from @p from on out of the bounded tail, for a peer
    [[nodiscard]] wire::Records records_from(log_offset from, std::int32_t max_records) const;

    /// @return an encoded snapshot for a peer. It may be older than the fold by records that the tail holds.
    wire::Snapshot snapshot();

    /// Drops the cached snapshot, which is only needed while nodes start.
    void drop_cached_snapshot() { this->cached_snapshot = {}; }

    [[nodiscard]] const std::deque<undecodable_record>& undecodable() const noexcept {
        return this->set_aside;
    }
    [[nodiscard]] std::int64_t gaps() const noexcept { return this->gap_count; }
    [[nodiscard]] std::int64_t damaged_snapshots() const noexcept {
        return this->assembler.damaged_snapshots();
    }

private:
    /// @return false when @p entry does not follow the fold
    bool fold_entry(const log_entry& entry);
    void collect_entry(const log_entry& entry);
    void fold_collected();
    void install(fleet_state state);
    void keep(const log_entry& entry, const log_record* record);
    void publish();

    core_limits limits;
    fleet_state current;
    std::shared_ptr<const fleet_state> published;
    log_offset first = 1;
    log_offset highest_head = 1;

    bool searching = false;
    std::deque<log_entry> collected; ///< consecutive records of a log whose snapshot was not found yet
    snapshot_assembler assembler;

    std::deque<log_entry> tail; ///< the last folded records, consecutive up to `current.next_offset()`
    std::size_t tail_bytes = 0;
    wire::Snapshot cached_snapshot;

    std::deque<undecodable_record> set_aside;
    std::int64_t gap_count = 0;
};

} // namespace hornbeamrail
