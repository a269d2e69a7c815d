// SPDX-License-Identifier: MIT
#include "net/rpc_server.h"

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/frame.h"
#include "net/socket_address.h"

namespace valeledge::net {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kAcceptPause = std::chrono::milliseconds(20);

// A connection that has taken nothing for so long may never take anything.
constexpr auto kStuckAfter = std::chrono::milliseconds(1000);

}  // namespace

struct rpc_server::state
    : public std::enable_shared_from_this<rpc_server::state> {
  state(asio::io_context& context_in,
        rpc_handler handler_in,
        std::shared_ptr<base::memory_budget> memory_in)
      : context(context_in),
        handler(std::move(handler_in)),
        memory(std::move(memory_in)) {}

  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(std::shared_ptr<detail::frame_link> link);
  asio::awaitable<void> Answer(std::shared_ptr<detail::frame_link> link,
                               wire::envelope call);

  asio::io_context& context;
  rpc_handler handler;
  std::shared_ptr<base::memory_budget> memory;
  std::optional<asio::ip::tcp::acceptor> acceptor;
  std::set<std::shared_ptr<detail::frame_link>> links;
  std::int64_t sent = 0;
  std::int64_t received = 0;
};

asio::awaitable<void> rpc_server::state::Accept() {
  const auto self = shared_from_this();
  asio::steady_timer pause(context);
  while (true) {
    auto [failed, socket] = co_await acceptor->async_accept(kAwait);
    if (failed == asio::error::operation_aborted)
      co_return;
    if (failed) {
      pause.expires_after(kAcceptPause);
      co_await pause.async_wait(kAwait);
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto link = std::make_shared<detail::frame_link>(std::move(socket), memory);
    asio::co_spawn(context, Serve(link), asio::detached);
  }
}

asio::awaitable<void> rpc_server::state::Serve(
    std::shared_ptr<detail::frame_link> link) {
  const auto self = shared_from_this();
  const std::function<void()> on_part;
  links.insert(link);
  while (true) {
    const std::string bytes = co_await detail::ReadFrame(link, on_part);
    if (bytes.empty())
      break;
    received += static_cast<std::int64_t>(bytes.size());
    auto call = wire::DecodeEnvelope(bytes);
    if (!call)
      break;
    asio::co_spawn(context, Answer(link, std::move(*call)), asio::detached);
  }
  links.erase(link);
  link->Close();
}

asio::awaitable<void> rpc_server::state::Answer(
    std::shared_ptr<detail::frame_link> link,
    wire::envelope call) {
  const auto self = shared_from_this();
  const std::int64_t id = call.call_id;
  wire::envelope reply = co_await handler(std::move(call));
  const bool too_much = link->outgoing.size() > detail::kMaxQueuedBytes;
  if (id == 0 || link->broken || too_much)
    co_return;
  reply.call_id = id;
  reply.reply = true;
  const std::string bytes = wire::Encode(reply);
  sent += static_cast<std::int64_t>(bytes.size());
  const bool queued = detail::QueueFrame(*link, bytes);
  if (queued && !std::exchange(link->writer_running, true))
    asio::co_spawn(context, detail::WriteQueued(link), asio::detached);
}

rpc_server::rpc_server(asio::io_context& context,
                       rpc_handler handler,
                       std::shared_ptr<base::memory_budget> memory)
    : state_(std::make_shared<state>(context,
                                     std::move(handler),
                                     detail::FrameMemory(std::move(memory)))) {}

rpc_server::~rpc_server() {
  boost::system::error_code ignored;
  if (state_->acceptor)
    state_->acceptor->close(ignored);
}

base::result<base::endpoint> rpc_server::Start(const base::endpoint& where) {
  auto acceptor = Listen(state_->context, where, false);
  if (!acceptor)
    return tl::make_unexpected(acceptor.error());
  state_->acceptor.emplace(std::move(*acceptor));
  asio::co_spawn(state_->context, state_->Accept(), asio::detached);
  return FromTcp(state_->acceptor->local_endpoint());
}

std::int64_t rpc_server::queued_bytes() const {
  const auto now = std::chrono::steady_clock::now();
  std::size_t queued = 0;
  for (const auto& link : state_->links) {
    if (link->writer_running && now - link->sent_at < kStuckAfter)
      queued += link->outgoing.size() + link->unsent;
  }
  return static_cast<std::int64_t>(queued);
}

std::int64_t rpc_server::bytes_sent() const {
  return state_->sent;
}

std::int64_t rpc_server::bytes_received() const {
  return state_->received;
}

}  // namespace valeledge::net
