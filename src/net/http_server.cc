// SPDX-License-Identifier: MIT
#include "net/http_server.h"

#include <array>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "net/field_memory.h"
#include "net/message_reading.h"
#include "net/socket_address.h"

namespace valeledge::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using base::result_code;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Pause before accepting again when descriptors have run out.
constexpr auto kAcceptPause = std::chrono::milliseconds(20);

// What all requests of a server may hold, if nothing else is said.
constexpr std::int64_t kDefaultMemory = 64 * 1024 * 1024;

// A request is held as it was received and as it is passed on.
constexpr std::int64_t kCopiesOfRequest = 2;

// Another host may have room at once, and this one when a few requests have
// ended.
constexpr auto kMemoryRetryAfter = std::chrono::milliseconds(150);

std::string ChunkHeader(std::size_t size) {
  std::array<char, 20> text;
  const int length = snprintf(text.data(), text.size(), "%zx\r\n", size);
  return std::string(text.data(), static_cast<std::size_t>(length));
}

base::error FaultOf(const boost::system::error_code& failed) {
  base::error fault;
  if (failed == http::error::body_limit)
    fault = {result_code::kBodyTooLarge,
             base::outcome::kNotRun,
             "the body is larger than this host accepts",
             {}};
  else if (failed == http::error::header_limit ||
           failed == http::error::buffer_overflow)
    fault = {result_code::kHeadersTooLarge,
             base::outcome::kNotRun,
             "the header fields, or the framing of the body, are larger than "
             "this host accepts",
             {}};
  else if (failed == boost::system::errc::no_buffer_space)
    fault = {result_code::kMemoryFull, base::outcome::kNotRun,
             "the requests under way leave no room for this one",
             kMemoryRetryAfter};
  else if (failed == beast::error::timeout)
    fault = {result_code::kSlowSender,
             base::outcome::kNotRun,
             "the request did not arrive within the time allowed",
             {}};
  else
    fault = {result_code::kBadRequest,
             base::outcome::kNotRun,
             "not an HTTP/1.1 request: " + failed.message(),
             {}};
  return fault;
}

// True for ends of a connection that leave nobody to answer.
bool IsSilentEnd(const boost::system::error_code& failed) {
  return failed == http::error::end_of_stream ||
         failed == asio::error::connection_reset ||
         failed == asio::error::operation_aborted ||
         failed == asio::error::bad_descriptor || failed == asio::error::eof ||
         failed == asio::error::broken_pipe;
}

}  // namespace

namespace detail {

class session;

struct http_server_state {
  http_server_state(asio::io_context& context_in,
                    http_limits limits_in,
                    http_handler handler_in,
                    http_fault_renderer render_in,
                    std::shared_ptr<base::memory_budget> memory_in)
      : context(context_in),
        limits(limits_in),
        handler(std::move(handler_in)),
        render_fault(std::move(render_in)),
        memory(std::move(memory_in)) {}

