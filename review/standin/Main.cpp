// Runs one review case: standin CASE DIRECTORY PROGRAM RECORD. Exits with 1 if
// the rule was broken, 0 if it held, 2 if the case could not run.
#include "Cases.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <sys/stat.h>

int main(int Argc, char **Argv) {
  using namespace review;
  constexpr int CouldNotRun = 2;
  if (Argc != 5) {
    std::cerr << "usage: standin CASE DIRECTORY PROGRAM RECORD\n";
    return CouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = std::getenv("TROUBLE");
  bool WithTrouble = Trouble == nullptr || std::string(Trouble) != "0";
  mkdir(Argv[2], 0755);
  Record::open(Argv[4]);
  Record::line(std::string("case ") + Argv[1] +
               (WithTrouble ? ", with the disruption" : ", TROUBLE=0"));
  int Result = CouldNotRun;
  try {
    // Never destroyed: threads of the stand-ins use it until the process ends.
    auto &Site = *new Deployment;
    Site.m_Directory = Argv[2];
    Site.m_Program = Argv[3];
    Result = runCase(Argv[1], Site, WithTrouble);
    Site.m_Nodes.clear();
  } catch (const std::exception &Thrown) {
    Record::line(std::string("could not run: ") + Thrown.what());
  }
  Record::line(Result == 0 ? "held" : Result == 1 ? "BROKEN" : "could not run");
  // Threads of the stand-ins still wait for connections.
  std::_Exit(Result);
}
