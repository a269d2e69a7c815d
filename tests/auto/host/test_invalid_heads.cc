// SPDX-License-Identifier: MIT
// Responses whose head is not valid by RFC 9110 and 9112: nothing of them is
// believed or passed on, and what the server did remains unknown.
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "lost_world.h"

namespace {

using namespace valeledge;
using namespace valeledge::test;
using namespace std::chrono_literals;
using connection_action = scripted_response::connection_action;

const std::vector<std::string> kPaths = {"/once/", "/safe/", "/stream/",
                                         "/resumed/"};
const std::string kSoundFields =
    "X-Request-Id: $ID\r\nX-Server-Stamp: s\r\nX-Instance-Id: i-1\r\n";
const std::string kLengthAndBody = "Content-Length: 5\r\n\r\nhello";

std::string WithStatus(const std::string& status,
                       const std::string& fields = "") {
  return "HTTP/1.1 " + status + " Odd\r\n" + kSoundFields + fields +
         kLengthAndBody;
}

const std::string kLastChunk = "0\r\n\r\n";

const std::vector<std::string> kStatusesOutOfRange = {
    "000", "001", "042", "099", "600", "700", "799", "999"};

// What a caller gets of a request that is sent once, and whose server sends
// these bytes.
received_response Receive(const std::string& path, const std::string& bytes) {
  relay_world here;
  for (catalog::route& route : here.configuration.routes)
    route.attempts = 1;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{bytes, connection_action::kClose}};
  return here.SendRequest(path);
}

void CheckUnknown(const received_response& seen) {
  BOOST_TEST(seen.status == 502);
  BOOST_TEST(seen.fields["X-Server-Stamp"].empty());
  BOOST_TEST(seen.body.find("\"unknown\"") != std::string::npos);
}

void CheckUnknownOnEachRoute(const std::vector<std::string>& responses) {
  for (const std::string& bytes : responses) {
    for (const std::string& path : kPaths) {
      BOOST_TEST_CONTEXT(path << " " << bytes)
      CheckUnknown(Receive(path, bytes));
    }
  }
}

std::vector<std::string> WithStatuses(
    const std::vector<std::string>& statuses) {
  std::vector<std::string> responses;
  for (const std::string& each : statuses)
    responses.push_back(WithStatus(each));
  return responses;
}

// Asks a server that sends these bytes, and returns the error of the call after
// the client has closed its connection.
base::error FailedOpen(const std::string& bytes) {
  boost::asio::io_context context(1);
  backend_stand_in server(context);
  server.script = {{bytes, connection_action::kHang}};
  net::http_client client(context, nullptr, "X-Request-Id");
  base::error failed;
  const auto open = [&]() -> boost::asio::awaitable<void> {
    auto request = net::MakeRequest(boost::beast::http::verb::get, "/");
    request.set("X-Request-Id", "9c41");
    const auto opened =
        co_await client.Open(server.address(), request, {1s, 1s});
    BOOST_TEST(!opened);
    if (!opened)
      failed = opened.error();
  };
  boost::asio::co_spawn(context, open, boost::asio::detached);
  while (server.abandoned == 0)
    BOOST_REQUIRE_NE(context.run_one_for(5s), 0u);
  BOOST_TEST(client.idle_connections() == 0);
  return failed;
}

BOOST_AUTO_TEST_SUITE(invalid_heads)

BOOST_AUTO_TEST_CASE(a_status_out_of_range_is_no_response) {
  CheckUnknownOnEachRoute(WithStatuses(kStatusesOutOfRange));
}

BOOST_AUTO_TEST_CASE(a_status_out_of_range_that_is_relayed_is_no_response) {
  for (const std::string& path : kPaths) {
    lost_world here;
    for (auto* server : {&here.other.first, &here.other.second})
      server->script = {{WithStatus("000"), connection_action::kClose}};
    CheckUnknown(here.cut.SendRequest(path));
    BOOST_TEST(here.ServerRequests() > 0u);
  }
}

