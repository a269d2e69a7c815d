// SPDX-License-Identifier: MIT
// Redirects connections of one process to other loopback ports, so that a proxy
// can cut this process alone from a server. Loaded before the C library.
#include <cstdlib>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

// Returns the port that SOAK_PORT_MAP ("FROM:TO,...") names for `port`, or
// `port` itself.
in_port_t RedirectedPort(in_port_t port) {
  const char* rest = std::getenv("SOAK_PORT_MAP");
  while (rest != nullptr && *rest != '\0') {
    char* end = nullptr;
    const auto from = std::strtoul(rest, &end, 10);
    const auto to = std::strtoul(end + 1, &end, 10);
    if (from == ntohs(port))
      return htons(static_cast<in_port_t>(to));
    rest = *end == ',' ? end + 1 : end;
  }
  return port;
}

}  // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t size) {
  if (address->sa_family != AF_INET)
    return static_cast<int>(syscall(SYS_connect, socket, address, size));
  sockaddr_in redirected;
  std::memcpy(&redirected, address, sizeof(redirected));
  redirected.sin_port = RedirectedPort(redirected.sin_port);
  return static_cast<int>(
      syscall(SYS_connect, socket, &redirected, sizeof(redirected)));
}
