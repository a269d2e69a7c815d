// SPDX-License-Identifier: MIT
// Moves the time of day of one process by a fixed number of seconds, for the
// soak: the steady clock goes on as it is. Loaded before the C library.
#include <ctime>

#include <cstdlib>

#include <sys/syscall.h>
#include <unistd.h>

extern "C" int clock_gettime(clockid_t clock, struct timespec* now) {
  const long failed = syscall(SYS_clock_gettime, clock, now);
  const bool time_of_day =
      clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
  const char* offset = std::getenv("SOAK_CLOCK_OFFSET_S");
  if (failed == 0 && time_of_day && offset != nullptr)
    now->tv_sec += std::atol(offset);
  return static_cast<int>(failed);
}
