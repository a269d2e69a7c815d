// SPDX-License-Identifier: MIT
// Reads what a model engine answers to GET /load.
#ifndef VALELEDGE_NODE_ENGINE_REPORT_READER_H_
#define VALELEDGE_NODE_ENGINE_REPORT_READER_H_

#include <boost/json.hpp>

#include "decisions/reservation.h"

namespace valeledge::node {

// The part of the answer that tells what is in the engine's memory.
decisions::engine_report ReadEngineReport(const boost::json::object& object);

}  // namespace valeledge::node

#endif  // VALELEDGE_NODE_ENGINE_REPORT_READER_H_
