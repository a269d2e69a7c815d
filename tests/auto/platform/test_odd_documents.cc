// SPDX-License-Identifier: MIT
// Documents and fields that another writer has spoiled: a host goes on, and
// follows the sound ones.
#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "../host/relay_world.h"
#include "catalog_codec.h"
#include "host/process/store_update_handler.h"
#include "request_codec.h"

namespace {

using namespace valeledge;
using namespace std::chrono_literals;

// More than any time that is meant.
constexpr std::chrono::hours kFar{24 * 366 * 40};

const std::vector<std::string> kOddValues = {
    "1e400",
    "-1e400",
    "1e300",
    "1e19",
    "9223372036854775807",
    "-9223372036854775808",
    "18446744073709551616",
    "-1",
    "0",
    "0.5",
    "null",
    "true",
    "\"x\"",
    "\"99999999999999999999\"",
    "[]",
    "{}",
    "[[1]]",
    std::string(5000, '[') + std::string(5000, ']'),
    ""};

// A sound entry, with another value under one key.
std::string EntryWith(const std::string& key, const std::string& value) {
  std::string out = "{\"Service\":\"s\",\"Zone\":\"z\",\"Version\":\"v1\"";
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"Address", "\"127.0.0.1:9\""},
      {"Slots", "4"},
      {"State", "\"ready\""},
      {"ColdLeftMs", "0"},
      {"Seq", "7"},
      {"born", "1700000000000"},
      {"Models", "[]"},
      {"AtHand", "{\"InMemory\":[]}"}};
  for (const auto& [name, sound] : fields)
    out += ",\"" + name + "\":" + (name == key ? value : sound);
  return out + "}";
}

const std::vector<std::string> kEntryKeys = {"Address",    "Slots", "State",
                                             "ColdLeftMs", "Seq",   "born",
                                             "Models",     "AtHand"};

const std::string kConfiguration = R"({"Version": 7,
    "Routes": [{"Name": "r", "Host": "a.example", "PathPrefix": "/x/",
                "Kind": "stream", "TimeoutMs": 30000, "SloMs": 8000,
                "MaxAttempts": 2, "GapAimMs": 300, "Priority": 1,
                "Backends": [{"Service": "s", "Weight": 90}]}],
    "Services": [{"Name": "s", "MaxConns": 3, "ColdS": 3.0, "ColdPerS": 6.9,
                  "Engine": {"Slots": 4, "KvCapacity": 9, "WeightsMb": 2,
                             "AdapterSlots": 8, "LoadsPerS": 2.1,
                             "Models": [{"Name": "m", "WeightsMb": 6.9,
                                         "LoadS": 9, "Adapters": 3,
                                         "AdapterMb": 1, "DiskS": 2}]}}],
    "Tenants": [{"Name": "t", "ApiKeys": ["k"], "Unit": "tokens",
                 "RatePerS": 5, "Burst": 5, "PlainTokens": 1}],
    "Limits": {"MaxHeaderBytes": 1, "HeaderTimeoutMs": 3}})";

const std::string kReport = R"({"Stage": "both", "Seq": 2, "Busy": false,
    "Active": 12, "Queued": 1, "KvUsed": 41000, "KvTotal": 90000,
    "Models": [{"Name": "m", "Version": 1, "Adapters": ["a1"]}],
    "Coming": ["m/a2@1"], "AtHand": {"InMemory": ["m"], "OnDisk": []}})";

// Replaces a number, deletes or changes bytes, or cuts the end off.
std::string Spoil(std::string text, std::mt19937_64& random) {
  const auto below = [&](std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
  };
  for (std::size_t changes = 1 + below(3); changes > 0; --changes) {
    const std::size_t at = below(text.size());
    const std::size_t digit = text.find_first_of("0123456789", at);
    const std::size_t kind = below(5);
    if (kind < 3 && digit != std::string::npos) {
      const std::size_t end = text.find_first_not_of("0123456789.", digit);
      text.replace(digit, std::min(end, text.size()) - digit,
                   kOddValues[below(kOddValues.size())]);
    } else if (kind == 3) {
      text[at] = static_cast<char>(below(256));
    } else {
      text.resize(at + 1);
    }
  }
  return text;
}

BOOST_AUTO_TEST_SUITE(odd_documents)

