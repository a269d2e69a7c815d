// SPDX-License-Identifier: MIT
#include "base/identifier.h"

#include <xxhash.h>

#include <array>
#include <cinttypes>
#include <cstdio>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid.hpp>

namespace valeledge::base {

std::string NewIdentifier() {
  thread_local boost::uuids::random_generator_mt19937 generator;
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(32);
  for (const std::uint8_t byte : generator()) {
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 15]);
  }
  return text;
}

std::string HexText(std::uint64_t number) {
  std::array<char, 17> text;
  const int length =
      std::snprintf(text.data(), text.size(), "%016" PRIx64, number);
  return std::string(text.data(), static_cast<std::size_t>(length));
}

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t RendezvousWeight(std::string_view subject,
                               std::string_view candidate) {
  return StableHash(candidate, StableHash(subject));
}

}  // namespace valeledge::base
