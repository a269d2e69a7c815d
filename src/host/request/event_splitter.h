// SPDX-License-Identifier: MIT
// Splits a stream of server-sent events into complete events without changing
// any byte.
#ifndef VALELEDGE_HOST_REQUEST_EVENT_SPLITTER_H_
#define VALELEDGE_HOST_REQUEST_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace valeledge::host {

// Maximum size of an incomplete event that is buffered.
inline constexpr std::size_t kMaxEventBytes = 1024 * 1024;

// Buffers an incomplete event until its remaining bytes arrive, so that a
// broken stream never ends in the middle of an event.
class event_splitter {
 public:
  void Append(std::string_view piece);

  // Returns the next complete event including its blank line, valid until the
  // next Append(), or nothing if no event is complete yet.
  std::optional<std::string_view> Next();

  // The bytes after the last complete event returned by Next().
  std::string_view Remainder() const;
  bool IsOverlong() const { return Remainder().size() > kMaxEventBytes; }
  // Bytes of memory that the splitter holds.
  std::int64_t HeldBytes() const {
    return static_cast<std::int64_t>(pending_.capacity());
  }

 private:
  std::string pending_;
  std::size_t start_ = 0;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_EVENT_SPLITTER_H_
