// Messages between routers. Unset optional fields keep their defaults.
namespace py citrondock_peer

struct CounterEntry {
  1: i16 router            // index into Batch.routers
  2: i16 account           // index into Batch.accounts
  3: i64 charged_millitokens
  4: i64 refunded_millitokens
}

struct DemandEntry {
  1: i16 router
  2: i16 account
  3: i16 pool              // index into Batch.pools
  4: i32 waiting_count
  5: i64 sequence
}

struct RouterRef {
  1: string vm_name
  2: i64 incarnation
}

struct SummaryEntry {
  1: list<CounterEntry> counters
  2: list<DemandEntry> demands
}

struct GrantEntry {
  1: string grant_id
  2: string target
  3: string pool
  4: i32 slot_count
  5: i32 ttl_ms
  6: string account
}

struct ReturnEntry {
  1: string grant_id
  2: string target
  3: i32 returned_count
}

struct InFlightEntry {
  1: string target
  2: i32 in_flight_count
  3: i64 sequence
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
  1: list<RouterRef> routers
  2: list<string> accounts
  3: list<string> pools
  4: list<SummaryEntry> summaries
  5: list<GrantEntry> grants
  6: list<ReturnEntry> returns
  7: list<InFlightEntry> in_flights
  8: list<HeartbeatEntry> heartbeats
}

// The payload is a Batch in the compact protocol; the tag is an HMAC-SHA-256 of
// sender, incarnation, sequence, receiver and payload under the routers' shared key.
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
  // The answer is the receiver's incarnation.
  i64 deliver(1: Envelope envelope) throws (1: PeerRefused refused)
  ConfigurationCopy fetch_configuration(1: Envelope envelope, 2: i64 after_revision)
    throws (1: PeerRefused refused)
  ExplainAnswer explain(1: Envelope envelope, 2: string subject)
    throws (1: PeerRefused refused)
}
