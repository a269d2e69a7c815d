// SPDX-License-Identifier: MIT
// The one place where Boost.JSON is compiled.
#include <boost/json/src.hpp>
