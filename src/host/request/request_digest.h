// SPDX-License-Identifier: MIT
// Tells a request that comes again from all others.
#ifndef VALELEDGE_HOST_REQUEST_REQUEST_DIGEST_H_
#define VALELEDGE_HOST_REQUEST_REQUEST_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "net/http_client.h"

namespace valeledge::host {

// The same for each attempt of a caller at one request, at every host: of its
// authority, method, path with query, body, and the caller's address. Its id
// and its deadline are others each time.
std::uint64_t DigestOf(const net::http_request& request,
                       std::string_view caller);

// A digest as people and keys write it: 16 hexadecimal digits.
std::string DigestText(std::uint64_t digest);

}  // namespace valeledge::host

#endif  // VALELEDGE_HOST_REQUEST_REQUEST_DIGEST_H_
