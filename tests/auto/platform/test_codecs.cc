// SPDX-License-Identifier: MIT
#include <algorithm>
#include <cctype>
#include <string>
#include <utility>
#include <vector>

#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include "catalog_codec.h"
#include "request_codec.h"
#include "settings_file.h"

namespace {

using namespace valeledge;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(codecs)

BOOST_AUTO_TEST_CASE(a_configuration_is_read_and_unknown_fields_ignored) {
  const auto read = platform::DecodeConfiguration(R"({
    "Version": 7, "Other": [1],
    "Routes": [
      {"Name": "r1", "Host": "a.example", "PathPrefix": "/x/",
       "Kind": "stream", "TimeoutMs": 30000, "SloMs": 8000, "Priority": 1,
       "Service": "s1", "MaxAttempts": 2, "Resumable": true, "GapAimMs": 300,
       "AllowedRegions": ["west"]},
      {"Name": "r2", "Host": "a.example", "PathPrefix": "/x/y/",
       "Kind": "new kind", "TimeoutMs": 100,
       "Backends": [{"Service": "s1", "Weight": 90},
                    {"Service": "s2", "Weight": 10}]}],
    "Services": [
      {"Name": "s1", "MaxConns": 300, "Engine": {
        "Slots": 48, "KvCapacity": 1000, "WeightsMb": 200000,
        "AdapterSlots": 8, "LoadsPerS": 2.1, "Models": [
          {"Name": "m", "WeightsMb": 65099.99, "LoadS": 9, "Adapters": 3,
           "AdapterMb": 12, "WarmS": 1.2, "DiskS": 2}]}},
      {"Name": "s2", "ColdS": 3.0, "ColdPerS": 6.9}],
    "Limits": {"MaxHeaderBytes": 1, "MaxBodyBytes": 2,
               "HeaderTimeoutMs": 3, "IdleTimeoutMs": 4}})");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->version == 7);
  const catalog::route* deep = read->FindRoute("a.example", "/x/y/z");
  BOOST_REQUIRE(deep != nullptr);
  BOOST_TEST(deep->name == "r2");
  BOOST_TEST(!deep->MayRepeat());
  BOOST_TEST(deep->services.size() == 2u);
  const catalog::route* bound = read->FindRoute("a.example", "/x/a");
  BOOST_TEST(bound->MayRepeat());
  BOOST_TEST(bound->homes == std::vector<std::string>{"west"});
  BOOST_TEST(read->FindRoute("b.example", "/x/a") == nullptr);
  const catalog::service* engines = read->FindService("s1");
  BOOST_REQUIRE(engines != nullptr);
  BOOST_TEST(engines->engines.Find("m")->weights_mb == 65100);
  BOOST_TEST(
      (engines->engines.Find("m")->load_from_disk == milliseconds(2000)));
  BOOST_TEST(!read->FindService("s2")->HasModels());
  BOOST_TEST((read->FindService("s2")->cold_time == milliseconds(3000)));
  BOOST_TEST(read->FindService("s2")->cold_rate == 6.9);
  BOOST_TEST(read->limits.idle_timeout.count() == 4);
}

// Guards against features for high load that change how other deployments are
// served: plain routes and routes without an objective must not count.
BOOST_AUTO_TEST_CASE(urgency_is_mixed_if_objectives_of_streams_differ) {
  const auto read = platform::DecodeConfiguration(R"({
    "Version": 1,
    "Routes": [
      {"Name": "a", "Kind": "stream", "SloMs": 500, "Service": "mixed"},
      {"Name": "b", "Kind": "stream", "SloMs": 5001,
       "Backends": [{"Service": "mixed", "Weight": 90},
                    {"Service": "even", "Weight": 10}]},
      {"Name": "c", "Kind": "stream", "SloMs": 501, "Service": "even"},
      {"Name": "d", "Kind": "safe", "SloMs": 100, "Service": "even"},
      {"Name": "e", "Kind": "stream", "Service": "even"}],
    "Services": [{"Name": "mixed"}, {"Name": "even"}]})");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->FindService("mixed")->mixed_urgency);
  BOOST_TEST(!read->FindService("even")->mixed_urgency);
  BOOST_TEST(host::IsEnabled(host::feature_mode::kAuto, *read));
  BOOST_TEST(
      !host::IsEnabled(host::feature_mode::kAuto, *read->FindService("even")));
}

