// SPDX-License-Identifier: MIT
// Messages between valeledge's own processes. Regenerate with
// scripts/generate-wire.sh; the generated code is committed.
namespace cpp valeledge.wire

// What one process says about itself or has heard about another.
struct member_record {
  1: string id,
  2: string address,
  3: string zone,
  4: i32 roles,
  5: i64 incarnation,
  6: bool leaving,
  7: i32 health_version,
  8: i32 health,
}

// A fact that its owner repeats from time to time; the highest stamp wins.
struct soft_record {
  1: string key,
  2: i64 stamp,
  3: binary value,
}

// Value of the soft record "load/CELL".
struct cell_load {
  1: i32 queued,
  2: i32 in_flight,
  3: i32 slots,
}

// What one backend server can serve, as hashes of units; its name hashed too.
struct server_ready {
  1: i32 server,
  2: list<i32> units,
}

// Value of the soft record "ready/CELL".
struct cell_ready {
  1: list<server_ready> servers,
}

// One gossip datagram.
struct gossip_message {
  1: i32 kind,
  2: i64 sequence,
  3: member_record sender,
  4: string target,
  5: i64 table_revision,
  6: list<member_record> updates,
  7: list<soft_record> records,
  8: i64 digest,
  // A ping whose sender would be told everything, if the digests differ.
  9: bool wants_all,
}

struct grant_request {
  1: string request_id,
  2: string attempt_id,
  3: string cell,
  4: string partner,
  5: string model,
  6: i64 prefix_hash,
  7: i32 estimated_tokens,
  8: i32 priority,
  9: i64 remaining_us,
  10: list<string> avoid,
  // Set for calls that may not be repeated.
  11: optional string idempotency_key,
  12: optional string request_digest,
}

struct grant_reply {
  // 0, or a numbered result code.
  1: i32 code,
  2: string reason,
  3: i64 retry_after_us,
  4: string server,
  5: string address,
  // What an earlier submission under the same key left behind.
  6: optional string recorded_answer,
  7: optional i32 recorded_status,
  10: optional string recorded_type,
  // The cell's load at the time of the answer.
  8: optional cell_load load,
  // Set with a claim: its revision in the key-value service.
  9: optional i64 claim_revision,
}

struct attempt_end {
  1: string attempt_id,
  2: string cell,
  3: string server,
  4: i32 outcome,
  5: i32 tokens,
  6: i64 first_token_us,
  7: bool draining,
  8: string partner,
  9: bool unreachable,
}

// Ends or completes the claim of a call that may not be repeated.
struct claim_update {
  1: string service_name,
  2: string partner,
  3: string idempotency_key,
  4: string claim_id,
  5: bool release,
  6: i32 status,
  7: string answer,
  8: i64 claim_revision,
  9: string content_type,
  10: string digest,
}

struct table_row {
  1: string key,
  2: i64 revision,
  3: bool deleted,
  4: string json,
}

struct table_request {
  1: i64 since,
}

struct table_delta {
  1: i64 revision,
  2: list<table_row> rows,
}

// Tells a new owner of a cell what is in flight there.
struct in_flight_report {
  1: string cell,
  2: list<attempt_end> attempts,
}

// What a model engine says of itself, passed on to the controller.
struct server_report {
  1: string server,
  2: string incarnation,
  3: i64 version,
  4: map<string, i64> loaded,
  5: list<string> orders_done,
  6: bool down,
  7: bool leaving,
}

// Requests for one model since the last report of the cell.
struct model_demand {
  1: string model,
  2: i64 requests,
  3: i64 refused,
}

// From the scheduler that owns a cell to the controller that holds the lease.
struct cell_report {
  1: string cell,
  2: list<server_report> servers,
  3: list<model_demand> demand,
  4: i64 interval_us,
  // How long an attempt takes there, 0 if unknown.
  5: i64 mean_service_us,
}

// From a controller that sent an order and no longer holds the lease to the
// one that does: the sender is done with the order.
struct order_ended {
  1: string server,
  2: string order_id,
  // 0: no answer, 1: done, 2: refused.
  3: i32 answer,
  4: string incarnation,
  5: i64 version,
}

// What one host has under way at one backend server, named by a hash.
struct server_load {
  1: i32 server,
  2: i32 running,
  // Prompt tokens of requests that have not had their first event.
  3: i32 unread_tokens,
  // Tokens of memory that the running requests will probably take.
  4: i32 held_tokens,
  // Part of unread_tokens: prompts that are queued for the server and have not
  // been sent.
  5: optional i32 queued_tokens,
  // Running streams that have many events to come, and the prefill time of the
  // long prompts that were sent to the server, in milliseconds, with
  // exponential decay over 2 s.
  6: optional i32 long_streams,
  7: optional i32 long_prefill_ms,
}

