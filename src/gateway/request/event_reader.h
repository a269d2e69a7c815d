// SPDX-License-Identifier: MIT
// Splits a stream of server-sent events into the data of each event.
#ifndef VALELEDGE_GATEWAY_REQUEST_EVENT_READER_H_
#define VALELEDGE_GATEWAY_REQUEST_EVENT_READER_H_

#include <optional>
#include <string>
#include <string_view>

#include "decisions/response_check.h"

namespace valeledge::gateway {

// Maximum size in bytes of an incomplete event.
inline constexpr std::size_t kMaxEventBytes = 1024 * 1024;

// Incremental parser of a stream. Comments and fields other than data are
// ignored.
class event_reader {
 public:
  void Append(std::string_view piece);

  // Returns the data of the next complete event; nullopt if there is none yet.
  std::optional<std::string> Next();

  // True if the incomplete event is larger than kMaxEventBytes.
  bool IsOverlong() const;

 private:
  std::string pending_;
  std::size_t start_ = 0;
};

// Parses the data of an event as a chunk; nullopt if it is not a chunk.
std::optional<decisions::response_chunk> ParseChunk(std::string_view data);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_EVENT_READER_H_
