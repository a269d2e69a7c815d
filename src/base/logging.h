// SPDX-License-Identifier: MIT
// Numbered log events as text or JSON lines, through spdlog.
#ifndef VALELEDGE_BASE_LOGGING_H_
#define VALELEDGE_BASE_LOGGING_H_

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include <spdlog/common.h>

namespace valeledge::base {

// Every event this project logs. The numbers are stable across versions.
enum class log_event : int {
#define VALELEDGE_EVENT(name, number, severity, meaning) name = number,
#include "base/log_events.inc"
#undef VALELEDGE_EVENT
};

// What the catalogue says about one event.
struct log_event_entry {
  log_event event;
  std::string_view name;
  spdlog::level::level_enum level;
  std::string_view meaning;
};

// One named value of an event. Names stand for the same thing everywhere:
// request, attempt, partner, model, server, code.
struct log_field {
  std::string_view name;
  std::variant<std::string, std::int64_t> value;
};

enum class log_format { kText, kJson };

// All events in the order of their numbers.
std::span<const log_event_entry> LogEvents();

// Sets format and lowest level for the process; lines go to standard error.
void StartLogging(log_format format, spdlog::level::level_enum level);

// The same, but lines go to standard output from a thread of their own. A
// reader that does not take them never holds up the process: the oldest of
// those that wait are dropped, and LinesDropped counts them.
void StartAsyncLogging(log_format format, spdlog::level::level_enum level);

// Lines that were dropped so far since nobody took them.
std::int64_t LinesDropped();

// Has lines that wait in a buffer written soon; does not wait for it.
void FlushLogging();

// Writes what waits, as far as it is taken within a moment; call at the end.
void StopLogging();

// Writes one event. `category` is the module that saw it.
void Log(std::string_view category,
         log_event event,
         std::initializer_list<log_field> fields = {});

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_LOGGING_H_
