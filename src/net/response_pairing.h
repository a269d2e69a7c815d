// SPDX-License-Identifier: MIT
// Which request a response on a reused connection belongs to. Servers repeat
// the id of a request in its response, and may send responses twice, late, and
// where the response to another request is due.
#ifndef VALELEDGE_NET_RESPONSE_PAIRING_H_
#define VALELEDGE_NET_RESPONSE_PAIRING_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace valeledge::net {

// Requests that a connection remembers because they may be sent again.
inline constexpr std::size_t kMaxUnsuccessfulRequests = 64;

// What is known of the requests that one connection has carried.
struct carried_requests {
  bool has_carried = false;
  // Hashes of the ids of requests whose response was no success. A copy of such
  // a response bears the same id as the request if it is sent again.
  std::vector<std::uint64_t> unsuccessful;
};

// Whether the connection may carry a request with this id, which may be empty:
// no late response to an earlier request could be taken for its response.
bool CanCarry(const carried_requests& carried, std::string_view request_id);

// Whether a response belongs to the request under way, which CanCarry() has
// allowed. Either id may be empty.
bool IsResponseTo(const carried_requests& carried,
                  std::string_view request_id,
                  std::string_view response_id);

// Records that a request has had its whole response. Returns whether the
// connection may carry further requests.
bool RecordResponse(carried_requests& carried,
                    std::string_view request_id,
                    std::string_view response_id,
                    bool is_success);

}  // namespace valeledge::net

#endif  // VALELEDGE_NET_RESPONSE_PAIRING_H_
