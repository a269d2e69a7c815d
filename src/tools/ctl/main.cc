// SPDX-License-Identifier: MIT
// valeledgectl: the operators' command line.
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "base/duration.h"
#include "controller/process/controller_settings.h"
#include "gateway/process/gateway_settings.h"
#include "node/program.h"
#include "scheduler/process/scheduler_settings.h"
#include "tools/ctl/explain_command.h"
#include "tools/ctl/orders_command.h"
#include "tools/ctl/output.h"
#include "tools/ctl/quarantine_command.h"
#include "tools/ctl/status_command.h"
#include "tools/ctl/table_command.h"
#include "tools/ctl/why_command.h"

namespace {

using valeledge::ctl::exit_status;
using valeledge::ctl::output_format;

constexpr const char* kHelp = R"(
Verbs:
  table show                          valeledgectl table show --platform 127.0.0.1:2379
  table set KIND/NAME COLUMN=VALUE... valeledgectl table set partner/choirs weight=2
  table remove KIND/NAME              valeledgectl table remove adapter/tenor
  table import FILE                   valeledgectl table import season.csv
  table export                        valeledgectl table export > season.csv
  table diff FILE                     valeledgectl table diff season.csv
  table history                       valeledgectl table history
  orders show                         valeledgectl orders show
  orders ended CONTROLLER-ID          valeledgectl orders ended controller-3
  quarantine show                     valeledgectl quarantine show
  quarantine lift NAME                valeledgectl quarantine lift parts/00000000dead0001
  status                              valeledgectl status --admin 127.0.0.1:7003
  why REQUEST-ID                      valeledgectl why 4f2a... --admin 127.0.0.1:7003
  explain REQUEST-ID FILE...          valeledgectl explain 4f2a... host-*.log
  settings check PROGRAM FILE         valeledgectl settings check gateway gateway.toml

Exit statuses: 0 done; 1 refused (a rule of the table, or another operator was
first); 2 wrong command line or settings; 3 no answer, nothing changed; 4 the
answer was lost, the change may have been accepted (see table history).
)";

exit_status CheckSettings(const std::vector<std::string>& words) {
  if (words.size() != 4 || words[1] != "check")
    return exit_status::kUsage;
  const std::string& program = words[2];
  std::vector<valeledge::settings::fault> faults;
  valeledge::gateway::gateway_settings gateway;
  valeledge::scheduler::scheduler_settings scheduler;
  valeledge::controller::controller_settings controller;
  if (program == "gateway")
    faults = Describe(gateway).Load(words[3]);
  else if (program == "scheduler")
    faults = Describe(scheduler).Load(words[3]);
  else if (program == "controller")
    faults = Describe(controller).Load(words[3]);
  else
    return exit_status::kUsage;
  valeledge::node::PrintFaults(faults);
  if (faults.empty())
    std::cout << "the settings are correct\n";
  return faults.empty() ? exit_status::kOk : exit_status::kUsage;
}

std::optional<valeledge::base::endpoint> Address(
    const cxxopts::ParseResult& parsed,
    const char* name) {
  if (parsed.count(name) == 0) {
    std::cerr << "valeledgectl: --" << name << " IP:PORT is missing\n";
    return std::nullopt;
  }
  const auto value =
      valeledge::base::ParseEndpoint(parsed[name].as<std::string>());
  if (!value)
    std::cerr << "valeledgectl: --" << name << " is no IP number and port\n";
  return value;
}

exit_status Run(const cxxopts::ParseResult& parsed,
                const std::vector<std::string>& words) {
  const std::string output = parsed["output"].as<std::string>();
  output_format format = output_format::kTable;
  if (output == "json")
    format = output_format::kJson;
  else if (output == "csv")
    format = output_format::kCsv;
  else if (output != "table")
    return exit_status::kUsage;
  const auto timeout =
      valeledge::base::ParseDuration(parsed["timeout"].as<std::string>());
  if (!timeout)
    return exit_status::kUsage;
  const std::string& verb = words.front();
  if (verb == "settings")
    return CheckSettings(words);
  if (verb == "table") {
    const auto platform = Address(parsed, "platform");
    if (!platform)
      return exit_status::kUsage;
    valeledge::ctl::table_options options;
    options.platform = *platform;
    options.author = parsed["author"].as<std::string>();
    options.seen_revision = parsed["seen"].as<std::int64_t>();
    options.format = format;
    options.timeout = *timeout;
    return valeledge::ctl::RunTable(options, {words.begin() + 1, words.end()});
  }
  if (verb == "orders") {
    const auto platform = Address(parsed, "platform");
    if (!platform)
      return exit_status::kUsage;
    if (words.size() == 2 && words[1] == "show")
      return valeledge::ctl::ShowOrders(*platform, *timeout, format);
    if (words.size() == 3 && words[1] == "ended")
      return valeledge::ctl::EndController(*platform, words[2], *timeout);
    return exit_status::kUsage;
  }
  if (verb == "quarantine") {
    const auto platform = Address(parsed, "platform");
    if (!platform)
      return exit_status::kUsage;
    if (words.size() == 2 && words[1] == "show")
      return valeledge::ctl::ShowQuarantines(*platform, *timeout, format);
    if (words.size() == 3 && words[1] == "lift")
      return valeledge::ctl::LiftQuarantine(*platform, words[2], *timeout);
    return exit_status::kUsage;
  }
  if (verb == "explain" && words.size() >= 2) {
    return valeledge::ctl::RunExplain(words[1],
                                      {words.begin() + 2, words.end()});
  }
  const auto admin = Address(parsed, "admin");
  if (!admin)
    return exit_status::kUsage;
  if (verb == "status")
    return valeledge::ctl::RunStatus(*admin, *timeout, format);
  if (verb == "why" && words.size() == 2)
    return valeledge::ctl::RunWhy(*admin, words[1], *timeout, format);
  return exit_status::kUsage;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("valeledgectl", "Operates a valeledge deployment.");
  options.add_options()("platform", "Key-value service, IP:PORT",
                        cxxopts::value<std::string>())(
      "admin", "A process's admin address, IP:PORT",
      cxxopts::value<std::string>())(
      "output", "table, json or csv",
      cxxopts::value<std::string>()->default_value("table"))(
      "author", "Name for the history",
      cxxopts::value<std::string>()->default_value("operator"))(
      "seen", "Table revision that the change was made for (0: the newest)",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "timeout", "Longest wait for an answer",
      cxxopts::value<std::string>()->default_value("5s"))(
      "h,help", "Print this help")("words", "",
                                   cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  options.positional_help("VERB ...");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << kHelp;
      return 0;
    }
    if (parsed.count("words") == 0) {
      std::cerr << "valeledgectl: a verb is missing; see --help\n";
      return static_cast<int>(exit_status::kUsage);
    }
    const auto status =
        Run(parsed, parsed["words"].as<std::vector<std::string>>());
    if (status == exit_status::kUsage)
      std::cerr << "valeledgectl: wrong usage; see --help\n";
    return static_cast<int>(status);
  } catch (const cxxopts::exceptions::exception& failed) {
    std::cerr << "valeledgectl: " << failed.what() << "\n";
    return static_cast<int>(exit_status::kUsage);
  }
}
