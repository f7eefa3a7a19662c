// The queue of one pool at one entry process: rank first, floors below, worth
// within a rank, and refusal at once of what cannot be served in time.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <array>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace rhubarb {

// How the requests of one profile are queued.
struct QueueProfile {
  Priority m_Priority = Priority::Normal;
  int m_Worth = 1;
  double m_Floor = 0; // Share of capacity kept in a flood, 0 to 1.
};

// Bounds and margins of a rank queue.
struct QueueLimits {
  std::size_t m_MaxWaiting = 4096;
  double m_MaxServiceTimeRatio = 1.5; // Longest service time over the mean.
  double m_FloorMargin = 1.15;        // Floors are kept with this much in hand.
  double m_DeadlineShare = 0.8; // Share of the deadline that may be planned.
  Duration m_InitialServiceTime = 50ms; // Until the first measurement.
  double m_ReserveServiceTimeRatio =
      2.0;                      // Ratio of service times that reserves slots.
  double m_MaxIdleShare = 0.01; // Of capacity that the reserve may leave idle.
  Duration m_MaxRetryAfter = 5s;
};

// Answer to an offered request.
struct QueueAdmission {
  ErrorKind m_Error = ErrorKind::None; // None: the request waits.
  Duration m_PredictedWait{0};
  Duration m_RetryAfter{0}; // With an error: when to come back.
};

// A request that leaves the queue for a slot.
struct QueuedRequest {
  RequestId m_Id = 0;
  int m_Profile = 0;
  Priority m_Priority = Priority::Normal;
  Duration m_Waited{0};
};

// Queues of one pool. Rows live in a table that is reused: once it has grown
// to its working size, no call allocates.
class AdmissionQueue {
public:
  explicit AdmissionQueue(QueueLimits Limits, std::uint64_t Seed = 1);

  // Sets the profiles; indexes are those of the configuration. Waiting
  // requests stay with their profile index.
  void setProfiles(std::span<const QueueProfile> Profiles);
  // Sets the slots that this queue can fill at present.
  void setCapacity(int Slots) { m_Capacity = Slots; }

  // Queues a request or refuses it at once.
  QueueAdmission admit(RequestId Id, int Profile, Time Now, Time Deadline);
  // Takes the request to serve next, if FreeSlots and the reserve allow one.
  std::optional<QueuedRequest> take(int FreeSlots, Time Now);
  // Like take, for requests that may leave the failure domain: only profiles
  // whose index is set in Allowed.
  std::optional<QueuedRequest> takeAllowed(int FreeSlots, Time Now,
                                           const std::vector<bool> &Allowed);
  // Puts a taken request back at the head of its profile.
  void putBack(const QueuedRequest &Request, Time Now, Time Deadline);
  // Records that a taken request has left its slot after Held.
  void recordFinished(Priority Value, Duration Held);
  // Removes every request that can no longer be served by its deadline and
  // reports each one. Cost: rows waiting.
  void expire(Time Now, const std::function<void(RequestId)> &Expired);
  // Removes one request. Returns false when it is not waiting.
  bool remove(RequestId Id);
  // Returns the share of capacity that the reserve has left idle lately.
  double idleShare() const { return m_IdleShare; }
  // Ages the measured rates. Call at a steady pace.
  void tick(Time Now);

  int waiting() const { return m_WaitingTotal; }
  int waiting(Priority Value) const { return m_Waiting[priorityIndex(Value)]; }
  int running(Priority Value) const { return m_Running[priorityIndex(Value)]; }
  // Returns the most urgent rank with a waiting request.
  std::optional<Priority> firstWaitingPriority() const;
  Duration meanServiceTime(Priority Value) const;
  // Returns the slots that lower ranks leave free for the urgent rank.
  int urgentReserve() const;
  // Returns the wait that an arrival of this rank would meet.
  Duration predictWait(Priority Value) const;

private:
  static constexpr std::uint32_t NoRow = UINT32_MAX;

  struct Row {
    RequestId m_Id = 0;
    int m_Profile = 0;
    Time m_Enqueued{0};
    Time m_Deadline{0};
    std::uint32_t m_Next = NoRow;
    std::uint32_t m_Previous = NoRow;
  };

  struct ProfileQueue {
    QueueProfile m_Settings;
    std::uint32_t m_Head = NoRow;
    std::uint32_t m_Tail = NoRow;
    int m_Waiting = 0;
    double m_NormalizedService =
        0; // Served work over worth; the least goes next.
  };

  std::uint32_t allocateRow();
  void link(std::uint32_t Index, bool AtHead);
  void unlink(std::uint32_t Index);
  bool priorityMayStart(Priority Value, int FreeSlots) const;
  int chooseProfile(Priority Value, const std::vector<bool> *Allowed) const;
  std::optional<Priority>
  choosePriority(int FreeSlots, const std::vector<bool> *Allowed) const;
  std::optional<QueuedRequest> takeFrom(int FreeSlots, Time Now,
                                        const std::vector<bool> *Allowed);
  void updateCredits(Priority Served);
  double capacityShare(Priority Value) const;
  double meanRunningServiceUs() const;
  void recordHeldBack(int FreeSlots, Time Now);
  Duration jitteredRetryAfter(Duration Wait);

  QueueLimits m_Limits;
  Random m_Random;
  int m_Capacity = 0;
  int m_WaitingTotal = 0;
  std::array<int, PriorityCount> m_Waiting{};
  std::array<int, PriorityCount> m_Running{};
  std::array<double, PriorityCount> m_Floor{};  // Sum of the profiles' floors.
  std::array<double, PriorityCount> m_Credit{}; // Slot time owed, microseconds.
  std::array<double, PriorityCount> m_MeanServiceUs{};
  std::array<bool, PriorityCount> m_Measured{};
  std::array<double, PriorityCount>
      m_StartedUs{}; // Slot time started this window.
  std::array<double, PriorityCount>
      m_Utilization{}; // Share of capacity, smoothed.
  Time m_WindowStart{0};
  int m_HeldBackSlots = 0; // Free slots that wait for urgent work right now.
  Time m_HeldBackSince{0};
  double m_IdleUs = 0; // Slot time held back in this window.
  double m_IdleShare = 0;
  std::vector<Row> m_Rows;
  std::vector<std::uint32_t> m_FreeRows;
  std::vector<ProfileQueue> m_Profiles;
};

} // namespace rhubarb
