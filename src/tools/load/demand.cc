// SPDX-License-Identifier: MIT
#include "tools/load/demand.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

#include <toml++/toml.h>

#include "base/duration.h"

namespace valeledge::load {

namespace {

using base::result_code;
using std::chrono::microseconds;

const std::map<std::string, demand_shape> kShapes = {
    {"steady", demand_shape::kSteady},
    {"burst", demand_shape::kBurst},
    {"step", demand_shape::kStep},
    {"lesson", demand_shape::kLesson},
};

// Reads keys of one table and remembers the first that is wrong.
class table_reader {
 public:
  explicit table_reader(const toml::table& table) : table_(table) {}

  template <typename value_type>
  void Read(const char* key, value_type& out) {
    const auto* node = Take(key);
    if (node == nullptr)
      return;
    const auto value = node->value<value_type>();
    if (value)
      out = *value;
    else
      Complain(key);
  }

  void Read(const char* key, microseconds& out) {
    std::string text;
    Read(key, text);
    if (text.empty())
      return;
    const auto value = base::ParseDuration(text);
    if (value)
      out = *value;
    else
      Complain(key);
  }

  void Read(const char* key, std::vector<base::endpoint>& out) {
    const auto* node = Take(key);
    if (node == nullptr)
      return;
    const toml::array* list = node->as_array();
    if (list == nullptr)
      return Complain(key);
    for (const toml::node& each : *list) {
      const auto value = base::ParseEndpoint(each.value_or(std::string()));
      if (!value)
        return Complain(key);
      out.push_back(*value);
    }
  }

  void Read(const char* key, demand_shape& out) {
    std::string text = "steady";
    Read(key, text);
    const auto found = kShapes.find(text);
    if (found == kShapes.end())
      return Complain(key);
    out = found->second;
  }

  // The first wrong key, or the first that nobody has read.
  std::string Fault() const {
    if (!fault_.empty())
      return fault_;
    for (const auto& [key, node] : table_) {
      if (std::ranges::find(taken_, key.str()) == taken_.end())
        return std::string(key.str());
    }
    return {};
  }

 private:
  const toml::node* Take(const char* key) {
    taken_.emplace_back(key);
    return table_.get(key);
  }
  void Complain(const char* key) {
    if (fault_.empty())
      fault_ = key;
  }

  const toml::table& table_;
  std::vector<std::string> taken_;
  std::string fault_;
};

tl::unexpected<base::error> Wrong(const std::string& file,
                                  const std::string& what) {
  return base::NotRun(result_code::kSettingsInvalid, file + ": " + what);
}

demand ReadDemand(table_reader& keys) {
  demand out;
  keys.Read("name", out.name);
  keys.Read("partner", out.partner);
  keys.Read("model", out.model);
  keys.Read("models", out.models);
  keys.Read("skew", out.skew);
  keys.Read("service", out.service);
  keys.Read("rate", out.rate);
  keys.Read("shape", out.shape);
  keys.Read("factor", out.factor);
  keys.Read("start", out.start);
  keys.Read("length", out.length);
  keys.Read("tokens", out.tokens);
  keys.Read("prompt_chars", out.prompt_chars);
  keys.Read("prefixes", out.prefixes);
  keys.Read("priority", out.priority);
  return out;
}

double RateAt(const demand& each, microseconds at) {
  const bool inside = at >= each.start && at < each.start + each.length;
  const bool after = at >= each.start;
  switch (each.shape) {
    case demand_shape::kBurst:
      return inside ? each.rate * each.factor : each.rate;
    case demand_shape::kStep:
      return after ? each.rate * each.factor : each.rate;
    case demand_shape::kSteady:
    case demand_shape::kLesson:
      return each.rate;
  }
  return each.rate;
}

// Chooses a model by its rank.
class model_chooser {
 public:
  explicit model_chooser(const demand& each) : each_(each) {
    std::vector<double> weights;
    for (std::int64_t i = 0; i < each.models; ++i)
      weights.push_back(1 / std::pow(static_cast<double>(i + 1), each.skew));
    ranks_ = std::discrete_distribution<std::int64_t>(weights.begin(),
                                                      weights.end());
  }

