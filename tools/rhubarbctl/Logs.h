// The logs subcommands of rhubarbctl.
#pragma once

#include "net/Daemon.h"

namespace rhubarb::ctl {

// Reads the logs of one or several processes and prints, as the subcommand
// asks, the timeline of a request, request counts, the causes of late and
// failed requests, or outcomes by time window. Returns the exit code.
int runLogsCommand(const net::CommandLine &Args);

} // namespace rhubarb::ctl
