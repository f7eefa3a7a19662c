// Request queue of one pool in one entry process. Strict ordering by priority,
// except for a guaranteed minimum share (floor) of each profile; between
// profiles of the same priority, fair queueing weighted by worth. Requests that
// cannot be served before their deadline are refused on arrival.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <array>
#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace rhubarb {

// Queueing parameters of a profile.
struct QueueProfile {
  Priority m_Priority = Priority::Normal;
  int m_Worth = 1;
  double m_Floor = 0; // Guaranteed share of capacity, 0 to 1.
};

// Limits and tuning parameters of a queue.
struct QueueLimits {
  // Maximum number of waiting requests of one priority.
  std::size_t m_MaxWaiting = 4096;
  // Ratio of the longest expected service time to the mean. A waiting
  // request whose deadline is nearer than this service time expires.
  double m_MaxServiceTimeRatio = 1.5;
  // Floors are raised by this factor as a safety margin.
  double m_FloorMargin = 1.15;
  // A request is refused if its predicted wait plus the mean service time
  // exceeds this share of the time until its deadline.
  double m_DeadlineShare = 0.8;
  Duration m_InitialServiceTime = 50ms; // Used until the first measurement.
  // Slots are reserved for urgent requests only if the service time of a
  // running lower priority is at least this many times theirs.
  double m_ReserveServiceTimeRatio = 2.0;
  // Maximum share of capacity that the urgent reserve may leave idle.
  double m_MaxIdleShare = 0.01;
  Duration m_MaxRetryAfter = 5s; // Without the jitter of up to 25%.
};

// Result of admission control.
struct QueueAdmission {
  ErrorKind m_Error = ErrorKind::None; // None if the request was queued.
  Duration m_PredictedWait{0};
  Duration m_RetryAfter{0}; // Set if the request was refused.
};

// A request taken from the queue to occupy a slot.
struct QueuedRequest {
  RequestId m_Id = 0;
  int m_Profile = 0;
  Priority m_Priority = Priority::Normal;
  Duration m_Waited{0};
};

// The queues of one pool. Rows are reused, so that no call allocates memory
// once the table has grown to its working size.
class AdmissionQueue {
public:
  explicit AdmissionQueue(QueueLimits Limits, std::uint64_t Seed = 1);

  // Sets the profiles, indexed as in the configuration. Waiting requests keep
  // their profile index.
  void setProfiles(std::span<const QueueProfile> Profiles);
  // Sets the number of slots that are available to this queue.
  void setCapacity(int Slots) { m_Capacity = Slots; }

  // Queues a request, or refuses it at once.
  QueueAdmission admit(RequestId Id, int Profile, Time Now, Time Deadline);
  // Removes and returns the next request to serve, if FreeSlots and the urgent
  // reserve allow one.
  std::optional<QueuedRequest> take(int FreeSlots, Time Now);
  // Like take(), but only from profiles whose index is set in Allowed. Used for
  // requests that may leave the failure domain.
  std::optional<QueuedRequest> takeAllowed(int FreeSlots, Time Now,
                                           const std::vector<bool> &Allowed);
  // Returns a taken request to the head of its profile's queue.
  void putBack(const QueuedRequest &Request, Time Now, Time Deadline);
  // Records that a taken request has released its slot after Held.
  void recordFinished(Priority Value, Duration Held);
  // Removes all requests that can no longer be served before their deadline and
  // calls Expired for each. Takes linear time in the number of waiting
  // requests.
  void expire(Time Now, const std::function<void(RequestId)> &Expired);
  // Removes a request. Returns false if it is not waiting.
  bool remove(RequestId Id);
  // Returns the moving average of the share of capacity that the urgent reserve
  // leaves idle.
  double idleShare() const { return m_IdleShare; }
  // Updates the moving averages of utilization. Call periodically.
  void tick(Time Now);

  int waiting() const { return m_WaitingTotal; }
  int waiting(Priority Value) const { return m_Waiting[priorityIndex(Value)]; }
  int running(Priority Value) const { return m_Running[priorityIndex(Value)]; }
  // Returns the highest priority that has a waiting request.
  std::optional<Priority> firstWaitingPriority() const;
  Duration meanServiceTime(Priority Value) const;
  // Returns the number of slots reserved for urgent requests.
  int urgentReserve() const;
  // Returns the expected wait of a new request of this priority.
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
    // Expected service time of the requests started so far, divided by the
    // worth. The profile with the lowest value is served next.
    double m_NormalizedService = 0;
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
  // Sum of the floors of the profiles of a priority, raised by m_FloorMargin.
  std::array<double, PriorityCount> m_Floor{};
  // Slot time owed to the floor of a priority, in microseconds.
  std::array<double, PriorityCount> m_Credit{};
  std::array<double, PriorityCount> m_MeanServiceUs{};
  std::array<bool, PriorityCount> m_Measured{};
  // Expected slot time of the requests started in this window.
  std::array<double, PriorityCount> m_StartedUs{};
  // Moving average of the share of capacity in use by a priority.
  std::array<double, PriorityCount> m_Utilization{};
  Time m_WindowStart{0};
  // Free slots that are held back while requests of lower priority wait.
  int m_HeldBackSlots = 0;
  Time m_HeldBackSince{0};
  double m_IdleUs = 0; // Slot time held back in this window.
  double m_IdleShare = 0;
  std::vector<Row> m_Rows;
  std::vector<std::uint32_t> m_FreeRows;
  std::vector<ProfileQueue> m_Profiles;
};

} // namespace rhubarb
