// SPDX-License-Identifier: MIT
#include "host/request/relay.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "base/logging.h"
#include "host/constants.h"
#include "host/request/event_splitter.h"
#include "host/request/final_answers.h"
#include "host/request/server_visit.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using base::log_event;
using base::log_weight;
using base::result_code;
using catalog::route_kind;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// How one attempt ended.
enum class attempt_end {
  // The caller has its whole answer, or is gone.
  kDone,
  // The server certainly did not run it.
  kNotRun,
  // It may have run, and the caller has no complete answer.
  kUnknown,
};

std::int64_t Since(base::time_point begun) {
  return duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun)
      .count();
}

class relay {
 public:
  relay(host_core& core,
        net::http_request& request,
        net::http_responder& responder)
      : core_(core), request_(request), responder_(responder) {}

  asio::awaitable<void> Run();

 private:
  bool FindRoute();
  void ReadHead();
  server_wish Wish() const;
  // Until when the request may be refused cheaply, and held for a better
  // server.
  base::time_point RefuseAt() const;
  base::time_point HoldUntil() const;
  milliseconds Left() const;
  bool ShouldWait(const server_choice& choice) const;
  bool ShouldRefuse(const server_choice& choice) const;
  milliseconds ComeBack() const;
  asio::awaitable<base::result<server_choice>> Place();
  asio::awaitable<base::result<void>> WantAdapter();

  asio::awaitable<attempt_end> Attempt(const server_choice& choice);
  asio::awaitable<attempt_end> TakeWhole(net::http_exchange& exchange,
                                         server_visit& visit);
  asio::awaitable<attempt_end> TakeStream(net::http_exchange& exchange,
                                          server_visit& visit);
  asio::awaitable<bool> PassEvents(event_splitter& events,
                                   const net::http_response_header& head,
                                   server_visit& visit);
  asio::awaitable<bool> StartAnswer(const net::http_response_header& head);
  bool MayGoOn(attempt_end end);
  asio::awaitable<void> Fail(base::error failed);
  void NoteEnd(const server_choice& choice);
  void NotePause();

  host_core& core_;
  net::http_request& request_;
  net::http_responder& responder_;
  std::shared_ptr<const catalog::configuration> configuration_;
  const catalog::route* route_ = nullptr;
  const catalog::service* service_ = nullptr;
  request_head head_;
  decisions::request_weight weight_;
  model_demand* demand_ = nullptr;
  base::time_point arrived_ = std::chrono::steady_clock::now();
  base::time_point deadline_;
  std::vector<std::string> avoid_;
  std::shared_ptr<net::open_guard> guard_;
  int sends_ = 0;
  std::int64_t runs_ = 0;
  // The head has gone to the caller.
  bool started_ = false;
  std::string last_event_;
  // When the last event went to the caller, the first, and the widest pause.
  base::time_point event_at_;
  milliseconds first_event_{0};
  milliseconds widest_pause_{0};
  // A server's own failure, kept for the case that no other attempt follows.
  std::optional<net::http_response> failure_;
  base::error last_error_;
};

bool relay::FindRoute() {
  const std::string_view target(request_.target().data(),
                                request_.target().size());
  const std::string_view path = target.substr(0, target.find('?'));
  const auto authority = request_[http::field::host];
  route_ = configuration_->FindRoute(
      std::string_view(authority.data(), authority.size()), path);
  if (route_ == nullptr || route_->services.empty())
    return false;
  double total = 0;
  for (const auto& each : route_->services)
    total += each.weight;
  std::uniform_real_distribution<double> any(0, total);
  double at = any(core_.random);
  const catalog::weighted_service* chosen = &route_->services.back();
  for (const auto& each : route_->services) {
    at -= each.weight;
    if (at < 0) {
      chosen = &each;
      break;
    }
  }
  service_ = configuration_->FindService(chosen->service);
  return service_ != nullptr;
}

void relay::ReadHead() {
  head_ = core_.speech.read_request(request_);
  milliseconds allowed = route_->timeout;
  if (head_.deadline)
    allowed = std::min(allowed, *head_.deadline);
  deadline_ = arrived_ + allowed;
  last_event_ = head_.resume_after;
  const bool of_model = !head_.model.empty();
  demand_ = of_model ? &core_.demand.At(head_.model, kReadingGuess)
                     : &core_.demand.At(service_->name, kServiceGuess);
  ++demand_->arrivals;
  demand_->tokens += head_.prompt_tokens;
  if (of_model) {
    weight_.prompt_tokens = head_.prompt_tokens;
    weight_.held_tokens = head_.prompt_tokens + head_.expected_tokens;
    weight_.per_token = demand_->cost;
  } else {
    weight_.service_time = demand_->cost;
  }
}

