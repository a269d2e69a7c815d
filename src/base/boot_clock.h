// SPDX-License-Identifier: MIT
// A clock that goes on while the machine is suspended.
#ifndef VALELEDGE_BASE_BOOT_CLOCK_H_
#define VALELEDGE_BASE_BOOT_CLOCK_H_

#include <chrono>

namespace valeledge::base {

// Meets the standard's requirements of a Clock. std::chrono::steady_clock
// stands still while the machine is suspended, so that whatever is remembered
// seems younger than it is afterwards.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  // The name is the standard's.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

}  // namespace valeledge::base

#endif  // VALELEDGE_BASE_BOOT_CLOCK_H_
