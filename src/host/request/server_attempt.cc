// SPDX-License-Identifier: MIT
#include "host/request/server_attempt.h"

#include <algorithm>
#include <utility>

#include "host/constants.h"
#include "host/process/prompt_history.h"
#include "host/process/separation_reports.h"

namespace valeledge::host {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Minimum number of prompt tokens ahead for the time to the first byte to be
// used as a sample of the cost per token.
constexpr std::int64_t kMinTokensForCost = 200;

// Lower bound that keeps a measured cost above zero.
constexpr milliseconds kMinTokenCost{0.002};

// Recent responses of an engine from which on its factor is known well enough
// to learn the relative cost of a model from it: the factor has 0.7 of its
// weight.
constexpr double kMinWeightForCost = 4;

}  // namespace

server_attempt::server_attempt(host_core& core,
                               const server_choice& choice,
                               const request_metadata& metadata,
                               const decisions::request_weight& weight,
                               model_demand& demand)
    : core_(core),
      server_(choice.server),
      slot_(choice.slot),
      tracked_(core.paths == nullptr ? nullptr
                                     : core.paths->Track(choice.server)),
      metadata_(metadata),
      weight_(weight),
      demand_(demand),
      expected_delay_(choice.expected),
      unscaled_delay_(choice.unscaled),
      shared_factor_(choice.shared_factor),
      separated_(choice.separated),
      is_trial_(decisions::BeginTrial(server_->notices, started_at_)) {
  weight_.prompt_tokens =
      std::max<std::int64_t>(weight.prompt_tokens - choice.cached_tokens, 0);
  ++demand_.running;
  ++server_->own.running;
  running_ = server_->Running();
  ++server_->requests_sent;
  server_->own.unread_tokens += weight_.prompt_tokens;
  server_->own.held_tokens += weight_.held_tokens;
  server_->per_token = weight_.time_per_token;
  decisions::AddPromptRead(
      server_->pace,
      weight_.time_per_token * static_cast<double>(weight_.prompt_tokens),
      started_at_);
  BeginSeparated();
  // A server that was suspended receives one request as a trial.
  if (server_->trust.last_suspension.count() != 0)
    server_->trust.probing = true;
  core_.load_changed(*server_);
  if (slot_)
    slot_->NoteSent();
  tokens_ahead_ = server_->own.unread_tokens + server_->others.unread_tokens;
}

server_attempt::~server_attempt() {
  --demand_.running;
  --server_->own.running;
  server_->own.held_tokens -= weight_.held_tokens;
  if (awaiting_first_byte_)
    server_->own.unread_tokens -= weight_.prompt_tokens;
  server_->trust.probing = false;
  EndTrial();
  EndLongStream();
  // The end of a stream is sent with the next periodic report, and at once only
  // to the owner of the server's queue.
  if (awaiting_first_byte_)
    core_.load_changed(*server_);
  else if (core_.stream_ended)
    core_.stream_ended(*server_);
}

void server_attempt::BeginSeparated() {
  if (!separated_)
    return;
  if (separated_->changed != decisions::separated_kind::kNone) {
    ++(separated_->changed == decisions::separated_kind::kLongPrompt
           ? core_.separated_prompts
           : core_.separated_streams);
    core_.metrics
        .Counter("valeledge_separated_selections_total",
                 NameOf(separated_->changed))
        .Add();
  }
  is_long_stream_ = separated_->stream_events > 0;
  if (is_long_stream_)
    ++server_->own.long_streams;
  if (separated_->prefill.count() <= 0)
    return;
  decisions::AddLongPrefill(server_->own.long_prompts, separated_->prefill,
                            started_at_);
  decisions::RecordLongPrompt(core_.servers.typical_prompt(),
                              separated_->prefill);
}

void server_attempt::EndLongStream() {
  if (std::exchange(is_long_stream_, false))
    --server_->own.long_streams;
}

void server_attempt::OnEvents(std::int64_t count) {
  if (is_long_stream_ && static_cast<double>(count + decisions::kFewEvents) >=
                             separated_->stream_events)
    EndLongStream();
}

void server_attempt::EndTrial() {
  if (std::exchange(is_trial_, false))
    decisions::EndTrial(server_->notices);
}

void server_attempt::OnInterrupt(bool may_repeat,
                                 std::function<void()> interrupt) {
  if (tracked_ == nullptr)
    return;
  tracked_->may_repeat = may_repeat;
  tracked_->interrupt = std::move(interrupt);
}

void server_attempt::OnSent() {
  if (tracked_ != nullptr)
    core_.paths->OnSent(*tracked_);
}