BOOST_AUTO_TEST_CASE(another_host_with_a_status_out_of_range_states_nothing) {
  for (const std::string& path : kPaths) {
    lost_world here;
    here.other.first.script = {
        {WithStatus("000",
                    "Valeledge-Relay-Code: 3007\r\n"
                    "Valeledge-Relay-Outcome: not_run\r\n"),
         connection_action::kClose}};
    here.relay_port = here.other.first.address().port;
    CheckUnknown(here.cut.SendRequest(path));
    BOOST_TEST(here.other.first.requests.size() == 1u);
  }
}

// The request has run, or may run yet.
BOOST_AUTO_TEST_CASE(a_status_out_of_range_does_not_promise_not_run) {
  for (const std::string& status : kStatusesOutOfRange) {
    relay_world here;
    here.AddServer("i-1", here.first.address());
    here.first.script = {{WithStatus(status, "X-Not-Run: 1\r\n")}};
    CheckUnknown(here.SendRequestAddingServer("/once/"));
    BOOST_TEST(here.first.requests.size() == 1u);
    BOOST_TEST(here.second.requests.empty());
  }
}

BOOST_AUTO_TEST_CASE(a_request_that_may_be_repeated_is_sent_to_another_server) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{WithStatus("000")}};
  BOOST_TEST(here.SendRequestAddingServer("/safe/").status == 200);
  BOOST_TEST(here.second.requests.size() == 1u);
}

BOOST_AUTO_TEST_CASE(a_stream_that_goes_on_with_a_status_out_of_range_breaks) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {
      {kStreamHeader + Chunk(Event(1)), connection_action::kClose}};
  here.second.script = {{WithStatus("000"), connection_action::kClose}};
  const auto seen = here.SendRequestAddingServer("/resumed/");
  BOOST_TEST(seen.body == Event(1));
  BOOST_TEST(seen.broken);
}

BOOST_AUTO_TEST_CASE(a_server_with_a_status_out_of_range_has_failed) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{WithStatus("000", "Server-Leaving: 1\r\n")}};
  here.SendRequest("/once/");
  const auto server = here.core->servers.Find("i-1");
  BOOST_TEST(server->trust.failure_rate > 0);
  BOOST_TEST(!server->SaysLeaving());
}

BOOST_AUTO_TEST_CASE(an_error_of_the_head_names_the_server_and_the_reason) {
  const base::error failed = FailedOpen(WithStatus("000"));
  BOOST_TEST((failed.what_ran == base::outcome::kUnknown));
  BOOST_TEST(!failed.connection_lost);
  BOOST_TEST(failed.message.starts_with("127.0.0.1:"));
  BOOST_TEST(failed.message.ends_with(
      "no valid response: the status code is not between 100 and 599"));
}

// It responds, unlike one that breaks off its connections.
BOOST_AUTO_TEST_CASE(a_server_is_suspended_if_it_sends_invalid_heads_often) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{WithStatus("000")}};
  const auto server = here.core->servers.Find("i-1");
  const auto is_suspended = [&] {
    return server->trust.suspended_until > std::chrono::steady_clock::now();
  };
  for (int sent = 0; sent < 3; ++sent) {
    here.SendRequest("/once/");
    BOOST_TEST(!is_suspended());
  }
  here.SendRequest("/once/");
  BOOST_TEST(is_suspended());
}

// Neither as an interim response, nor as one to another request.
BOOST_AUTO_TEST_CASE(nothing_is_read_after_a_status_out_of_range) {
  for (const std::string before :
       {"HTTP/1.1 099 Odd\r\n\r\n",
        "HTTP/1.1 000 Odd\r\nX-Request-Id: 9c42\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 600 Odd\r\n\r\n"}) {
    BOOST_TEST_CONTEXT(before) {
      const base::error failed = FailedOpen(before + kWholeResponse);
      BOOST_TEST((failed.what_ran == base::outcome::kUnknown));
    }
  }
}

BOOST_AUTO_TEST_CASE(all_statuses_in_the_range_are_passed_on) {
  for (const std::string status : {"201", "299", "306", "418", "451", "599"}) {
    for (const std::string& path : kPaths)
      BOOST_TEST(Receive(path, WithStatus(status)).status == std::stoi(status));
  }
}

