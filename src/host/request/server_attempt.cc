// SPDX-License-Identifier: MIT
#include "host/request/server_attempt.h"

#include <algorithm>

#include "host/constants.h"

namespace valeledge::host {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// Only requests with so many tokens to read tell how long reading takes.
constexpr std::int64_t kTellingTokens = 200;

// What one token takes at the least; keeps a measured cost above zero.
constexpr milliseconds kLeastPerToken{0.002};

}  // namespace

server_attempt::server_attempt(host_core& core,
                               const server_choice& choice,
                               const request_head& head,
                               const decisions::request_weight& weight,
                               model_demand& demand)
    : core_(core),
      server_(choice.server),
      place_(choice.place),
      head_(head),
      weight_(weight),
      demand_(demand),
      expected_(choice.expected) {
  weight_.prompt_tokens =
      std::max<std::int64_t>(weight.prompt_tokens - choice.kept_tokens, 0);
  ++demand_.running;
  ++server_->own.running;
  server_->own.unread_tokens += weight_.prompt_tokens;
  server_->own.held_tokens += weight_.held_tokens;
  server_->per_token = weight_.time_per_token;
  decisions::AddReading(
      server_->pace,
      weight_.time_per_token * static_cast<double>(weight_.prompt_tokens),
      begun_);
  // A server that was suspended gets one request as a trial.
  if (server_->trust.last_suspension.count() != 0)
    server_->trust.probing = true;
  core_.load_changed(*server_);
  if (place_)
    place_->NoteSent();
  tokens_ahead_ = server_->own.unread_tokens + server_->others.unread_tokens;
}

server_attempt::~server_attempt() {
  --demand_.running;
  --server_->own.running;
  server_->own.held_tokens -= weight_.held_tokens;
  if (unread_)
    server_->own.unread_tokens -= weight_.prompt_tokens;
  server_->trust.probing = false;
  // The end of a stream can wait for the next report.
  if (unread_)
    core_.load_changed(*server_);
}

void server_attempt::FirstByte() {
  if (!unread_)
    return;
  unread_ = false;
  server_->own.unread_tokens -= weight_.prompt_tokens;
  core_.load_changed(*server_);
  const milliseconds took = std::chrono::steady_clock::now() - begun_;
  core_.metrics.Distribution("valeledge_first_byte_seconds")
      .Record(std::chrono::steady_clock::now() - begun_);
  const bool engine = weight_.time_per_token.count() > 0;
  if (!engine) {
    demand_meter::LearnCost(demand_, took);
    decisions::RecordResponse(server_->trust, took, demand_.cost);
    return;
  }
  server_registry::RememberPrompt(*server_, head_,
                                  std::chrono::steady_clock::now());
  decisions::RecordResponse(server_->trust, took,
                            expected_ + milliseconds(kFirstSteps));
  if (tokens_ahead_ >= kTellingTokens) {
    const milliseconds reading = took - milliseconds(kFirstSteps);
    demand_meter::LearnCost(
        demand_,
        std::max(reading / static_cast<double>(tokens_ahead_), kLeastPerToken));
  }
}

void server_attempt::EndPlace(place_end_kind how) {
  if (place_)
    place_->NoteEnd(how);
}

void server_attempt::Answered() {
  EndPlace(place_end_kind::kAnswered);
  server_->trust.failure_rate *= 0.8;
}

void server_attempt::Failed(bool certain) {
  EndPlace(certain ? place_end_kind::kUnusable : place_end_kind::kFailed);
  decisions::RecordFailure(server_->trust, certain,
                           std::chrono::steady_clock::now());
}

void server_attempt::Refused(const answer_head& answer) {
  const auto now = std::chrono::steady_clock::now();
  if (!answer.misdirected) {
    EndPlace(place_end_kind::kFull);
    decisions::RecordServerFull(server_->trust, now);
    return;
  }
  const bool gone =
      head_.model.empty() ||
      (!answer.instance.empty() && answer.instance != server_->entry.instance);
  if (gone) {
    server_->leaving = true;
    return;
  }
  // It no longer holds what was asked for; its entry will say so soon.
  holding_fact missing{false, now};
  server_->facts[KeyOf(AdapterUnit(head_.model, head_.adapter))] = missing;
}

}  // namespace valeledge::host
