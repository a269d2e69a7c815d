// SPDX-License-Identifier: MIT
#include "wire/codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace valeledge::wire {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

template <typename message_type>
std::string EncodeMessage(const message_type& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

template <typename message_type>
std::optional<message_type> DecodeMessage(std::string_view bytes) {
  // TMemoryBuffer takes a mutable pointer but only observes it here.
  auto* data = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));
  auto buffer = std::make_shared<TMemoryBuffer>(
      data, static_cast<uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
  constexpr auto kLimit = static_cast<int32_t>(kMaxFrameBytes);
  TCompactProtocolT<TMemoryBuffer> protocol(buffer, kLimit, kLimit);
  message_type message;
  try {
    message.read(&protocol);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return message;
}

}  // namespace

std::string Encode(const envelope& message) {
  return EncodeMessage(message);
}

std::string Encode(const gossip_message& message) {
  return EncodeMessage(message);
}

std::string Encode(const cell_load& message) {
  return EncodeMessage(message);
}

std::string Encode(const cell_ready& message) {
  return EncodeMessage(message);
}

std::string Encode(const host_load& message) {
  return EncodeMessage(message);
}

std::string Encode(const placement_news& message) {
  return EncodeMessage(message);
}

std::string Encode(const end_news& message) {
  return EncodeMessage(message);
}

std::string Encode(const prompt_quarantine_update& message) {
  return EncodeMessage(message);
}

std::string Encode(const engine_observations& message) {
  return EncodeMessage(message);
}

std::string Encode(const engine_estimates& message) {
  return EncodeMessage(message);
}

std::string Encode(const store_reading& message) {
  return EncodeMessage(message);
}

std::string Encode(const mirror_copy& message) {
  return EncodeMessage(message);
}

std::string Encode(const limit_news& message) {
  return EncodeMessage(message);
}

std::string Encode(const full_server& message) {
  return EncodeMessage(message);
}

std::string Encode(const stream_origin& message) {
  return EncodeMessage(message);
}

std::optional<envelope> DecodeEnvelope(std::string_view bytes) {
  return DecodeMessage<envelope>(bytes);
}

std::optional<gossip_message> DecodeGossip(std::string_view bytes) {
  return DecodeMessage<gossip_message>(bytes);
}

std::optional<cell_load> DecodeCellLoad(std::string_view bytes) {
  return DecodeMessage<cell_load>(bytes);
}

std::optional<cell_ready> DecodeCellReady(std::string_view bytes) {
  return DecodeMessage<cell_ready>(bytes);
}

std::optional<host_load> DecodeHostLoad(std::string_view bytes) {
  return DecodeMessage<host_load>(bytes);
}

std::optional<placement_news> DecodePlacementNews(std::string_view bytes) {
  return DecodeMessage<placement_news>(bytes);
}

std::optional<end_news> DecodeEndNews(std::string_view bytes) {
  return DecodeMessage<end_news>(bytes);
}

std::optional<prompt_quarantine_update> DecodePromptQuarantineUpdate(
    std::string_view bytes) {
  return DecodeMessage<prompt_quarantine_update>(bytes);
}

std::optional<engine_observations> DecodeEngineObservations(
    std::string_view bytes) {
  return DecodeMessage<engine_observations>(bytes);
}

std::optional<engine_estimates> DecodeEngineEstimates(std::string_view bytes) {
  return DecodeMessage<engine_estimates>(bytes);
}

std::optional<store_reading> DecodeStoreReading(std::string_view bytes) {
  return DecodeMessage<store_reading>(bytes);
}

std::optional<mirror_copy> DecodeMirrorCopy(std::string_view bytes) {
  return DecodeMessage<mirror_copy>(bytes);
}

std::optional<limit_news> DecodeLimitNews(std::string_view bytes) {
  return DecodeMessage<limit_news>(bytes);
}

std::optional<full_server> DecodeFullServer(std::string_view bytes) {
  return DecodeMessage<full_server>(bytes);
}

std::optional<stream_origin> DecodeStreamOrigin(std::string_view bytes) {
  return DecodeMessage<stream_origin>(bytes);
}

}  // namespace valeledge::wire