// What callers of one host ask of one model, named by a hash.
struct model_load {
  1: i32 model,
  // In thousandths of a request a second.
  2: i32 arrival_rate,
  // Prompt tokens a second.
  3: i32 token_rate,
  4: i32 running,
  // Microseconds that a server takes to read a thousand prompt tokens.
  5: i32 reading_us,
  // Shortest objective of those who asked for it, in milliseconds.
  6: i32 objective_ms,
  // Requests that wait for the model to be loaded, their prompt tokens, and the
  // time left until the first of them can no longer be on time, in
  // milliseconds.
  7: optional i32 waiting,
  8: optional i32 waiting_tokens,
  9: optional i32 earliest_deadline_ms,
}

// Value of the soft record "load/HOST".
struct host_load {
  1: list<server_load> servers,
  2: list<model_load> models,
  // How long ago, in milliseconds, the key-value service last answered any
  // host that this one has heard of; negative if that is not known.
  3: i32 store_age_ms,
  // That answer: a number that the process which was given it drew at its
  // start, which answer to it that was, and whether it is chosen to follow the
  // service.
  4: i64 answered_process,
  5: i64 answer_count,
  6: bool answered_chosen,
}

// A model that an engine is loading.
struct coming_model {
  1: i32 model,
  // The load ends so many milliseconds after the news was written.
  2: i32 due_ms,
  // The load is planned and has not started.
  3: optional bool planned,
}

// What the holder of the lease knows of one engine before its entry says so.
struct placed_engine {
  1: i32 server,
  // Hashes of models, and of "MODEL/ADAPTER", that it holds.
  2: list<i32> held,
  // Hashes of models that it is about to give up.
  3: list<i32> withdrawn,
  4: list<coming_model> coming,
}

// Value of the soft record "placed/PART".
struct placement_news {
  1: i64 term,
  2: list<placed_engine> engines,
  // The address of the holder of the lease; absent: whoever tells it.
  3: optional string holder,
  // Whoever is told tells the others of its availability zone.
  4: optional bool hand_on,
}

// Asks the holder of the lease to have an adapter loaded somewhere.
struct adapter_request {
  1: string service_name,
  2: string model,
  3: string adapter,
  // The software version of the engine; absent: any.
  4: optional string software,
}

struct adapter_reply {
  1: i32 code,
  // The instance that holds it now.
  2: string instance,
}

// Asks a peer for its copy of what the key-value service keeps for hosts.
struct mirror_request {
  // The newest revision that the asker has.
  1: i64 since,
  // Values may come packed.
  2: optional bool takes_packed,
  // The copy may come packed as one.
  3: optional bool takes_packed_copy,
}

struct mirror_entry {
  1: string key,
  2: binary value,
  3: i64 revision,
  // Deleted keys: its owner may live, since the service was in trouble.
  4: bool lapsed,
  // The value is packed.
  5: optional bool packed,
}

struct mirror_copy {
  1: i64 revision,
  // All keys if `whole`, else those that changed after the asker's revision.
  2: list<mirror_entry> entries,
  3: bool whole,
  // Keys that were deleted after the asker's revision; empty if `whole`.
  4: list<mirror_entry> deleted,
  // Another copy, packed, in place of `entries` and `deleted`: entries of
  // backend servers are alike, and small by themselves.
  5: optional binary packed,
  // Unless `whole`: the asker's revision.
  6: optional i64 since,
  // Unless `whole`: the sender has seen every change after this revision.
  7: optional i64 complete_since,
}

// A backend server has ended while a host's request was there.
struct server_end {
  // The digest of the request.
  1: i64 request,
  // The server's name as a hash.
  2: i32 server,
  // How long before the message was written, in microseconds: a second attempt
  // may follow the end within a millisecond.
  3: i64 age_us,
  // How long before the end the request had been sent there, in microseconds.
  4: i64 took_us,
}

// Value of the soft record "ends": what a host has seen of requests under which
// servers end.
struct end_news {
  1: list<server_end> ends,
  // Digests of requests that were suspected, and have been answered whole.
  2: list<i64> cleared,
}

// A backend server has crashed while a host's request was in flight there.
struct prompt_crash_report {
  // The server's name as a hash.
  1: i32 server,
  // How long before the message was written, in microseconds.
  2: i64 age_us,
  // Ids of the shared parts of the request's prompt.
  3: list<i64> parts,
  // The server's address as a hash, which outlasts its restarts.
  4: optional i32 engine,
}

