// SPDX-License-Identifier: MIT
// The one place where Boost.Beast is compiled.
#include <boost/beast/src.hpp>