void server_attempt::OnData() {
  if (tracked_ != nullptr)
    core_.paths->OnReceived(*tracked_);
}

void server_attempt::OnConnectionError(const base::error& failed) {
  if (tracked_ == nullptr)
    return;
  if (failed.code == base::result_code::kBackendUnreachable)
    core_.paths->OnConnectFailed(*tracked_);
  else if (failed.connection_lost)
    core_.paths->OnBrokenOff(*tracked_);
}

void server_attempt::OnFirstByte() {
  if (!awaiting_first_byte_)
    return;
  awaiting_first_byte_ = false;
  EndTrial();
  server_->own.unread_tokens -= weight_.prompt_tokens;
  decisions::RecordAccepted(server_->room, running_);
  core_.load_changed(*server_);
  const milliseconds took = std::chrono::steady_clock::now() - started_at_;
  core_.metrics.Distribution("valeledge_first_byte_seconds")
      .Record(std::chrono::steady_clock::now() - started_at_);
  const bool engine = weight_.time_per_token.count() > 0;
  if (!engine) {
    demand_tracker::UpdateCost(demand_, took);
    decisions::RecordResponse(server_->trust, took, demand_.cost);
    return;
  }
  RecordPrompt(*server_, metadata_, std::chrono::steady_clock::now());
  decisions::RecordResponse(
      server_->trust, took,
      expected_delay_ + milliseconds(decisions::kFirstEventOverhead));
  ObserveEngine(false);
  if (shared_factor_ && decisions::WeightAt(server_->estimate,
                                            std::chrono::steady_clock::now()) >=
                            kMinWeightForCost) {
    decisions::RecordCost(
        demand_.relative_cost, took,
        (unscaled_delay_ + milliseconds(decisions::kFirstEventOverhead)) *
            *shared_factor_);
  }
  if (tokens_ahead_ >= kMinTokensForCost) {
    const milliseconds reading =
        took - milliseconds(decisions::kFirstEventOverhead);
    demand_tracker::UpdateCost(
        demand_,
        std::max(reading / static_cast<double>(tokens_ahead_), kMinTokenCost));
  }
}

void server_attempt::ObserveEngine(bool failed) {
  if (!core_.engine_observed || weight_.time_per_token.count() <= 0)
    return;
  decisions::engine_observation observation;
  // After the first byte, a failure shows nothing about the time until then.
  if (!failed || awaiting_first_byte_)
    observation.actual = std::chrono::steady_clock::now() - started_at_;
  observation.expected =
      unscaled_delay_ + milliseconds(decisions::kFirstEventOverhead);
  observation.failed = failed;
  core_.engine_observed(*server_, observation);
}

void server_attempt::EndSlot(slot_outcome how) {
  if (slot_)
    slot_->SetOutcome(how);
}

void server_attempt::OnCompleted() {
  EndSlot(slot_outcome::kResponded);
  server_->trust.failure_rate *= 0.8;
}

void server_attempt::OnFailed(bool is_definite) {
  // Other hosts must not avoid a server that only this one fails to reach.
  const bool is_usable =
      !is_definite ||
      (tracked_ != nullptr && core_.paths->IsSuspected(server_->entry.service));
  EndSlot(is_usable ? slot_outcome::kFailed : slot_outcome::kUnusable);
  // Only this host may have lost its path to the server.
  if (tracked_ == nullptr || !core_.paths->IsSuspected(server_->entry.service))
    ObserveEngine(true);
  decisions::RecordFailure(server_->trust, is_definite, started_at_,
                           std::chrono::steady_clock::now());
}

void server_attempt::OnRefused(const response_metadata& response) {
  const auto now = std::chrono::steady_clock::now();
  const bool names_other = !response.instance.empty() &&
                           response.instance != server_->entry.instance;
  const bool names_none = response.instance.empty();
  const bool is_engine = !metadata_.model.empty();
  // A plain server has no other reason to misdirect a request.
  const bool gone =
      response.misdirected && (names_other || (names_none && !is_engine));
  if (gone) {
    decisions::RecordReplaced(server_->notices, now);
    return;
  }
  if (!response.misdirected || !is_engine) {
    EndSlot(slot_outcome::kFull);
    decisions::RecordServerFull(server_->trust, now);
    decisions::RecordRejected(server_->room, running_);
    return;
  }
  // The server no longer holds the unit. Its entry does not show that yet.
  residency_override missing{false, now};
  server_->residency_overrides[KeyOf(
      AdapterUnit(metadata_.model, metadata_.adapter))] = missing;
}

}  // namespace valeledge::host
