// SPDX-License-Identifier: MIT
// Base64, as the key-value service's JSON interface writes bytes.
#ifndef VALELEDGE_PLATFORM_BASE64_H_
#define VALELEDGE_PLATFORM_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace valeledge::platform {

std::string EncodeBase64(std::string_view bytes);

// Nothing if `text` is not base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace valeledge::platform

#endif  // VALELEDGE_PLATFORM_BASE64_H_
