// Virtual clock and event loop for simulations and tests. Events run in order
// of their time; events with the same time run in the order of scheduling.
#pragma once

#include "rhubarb/Types.h"

#include <functional>
#include <queue>
#include <vector>

namespace rhubarb::bench {

// Holds the scheduled events and the current virtual time.
class VirtualTime {
public:
  Time now() const { return m_Now; }

  // Schedules Action to run at now() + Delay.
  void after(Duration Delay, std::function<void()> Action) {
    m_Events.push({m_Now + Delay, m_NextOrder++, std::move(Action)});
  }

  // Runs the events due up to and including End, and sets the time to End.
  void runUntil(Time End) {
    while (!m_Events.empty() && m_Events.top().m_At <= End) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Action();
    }
    m_Now = std::max(m_Now, End);
  }

private:
  struct Event {
    Time m_At;
    std::uint64_t m_Order;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
    }
  };

  Time m_Now{0};
  std::uint64_t m_NextOrder = 0;
  std::priority_queue<Event> m_Events;
};

} // namespace rhubarb::bench
