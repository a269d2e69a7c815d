// SPDX-License-Identifier: MIT
// Reading of HTTP messages whose parts may not end.
#ifndef VALELEDGE_NET_MESSAGE_READING_H_
#define VALELEDGE_NET_MESSAGE_READING_H_

#include <cstddef>
#include <functional>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>

#include "net/message_head.h"

namespace valeledge::net::detail {

// Bytes that one read takes at most.
inline constexpr std::size_t kMaxReadBytes = 64 * 1024;

// Room beside the header in the buffer of a connection. The framing of a chunk
// is read as a whole.
inline constexpr std::size_t kFramingBytes = 16 * 1024;

// Larger buffers are freed while their connections are idle.
inline constexpr std::size_t kIdleBufferBytes = 8 * 1024;

inline void ShrinkIdleBuffer(boost::beast::flat_buffer& buffer) {
  if (buffer.size() == 0 && buffer.capacity() > kIdleBufferBytes)
    buffer.shrink_to_fit();
}

// Returns what makes a head invalid that the parser accepts, as far as it has
// been parsed; `part` was parsed last.
template <typename parser_type>
boost::system::error_code CheckPartOfHead(const parser_type& parser,
                                          std::string_view part) {
  if (HasFoldedField(part))
    return head_error::kFoldedField;
  if (!parser.is_header_done())
    return {};
  return CheckHead(parser.get().base());
}

// Parses the buffered bytes. Of a head, the parser takes whole lines only.
template <typename parser_type>
boost::system::error_code ParsePart(boost::beast::flat_buffer& buffer,
                                    parser_type& parser) {
  const auto bytes = buffer.cdata();
  const bool is_in_head = !parser.is_header_done();
  boost::system::error_code failed;
  const std::size_t parsed = parser.put(bytes, failed);
  const bool is_accepted =
      !failed || failed == boost::beast::http::error::need_more;
  if (is_in_head && is_accepted) {
    const auto invalid = CheckPartOfHead(
        parser, {static_cast<const char*>(bytes.data()), parsed});
    if (invalid)
      failed = invalid;
  }
  buffer.consume(parsed);
  return failed;
}

// Reads until the parser has taken a part of the message. Returns a
// `head_error` if its head is invalid though the parser takes it,
// `buffer_overflow` if a part that is read as a whole does not fit into the
// buffer, and `end_of_stream` if the connection ends before the message has
// begun. `on_read` is called with the number of bytes whenever some have been
// read into the buffer; if it returns false, the error is `no_buffer_space`.
template <typename parser_type>
boost::asio::awaitable<boost::system::error_code> ReadPart(
    boost::beast::tcp_stream& stream,
    boost::beast::flat_buffer& buffer,
    parser_type& parser,
    const std::function<bool(std::size_t)>& on_read) {
  namespace http = boost::beast::http;
  while (true) {
    boost::system::error_code failed;
    if (buffer.size() != 0) {
      failed = ParsePart(buffer, parser);
      if (failed != http::error::need_more)
        co_return failed;
    }
    const std::size_t size = boost::beast::read_size(buffer, kMaxReadBytes);
    if (size == 0)
      co_return make_error_code(http::error::buffer_overflow);
    const auto [ended, bytes] = co_await stream.async_read_some(
        buffer.prepare(size),
        boost::asio::as_tuple(boost::asio::use_awaitable));
    buffer.commit(bytes);
    if (ended == boost::asio::error::eof) {
      if (!parser.got_some())
        co_return make_error_code(http::error::end_of_stream);
      failed = {};
      parser.put_eof(failed);
      co_return failed;
    }
    if (ended)
      co_return ended;
    if (!on_read(bytes))
      co_return make_error_code(boost::system::errc::no_buffer_space);
  }
}

}  // namespace valeledge::net::detail

#endif  // VALELEDGE_NET_MESSAGE_READING_H_
