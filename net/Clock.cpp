#include "net/Clock.h"

#include <ctime>

namespace rhubarb::net {
namespace {

Time readClock(clockid_t Clock) {
  timespec Value{};
  clock_gettime(Clock, &Value);
  return std::chrono::duration_cast<Time>(
      std::chrono::seconds(Value.tv_sec) +
      std::chrono::nanoseconds(Value.tv_nsec));
}

} // namespace

Time now() { return readClock(CLOCK_BOOTTIME); }

std::int64_t unixMillis() {
  static const Time Offset = readClock(CLOCK_REALTIME) - now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now() + Offset)
      .count();
}

} // namespace rhubarb::net
