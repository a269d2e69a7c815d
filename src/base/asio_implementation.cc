// SPDX-License-Identifier: MIT
// The one place where Boost.Asio is compiled.
#include <boost/asio/impl/src.hpp>
