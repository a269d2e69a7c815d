// SPDX-License-Identifier: MIT
#include "wire/packing.h"

#include <zstd.h>

namespace valeledge::wire {

namespace {

// The fastest of the usual levels. Snapshots are no smaller with the next ones.
constexpr int kLevel = 1;

}  // namespace

std::optional<std::string> Pack(std::string_view value, std::size_t from) {
  if (value.size() < from)
    return std::nullopt;
  std::string packed(ZSTD_compressBound(value.size()), '\0');
  const std::size_t size = ZSTD_compress(packed.data(), packed.size(),
                                         value.data(), value.size(), kLevel);
  if (ZSTD_isError(size) != 0 || size >= value.size())
    return std::nullopt;
  packed.resize(size);
  packed.shrink_to_fit();
  return packed;
}

std::optional<std::string> Unpack(std::string_view packed, std::size_t most) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(packed.data(), packed.size());
  const bool known =
      size != ZSTD_CONTENTSIZE_UNKNOWN && size != ZSTD_CONTENTSIZE_ERROR;
  if (!known || size > most)
    return std::nullopt;
  std::string value(size, '\0');
  const std::size_t got =
      ZSTD_decompress(value.data(), value.size(), packed.data(), packed.size());
  if (ZSTD_isError(got) != 0 || got != size)
    return std::nullopt;
  return value;
}

}  // namespace valeledge::wire
