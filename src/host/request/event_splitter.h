// SPDX-License-Identifier: MIT
// Cuts a stream of server-sent events into whole events, byte for byte.
#ifndef VALELEDGE_HOST_REQUEST_EVENT_SPLITTER_H_
#define VALELEDGE_HOST_REQUEST_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace valeledge::host {

// Largest event that is kept while its end has not come.
inline constexpr std::size_t kMaxEventBytes = 1024 * 1024;

// Holds back the part of an event that has come until the rest is there, so
// that a broken stream never ends within an event.
class event_splitter {
 public:
  void Append(std::string_view piece);

  // The next whole event with its blank line, valid until Append; nothing if
  // none is whole yet.
  std::optional<std::string_view> Next();

  // What came after the last whole event.
  std::string_view Remainder() const;
  bool IsOverlong() const { return Remainder().size() > kMaxEventBytes; }

 private:
  std::string pending_;
  std::size_t start_ = 0;
};

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_EVENT_SPLITTER_H_
