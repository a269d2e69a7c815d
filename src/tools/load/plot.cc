// SPDX-License-Identifier: MIT
#include "tools/load/plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <string_view>

namespace valeledge::load {

namespace {

constexpr int kWidth = 900;
constexpr int kHeight = 360;
constexpr int kMargin = 50;

struct series_kind {
  std::string_view name;
  std::string_view color;
};

constexpr std::array<series_kind, 4> kSeries = {{
    {"met target", "#2a9d8f"},
    {"late", "#e9c46a"},
    {"refused", "#9aa5b1"},
    {"broken", "#d62828"},
}};

std::size_t SeriesOf(const load_plan& plan, const sample& each) {
  if (each.whole)
    return MetTarget(plan, each) ? 0 : 1;
  return each.code > 0 ? 2 : 3;
}

using second_counts = std::array<double, kSeries.size()>;

std::vector<second_counts> Count(const load_plan& plan,
                                 const std::vector<sample>& samples) {
  const auto seconds = static_cast<std::size_t>(
      std::chrono::ceil<std::chrono::seconds>(plan.duration).count());
  std::vector<second_counts> out(std::max<std::size_t>(seconds, 1));
  for (const sample& each : samples) {
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(each.at).count());
    out[std::min(second, out.size() - 1)][SeriesOf(plan, each)] += 1;
  }
  return out;
}

}  // namespace

std::string RenderPlot(const load_plan& plan,
                       const std::vector<sample>& samples) {
  const auto counts = Count(plan, samples);
  double highest = 1;
  for (const second_counts& each : counts) {
    double sum = 0;
    for (const double value : each)
      sum += value;
    highest = std::max(highest, sum);
  }
  std::ostringstream out;
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth
      << "' height='" << kHeight << "' font-family='sans-serif' "
      << "font-size='12'>\n<rect width='100%' height='100%' fill='white'/>\n";
  const double step = static_cast<double>(kWidth - 2 * kMargin) /
                      static_cast<double>(counts.size());
  const double scale = (kHeight - 2 * kMargin) / highest;
  for (std::size_t second = 0; second < counts.size(); ++second) {
    double base = kHeight - kMargin;
    for (std::size_t kind = 0; kind < kSeries.size(); ++kind) {
      const double height = counts[second][kind] * scale;
      base -= height;
      out << "<rect x='" << kMargin + step * static_cast<double>(second)
          << "' y='" << base << "' width='" << step * 0.92 << "' height='"
          << height << "' fill='" << kSeries[kind].color << "'/>\n";
    }
  }
  for (std::size_t kind = 0; kind < kSeries.size(); ++kind) {
    const std::size_t x = kMargin + 130 * kind;
    out << "<rect x='" << x << "' y='14' width='12' height='12' fill='"
        << kSeries[kind].color << "'/><text x='" << x + 18 << "' y='25'>"
        << kSeries[kind].name << "</text>\n";
  }
  out << "<text x='8' y='" << kMargin << "'>" << std::lround(highest)
      << "</text><text x='8' y='" << kHeight - kMargin << "'>0</text><text x='"
      << kMargin << "' y='" << kHeight - 20
      << "'>requests a second by time of arrival, 0 to " << counts.size()
      << " s</text>\n</svg>\n";
  return out.str();
}

}  // namespace valeledge::load
