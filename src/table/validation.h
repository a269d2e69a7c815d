// SPDX-License-Identifier: MIT
// The rules that an accepted table keeps.
#ifndef VALELEDGE_TABLE_VALIDATION_H_
#define VALELEDGE_TABLE_VALIDATION_H_

#include <string>
#include <vector>

#include "table/snapshot.h"

namespace valeledge::table {

// Every rule that the table would break, a sentence each: rows that name
// others that are missing, two backend servers at one address, more memory
// asked for than there is, no room to swap the largest model.
std::vector<std::string> CheckTable(const snapshot& candidate);

}  // namespace valeledge::table

#endif  // VALELEDGE_TABLE_VALIDATION_H_
