// SPDX-License-Identifier: MIT
#include <boost/test/unit_test.hpp>

#include "decisions/response_check.h"

namespace {

using namespace valeledge::decisions;

response_chunk Chunk(const char* attempt,
                     std::int64_t offset,
                     const char* finish = "") {
  return {attempt, offset, 1, "x", finish};
}

}  // namespace

BOOST_AUTO_TEST_CASE(chunks_in_order_are_accepted) {
  response_progress progress{"a", 0, false};
  BOOST_TEST(!AcceptChunk(progress, Chunk("a", 0)).has_value());
  BOOST_TEST(!AcceptChunk(progress, Chunk("a", 1)).has_value());
  BOOST_TEST(!progress.finished);
  BOOST_TEST(!AcceptChunk(progress, Chunk("a", 2, "stop")).has_value());
  BOOST_TEST(progress.finished);
  BOOST_TEST(progress.next_offset == 3);
}

BOOST_AUTO_TEST_CASE(chunks_out_of_sequence_are_rejected) {
  const auto fault = [](response_progress progress,
                        const response_chunk& chunk) {
    return AcceptChunk(progress, chunk);
  };
  const response_progress started{"a", 5, false};
  BOOST_TEST((fault(started, Chunk("b", 5)) == chunk_fault::kWrongAttempt));
  BOOST_TEST((fault(started, Chunk("a", 6)) == chunk_fault::kGap));
  BOOST_TEST((fault(started, Chunk("a", 4)) == chunk_fault::kRepeat));
  BOOST_TEST((fault({"a", 5, true}, Chunk("a", 5)) == chunk_fault::kAfterEnd));
}

BOOST_AUTO_TEST_CASE(a_rejected_chunk_leaves_progress_unchanged) {
  response_progress progress{"a", 5, false};
  AcceptChunk(progress, Chunk("b", 5, "stop"));
  BOOST_TEST(progress.next_offset == 5);
  BOOST_TEST(!progress.finished);
}
