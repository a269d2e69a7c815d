// SPDX-License-Identifier: MIT
// Tells a request that comes again from all others.
#ifndef VALELEDGE_HOST_REQUEST_REQUEST_DIGEST_H_
#define VALELEDGE_HOST_REQUEST_REQUEST_DIGEST_H_

#include <cstdint>

#include "net/http_client.h"

namespace valeledge::host {

// The same for each attempt of a caller at one request, at every host: of its
// authority, method, path with query, body, and the caller's credentials
// (Authorization), so that one caller cannot have another's request held back.
//
// The caller's address is no part of it: callers come from pools of addresses,
// and the same request came to hosts of three availability zones, where each
// address comes to those of one. With the address a request that ends its
// servers was sent on 8 and 9 times after it had ended three. Nor are its id
// and its deadline, which are others each time.
std::uint64_t DigestOf(const net::http_request& request);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_REQUEST_DIGEST_H_
