// SPDX-License-Identifier: MIT
#include "net/response_pairing.h"

#include <algorithm>
#include <functional>

namespace valeledge::net {

namespace {

std::uint64_t HashOf(std::string_view id) {
  return std::hash<std::string_view>()(id);
}

}  // namespace

bool CanCarry(const carried_requests& carried, std::string_view request_id) {
  if (!carried.has_carried)
    return true;
  return !request_id.empty() &&
         std::ranges::find(carried.unsuccessful, HashOf(request_id)) ==
             carried.unsuccessful.end();
}

bool IsResponseTo(const carried_requests& carried,
                  std::string_view request_id,
                  std::string_view response_id) {
  if (!request_id.empty() && !response_id.empty())
    return request_id == response_id;
  // Nothing but the only request of a connection can have caused a response.
  return !carried.has_carried;
}

bool RecordResponse(carried_requests& carried,
                    std::string_view request_id,
                    std::string_view response_id,
                    bool is_success) {
  carried.has_carried = true;
  // Responses without ids cannot be paired on a reused connection.
  if (request_id.empty() || request_id != response_id)
    return false;
  if (is_success)
    return true;
  if (carried.unsuccessful.size() == kMaxUnsuccessfulRequests)
    return false;
  carried.unsuccessful.push_back(HashOf(request_id));
  return true;
}

}  // namespace valeledge::net
