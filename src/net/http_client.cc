// SPDX-License-Identifier: MIT
#include "net/http_client.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "net/field_memory.h"
#include "net/message_head.h"
#include "net/message_reading.h"
#include "net/response_pairing.h"
#include "net/socket_address.h"

namespace valeledge::net {

namespace detail {

// Largest header of a response.
constexpr std::uint32_t kAnswerHeaderBytes = 64 * 1024;

struct connection {
  explicit connection(boost::asio::io_context& context) : stream(context) {}

  boost::beast::tcp_stream stream;
  // Bounded, for a message whose parts do not end.
  boost::beast::flat_buffer buffer{kAnswerHeaderBytes + kFramingBytes};
  // Among the connections of its client.
  std::int64_t number = 0;
  carried_requests carried;
  // Idle connections are not used from here on.
  std::chrono::steady_clock::time_point stale_at;
};

}  // namespace detail

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using base::result_code;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// A connection without a Keep-Alive field is not used after so long: servers
// commonly close idle ones after 5 seconds.
constexpr auto kIdleTimeout = std::chrono::seconds(4);

// A connection is given up so much before the time its server states, since
// the two clocks start apart.
constexpr auto kIdleMargin = std::chrono::milliseconds(1200);

// Idle connections kept for one endpoint.
constexpr std::size_t kIdlePerEndpoint = 256;

// Bytes read from a streamed answer at a time.
constexpr std::size_t kPieceBytes = 4 * 1024;

// What all responses to a client may hold, if nothing else is said.
constexpr std::int64_t kDefaultMemory = kMaxAnswerBytes;

// A header is held as it was received and as it is passed on.
constexpr std::int64_t kCopiesOfHeader = 2;

// Response headers that are read for one request: interim ones (1xx) and those
// of other requests' responses may come before the final one.
constexpr int kMaxHeaders = 32;

// A body that is not used is read if it is no longer and no slower than this:
// then a new connection costs more.
constexpr std::size_t kMaxDiscardedBytes = 64 * 1024;
constexpr auto kMaxDiscardTime = std::chrono::milliseconds(250);

using detail::connection;

// True if the other side has closed or sent something unasked: such a
// connection must not carry a request.
bool IsSpoiled(connection& idle) {
  if (idle.buffer.size() != 0 ||
      std::chrono::steady_clock::now() >= idle.stale_at) {
    return true;
  }
  boost::system::error_code failed;
  std::array<char, 1> byte;
  auto& socket = idle.stream.socket();
  socket.non_blocking(true, failed);
  socket.receive(asio::buffer(byte), asio::socket_base::message_peek, failed);
  return failed != asio::error::would_block;
}

// How long the server of an answer keeps its connection open while idle.
std::chrono::milliseconds IdleTimeOf(const http_response_header& header) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto field = header[http::field::keep_alive];
  const std::string_view text(field.data(), field.size());
  const std::size_t at = text.find(kTimeout);
  if (at == std::string_view::npos)
    return kIdleTimeout;
  const std::string_view digits = text.substr(at + kTimeout.size());
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::max(
      std::chrono::milliseconds(std::chrono::seconds(seconds)) - kIdleMargin,
      std::chrono::milliseconds(0));
}

std::string Explain(const base::endpoint& where,
                    std::string_view what,
                    const boost::system::error_code& failed) {
  return base::ToString(where) + ": " + std::string(what) + ": " +
         failed.message();
}

// An error after which the work may have run, because the connection failed.
tl::unexpected<base::error> Broken(result_code code,
                                   std::string message,
                                   const boost::system::error_code& failed) {
  auto error =
      base::MakeError(code, base::outcome::kUnknown, std::move(message));
  error.connection_lost = failed == http::error::end_of_stream ||
                          failed == http::error::partial_message ||
                          failed == asio::error::eof ||
                          failed == asio::error::connection_reset ||
                          failed == asio::error::broken_pipe;
  return tl::make_unexpected(std::move(error));
}

}  // namespace

struct http_client::pool {
  // Empty: responses are paired by order.
  std::string id_field;
  std::int64_t bytes = 0;
  std::int64_t opened = 0;
  std::int64_t skipped = 0;
  std::map<base::endpoint, std::vector<std::unique_ptr<connection>>> idle;

