// SPDX-License-Identifier: MIT
#include "node/engine_report_reader.h"

#include "base/json.h"

namespace valeledge::node {

namespace json = boost::json;

decisions::engine_report ReadEngineReport(const json::object& object) {
  decisions::engine_report report;
  report.incarnation = base::StringField(object, "incarnation");
  report.version = base::IntegerField(object, "version");
  const json::object* loaded = base::ObjectField(object, "loaded");
  if (loaded != nullptr) {
    for (const auto& [artifact, copies] : *loaded) {
      report.loaded[std::string(artifact)] =
          base::IntegerField(*loaded, artifact);
    }
  }
  const json::array* done = base::ArrayField(object, "orders_done");
  if (done == nullptr)
    return report;
  for (const json::value& id : *done) {
    if (id.is_string())
      report.orders_done.emplace_back(id.get_string());
  }
  return report;
}

}  // namespace valeledge::node
