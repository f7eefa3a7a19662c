// The process's clocks. Only this module reads them.
#pragma once

#include "rhubarb/Types.h"

namespace rhubarb::net {

// Time since boot of the VM. Counts on while the process is stopped.
Time now();
// Unix milliseconds on a clock that follows now() and so never goes back.
std::int64_t unixMillis();

} // namespace rhubarb::net
