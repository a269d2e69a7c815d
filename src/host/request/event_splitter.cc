// SPDX-License-Identifier: MIT
#include "host/request/event_splitter.h"

namespace valeledge::host {

void event_splitter::Append(std::string_view piece) {
  pending_.erase(0, start_);
  start_ = 0;
  pending_.append(piece);
}

std::optional<std::string_view> event_splitter::Next() {
  // An event ends with a blank line: "\n\n" or "\r\n\r\n".
  std::size_t line = start_;
  while (true) {
    const std::size_t end = pending_.find('\n', line);
    if (end == std::string::npos)
      return std::nullopt;
    const bool blank =
        end == line || (end == line + 1 && pending_[line] == '\r');
    if (blank && line != start_) {
      const std::string_view event =
          std::string_view(pending_).substr(start_, end + 1 - start_);
      start_ = end + 1;
      return event;
    }
    line = end + 1;
  }
}

std::string_view event_splitter::Remainder() const {
  return std::string_view(pending_).substr(start_);
}

}  // namespace valeledge::host