// A request with a quarantined combination of parts that may be sent, to find
// out whether its server crashes.
struct quarantine_trial {
  1: list<i64> parts,
  // The host that asks for the trial or may send it, as a hash of its name.
  2: i64 host,
}

// Value of the record "prompt_crashes": what a host knows of prompt parts under
// which servers crash.
struct prompt_quarantine_update {
  1: list<prompt_crash_report> crashes,
  // Parts that were suspected and with which a server has run a request.
  2: list<i64> cleared,
  // Combinations of parts that are quarantined.
  3: list<list<i64>> quarantined,
  // The receiver sends it on to the hosts of its availability zone.
  4: bool hand_on,
  // Combinations whose quarantine ends, since a server has run a request with
  // them or an operator has lifted it.
  5: optional list<list<i64>> lifted,
  // Trials that hosts ask for, and those that are granted.
  6: optional list<quarantine_trial> trials_wanted,
  7: optional list<quarantine_trial> trials_granted,
  // Combinations with which a trial has crashed a server.
  8: optional list<list<i64>> trials_failed,
  // The servers that crashed under these trials, in the same order.
  9: optional list<i32> trials_failed_servers,
}

// Asks for a reading of the key-value service, and tells what it found.
struct store_reading {
  // The process that asks: a number drawn at its start.
  1: i64 origin,
  // Its own clock when it asked, in microseconds; of no meaning to others.
  2: i64 asked_us,
  // The service's revision; 0 in a question.
  3: i64 revision,
}

// Asks the owner of a workspace's limit for a request.
struct limit_question {
  1: string workspace,
  // What the request counts; negative: a request that was granted has not run.
  2: double count,
  // The host that asks, and what it was given a second before.
  3: string host,
  4: double usual,
  // The request's priority, 0 being the most urgent, and how long it can wait
  // for tokens. If absent, the owner decides at once.
  5: optional i64 priority,
  6: optional i64 patience_ms,
}

struct limit_reply {
  // 0: granted, 1: beyond the limit, 2: this host does not own the limit.
  1: i32 verdict,
  2: i64 retry_after_us,
}

// What one host has observed of one run of an engine since its last report.
// Factors are those by which responses started later than expected, as natural
// logarithms in thousandths.
struct engine_observation {
  1: i32 server,
  2: i32 responses,
  3: i32 log_factor_sum,
  4: i64 log_factor_squares,
  5: i32 failures,
}

// Value of the record "engine_observations", for the owners of the estimates.
struct engine_observations {
  1: list<engine_observation> observations,
}

// The estimate of one run of an engine, from the observations of all hosts, in
// the same unit.
struct engine_estimate_report {
  1: i32 server,
  2: i32 log_factor,
  3: i32 log_spread,
  // Share of failed attempts, in thousandths.
  4: i32 failure_share,
  // Number of recent responses on which it is based.
  5: i32 weight,
}

// Value of the record "engine_estimates", for all hosts.
struct engine_estimates {
  1: list<engine_estimate_report> estimates,
  // The receiver sends it on to the hosts of its availability zone.
  2: optional bool hand_on,
}

// Asks the owner of a model's queue for an engine to send a request to.
struct engine_place_question {
  1: string service_name,
  2: string model,
  3: i64 priority,
  // Empty if the caller has none.
  4: string workspace,
  // How long the request can wait for an engine.
  5: i64 left_ms,
  6: i64 tokens_to_read,
  7: i64 tokens_to_hold,
  // Instances of engines that must not be selected.
  8: list<string> avoid,
  9: optional string adapter,
  // Longest pause between events that the request accepts; absent: the default.
  10: optional i64 event_gap_ms,
  // Chosen by the host that asks; identifies the place in engine_place_end.
  11: optional i64 number,
  // Time in which an engine reads one prompt token, as measured by that host.
  12: optional i64 token_ns,
  // The host sends the request also if it is refused.
  13: optional bool sent_anyway,
  // Time until the caller's deadline.
  14: optional i64 deadline_ms,
  // Number of events that the response is expected to have, 0 if unknown.
  // Absent: long streams and long prompts are not separated for the request.
  15: optional i64 expected_events,
  // A stream that is resumed: other requests may use more engines.
  16: optional bool resumes,
}

struct engine_place_reply {
  // 0: granted, 1: no engine in time, 2: this host does not own the queue.
  1: i32 verdict,
  2: i64 number,
  // Instance of the engine.
  3: string server,
  4: i64 retry_after_us,
}

