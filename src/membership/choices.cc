// SPDX-License-Identifier: MIT
#include "membership/choices.h"

#include "membership/gossip.h"
#include "membership/ownership.h"

namespace valeledge::membership {

namespace {

// Choices kept at the most; subjects are names of backend servers, and a
// release brings new ones. 860 servers are the largest fleet planned for.
constexpr std::size_t kMostRemembered = 4096;

std::vector<std::string> Choose(const gossip_state& state,
                                const choice_question& question) {
  std::vector<const member*> members;
  members.reserve(state.others.size() + 1);
  members.push_back(&state.self);
  for (const auto& [id, each] : state.others)
    members.push_back(&each.record);
  auto chosen = ChooseOwners(members, question.subject, question.prefers,
                             question.zone, question.count);
  if (chosen.empty()) {
    chosen = ChooseOwners(members, question.subject, 0, question.zone,
                          question.count);
  }
  std::vector<std::string> out;
  for (const member* each : chosen)
    out.push_back(each->id);
  return out;
}

}  // namespace

const std::vector<std::string>& ChosenMembers(gossip_state& state,
                                              const choice_question& question) {
  auto& answers = state.choices.answers;
  const auto known = answers.find(question);
  if (known != answers.end())
    return known->second;
  if (answers.size() >= kMostRemembered)
    answers.clear();
  return answers.emplace(question, Choose(state, question)).first->second;
}

namespace detail {

void NoteMemberChanged(choice_memory& memory,
                       const member* before,
                       const member& after) {
  const bool same = before != nullptr &&
                    TakesWork(*before) == TakesWork(after) &&
                    before->roles == after.roles && before->zone == after.zone;
  if (!same)
    memory.answers.clear();
}

}  // namespace detail

}  // namespace valeledge::membership