server_wish relay::Wish() const {
  server_wish wish;
  wish.service = service_->name;
  wish.model = head_.model;
  wish.adapter = head_.adapter;
  wish.head = &head_;
  wish.weight = weight_;
  wish.avoid = &avoid_;
  return wish;
}

milliseconds relay::Left() const {
  return duration_cast<milliseconds>(deadline_ -
                                     std::chrono::steady_clock::now());
}

base::time_point relay::RefuseAt() const {
  const auto patience =
      duration_cast<milliseconds>(route_->objective * kRefuseWithin);
  return std::min(arrived_ + patience, deadline_);
}

base::time_point relay::HoldUntil() const {
  const auto patience =
      duration_cast<milliseconds>(route_->objective * kHoldWithin);
  return std::min(arrived_ + patience, deadline_);
}

asio::awaitable<base::result<void>> relay::WantAdapter() {
  const auto patience = std::min(
      Left(), std::max(duration_cast<milliseconds>(
                           RefuseAt() - std::chrono::steady_clock::now()),
                       milliseconds(0)));
  if (patience.count() <= 0) {
    co_return base::NotRun(result_code::kNoBackendServer,
                           "no backend server holds the adapter yet");
  }
  const auto holder = co_await core_.want_adapter(service_->name, head_.model,
                                                  head_.adapter, patience);
  if (!holder)
    co_return tl::make_unexpected(holder.error());
  const auto server = core_.servers.Find(*holder);
  if (server != nullptr) {
    holding_fact fact{true, std::chrono::steady_clock::now()};
    server->facts[KeyOf(AdapterUnit(head_.model, head_.adapter))] = fact;
  }
  co_return base::result<void>();
}

// Whether a server with less to read should be waited for, so that streams
// which run there do not pause for too long.
bool relay::ShouldWait(const server_choice& choice) const {
  if (head_.model.empty())
    return false;
  const milliseconds gap =
      route_->event_gap.count() > 0 ? route_->event_gap : kUsualEventGap;
  return choice.reading_ahead > gap * kReadingAheadPart;
}

// Whether the request would come too late where it would go, so that coming
// back serves its caller better. One that has come back already is served
// late rather than refused again: its deadline is shorter than others'.
bool relay::ShouldRefuse(const server_choice& choice) const {
  if (head_.model.empty() || started_ || runs_ > 0)
    return false;
  const bool came_back =
      head_.deadline && *head_.deadline < route_->timeout * kFirstTimePart;
  const auto waited = std::chrono::steady_clock::now() - arrived_;
  return !came_back && choice.expected + waited > route_->objective;
}

// When a refused caller should come back: spread, so that those who are
// refused together do not come together.
milliseconds relay::ComeBack() const {
  const auto most = duration_cast<milliseconds>(Left() * kComeBackWithin);
  std::uniform_real_distribution<double> any(0.5, 1.5);
  const auto spread =
      duration_cast<milliseconds>(kUsualComeBack * any(core_.random));
  return std::min(spread, most);
}

asio::awaitable<base::result<server_choice>> relay::Place() {
  asio::steady_timer pause(core_.context);
  base::error reason =
      base::MakeError(result_code::kNoBackendServer, base::outcome::kNotRun,
                      "no backend server takes requests for this now");
  while (!responder_.caller_gone()) {
    const auto now = std::chrono::steady_clock::now();
    const server_wish wish = Wish();
    auto choice = core_.servers.Choose(wish, *service_, now, core_.random);
    const bool late = now >= (choice ? HoldUntil() : RefuseAt());
    if (choice && late && ShouldRefuse(*choice)) {
      reason = base::MakeError(result_code::kOverloaded, base::outcome::kNotRun,
                               "all backend servers for this are busy");
      break;
    }
    if (choice && (late || !ShouldWait(*choice)))
      co_return std::move(*choice);
    if (late)
      break;
    if (!choice && !core_.servers.AnyHolds(wish, now)) {
      if (head_.adapter.empty())
        break;
      const auto placed = co_await WantAdapter();
      if (!placed)
        reason.message = placed.error().message;
      if (placed)
        continue;
    }
    pause.expires_after(kChoicePause);
    co_await pause.async_wait(kAwait);
  }
  reason.retry_after = ComeBack();
  co_return tl::make_unexpected(reason);
}

asio::awaitable<bool> relay::StartAnswer(
    const net::http_response_header& head) {
  started_ = true;
  const bool sent = co_await responder_.Start(ForwardableHead(head));
  co_return sent;
}

