// SPDX-License-Identifier: MIT
// Parsing of callers' requests and of engines' event streams, and rendering of
// errors.
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "gateway/request/chat_request.h"
#include "gateway/request/event_reader.h"
#include "gateway/request/responses.h"

namespace {

using namespace valeledge;
using namespace valeledge::gateway;
using base::result_code;

table::snapshot Table() {
  table::snapshot out;
  const auto add = [&](table::row_kind kind, const char* name,
                       const char* base) {
    table::row row;
    row.kind = kind;
    row.name = name;
    row.base = base;
    row.partner = "p";
    row.priority = 3;
    out.rows[table::KeyOf(row)] = {row, 1, false};
  };
  add(table::row_kind::kModel, "season-draft", "");
  add(table::row_kind::kAdapter, "tenor", "season-draft");
  out.BuildIndexes();
  return out;
}

base::result<chat_request> Parse(const std::string& body,
                                 const char* field = nullptr,
                                 const char* value = nullptr) {
  auto request = net::MakeRequest(boost::beast::http::verb::post,
                                  "/v1/chat/completions", body);
  if (field != nullptr)
    request.set(field, value);
  return ParseChatRequest(request, gateway_settings(), Table());
}

constexpr const char* kGood =
    R"({"model":"season-draft","messages":[{"role":"user","content":"x"}]})";

std::vector<std::string> ReadEvents(const std::vector<std::string>& pieces) {
  event_reader reader;
  std::vector<std::string> out;
  for (const std::string& piece : pieces) {
    reader.Append(piece);
    while (auto event = reader.Next())
      out.push_back(*event);
  }
  return out;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_valid_request_is_parsed) {
  const auto read = Parse(kGood);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->common.partner == "p");
  BOOST_TEST(read->common.unit == "model/season-draft");
  BOOST_TEST(read->common.priority == 3);
  const auto adapter =
      Parse(R"({"model":"tenor","messages":[{"role":"user","content":"x"}]})");
  BOOST_TEST(adapter->common.unit == "adapter/tenor");
}

BOOST_AUTO_TEST_CASE(invalid_requests_get_specific_errors) {
  const auto code = [](const std::string& body) {
    return Parse(body).error().code;
  };
  BOOST_TEST((code("{") == result_code::kBadRequest));
  BOOST_TEST((code("[]") == result_code::kBadRequest));
  BOOST_TEST((code("{}") == result_code::kBadRequest));
  BOOST_TEST((code(R"({"model":"season-draft","messages":[]})") ==
              result_code::kBadRequest));
  BOOST_TEST(
      (code(R"({"model":"season-draft","max_tokens":0,"messages":[1]})") ==
       result_code::kBadRequest));
  const auto unknown =
      Parse(R"({"model":"seson-draft","messages":[1]})").error();
  BOOST_TEST((unknown.code == result_code::kUnknownModel));
  BOOST_TEST(unknown.message.find("season-draft") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(header_fields_are_checked) {
  BOOST_TEST(!Parse(kGood, "Valeledge-Deadline", "soon").has_value());
  BOOST_TEST(!Parse(kGood, "Valeledge-Deadline", "0s").has_value());
  BOOST_TEST(!Parse(kGood, "Valeledge-Priority", "12").has_value());
  BOOST_TEST(Parse(kGood, "Valeledge-Priority", "9")->common.priority == 9);
  // Callers cannot raise the priority above that of the row.
  BOOST_TEST(Parse(kGood, "Valeledge-Priority", "0")->common.priority == 3);
}

BOOST_AUTO_TEST_CASE(events_do_not_depend_on_how_the_stream_is_split) {
  const std::string stream =
      "data: {\"a\":1}\n\n: comment\n\nevent: x\r\ndata: two\r\n"
      "data: lines\r\n\r\ndata:[DONE]\n\n";
  const std::vector<std::string> whole = {"{\"a\":1}", "two\nlines", "[DONE]"};
  BOOST_TEST(ReadEvents({stream}) == whole, boost::test_tools::per_element());
  const bool passed = rc::check("cuts", [&] {
    const auto first_split =
        *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
    const auto second_split =
        *rc::gen::inRange<std::size_t>(first_split, stream.size() + 1);
    RC_ASSERT(
        ReadEvents({stream.substr(0, first_split),
                    stream.substr(first_split, second_split - first_split),
                    stream.substr(second_split)}) == whole);
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(an_overlong_event_is_detected) {
  event_reader reader;
  reader.Append("data: " + std::string(kMaxEventBytes + 1, 'x'));
  BOOST_TEST(!reader.Next().has_value());
  BOOST_TEST(reader.IsOverlong());
}

BOOST_AUTO_TEST_CASE(events_are_parsed_as_chunks_or_rejected) {
  const auto chunk =
      ParseChunk(R"({"id":"a","offset":3,"choices":[{"delta":{"content":"x"},)"
                 R"("finish_reason":"stop"}]})");
  BOOST_REQUIRE(chunk.has_value());
  BOOST_TEST(chunk->offset == 3);
  BOOST_TEST(chunk->finish_reason == "stop");
  BOOST_TEST(!ParseChunk("{}").has_value());
  const bool passed = rc::check(
      "chunks", [] { ParseChunk(*rc::gen::arbitrary<std::string>()); });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(error_responses_contain_code_outcome_and_retry_after) {
  const base::error failed{result_code::kOverloaded, base::outcome::kNotRun,
                           "full", std::chrono::milliseconds(1500)};
  const auto response = ErrorResponse(failed, "r1");
  BOOST_TEST(response.result_int() == 503U);
  BOOST_TEST(response["Valeledge-Outcome"] == "not_run");
  BOOST_TEST(response["Valeledge-Reason"] == "2003");
  BOOST_TEST(response["Retry-After"] == "2");
  BOOST_TEST(response.body().find("\"outcome\":\"not_run\"") !=
             std::string::npos);
}
