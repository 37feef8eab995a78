// Datagrams between routers about the engines that they are homes of. Unset optional
// fields mean nothing to say.
namespace py citrondock_grants

// Asks the home of an engine for leave to send one prompt there.
struct Ask {
  1: i64 number
  2: string target
  3: string account
  4: i32 prompt_tokens
  5: i32 output_tokens
  6: list<i64> part_ids        // shared parts of the prompt, hashed, in order
  7: list<i32> part_tokens
  8: i32 on_time_left_ms       // until the first answer is late
  9: i32 wait_left_ms          // until the asker gives up
  10: string kind
}

enum Verdict {
  GRANTED = 1
  QUEUED = 2
  REFUSED = 3
}

struct Answer {
  1: i64 number
  2: Verdict verdict
  3: i32 first_answer_ms
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
}

// What an account received lately at the engines of the sender.
struct Usage {
  1: string account
  2: i32 tokens
}

struct Presence {
  1: string availability_zone
  2: bool leaving
  3: bool wants_reply
}

struct Datagram {
  1: string vm_name
  2: i64 incarnation
  3: optional list<Ask> asks
  4: optional list<Answer> answers
  5: optional list<Progress> progress
  6: optional list<Backlog> backlogs
  7: optional Presence presence
  8: optional list<Usage> usage
}
