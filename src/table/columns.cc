// SPDX-License-Identifier: MIT
#include "table/columns.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

#include "base/duration.h"
#include "base/endpoint.h"
#include "base/json.h"

namespace valeledge::table {

namespace {

using base::result_code;
using enum row_kind;

// Longest text of a name or free column.
constexpr std::size_t kLongestText = 200;

bool IsPlainText(std::string_view text) {
  const auto is_plain = [](unsigned char each) {
    return each > 0x20 && each != 0x7f && each != '"' && each != ',' &&
           each != '/' && each != '@';
  };
  return text.size() <= kLongestText && std::ranges::all_of(text, is_plain);
}

template <typename number>
bool ParseNumber(std::string_view text,
                 number lowest,
                 number highest,
                 number& out) {
  number value{};
  const char* const end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, value);
  if (status != std::errc() || rest != end)
    return false;
  if (!(value >= lowest && value <= highest))
    return false;
  out = value;
  return true;
}

std::string FormatNumber(double value) {
  std::array<char, 32> text;
  const auto [end, status] =
      std::to_chars(text.data(), text.data() + text.size(), value);
  return std::string(text.data(), end);
}

column Text(std::string_view name,
            std::vector<row_kind> kinds,
            std::string row::*member) {
  return {name, std::move(kinds),
          [member](const row& from) { return from.*member; },
          [member](row& to, std::string_view text) {
            if (!IsPlainText(text))
              return false;
            to.*member = std::string(text);
            return true;
          },
          "a text of at most 200 characters without spaces, commas, quotes, "
          "'/' or '@'"};
}

column Integer(std::string_view name,
               std::vector<row_kind> kinds,
               std::int64_t row::*member,
               std::int64_t lowest,
               std::int64_t highest,
               std::string_view allowed) {
  return {name, std::move(kinds),
          [member](const row& from) { return std::to_string(from.*member); },
          [=](row& to, std::string_view text) {
            return ParseNumber(text, lowest, highest, to.*member);
          },
          allowed};
}

column Number(std::string_view name,
              std::vector<row_kind> kinds,
              double row::*member,
              double lowest,
              double highest,
              std::string_view allowed) {
  return {name, std::move(kinds),
          [member](const row& from) { return FormatNumber(from.*member); },
          [=](row& to, std::string_view text) {
            return ParseNumber(text, lowest, highest, to.*member);
          },
          allowed};
}

column Truth(std::string_view name,
             std::vector<row_kind> kinds,
             bool row::*member) {
  return {name, std::move(kinds),
          [member](const row& from) {
            return std::string(from.*member ? "yes" : "no");
          },
          [member](row& to, std::string_view text) {
            if (text != "yes" && text != "no")
              return false;
            to.*member = text == "yes";
            return true;
          },
          "yes or no"};
}

column Address() {
  return {"address",
          {kServer},
          [](const row& from) { return from.address; },
          [](row& to, std::string_view text) {
            if (!base::ParseEndpoint(text))
              return false;
            to.address = std::string(text);
            return true;
          },
          "an IP number and port"};
}

column FirstToken() {
  return {
      "first_token",
      {kModel},
      [](const row& from) { return base::FormatDuration(from.first_token); },
      [](row& to, std::string_view text) {
        const auto value = base::ParseDuration(text);
        if (!value || *value < std::chrono::milliseconds(1))
          return false;
        to.first_token =
            std::chrono::duration_cast<std::chrono::milliseconds>(*value);
        return true;
      },
      "a duration of at least 1ms, as in 640ms"};
}

constexpr std::int64_t kHuge = 1'000'000'000;

const std::vector<column>& All() {
  static const std::vector<column> columns = {
      Text("partner", {kModel, kService}, &row::partner),
      Text("base", {kAdapter, kServer}, &row::base),
      Text("version", {kModel, kAdapter}, &row::version),
      Number("weight", {kPartner}, &row::weight, 0.001, 1e6,
             "a number from 0.001 to 1000000"),
      Integer("priority", {kModel, kService}, &row::priority, 0, 9,
              "a whole number from 0 (first) to 9 (last)"),
      Integer("limit_requests", {kPartner, kModel, kService},
              &row::limit_requests, 0, kHuge,
              "requests a second, 0 for no limit"),
      Integer("limit_tokens", {kPartner, kModel}, &row::limit_tokens, 0, kHuge,
              "tokens a second, 0 for no limit"),
      Integer("memory_mb", {kModel, kAdapter, kServer}, &row::memory_mb, 0,
              kHuge, "megabytes"),
      Integer("replicas", {kModel}, &row::replicas, 1, 1000,
              "a whole number from 1 to 1000"),
      Number("move_price", {kModel}, &row::move_price, 0, 1e9,
             "a number from 0 to 1000000000"),
      FirstToken(),
      Truth("idempotent", {kService}, &row::idempotent),
      Truth("refusal_not_run", {kService}, &row::refusal_not_run),
      Address(),
      Text("zone", {kServer}, &row::zone),
      Text("cell", {kServer}, &row::cell),
      Integer("slots", {kServer}, &row::slots, 1, 100'000,
              "a whole number from 1 to 100000"),
      Truth("fencing", {kServer}, &row::fencing),
      Truth("doubled_load", {kServer}, &row::doubled_load),
      Truth("redelivery", {kServer}, &row::redelivery),
  };
  return columns;
}

}  // namespace

std::span<const column> Columns() {
  return All();
}

const column* FindColumn(std::string_view name) {
  const auto found = std::ranges::find(All(), name, &column::name);
  return found == All().end() ? nullptr : &*found;
}

bool HasColumn(row_kind kind, const column& each) {
  return std::ranges::find(each.kinds, kind) != each.kinds.end();
}

base::result<void> SetColumn(row& target,
                             std::string_view name,
                             std::string_view text) {
  const column* found = FindColumn(name);
  const std::string kind(ToString(target.kind));
  if (found == nullptr || !HasColumn(target.kind, *found)) {
    return base::NotRun(
        result_code::kTableInvalid,
        "a " + kind + " row has no column \"" + std::string(name) + "\"");
  }
  if (!found->set(target, text)) {
    return base::NotRun(result_code::kTableInvalid,
                        KeyOf(target) + ", column " + std::string(name) +
                            ": found \"" + std::string(text) +
                            "\", allowed is " + std::string(found->allowed));
  }
  return {};
}

boost::json::object ToJson(const row& value) {
  boost::json::object object;
  object["kind"] = ToString(value.kind);
  object["name"] = value.name;
  for (const column& each : All()) {
    if (HasColumn(value.kind, each))
      object[each.name] = each.get(value);
  }
  return object;
}

base::result<row> RowFromJson(const boost::json::object& object) {
  row out;
  const std::string kind = base::StringField(object, "kind");
  const auto parsed = ParseRowKind(kind);
  if (!parsed) {
    return base::NotRun(result_code::kTableInvalid,
                        "unknown kind of row \"" + kind + "\"");
  }
  out.kind = *parsed;
  out.name = base::StringField(object, "name");
  if (out.name.empty() || !IsPlainText(out.name)) {
    return base::NotRun(result_code::kTableInvalid,
                        "\"" + out.name + "\" is not a row's name");
  }
  for (const auto& [key, value] : object) {
    if (key == "kind" || key == "name")
      continue;
    if (!value.is_string()) {
      return base::NotRun(result_code::kTableInvalid,
                          "column " + std::string(key) + " is not a text");
    }
    const auto set = SetColumn(out, key, value.get_string());
    if (!set)
      return tl::make_unexpected(set.error());
  }
  return out;
}

}  // namespace valeledge::table
