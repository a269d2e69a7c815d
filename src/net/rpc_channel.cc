// SPDX-License-Identifier: MIT
#include "net/rpc_channel.h"

#include <algorithm>
#include <list>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/frame.h"
#include "net/socket_address.h"

namespace valeledge::net {

namespace {

namespace asio = boost::asio;
using base::result_code;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// A connection that takes longer counts as failed.
constexpr auto kConnectTimeout = std::chrono::milliseconds(500);

// A connection that answers nothing for so long while it is asked has gone
// silent: nothing but a new one gets through. Replies that take as long are
// lost with it.
constexpr auto kSilentAfter = std::chrono::milliseconds(1000);

// An attempt to connect, and the calls that wait for it.
struct link_attempt {
  bool ended = false;
  std::list<asio::steady_timer*> waiting;
};

struct waiting_call {
  explicit waiting_call(asio::io_context& context) : done(context) {}

  asio::steady_timer done;
  // Whether its limit is asked for again when a part of a reply has come.
  bool follows_parts = false;
  std::optional<wire::envelope> reply;
  bool lost = false;
};

}  // namespace

struct rpc_channel_set::totals {
  std::int64_t sent = 0;
  std::int64_t received = 0;
};

struct rpc_channel_set::channel
    : public std::enable_shared_from_this<rpc_channel_set::channel> {
  channel(asio::io_context& context_in,
          base::endpoint where_in,
          std::shared_ptr<totals> totals_in,
          std::shared_ptr<base::memory_budget> memory_in)
      : context(context_in),
        where(std::move(where_in)),
        counted(std::move(totals_in)),
        memory(std::move(memory_in)) {}

  bool IsLinked() const { return link != nullptr && !link->broken; }
  // Waits at most until `until` for the connection. All calls that wait at the
  // same time share one attempt to connect, and its failure.
  asio::awaitable<bool> WaitForLink(
      std::chrono::steady_clock::time_point until);
  asio::awaitable<void> OpenLink(std::shared_ptr<link_attempt> attempt);
  asio::awaitable<void> ReadReplies(std::shared_ptr<detail::frame_link> from);
  bool Queue(const wire::envelope& call);
  void NotePart();
  void Fail();
  // A call that was sent at `sent` has had no reply.
  void NoteNoReply(std::chrono::steady_clock::time_point sent);

  asio::io_context& context;
  base::endpoint where;
  std::shared_ptr<totals> counted;
  std::shared_ptr<base::memory_budget> memory;
  // Null if none is in progress.
  std::shared_ptr<link_attempt> opening;
  std::shared_ptr<detail::frame_link> link;
  // When a reply last came, and since when calls have had none.
  std::chrono::steady_clock::time_point replied_at;
  std::optional<std::chrono::steady_clock::time_point> silent_since;
  std::int64_t next_call = 1;
  std::map<std::int64_t, std::shared_ptr<waiting_call>> waiting;
};

asio::awaitable<bool> rpc_channel_set::channel::WaitForLink(
    std::chrono::steady_clock::time_point until) {
  const auto self = shared_from_this();
  if (IsLinked())
    co_return true;
  if (opening == nullptr) {
    opening = std::make_shared<link_attempt>();
    asio::co_spawn(context, OpenLink(opening), asio::detached);
  }
  const std::shared_ptr<link_attempt> attempt = opening;
  asio::steady_timer timer(context, until);
  attempt->waiting.push_back(&timer);
  const auto place = std::prev(attempt->waiting.end());
  if (!attempt->ended)
    co_await timer.async_wait(kAwait);
  attempt->waiting.erase(place);
  co_return IsLinked();
}

asio::awaitable<void> rpc_channel_set::channel::OpenLink(
    std::shared_ptr<link_attempt> attempt) {
  const auto self = shared_from_this();
  auto fresh = std::make_shared<detail::frame_link>(
      asio::ip::tcp::socket(context), memory);
  asio::steady_timer limit(context, kConnectTimeout);
  limit.async_wait([fresh](const boost::system::error_code& cancelled) {
    boost::system::error_code ignored;
    if (!cancelled)
      fresh->socket.close(ignored);
  });
  const auto [failed] =
      co_await fresh->socket.async_connect(ToTcp(where), kAwait);
  limit.cancel();
  if (!failed && fresh->socket.is_open()) {
    boost::system::error_code ignored;
    fresh->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    link = fresh;
    silent_since.reset();
    asio::co_spawn(context, ReadReplies(fresh), asio::detached);
  }
  opening = nullptr;
  attempt->ended = true;
  for (asio::steady_timer* each : attempt->waiting)
    each->cancel();
}

asio::awaitable<void> rpc_channel_set::channel::ReadReplies(
    std::shared_ptr<detail::frame_link> from) {
  const auto self = shared_from_this();
  const std::function<void()> on_part = [this] { NotePart(); };
  while (true) {
    const std::string bytes = co_await detail::ReadFrame(from, on_part);
    if (bytes.empty())
      break;
    counted->received += static_cast<std::int64_t>(bytes.size());
    replied_at = std::chrono::steady_clock::now();
    silent_since.reset();
    auto reply = wire::DecodeEnvelope(bytes);
    if (!reply)
      break;
    const auto found = waiting.find(reply->call_id);
    if (found == waiting.end())
      continue;
    found->second->reply = std::move(*reply);
    found->second->done.cancel();
    waiting.erase(found);
  }
  from->Close();
  if (link == from)
    Fail();
}

void rpc_channel_set::channel::NotePart() {
  for (const auto& [id, call] : waiting) {
    if (call->follows_parts)
      call->done.cancel();
  }
}

void rpc_channel_set::channel::Fail() {
  link = nullptr;
  for (const auto& [id, call] : std::exchange(waiting, {})) {
    call->lost = true;
    call->done.cancel();
  }
}

void rpc_channel_set::channel::NoteNoReply(
    std::chrono::steady_clock::time_point sent) {
  if (link == nullptr)
    return;
  // A long reply that is still coming in, over a narrow link, is no silence.
  const auto heard = std::max(replied_at, link->received_at);
  if (heard > sent) {
    silent_since.reset();
    return;
  }
  if (!silent_since || *silent_since < heard)
    silent_since = sent;
  const auto silent = std::chrono::steady_clock::now() - *silent_since;
  if (silent < kSilentAfter)
    return;
  // Its reader ends with it, and tells the other calls.
  link->Close();
}

bool rpc_channel_set::channel::Queue(const wire::envelope& call) {
  if (link->outgoing.size() > detail::kMaxQueuedBytes)
    return false;
  const std::string bytes = wire::Encode(call);
  counted->sent += static_cast<std::int64_t>(bytes.size());
  if (!detail::QueueFrame(*link, bytes))
    return false;
  if (!std::exchange(link->writer_running, true))
    asio::co_spawn(context, detail::WriteQueued(link), asio::detached);
  return true;
}

rpc_channel_set::rpc_channel_set(asio::io_context& context,
                                 std::shared_ptr<base::memory_budget> memory)
    : context_(context),
      memory_(detail::FrameMemory(std::move(memory))),
      totals_(std::make_shared<totals>()) {}

rpc_channel_set::~rpc_channel_set() {
  for (const auto& [where, each] : channels_) {
    boost::system::error_code ignored;
    if (each->link != nullptr)
      each->link->socket.close(ignored);
  }
}

std::shared_ptr<rpc_channel_set::channel> rpc_channel_set::Find(
    const base::endpoint& where) {
  std::shared_ptr<channel>& found = channels_[where];
  if (found == nullptr)
    found = std::make_shared<channel>(context_, where, totals_, memory_);
  return found;
}

asio::awaitable<base::result<wire::envelope>> rpc_channel_set::Call(
    base::endpoint where,
    wire::envelope call,
    std::chrono::microseconds timeout) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  reply_limit limit = [until](const reply_progress&) { return until; };
  auto reply =
      co_await Send(std::move(where), std::move(call), false, std::move(limit));
  co_return reply;
}