asio::awaitable<attempt_end> relay::TakeWhole(net::http_exchange& exchange,
                                              server_visit& visit) {
  net::http_response answer(exchange.header());
  while (true) {
    const auto left = Left();
    if (left.count() <= 0)
      co_return attempt_end::kUnknown;
    const auto piece = co_await exchange.ReadSome(left);
    if (!piece) {
      last_error_ = piece.error();
      visit.Failed(false);
      co_return attempt_end::kUnknown;
    }
    if (piece->empty())
      break;
    answer.body().append(*piece);
    if (answer.body().size() > net::kMaxAnswerBytes) {
      last_error_ = base::MakeError(result_code::kAnswerBroken,
                                    base::outcome::kUnknown, "too large");
      co_return attempt_end::kUnknown;
    }
  }
  visit.FirstByte();
  net::http_response_header passed = ForwardableHead(answer.base());
  net::http_response whole(std::move(passed));
  whole.body() = std::move(answer.body());
  const bool failed = whole.result_int() >= 500;
  if (failed)
    visit.Failed(false);
  else
    visit.Answered();
  if (failed && route_->MayRepeat()) {
    last_error_ = base::MakeError(
        result_code::kOutcomeUnknown, base::outcome::kUnknown,
        "the backend server answered " + std::to_string(whole.result_int()));
    failure_ = std::move(whole);
    co_return attempt_end::kUnknown;
  }
  co_await responder_.Send(std::move(whole));
  co_return attempt_end::kDone;
}

// Passes on all whole events; false if the caller is gone or the stream is
// not in order.
asio::awaitable<bool> relay::PassEvents(event_splitter& events,
                                        const net::http_response_header& head,
                                        server_visit& visit) {
  std::string batch;
  while (const auto event = events.Next()) {
    const auto id = core_.speech.read_event_id(*event);
    if (id) {
      // A server that goes on elsewhere may repeat what the caller has.
      const std::string text = std::to_string(*id);
      if (!last_event_.empty() && *id <= std::atoll(last_event_.c_str()))
        continue;
      last_event_ = text;
    }
    batch.append(*event);
  }
  if (batch.empty())
    co_return true;
  visit.FirstByte();
  NotePause();
  if (!started_) {
    const bool begun = co_await StartAnswer(head);
    if (!begun)
      co_return false;
  }
  const bool sent = co_await responder_.Write(batch);
  co_return sent;
}

asio::awaitable<attempt_end> relay::TakeStream(net::http_exchange& exchange,
                                               server_visit& visit) {
  event_splitter events;
  while (true) {
    const auto left = Left();
    if (left.count() <= 0)
      co_return attempt_end::kUnknown;
    const auto piece = co_await exchange.ReadSome(left);
    if (responder_.caller_gone()) {
      exchange.Abandon();
      co_return attempt_end::kDone;
    }
    if (!piece) {
      last_error_ = piece.error();
      visit.Failed(false);
      co_return attempt_end::kUnknown;
    }
    if (piece->empty())
      break;
    events.Append(*piece);
    const bool passed = co_await PassEvents(events, exchange.header(), visit);
    if (!passed || events.IsOverlong()) {
      exchange.Abandon();
      co_return attempt_end::kDone;
    }
  }
  if (!events.Rest().empty()) {
    // A stream that ends within an event is not whole.
    last_error_ =
        base::MakeError(result_code::kAnswerBroken, base::outcome::kUnknown,
                        "the stream ended within an event");
    visit.Failed(false);
    co_return attempt_end::kUnknown;
  }
  visit.Answered();
  if (!started_)
    co_await StartAnswer(exchange.header());
  co_await responder_.Finish();
  co_return attempt_end::kDone;
}

