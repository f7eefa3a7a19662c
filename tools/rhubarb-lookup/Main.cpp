// rhubarb-lookup: tells callers which entry VMs to use.
#include "Lookup.h"

int main(int Argc, char **Argv) {
  using namespace rhubarb::net;
  ProgramInfo Info{"rhubarb-lookup", "tells callers which entry VMs to use",
                   rhubarb::lookup::lookupSettings()};
  return runDaemon(Argc, Argv, Info, [](Daemon &Process) {
    auto Program = std::make_shared<rhubarb::lookup::Lookup>(Process);
    DaemonHooks Hooks;
    Hooks.m_Start = [Program] { return Program->start(); };
    Hooks.m_Stop = [Program] { return Program->stop(); };
    Hooks.m_Status = [Program] { return Program->status(); };
    Hooks.m_UpdateGauges = [Program] { Program->updateGauges(); };
    return Hooks;
  });
}