asio::awaitable<base::result<wire::envelope>> rpc_channel_set::Call(
    base::endpoint where,
    wire::envelope call,
    reply_limit limit) {
  auto reply =
      co_await Send(std::move(where), std::move(call), true, std::move(limit));
  co_return reply;
}

asio::awaitable<base::result<wire::envelope>> rpc_channel_set::Send(
    base::endpoint where,
    wire::envelope call,
    bool follows_parts,
    reply_limit limit) {
  const std::shared_ptr<channel> target = Find(where);
  const auto called = std::chrono::steady_clock::now();
  const bool connected =
      co_await target->WaitForLink(limit({called, 0, called}));
  if (!connected) {
    co_return base::NotRun(result_code::kPeerUnreachable,
                           base::ToString(where) + ": no connection");
  }
  call.call_id = target->next_call++;
  call.reply = false;
  auto entry = std::make_shared<waiting_call>(context_);
  entry->follows_parts = follows_parts;
  target->waiting[call.call_id] = entry;
  if (!target->Queue(call)) {
    target->waiting.erase(call.call_id);
    co_return base::NotRun(result_code::kPeerUnreachable,
                           base::ToString(where) + ": too much waits already");
  }
  const auto sent = std::chrono::steady_clock::now();
  const std::int64_t before = target->link->received;
  while (!entry->reply && !entry->lost) {
    const detail::frame_link& link = *target->link;
    const auto until =
        limit({sent, link.received - before, std::max(link.received_at, sent)});
    if (until <= std::chrono::steady_clock::now())
      break;
    entry->done.expires_at(until);
    co_await entry->done.async_wait(kAwait);
  }
  if (entry->reply)
    co_return std::move(*entry->reply);
  target->waiting.erase(call.call_id);
  if (!entry->lost)
    target->NoteNoReply(sent);
  co_return base::Unknown(
      result_code::kPeerUnreachable,
      base::ToString(where) +
          (entry->lost ? ": connection lost" : ": no reply"));
}

void rpc_channel_set::Drop(const base::endpoint& where) {
  const auto found = channels_.find(where);
  if (found == channels_.end() || found->second->link == nullptr)
    return;
  // Its reader ends with it, and tells the calls that wait.
  found->second->link->Close();
}

void rpc_channel_set::Notify(const base::endpoint& where,
                             const wire::envelope& call) {
  auto send = [target = Find(where),
               call = wire::envelope(call)]() mutable -> asio::awaitable<void> {
    const bool connected = co_await target->WaitForLink(
        std::chrono::steady_clock::now() + kConnectTimeout);
    if (!connected)
      co_return;
    call.call_id = 0;
    target->Queue(call);
  };
  asio::co_spawn(context_, std::move(send), asio::detached);
}

std::int64_t rpc_channel_set::bytes_sent() const {
  return totals_->sent;
}

std::int64_t rpc_channel_set::bytes_received() const {
  return totals_->received;
}

}  // namespace valeledge::net