asio::awaitable<attempt_end> relay::Attempt(const server_choice& choice) {
  known_server& server = *choice.server;
  auto forwarded = ForwardableRequest(request_);
  attempt_head added;
  added.deadline = std::max(Left(), milliseconds(1));
  added.instance = server.entry.instance;
  added.priority = route_->priority;
  const bool goes_on = started_ || !head_.resume_after.empty();
  if (goes_on)
    added.resume_after = last_event_;
  core_.speech.write_attempt(forwarded, added);
  milliseconds silence = Left();
  if (route_->MayRepeat() && runs_ + 1 < route_->attempts) {
    const auto part =
        duration_cast<milliseconds>(route_->objective * kSilentPart);
    silence = std::min({silence, part, kLongestSilence});
  }
  server_visit visit(core_, choice, head_, weight_, *demand_);
  ++sends_;
  core_.log.Write(
      log_weight::kOrdinary, log_event::kAttemptSent, head_.id,
      {{"request", head_.id},
       {"route", route_->name},
       {"unit", AdapterUnit(head_.model, head_.adapter)},
       {"version", configuration_->version},
       {"server", server.entry.instance},
       {"attempt", sends_},
       {"resumes_after", added.resume_after},
       {"expected_ms", static_cast<std::int64_t>(choice.expected.count())},
       {"reading_ahead_ms",
        static_cast<std::int64_t>(choice.reading_ahead.count())},
       {"running", server.own.running + server.others.running},
       {"after_ms", Since(arrived_)},
       {"left_ms", static_cast<std::int64_t>(added.deadline.count())}});
  auto opened =
      co_await core_.http.Open(server.entry.address, std::move(forwarded),
                               std::min(Left(), kConnectTimeout), silence,
                               net::connection_use::kPooled, guard_.get());
  if (responder_.caller_gone())
    co_return attempt_end::kDone;
  if (!opened) {
    last_error_ = opened.error();
    const bool not_run = last_error_.what_ran == base::outcome::kNotRun;
    visit.Failed(not_run || Left().count() > 0);
    core_.log.Write(log_weight::kTrouble, log_event::kAttemptFailed, head_.id,
                    {{"request", head_.id},
                     {"server", server.entry.instance},
                     {"attempt", sends_},
                     {"not_run", std::int64_t{not_run}},
                     {"reason", last_error_.message}});
    co_return not_run ? attempt_end::kNotRun : attempt_end::kUnknown;
  }
  net::http_exchange& exchange = **opened;
  responder_.OnCallerGone([weak = std::weak_ptr<net::http_exchange>(*opened)] {
    if (const auto open = weak.lock())
      open->Abandon();
  });
  const answer_head answer = core_.speech.read_answer(exchange.header());
  const bool foreign =
      !answer.request_id.empty() && answer.request_id != head_.id;
  if (foreign ||
      (!answer.is_signed && !answer.not_run && !answer.misdirected)) {
    exchange.Abandon();
    visit.Failed(false);
    last_error_ =
        base::MakeError(result_code::kAnswerBroken, base::outcome::kUnknown,
                        "an answer that is not this request's");
    co_return attempt_end::kUnknown;
  }
  if (answer.not_run || answer.misdirected) {
    visit.Refused(answer);
    last_error_ =
        base::MakeError(result_code::kBackendRefused, base::outcome::kNotRun,
                        "the backend server answered " +
                            std::to_string(exchange.header().result_int()));
    // The refusal's own body is read so that its connection can be kept.
    while (true) {
      const auto piece = co_await exchange.ReadSome(kConnectTimeout);
      if (!piece || piece->empty())
        break;
    }
    co_return attempt_end::kNotRun;
  }
  const bool streams = route_->kind == route_kind::kStream &&
                       exchange.header().result_int() == 200;
  if (streams) {
    const attempt_end end = co_await TakeStream(exchange, visit);
    co_return end;
  }
  const attempt_end end = co_await TakeWhole(exchange, visit);
  co_return end;
}

// Whether another attempt may follow one that ended so.
bool relay::MayGoOn(attempt_end end) {
  if (sends_ >= kMostSends || Left().count() <= 0)
    return false;
  if (end == attempt_end::kUnknown) {
    ++runs_;
    if (!route_->MayRepeat() || runs_ >= route_->attempts)
      return false;
  }
  // What never reached a server is no second send there.
  if (last_error_.code == result_code::kBackendUnreachable)
    return true;
  return TakeRepeat(core_, service_->name);
}

void relay::NotePause() {
  const auto now = std::chrono::steady_clock::now();
  if (!started_) {
    first_event_ = duration_cast<milliseconds>(now - arrived_);
  } else {
    widest_pause_ =
        std::max(widest_pause_, duration_cast<milliseconds>(now - event_at_));
  }
  event_at_ = now;
}

void relay::NoteEnd(const server_choice& choice) {
  const bool left = responder_.caller_gone();
  core_.metrics.Distribution("valeledge_request_seconds")
      .Record(std::chrono::steady_clock::now() - arrived_);
  core_.metrics
      .Counter("valeledge_requests_total", left ? "caller_left" : "answered")
      .Add();
  core_.log.Write(log_weight::kOrdinary,
                  left ? log_event::kCallerLeft : log_event::kRequestServed,
                  head_.id,
                  {{"request", head_.id},
                   {"server", choice.server->entry.instance},
                   {"sends", sends_},
                   {"unit", AdapterUnit(head_.model, head_.adapter)},
                   {"last_event", last_event_},
                   {"first_event_ms", first_event_.count()},
                   {"widest_pause_ms", widest_pause_.count()},
                   {"after_ms", Since(arrived_)}});
}