  asio::io_context& context;
  http_limits limits;
  http_handler handler;
  http_fault_renderer render_fault;
  std::shared_ptr<base::memory_budget> memory;
  // Empty: none.
  std::string repeated_field;
  std::optional<asio::ip::tcp::acceptor> acceptor;
  std::set<session*> sessions;
  std::int64_t active = 0;
  bool draining = false;
};

// One connection from a caller.
class session : public std::enable_shared_from_this<session>,
                public http_responder {
 public:
  session(asio::ip::tcp::socket socket,
          std::shared_ptr<http_server_state> server)
      : stream_(std::move(socket)), server_(std::move(server)) {
    server_->sessions.insert(this);
  }

  ~session() override { server_->sessions.erase(this); }

  asio::awaitable<void> Run();
  void CloseIfIdle();

  asio::awaitable<bool> Send(http_response answer) override;
  asio::awaitable<bool> Start(http_response_header header) override;
  asio::awaitable<bool> Write(std::string_view piece) override;
  asio::awaitable<bool> Finish() override;
  void Break() override;
  bool caller_gone() const override { return gone_; }
  void OnCallerGone(std::function<void()> action) override;

 private:
  using request_parser = http::request_parser<http::string_body>;

  asio::awaitable<bool> ServeOne();
  asio::awaitable<bool> AwaitRequest();
  asio::awaitable<boost::system::error_code> Receive(request_parser& parser,
                                                     base::memory_share& share);
  asio::awaitable<void> Handle(http_request& request);
  asio::awaitable<void> Refuse(const boost::system::error_code& failed);
  asio::awaitable<void> Watch(std::uint64_t request);
  asio::awaitable<bool> WriteRaw(std::string bytes);
  void RepeatField(http_response_header& header) const;
  void NoteGone();

  beast::tcp_stream stream_;
  std::shared_ptr<http_server_state> server_;
  beast::flat_buffer buffer_;
  std::function<void()> on_gone_;
  // That of the request in the field that is repeated.
  std::string repeated_value_;
  std::uint64_t request_number_ = 0;
  bool in_handler_ = false;
  bool receiving_ = false;
  bool gone_ = false;
  bool keep_alive_ = true;
};

void session::NoteGone() {
  if (gone_)
    return;
  gone_ = true;
  if (on_gone_)
    std::exchange(on_gone_, nullptr)();
}

void session::OnCallerGone(std::function<void()> action) {
  if (gone_)
    action();
  else
    on_gone_ = std::move(action);
}

void session::CloseIfIdle() {
  if (in_handler_ || receiving_)
    return;
  boost::system::error_code ignored;
  stream_.socket().close(ignored);
}

void session::Break() {
  keep_alive_ = false;
  boost::system::error_code ignored;
  stream_.socket().close(ignored);
}

asio::awaitable<bool> session::WriteRaw(std::string bytes) {
  if (gone_)
    co_return false;
  stream_.expires_after(server_->limits.write_timeout);
  const auto [failed, written] =
      co_await asio::async_write(stream_, asio::buffer(bytes), kAwait);
  if (failed)
    NoteGone();
  co_return !failed;
}

void session::RepeatField(http_response_header& header) const {
  if (!repeated_value_.empty() &&
      header.find(server_->repeated_field) == header.end())
    header.set(server_->repeated_field, repeated_value_);
}

asio::awaitable<bool> session::Send(http_response answer) {
  if (gone_)
    co_return false;
  RepeatField(answer.base());
  answer.version(11);
  keep_alive_ = keep_alive_ && answer.keep_alive();
  answer.keep_alive(keep_alive_ && !server_->draining);
  answer.prepare_payload();
  stream_.expires_after(server_->limits.write_timeout);
  const auto [failed, written] =
      co_await http::async_write(stream_, answer, kAwait);
  if (failed)
    NoteGone();
  co_return !failed;
}

asio::awaitable<bool> session::Start(http_response_header header) {
  RepeatField(header);
  http::response<http::empty_body> answer(std::move(header));
  answer.version(11);
  answer.chunked(true);
  answer.keep_alive(keep_alive_ && !server_->draining);
  if (gone_)
    co_return false;
  stream_.expires_after(server_->limits.write_timeout);
  http::response_serializer<http::empty_body> serializer(answer);
  const auto [failed, written] =
      co_await http::async_write_header(stream_, serializer, kAwait);
  if (failed)
    NoteGone();
  co_return !failed;
}

asio::awaitable<bool> session::Write(std::string_view piece) {
  std::string bytes = ChunkHeader(piece.size());
  bytes.append(piece).append("\r\n");
  co_return co_await WriteRaw(std::move(bytes));
}

asio::awaitable<bool> session::Finish() {
  co_return co_await WriteRaw("0\r\n\r\n");
}

// Notices a caller that closes its connection while it waits for an answer.
asio::awaitable<void> session::Watch(std::uint64_t request) {
  const auto self = shared_from_this();
  const auto [failed] = co_await stream_.socket().async_wait(
      asio::ip::tcp::socket::wait_read, kAwait);
  if (failed || request != request_number_ || !in_handler_)
    co_return;
  boost::system::error_code peeked;
  std::array<char, 1> byte;
  stream_.socket().receive(asio::buffer(byte), asio::socket_base::message_peek,
                           peeked);
  if (peeked && peeked != asio::error::would_block)
    NoteGone();
}

asio::awaitable<void> session::Refuse(const boost::system::error_code& failed) {
  if (IsSilentEnd(failed))
    co_return;
  keep_alive_ = false;
  co_await Send(server_->render_fault(FaultOf(failed)));
  // What was not read would turn into a reset that hides the answer.
  boost::system::error_code ignored;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream_.expires_after(std::chrono::milliseconds(200));
  std::array<char, 4096> rest;
  for (int reads = 0; reads < 64; ++reads) {
    const auto [ended, size] =
        co_await stream_.async_read_some(asio::buffer(rest), kAwait);
    if (ended)
      break;
  }
}

// Waits for the first byte alone, so that an idle connection holds no large
// buffer and may be closed at any time.
asio::awaitable<bool> session::AwaitRequest() {
  buffer_.max_size(static_cast<std::size_t>(server_->limits.header_bytes) +
                   kFramingBytes + buffer_.size());
  receiving_ = buffer_.size() != 0;
  if (receiving_)
    co_return true;
  ShrinkIdleBuffer(buffer_);
  stream_.expires_after(server_->limits.idle_timeout);
  const auto [failed, size] =
      co_await stream_.async_read_some(buffer_.prepare(2048), kAwait);
  if (failed)
    co_return false;
  buffer_.commit(size);
  receiving_ = true;
  co_return true;
}

asio::awaitable<boost::system::error_code> session::Receive(
    request_parser& parser,
    base::memory_share& share) {
  std::int64_t header_bytes = 0;
  const auto charge = [&](std::size_t) {
    const auto held = buffer_.capacity() + parser.get().body().capacity();
    return share.Resize(static_cast<std::int64_t>(held) + header_bytes);
  };
  boost::system::error_code failed;
  while (!failed && !parser.is_done()) {
    failed = co_await ReadPart(stream_, buffer_, parser, charge);
    // A trailer adds fields at the end.
    const bool has_new_fields = header_bytes == 0 || parser.is_done();
    if (!failed && parser.is_header_done() && has_new_fields)
      header_bytes = MemoryOf(parser.get());
    if (!failed && !charge(0))
      failed = make_error_code(boost::system::errc::no_buffer_space);
  }
  if (!failed) {
    const auto body = parser.get().body().capacity();
    const std::int64_t whole = header_bytes + static_cast<std::int64_t>(body);
    if (!share.Resize(kCopiesOfRequest * whole))
      failed = make_error_code(boost::system::errc::no_buffer_space);
    share.Keep();
  }
  if (share.gave_way())
    failed = make_error_code(boost::system::errc::no_buffer_space);
  co_return failed;
}

asio::awaitable<bool> session::ServeOne() {
  if (!co_await AwaitRequest())
    co_return false;
  const auto stop_receiving = [this] {
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
  };
  base::memory_share share(server_->memory, stop_receiving);
  request_parser parser;
  parser.eager(true);
  parser.header_limit(static_cast<std::uint32_t>(server_->limits.header_bytes));
  parser.body_limit(static_cast<std::uint64_t>(server_->limits.body_bytes));
  // The stream's own timer would close the connection, and the caller would
  // not be told why.
  stream_.expires_never();
  bool too_slow = false;
  asio::steady_timer limit(server_->context, server_->limits.receive_timeout);
  limit.async_wait([&](const boost::system::error_code& cancelled) {
    if (cancelled)
      return;
    too_slow = true;
    stop_receiving();
  });
  boost::system::error_code failed = co_await Receive(parser, share);
  receiving_ = false;
  if (!server_->repeated_field.empty())
    repeated_value_ = parser.get()[server_->repeated_field];
  if (limit.cancel() == 0)
    co_await asio::post(server_->context, asio::use_awaitable);
  if (too_slow)
    failed = beast::error::timeout;
  if (failed) {
    co_await Refuse(failed);
    co_return false;
  }
  http_request request = parser.release();
  co_await Handle(request);
  if (!stream_.socket().is_open())
    co_return false;
  boost::system::error_code ignored;
  stream_.socket().cancel(ignored);
  co_return keep_alive_ && !gone_ && !server_->draining;
}

asio::awaitable<void> session::Handle(http_request& request) {
  keep_alive_ = request.keep_alive();
  stream_.expires_never();
  in_handler_ = true;
  ++request_number_;
  ++server_->active;
  asio::co_spawn(server_->context, Watch(request_number_), asio::detached);
  co_await server_->handler(request, *this);
  --server_->active;
  in_handler_ = false;
  on_gone_ = nullptr;
}

asio::awaitable<void> session::Run() {
  const auto self = shared_from_this();
  while (co_await ServeOne()) {
  }
}

}  // namespace detail

