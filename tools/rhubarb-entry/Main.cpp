// Main program of rhubarb-entry, which serves requests from callers.
#include "Entry.h"

int main(int Argc, char **Argv) {
  using namespace rhubarb::net;
  ProgramInfo Info{"rhubarb-entry",
                   "accepts requests from callers and dispatches them",
                   rhubarb::entry::entrySettings()};
  return runDaemon(Argc, Argv, Info, [](Daemon &Process) {
    auto Program = std::make_shared<rhubarb::entry::EntryProcess>(Process);
    DaemonHooks Hooks;
    Hooks.m_Start = [Program] { return Program->start(); };
    Hooks.m_Stop = [Program] { return Program->stop(); };
    Hooks.m_Status = [Program] { return Program->status(); };
    Hooks.m_UpdateGauges = [Program] { Program->updateGauges(); };
    Hooks.m_HandleOperatorRequest = [Program](HttpRequest Request) {
      return Program->handleOperatorRequest(std::move(Request));
    };
    return Hooks;
  });
}
