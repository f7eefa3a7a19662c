// The clocks of the process. No other module reads the system's clocks.
#pragma once

#include "rhubarb/Types.h"

namespace rhubarb::net {

// Time since boot of the VM. Advances while the process is stopped.
Time now();
// Unix time in milliseconds. Derived from now(), so it never goes backwards.
std::int64_t unixMillis();

} // namespace rhubarb::net
