// rhubarb-steer: the agent of an entry VM.
#include "Agent.h"

int main(int Argc, char **Argv) {
  using namespace rhubarb::net;
  ProgramInfo Info{"rhubarb-steer", "agent of an entry VM",
                   rhubarb::steer::agentSettings()};
  return runDaemon(Argc, Argv, Info, [](Daemon &Process) {
    auto Program = std::make_shared<rhubarb::steer::Agent>(Process);
    DaemonHooks Hooks;
    Hooks.m_Start = [Program] { return Program->start(); };
    Hooks.m_Stop = [Program] { return Program->stop(); };
    Hooks.m_Status = [Program] { return Program->status(); };
    Hooks.m_UpdateGauges = [Program] { Program->updateGauges(); };
    return Hooks;
  });
}
