// SPDX-License-Identifier: MIT
// Splits a stream of server-sent events into the data of each event.
#ifndef VALELEDGE_GATEWAY_REQUEST_EVENT_READER_H_
#define VALELEDGE_GATEWAY_REQUEST_EVENT_READER_H_

#include <optional>
#include <string>
#include <string_view>

#include "decisions/response_check.h"

namespace valeledge::gateway {

// Largest event that is kept while its end has not come.
inline constexpr std::size_t kMaxEventBytes = 1024 * 1024;

// Collects pieces of a stream. Comments and fields other than data are
// skipped.
class event_reader {
 public:
  void Append(std::string_view piece);

  // The data of the next whole event; nothing if none is whole yet.
  std::optional<std::string> Next();

  // An event grew beyond kMaxEventBytes.
  bool IsOverlong() const;

 private:
  std::string pending_;
  std::size_t start_ = 0;
};

// The chunk in an event's data; nothing if it is not a chunk.
std::optional<decisions::response_chunk> ParseChunk(std::string_view data);

}  // namespace valeledge::gateway

#endif  // VALELEDGE_GATEWAY_REQUEST_EVENT_READER_H_