asio::awaitable<void> relay::Fail(base::error failed) {
  if (responder_.caller_gone())
    co_return;
  core_.metrics.CountRefusal(failed.code);
  core_.metrics.Counter("valeledge_requests_total", "failed").Add();
  core_.log.Write(
      log_weight::kTrouble, log_event::kRequestRefused, head_.id,
      {{"request", head_.id},
       {"route", route_ == nullptr ? std::string() : route_->name},
       {"unit", AdapterUnit(head_.model, head_.adapter)},
       {"version", configuration_ == nullptr ? 0 : configuration_->version},
       {"code", static_cast<std::int64_t>(failed.code)},
       {"outcome", std::string(base::ToString(failed.what_ran))},
       {"sends", sends_},
       {"started", std::int64_t{started_}},
       {"after_ms", Since(arrived_)},
       {"reason", failed.message}});
  if (started_) {
    responder_.Break();
    co_return;
  }
  if (failure_ && failed.what_ran != base::outcome::kNotRun) {
    co_await responder_.Send(std::move(*failure_));
    co_return;
  }
  co_await responder_.Send(RenderFailure(failed));
}

asio::awaitable<void> relay::Run() {
  configuration_ = core_.configuration;
  if (configuration_ == nullptr) {
    auto early =
        base::MakeError(result_code::kNoBackendServer, base::outcome::kNotRun,
                        "no configuration is known here yet");
    early.retry_after = kUsualComeBack;
    co_await Fail(std::move(early));
    co_return;
  }
  if (!FindRoute()) {
    co_await Fail(base::MakeError(result_code::kUnknownPath,
                                  base::outcome::kNotRun,
                                  "no route has this host and path"));
    co_return;
  }
  ReadHead();
  decisions::NoteRequest(core_.retries[service_->name], arrived_);
  guard_ = std::make_shared<net::open_guard>();
  responder_.OnCallerGone([guard = guard_] { guard->Cancel(); });
  const bool stopping =
      core_.refuses_streams && route_->kind == route_kind::kStream;
  if (stopping) {
    auto leaving =
        base::MakeError(result_code::kLeaving, base::outcome::kNotRun,
                        "this host is about to stop");
    leaving.retry_after = milliseconds(0);
    co_await Fail(std::move(leaving));
    co_return;
  }
  bool ran = false;
  while (true) {
    const auto choice = co_await Place();
    if (!choice) {
      // Nothing was found for another attempt: what the last one left counts.
      base::error failed = ran ? last_error_ : choice.error();
      if (ran)
        failed.what_ran = base::outcome::kUnknown;
      co_await Fail(std::move(failed));
      co_return;
    }
    const attempt_end end = co_await Attempt(*choice);
    if (end == attempt_end::kDone || responder_.caller_gone()) {
      NoteEnd(*choice);
      co_return;
    }
    ran = ran || end == attempt_end::kUnknown;
    if (!MayGoOn(end))
      break;
    core_.metrics.CountRetry(last_error_.code);
    avoid_.push_back(choice->server->entry.instance);
    responder_.OnCallerGone([guard = guard_] { guard->Cancel(); });
  }
  base::error failed = last_error_;
  if (!ran) {
    failed = base::MakeError(
        result_code::kOverloaded, base::outcome::kNotRun,
        "no backend server took the request: " + last_error_.message);
    failed.retry_after = kShortComeBack;
  } else if (Left().count() <= 0) {
    failed =
        base::MakeError(result_code::kDeadlinePassed, base::outcome::kUnknown,
                        "no whole answer within the time allowed");
  } else if (failed.what_ran == base::outcome::kNotRun) {
    failed = base::MakeError(result_code::kOutcomeUnknown,
                             base::outcome::kUnknown, last_error_.message);
  }
  co_await Fail(std::move(failed));
}

}  // namespace

bool TakeRepeat(host_core& core, const std::string& service) {
  decisions::retry_limits limits;
  limits.ratio = core.settings.retry_ratio;
  limits.slack = static_cast<double>(core.settings.retry_slack);
  limits.window = core.settings.retry_window;
  limits.hosts = core.hosts;
  return decisions::TakeRepeat(core.retries[service], limits,
                               std::chrono::steady_clock::now());
}

asio::awaitable<void> RelayRequest(host_core& core,
                                   net::http_request& request,
                                   net::http_responder& responder) {
  relay one(core, request, responder);
  co_await one.Run();
}

}  // namespace valeledge::host
