// Commands and answers of the replicated state machine, as kept in the log.
// Fields are only added, never renumbered; a record with a newer version is
// refused. Times are milliseconds.
namespace cpp crocusslip.state.wire

struct Digest {
  1: i64 high
  2: i64 low
}

struct NodeEdit {
  1: string path
  2: string toml
  3: bool removed
}

struct ChangeSettings {
  1: string change
  2: string operatorId
  3: i64 expected
  4: list<NodeEdit> edits
}

struct DecideLoad {
  1: string deployment
  2: string server
  3: i64 memory
  4: i64 capacity
  5: i32 maximumReplicas
  6: i64 timeout
  7: i8 engine
}

struct DecideUnload {
  1: string deployment
  2: string server
  3: i64 timeout
}

struct ObserveOrder {
  1: i64 order
  2: i8 outcome
}

struct AdoptReplica {
  1: string deployment
  2: string server
  3: i64 memory
  4: i8 engine
}

struct LoseReplica {
  1: string deployment
  2: string server
  3: i64 order
}

struct ForgetServer {
  1: string server
}

struct Claim {
  1: Digest key
  2: optional i64 issued
  3: Digest body
  4: string host
  5: string request
  6: i64 lifetime
}

struct StoredAnswer {
  1: i32 status
  2: string contentType
  3: binary body
  4: bool complete
}

struct RecordOutcome {
  1: Digest key
  2: string host
  3: string request
  4: i8 outcome
  5: StoredAnswer answer
}

struct SetDrain {
  1: i8 target
  2: string id
  3: bool draining
  4: string operatorId
}

struct ReportCrash {
  1: string fingerprint
  2: string deployment
  3: string server
  4: string reporter
  5: bool certain
  6: i32 limit
  7: i64 hold
}

struct ReleaseQuarantine {
  1: string fingerprint
  2: string operatorId
}

struct AdvanceTime {
  1: i64 now
}

struct PublishRoutes {
  1: i64 version
  2: binary document
}

// load: else unload. target: "MODEL" or "MODEL/ADAPTER".
struct ServerOrder {
  1: string server
  2: i64 startedAt
  3: i64 sequence
  4: bool load
  5: string target
}

struct RecordOrders {
  1: i64 now
  2: i64 lease
  3: bool complete
  4: list<ServerOrder> orders
  5: list<i64> ended
}

struct EndOrders {
  1: i64 now
  2: i64 lease
  3: bool complete
  4: list<i64> ended
}

// Exactly one of the optional fields is set, but recordOrders and endOrders
// come with an advanceTime to 0: a member of the release before, which doesn't
// know them, reads a command without effect instead of halting.
struct Command {
  1: i32 version
  2: optional ChangeSettings changeSettings
  3: optional DecideLoad decideLoad
  4: optional DecideUnload decideUnload
  5: optional ObserveOrder observeOrder
  6: optional AdoptReplica adoptReplica
  7: optional LoseReplica loseReplica
  8: optional ForgetServer forgetServer
  9: optional Claim claim
  10: optional RecordOutcome recordOutcome
  11: optional SetDrain setDrain
  12: optional ReportCrash reportCrash
  13: optional ReleaseQuarantine releaseQuarantine
  14: optional AdvanceTime advanceTime
  15: optional PublishRoutes publishRoutes
  16: optional RecordOrders recordOrders
  17: optional EndOrders endOrders
}

struct ChangeAnswer {
  1: i8 result
  2: i64 revision
  3: string winner
  4: i64 winnerRevision
  5: list<string> winnerPaths
  6: bool repeated
  7: string detail
}

struct DecisionAnswer {
  1: i8 result
  2: i64 order
}

struct ObservationAnswer {
  1: i8 result
}

struct ClaimAnswer {
  1: i8 result
  2: StoredAnswer answer
}

struct RecordAnswer {
  1: i8 result
}

struct DrainAnswer {
  1: bool changed
}

struct QuarantineAnswer {
  1: bool held
  2: i32 servers
  3: i64 heldUntil
}

struct TimeAnswer {
  1: i64 now
}

struct PublishAnswer {
  1: bool adopted
  2: i64 version
}

struct OrdersAnswer {
  1: list<i64> numbers
}

// Exactly one of the optional fields is set.
struct Answer {
  1: i32 version
  2: optional ChangeAnswer change
  3: optional DecisionAnswer decision
  4: optional ObservationAnswer observation
  5: optional ClaimAnswer claim
  6: optional RecordAnswer record
  7: optional DrainAnswer drain
  8: optional QuarantineAnswer quarantine
  9: optional TimeAnswer time
  10: optional PublishAnswer publish
  11: optional OrdersAnswer orders
}
