// SPDX-License-Identifier: MIT
#include "node/program.h"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "base/duty.h"
#include "base/logging.h"

namespace valeledge::node {

namespace {

namespace asio = boost::asio;
using base::log_event;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCategory = "program";
constexpr std::string_view kVersion = "0.1.0";

// How often a stopping program looks whether its work is done.
constexpr auto kIdleCheck = std::chrono::milliseconds(10);

// Time for the last responses to reach their callers before a stop is cut
// short.
constexpr auto kResponseTime = std::chrono::milliseconds(600);

int Exit(exit_status status) {
  return static_cast<int>(status);
}

spdlog::level::level_enum LevelOf(const std::string& name) {
  return spdlog::level::from_str(name);
}

// Waits until the work is done, at most for `limit`, or until it is cut short.
asio::awaitable<void> WaitUntilIdle(const program& spec,
                                    std::chrono::microseconds limit,
                                    const bool* cut_short) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!spec.is_idle() && std::chrono::steady_clock::now() < until) {
    if (cut_short != nullptr && *cut_short)
      break;
    timer.expires_after(kIdleCheck);
    co_await timer.async_wait(kAwait);
  }
}

// Waits until the work is done. What is left shortly before the stop deadline,
// or at a second signal, ends with a response.
asio::awaitable<void> EndWork(const program& spec, bool* cut_short) {
  co_await WaitUntilIdle(spec, spec.shared->stop_deadline - kResponseTime,
                         cut_short);
  if (spec.is_idle())
    co_return;
  *cut_short = true;
  if (!spec.respond_to_all)
    co_return;
  spec.respond_to_all();
  co_await WaitUntilIdle(spec, kResponseTime, nullptr);
}

asio::awaitable<void> NoteSecondSignal(asio::signal_set& signals,
                                       bool* cut_short) {
  const auto [failed, number] = co_await signals.async_wait(kAwait);
  if (!failed)
    *cut_short = true;
}

asio::awaitable<void> Live(const program& spec,
                           asio::io_context& context,
                           bool* cut_short) {
  asio::signal_set signals(context, SIGTERM, SIGINT);
  co_await signals.async_wait(kAwait);
  base::Log(kCategory, log_event::kStopRequested, {{"program", spec.name}});
  asio::co_spawn(context, NoteSecondSignal(signals, cut_short), asio::detached);
  spec.leave();
  asio::steady_timer notice(context, spec.shared->leave_notice);
  co_await notice.async_wait(kAwait);
  spec.refuse_new_work();
  co_await EndWork(spec, cut_short);
  signals.cancel();
}

int Run(program& spec) {
  const auto started = spec.start();
  if (!started) {
    base::Log(kCategory, log_event::kListenFailed,
              {{"reason", started.error().message}});
    return Exit(exit_status::kFailed);
  }
  base::Log(kCategory, log_event::kProgramStarted, {{"program", spec.name}});
  asio::io_context context(1);
  bool cut_short = false;
  asio::co_spawn(context, Live(spec, context, &cut_short), asio::detached);
  context.run();
  spec.stop();
  if (cut_short) {
    base::Log(kCategory, log_event::kStopCutShort, {{"program", spec.name}});
    return Exit(exit_status::kFailed);
  }
  base::Log(kCategory, log_event::kProgramStopped, {{"program", spec.name}});
  return Exit(exit_status::kOk);
}

}  // namespace

void PrintFaults(const std::vector<settings::fault>& faults) {
  for (const settings::fault& each : faults)
    std::cerr << settings::ToString(each) << "\n";
}

int RunProgram(int argc, char** argv, program& spec) {
  cxxopts::Options options(spec.name, spec.summary);
  options.add_options()("c,config", "Settings file (TOML)",
                        cxxopts::value<std::string>())(
      "check-settings", "Check the settings file and exit")(
      "print-settings", "Print all settings with help and exit")(
      "h,help", "Print this help")("version", "Print the version");
  std::optional<cxxopts::ParseResult> parsed;
  try {
    parsed = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& failed) {
    std::cerr << spec.name << ": " << failed.what() << "\n";
    return Exit(exit_status::kUsage);
  }
  if (parsed->count("help") != 0) {
    std::cout << options.help() << "\nExample: " << spec.name
              << " --config /etc/valeledge/" << spec.name << ".toml\n";
    return Exit(exit_status::kOk);
  }
  if (parsed->count("version") != 0) {
    std::cout << spec.name << " " << kVersion << "\n";
    return Exit(exit_status::kOk);
  }
  const bool has_file = parsed->count("config") != 0;
  if (has_file) {
    const auto faults = spec.schema.Load((*parsed)["config"].as<std::string>());
    if (!faults.empty()) {
      PrintFaults(faults);
      return Exit(exit_status::kUsage);
    }
  }
  if (parsed->count("print-settings") != 0) {
    std::cout << spec.schema.Print();
    return Exit(exit_status::kOk);
  }
  if (!has_file) {
    std::cerr << spec.name << ": --config FILE is missing\n";
    return Exit(exit_status::kUsage);
  }
  if (parsed->count("check-settings") != 0) {
    std::cout << "the settings are correct\n";
    return Exit(exit_status::kOk);
  }
  const bool json = spec.shared->log_format == "json";
  base::StartLogging(json ? base::log_format::kJson : base::log_format::kText,
                     LevelOf(spec.shared->log_level));
  return Run(spec);
}

}  // namespace valeledge::node
