// SPDX-License-Identifier: MIT
#include "host/process/limit_duty.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/duration.h"
#include "base/logging.h"
#include "host/constants.h"

namespace valeledge::host {

namespace {

namespace asio = boost::asio;
using base::log_event;
using base::result_code;
using decisions::limit_allowance;
using decisions::limit_verdict;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::string_view kCategory = "limits";

// What workspaces ask for is told so often.
constexpr milliseconds kUseTold{1000};

// An owner that is well answers within a few milliseconds.
constexpr milliseconds kOwnerTimeout{120};

// A host that started so long ago knows most of the others.
constexpr std::chrono::seconds kFresh{10};

// Who has nothing to go on with asks a second time after so long.
constexpr milliseconds kAskAgain{150};

// Where no owner can be asked, one is found within about this time.
constexpr milliseconds kNoOwnerComeBack{400};

wire::limit_reply ToReply(const decisions::limit_decision& answer) {
  wire::limit_reply reply;
  reply.verdict = static_cast<std::int32_t>(answer.verdict);
  reply.retry_after_us =
      std::chrono::duration_cast<microseconds>(answer.retry_after).count();
  return reply;
}

}  // namespace

limit_duty::limit_duty(host_core& core, limit_links links)
    : core_(core), links_(std::move(links)) {}

const catalog::workspace_limit* limit_duty::FindLimit(
    const std::string& name) const {
  if (core_.configuration == nullptr)
    return nullptr;
  const auto& workspaces = core_.configuration->workspaces;
  const auto found =
      std::ranges::find(workspaces, name, &catalog::workspace::name);
  const bool limited = found != workspaces.end() && found->limit.IsSet();
  return limited ? &found->limit : nullptr;
}

bool limit_duty::IsFresh(base::time_point now) const {
  return now - core_.started < kFresh;
}

bool limit_duty::Owns(const std::string& workspace) const {
  const auto owner = links_.owner(workspace);
  return owner && *owner == core_.settings.peer_listen;
}

void limit_duty::Roll(base::time_point now) {
  std::erase_if(accounts_, [this](const auto& each) {
    return FindLimit(each.first) == nullptr || !Owns(each.first);
  });
  if (core_.configuration == nullptr)
    return;
  TellUse(now);
  for (const catalog::workspace& each : core_.configuration->workspaces) {
    if (each.limit.IsSet() && !accounts_.contains(each.name) &&
        Owns(each.name)) {
      accounts_.emplace(each.name,
                        decisions::MakeLimiter(each.limit, IsFresh(now), now));
    }
  }
}

void limit_duty::TellUse(base::time_point now) {
  if (now - told_ < kUseTold)
    return;
  told_ = now;
  for (auto& [name, account] : accounts_) {
    const double asked = std::exchange(account.requested, 0);
    const double granted = std::exchange(account.granted, 0);
    if (asked <= 0)
      continue;
    base::Log(kCategory, log_event::kLimitSeen,
              {{"workspace", name},
               {"version", core_.configuration->version},
               {"asked", static_cast<std::int64_t>(asked)},
               {"granted", static_cast<std::int64_t>(granted)},
               {"rate", static_cast<std::int64_t>(account.bucket.rate)},
               {"left", static_cast<std::int64_t>(account.bucket.level)}});
  }
}

// Hosts that start together find each other within a second or more, and each
// takes itself for the owner of everything before.
void limit_duty::NoteNewMember(base::time_point now) {
  if (!IsFresh(now))
    return;
  for (auto& [name, account] : accounts_)
    account.owned_since = now;
}

wire::limit_reply limit_duty::Answer(const wire::limit_question& question) {
  const auto account = accounts_.find(question.workspace);
  const auto* limit = FindLimit(question.workspace);
  if (account == accounts_.end() || limit == nullptr)
    return ToReply({});
  if (question.count < 0) {
    decisions::Release(account->second, -question.count);
    return ToReply({limit_verdict::kGranted});
  }
  const auto now = std::chrono::steady_clock::now();
  decisions::limit_members members = links_.members();
  members.is_newly_started = IsFresh(now);
  return ToReply(decisions::TryAcquire(
      account->second, *limit, members,
      {question.host, question.count, question.usual}, now));
}

asio::awaitable<std::optional<wire::limit_reply>> limit_duty::AskOwner(
    wire::limit_question question) {
  const auto owner = links_.owner(question.workspace);
  if (!owner)
    co_return std::nullopt;
  if (*owner == core_.settings.peer_listen)
    co_return Answer(question);
  wire::envelope call;
  call.__set_limit_wanted(question);
  const auto reply =
      co_await links_.call(*owner, std::move(call), kOwnerTimeout);
  if (!reply)
    links_.doubt(*owner);
  if (!reply || !reply->__isset.limit)
    co_return std::nullopt;
  co_return reply->limit;
}

asio::awaitable<std::optional<wire::limit_reply>> limit_duty::AskTwice(
    wire::limit_question question) {
  auto first = co_await AskOwner(question);
  const limit_allowance& allowance = relations_[question.workspace].allowance;
  const bool owned = first && first->verdict != static_cast<std::int32_t>(
                                                    limit_verdict::kNotOwned);
  if (owned || allowance.rate > 0)
    co_return first;
  asio::steady_timer timer(core_.context, kAskAgain);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  auto second = co_await AskOwner(std::move(question));
  co_return second;
}

base::result<void> limit_duty::Judge(
    const std::string& workspace,
    double count,
    const std::optional<wire::limit_reply>& reply) {
  const auto now = std::chrono::steady_clock::now();
  relation& known = relations_[workspace];
  const auto verdict = reply ? static_cast<limit_verdict>(reply->verdict)
                             : limit_verdict::kNotOwned;
  if (verdict == limit_verdict::kGranted) {
    decisions::NoteGranted(known.allowance, count, now);
    return {};
  }
  if (verdict == limit_verdict::kExceeded) {
    decisions::NoteExceeded(known.allowance, now);
    auto beyond =
        base::MakeError(result_code::kWorkspaceLimit, base::outcome::kNotRun,
                        "the workspace asks for more than its limit");
    beyond.retry_after =
        std::chrono::ceil<milliseconds>(microseconds(reply->retry_after_us));
    return tl::make_unexpected(std::move(beyond));
  }
  std::uniform_real_distribution<double> any(0, 1);
  if (decisions::TryAcquireWithoutOwner(known.allowance, count,
                                        any(core_.random), now)) {
    core_.metrics.Counter("valeledge_limits_total", "without_owner").Add();
    return {};
  }
  auto unknown =
      base::MakeError(result_code::kNoLimitOwner, base::outcome::kNotRun,
                      "nobody can tell now what is left of the limit");
  unknown.retry_after = kNoOwnerComeBack;
  return tl::make_unexpected(std::move(unknown));
}

asio::awaitable<base::result<void>> limit_duty::Take(std::string workspace,
                                                     double count) {
  relation& known = relations_[workspace];
  const auto now = std::chrono::steady_clock::now();
  decisions::NoteRequest(known.allowance, now);
  wire::limit_question question;
  question.workspace = workspace;
  question.count = count;
  question.host = core_.settings.name;
  question.usual = decisions::TypicalRate(known.allowance, now);
  const bool waits_for_another = known.is_silent && known.is_asked;
  std::optional<wire::limit_reply> reply;
  if (!waits_for_another) {
    known.is_asked = true;
    reply = co_await AskTwice(std::move(question));
    known.is_asked = false;
    known.is_silent = !reply.has_value();
  }
  co_return Judge(workspace, count, reply);
}

void limit_duty::GiveBack(const std::string& workspace, double count) {
  wire::limit_question question;
  question.workspace = workspace;
  question.count = -count;
  asio::co_spawn(core_.context, AskOwner(std::move(question)), asio::detached);
}

}  // namespace valeledge::host
