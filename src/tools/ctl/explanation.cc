// SPDX-License-Identifier: MIT
#include "tools/ctl/explanation.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <istream>
#include <set>

#include "base/json.h"

namespace valeledge::ctl {

namespace {

using base::IntegerField;
using base::StringField;

// Categories that tell what the hosts believed.
constexpr std::array<std::string_view, 5> kBeliefs = {"host", "mirror", "lease",
                                                      "orders", "placement"};

// Seconds since midnight; enough to compare within one trace.
double SecondsOfDay(std::string_view time) {
  const std::size_t at = time.find('T');
  int hours = 0;
  int minutes = 0;
  double seconds = 0;
  if (at == std::string_view::npos ||
      std::sscanf(std::string(time.substr(at + 1)).c_str(), "%d:%d:%lf", &hours,
                  &minutes, &seconds) != 3) {
    return 0;
  }
  constexpr int kMinutesInHour = 60;
  constexpr int kSecondsInMinute = 60;
  return (hours * kMinutesInHour + minutes) * kSecondsInMinute + seconds;
}

bool IsAbout(const log_line& line, std::string_view request) {
  return StringField(line.fields, "request") == request;
}

bool Touches(const log_line& line, const std::set<std::string>& servers) {
  const std::string category = StringField(line.fields, "category");
  if (std::ranges::find(kBeliefs, category) == kBeliefs.end())
    return false;
  const std::string server = StringField(line.fields, "server");
  return server.empty() || servers.contains(server);
}

const log_line* FindLast(const std::vector<log_line>& trace,
                         std::string_view request,
                         std::string_view name) {
  const log_line* last = nullptr;
  for (const log_line& each : trace) {
    if (IsAbout(each, request) && StringField(each.fields, "name") == name)
      last = &each;
  }
  return last;
}

}  // namespace

std::vector<log_line> ReadLogLines(std::istream& in) {
  std::vector<log_line> lines;
  std::string text;
  while (std::getline(in, text)) {
    const std::size_t at = text.find('{');
    if (at == std::string::npos)
      continue;
    auto fields = base::ParseJsonObject(std::string_view(text).substr(at));
    if (!fields || !fields->contains("event"))
      continue;
    log_line line;
    line.time = StringField(*fields, "time");
    line.prefix = text.substr(0, at);
    line.fields = std::move(*fields);
    lines.push_back(std::move(line));
  }
  return lines;
}

std::vector<log_line> Explain(const std::vector<log_line>& lines,
                              std::string_view request,
                              int seconds_before) {
  std::set<std::string> servers;
  std::string first;
  std::string last;
  for (const log_line& each : lines) {
    if (!IsAbout(each, request))
      continue;
    const std::string server = StringField(each.fields, "server");
    if (!server.empty())
      servers.insert(server);
    if (first.empty() || each.time < first)
      first = each.time;
    last = std::max(last, each.time);
  }
  std::vector<log_line> trace;
  if (first.empty())
    return trace;
  const double from = SecondsOfDay(first) - seconds_before;
  for (const log_line& each : lines) {
    const bool near = SecondsOfDay(each.time) >= from && each.time <= last;
    if (IsAbout(each, request) || (near && Touches(each, servers)))
      trace.push_back(each);
  }
  std::ranges::stable_sort(trace, {}, &log_line::time);
  return trace;
}

std::string Verdict(const std::vector<log_line>& trace,
                    std::string_view request) {
  const log_line* served = FindLast(trace, request, "RequestServed");
  if (served != nullptr) {
    return "served by " + StringField(served->fields, "server") + " after " +
           std::to_string(IntegerField(served->fields, "after_ms")) + " ms";
  }
  const log_line* left = FindLast(trace, request, "CallerLeft");
  if (left != nullptr) {
    return "the caller left after " +
           std::to_string(IntegerField(left->fields, "after_ms")) + " ms";
  }
  const log_line* refused = FindLast(trace, request, "RequestRefused");
  const log_line* failed = FindLast(trace, request, "AttemptFailed");
  if (refused == nullptr) {
    return "no end is logged: the host was stopped, killed or cut off from "
           "whoever collects its log";
  }
  const std::string reason = StringField(refused->fields, "reason");
  const std::string cause =
      failed == nullptr
          ? std::string()
          : "; last attempt at " + StringField(failed->fields, "server") +
                ": " + StringField(failed->fields, "reason");
  if (IntegerField(refused->fields, "started") != 0)
    return "broken off midway: " + reason + cause;
  if (StringField(refused->fields, "outcome") == "not_run")
    return "refused as not run: " + reason + cause;
  return "failed after it had been sent: " + reason + cause;
}

}  // namespace valeledge::ctl
