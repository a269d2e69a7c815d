// SPDX-License-Identifier: MIT
#include "base/logging.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <memory>

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "base/json.h"

namespace valeledge::base {

namespace {

constexpr auto kEntries = std::to_array<log_event_entry>({
#define VALELEDGE_EVENT(name, number, severity, meaning) \
  {log_event::name, std::string_view(#name).substr(1),   \
   spdlog::level::severity, meaning},
#include "base/log_events.inc"
#undef VALELEDGE_EVENT
});

std::atomic<log_format> process_format = log_format::kText;

std::string AsText(const log_event_entry& entry,
                   std::string_view category,
                   std::initializer_list<log_field> fields) {
  std::string line = std::to_string(static_cast<int>(entry.event));
  line.append(" ").append(entry.name);
  line.append(" [").append(category).append("]");
  for (const log_field& field : fields) {
    line.append(" ").append(field.name).append("=");
    if (const auto* text = std::get_if<std::string>(&field.value))
      line.append(boost::json::serialize(boost::json::string(*text)));
    else
      line.append(std::to_string(std::get<std::int64_t>(field.value)));
  }
  return line;
}

std::string AsJson(const log_event_entry& entry,
                   std::string_view category,
                   std::initializer_list<log_field> fields) {
  boost::json::object line;
  line["event"] = static_cast<int>(entry.event);
  line["name"] = entry.name;
  line["category"] = category;
  for (const log_field& field : fields) {
    std::visit([&](const auto& value) { line[field.name] = value; },
               field.value);
  }
  return boost::json::serialize(line);
}

// Lines that may wait to be written; about 300 bytes each.
constexpr std::size_t kWaitingLines = 1024;

void Install(std::shared_ptr<spdlog::logger> logger,
             log_format format,
             spdlog::level::level_enum level) {
  process_format = format;
  logger->set_level(level);
  if (format == log_format::kJson) {
    // The message is a JSON object; its opening brace is cut off here so that
    // time and level come first in the same object.
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v)",
                        spdlog::pattern_time_type::utc);
  } else {
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %L %v",
                        spdlog::pattern_time_type::utc);
  }
  spdlog::set_default_logger(std::move(logger));
}

}  // namespace

std::span<const log_event_entry> LogEvents() {
  return kEntries;
}

void StartLogging(log_format format, spdlog::level::level_enum level) {
  auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  auto logger = std::make_shared<spdlog::logger>("valeledge", std::move(sink));
  logger->flush_on(spdlog::level::info);
  Install(std::move(logger), format, level);
}

void StartAsyncLogging(log_format format, spdlog::level::level_enum level) {
  spdlog::init_thread_pool(kWaitingLines, 1);
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_st>();
  auto logger = std::make_shared<spdlog::async_logger>(
      "valeledge", std::move(sink), spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  // What tells of trouble should be readable even if the process ends at once.
  logger->flush_on(spdlog::level::warn);
  Install(std::move(logger), format, level);
}

std::int64_t LinesDropped() {
  const auto pool = spdlog::thread_pool();
  return pool == nullptr ? 0
                         : static_cast<std::int64_t>(pool->overrun_counter());
}

void FlushLogging() {
  if (spdlog::logger* logger = spdlog::default_logger_raw(); logger != nullptr)
    logger->flush();
}

void StopLogging() {
  spdlog::shutdown();
}

void Log(std::string_view category,
         log_event event,
         std::initializer_list<log_field> fields) {
  const log_event_entry& entry =
      *std::ranges::find(kEntries, event, &log_event_entry::event);
  // There is none after StopLogging.
  spdlog::logger* logger = spdlog::default_logger_raw();
  if (logger == nullptr || !logger->should_log(entry.level))
    return;
  if (process_format == log_format::kJson)
    spdlog::log(entry.level, "{}", AsJson(entry, category, fields).substr(1));
  else
    spdlog::log(entry.level, "{}", AsText(entry, category, fields));
}

}  // namespace valeledge::base