  bool pairs_by_ids() const { return !id_field.empty(); }

  // Returns the newest idle connection that may carry the request, or null.
  std::unique_ptr<connection> Take(const base::endpoint& where,
                                   std::string_view request_id) {
    auto& connections = idle[where];
    for (std::size_t at = connections.size(); at-- > 0;) {
      if (pairs_by_ids() && !CanCarry(connections[at]->carried, request_id))
        continue;
      auto candidate = std::move(connections[at]);
      connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(at));
      if (!IsSpoiled(*candidate))
        return candidate;
    }
    return nullptr;
  }

  void Give(const base::endpoint& where, std::unique_ptr<connection> returned) {
    auto& connections = idle[where];
    if (connections.size() < kIdlePerEndpoint)
      connections.push_back(std::move(returned));
  }
};

struct http_exchange::state {
  base::endpoint where;
  std::unique_ptr<connection> link;
  std::weak_ptr<http_client::pool> home;
  // Empty if responses are paired by order.
  std::string id_field;
  std::string request_id;
  std::optional<base::memory_share> share;
  // What the header holds, and the parts of the body that have been read.
  std::int64_t header_bytes = 0;
  std::int64_t body_bytes = 0;
  // One for each response header that is read.
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::array<char, kPieceBytes> piece;
  bool reading = false;

  void Close() {
    boost::system::error_code ignored;
    link->stream.socket().close(ignored);
  }

  void CountBytes(std::size_t read) {
    if (const auto pool = home.lock())
      pool->bytes += static_cast<std::int64_t>(read);
  }

  std::string_view ResponseId() const {
    const auto id = parser->get()[id_field];
    return {id.data(), id.size()};
  }

  // Whether the response whose header was read is that to the request.
  bool IsOwnResponse() const {
    return id_field.empty() ||
           IsResponseTo(link->carried, request_id, ResponseId());
  }

  // Records the whole response; false if the connection cannot be used again.
  bool RecordWholeResponse() {
    if (id_field.empty())
      return true;
    const bool is_success = http::to_status_class(parser->get().result_int()) ==
                            http::status_class::successful;
    return RecordResponse(link->carried, request_id, ResponseId(), is_success);
  }

  // Updates the share; false if the response has to give way.
  bool Charge() {
    return share->Resize(static_cast<std::int64_t>(link->buffer.capacity()) +
                         kCopiesOfHeader * header_bytes + body_bytes);
  }
};

http_exchange::http_exchange(std::unique_ptr<state> state)
    : state_(std::move(state)) {}

http_exchange::~http_exchange() {
  const auto home = state_->home.lock();
  const bool whole = state_->parser->is_done() && !state_->reading;
  if (home == nullptr || !whole || !state_->parser->keep_alive() ||
      state_->link->buffer.size() != 0 ||
      !state_->link->stream.socket().is_open()) {
    return;
  }
  if (!state_->RecordWholeResponse())
    return;
  state_->link->stale_at =
      std::chrono::steady_clock::now() + IdleTimeOf(header());
  detail::ShrinkIdleBuffer(state_->link->buffer);
  home->Give(state_->where, std::move(state_->link));
}

const http_response_header& http_exchange::header() const {
  return state_->parser->get().base();
}

std::int64_t http_exchange::connection_number() const {
  return state_->link->number;
}

bool http_exchange::EndsWithConnection() const {
  return state_->parser->need_eof();
}

