// SPDX-License-Identifier: MIT
// Turns the messages of messages.thrift into bytes and back.
#ifndef VALELEDGE_WIRE_CODEC_H_
#define VALELEDGE_WIRE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "wire/generated/messages_types.h"

namespace valeledge::wire {

// Largest frame, in bytes, that one process accepts from another.
inline constexpr std::size_t kMaxFrameBytes = 16 * 1024 * 1024;

// Bytes of a message in Thrift's compact protocol.
std::string Encode(const envelope& message);
std::string Encode(const gossip_message& message);
std::string Encode(const cell_load& message);
std::string Encode(const cell_ready& message);
std::string Encode(const host_load& message);
std::string Encode(const placement_news& message);
std::string Encode(const end_news& message);
std::string Encode(const prompt_quarantine_update& message);
std::string Encode(const engine_observations& message);
std::string Encode(const engine_estimates& message);
std::string Encode(const store_reading& message);
std::string Encode(const mirror_copy& message);
std::string Encode(const limit_news& message);
std::string Encode(const full_server& message);
std::string Encode(const stream_origin& message);

// The message in `bytes`; nothing if they are not one whole message.
std::optional<envelope> DecodeEnvelope(std::string_view bytes);
std::optional<gossip_message> DecodeGossip(std::string_view bytes);
std::optional<cell_load> DecodeCellLoad(std::string_view bytes);
std::optional<cell_ready> DecodeCellReady(std::string_view bytes);
std::optional<host_load> DecodeHostLoad(std::string_view bytes);
std::optional<placement_news> DecodePlacementNews(std::string_view bytes);
std::optional<end_news> DecodeEndNews(std::string_view bytes);
std::optional<prompt_quarantine_update> DecodePromptQuarantineUpdate(
    std::string_view bytes);
std::optional<engine_observations> DecodeEngineObservations(
    std::string_view bytes);
std::optional<engine_estimates> DecodeEngineEstimates(std::string_view bytes);
std::optional<store_reading> DecodeStoreReading(std::string_view bytes);
std::optional<mirror_copy> DecodeMirrorCopy(std::string_view bytes);
std::optional<limit_news> DecodeLimitNews(std::string_view bytes);
std::optional<full_server> DecodeFullServer(std::string_view bytes);
std::optional<stream_origin> DecodeStreamOrigin(std::string_view bytes);

}  // namespace valeledge::wire

#endif  // VALELEDGE_WIRE_CODEC_H_