  std::string Choose(std::mt19937_64& random) {
    std::string name = each_.model;
    const std::size_t at = name.find("{}");
    if (at != std::string::npos)
      name.replace(at, 2, std::to_string(ranks_(random)));
    return name;
  }

 private:
  const demand& each_;
  std::discrete_distribution<std::int64_t> ranks_;
};

std::string MakePrompt(const demand& each, std::mt19937_64& random) {
  const std::uint64_t own = random();
  std::uint64_t prefix = own;
  if (each.prefixes > 0)
    prefix = own % static_cast<std::uint64_t>(each.prefixes);
  std::string text = each.name + " " + std::to_string(prefix) + " ";
  while (static_cast<std::int64_t>(text.size()) < each.prompt_chars)
    text += "season plan ";
  return text + std::to_string(own);
}

}  // namespace

base::result<load_plan> ReadPlan(const std::string& file) {
  toml::table root;
  try {
    root = toml::parse_file(file);
  } catch (const toml::parse_error& failed) {
    return Wrong(file, std::string(failed.description()));
  }
  load_plan plan;
  const toml::table* run = root["run"].as_table();
  if (run == nullptr)
    return Wrong(file, "the table [run] is missing");
  table_reader keys(*run);
  keys.Read("duration", plan.duration);
  std::int64_t seed = 1;
  keys.Read("seed", seed);
  plan.seed = static_cast<std::uint64_t>(seed);
  keys.Read("gateways", plan.gateways);
  keys.Read("controllers", plan.controllers);
  keys.Read("accelerators", plan.accelerators);
  keys.Read("first_token", plan.first_token);
  keys.Read("between_tokens", plan.between_tokens);
  keys.Read("deadline", plan.deadline);
  if (!keys.Fault().empty())
    return Wrong(file, "run." + keys.Fault() + " is wrong or unknown");
  if (plan.gateways.empty())
    return Wrong(file, "run.gateways names no address");
  const toml::array* list = root["demand"].as_array();
  if (list == nullptr)
    return Wrong(file, "there is no [[demand]]");
  for (const toml::node& node : *list) {
    const toml::table* table = node.as_table();
    if (table == nullptr)
      return Wrong(file, "demand is not a list of tables");
    table_reader own(*table);
    plan.demands.push_back(ReadDemand(own));
    const demand& last = plan.demands.back();
    if (!own.Fault().empty())
      return Wrong(file, "demand." + own.Fault() + " is wrong or unknown");
    if (last.model.empty() == last.service.empty())
      return Wrong(file, "a demand needs either model or service");
  }
  return plan;
}

std::vector<arrival> PlanArrivals(const load_plan& plan) {
  std::vector<arrival> out;
  for (std::size_t i = 0; i < plan.demands.size(); ++i) {
    const demand& each = plan.demands[i];
    std::mt19937_64 random(plan.seed * 7919 + i);
    model_chooser models(each);
    std::exponential_distribution<double> gap(1);
    const auto add = [&](microseconds at) {
      out.push_back({at, i, models.Choose(random), MakePrompt(each, random),
                     std::to_string(random())});
    };
    double at = 0;
    while (each.rate > 0) {
      const auto now = std::chrono::duration_cast<microseconds>(
          std::chrono::duration<double>(at));
      at += gap(random) / RateAt(each, now);
      const auto next = std::chrono::duration_cast<microseconds>(
          std::chrono::duration<double>(at));
      if (next >= plan.duration)
        break;
      add(next);
    }
    const bool lesson =
        each.shape == demand_shape::kLesson && each.length.count() > 0;
    for (auto start = each.start; lesson && start < plan.duration;
         start += each.length) {
      for (int student = 0; student < each.factor; ++student)
        add(start);
    }
  }
  std::ranges::stable_sort(out, {}, &arrival::at);
  return out;
}

}  // namespace valeledge::load
