// SPDX-License-Identifier: MIT
#include "settings/schema.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

#include <toml++/toml.h>

#include "base/duration.h"

namespace valeledge::settings {

namespace {

using detail::field;

std::string Quote(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

std::string Show(const toml::node& node) {
  std::ostringstream out;
  node.visit([&out](const auto& value) { out << value; });
  return out.str();
}

std::string Join(const std::vector<std::string>& words) {
  std::string out;
  for (const std::string& word : words) {
    if (!out.empty())
      out.append(", ");
    out.append(Quote(word));
  }
  return out;
}

// Reading: each function stores the value, or says what would be allowed.
using complaint = std::optional<std::string>;

complaint Read(const detail::duration_field& kind, const toml::node& node) {
  const std::string allowed = "a duration with its unit from \"" +
                              base::FormatDuration(kind.lowest) + "\" to \"" +
                              base::FormatDuration(kind.highest) + "\"";
  const auto text = node.value_exact<std::string>();
  if (!text)
    return allowed;
  const auto value = base::ParseDuration(*text);
  if (!value || *value < kind.lowest || *value > kind.highest)
    return allowed;
  *kind.target = *value;
  return std::nullopt;
}

complaint Read(const detail::integer_field& kind, const toml::node& node) {
  const auto value = node.value_exact<std::int64_t>();
  if (!value || *value < kind.lowest || *value > kind.highest) {
    return "a whole number from " + std::to_string(kind.lowest) + " to " +
           std::to_string(kind.highest);
  }
  *kind.target = *value;
  return std::nullopt;
}

complaint Read(const detail::number_field& kind, const toml::node& node) {
  const bool numeric = node.is_integer() || node.is_floating_point();
  const auto value = node.value<double>();
  if (!numeric || *value < kind.lowest || *value > kind.highest) {
    std::ostringstream out;
    out << "a number from " << kind.lowest << " to " << kind.highest;
    return out.str();
  }
  *kind.target = *value;
  return std::nullopt;
}

complaint Read(const detail::bool_field& kind, const toml::node& node) {
  const auto value = node.value_exact<bool>();
  if (!value)
    return "true or false";
  *kind.target = *value;
  return std::nullopt;
}

complaint Read(const detail::text_field& kind, const toml::node& node) {
  const auto value = node.value_exact<std::string>();
  if (!value || (kind.required && value->empty()))
    return kind.required ? "a text that is not empty" : "a text";
  *kind.target = *value;
  return std::nullopt;
}

complaint Read(const detail::choice_field& kind, const toml::node& node) {
  const auto value = node.value_exact<std::string>();
  if (!value || std::ranges::find(kind.choices, *value) == kind.choices.end())
    return "one of " + Join(kind.choices);
  *kind.target = *value;
  return std::nullopt;
}

constexpr std::string_view kEndpointAllowed =
    "an IP number and port as in \"127.0.0.1:8080\" (no host name)";

complaint Read(const detail::endpoint_field& kind, const toml::node& node) {
  const auto text = node.value_exact<std::string>();
  const auto value = text ? base::ParseEndpoint(*text) : std::nullopt;
  if (!value)
    return std::string(kEndpointAllowed);
  *kind.target = *value;
  return std::nullopt;
}

complaint Read(const detail::endpoint_list_field& kind,
               const toml::node& node) {
  const std::string allowed =
      "a list, each entry " + std::string(kEndpointAllowed);
  const toml::array* list = node.as_array();
  if (list == nullptr)
    return allowed;
  kind.target->clear();
  for (const toml::node& entry : *list) {
    const auto text = entry.value_exact<std::string>();
    const auto value = text ? base::ParseEndpoint(*text) : std::nullopt;
    if (!value)
      return allowed;
    kind.target->push_back(*value);
  }
  return std::nullopt;
}

// Printing: the present value as TOML.
std::string Print(const detail::duration_field& kind) {
  return Quote(base::FormatDuration(*kind.target));
}

std::string Print(const detail::integer_field& kind) {
  return std::to_string(*kind.target);
}

std::string Print(const detail::number_field& kind) {
  std::ostringstream out;
  out << *kind.target;
  const std::string text = out.str();
  return text.find_first_of(".e") == std::string::npos ? text + ".0" : text;
}

std::string Print(const detail::bool_field& kind) {
  return *kind.target ? "true" : "false";
}

std::string Print(const detail::text_field& kind) {
  return Quote(*kind.target);
}

std::string Print(const detail::choice_field& kind) {
  return Quote(*kind.target);
}

std::string Print(const detail::endpoint_field& kind) {
  return Quote(base::ToString(*kind.target));
}

std::string Print(const detail::endpoint_list_field& kind) {
  std::vector<std::string> words;
  for (const base::endpoint& each : *kind.target)
    words.push_back(base::ToString(each));
  return "[" + Join(words) + "]";
}

bool IsRequired(const field& each) {
  if (const auto* text = std::get_if<detail::text_field>(&each.kind))
    return text->required;
  if (const auto* endpoint = std::get_if<detail::endpoint_field>(&each.kind))
    return endpoint->required;
  return false;
}

std::string FullKey(const field& each) {
  return each.section + "." + each.key;
}

int LineOf(const toml::node& node) {
  return static_cast<int>(node.source().begin.line);
}

void CheckUnknownKeys(const toml::table& root,
                      const std::vector<field>& fields,
                      const std::string& file,
                      std::vector<fault>& faults) {
  for (const auto& [section, node] : root) {
    const std::string section_name(section.str());
    const toml::table* table = node.as_table();
    const auto in_section = [&](const field& each) {
      return each.section == section_name;
    };
    if (table == nullptr || std::ranges::none_of(fields, in_section)) {
      faults.push_back({file, LineOf(node), section_name, "an unknown name",
                        "a section that --print-settings lists"});
      continue;
    }
    for (const auto& [key, value] : *table) {
      const std::string name(key.str());
      const auto same = [&](const field& each) {
        return in_section(each) && each.key == name;
      };
      if (std::ranges::any_of(fields, same))
        continue;
      faults.push_back({file, LineOf(value), section_name + "." + name,
                        "an unknown key", "a key that --print-settings lists"});
    }
  }
}

void CheckField(const toml::table& root,
                const field& each,
                const std::string& file,
                std::vector<fault>& faults) {
  const toml::node_view<const toml::node> node = root[each.section][each.key];
  if (!node) {
    if (IsRequired(each))
      faults.push_back(
          {file, 0, FullKey(each), "nothing", "a value: " + each.help});
    return;
  }
  const auto allowed = std::visit(
      [&](const auto& kind) { return Read(kind, *node.node()); }, each.kind);
  if (allowed) {
    faults.push_back({file, LineOf(*node.node()), FullKey(each),
                      Show(*node.node()), *allowed});
  }
}

// Two listening addresses of one program must differ.
void CheckListeners(const toml::table& root,
                    const std::vector<field>& fields,
                    const std::string& file,
                    std::vector<fault>& faults) {
  std::map<base::endpoint, std::string> seen;
  for (const field& each : fields) {
    const auto* kind = std::get_if<detail::endpoint_field>(&each.kind);
    const bool listens = each.key.find("listen") != std::string::npos;
    if (kind == nullptr || !listens || kind->target->port == 0)
      continue;
    const auto [earlier, fresh] = seen.emplace(*kind->target, FullKey(each));
    if (fresh)
      continue;
    const auto node = root[each.section][each.key];
    faults.push_back(
        {file, node ? LineOf(*node.node()) : 0, FullKey(each),
         Quote(base::ToString(*kind->target)),
         "an address that " + earlier->second + " does not use already"});
  }
}

}  // namespace

std::string ToString(const fault& value) {
  return value.file + ":" + std::to_string(value.line) + ": " + value.key +
         ": found " + value.found + ", allowed is " + value.allowed;
}

schema_builder& schema_builder::Section(std::string name) {
  section_ = std::move(name);
  return *this;
}

schema_builder& schema_builder::Add(std::string key,
                                    std::string help,
                                    detail::field_kind kind) {
  fields_.push_back({section_, std::move(key), std::move(help), kind});
  return *this;
}

schema_builder& schema_builder::Duration(std::string key,
                                         std::chrono::microseconds* target,
                                         std::chrono::microseconds lowest,
                                         std::chrono::microseconds highest,
                                         std::string help) {
  return Add(std::move(key), std::move(help),
             detail::duration_field{target, lowest, highest});
}

schema_builder& schema_builder::Integer(std::string key,
                                        std::int64_t* target,
                                        std::int64_t lowest,
                                        std::int64_t highest,
                                        std::string help) {
  return Add(std::move(key), std::move(help),
             detail::integer_field{target, lowest, highest});
}

schema_builder& schema_builder::Number(std::string key,
                                       double* target,
                                       double lowest,
                                       double highest,
                                       std::string help) {
  return Add(std::move(key), std::move(help),
             detail::number_field{target, lowest, highest});
}

schema_builder& schema_builder::Bool(std::string key,
                                     bool* target,
                                     std::string help) {
  return Add(std::move(key), std::move(help), detail::bool_field{target});
}

schema_builder& schema_builder::Text(std::string key,
                                     std::string* target,
                                     std::string help) {
  return Add(std::move(key), std::move(help),
             detail::text_field{target, false});
}

schema_builder& schema_builder::RequiredText(std::string key,
                                             std::string* target,
                                             std::string help) {
  return Add(std::move(key), std::move(help), detail::text_field{target, true});
}

schema_builder& schema_builder::Choice(std::string key,
                                       std::string* target,
                                       std::vector<std::string> choices,
                                       std::string help) {
  return Add(std::move(key), std::move(help),
             detail::choice_field{target, std::move(choices)});
}

schema_builder& schema_builder::Endpoint(std::string key,
                                         base::endpoint* target,
                                         std::string help) {
  return Add(std::move(key), std::move(help),
             detail::endpoint_field{target, false});
}

schema_builder& schema_builder::RequiredEndpoint(std::string key,
                                                 base::endpoint* target,
                                                 std::string help) {
  return Add(std::move(key), std::move(help),
             detail::endpoint_field{target, true});
}

schema_builder& schema_builder::EndpointList(
    std::string key,
    std::vector<base::endpoint>* target,
    std::string help) {
  return Add(std::move(key), std::move(help),
             detail::endpoint_list_field{target});
}

std::vector<fault> schema_builder::Load(const std::string& file) const {
  std::ifstream in(file);
  if (!in)
    return {{file, 0, "(file)", "nothing", "a file that can be read"}};
  std::ostringstream text;
  text << in.rdbuf();
  return LoadText(text.str(), file);
}

std::vector<fault> schema_builder::LoadText(std::string_view text,
                                            const std::string& file) const {
  std::optional<toml::table> root;
  try {
    root = toml::parse(text, file);
  } catch (const toml::parse_error& failed) {
    return {{file, static_cast<int>(failed.source().begin.line), "(syntax)",
             std::string(failed.description()), "a TOML file"}};
  }
  std::vector<fault> faults;
  CheckUnknownKeys(*root, fields_, file, faults);
  for (const field& each : fields_)
    CheckField(*root, each, file, faults);
  CheckListeners(*root, fields_, file, faults);
  return faults;
}

std::string schema_builder::Print() const {
  std::string out;
  std::string_view section;
  for (const field& each : fields_) {
    if (each.section != section) {
      out.append(section.empty() ? "[" : "\n[").append(each.section);
      out.append("]\n");
      section = each.section;
    }
    out.append("# ").append(each.help).append("\n");
    out.append(IsRequired(each) ? "# Required.\n" : "");
    out.append(each.key).append(" = ");
    out.append(std::visit(
        [](const auto& kind) { return settings::Print(kind); }, each.kind));
    out.append("\n");
  }
  return out;
}

}  // namespace valeledge::settings
