// SPDX-License-Identifier: MIT
#include "base/endpoint.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace valeledge::base {

namespace {

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, port);
  if (status != std::errc() || rest != end)
    return std::nullopt;
  return port;
}

}  // namespace

std::optional<endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const auto port = ParsePort(text.substr(colon + 1));
  if (!port)
    return std::nullopt;
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed)
    host = host.substr(1, host.size() - 2);
  boost::system::error_code failed;
  const auto address = boost::asio::ip::make_address(std::string(host), failed);
  if (failed || address.is_v6() != bracketed)
    return std::nullopt;
  return endpoint{address.to_string(), *port};
}

std::string ToString(const endpoint& value) {
  const std::string port = std::to_string(value.port);
  if (value.address.find(':') != std::string::npos)
    return "[" + value.address + "]:" + port;
  return value.address + ":" + port;
}

}  // namespace valeledge::base
