// Messages between crocusslip's own processes. Fields are only added, never
// renumbered; a reader skips fields that it does not know.
namespace cpp crocusslip.wire

// ---- group members ----

struct RaftEntry {
  1: i64 term
  2: i64 index
  3: i8 kind
  4: binary payload
}

struct RaftMessage {
  1: i32 version
  2: string cluster
  3: i32 group
  4: i32 sender
  5: i32 receiver
  6: i8 kind
  7: i64 term
  8: i64 index
  9: i64 logTerm
  10: i64 commit
  11: bool reject
  12: i64 hint
  13: i64 round
  14: list<RaftEntry> entries
  15: bool transfer
}

struct SnapshotChunk {
  1: i32 version
  2: string cluster
  3: i32 group
  4: i32 sender
  5: i64 term
  6: i64 index
  7: i64 logTerm
  8: i64 offset
  9: i64 total
  10: binary data
  11: binary members
  12: i64 checksum
}

service Member {
  oneway void raft(1: list<RaftMessage> messages)
  // Answered at once; shows that the connection still works, which raft can't.
  void ping()
  bool installSnapshot(1: SnapshotChunk chunk)
}

// ---- entry hosts and control members ----

// The state of one followed deployment at the sender.
struct Demand {
  1: string deployment
  2: optional i32 waiting
  3: optional i64 earliestDeadlineMs  // milliseconds from now
  4: optional i32 inFlight
  // 5 was the number of arrivals since the last report, before version 2
  6: optional i64 arrivals    // all arrivals up to now; never decreases
  7: optional i64 counted     // arrivals that a leader has confirmed; in the
                              // first report after a full exchange
}

struct ServerSign {
  1: string server
  2: i32 connectFailures
  3: i32 failures
  4: i32 leavingAnswers
  5: i32 successes
  6: i64 number               // of the poll that named it first
}

struct PollRequest {
  1: i32 version
  2: string cluster
  3: string host
  4: string failureDomain
  5: i64 settingsRevision
  // 6 was the version of the view, before version 2
  7: list<Demand> demands     // those that differ from the base
  8: list<ServerSign> signs
  9: bool draining
  10: i64 instance            // changes at each start of the process
  11: i64 settingsFloor       // of the last page, while pages are read
  12: i32 waitMs              // longest time to hold the answer until a change
  13: i64 number              // grows with each poll and urgent demand
  14: i64 base                // number of the poll that was answered last, whose
                              // state both sides hold; 0: this poll is complete
  15: list<string> unfollowed // deployments of the base no longer followed
}

struct SettingsNode {
  1: string path
  2: string toml
  3: bool removed
}

struct ReplicaView {
  1: string deployment
  2: string server
  3: i8 phase
  4: i64 readyAtMs            // milliseconds from now; 0 when loaded
}

struct ServerView {
  1: string server
  2: optional i8 state        // 0 live, 1 leaving, 2 gone; when it changed
  3: optional i32 running
  4: optional i32 queued
  5: optional i64 reportAgeMs // present with a load report
}

struct QuarantineView {
  1: string fingerprint
  2: i32 crashes
}

struct PollReply {
  1: bool leader
  2: string leaderAddress
  3: i64 leaseMs              // 0: no lease granted
  4: i64 settingsRevision
  5: bool settingsComplete    // nodes replace all that the host knew
  6: list<SettingsNode> nodes
  // 7 was the version of the view, before version 2
  8: bool viewComplete        // the view replaces all that the host knew
  9: list<ReplicaView> replicas // all of each deployment that is named
  10: list<ServerView> servers
  11: list<QuarantineView> quarantine // all, when quarantineChanged
  12: bool settingsMore       // further pages follow at once
  13: i64 settingsFloor
  14: bool drainHost          // the host itself was drained by an operator
  15: i32 version
  16: bool resync             // the base is not known: send a complete poll
  17: list<string> withoutReplicas // deployments that have no replica any more
  18: bool quarantineChanged
}

struct ClaimRequest {
  1: string deployment
  2: string caller
  3: string key
  4: binary bodyDigest
  5: string host
  6: i64 deadlineMs
  7: string request
}

struct ClaimAnswer {
  1: i8 result
  2: i32 status
  3: string contentType
  4: binary body
  5: bool complete            // false: the stored body was too large to keep
}

struct OutcomeRecord {
  1: string deployment
  2: string caller
  3: string key
  4: i8 outcome               // 0 not sent, 1 answered, 2 unknown
  5: i32 status
  6: string contentType
  7: binary body
  8: string host
  9: string request
}

struct CrashReport {
  1: string deployment
  2: string fingerprint
  3: string server
  4: string host
  5: bool certain             // the request ran alone on the server
}

struct LeaderAnswer {
  1: bool leader
  2: string leaderAddress
}

struct ClaimAnswers {
  1: bool leader
  2: string leaderAddress
  3: list<ClaimAnswer> answers
}

service Control {
  PollReply poll(1: PollRequest request)
  LeaderAnswer demand(1: string host, 2: list<Demand> demands, 3: i64 instance, 4: i64 number)
  ClaimAnswers claim(1: list<ClaimRequest> claims)
  LeaderAnswer record(1: list<OutcomeRecord> outcomes)
  LeaderAnswer reportCrash(1: list<CrashReport> reports)
}
