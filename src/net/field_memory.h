// SPDX-License-Identifier: MIT
// Memory that the header fields of an HTTP message take.
#ifndef VALELEDGE_NET_FIELD_MEMORY_H_
#define VALELEDGE_NET_FIELD_MEMORY_H_

#include <cstddef>
#include <cstdint>

#include <boost/beast/http/fields.hpp>

namespace valeledge::net {

namespace detail {

// What a header field takes beside its name and value.
inline constexpr std::size_t kFieldOverhead = 80;

}  // namespace detail

// Bytes of memory that the header fields take.
inline std::int64_t MemoryOf(const boost::beast::http::fields& fields) {
  std::size_t bytes = 0;
  for (const auto& field : fields) {
    bytes += field.name_string().size() + field.value().size() +
             detail::kFieldOverhead;
  }
  return static_cast<std::int64_t>(bytes);
}

}  // namespace valeledge::net

#endif  // VALELEDGE_NET_FIELD_MEMORY_H_
