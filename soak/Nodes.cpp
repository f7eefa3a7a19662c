#include "soak/Nodes.h"

#include "net/Clock.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rhubarb::soak {
namespace {

constexpr Duration RestartDelay = 500ms;

// Owns the file actions of a process start, which send stdout and stderr to the
// log file.
class SpawnFileActions {
public:
  explicit SpawnFileActions(const std::string &Log) {
    posix_spawn_file_actions_init(&m_Actions);
    posix_spawn_file_actions_addopen(&m_Actions, STDOUT_FILENO, Log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&m_Actions, STDOUT_FILENO, STDERR_FILENO);
    // Sockets of the emulated deployment would stay open in the nodes.
    posix_spawn_file_actions_addclosefrom_np(&m_Actions, STDERR_FILENO + 1);
  }
  ~SpawnFileActions() { posix_spawn_file_actions_destroy(&m_Actions); }
  SpawnFileActions(const SpawnFileActions &) = delete;
  SpawnFileActions &operator=(const SpawnFileActions &) = delete;
  const posix_spawn_file_actions_t *get() const { return &m_Actions; }

private:
  posix_spawn_file_actions_t m_Actions;
};

} // namespace

Nodes::Nodes(std::string Program, std::string OlderProgram,
             std::string Directory)
    : m_Program(std::move(Program)), m_OlderProgram(std::move(OlderProgram)),
      m_Directory(std::move(Directory)) {
  std::filesystem::create_directories(m_Directory);
}

Nodes::~Nodes() {
  for (Node &Process : m_Nodes) {
    if (Process.m_Pid == 0)
      continue;
    kill(Process.m_Pid, SIGKILL);
    waitpid(Process.m_Pid, nullptr, 0);
  }
}

void Nodes::add(const std::string &Settings) {
  Node NewNode;
  std::string Name = m_Directory + "/node-" + std::to_string(m_Nodes.size());
  NewNode.m_SettingsFile = Name + ".conf";
  NewNode.m_LogFile = Name + ".log";
  std::ofstream(NewNode.m_SettingsFile) << Settings;
  std::filesystem::remove(NewNode.m_LogFile);
  NewNode.m_RunsOlder = !m_OlderProgram.empty() && m_Nodes.size() % 2 == 1;
  start(NewNode);
  m_Nodes.push_back(std::move(NewNode));
}

void Nodes::start(Node &Process) const {
  std::string SettingsOption = "--settings=" + Process.m_SettingsFile;
  std::string LogLines = "--log-lines=200";
  std::string Program = Process.m_RunsOlder ? m_OlderProgram : m_Program;
  char *Arguments[] = {Program.data(), SettingsOption.data(), LogLines.data(),
                       nullptr};
  SpawnFileActions SpawnActions(Process.m_LogFile);
  Process.m_StopSignalled = false;
  if (posix_spawn(&Process.m_Pid, Program.c_str(), SpawnActions.get(), nullptr,
                  Arguments, environ) != 0)
    Process.m_Pid = 0;
}

void Nodes::signal(std::size_t Index, int Signal) {
  Node &Process = m_Nodes[Index];
  if (Process.m_Pid == 0)
    return;
  if (Signal == SIGTERM || Signal == SIGKILL)
    Process.m_StopSignalled = true;
  kill(Process.m_Pid, Signal);
}

void Nodes::restartExited() {
  for (std::size_t I = 0; I < m_Nodes.size(); ++I) {
    Node &Process = m_Nodes[I];
    int Status = 0;
    if (Process.m_Pid != 0 &&
        waitpid(Process.m_Pid, &Status, WNOHANG) == Process.m_Pid) {
      bool CleanExit = WIFEXITED(Status) && WEXITSTATUS(Status) == 0;
      bool Killed = WIFSIGNALED(Status) && WTERMSIG(Status) == SIGKILL;
      if (!Process.m_StopSignalled || (!CleanExit && !Killed))
        m_UnexpectedExits.push_back("ended: node " + std::to_string(I) +
                                    " with status " + std::to_string(Status));
      Process.m_Pid = 0;
      Process.m_ExitedAt = net::now();
      Process.m_RunsOlder = !m_OlderProgram.empty() && !Process.m_RunsOlder;
    }
    if (Process.m_Pid == 0 && net::now() - Process.m_ExitedAt >= RestartDelay)
      start(Process);
  }
}

} // namespace rhubarb::soak
