// SPDX-License-Identifier: MIT
#include "net/deadline_responder.h"

#include <chrono>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace valeledge::net {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// What the request waits for usually ends at the deadline by itself, with a
// more precise result.
constexpr std::chrono::milliseconds kDeadlineMargin{25};

}  // namespace

deadline_responder::deadline_responder(asio::io_context& context,
                                       http_responder& caller)
    : caller_(caller), context_(context), timer_(context) {}

void deadline_responder::SetDeadline(
    base::time_point deadline,
    std::function<http_response()> make_late_response) {
  SetLateResponse(std::move(make_late_response));
  timer_.expires_at(deadline + kDeadlineMargin);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self != nullptr)
          self->EndLate();
      });
}

void deadline_responder::SetLateResponse(
    std::function<http_response()> make_late_response) {
  make_late_response_ = std::move(make_late_response);
}

void deadline_responder::EndLate() {
  // A response that is being sent is delivered, also late.
  const bool has_ended = make_late_response_ == nullptr || has_sent_;
  if (has_ended || caller_.caller_gone())
    return;
  auto response = make_late_response_();
  is_late_ = true;
  if (has_started_) {
    caller_.Break();
  } else {
    is_sending_late_ = true;
    asio::co_spawn(context_, SendLateResponse(std::move(response)),
                   asio::detached);
  }
  if (on_gone_)
    std::exchange(on_gone_, nullptr)();
}

asio::awaitable<void> deadline_responder::SendLateResponse(
    http_response response) {
  const auto self = shared_from_this();
  response.keep_alive(false);
  co_await caller_.Send(std::move(response));
  caller_.Break();
  is_sending_late_ = false;
  timer_.cancel();
}

asio::awaitable<void> deadline_responder::Close() {
  const auto self = shared_from_this();
  // Ends the wait for the deadline.
  timer_.expires_at(asio::steady_timer::time_point::max());
  make_late_response_ = nullptr;
  while (is_sending_late_)
    co_await timer_.async_wait(kAwait);
}

asio::awaitable<bool> deadline_responder::Send(http_response response) {
  if (caller_gone())
    co_return false;
  has_sent_ = true;
  co_return co_await caller_.Send(std::move(response));
}

asio::awaitable<bool> deadline_responder::Start(http_response_header header) {
  if (caller_gone())
    co_return false;
  has_started_ = true;
  co_return co_await caller_.Start(std::move(header));
}

asio::awaitable<bool> deadline_responder::Write(std::string_view piece) {
  if (caller_gone())
    co_return false;
  co_return co_await caller_.Write(piece);
}

asio::awaitable<bool> deadline_responder::Finish() {
  if (caller_gone())
    co_return false;
  has_sent_ = true;
  co_return co_await caller_.Finish();
}

void deadline_responder::Break() {
  if (!caller_gone())
    caller_.Break();
}

bool deadline_responder::caller_gone() const {
  return is_late_ || caller_.caller_gone();
}

void deadline_responder::OnCallerGone(std::function<void()> action) {
  if (is_late_) {
    action();
    return;
  }
  on_gone_ = std::move(action);
  caller_.OnCallerGone([weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self != nullptr && self->on_gone_)
      std::exchange(self->on_gone_, nullptr)();
  });
}

}  // namespace valeledge::net