BOOST_AUTO_TEST_CASE(an_odd_entry_is_refused_or_has_possible_values) {
  for (const std::string& key : kEntryKeys) {
    for (const std::string& value : kOddValues) {
      const auto entry = platform::DecodeServer("i-1", EntryWith(key, value));
      if (!entry)
        continue;
      BOOST_TEST_CONTEXT(key << ": " << value.substr(0, 30)) {
        BOOST_TEST((entry->cold_for < kFar));
        BOOST_TEST(entry->slots >= 0);
        BOOST_TEST(entry->slots <= 1'000'000);
        BOOST_TEST(entry->address.port != 0);
        const bool is_possible =
            !entry->started_at ||
            entry->started_at->time_since_epoch() < 4 * kFar;
        BOOST_TEST(is_possible);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ports_out_of_range_are_refused) {
  for (const std::string port : {"99999", "65536", "0", "-1", "", "1e3"}) {
    const std::string address = "\"127.0.0.1:" + port + "\"";
    BOOST_TEST(!platform::DecodeServer("i-1", EntryWith("Address", address)));
  }
}

BOOST_AUTO_TEST_CASE(spoiled_documents_are_read_to_the_end_or_refused) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 4000; ++i) {
    const auto entry =
        platform::DecodeServer("i-1", Spoil(EntryWith("", ""), random));
    if (entry)
      BOOST_TEST((entry->cold_for < kFar));
    const auto read =
        platform::DecodeConfiguration(Spoil(kConfiguration, random));
    for (const auto& route :
         read ? read->routes : std::vector<catalog::route>())
      BOOST_TEST((route.timeout < kFar && route.timeout > -kFar));
    const auto state = platform::DecodeEngineState(Spoil(kReport, random));
    if (state)
      BOOST_TEST(state->tokens_used + state->tokens_total < 1ll << 62);
  }
}

// Callers state such numbers as well.
BOOST_AUTO_TEST_CASE(amounts_of_requests_can_be_added) {
  const auto protocol = platform::MakeDialect();
  for (const std::string text : {"9223372036854775807", "-9223372036854775808",
                                 "-1", "99999999999999999999"}) {
    auto request = net::MakeRequest(boost::beast::http::verb::post, "/x");
    request.set("X-Deadline-Ms", text);
    request.set("X-Token-Count", text + "," + text);
    request.set("X-Prompt-Prefix", "1:" + text + ",2:" + text);
    const auto read = protocol.read_request(request);
    BOOST_TEST((read.deadline.value_or(0ms) < kFar));
    BOOST_TEST((read.deadline.value_or(0ms) >= 0ms));
    BOOST_TEST(read.declared_tokens.value_or(0) >= 0);
    BOOST_TEST(read.prompt_tokens >= 0);
    for (const host::prompt_part& part : read.prompt)
      BOOST_TEST(part.tokens >= 0);
  }
}

// Another writer's entries stand before and after that of the only server.
BOOST_AUTO_TEST_CASE(a_host_serves_and_follows_the_list_beside_odd_entries) {
  test::relay_world here;
  host::store_update_callbacks callbacks;
  callbacks.quarantine_key_put = [](const std::string&) { return false; };
  callbacks.quarantine_key_removed = [](const std::string&, bool) {
    return false;
  };
  host::store_update_handler handler(*here.core, callbacks);
  const std::string sound = "\"" + base::ToString(here.first.address()) + "\"";
  int count = 0;
  const auto put_odd = [&] {
    for (const std::string& key : kEntryKeys) {
      for (const std::string& value : kOddValues) {
        handler.Put("servers/odd" + std::to_string(++count),
                    EntryWith(key, value));
      }
    }
  };
  put_odd();
  // Odd entries that can be read lead nowhere.
  for (const auto& [instance, server] : here.core->servers.servers())
    server->leaving = true;
  handler.Put("servers/sound", EntryWith("Address", sound));
  put_odd();
  for (const auto& [instance, server] : here.core->servers.servers())
    server->leaving = instance != "sound";
  BOOST_TEST(here.SendRequest("/once/").status == 200);
  // A spoiled update leaves the sound entry in force, and the next one counts.
  handler.Put("servers/sound", EntryWith("Slots", "1e300"));
  BOOST_TEST(here.core->servers.Find("sound")->entry.slots == 4);
  handler.Put("servers/sound", EntryWith("State", "\"draining\""));
  BOOST_TEST(here.core->servers.Find("sound")->leaving);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