http_server::http_server(asio::io_context& context,
                         http_limits limits,
                         http_handler handler,
                         http_fault_renderer render_fault,
                         std::shared_ptr<base::memory_budget> memory)
    : state_(std::make_shared<detail::http_server_state>(
          context,
          limits,
          std::move(handler),
          std::move(render_fault),
          memory != nullptr
              ? std::move(memory)
              : std::make_shared<base::memory_budget>(kDefaultMemory))) {}

http_server::~http_server() = default;

namespace detail {

asio::awaitable<void> RefuseConnection(
    asio::ip::tcp::socket socket,
    std::shared_ptr<http_server_state> server) {
  auto one = std::make_shared<session>(std::move(socket), server);
  const base::error fault =
      base::MakeError(result_code::kTooManyConnections, base::outcome::kNotRun,
                      "this host has as many connections as it accepts");
  co_await one->Send(server->render_fault(fault));
}

asio::awaitable<void> AcceptLoop(std::shared_ptr<http_server_state> server) {
  asio::steady_timer pause(server->context);
  while (server->acceptor->is_open()) {
    auto [failed, socket] = co_await server->acceptor->async_accept(kAwait);
    if (failed == asio::error::operation_aborted)
      co_return;
    if (failed) {
      pause.expires_after(kAcceptPause);
      co_await pause.async_wait(kAwait);
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto open = static_cast<std::int64_t>(server->sessions.size());
    if (open >= server->limits.connections) {
      asio::co_spawn(server->context,
                     RefuseConnection(std::move(socket), server),
                     asio::detached);
      continue;
    }
    auto one = std::make_shared<session>(std::move(socket), server);
    asio::co_spawn(server->context, one->Run(), asio::detached);
  }
}

}  // namespace detail

base::result<base::endpoint> http_server::Start(const base::endpoint& where,
                                                bool shared) {
  auto acceptor = Listen(state_->context, where, shared);
  if (!acceptor)
    return tl::make_unexpected(acceptor.error());
  state_->acceptor.emplace(std::move(*acceptor));
  asio::co_spawn(state_->context, detail::AcceptLoop(state_), asio::detached);
  return FromTcp(state_->acceptor->local_endpoint());
}

void http_server::RepeatField(std::string_view name) {
  state_->repeated_field = name;
}

void http_server::SetLimits(http_limits limits) {
  state_->limits = limits;
}

void http_server::CloseAfterAnswers() {
  state_->draining = true;
}

void http_server::Drain() {
  state_->draining = true;
  boost::system::error_code ignored;
  if (state_->acceptor)
    state_->acceptor->close(ignored);
  const auto open = state_->sessions;
  for (detail::session* each : open)
    each->CloseIfIdle();
}

std::int64_t http_server::active_requests() const {
  return state_->active;
}

std::int64_t http_server::connections() const {
  return static_cast<std::int64_t>(state_->sessions.size());
}

http_response MakeJsonResponse(int status, std::string body) {
  http_response answer(static_cast<http::status>(status), 11);
  answer.set(http::field::content_type, "application/json");
  answer.body() = std::move(body);
  return answer;
}

}  // namespace valeledge::net
