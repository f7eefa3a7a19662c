// Starts, signals and restarts the node processes. Signals go only to processes
// that were started here, by process ID.
#pragma once

#include "rhubarb/Types.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace rhubarb::soak {

class Nodes {
public:
  // OlderProgram may be empty. Otherwise every other node starts with it, and
  // each restart changes a node's program.
  Nodes(std::string Program, std::string OlderProgram, std::string Directory);
  // Kills the processes that still run.
  ~Nodes();
  Nodes(const Nodes &) = delete;
  Nodes &operator=(const Nodes &) = delete;

  // Writes a settings file and starts a node with it.
  void add(const std::string &Settings);
  void signal(std::size_t Index, int Signal);
  // Restarts nodes that have exited, after a short delay.
  void restartExited();
  std::size_t size() const { return m_Nodes.size(); }
  // Descriptions of exits without a SIGTERM or SIGKILL from here, or with an
  // error status.
  const std::vector<std::string> &unexpectedExits() const {
    return m_UnexpectedExits;
  }

private:
  struct Node {
    std::string m_SettingsFile;
    std::string m_LogFile;
    pid_t m_Pid = 0;
    bool m_RunsOlder = false;
    // SIGTERM or SIGKILL has been sent since the last start.
    bool m_StopSignalled = false;
    Time m_ExitedAt{0};
  };
  void start(Node &Process) const;

  std::string m_Program;
  std::string m_OlderProgram;
  std::string m_Directory;
  std::vector<Node> m_Nodes;
  std::vector<std::string> m_UnexpectedExits;
};

} // namespace rhubarb::soak
