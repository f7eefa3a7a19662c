// Estimates the waiting time of queued requests from the rate at which they are
// sent. If many entry processes share full servers, the load of a server says
// little about the waiting time in one process: other processes and higher
// priorities take most of the freed slots.
#pragma once

#include "rhubarb/Types.h"

#include <array>
#include <vector>

namespace rhubarb {

// Number of priorities with separate queues; lower priorities share the last
// one.
inline constexpr std::size_t PriorityClasses = 3;
// Returns the queue of a priority: 0 is served first.
std::size_t priorityClass(int Priority);

// Send rate and queue length of each pool and priority.
class WaitEstimator {
public:
  // Records that a request was sent, with or without queueing.
  void recordSent(int Pool, int Priority, Time Now);
  void recordQueued(int Pool, int Priority) {
    ++rowOf(Pool, Priority).m_Queued;
  }
  void recordDequeued(int Pool, int Priority) {
    --rowOf(Pool, Priority).m_Queued;
  }
  // Returns the expected waiting time of one more request: queue length over
  // send rate. Zero while the queue is empty or nothing has been sent yet, so
  // that some request is tried.
  Duration estimate(int Pool, int Priority, Time Now) const;

private:
  struct Row {
    int m_Queued = 0;
    double m_SentWeight =
        0; // Count of sent requests that decays exponentially.
    Time m_LastSentAt{0};
    Time m_FirstSentAt{0}; // 0: no request has been sent yet.
  };
  using PoolRows = std::array<Row, PriorityClasses>;
  Row &rowOf(int Pool, int Priority);
  const Row *find(int Pool, int Priority) const;

  std::vector<PoolRows> m_Pools;
};

} // namespace rhubarb
