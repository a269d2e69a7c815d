// SPDX-License-Identifier: MIT
// Frames of the connections between our processes: a length of four bytes,
// most significant first, then one encoded envelope.
#ifndef VALELEDGE_NET_FRAME_H_
#define VALELEDGE_NET_FRAME_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "wire/codec.h"

namespace valeledge::net::detail {

// Frames waiting to be written on one connection; more are refused.
inline constexpr std::size_t kMaxQueuedBytes = 64 * 1024 * 1024;

// One connection that carries frames both ways.
struct frame_link {
  explicit frame_link(boost::asio::ip::tcp::socket socket_in)
      : socket(std::move(socket_in)) {}

  boost::asio::ip::tcp::socket socket;
  std::string outgoing;
  std::string writing;
  bool writer_running = false;
  bool broken = false;
  // When any byte last came, of a whole frame or not, and how many did.
  std::chrono::steady_clock::time_point received_at;
  std::int64_t received = 0;
  // Bytes of `writing` that have not been sent, and when any last were.
  std::size_t unsent = 0;
  std::chrono::steady_clock::time_point sent_at;
};

inline void AppendFrame(std::string& out, const std::string& bytes) {
  const auto size = static_cast<std::uint32_t>(bytes.size());
  for (const int shift : {24, 16, 8, 0})
    out.push_back(static_cast<char>((size >> shift) & 0xff));
  out.append(bytes);
}

// Writes what has been queued, in as few writes as there are waits.
inline boost::asio::awaitable<void> WriteQueued(
    std::shared_ptr<frame_link> link) {
  constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
  while (!link->outgoing.empty() && !link->broken) {
    link->writing.clear();
    std::swap(link->writing, link->outgoing);
    const auto rest = [&](const boost::system::error_code& ended,
                          std::size_t so_far) -> std::size_t {
      link->unsent = link->writing.size() - so_far;
      link->sent_at = std::chrono::steady_clock::now();
      return ended ? 0 : link->unsent;
    };
    const auto [failed, written] = co_await boost::asio::async_write(
        link->socket, boost::asio::buffer(link->writing), rest, kAwait);
    if (failed)
      link->broken = true;
  }
  link->writer_running = false;
  if (link->broken) {
    boost::system::error_code ignored;
    link->socket.close(ignored);
  }
}

// The next frame; empty when the connection ended or sent nonsense. `on_part`
// is called when a part of one has come; it may be empty.
inline boost::asio::awaitable<std::string> ReadFrame(
    std::shared_ptr<frame_link> link,
    std::function<void()> on_part) {
  constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
  std::array<unsigned char, 4> header;
  const auto [failed, got] = co_await boost::asio::async_read(
      link->socket, boost::asio::buffer(header), kAwait);
  std::uint32_t size = 0;
  for (const unsigned char byte : header)
    size = size << 8 | byte;
  if (failed || size > wire::kMaxFrameBytes)
    co_return std::string();
  std::string bytes(size, '\0');
  const std::int64_t before = link->received;
  const auto rest = [&](const boost::system::error_code& ended,
                        std::size_t so_far) -> std::size_t {
    if (so_far > 0)
      link->received_at = std::chrono::steady_clock::now();
    link->received = before + static_cast<std::int64_t>(so_far);
    if (on_part && so_far > 0 && so_far < size)
      on_part();
    return ended ? 0 : size - so_far;
  };
  const auto [cut, more] = co_await boost::asio::async_read(
      link->socket, boost::asio::buffer(bytes), rest, kAwait);
  if (cut)
    co_return std::string();
  co_return bytes;
}

}  // namespace valeledge::net::detail

#endif  // VALELEDGE_NET_FRAME_H_
