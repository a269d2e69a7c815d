// SPDX-License-Identifier: MIT
#include "net/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <iomanip>
#include <locale>
#include <sstream>
#include <string>
#include <string_view>

#include <boost/beast/http.hpp>

namespace valeledge::net {

namespace {

namespace http = boost::beast::http;
using std::chrono::milliseconds;
using std::chrono::system_clock;

constexpr milliseconds kLongest = kMaxRetryAfter;

std::optional<milliseconds> ParseSeconds(std::string_view text) {
  double seconds = 0;
  const char* end = text.data() + text.size();
  const auto [stopped, failed] = std::from_chars(text.data(), end, seconds);
  const bool is_delay = failed == std::errc() && stopped == end &&
                        std::isfinite(seconds) && !std::signbit(seconds);
  if (!is_delay)
    return std::nullopt;
  const std::chrono::duration<double> longest = kLongest;
  return std::chrono::ceil<milliseconds>(
      std::min(std::chrono::duration<double>(seconds), longest));
}

std::optional<system_clock::time_point> ParseDate(std::string_view text) {
  std::istringstream in{std::string(text)};
  in.imbue(std::locale::classic());
  std::tm parts{};
  in >> std::get_time(&parts, "%a, %d %b %Y %H:%M:%S");
  // get_time() does not fail on a text that ends early.
  std::string rest;
  std::getline(in, rest);
  if (rest != " GMT")
    return std::nullopt;
  return system_clock::from_time_t(timegm(&parts));
}

std::optional<milliseconds> ParseDelay(std::string_view text,
                                       system_clock::time_point now) {
  if (const auto seconds = ParseSeconds(text))
    return seconds;
  const auto date = ParseDate(text);
  if (!date)
    return std::nullopt;
  return std::clamp(std::chrono::ceil<milliseconds>(*date - now),
                    milliseconds(0), kLongest);
}

}  // namespace

retry_after ReadRetryAfter(const http_response_header& response,
                           system_clock::time_point now) {
  const auto date = response[http::field::date];
  const auto sent = ParseDate({date.data(), date.size()}).value_or(now);
  retry_after out;
  const auto [begin, end] = response.equal_range(http::field::retry_after);
  for (auto field = begin; field != end; ++field) {
    const auto text = field->value();
    const auto delay = ParseDelay({text.data(), text.size()}, sent);
    if (delay)
      out.delay = std::max(*delay, out.delay.value_or(*delay));
  }
  out.is_unreadable = begin != end && !out.delay;
  return out;
}

}  // namespace valeledge::net
