// SPDX-License-Identifier: MIT
#define BOOST_TEST_MODULE valeledge
#include <boost/test/unit_test.hpp>
