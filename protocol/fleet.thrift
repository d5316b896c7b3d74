// Messages between forwarding entry hosts and the members of the control
// group. Fields are only added, never renumbered.
namespace cpp crocusslip.wire

// What one host did with a backend server since its last call.
struct ServerUse {
  1: string server
  2: i32 inFlight        // requests of this host that run or wait there now
  3: i64 tokens          // tokens that these may need at most
  4: i32 failures
  5: i32 successes
  6: i32 unreachable     // connections that could not be made or went silent
  7: list<string> missing // models that the server said it doesn't have
  8: list<string> active  // models that run there now
  9: i64 promptTokens     // read by runs that began, since the last call
  10: i64 promptMicros    // time that these took until their first event
  11: i32 promptRuns      // number of these runs
  12: double tokensSquared // sum over them of the square of their tokens
  13: double tokensMicros  // sum over them of tokens times time
  14: i64 unreadTokens    // of prompts that are being read there now
  15: i32 rateLimitMilli  // requests in 1,000 s that its last answer allowed all hosts; 0: not limited
  16: i32 rateLimitAgeMs = -1 // since that answer; -1: no limit is concerned
  17: i32 wantedGrants    // requests that a grant is wanted for
  18: i32 loadAgeMs = -1  // since the server's last answer with its load; -1: none
  19: i32 running         // requests of all hosts that ran there then
  20: i32 queued          // requests of all hosts that waited there then
  21: i32 pacePercent     // time that work took there then against the usual; 0: not known
}

// What one host did for a tenant since its last call, in the unit of its quota.
struct TenantUse {
  1: string tenant
  2: i64 spent           // by requests that were passed on, less what was given back
  3: i64 wanted          // by requests that wait for credit
  4: i64 credit          // granted and not spent
  5: i32 refused         // requests refused for the quota
  6: i32 running         // requests in flight now
  7: i32 waiting         // requests that wait for a server now
  8: bool quota          // the fields up to 5 and those below are set
  9: i32 requests        // passed on since the last call
  10: i64 reserved       // by requests that were admitted and not passed on yet
  11: list<i64> recent   // spent in each of the last seconds, the newest first; only after a time without grants
}

// What a host may do for a tenant until its next call.
struct TenantGrant {
  1: string tenant
  2: bool metered        // only requests with credit may be passed on
  3: i64 credit          // replaces the credit that the host holds
  4: i64 fallbackMilli   // units in 1,000 s that the host may pass on without contact
  5: i32 retryAfterMs    // until a refused request can be served; 0: not known
  6: i32 sharePercent    // use of scarce servers against the tenant's fair share; 0: not known
  7: bool quota          // the fields up to 5 and those below are set
  8: i64 fallbackCreditMilli // thousandths of units that it may pass on beside fallbackMilli when it loses contact
}

struct ModelUse {
  1: string model        // MODEL or MODEL/ADAPTER
  2: i32 waiting         // requests that wait for a server with it
  3: i32 inFlight
  4: i32 arrivals        // since the last call
  5: i32 urgency         // of the most urgent that waits; 0 is first
  6: i64 tokens          // that the waiting requests need
  7: double worth        // of the waiting requests
  10: list<i32> waitingByRank // the waiting requests by their rank, 0 first; the last element counts
                              // all further ones. Only if all servers with the model name their pace
  11: i32 begun          // requests that got a place at a server since the last call
}

// Digest of a request's path and body.
struct Fingerprint {
  1: i64 high
  2: i64 low
}

// A server's connection broke while it ran this request.
struct Crash {
  // 1 was the fingerprint as text
  2: string server
  3: Fingerprint request
  4: list<i64> parts     // shared parts of its prompt, if no event had come yet
  5: i32 ageMs           // since the connection broke
}

// A request that servers may have failed from.
struct Suspect {
  1: Fingerprint request
  2: i32 servers         // that were lost
}

