// SPDX-License-Identifier: MIT
// Identifies repeated attempts of a caller at the same request.
#ifndef VALELEDGE_HOST_REQUEST_REQUEST_DIGEST_H_
#define VALELEDGE_HOST_REQUEST_REQUEST_DIGEST_H_

#include <cstdint>

#include "net/http_client.h"

namespace valeledge::host {

// Returns a hash that is the same for each attempt of a caller at one request,
// on every host. It covers authority, method, path with query, body, and the
// caller's credentials (Authorization), so that a caller cannot cause the
// quarantine of another caller's request.
//
// It does not cover the caller's address. Callers use pools of addresses, each
// of which connects to the hosts of one availability zone, so the same request
// arrives in three zones from different addresses. With the address included, a
// request that crashes its servers was sent another 8 and 9 times after three
// crashes. Request id and deadline are not covered either because they differ
// in each attempt.
std::uint64_t DigestOf(const net::http_request& request);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_REQUEST_DIGEST_H_
