// SPDX-License-Identifier: MIT
#include "gateway/request/event_reader.h"

#include "base/json.h"

namespace valeledge::gateway {

namespace json = boost::json;

void event_reader::Append(std::string_view piece) {
  pending_.erase(0, start_);
  start_ = 0;
  for (const char each : piece) {
    if (each != '\r')
      pending_.push_back(each);
  }
}

std::optional<std::string> event_reader::Next() {
  constexpr std::string_view kData = "data:";
  while (true) {
    const std::size_t end = pending_.find("\n\n", start_);
    if (end == std::string::npos)
      return std::nullopt;
    std::string_view event(pending_);
    event = event.substr(start_, end - start_);
    start_ = end + 2;
    std::string data;
    bool found = false;
    while (!event.empty()) {
      const std::size_t line_end = std::min(event.find('\n'), event.size());
      std::string_view line = event.substr(0, line_end);
      event.remove_prefix(std::min(line_end + 1, event.size()));
      if (!line.starts_with(kData))
        continue;
      line.remove_prefix(kData.size());
      if (line.starts_with(' '))
        line.remove_prefix(1);
      if (found)
        data.push_back('\n');
      data.append(line);
      found = true;
    }
    if (found)
      return data;
  }
}

bool event_reader::IsOverlong() const {
  return pending_.size() - start_ > kMaxEventBytes;
}

std::optional<decisions::response_chunk> ParseChunk(std::string_view data) {
  const auto object = base::ParseJsonObject(data);
  if (!object)
    return std::nullopt;
  const json::array* choices = base::ArrayField(*object, "choices");
  if (choices == nullptr || choices->empty() || !choices->front().is_object())
    return std::nullopt;
  const json::object& choice = choices->front().get_object();
  decisions::response_chunk chunk;
  chunk.attempt = base::StringField(*object, "id");
  chunk.offset = base::IntegerField(*object, "offset", -1);
  chunk.tokens = base::IntegerField(*object, "tokens", 1);
  chunk.finish_reason = base::StringField(choice, "finish_reason");
  const json::object* delta = base::ObjectField(choice, "delta");
  if (delta != nullptr)
    chunk.text = base::StringField(*delta, "content");
  return chunk;
}

}  // namespace valeledge::gateway
