// SPDX-License-Identifier: MIT
// Base64, as the key-value service's JSON interface writes bytes.
#ifndef VALELEDGE_STORE_BASE64_H_
#define VALELEDGE_STORE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace valeledge::store {

std::string EncodeBase64(std::string_view bytes);

// Nothing if `text` is not base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace valeledge::store

#endif  // VALELEDGE_STORE_BASE64_H_