BOOST_AUTO_TEST_CASE(features_are_parsed) {
  const auto features = host::ParseLoadFeatures(
      "engine-queues=off,limit-priority=on,"
      "return-reservations=off");
  BOOST_REQUIRE(features.has_value());
  BOOST_TEST((features->engine_queues == host::feature_mode::kOff));
  BOOST_TEST((features->limit_priority == host::feature_mode::kOn));
  BOOST_TEST((features->return_reservations == host::feature_mode::kOff));
  BOOST_TEST((features->patient_loads == host::feature_mode::kAuto));
  BOOST_TEST((features->stream_separation == host::feature_mode::kOff));
  BOOST_TEST(
      (host::ParseLoadFeatures("stream-separation=off")->stream_separation ==
       host::feature_mode::kOff));
  for (const char* wrong : {"engine-queues", "queues=on", "patient-loads=1"})
    BOOST_TEST(!host::ParseLoadFeatures(wrong));
}

BOOST_AUTO_TEST_CASE(broken_values_are_errors) {
  BOOST_TEST(!platform::DecodeConfiguration("[]"));
  BOOST_TEST(!platform::DecodeConfiguration("{\"Version\": "));
  BOOST_TEST(!platform::DecodeServer("i-1", "{}"));
  BOOST_TEST(!platform::DecodeEngineState("null"));
  BOOST_TEST(!platform::ParseSettings("NodeName = "));
  BOOST_TEST(!platform::ParseSettings("NodeName = \"a\""));
}

BOOST_AUTO_TEST_CASE(an_entry_of_a_server_is_read) {
  const auto read = platform::DecodeServer("i-1", R"({"Service": "s",
    "Address": "10.0.0.1:80", "Zone": "z", "Slots": 6, "State": "draining",
    "ColdLeftMs": 2500, "Seq": 4, "Models": [{"Name": "m", "Version": 1, "Adapters": ["a1"]}],
    "AtHand": {"InMemory": ["m"], "OnDisk": ["m", "n"]}})");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->instance == "i-1");
  BOOST_TEST(read->draining);
  BOOST_TEST((read->cold_for == milliseconds(2500)));
  BOOST_TEST(read->models.front().adapters.front() == "a1");
  BOOST_TEST(read->on_disk.size() == 2u);
}

// Adapters on their way take places as well: an engine that is ordered to
// take more than it has places for ends.
BOOST_AUTO_TEST_CASE(adapters_on_their_way_are_held) {
  const auto state = platform::DecodeEngineState(R"({"Seq": 9, "Busy": true,
    "Models": [{"Name": "m", "Version": 1, "Adapters": ["a1"]}],
    "Coming": ["m/a2@1", "n/a3@1", "broken"],
    "AtHand": {"InMemory": [], "OnDisk": ["m"]}})");
  BOOST_REQUIRE(state.has_value());
  BOOST_TEST(state->orders_accepted == 9);
  BOOST_TEST(state->busy);
  BOOST_REQUIRE(state->models.size() == 1u);
  BOOST_TEST(state->models.front().adapters.size() == 2u);
}

BOOST_AUTO_TEST_CASE(a_request_is_read_and_an_attempt_written) {
  const host::external_protocol speech = platform::MakeDialect();
  net::http_request request;
  request.set("X-Request-Id", "9c41");
  request.set("X-Deadline-Ms", "1500");
  request.set("X-Model", "m/a3");
  request.set("X-Token-Count", "1460,80");
  request.set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410");
  const host::request_metadata head = speech.read_request(request);
  BOOST_TEST(head.id == "9c41");
  BOOST_TEST(head.deadline->count() == 1500);
  BOOST_TEST(head.model == "m");
  BOOST_TEST(head.adapter == "a3");
  BOOST_TEST(head.prompt_tokens == 1460);
  BOOST_TEST(head.expected_tokens == 80);
  BOOST_REQUIRE(head.prompt.size() == 2u);
  BOOST_TEST(head.prompt.back().id == 0x91bd3f06u);
  host::attempt_metadata attempt;
  attempt.deadline = milliseconds(900);
  attempt.instance = "i-1";
  attempt.resume_after = "12";
  speech.write_attempt(request, attempt);
  BOOST_TEST(request["X-Deadline-Ms"] == "900");
  BOOST_TEST(request["X-Expect-Instance"] == "i-1");
  BOOST_TEST(request["Last-Event-Id"] == "12");
  BOOST_TEST(request["X-Request-Id"] == "9c41");
}

host::response_metadata ReadLimits(const std::vector<std::string>& values) {
  net::http_response_header response;
  for (const std::string& value : values)
    response.insert("Server-Limit", value);
  return platform::MakeDialect().read_response(response);
}

