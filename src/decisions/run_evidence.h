// SPDX-License-Identifier: MIT
// What a response of a server shows about whether its request has run.
#ifndef VALELEDGE_DECISIONS_RUN_EVIDENCE_H_
#define VALELEDGE_DECISIONS_RUN_EVIDENCE_H_

namespace valeledge::decisions {

// What a response states.
struct response_statement {
  // It names the request.
  bool names_request = false;
  // It states in so many words that its server has not run the request.
  bool not_run = false;
  // Its status says that the request was meant for another server.
  bool misdirected = false;
  // It is signed, as the result of a run is.
  bool is_signed = false;
  // It names an instance, which is not the one that was asked.
  bool is_of_other_instance = false;
};

// Whether the request has certainly not run and never will. A status alone does
// not show that: the server that was asked contradicts itself by it.
bool ShowsNotRun(const response_statement& response);

}  // namespace valeledge::decisions

#endif  // VALELEDGE_DECISIONS_RUN_EVIDENCE_H_
