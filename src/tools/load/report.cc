// SPDX-License-Identifier: MIT
#include "tools/load/report.h"

#include <algorithm>
#include <cmath>

#include "base/result_code.h"

namespace valeledge::load {

namespace {

using std::chrono::microseconds;

double Milliseconds(microseconds value) {
  return static_cast<double>(value.count()) / 1000;
}

void AddPercentiles(run_summary& out,
                    const std::string& name,
                    const std::vector<microseconds>& values) {
  out.percentiles[name + "_p50"] = Percentile(values, 0.50);
  out.percentiles[name + "_p95"] = Percentile(values, 0.95);
  out.percentiles[name + "_p99"] = Percentile(values, 0.99);
}

}  // namespace

microseconds Percentile(std::vector<microseconds> of, double share) {
  if (of.empty())
    return microseconds(0);
  std::ranges::sort(of);
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(of.size())));
  return of[std::clamp<std::size_t>(rank, 1, of.size()) - 1];
}

run_summary Summarise(const load_plan& plan,
                      const std::vector<sample>& samples,
                      std::int64_t moves) {
  run_summary out;
  out.moves = moves;
  std::vector<microseconds> first;
  std::vector<microseconds> gaps;
  std::vector<microseconds> refused;
  for (const sample& each : samples) {
    ++out.requests;
    out.tokens += each.tokens;
    out.tokens_by_partner[plan.demands[each.demand].partner] += each.tokens;
    if (each.whole) {
      ++out.whole;
      out.met += MetTarget(plan, each) ? 1 : 0;
      first.push_back(each.first_token);
      if (each.tokens > 1)
        gaps.push_back(each.mean_gap);
    } else if (each.code > 0) {
      ++out.refusals[each.code];
      refused.push_back(each.took);
    } else {
      ++out.broken;
    }
  }
  const std::chrono::duration<double> length = plan.duration;
  out.goodput = static_cast<double>(out.met) / length.count();
  out.attainment_per_accelerator =
      static_cast<double>(out.met) /
      static_cast<double>(std::max<std::int64_t>(plan.accelerators, 1));
  AddPercentiles(out, "first_token", first);
  AddPercentiles(out, "between_tokens", gaps);
  AddPercentiles(out, "refused_after", refused);
  return out;
}

boost::json::object ToJson(const run_summary& summary) {
  boost::json::object out;
  out["requests"] = summary.requests;
  out["whole"] = summary.whole;
  out["met_target"] = summary.met;
  out["broken"] = summary.broken;
  out["goodput_per_s"] = summary.goodput;
  out["attainment_per_accelerator"] = summary.attainment_per_accelerator;
  out["moves"] = summary.moves;
  out["tokens"] = summary.tokens;
  boost::json::object partners;
  for (const auto& [partner, tokens] : summary.tokens_by_partner)
    partners[partner] = tokens;
  out["tokens_by_partner"] = std::move(partners);
  boost::json::object refusals;
  for (const auto& [code, count] : summary.refusals) {
    const auto known = base::ResultCodeFromNumber(code);
    const std::string name =
        known ? std::string(base::Describe(*known).name) : std::to_string(code);
    refusals[name] = count;
  }
  out["refusals"] = std::move(refusals);
  for (const auto& [name, value] : summary.percentiles)
    out[name + "_ms"] = Milliseconds(value);
  return out;
}

std::string ToCsv(const load_plan& plan, const std::vector<sample>& samples) {
  std::string out =
      "at_ms,demand,partner,outcome,code,met,first_token_ms,mean_gap_ms,"
      "worst_gap_ms,took_ms,tokens,come_back_ms\n";
  for (const sample& each : samples) {
    const demand& kind = plan.demands[each.demand];
    const auto add = [&out](const std::string& field) {
      out.append(field).push_back(',');
    };
    add(std::to_string(Milliseconds(each.at)));
    add(kind.name);
    add(kind.partner);
    add(each.outcome);
    add(std::to_string(each.code));
    add(MetTarget(plan, each) ? "1" : "0");
    add(std::to_string(Milliseconds(each.first_token)));
    add(std::to_string(Milliseconds(each.mean_gap)));
    add(std::to_string(Milliseconds(each.worst_gap)));
    add(std::to_string(Milliseconds(each.took)));
    add(std::to_string(each.tokens));
    out.append(std::to_string(each.come_back.count())).append("\n");
  }
  return out;
}

}  // namespace valeledge::load
