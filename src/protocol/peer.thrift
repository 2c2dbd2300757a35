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

// State of one node as another node last heard it; relayed by aggregators.
struct Heartbeat {
  1: i64 incarnation
  2: string node_id
  3: string zone
  4: string region
  5: i64 next_offset        // the sender has folded every record below this offset
  6: i64 log_age_ms         // age of the newest log read that reached the head, its own or relayed; -1: none
  7: i64 log_head           // next offset to be written as of that read
  8: bool log_answers       // the sender's own last log read succeeded
  9: bool leaving
  10: list<Demand> demand
  11: i64 vm_list_version
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