BOOST_AUTO_TEST_CASE(a_field_that_is_folded_makes_a_response_invalid) {
  std::vector<std::string> responses;
  for (const std::string fold : {" X-Odd: 1", "\tX-Odd: 1", " ", "\t",
                                 "   more", " Content-Length: 9"}) {
    for (const std::string before : {"", "X-Odd:", "X-Odd: 1"}) {
      const std::string line = before.empty() ? "" : before + "\r\n";
      responses.push_back(WithStatus("200", line + fold + "\r\n"));
    }
  }
  // At the end of the head.
  responses.push_back("HTTP/1.1 200 OK\r\n" + kSoundFields +
                      "Content-Length: 5\r\n \r\n\r\nhello");
  CheckUnknownOnEachRoute(responses);
}

BOOST_AUTO_TEST_CASE(a_folded_field_does_not_promise_not_run) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{WithStatus("503", "X-Not-Run: 1\r\n X-Odd: 1\r\n")}};
  CheckUnknown(here.SendRequestAddingServer("/once/"));
  BOOST_TEST(here.second.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_folded_field_that_arrives_in_parts_is_found) {
  const std::string bytes = WithStatus("200", "X-Odd: 1\r\n X-Other: 1\r\n");
  const std::size_t end = bytes.find("hello");
  for (std::size_t at = 0; at < end; ++at) {
    boost::asio::io_context context(1);
    boost::asio::ip::tcp::acceptor acceptor(
        context, {boost::asio::ip::address_v4::loopback(), 0});
    boost::asio::ip::tcp::socket server(context);
    net::http_client client(context);
    std::optional<base::error> failed;
    const auto open = [&]() -> boost::asio::awaitable<void> {
      const auto opened = co_await client.Open(
          net::FromTcp(acceptor.local_endpoint()),
          net::MakeRequest(boost::beast::http::verb::get, "/"), {1s, 1s});
      BOOST_TEST(!opened);
      failed = opened ? base::error() : opened.error();
    };
    const auto serve = [&]() -> boost::asio::awaitable<void> {
      server = co_await acceptor.async_accept(boost::asio::use_awaitable);
      while (client.bytes() == 0)
        co_await boost::asio::post(context, boost::asio::use_awaitable);
      const std::int64_t sent = client.bytes();
      const auto part_size = static_cast<std::int64_t>(at);
      co_await boost::asio::async_write(
          server, boost::asio::buffer(bytes.substr(0, at)),
          boost::asio::use_awaitable);
      while (client.bytes() < sent + part_size)
        co_await boost::asio::post(context, boost::asio::use_awaitable);
      co_await boost::asio::async_write(server,
                                        boost::asio::buffer(bytes.substr(at)),
                                        boost::asio::use_awaitable);
    };
    boost::asio::co_spawn(context, open, boost::asio::detached);
    boost::asio::co_spawn(context, serve, boost::asio::detached);
    while (!failed)
      BOOST_REQUIRE_NE(context.run_one_for(5s), 0u);
    BOOST_TEST((failed->what_ran == base::outcome::kUnknown));
  }
}

// Chunks would be passed on with their sizes, or the coding of a body would be
// lost.
BOOST_AUTO_TEST_CASE(a_transfer_coding_other_than_chunked_is_no_response) {
  std::vector<std::string> responses;
  for (const std::string coding :
       {"identity", "gzip", "xchunked", "\"chunked\"", "", "chunked, gzip",
        "chunked, chunked", "gzip, chunked", "chunked;q=1", "chunked x",
        "gzip\r\nTransfer-Encoding: chunked", "gzip\r\nContent-Length: 15"}) {
    responses.push_back("HTTP/1.1 200 OK\r\n" + kSoundFields +
                        "Transfer-Encoding: " + coding + "\r\n\r\n" +
                        Chunk("hello") + kLastChunk);
  }
  // The framing of HTTP/1.0 has no transfer codings.
  responses.push_back("HTTP/1.0 200 OK\r\n" + kSoundFields +
                      "Transfer-Encoding: chunked\r\n\r\n" + Chunk("hello") +
                      kLastChunk);
  CheckUnknownOnEachRoute(responses);
}

BOOST_AUTO_TEST_CASE(an_unknown_transfer_coding_does_not_promise_not_run) {
  relay_world here;
  here.AddServer("i-1", here.first.address());
  here.first.script = {{"HTTP/1.1 503 Odd\r\nX-Not-Run: 1\r\n" + kSoundFields +
                        "Transfer-Encoding: identity\r\n\r\n"}};
  CheckUnknown(here.SendRequestAddingServer("/once/"));
  BOOST_TEST(here.second.requests.empty());
}

