// The nodes' processes: started, signalled, and started again. Only processes
// that were started here are ever signalled, by their ids.
#pragma once

#include "rhubarb/Types.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace rhubarb::soak {

class Nodes {
public:
  Nodes(std::string Program, std::string Directory);
  ~Nodes(); // Kills what still runs.
  Nodes(const Nodes &) = delete;
  Nodes &operator=(const Nodes &) = delete;

  // Writes a settings file and starts a node with it.
  void add(const std::string &Settings);
  void signal(std::size_t Index, int Signal);
  // Starts ended nodes again after a short pause.
  void restartExited();
  std::size_t size() const { return m_Nodes.size(); }
  // Nodes that ended by themselves.
  const std::vector<std::string> &unexpectedExits() const {
    return m_UnexpectedExits;
  }

private:
  struct Node {
    std::string m_SettingsFile; // File.
    std::string m_LogFile;
    pid_t m_Pid = 0;
    bool m_StopSignalled = false; // A signal that ends it has been sent.
    Time m_ExitedAt{0};
  };
  void start(Node &Started) const;

  std::string m_Program;
  std::string m_Directory;
  std::vector<Node> m_Nodes;
  std::vector<std::string> m_UnexpectedExits;
};

} // namespace rhubarb::soak
