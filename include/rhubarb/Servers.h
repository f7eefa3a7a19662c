// Backend servers as one entry process sees them: who owns each one, how many
// of its slots are open, and which one takes the next request.
#pragma once

#include "rhubarb/Types.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// Assigns the backend servers of one pool in one failure domain to owners among
// its live entry processes: rendezvous hashing, where no member gets more than
// its even share, rounded up. Every process with the same lists comes to the
// same owners; a lost member moves little more than its own servers. Returns an
// index into Members for each server, or -1 when there are none.
std::vector<int> assignOwners(std::span<const std::string> Servers,
                              std::span<const std::string> Members);

// How fast slots open, and when a server is left alone.
struct ServerLimits {
  Duration m_OwnershipDelay = 2s; // A previous owner has stopped after this.
  Duration m_SlowStartInterval = 250ms; // Open slots double at this pace.
  Duration m_MinEjection = 500ms; // First ejection; doubles up to the next.
  Duration m_MaxEjection = 10s;
  int m_EjectAfterFailures = 3;
  double m_MaxEjectedShare = 0.34; // A floor of servers is always kept.
};

// A backend server as the directory lists it.
struct ServerListing {
  std::string m_Address;
  int m_Pool = 0;
  int m_Slots = 1;
  bool m_Leaving = false;
};

using ServerIndex = int;
inline constexpr ServerIndex NoServer = -1;

// How an attempt on a server ended.
enum class AttemptStatus : std::uint8_t {
  Answered,
  Shed,        // The server refused it.
  Failed,      // The connection was lost, or the deadline passed.
  Unreachable, // No connection could be made.
};

// A backend server and its slots.
struct BackendServer {
  ServerListing m_Listing;
  bool m_Owned = false;       // Listed and owned by this process.
  bool m_Unreachable = false; // Nothing accepts connections there.
  int m_OpenSlots = 1;        // Slots in use at most.
  int m_BusySlots = 0;
  int m_ConsecutiveFailures = 0; // In a row.
  Time m_OwnedSince{0};
  Time m_LastSlowStartStep{0};
  Time m_EjectedUntil{0};
  Duration m_Ejection{0};
  int m_FreeListIndex = -1; // Place in the list of servers with a free slot.
  int m_CountedFreeSlots =
      0; // Free slots that the pool's sum holds for this row.
};

// The servers that this process owns.
class BackendServerTable {
public:
  explicit BackendServerTable(ServerLimits Limits, std::uint64_t Seed = 1);

  // Sets the owned servers. New ones start with one open slot; missing and
  // leaving ones get no new work from this call on.
  void update(std::span<const ServerListing> Owned, Time Now);
  // Opens slots, ends ejections. Cost: rows.
  void tick(Time Now);
  // Takes a free slot of a pool, or returns NoServer.
  ServerIndex acquire(int Pool);
  // Gives a slot back and learns from the end of the attempt.
  void release(ServerIndex Index, AttemptStatus End, Time Now);
  // Records whether a connection to the server could be made. An unreachable
  // server gets nothing until one can; then it opens slowly.
  void setReachable(const std::string &Address, bool Reachable, Time Now);
  // Starts over with one open slot each, as after a freeze of the process.
  void restartSlowStart(Time Now);

  // Slots of a pool that new work can use now, free or busy.
  int openSlots(int Pool) const;
  int busySlots(int Pool) const;
  int freeSlots(int Pool) const;
  const BackendServer &row(ServerIndex Index) const {
    return m_Rows[static_cast<std::size_t>(Index)];
  }
  const std::vector<BackendServer> &rows() const { return m_Rows; }

private:
  struct PoolCounters {
    int m_OpenSlots = 0;
    int m_BusySlots = 0;
    int m_Servers = 0;
    int m_Ejected = 0;
    int m_FreeSlots = 0;
    std::vector<ServerIndex> m_FreeServers;
  };

  PoolCounters &poolCounters(int Pool);
  bool usable(const BackendServer &Row) const;
  void updateFreeList(ServerIndex Index);
  void recountPool(int Pool);
  ServerIndex findOrAdd(const std::string &Address);

  ServerLimits m_Limits;
  Random m_Random;
  std::vector<BackendServer> m_Rows;
  std::unordered_map<std::string, ServerIndex> m_ByAddress;
  std::vector<PoolCounters> m_Pools;
};

} // namespace rhubarb
