// SPDX-License-Identifier: MIT
// valeledge-load: sends open-loop demand and reports what became of it.
#include <fstream>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

#include "tools/load/caller.h"
#include "tools/load/demand.h"
#include "tools/load/plot.h"
#include "tools/load/report.h"

namespace {

constexpr int kUsage = 2;

int Run(const std::string& file,
        const std::string& csv,
        const std::string& plot) {
  using namespace valeledge::load;
  const auto plan = ReadPlan(file);
  if (!plan) {
    std::cerr << "valeledge-load: " << plan.error().message << "\n";
    return kUsage;
  }
  boost::asio::io_context context(1);
  const std::int64_t moves_before = CountMoves(context, *plan);
  const auto samples = SendAll(context, *plan, PlanArrivals(*plan));
  const std::int64_t moves = CountMoves(context, *plan) - moves_before;
  std::cout << boost::json::serialize(ToJson(Summarise(*plan, samples, moves)))
            << "\n";
  if (!csv.empty())
    std::ofstream(csv) << ToCsv(*plan, samples);
  if (!plot.empty())
    std::ofstream(plot) << RenderPlot(*plan, samples);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("valeledge-load",
                           "Sends open-loop demand described in a TOML file.");
  options.add_options()("plan", "The demand (docs/LOAD.md)",
                        cxxopts::value<std::string>())(
      "csv", "Write a line for each request to this file",
      cxxopts::value<std::string>()->default_value(""))(
      "plot", "Write a picture (SVG) to this file",
      cxxopts::value<std::string>()->default_value(""))("h,help",
                                                        "Print this help");
  options.parse_positional({"plan"});
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help()
                << "\nExample: valeledge-load evening.toml --plot out.svg\n";
      return 0;
    }
    if (parsed.count("plan") == 0) {
      std::cerr << "valeledge-load: the plan is missing; see --help\n";
      return kUsage;
    }
    return Run(parsed["plan"].as<std::string>(),
               parsed["csv"].as<std::string>(),
               parsed["plot"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& failed) {
    std::cerr << "valeledge-load: " << failed.what() << "\n";
    return kUsage;
  }
}
