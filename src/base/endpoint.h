// SPDX-License-Identifier: MIT
// An IP number and port, the only way one process names another's address.
#ifndef VALELEDGE_BASE_ENDPOINT_H_
#define VALELEDGE_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace valeledge::base {

// An address in its canonical writing, and a port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const endpoint&) const = default;
};

// Parses "127.0.0.1:80" or "[::1]:80"; nothing for host names and other text.
std::optional<endpoint> ParseEndpoint(std::string_view text);

// The writing that ParseEndpoint reads.
std::string ToString(const endpoint& value);

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_ENDPOINT_H_