BOOST_AUTO_TEST_CASE(a_servers_limit_is_read) {
  BOOST_TEST(!ReadLimits({}).limit.has_value());
  BOOST_TEST(!ReadLimits({}).limit_unreadable);
  BOOST_TEST(ReadLimits({"2.3"}).limit.value() == 2.3);
  BOOST_TEST(ReadLimits({"0"}).limit.value() == 0);
  BOOST_TEST(ReadLimits({"1e300"}).limit.value() == 1e300);
  BOOST_TEST(ReadLimits({"4", "1.5"}).limit.value() == 1.5);
  BOOST_TEST(ReadLimits({"few", "7"}).limit.value() == 7);
}

BOOST_AUTO_TEST_CASE(a_servers_limit_that_is_no_rate_is_no_limit) {
  for (const char* text : {"", "-1", "nan", "inf", "few", "2,3", "1 1", "1e999",
                           "0x10", "+1", "1;", "--"}) {
    BOOST_TEST_CONTEXT("'" << text << "'") {
      const host::response_metadata head = ReadLimits({text});
      BOOST_TEST(!head.limit.has_value());
      BOOST_TEST(head.limit_unreadable);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_leaving_server_is_known_by_its_responses) {
  const host::external_protocol speech = platform::MakeDialect();
  net::http_response_header header;
  BOOST_TEST(!speech.read_response(header).is_leaving);
  header.set("Server-Leaving", "1");
  BOOST_TEST(speech.read_response(header).is_leaving);
  header.set("Server-Leaving", "0");
  BOOST_TEST(!speech.read_response(header).is_leaving);
}

BOOST_AUTO_TEST_CASE(only_a_refusal_asks_for_a_backoff) {
  const host::external_protocol speech = platform::MakeDialect();
  for (const int status : {200, 400, 421, 429, 500, 503}) {
    BOOST_TEST_CONTEXT(status) {
      net::http_response_header header;
      header.result(status);
      header.set("Retry-After", "2.5");
      const bool refuses = status == 429 || status == 503;
      const auto backoff = speech.read_response(header).backoff;
      BOOST_TEST(backoff.has_value() == refuses);
      header.set("Retry-After", "later");
      BOOST_TEST(speech.read_response(header).backoff_unreadable == refuses);
    }
  }
}

// What only the system may ask of a server, as a caller could write it.
constexpr const char* kReservedFields[] = {
    "X-Request-Priority", "X-Expect-Instance", "X-Expect-Version", "X-Hold",
    "X-Pin-Ms",           "X-Kv-Backup",       "Kv-Fetch",         "Kv-From"};

// A caller that steers engines itself takes what is reserved for others.
BOOST_AUTO_TEST_CASE(no_field_of_the_system_passes_from_a_caller) {
  const host::external_protocol speech = platform::MakeDialect();
  for (const char* field : kReservedFields) {
    for (const char* model : {"m", ""}) {
      BOOST_TEST_CONTEXT(field << " with model '" << model << "'") {
        net::http_request request;
        request.set(field, "from the caller");
        // A second one, spelled otherwise, is the same field.
        std::string lower(field);
        std::ranges::transform(lower, lower.begin(), ::tolower);
        request.insert(lower, "again");
        if (*model != 0)
          request.set("X-Model", model);
        speech.write_attempt(request, {});
        for (const auto& each : request)
          BOOST_TEST(!each.value().starts_with("from the caller"));
        BOOST_TEST(request.count(field) <= 1u);
        BOOST_TEST(request[field] != "again");
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(a_callers_own_fields_pass) {
  const host::external_protocol speech = platform::MakeDialect();
  const std::pair<const char*, const char*> fields[] = {
      {"X-Request-Id", "9c41"},         {"X-Model", "m/a3"},
      {"X-Token-Count", "1460,80"},     {"X-Prompt-Prefix", "5c1e07a2:800"},
      {"X-Length-Hint", "40"},          {"Last-Event-Id", "7"},
      {"Content-Type", "text/plain"},   {"X-Hold-Music", "yes"},
      {"Authorization", "Bearer abcd"}, {"X-Forwarded-For", "10.0.0.1"}};
  net::http_request request;
  for (const auto& [name, value] : fields)
    request.set(name, value);
  speech.write_attempt(request, {});
  for (const auto& [name, value] : fields)
    BOOST_TEST(request[name] == value, name << " is changed");
}

BOOST_AUTO_TEST_CASE(events_have_ids) {
  const host::external_protocol speech = platform::MakeDialect();
  BOOST_TEST(speech.read_event_id("id: 7\ndata: id: 9\n\n").value() == 7);
  BOOST_TEST(speech.read_event_id("data: x\r\nid:8\r\n\r\n").value() == 8);
  BOOST_TEST(!speech.read_event_id("data: x\n\n"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
