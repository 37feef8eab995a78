// Messages between routers over TCP. An unset optional field has its default value.
namespace py citrondock_peer

struct RouterRef {
  1: string vm_name
  2: i64 incarnation
}

// Accounts are sent as the differences between successive sorted ids. An id of 0 or
// more is a hash of the account's name; a negative id is an index into Batch.accounts
// (-1 is the first entry). Counters are whole tokens.
struct CounterColumns {
  1: i16 router            // index into Batch.routers
  2: i64 stream
  3: list<i64> accounts
  4: list<i64> charged_tokens
  5: list<i64> refunded_tokens
}

struct TotalColumns {
  1: list<i64> accounts
  2: list<i64> charged_tokens
  3: list<i64> refunded_tokens
  4: optional list<i64> lifted_tokens
  5: optional list<i64> clamped_tokens
}

struct DemandColumns {
  1: i16 pool              // index into Batch.pools
  2: list<i64> accounts
  3: list<i16> routers     // indices into Batch.routers
  4: list<i32> waiting_counts
  5: list<i64> sequences
}

struct SummaryEntry {
  3: optional list<CounterColumns> counter_columns
  4: optional TotalColumns totals
  5: optional list<DemandColumns> demand_columns
  6: optional i64 sequence
  7: optional list<i64> acknowledged
  8: optional bool wants_totals
}

struct GrantEntry {
  1: string grant_id
  2: string target
  3: string pool
  4: i32 slot_count
  5: i32 ttl_ms
  6: optional string account
}

struct ReturnEntry {
  1: string grant_id
  2: string target
  3: i32 returned_count
  4: optional bool unused
}

struct InFlightEntry {
  1: string target
  2: i32 in_flight_count
  3: i64 sequence
  4: optional i32 first_token_ms
}

struct HeartbeatEntry {
  1: string vm_name
  2: string availability_zone
  3: i64 incarnation
  4: string host
  5: i32 port
  6: bool leaving
  7: i64 configuration_revision
  8: i64 sequence
  9: optional bool gone = false
}

struct Batch {
  1: optional list<RouterRef> routers
  2: optional list<string> accounts
  3: optional list<string> pools
  4: optional list<SummaryEntry> summaries
  5: optional list<GrantEntry> grants
  6: optional list<ReturnEntry> returns
  7: optional list<InFlightEntry> in_flights
  8: optional list<HeartbeatEntry> heartbeats
}

// The payload of deliver is a Batch in the compact protocol. The tag is a truncated
// HMAC-SHA-256 of method, sender, incarnation, sequence, receiver and payload under
// the routers' shared key.
struct Envelope {
  1: string sender
  2: i64 incarnation
  3: i64 sequence
  4: string receiver
  5: binary payload
  6: binary tag
}

struct ConfigurationCopy {
  1: i64 revision
  2: binary document
}

struct ExplainAnswer {
  1: list<string> lines
}

exception PeerRefused {
  1: string reason
  2: string step
}

service PeerService {
  // Returns the incarnation of the receiver.
  i64 deliver(1: Envelope envelope) throws (1: PeerRefused refused)
  ConfigurationCopy fetch_configuration(1: Envelope envelope, 2: i64 after_revision)
    throws (1: PeerRefused refused)
  ExplainAnswer explain(1: Envelope envelope, 2: string subject)
    throws (1: PeerRefused refused)
}
