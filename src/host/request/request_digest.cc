// SPDX-License-Identifier: MIT
#include "host/request/request_digest.h"

#include <boost/beast/http.hpp>

#include "base/identifier.h"

namespace valeledge::host {

namespace {

namespace http = boost::beast::http;

}  // namespace

std::uint64_t DigestOf(const net::http_request& request) {
  const auto credentials = request[http::field::authorization];
  const auto authority = request[http::field::host];
  const auto method = request.method_string();
  const auto target = request.target();
  // Each part is hashed with the previous hash as seed, so that moving bytes
  // from one part to the next changes the result.
  std::uint64_t digest =
      base::StableHash({credentials.data(), credentials.size()});
  digest = base::StableHash({authority.data(), authority.size()}, digest);
  digest = base::StableHash({method.data(), method.size()}, digest);
  digest = base::StableHash({target.data(), target.size()}, digest);
  return base::StableHash(request.body(), digest);
}

}  // namespace valeledge::host