BOOST_AUTO_TEST_CASE(a_malformed_status_line_is_no_response) {
  std::vector<std::string> responses = WithStatuses(
      {"0", "20", "2000", "-20", "20a", "0x2", " 200", "", "200\t"});
  const std::string fields = kSoundFields + kLengthAndBody;
  for (const std::string line :
       {"HTTP/1.1 200", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/0.9 200 OK",
        "http/1.1 200 OK", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK"}) {
    responses.push_back(line + "\r\n" + fields);
  }
  CheckUnknownOnEachRoute(responses);
}

BOOST_AUTO_TEST_CASE(a_field_name_that_is_no_token_makes_a_response_invalid) {
  std::vector<std::string> responses;
  for (const std::string& odd :
       {std::string(" "), std::string("\t"), std::string(1, '\0'),
        std::string("\x01"), std::string("\x1b"), std::string("\x7f"),
        std::string("\r"), std::string("\n"), std::string("\xff"),
        std::string("@"), std::string("\""), std::string("/")}) {
    for (const std::string name :
         {"X-Odd", "Content-Length", "Transfer-Encoding", "X-Request-Id"}) {
      const std::size_t middle = name.find('-');
      responses.push_back(WithStatus(
          "200",
          name.substr(0, middle) + odd + name.substr(middle) + ": 1\r\n"));
      responses.push_back(WithStatus("200", name + odd + ": 1\r\n"));
    }
  }
  responses.push_back(WithStatus("200", ": 1\r\n"));
  responses.push_back(WithStatus("200", "X-Odd\r\n"));
  responses.push_back("HTTP/1.1 200 OK\r\n X-Odd: 1\r\n" + kSoundFields +
                      kLengthAndBody);
  CheckUnknownOnEachRoute(responses);
}

BOOST_AUTO_TEST_CASE(a_control_byte_in_a_field_value_makes_a_response_invalid) {
  std::vector<std::string> responses;
  for (const char odd : {'\0', '\x01', '\x1b', '\x7f', '\r', '\n'}) {
    responses.push_back(
        WithStatus("200", "X-Odd: a" + std::string(1, odd) + "b\r\n"));
  }
  CheckUnknownOnEachRoute(responses);
}

BOOST_AUTO_TEST_CASE(a_body_length_that_is_not_certain_is_no_response) {
  std::vector<std::string> responses;
  const std::string start = "HTTP/1.1 200 OK\r\n" + kSoundFields;
  for (const std::string framing :
       {"Content-Length: 5\r\nContent-Length: 4", "Content-Length: 5, 4",
        "Content-Length: -5", "Content-Length: +5", "Content-Length: 5 5",
        "Content-Length: 0x5",
        "Content-Length:", "Content-Length: 99999999999999999999",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"}) {
    responses.push_back(start + framing + "\r\n\r\nhello");
  }
  CheckUnknownOnEachRoute(responses);
}

BOOST_AUTO_TEST_CASE(unusual_heads_that_are_valid_are_passed_on) {
  const std::string start = "HTTP/1.1 200 OK\r\n" + kSoundFields;
  for (const std::string& bytes :
       {"HTTP/1.1 200 \r\n" + kSoundFields + kLengthAndBody,
        "HTTP/1.1 200 O\xc3\tK\r\n" + kSoundFields + kLengthAndBody,
        "HTTP/1.0 200 OK\r\n" + kSoundFields + kLengthAndBody,
        start + "X-!#$%&'*+.^_`|~9: \xe2\x82\xac\t1 \t\r\n" + kLengthAndBody,
        start + "X-Odd:\r\n" + kLengthAndBody,
        start + "Content-Length: 5, 5\r\n" + kLengthAndBody,
        start + "transfer-encoding:\tChunked \r\n\r\n" + Chunk("hello") +
            kLastChunk}) {
    for (const std::string path : {"/once/", "/safe/"}) {
      BOOST_TEST_CONTEXT(path << " " << bytes) {
        const auto seen = Receive(path, bytes);
        BOOST_TEST(seen.status == 200);
        BOOST_TEST(seen.body == "hello");
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
