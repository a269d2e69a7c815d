// SPDX-License-Identifier: MIT
// Checks of the head of an HTTP message that the parser does not make. A
// message that fails one is not valid by RFC 9110 and 9112: none of it may be
// used, and the connection must be closed.
#ifndef VALELEDGE_NET_MESSAGE_HEAD_H_
#define VALELEDGE_NET_MESSAGE_HEAD_H_

#include <string_view>
#include <type_traits>

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace valeledge::net {

// What is wrong with a head that the parser accepts.
enum class head_error {
  // The status code is not between 100 and 599.
  kStatusOutOfRange = 1,
  // A field continues on a line that begins with a blank or a tab.
  kFoldedField,
  // The body is framed neither by a length, nor by chunks alone, nor by the end
  // of the connection.
  kUnknownTransferCoding,
};

boost::system::error_code make_error_code(head_error error);

// Whether the code is one of a `head_error`.
bool IsHeadError(const boost::system::error_code& code);

// Returns the first error of the head of a response, if any.
boost::system::error_code CheckHead(
    const boost::beast::http::response_header<>& head);

// Returns the first error of the head of a request, if any.
boost::system::error_code CheckHead(
    const boost::beast::http::request_header<>& head);

// Whether a line is folded in a part of a message that begins with a line of
// its head. All lines of the head must be whole; what follows the head is not
// regarded. The parser joins folded lines to one value.
bool HasFoldedField(std::string_view part);

}  // namespace valeledge::net

template <>
struct boost::system::is_error_code_enum<valeledge::net::head_error>
    : std::true_type {};

#endif  // VALELEDGE_NET_MESSAGE_HEAD_H_
