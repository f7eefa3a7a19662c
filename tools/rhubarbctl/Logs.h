// The operators' view of the processes' logs.
#pragma once

#include "net/Daemon.h"

namespace rhubarb::ctl {

// Reads logs of one or several processes and prints a request's timeline, sums
// or a picture of the day. Returns the exit code.
int runLogsCommand(const net::CommandLine &Args);

} // namespace rhubarb::ctl
