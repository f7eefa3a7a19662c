// Tracks on which servers an object is warm, and shares this between the entry
// processes of a region. When servers become full, unresponsive or are added,
// each process would otherwise run an object cold on a server that another
// process did not choose.
#pragma once

#include "rhubarb/Servers.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// A server on which an object is warm. Tied to the incarnation: a restarted
// server is cold.
struct WarmServer {
  ServerIndex m_Server = NoServer;
  std::uint64_t m_Incarnation = 0;
  Time m_LastRunAt{0};
  // Last time the entry was sent to other processes or received from one.
  Time m_AnnouncedAt{0};
};

// An object that is warm on a server, to be sent to other processes.
struct AffinityUpdate {
  std::uint64_t m_Object = 0;
  ServerIndex m_Server = NoServer;
  std::uint64_t m_Incarnation = 0;
};

// A table entry in the form that is stored across restarts.
struct SavedAffinity {
  std::uint64_t m_Object = 0;
  ServerIndex m_Server = NoServer;
  std::uint64_t m_Incarnation = 0;
  Duration m_Age{0}; // Time since the last run on the server.
};

// Maps objects to the servers on which they are warm. Entries expire.
class AffinityTable {
public:
  explicit AffinityTable(Duration Ttl) : m_Ttl(Ttl) {}

  // Records a completed run of this process.
  void recordRun(std::uint64_t Object, ServerIndex Server,
                 std::uint64_t Incarnation, Time Now);
  // Records a recent run reported by another process.
  void recordRemoteRun(std::uint64_t Object, ServerIndex Server,
                       std::uint64_t Incarnation, Time Now);
  bool isWarm(std::uint64_t Object, ServerIndex Server,
              std::uint64_t Incarnation, Time Now) const;
  // Returns the servers recorded for an object, possibly with expired entries.
  const std::vector<WarmServer> &warmServers(std::uint64_t Object) const;
  // Returns and clears the entries that are unknown to other processes or will
  // soon expire there.
  std::vector<AffinityUpdate> takeUpdates();
  // Returns the latest entries that have not expired, at most MaxCount,
  // newest first.
  std::vector<SavedAffinity> snapshot(std::size_t MaxCount, Time Now) const;
  // Restores an entry saved by an earlier process. After all processes are
  // killed at once, the objects are still warm on their servers, and new
  // processes would run each one cold elsewhere.
  void restore(const SavedAffinity &Saved, Time Now);
  // Returns the servers on which any object is warm. Cost: linear in the
  // objects.
  std::set<ServerIndex> allWarmServers(Time Now) const;
  // Removes expired entries. Cost: linear in the objects.
  void prune(Time Now);

private:
  WarmServer &entryFor(std::uint64_t Object, ServerIndex Server,
                       std::uint64_t Incarnation);
  bool isFresh(const WarmServer &Warm, Time Now) const {
    return Now - Warm.m_LastRunAt < m_Ttl;
  }

  Duration m_Ttl;
  std::unordered_map<std::uint64_t, std::vector<WarmServer>> m_ByObject;
  std::vector<AffinityUpdate> m_PendingUpdates;
};

} // namespace rhubarb
