// SPDX-License-Identifier: MIT
// A picture of a load run over time.
#ifndef VALELEDGE_TOOLS_LOAD_PLOT_H_
#define VALELEDGE_TOOLS_LOAD_PLOT_H_

#include <string>
#include <vector>

#include "tools/load/caller.h"

namespace valeledge::load {

// An SVG file: requests a second by how they ended (met their target, late,
// refused, broken), stacked over the time of their arrival.
std::string RenderPlot(const load_plan& plan,
                       const std::vector<sample>& samples);

}  // namespace valeledge::load

#endif  // VALELEDGE_TOOLS_LOAD_PLOT_H_