// A granted place is not needed any more.
struct engine_place_end {
  1: string service_name,
  2: string model,
  3: i64 number,
}

// The rate limit that a backend server advertises, as one host knows it.
struct server_limit {
  // The instance.
  1: string server,
  // Requests a second from all hosts together; absent: it advertises no limit
  // any more.
  2: optional double rate,
  // How long ago the response that said so was received, in milliseconds.
  3: i64 age_ms,
}

// Asks the holder of the lease for a permit to send one request to a backend
// server that advertises a limit.
struct permit_request {
  1: server_limit limit,
  2: i64 priority,
}

struct permit_reply {
  // 0: granted, 1: refused, 2: this host does not hold the lease.
  1: i32 verdict,
  2: i64 retry_after_us,
  // What the holder knows of the limit.
  3: server_limit limit,
}

// Value of the direct record "limits": limits that the holder of the lease
// knows of.
struct limit_news {
  1: list<server_limit> limits,
  // Whoever is told tells the others of its availability zone.
  2: optional bool hand_on,
}

// Value of the direct record "full": a backend server has rejected a request,
// and fails if it has to reject more than so many a second.
struct full_server {
  1: string server,
  2: double rejections_per_second,
  // The recipient forwards the report within its availability zone.
  3: optional bool hand_on,
}

// Asks the host that deals out the places of a plain service for one.
struct place_question {
  1: string service_name,
  2: i64 priority,
  // What is left of the time within which the request is answered on time.
  3: i64 left_ms,
  // Servers that it should not get.
  4: list<string> avoid,
}

struct place_reply {
  // 0: given, 1: there is none in time, 2: this host deals out none.
  1: i32 verdict,
  2: i64 number,
  3: string server,
  4: i64 retry_after_us,
}

// A place is given back.
struct place_end {
  1: string service_name,
  2: string server,
  3: i64 number,
  // 0: not used, 1: answered, 2: failed, 3: the server was full,
  // 4: the server takes no requests.
  4: i32 how,
  5: i64 took_us,
}

// Value of the direct record "origin": which service and software version began
// a stream.
struct stream_origin {
  // The digest of the attempt that brought the first event.
  1: i64 stream,
  2: string service_name,
  3: string software,
}

// Asks a host for the origin of a stream.
struct origin_question {
  1: i64 stream,
  // The service of the stream's route; empty if there are several.
  2: string service_name,
  // In place of the above: the versions of all services are wanted.
  3: optional bool all_services,
}

struct origin_reply {
  // Absent: this host does not know it.
  1: optional stream_origin origin,
  // Versions of the service at which the stream may have begun, and whether
  // there are certainly no others.
  2: list<string> software,
  3: bool is_complete,
  // The versions of all services, if they were wanted and there are certainly
  // no others; the streams are without meaning.
  4: optional list<stream_origin> versions,
}

// Asks a host whether it reaches the backend servers of a service.
struct path_question {
  1: string service_name,
  // For how long connections of the host that asks have failed.
  2: optional i64 failing_ms,
}

struct path_reply {
  1: bool reaches,
  // The port at which it takes requests that other hosts relay.
  2: i32 relay_port,
}

struct acknowledgement {
  1: i32 code,
}

// One frame between two processes; exactly one body is set.
struct envelope {
  1: i64 call_id,
  2: bool reply,
  10: optional grant_request grant,
  11: optional grant_reply granted,
  12: optional attempt_end ended,
  13: optional claim_update claim,
  14: optional table_request table_wanted,
  15: optional table_delta table,
  16: optional in_flight_report in_flight,
  17: optional acknowledgement done,
  18: optional cell_report report,
  19: optional order_ended order_end,
  20: optional adapter_request adapter_wanted,
  21: optional adapter_reply adapter,
  22: optional mirror_request mirror_wanted,
  23: optional mirror_copy mirror,
  24: optional limit_question limit_wanted,
  25: optional limit_reply limit,
  26: optional place_question place_wanted,
  27: optional place_reply place,
  28: optional place_end place_ended,
  29: optional permit_request permit_wanted,
  30: optional permit_reply permit,
  31: optional server_limit limit_changed,
  32: optional path_question path_wanted,
  33: optional path_reply path,
  34: optional origin_question origin_wanted,
  35: optional origin_reply origin,
  36: optional engine_place_question engine_place_wanted,
  37: optional engine_place_reply engine_place,
  38: optional engine_place_end engine_place_ended,
}
