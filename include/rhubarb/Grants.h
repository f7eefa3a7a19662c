// Grants: the right to send work to another entry process, so many slots of a
// pool at a time, until a moment. The sum of all grants stays under the free
// capacity of the one who gives them, whatever is lost, late or repeated.
#pragma once

#include "rhubarb/Types.h"

#include <functional>
#include <string>
#include <vector>

namespace rhubarb {

using GrantId = std::uint64_t; // 0: none.

// What a source asks for.
struct GrantAsk {
  std::string m_Source; // Address of the asking entry process.
  int m_Pool = 0;
  Rank m_Rank = Rank::Normal; // Most urgent rank that waits.
  int m_Slots = 0;
};

// What the receiver gives. With m_Slots 0 there is nothing to use.
struct Grant {
  GrantId m_Id = 0;
  int m_Slots = 0;
  Duration m_Term{0}; // Counted by the receiver from the answer on.
};

struct GrantLimits {
  Duration m_Term = 1500ms;
  Duration m_ClaimTerm = 500ms; // An urgent ask keeps freed slots this long.
  Duration m_IdleReset = 10s;   // A source idle this long opens slowly again.
  int m_FirstSlots = 2;         // Cold caches: the first grant of a source.
};

// State of a pool at the receiver when a source asks.
struct GrantRoom {
  int m_FreeSlots = 0;
  int m_Waiting = 0;                     // Own requests in the queue.
  Rank m_FirstWaitingRank = Rank::Batch; // With m_Waiting above 0.
};

// The receiver's ledger. One grant for each source and pool.
class GrantDesk {
public:
  explicit GrantDesk(GrantLimits Limits, std::uint64_t FirstId = 1);

  // Answers an ask; renews the source's earlier grant for the same pool.
  Grant ask(const GrantAsk &Ask, const GrantRoom &Room, Time Now);
  // Starts one forwarded request. False: no such grant, over, or used up.
  bool start(GrantId Id, Time Now);
  // Ends a forwarded request that start accepted.
  void finish(GrantId Id);
  // Drops grants and claims that are over. Cost: rows.
  void tick(Time Now);

  // Free slots of a pool that local work of this rank must leave alone.
  int reserved(int Pool, Rank Value, Time Now) const;
  int grantedSlots(int Pool, Time Now) const;
  std::size_t size() const { return m_Rows.size(); }

private:
  struct Row {
    GrantId m_Id = 0;
    std::string m_Source;
    int m_Pool = 0;
    int m_Slots = 0;
    int m_Busy = 0;
    int m_Allowed = 0; // Slots that the slow opening allows.
    Time m_Until{0};
    Time m_LastAsk{0};
  };
  struct Claim {
    std::string m_Source;
    int m_Pool = 0;
    Rank m_Rank = Rank::Normal;
    int m_Slots = 0;
    Time m_Until{0};
  };

  Row &rowOf(const std::string &Source, int Pool);
  void recordClaim(const GrantAsk &Ask, int Slots, Time Now);
  int claimedByOthers(const GrantAsk &Ask, Time Now) const;

  GrantLimits m_Limits;
  GrantId m_NextId;
  std::vector<Row> m_Rows;
  std::vector<Claim> m_Claims;
};

// A peer that could take work, as known from summaries.
struct GrantCandidate {
  std::string m_Peer; // Address of its entry process.
  int m_Distance = 0; // 0 same failure domain, 1 same region, 2 elsewhere.
  int m_FreeSlots = 0;
};

// An ask to be sent now.
struct PlannedAsk {
  std::string m_Peer;
  int m_Pool = 0;
  Rank m_Rank = Rank::Normal;
  int m_Slots = 0;
};

// What the source holds.
class GrantWallet {
public:
  struct Held {
    std::string m_Peer;
    int m_Pool = 0;
    GrantId m_Id = 0;
    int m_Slots = 0;
    int m_Busy = 0;
    int m_Distance = 0;
    Time m_Until{0};
    Time m_LastAsk{0};
    bool m_Asking = false;
  };

  // Plans asks for Wanted further slots, nearest candidates first, one ask
  // under way for each peer and pool.
  std::vector<PlannedAsk> plan(int Pool, Rank Value, int Wanted,
                               std::vector<GrantCandidate> Candidates,
                               Time Now);
  // Records the answer to an ask that left at AskedAt. The term is counted
  // from the sending, so that the source stops before the receiver does.
  void answered(const std::string &Peer, int Pool, const Grant &Given,
                Time AskedAt);
  // Records that an ask got no answer.
  void failed(const std::string &Peer, int Pool);
  // Takes a slot at the nearest peer within MaxDistance; null when none.
  Held *acquire(int Pool, int MaxDistance, Time Now);
  void release(const std::string &Peer, int Pool);
  // Forgets a grant that its receiver has refused.
  void drop(const std::string &Peer, int Pool);
  int freeSlots(int Pool, int MaxDistance, Time Now) const;
  const std::vector<Held> &rows() const { return m_Rows; }

private:
  Held *find(const std::string &Peer, int Pool);

  std::vector<Held> m_Rows;
};

} // namespace rhubarb
