// SPDX-License-Identifier: MIT
// Checked settings: each feature lists its keys with default, range and help
// in one place, and a whole file is checked against all of them in one run.
#ifndef VALELEDGE_SETTINGS_SCHEMA_H_
#define VALELEDGE_SETTINGS_SCHEMA_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/endpoint.h"

namespace valeledge::settings {

// One fault of a settings file, worded for the person who wrote it.
struct fault {
  std::string file;
  int line = 0;
  std::string key;
  std::string found;
  std::string allowed;
};

// "file:line: key: found X, allowed Y".
std::string ToString(const fault& value);

namespace detail {

struct duration_field {
  std::chrono::microseconds* target;
  std::chrono::microseconds lowest;
  std::chrono::microseconds highest;
};

struct integer_field {
  std::int64_t* target;
  std::int64_t lowest;
  std::int64_t highest;
};

struct number_field {
  double* target;
  double lowest;
  double highest;
};

struct bool_field {
  bool* target;
};

struct text_field {
  std::string* target;
  bool required;
};

struct choice_field {
  std::string* target;
  std::vector<std::string> choices;
};

struct endpoint_field {
  base::endpoint* target;
  bool required;
};

struct endpoint_list_field {
  std::vector<base::endpoint>* target;
};

using field_kind = std::variant<duration_field,
                                integer_field,
                                number_field,
                                bool_field,
                                text_field,
                                choice_field,
                                endpoint_field,
                                endpoint_list_field>;

struct field {
  std::string section;
  std::string key;
  std::string help;
  field_kind kind;
};

}  // namespace detail

// Collects the keys of all features of one program. The targets hold the
// defaults when a key is added, and must outlive the schema.
class schema_builder {
 public:
  // Keys added from here on belong to the TOML table [name].
  schema_builder& Section(std::string name);
  schema_builder& Duration(std::string key,
                           std::chrono::microseconds* target,
                           std::chrono::microseconds lowest,
                           std::chrono::microseconds highest,
                           std::string help);
  schema_builder& Integer(std::string key,
                          std::int64_t* target,
                          std::int64_t lowest,
                          std::int64_t highest,
                          std::string help);
  schema_builder& Number(std::string key,
                         double* target,
                         double lowest,
                         double highest,
                         std::string help);
  schema_builder& Bool(std::string key, bool* target, std::string help);
  schema_builder& Text(std::string key, std::string* target, std::string help);
  schema_builder& RequiredText(std::string key,
                               std::string* target,
                               std::string help);
  schema_builder& Choice(std::string key,
                         std::string* target,
                         std::vector<std::string> choices,
                         std::string help);
  schema_builder& Endpoint(std::string key,
                           base::endpoint* target,
                           std::string help);
  schema_builder& RequiredEndpoint(std::string key,
                                   base::endpoint* target,
                                   std::string help);
  schema_builder& EndpointList(std::string key,
                               std::vector<base::endpoint>* target,
                               std::string help);

  // Reads a TOML file into the targets. Returns every fault found; the
  // targets are only of use when there is none.
  std::vector<fault> Load(const std::string& file) const;

  // The same from text; `file` only names it in faults.
  std::vector<fault> LoadText(std::string_view text,
                              const std::string& file) const;

  // All keys with their present values and help, as a TOML file.
  std::string Print() const;

 private:
  schema_builder& Add(std::string key,
                      std::string help,
                      detail::field_kind kind);

  std::string section_;
  std::vector<detail::field> fields_;
};

}  // namespace valeledge::settings

#endif  // VALELEDGE_SETTINGS_SCHEMA_H_
