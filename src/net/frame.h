// SPDX-License-Identifier: MIT
// Frames of the connections between our processes: a length of four bytes,
// most significant first, then one encoded envelope.
#ifndef VALELEDGE_NET_FRAME_H_
#define VALELEDGE_NET_FRAME_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "base/memory_budget.h"
#include "wire/codec.h"

namespace valeledge::net::detail {

// Frames waiting to be written on one connection; more are refused.
inline constexpr std::size_t kMaxQueuedBytes = 64 * 1024 * 1024;

// What the frames of a process may hold, if nothing else is said.
inline constexpr std::int64_t kDefaultFrameMemory = kMaxQueuedBytes;

// Bytes that one read of a frame takes at most, unless as many have come.
inline constexpr std::size_t kPartBytes = 64 * 1024;

// Larger buffers are freed when they are empty.
inline constexpr std::size_t kKeptBytes = 8 * 1024;

// The given budget, or one with the default capacity if it is null.
inline std::shared_ptr<base::memory_budget> FrameMemory(
    std::shared_ptr<base::memory_budget> memory) {
  return memory != nullptr
             ? std::move(memory)
             : std::make_shared<base::memory_budget>(kDefaultFrameMemory);
}

// One connection that carries frames both ways. It is closed if other
// connections need the memory that its frames hold.
struct frame_link {
  frame_link(boost::asio::ip::tcp::socket socket_in,
             std::shared_ptr<base::memory_budget> memory)
      : socket(std::move(socket_in)),
        share(std::move(memory), [this] { Close(); }) {}

  void Close() {
    broken = true;
    boost::system::error_code ignored;
    socket.close(ignored);
  }

  // States what the frames hold now. Closes the connection and returns false if
  // there is no room for it.
  bool Charge() {
    const std::size_t bytes =
        incoming.capacity() + outgoing.capacity() + writing.capacity();
    if (share.Resize(static_cast<std::int64_t>(bytes)))
      return true;
    Close();
    return false;
  }

  boost::asio::ip::tcp::socket socket;
  base::memory_share share;
  // The frame that is being read.
  std::string incoming;
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

inline void FreeIfLarge(std::string& buffer) {
  if (buffer.empty() && buffer.capacity() > kKeptBytes)
    std::string().swap(buffer);
}

// Queues a frame to be written. Returns false if there is no room for it; then
// no part of it is sent.
inline bool QueueFrame(frame_link& link, const std::string& bytes) {
  if (link.outgoing.size() > kMaxQueuedBytes)
    return false;
  AppendFrame(link.outgoing, bytes);
  return link.Charge();
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
    link->Close();
    co_return;
  }
  link->writing.clear();
  FreeIfLarge(link->writing);
  FreeIfLarge(link->outgoing);
  link->Charge();
}

// The next frame; empty when the connection ended or sent nonsense, or if there
// is no room for it. `on_part` is called when a part of one has come; it may be
// empty.
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
  std::string& bytes = link->incoming;
  const std::int64_t before = link->received;
  // The size is only announced: room is made as bytes come.
  for (std::size_t have = 0; have < size; have = bytes.size()) {
    const std::size_t part = std::min(size - have, std::max(kPartBytes, have));
    bytes.resize(have + part);
    if (!link->Charge())
      co_return std::string();
    const auto rest = [&](const boost::system::error_code& ended,
                          std::size_t so_far) -> std::size_t {
      if (so_far > 0)
        link->received_at = std::chrono::steady_clock::now();
      link->received = before + static_cast<std::int64_t>(have + so_far);
      if (on_part && so_far > 0 && have + so_far < size)
        on_part();
      return ended ? 0 : part - so_far;
    };
    const auto [cut, more] = co_await boost::asio::async_read(
        link->socket, boost::asio::buffer(bytes.data() + have, part), rest,
        kAwait);
    if (cut)
      co_return std::string();
  }
  std::string frame = std::exchange(bytes, {});
  link->Charge();
  co_return frame;
}

}  // namespace valeledge::net::detail

#endif  // VALELEDGE_NET_FRAME_H_
