// UDP datagrams between routers. Each engine has one home router, which grants the
// requests of all routers for that engine. An unset optional field means that the
// sender has nothing of the kind to report.
namespace py citrondock_grants

// Requests a grant from the home of an engine to send one prompt there.
struct Ask {
  1: i64 number                // identifies the request within the incarnation
  2: string target
  3: string account
  4: i32 prompt_tokens
  5: i32 output_tokens
  6: list<i64> part_ids        // hashes of the shared parts of the prompt, in order
  7: list<i32> part_tokens
  8: i32 on_time_left_ms       // time until the first answer is late
  9: i32 wait_left_ms          // time until the requesting router gives up
  10: string kind
  11: optional bool continues_stream // the client has part of it; unset for a new one
}

enum Verdict {
  GRANTED = 1
  QUEUED = 2
  REFUSED = 3
}

enum RefusalReason {
  ACCOUNT_QUEUE_FULL = 1
  WAITED_OUT = 2
  LIMIT_REACHED = 3
  TARGET_GONE = 4
}

// Answers are sent along with the backlog of the engine that they are about. A grant is
// sent again to confirm it; a router that does not use it reports it as withdrawn.
struct Answer {
  1: i64 number
  2: Verdict verdict
  3: i32 first_answer_ms
  4: optional RefusalReason refusal_reason // unset by earlier versions
  5: optional i32 account_tokens // recent usage of the account; unset for a grant
}

enum Stage {
  STARTED = 1
  ENDED = 2
  FAILED = 3
  WITHDRAWN = 4
}

struct Progress {
  1: i64 number
  2: string target
  3: Stage stage
}

struct Backlog {
  1: string target
  2: i32 backlog_ms
  3: i32 speed_percent
  // Time to the first token of an empty prompt; routers of before don't state it.
  4: optional i32 base_ms
  // Age of a report that the sender passes on.
  5: optional i32 age_ms
}

// Recent usage of an account at some engines.
struct Usage {
  1: string account
  2: i32 tokens
}

// Announces the sender; a leaving router is no longer the home of any engine.
struct Presence {
  1: string availability_zone
  2: bool leaving
  3: bool wants_reply
  4: optional bool overloaded  // short of processor time; unset by earlier versions
}

// An engine that crashed, and the hashes of the prompt parts that may have caused it.
struct Crash {
  1: string target
  2: string address
  3: list<i64> suspected_parts
}

// State of a prompt part that was withheld from engines; withheld if generation is odd.
struct PartState {
  1: i64 part_id
  2: i32 generation
  3: i32 evidence_age_ms
}

// Requests that a target takes from all routers together; 0 if it names no limit.
struct TargetLimit {
  1: string target
  2: i32 requests_per_1000_s
  3: i32 age_ms
}

// An incarnation of a target that is leaving or gone.
struct Departure {
  1: string target
  2: i64 started_at_ms         // Unix time; 0 if unknown
  3: i64 registry_revision     // 0 if the target itself said so
  4: i32 age_ms
  5: optional i64 registry_era // of registry_revision; unset by earlier versions
}

// How far the sender has followed the objects of one kind in the store.
struct StoreView {
  1: string kind
  2: i64 changed_revision      // of the last change of an object of the kind
  3: bool lost                 // whether the store does not answer the sender
  4: optional i64 era          // of changed_revision; unset by earlier versions
}

// Changes of objects of one kind in the store, which a watcher passes on.
struct StoreChanges {
  1: string kind
  2: i64 era
  3: i64 after_revision
  4: i64 revision
  5: binary objects
}

struct Datagram {
  1: string vm_name
  2: i64 incarnation
  3: optional list<Ask> asks
  4: optional list<Answer> answers
  5: optional list<Progress> progress
  6: optional list<Backlog> backlogs
  7: optional Presence presence
  8: optional list<Usage> usage // at the engines that the sender is the home of
  9: optional list<Crash> crashes
  10: optional list<PartState> part_states
  11: optional list<TargetLimit> limits
  12: optional list<Departure> departures
  13: optional list<StoreView> store_views
  // Backlogs of other engines that the sender knows of.
  14: optional list<Backlog> known_backlogs
  15: optional list<StoreChanges> store_changes
  16: optional list<Usage> zone_usage  // at the engines homed in the sender's zone
  17: optional list<Usage> fleet_usage // at all engines
}
