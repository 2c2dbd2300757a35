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

/// A record that could not be decoded. The fold skips its offset.
struct undecodable_record {
    log_offset offset = 0;
    std::string reason;
};

/// Fold of the log on one node, built from log reads, records of peers and snapshots.
///
/// The fold only advances: a snapshot or record below `next_offset()` has no effect. When the log no longer
/// holds the next record, the replica scans the log from its first record for a snapshot and continues from
/// there. Not thread-safe.
class replica {
public:
    explicit replica(const core_limits& configured_limits);

    /// Folds the entries of a log read.
    void add_log_read(const log_read& read);

    /// Folds records received from a peer.
    /// @return whether the peer no longer holds the next record of this fold
    bool add_peer_records(const wire::Records& records);

    /// Installs a snapshot of a peer if it is newer than this fold.
    /// @return whether it was installed; false also for a snapshot that cannot be decoded
    bool add_peer_snapshot(const wire::Snapshot& snapshot);

    /// @return the published fold, an immutable object
    [[nodiscard]] const std::shared_ptr<const fleet_state>& state() const noexcept { return this->published; }
    [[nodiscard]] log_offset next_offset() const noexcept { return this->published->next_offset(); }

    /// @return the offset from which the next log read must start
    [[nodiscard]] log_offset read_offset() const noexcept;

    /// @return the first offset that the log retains, as far as this node knows
    [[nodiscard]] log_offset first_retained() const noexcept { return this->first_offset; }

    /// @return the highest head of the log in any read
    [[nodiscard]] log_offset head() const noexcept { return this->highest_head; }

    /// @return whether the log no longer holds the next record and no snapshot was found yet
    [[nodiscard]] bool is_searching_snapshot() const noexcept { return this->searching; }

    /// @return records of the bounded tail for a peer, starting at @p from. `truncated` is set when the tail
    /// no longer holds that record.
    [[nodiscard]] wire::Records records_from(log_offset from, std::int32_t max_records) const;

    /// @return an encoded snapshot for a peer. It may be older than the fold, but only by records that the
    /// tail still holds.
    wire::Snapshot snapshot();

    /// Drops the cached snapshot to free memory. It is needed only while nodes start.
    void drop_cached_snapshot() { this->cached_snapshot = {}; }

    /// @return the newest records that could not be decoded
    [[nodiscard]] const std::deque<undecodable_record>& undecodable() const noexcept {
        return this->undecodable_records;
    }

    /// @return the number of log reads and peer responses that left out the next record of the fold
    [[nodiscard]] std::int64_t gaps() const noexcept { return this->gap_count; }

    /// @return the number of snapshots in the log that could not be decoded
    [[nodiscard]] std::int64_t damaged_snapshots() const noexcept {
        return this->assembler.damaged_snapshots();
    }

private:
    /// Folds one entry; an entry below the fold has no effect.
    /// @return false when records before @p entry are missing
    bool fold_entry(const log_entry& entry);

    /// Collects an entry while searching for a snapshot, and installs a snapshot that it completes.
    void collect_entry(const log_entry& entry);

    /// Ends the search once a snapshot connects to the log, and folds the collected records.
    void fold_collected();

    /// Replaces the fold by a newer state.
    void install(fleet_state state);

    /// @param record decoded form of @p entry, or null when it could not be decoded
    void append_to_tail(const log_entry& entry, const log_record* record);

    /// Publishes a copy of the fold if it has advanced.
    void publish();

    core_limits limits;
    fleet_state current;
    std::shared_ptr<const fleet_state> published;
    log_offset first_offset = 1;
    log_offset highest_head = 1;

    bool searching = false;
    std::deque<log_entry> collected; ///< consecutive records read while searching for a snapshot
    snapshot_assembler assembler;

    std::deque<log_entry> tail; ///< the newest folded records, consecutive up to `current.next_offset()`
    std::size_t tail_bytes = 0;
    wire::Snapshot cached_snapshot;

    std::deque<undecodable_record> undecodable_records;
    std::int64_t gap_count = 0;
};

} // namespace hornbeamrail
