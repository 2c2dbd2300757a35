// Messages between entry nodes. Regenerate with: thrift -r --gen cpp:no_skeleton -out gen src/protocol/peer.thrift
namespace cpp hornbeamrail.wire

// Running and queued units of one team on one service at the sending node.
struct Demand {
  1: string service_name
  2: string team_name
  3: i64 running
  4: i64 queued
  5: i64 oldest_wait_ms
}

// Offset below which a strict majority of the counted nodes of a region has folded every record.
struct RegionConfirmed {
  1: string region
  2: i64 next_offset
}

// State of the sender, with sums for which it is the aggregator.
struct Heartbeat {
  1: i64 incarnation
  2: string node_id
  3: string zone
  4: string region
  5: i64 next_offset        // the sender has folded every record below this offset
  6: i64 log_age_ms         // age of the sender's newest evidence of a log head, its own or relayed; -1: none
  7: i64 log_head           // every record accepted before that age has an offset below this one
  8: bool log_answers       // the log has answered the sender recently
  9: bool leaving
  10: list<Demand> demand   // changes of the sum over the sender's group at `level`, since the last answered request
  11: i64 vm_list_version
  12: i32 level             // level of the exchange: 0 inside a group, 1 between groups, ...
  13: bool demand_reset     // `demand` and `outside` replace everything sent before
  14: list<Demand> outside  // changes of the sum over all nodes outside the group; from the group's aggregator only
  15: list<i64> silent      // incarnations that the sender has not heard for the suspicion time
  16: list<RegionConfirmed> confirmed
}

struct FetchRecords {
  1: i64 from_offset
  2: i32 max_records
}

struct Record {
  1: i64 offset
  2: binary data
}

struct Records {
  1: list<Record> records
  2: i64 next_offset        // offset after the last record that the sender could give
  3: bool truncated         // the sender no longer holds from_offset; fetch a snapshot
}

struct FetchSnapshot {
}

struct Snapshot {
  1: i64 next_offset
  2: binary data
}

struct Claim {
  1: string request_id
  2: i64 claimant           // incarnation
  3: string team_name
  4: i64 attempt            // chosen by the claimant, different for each claim it sends
}

enum ClaimStatus {
  granted = 1
  in_progress = 2
  finished = 3
  unknown_outcome = 4
  stale_epoch = 5
  not_owner = 6
  unavailable = 7
}

struct ClaimAnswer {
  1: ClaimStatus status
  2: i64 owner_next_offset
}

// Ends a claim: the request finished, has an unknown outcome, or was not dispatched (the id is forgotten).
enum ClaimResolution {
  not_dispatched = 1
  ended = 2
  outcome_unknown = 3
}

struct ResolveClaim {
  1: string request_id
  2: i64 claimant
  3: ClaimResolution resolution
  4: i64 attempt            // of the claim that this resolves; a late duplicate must not end a newer claim
}

struct Acknowledgement {
}

union PeerRequest {
  1: Heartbeat heartbeat
  2: FetchRecords fetch_records
  3: FetchSnapshot fetch_snapshot
  4: Claim claim
  5: ResolveClaim resolve_claim
}

union PeerResponse {
  1: Heartbeat heartbeat    // the receiver's own, so that one exchange informs both sides
  2: Records records
  3: Snapshot snapshot
  4: ClaimAnswer claim
  5: Acknowledgement acknowledgement
}
