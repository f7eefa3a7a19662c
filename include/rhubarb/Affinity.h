// Which servers know an object. Answers the pattern in which several entry
// processes place the same objects while servers fill up, fall silent and come:
// each process would run an object cold where another has not run it yet.
#pragma once

#include "rhubarb/Servers.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// A server that knows an object, by its incarnation: a server that has started
// again knows nothing of before.
struct WarmServer {
  ServerIndex m_Server = NoServer;
  std::uint64_t m_Incarnation = 0;
  Time m_LastRunAt{0};   // Last run there.
  Time m_AnnouncedAt{0}; // Told to the other processes, or heard from them.
};

// An object and a server, to be told to other processes.
struct AffinityUpdate {
  std::uint64_t m_Object = 0;
  ServerIndex m_Server = NoServer;
  std::uint64_t m_Incarnation = 0;
};

// A place as it is kept where it outlives the processes.
struct SavedAffinity {
  std::uint64_t m_Object = 0;
  ServerIndex m_Server = NoServer;
  std::uint64_t m_Incarnation = 0;
  Duration m_Age{0}; // Since the last run there.
};

// Remembers servers by object for as long as they keep it.
class AffinityTable {
public:
  explicit AffinityTable(Duration KeptFor) : m_Ttl(KeptFor) {}

  // Records a run that has ended well here.
  void recordRun(std::uint64_t Object, ServerIndex Server,
                 std::uint64_t Incarnation, Time Now);
  // Records what another process told: a run there, lately.
  void recordRemoteRun(std::uint64_t Object, ServerIndex Server,
                       std::uint64_t Incarnation, Time Now);
  bool isWarm(std::uint64_t Object, ServerIndex Server,
              std::uint64_t Incarnation, Time Now) const;
  // Returns the places of an object; those that are too old may be among them.
  const std::vector<WarmServer> &warmServers(std::uint64_t Object) const;
  // Returns places that others may not know, or may soon forget.
  std::vector<AffinityUpdate> takeUpdates();
  // Returns the places that are known, the latest first, at most Most.
  std::vector<SavedAffinity> snapshot(std::size_t Most, Time Now) const;
  // Takes a place that a process before this one has kept. Answers the pattern
  // in which all processes are killed at once: the servers still know their
  // objects, and new processes would run each one cold elsewhere.
  void restore(const SavedAffinity &Kept, Time Now);
  // Forgets what is too old. Cost: objects.
  void prune(Time Now);

private:
  WarmServer &entryFor(std::uint64_t Object, ServerIndex Server,
                       std::uint64_t Incarnation);
  bool isFresh(const WarmServer &Place, Time Now) const {
    return Now - Place.m_LastRunAt < m_Ttl;
  }

  Duration m_Ttl;
  std::unordered_map<std::uint64_t, std::vector<WarmServer>> m_ByObject;
  std::vector<AffinityUpdate> m_PendingUpdates;
};

} // namespace rhubarb
