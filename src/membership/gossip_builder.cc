// SPDX-License-Identifier: MIT
#include <utility>

#include "membership/gossip.h"
#include "membership/gossip_updates.h"

namespace valeledge::membership {

gossip_builder& gossip_builder::Settings(gossip_settings settings) {
  state_.settings = settings;
  return *this;
}

gossip_builder& gossip_builder::Self(std::string id,
                                     base::endpoint address,
                                     std::string zone,
                                     std::int32_t roles) {
  state_.self.id = std::move(id);
  state_.self.address = base::ToString(address);
  state_.self.zone = std::move(zone);
  state_.self.roles = roles;
  return *this;
}

gossip_builder& gossip_builder::Incarnation(
    std::chrono::system_clock::time_point started) {
  state_.self.incarnation =
      std::chrono::duration_cast<std::chrono::microseconds>(
          started.time_since_epoch())
          .count();
  return *this;
}

gossip_builder& gossip_builder::Seeds(std::vector<base::endpoint> seeds) {
  state_.seeds = std::move(seeds);
  return *this;
}

gossip_state gossip_builder::Build() const {
  gossip_state state = state_;
  state.digest ^= Digest(state.self);
  detail::AddRumor(state, state.self.id, true);
  return state;
}

}  // namespace valeledge::membership
