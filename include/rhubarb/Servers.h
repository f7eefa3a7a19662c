// Backend servers of one entry process: which process owns each server, how
// many of its slots are open, and which server gets the next request.
#pragma once

#include "rhubarb/Types.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// Assigns the backend servers of a pool in a failure domain to the live entry
// processes there, by rendezvous hashing with bounded load: no member gets more
// than its even share, rounded up. The result depends only on the contents of
// the two lists. When a member fails, few servers other than its own change
// owner. Returns an index into Members for each server, or -1 if Members is
// empty.
std::vector<int> assignOwners(std::span<const std::string> Servers,
                              std::span<const std::string> Members);

// Slow start and outlier ejection parameters.
struct ServerLimits {
  // A new owner opens only one slot for this long. By then the previous owner
  // has stopped sending.
  Duration m_OwnershipDelay = 2s;
  // The number of open slots doubles at this interval.
  Duration m_SlowStartInterval = 250ms;
  // Duration of the first ejection. It doubles for each further one, up to
  // m_MaxEjection, until the server answers a request.
  Duration m_MinEjection = 500ms;
  Duration m_MaxEjection = 10s;
  int m_EjectAfterFailures = 3;
  // Maximum share of the servers of a pool that can be ejected at a time. One
  // server can always be ejected, unless it is the only one.
  double m_MaxEjectedShare = 0.34;
};

// A backend server as listed in the directory.
struct ServerListing {
  std::string m_Address;
  int m_Pool = 0;
  int m_Slots = 1;
  bool m_Leaving = false;
};

using ServerIndex = int;
inline constexpr ServerIndex NoServer = -1;

// Result of an attempt at a backend server.
enum class AttemptStatus : std::uint8_t {
  Answered,
  Shed,        // The server refused the request under load.
  Failed,      // The connection was lost or the deadline passed.
  Unreachable, // No connection could be established.
};

// State of a backend server and its slots.
struct BackendServer {
  ServerListing m_Listing;
  bool m_Owned = false;       // The server is listed and owned by this process.
  bool m_Unreachable = false; // The server does not accept connections.
  // Limit of concurrent requests; doubles up to m_Slots during slow start.
  int m_OpenSlots = 1;
  int m_BusySlots = 0;
  int m_ConsecutiveFailures = 0;
  Time m_OwnedSince{0};
  Time m_LastSlowStartStep{0};
  Time m_EjectedUntil{0};
  Duration m_Ejection{0};
  // Index in PoolCounters::m_FreeServers, or -1 if no slot is free.
  int m_FreeListIndex = -1;
  // Free slots of this server that PoolCounters::m_FreeSlots includes.
  int m_CountedFreeSlots = 0;
};

// The backend servers that this process owns.
class BackendServerTable {
public:
  explicit BackendServerTable(ServerLimits Limits, std::uint64_t Seed = 1);

  // Sets the owned servers. New ones start with one open slot. Servers that are
  // no longer listed, or are leaving, get no new requests.
  void update(std::span<const ServerListing> Owned, Time Now);
  // Advances slow start and ends ejections. Takes linear time in the number of
  // rows.
  void tick(Time Now);
  // Occupies a free slot of a pool and returns its server, or NoServer if there
  // is none.
  ServerIndex acquire(int Pool);
  // Releases a slot and updates the health of the server.
  void release(ServerIndex Index, AttemptStatus Status, Time Now);
  // Records whether a connection to the server could be established. An
  // unreachable server gets no requests until a connection succeeds; then it
  // goes through slow start.
  void setReachable(const std::string &Address, bool Reachable, Time Now);
  // Restarts slow start with one open slot for each server, for example after
  // the process was suspended.
  void restartSlowStart(Time Now);

  // Returns the sum of the open slots of all servers of a pool that can take
  // requests.
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
