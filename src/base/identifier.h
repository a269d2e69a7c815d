// SPDX-License-Identifier: MIT
// Random identifiers and the hash that rendezvous choices use.
#ifndef VALELEDGE_BASE_IDENTIFIER_H_
#define VALELEDGE_BASE_IDENTIFIER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace valeledge::base {

// A random 128-bit identifier in lower-case hexadecimal.
std::string NewIdentifier();

// A number as 16 hexadecimal digits.
std::string HexText(std::uint64_t number);

// A 64-bit hash that is the same in every process and version.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

// The weight of `candidate` for `subject` in a rendezvous choice: the
// candidate with the highest weight is chosen.
std::uint64_t RendezvousWeight(std::string_view subject,
                               std::string_view candidate);

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_IDENTIFIER_H_