struct SyncRequest {
  1: string host
  2: string failureDomain
  3: i64 instance
  4: i64 epoch           // of the rows that the host holds; 0: none
  5: i64 seen            // number of the newest change that it holds
  6: i64 routesVersion
  7: list<ServerUse> uses    // of all servers in use by the host
  8: list<ModelUse> models   // of all models that wait or run
  9: list<Crash> crashes
  10: i32 waitMs         // longest time to hold the answer until a change
  11: list<Fingerprint> completed  // suspects that have run to their end
  12: bool takesCompressed  // routes may be answered in compressedRoutes
  13: list<i64> startedParts // shared parts of prompts with a first event since the last call
  14: i32 starts         // requests with prompts with a first event since then
  15: list<i64> heldParts // told by an earlier leader
  16: bool takesTable    // all rows may be answered in compressedTable
  17: list<TenantUse> tenants
  30: bool quotasComplete // tenants hold all that a new leader must know of this host
  31: i32 knownHosts     // as the last answer said; 0: not known
}

struct ServerRow {
  1: string server
  2: string address
  3: string serviceName
  4: string failureDomain
  5: i8 state            // 0 ready, 1 leaving, 2 gone
  6: i32 slots
  7: list<string> models
  8: i32 inFlight        // of all hosts
  9: i64 tokens
  10: bool suspect
  11: list<string> coming // models that are being loaded
  12: i64 memoryTokens   // 0: not known
  13: i32 speedPercent   // time for a prompt against the mean server's; 0: not known
  14: i32 tokenNanos     // time to read one token of a prompt; 0: not known
  15: i64 unreadTokens   // of prompts that other hosts' requests have there
  16: i32 rateLimitMilli // requests in 1,000 s that it takes from all hosts; 0: not limited
  17: i32 pacePercent    // time that work takes there against the usual; 0: not known
  18: i32 queued         // requests that wait there, as it said last
}

// The figures of a ServerRow that change with each request.
struct ServerLoad {
  1: string server
  2: i32 inFlight
  3: i64 tokens
  4: bool suspect
  5: i32 speedPercent
  6: i32 tokenNanos
  7: i64 unreadTokens
  8: i32 pacePercent
  9: i32 queued
}

// The rows of all servers, the same for all hosts: the load is that of all of
// them.
struct ServerTable {
  1: list<ServerRow> rows
}

// Requests that the host may send to a server with a rate limit.
struct RateGrant {
  1: string server
  2: i32 requests
}

// Requests of other hosts that wait for one model.
struct ModelLine {
  1: string model
  2: list<i32> waitingByRank
  3: i32 inFlight        // of all hosts
  4: i32 begunMilli      // requests of all hosts that begin in 1,000 s
}

struct ComingModel {
  1: string model
  2: i32 readyInMs
}

struct SyncReply {
  1: bool leader
  2: string leaderAddress
  3: i64 epoch
  4: i64 seen
  5: bool complete       // the rows replace all that the host holds
  6: list<ServerRow> rows
  7: i64 routesVersion
  8: binary routes       // when newer than the host's
  9: list<string> members
  // 10 was the quarantine as text
  11: i32 hosts          // that called within the last seconds
  12: list<ComingModel> coming
  13: list<Suspect> suspects  // all that two servers or more were lost from
  14: list<ServerLoad> loads  // of servers of which nothing else has changed
  15: binary compressedRoutes // instead of routes
  16: i32 routesBytes    // size of the routes in compressedRoutes
  17: list<i64> heldParts // requests whose prompts have one are not forwarded
  18: i64 crashEpoch     // changes with the leader, which knows suspects and heldParts; 0: epoch
  19: list<RateGrant> grants
  20: binary compressedTable // a ServerTable; rows and loads are newer
  21: i32 tableBytes     // size of the table in compressedTable
  22: list<TenantGrant> tenants // of the tenants in the host's report
  30: list<ModelLine> lines // of all models that several requests wait for
}

struct JoinRequest {
  1: string address
  2: string failureDomain
  3: string disk
  4: i32 member          // 0: none yet
}

struct JoinAnswer {
  1: bool leader
  2: string leaderAddress
  3: i32 member          // 0: not a member at present
  4: list<string> members
  5: list<i32> memberIds  // in the order of members
}

service Fleet {
  SyncReply sync(1: SyncRequest request)
  JoinAnswer join(1: JoinRequest request)
}