asio::awaitable<base::result<std::string_view>> http_exchange::ReadSome(
    std::chrono::microseconds timeout) {
  if (state_->parser->is_done())
    co_return std::string_view();
  auto& body = state_->parser->get().body();
  body.data = state_->piece.data();
  body.size = state_->piece.size();
  const auto until = std::chrono::steady_clock::now() + timeout;
  state_->link->stream.expires_at(until);
  state_->reading = true;
  std::size_t taken = 0;
  boost::system::error_code failed;
  const auto on_read = [this](std::size_t bytes) {
    state_->CountBytes(bytes);
    return state_->Charge();
  };
  while (taken == 0 && !failed && !state_->parser->is_done()) {
    const auto code = co_await detail::ReadPart(
        state_->link->stream, state_->link->buffer, *state_->parser, on_read);
    failed =
        code == http::error::need_buffer ? boost::system::error_code() : code;
    taken = state_->piece.size() - body.size;
    // The stream does not time out while data is ready.
    const bool is_late =
        taken == 0 && std::chrono::steady_clock::now() >= until;
    if (!failed && is_late)
      failed = beast::error::timeout;
  }
  state_->reading = false;
  if (failed) {
    Abandon();
    co_return Broken(result_code::kAnswerBroken,
                     Explain(state_->where, "answer cut", failed), failed);
  }
  co_return std::string_view(state_->piece.data(), taken);
}

bool http_exchange::Hold(std::int64_t bytes) {
  state_->body_bytes = bytes;
  return state_->Charge();
}

bool http_exchange::Append(std::string& body,
                           std::string_view piece,
                           std::int64_t max_bytes) {
  const std::size_t size = body.size() + piece.size();
  if (static_cast<std::int64_t>(size) > max_bytes)
    return false;
  if (size > body.capacity()) {
    // While the string grows, its former bytes are held as well.
    const std::size_t grown = std::max(size, 2 * body.capacity());
    if (!Hold(static_cast<std::int64_t>(body.capacity() + grown)))
      return false;
    body.reserve(grown);
    if (!Hold(static_cast<std::int64_t>(body.capacity())))
      return false;
  }
  body.append(piece);
  return true;
}

void http_exchange::OnGiveWay(std::function<void()> action) {
  state_->share->SetGiveWay(std::move(action));
}

void http_exchange::Abandon() {
  state_->Close();
}

void open_guard::Cancel() {
  cancelled_ = true;
  Interrupt();
}

void open_guard::Interrupt() {
  if (link_ == nullptr)
    return;
  boost::system::error_code ignored;
  link_->stream.socket().close(ignored);
}

http_client::http_client(asio::io_context& context,
                         std::shared_ptr<base::memory_budget> memory,
                         std::string_view id_field)
    : context_(context),
      memory_(memory != nullptr
                  ? std::move(memory)
                  : std::make_shared<base::memory_budget>(kDefaultMemory)),
      pool_(std::make_shared<pool>()) {
  pool_->id_field = id_field;
}

http_client::~http_client() = default;

asio::awaitable<base::result<std::unique_ptr<detail::connection>>>
http_client::Connect(base::endpoint where,
                     open_limit limit,
                     open_guard* guard) {
  auto link = std::make_unique<connection>(context_);
  const auto now = std::chrono::steady_clock::now();
  link->stream.expires_at(std::min(now + limit.connect, limit.deadline));
  if (guard != nullptr)
    guard->link_ = link.get();
  const auto [failed] =
      co_await link->stream.async_connect(ToTcp(where), kAwait);
  if (failed) {
    co_return base::NotRun(result_code::kBackendUnreachable,
                           Explain(where, "no connection", failed));
  }
  if (std::chrono::steady_clock::now() >= limit.deadline) {
    co_return base::NotRun(result_code::kDeadlinePassed,
                           base::ToString(where) + ": connected too late");
  }
  link->number = ++pool_->opened;
  // Without it the call is slower, and no less right.
  boost::system::error_code ignored;
  link->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  co_return std::move(link);
}

asio::awaitable<base::result<void>> http_client::Preconnect(
    base::endpoint where,
    std::chrono::microseconds timeout) {
  const open_limit limit{timeout, {}};
  auto connected = co_await Connect(where, limit, nullptr);
  if (!connected)
    co_return tl::make_unexpected(connected.error());
  (*connected)->stale_at = std::chrono::steady_clock::now() + kIdleTimeout;
  pool_->Give(where, std::move(*connected));
  co_return base::result<void>();
}

