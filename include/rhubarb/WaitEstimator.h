// How fast waiting requests get their turn. Answers the pattern in which many
// entry processes share full servers: what one of them sees of a server's load
// says little of how long its own waiting requests will stand, since the others
// and the higher ranks take most slots that come free.
#pragma once

#include "rhubarb/Types.h"

#include <array>
#include <vector>

namespace rhubarb {

// Ranks that are told apart; lower ones count as the last.
inline constexpr std::size_t PriorityClasses = 3;
// Returns the class of a rank: 0 is served first.
std::size_t priorityClass(int Rank);

// Pace and length of the line of each pool and rank.
class WaitEstimator {
public:
  // Records that a request was sent, whether it had waited or not.
  void recordSent(int Pool, int Rank, Time Now);
  void recordQueued(int Pool, int Rank) { ++rowOf(Pool, Rank).m_Queued; }
  void recordDequeued(int Pool, int Rank) { --rowOf(Pool, Rank).m_Queued; }
  // Returns how long one more request would wait: the number of those that wait
  // over the number sent a second. Zero while the line is empty: some request
  // has to try.
  Duration estimate(int Pool, int Rank, Time Now) const;

private:
  struct Row {
    int m_Queued = 0;
    double m_SentWeight = 0; // Older ones count less.
    Time m_LastSentAt{0};    // The last one.
    Time m_FirstSentAt{0};   // The first one; 0: none yet.
  };
  using PoolRows = std::array<Row, PriorityClasses>;
  Row &rowOf(int Pool, int Rank);
  const Row *find(int Pool, int Rank) const;

  std::vector<PoolRows> m_Pools;
};

} // namespace rhubarb