asio::awaitable<base::result<std::shared_ptr<http_exchange>>> http_client::Open(
    base::endpoint where,
    http_request request,
    open_limit limit,
    connection_use use,
    open_guard* guard) {
  open_guard unused;
  open_guard& watched = guard == nullptr ? unused : *guard;
  if (watched.cancelled_)
    co_return base::NotRun(result_code::kCallerGone, "given up before sending");
  std::unique_ptr<connection> link;
  struct release {
    open_guard& guard;
    ~release() { guard.link_ = nullptr; }
  } on_return{watched};
  std::string request_id;
  if (pool_->pairs_by_ids())
    request_id = request[pool_->id_field];
  if (use == connection_use::kPooled)
    link = pool_->Take(where, request_id);
  if (link == nullptr) {
    auto connected = co_await Connect(where, limit, &watched);
    if (!connected)
      co_return tl::make_unexpected(connected.error());
    link = std::move(*connected);
  }
  watched.link_ = link.get();
  if (watched.check_) {
    const auto allowed = watched.check_();
    if (!allowed) {
      link->stale_at = std::chrono::steady_clock::now() + kIdleTimeout;
      pool_->Give(where, std::move(link));
      co_return tl::make_unexpected(allowed.error());
    }
  }
  if (request.find(http::field::host) == request.end())
    request.set(http::field::host, base::ToString(where));
  request.prepare_payload();
  link->stream.expires_at(std::min(
      std::chrono::steady_clock::now() + limit.header, limit.deadline));
  const auto [write_failed, written] =
      co_await http::async_write(link->stream, request, kAwait);
  if (write_failed) {
    const std::string message = Explain(where, "request cut", write_failed);
    if (written == 0)
      co_return base::NotRun(result_code::kBackendUnreachable, message);
    co_return Broken(result_code::kOutcomeUnknown, message, write_failed);
  }
  pool_->bytes += static_cast<std::int64_t>(written);
  auto state = std::make_unique<http_exchange::state>();
  state->where = where;
  state->home = pool_;
  state->id_field = pool_->id_field;
  state->request_id = std::move(request_id);
  state->link = std::move(link);
  state->share.emplace(memory_, [raw = state.get()] { raw->Close(); });
  const auto read_failed = co_await ReadHeader(*state);
  if (read_failed) {
    const std::string_view what = state->share->gave_way()
                                      ? "no memory for the response"
                                      : "no valid response";
    const bool is_unusable =
        read_failed == http::error::unexpected_body || IsHeadError(read_failed);
    co_return Broken(
        is_unusable ? result_code::kAnswerBroken : result_code::kOutcomeUnknown,
        Explain(where, what, read_failed), read_failed);
  }
  co_return std::shared_ptr<http_exchange>(new http_exchange(std::move(state)));
}

asio::awaitable<boost::system::error_code> http_client::ReadHeader(
    http_exchange::state& state) {
  const auto on_read = [&state](std::size_t bytes) {
    state.CountBytes(bytes);
    return state.Charge();
  };
  for (int headers = 0; headers < kMaxHeaders; ++headers) {
    auto& parser = state.parser.emplace();
    parser.body_limit(boost::none);
    parser.header_limit(detail::kAnswerHeaderBytes);
    while (!parser.is_header_done()) {
      const auto failed = co_await detail::ReadPart(
          state.link->stream, state.link->buffer, parser, on_read);
      if (failed)
        co_return failed;
    }
    const bool is_interim = http::to_status_class(parser.get().result_int()) ==
                            http::status_class::informational;
    if (is_interim)
      continue;
    state.header_bytes = MemoryOf(parser.get());
    if (!state.Charge())
      co_return make_error_code(boost::system::errc::no_buffer_space);
    if (state.IsOwnResponse())
      co_return boost::system::error_code();
    const auto failed = co_await SkipBody(state);
    if (failed)
      co_return failed;
  }
  // No final header among those that were read.
  co_return http::make_error_code(http::error::header_limit);
}

asio::awaitable<boost::system::error_code> http_client::SkipBody(
    http_exchange::state& state) {
  if (const auto pool = state.home.lock())
    ++pool->skipped;
  // The response to the request cannot come any more.
  if (state.parser->need_eof())
    co_return http::make_error_code(http::error::unexpected_body);
  const auto on_read = [&state](std::size_t bytes) {
    state.CountBytes(bytes);
    return state.Charge();
  };
  auto& body = state.parser->get().body();
  std::size_t skipped = 0;
  while (!state.parser->is_done()) {
    body.data = state.piece.data();
    body.size = state.piece.size();
    const auto failed = co_await detail::ReadPart(
        state.link->stream, state.link->buffer, *state.parser, on_read);
    if (failed && failed != http::error::need_buffer)
      co_return failed;
    skipped += state.piece.size() - body.size;
    if (skipped > kMaxDiscardedBytes)
      co_return http::make_error_code(http::error::unexpected_body);
  }
  co_return boost::system::error_code();
}

asio::awaitable<base::result<http_response>> http_client::Fetch(
    base::endpoint where,
    http_request request,
    std::chrono::microseconds timeout,
    connection_use use) {
  std::function<void()> on_part;
  const answer_limit limit{timeout, timeout, kMaxSmallAnswerBytes};
  auto answer = co_await ReadWhole(std::move(where), std::move(request), limit,
                                   use, std::move(on_part));
  co_return answer;
}

asio::awaitable<base::result<http_response>> http_client::FetchLarge(
    base::endpoint where,
    http_request request,
    answer_limit limit,
    std::function<void()> on_part) {
  auto answer = co_await ReadWhole(std::move(where), std::move(request), limit,
                                   connection_use::kPooled, std::move(on_part));
  co_return answer;
}

asio::awaitable<base::result<http_response>> http_client::ReadWhole(
    base::endpoint where,
    http_request request,
    answer_limit limit,
    connection_use use,
    std::function<void()> on_part) {
  const auto deadline = std::chrono::steady_clock::now() + limit.whole;
  const open_limit until_header{limit.silence, limit.silence, deadline};
  auto opened = co_await Open(where, std::move(request), until_header, use);
  if (!opened)
    co_return tl::make_unexpected(opened.error());
  const std::shared_ptr<http_exchange>& exchange = *opened;
  const bool success = exchange->header().result_int() == 200;
  http_response answer(exchange->header());
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
        deadline - std::chrono::steady_clock::now());
    const auto piece =
        co_await exchange->ReadSome(std::min(left, limit.silence));
    if (!piece)
      co_return tl::make_unexpected(piece.error());
    if (piece->empty())
      break;
    if (success && on_part)
      on_part();
    if (!exchange->Append(answer.body(), *piece, limit.bytes)) {
      exchange->Abandon();
      co_return base::Unknown(result_code::kAnswerBroken,
                              base::ToString(where) + ": answer too large");
    }
  }
  co_return answer;
}

asio::awaitable<void> http_client::Discard(
    std::shared_ptr<http_exchange> exchange) {
  const auto until = std::chrono::steady_clock::now() + kMaxDiscardTime;
  std::size_t bytes = 0;
  while (bytes <= kMaxDiscardedBytes) {
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
        until - std::chrono::steady_clock::now());
    if (left.count() <= 0)
      break;
    const auto piece = co_await exchange->ReadSome(left);
    if (!piece || piece->empty())
      co_return;
    bytes += piece->size();
  }
  exchange->Abandon();
}

void http_client::DiscardBody(std::shared_ptr<http_exchange> exchange) {
  asio::co_spawn(context_, Discard(std::move(exchange)), asio::detached);
}

void http_client::CloseStale() {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [where, connections] : pool_->idle) {
    std::erase_if(connections,
                  [now](const auto& each) { return now >= each->stale_at; });
  }
  std::erase_if(pool_->idle,
                [](const auto& endpoint) { return endpoint.second.empty(); });
}

std::int64_t http_client::idle_connections() const {
  std::int64_t count = 0;
  for (const auto& [where, connections] : pool_->idle)
    count += static_cast<std::int64_t>(connections.size());
  return count;
}

std::int64_t http_client::opened_connections() const {
  return pool_->opened;
}

std::int64_t http_client::skipped_responses() const {
  return pool_->skipped;
}

std::int64_t http_client::bytes() const {
  return pool_->bytes;
}

http_request MakeRequest(http::verb method,
                         std::string_view target,
                         std::string body) {
  http_request request(method, target, 11);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  return request;
}

}  // namespace valeledge::net
