#include "rhubarb/Queue.h"

#include <algorithm>
#include <cmath>

namespace rhubarb {
namespace {

constexpr double ServiceSmoothing = 0.1; // Weight of a new service time.
constexpr double UtilizationSmoothing = 0.3;
constexpr double IdleSmoothing = 0.1;
constexpr Duration UtilizationWindow = 200ms;
// Credit is capped so that an idle period is not followed by a burst.
constexpr double MaxCreditInServices = 4.0;

double toMicros(Duration Value) { return static_cast<double>(Value.count()); }

Duration fromMicros(double Value) {
  return Duration(static_cast<std::int64_t>(Value));
}

} // namespace

AdmissionQueue::AdmissionQueue(QueueLimits Limits, std::uint64_t Seed)
    : m_Limits(Limits), m_Random(Seed) {
  m_MeanServiceUs.fill(toMicros(Limits.m_InitialServiceTime));
}

void AdmissionQueue::setProfiles(std::span<const QueueProfile> Profiles) {
  if (m_Profiles.size() < Profiles.size())
    m_Profiles.resize(Profiles.size());
  m_Floor.fill(0);
  for (std::size_t I = 0; I < Profiles.size(); ++I) {
    Priority Old = m_Profiles[I].m_Settings.m_Priority;
    Priority New = Profiles[I].m_Priority;
    m_Waiting[priorityIndex(Old)] -= m_Profiles[I].m_Waiting;
    m_Waiting[priorityIndex(New)] += m_Profiles[I].m_Waiting;
    m_Profiles[I].m_Settings = Profiles[I];
    m_Floor[priorityIndex(New)] += Profiles[I].m_Floor * m_Limits.m_FloorMargin;
  }
}

std::uint32_t AdmissionQueue::allocateRow() {
  if (!m_FreeRows.empty()) {
    std::uint32_t Index = m_FreeRows.back();
    m_FreeRows.pop_back();
    return Index;
  }
  m_Rows.emplace_back();
  m_FreeRows.reserve(m_Rows.capacity());
  return static_cast<std::uint32_t>(m_Rows.size() - 1);
}

void AdmissionQueue::link(std::uint32_t Index, bool AtHead) {
  Row &Added = m_Rows[Index];
  ProfileQueue &Queue = m_Profiles[static_cast<std::size_t>(Added.m_Profile)];
  Added.m_Next = AtHead ? Queue.m_Head : NoRow;
  Added.m_Previous = AtHead ? NoRow : Queue.m_Tail;
  if (Added.m_Next != NoRow)
    m_Rows[Added.m_Next].m_Previous = Index;
  if (Added.m_Previous != NoRow)
    m_Rows[Added.m_Previous].m_Next = Index;
  if (AtHead || Queue.m_Head == NoRow)
    Queue.m_Head = Index;
  if (!AtHead || Queue.m_Tail == NoRow)
    Queue.m_Tail = Index;
  ++Queue.m_Waiting;
  ++m_Waiting[priorityIndex(Queue.m_Settings.m_Priority)];
  ++m_WaitingTotal;
}

void AdmissionQueue::unlink(std::uint32_t Index) {
  Row &Removed = m_Rows[Index];
  ProfileQueue &Queue = m_Profiles[static_cast<std::size_t>(Removed.m_Profile)];
  if (Removed.m_Previous != NoRow)
    m_Rows[Removed.m_Previous].m_Next = Removed.m_Next;
  else
    Queue.m_Head = Removed.m_Next;
  if (Removed.m_Next != NoRow)
    m_Rows[Removed.m_Next].m_Previous = Removed.m_Previous;
  else
    Queue.m_Tail = Removed.m_Previous;
  --Queue.m_Waiting;
  --m_Waiting[priorityIndex(Queue.m_Settings.m_Priority)];
  --m_WaitingTotal;
  m_FreeRows.push_back(Index);
}

// Returns the share of capacity available to a priority: what higher priorities
// and the floors of waiting lower ones leave, but at least its own floor.
double AdmissionQueue::capacityShare(Priority Value) const {
  double Left = 1.0;
  for (std::size_t Higher = 0; Higher < priorityIndex(Value); ++Higher)
    Left -= m_Utilization[Higher];
  for (std::size_t Lower = priorityIndex(Value) + 1; Lower < PriorityCount;
       ++Lower)
    if (m_Waiting[Lower] > 0)
      Left -= m_Floor[Lower];
  return std::max({Left, m_Floor[priorityIndex(Value)], 0.001});
}

// Returns the mean service time of the requests that occupy slots now.
double AdmissionQueue::meanRunningServiceUs() const {
  double Sum = 0;
  int Count = 0;
  for (std::size_t I = 0; I < PriorityCount; ++I) {
    Sum += m_Running[I] * m_MeanServiceUs[I];
    Count += m_Running[I];
  }
  return Count == 0 ? 0 : Sum / Count;
}

Duration AdmissionQueue::predictWait(Priority Value) const {
  if (m_Capacity <= 0)
    return Duration::max();
  std::size_t Index = priorityIndex(Value);
  int Busy = 0;
  for (int Count : m_Running)
    Busy += Count;
  if (m_WaitingTotal == 0 && Busy < m_Capacity)
    return Duration{0};
  // Above its floor a priority gets slots as they become free, at a rate given
  // by the service time of the running requests. At its floor it is allotted
  // slot time, so its own service time counts.
  bool AtFloor = m_Floor[Index] > 0 && capacityShare(Value) <= m_Floor[Index];
  double ServiceUs =
      AtFloor ? m_MeanServiceUs[Index]
              : std::max(m_MeanServiceUs[Index], meanRunningServiceUs());
  double QueuedServiceUs = ServiceUs * (m_Waiting[Index] + 0.5);
  return fromMicros(QueuedServiceUs / (m_Capacity * capacityShare(Value)));
}

Duration AdmissionQueue::jitteredRetryAfter(Duration Wait) {
  double Base = std::min(toMicros(Wait), toMicros(m_Limits.m_MaxRetryAfter));
  return fromMicros(std::max(Base, 50000.0) *
                    (0.75 + 0.5 * m_Random.uniform()));
}

QueueAdmission AdmissionQueue::admit(RequestId Id, int Profile, Time Now,
                                     Time Deadline) {
  const QueueProfile &Settings =
      m_Profiles[static_cast<std::size_t>(Profile)].m_Settings;
  Duration Wait = predictWait(Settings.m_Priority);
  if (m_Capacity <= 0)
    return {ErrorKind::NoCapacity, Wait, jitteredRetryAfter(1s)};
  if (m_Waiting[priorityIndex(Settings.m_Priority)] >=
      static_cast<int>(m_Limits.m_MaxWaiting))
    return {ErrorKind::QueueFull, Wait, jitteredRetryAfter(Wait)};
  double Budget = toMicros(Deadline - Now) * m_Limits.m_DeadlineShare;
  if (toMicros(Wait) + m_MeanServiceUs[priorityIndex(Settings.m_Priority)] >
      Budget)
    return {ErrorKind::WaitTooLong, Wait, jitteredRetryAfter(Wait)};
  std::uint32_t Index = allocateRow();
  m_Rows[Index] = {Id, Profile, Now, Deadline, NoRow, NoRow};
  link(Index, false);
  return {ErrorKind::None, Wait, Duration{0}};
}

// Reserves slots for urgent requests only while they arrive and lower
// priorities occupy their slots much longer: the wait for the next free slot
// would then dominate the urgent service time. m_MaxIdleShare bounds the share
// of capacity that this leaves idle.
int AdmissionQueue::urgentReserve() const {
  if (m_Capacity < 2 || m_Utilization[0] <= 0.001 ||
      m_IdleShare >= m_Limits.m_MaxIdleShare)
    return 0;
  double MaxServiceUs = 0;
  for (std::size_t Lower = 1; Lower < PriorityCount; ++Lower)
    if (m_Running[Lower] > 0)
      MaxServiceUs = std::max(MaxServiceUs, m_MeanServiceUs[Lower]);
  if (MaxServiceUs < m_Limits.m_ReserveServiceTimeRatio * m_MeanServiceUs[0])
    return 0;
  double OfferedLoad = m_Utilization[0] * m_Capacity;
  int Wanted =
      static_cast<int>(std::ceil(OfferedLoad + std::sqrt(OfferedLoad)));
  return std::clamp(Wanted, 1, m_Capacity / 2);
}

bool AdmissionQueue::priorityMayStart(Priority Value, int FreeSlots) const {
  if (FreeSlots <= 0)
    return false;
  if (Value == Priority::Urgent)
    return true;
  int ReserveLeft = urgentReserve() - m_Running[0];
  return FreeSlots > std::max(ReserveLeft, 0);
}

int AdmissionQueue::chooseProfile(Priority Value,
                                  const std::vector<bool> *Allowed) const {
  int Best = -1;
  for (std::size_t I = 0; I < m_Profiles.size(); ++I) {
    const ProfileQueue &Queue = m_Profiles[I];
    if (Queue.m_Waiting == 0 || Queue.m_Settings.m_Priority != Value)
      continue;
    if (Allowed != nullptr && !(I < Allowed->size() && (*Allowed)[I]))
      continue;
    if (Best < 0 ||
        Queue.m_NormalizedService <
            m_Profiles[static_cast<std::size_t>(Best)].m_NormalizedService)
      Best = static_cast<int>(I);
  }
  return Best;
}

std::optional<Priority>
AdmissionQueue::choosePriority(int FreeSlots,
                               const std::vector<bool> *Allowed) const {
  std::optional<Priority> First;
  for (std::size_t I = 0; I < PriorityCount; ++I) {
    Priority Value = static_cast<Priority>(I);
    if (m_Waiting[I] == 0 || !priorityMayStart(Value, FreeSlots) ||
        chooseProfile(Value, Allowed) < 0)
      continue;
    // A lower priority whose floor is owed a whole request goes before a higher
    // priority.
    if (First && m_Credit[I] >= m_MeanServiceUs[I])
      return Value;
    if (!First)
      First = Value;
  }
  return First;
}

void AdmissionQueue::updateCredits(Priority Served) {
  double Cost = m_MeanServiceUs[priorityIndex(Served)];
  for (std::size_t I = 0; I < PriorityCount; ++I) {
    if (m_Waiting[I] == 0) {
      m_Credit[I] = std::min(m_Credit[I], 0.0);
      continue;
    }
    m_Credit[I] = std::min(m_Credit[I] + m_Floor[I] * Cost,
                           MaxCreditInServices * m_MeanServiceUs[I]);
  }
  double &Own = m_Credit[priorityIndex(Served)];
  Own = std::max(Own - Cost, -MaxCreditInServices * Cost);
  Own = std::min(Own, MaxCreditInServices * Cost);
}

std::optional<QueuedRequest>
AdmissionQueue::takeFrom(int FreeSlots, Time Now,
                         const std::vector<bool> *Allowed) {
  std::optional<Priority> Value;
  if (m_WaitingTotal > 0)
    Value = choosePriority(FreeSlots, Allowed);
  if (Allowed == nullptr)
    recordHeldBack(!Value && m_WaitingTotal > 0 ? std::max(FreeSlots, 0) : 0,
                   Now);
  if (!Value)
    return std::nullopt;
  int Profile = chooseProfile(*Value, Allowed);
  ProfileQueue &Queue = m_Profiles[static_cast<std::size_t>(Profile)];
  std::uint32_t Index = Queue.m_Head;
  QueuedRequest Taken{m_Rows[Index].m_Id, Profile, *Value,
                      Now - m_Rows[Index].m_Enqueued};
  unlink(Index);
  double Cost = m_MeanServiceUs[priorityIndex(*Value)];
  Queue.m_NormalizedService += Cost / Queue.m_Settings.m_Worth;
  m_StartedUs[priorityIndex(*Value)] += Cost;
  ++m_Running[priorityIndex(*Value)];
  updateCredits(*Value);
  return Taken;
}

void AdmissionQueue::recordHeldBack(int FreeSlots, Time Now) {
  m_IdleUs += m_HeldBackSlots * toMicros(Now - m_HeldBackSince);
  m_HeldBackSlots = FreeSlots;
  m_HeldBackSince = Now;
}

std::optional<QueuedRequest> AdmissionQueue::take(int FreeSlots, Time Now) {
  return takeFrom(FreeSlots, Now, nullptr);
}

std::optional<QueuedRequest>
AdmissionQueue::takeAllowed(int FreeSlots, Time Now,
                            const std::vector<bool> &Allowed) {
  return takeFrom(FreeSlots, Now, &Allowed);
}

void AdmissionQueue::putBack(const QueuedRequest &Request, Time Now,
                             Time Deadline) {
  std::uint32_t Index = allocateRow();
  m_Rows[Index] = {
      Request.m_Id, Request.m_Profile, Now - Request.m_Waited, Deadline, NoRow,
      NoRow};
  link(Index, true);
  --m_Running[priorityIndex(Request.m_Priority)];
}

void AdmissionQueue::recordFinished(Priority Value, Duration Held) {
  std::size_t Index = priorityIndex(Value);
  --m_Running[Index];
  double Weight = m_Measured[Index] ? ServiceSmoothing : 0.5;
  m_Measured[Index] = true;
  m_MeanServiceUs[Index] += Weight * (toMicros(Held) - m_MeanServiceUs[Index]);
}

void AdmissionQueue::expire(Time Now,
                            const std::function<void(RequestId)> &Expired) {
  for (ProfileQueue &Queue : m_Profiles)
    for (std::uint32_t Index = Queue.m_Head; Index != NoRow;) {
      std::uint32_t Next = m_Rows[Index].m_Next;
      double Service =
          m_MeanServiceUs[priorityIndex(Queue.m_Settings.m_Priority)];
      if (Now + fromMicros(Service * m_Limits.m_MaxServiceTimeRatio) >=
          m_Rows[Index].m_Deadline) {
        RequestId Id = m_Rows[Index].m_Id;
        unlink(Index);
        Expired(Id);
      }
      Index = Next;
    }
}

bool AdmissionQueue::remove(RequestId Id) {
  for (ProfileQueue &Queue : m_Profiles)
    for (std::uint32_t Index = Queue.m_Head; Index != NoRow;
         Index = m_Rows[Index].m_Next)
      if (m_Rows[Index].m_Id == Id) {
        unlink(Index);
        return true;
      }
  return false;
}

void AdmissionQueue::tick(Time Now) {
  Duration Window = Now - m_WindowStart;
  if (Window < UtilizationWindow)
    return;
  double Available = toMicros(Window) * std::max(m_Capacity, 1);
  recordHeldBack(m_HeldBackSlots, Now);
  m_IdleShare += IdleSmoothing * (m_IdleUs / Available - m_IdleShare);
  m_IdleUs = 0;
  for (std::size_t I = 0; I < PriorityCount; ++I) {
    double Utilization = std::min(m_StartedUs[I] / Available, 1.0);
    m_Utilization[I] += UtilizationSmoothing * (Utilization - m_Utilization[I]);
    m_StartedUs[I] = 0;
  }
  // Raises the service received to the lowest value of the waiting profiles, so
  // that a profile that was idle for a long time does not starve the others.
  double LowestService = INFINITY;
  for (const ProfileQueue &Queue : m_Profiles)
    if (Queue.m_Waiting > 0)
      LowestService = std::min(LowestService, Queue.m_NormalizedService);
  if (std::isfinite(LowestService))
    for (ProfileQueue &Queue : m_Profiles)
      Queue.m_NormalizedService =
          std::max(Queue.m_NormalizedService, LowestService);
  m_WindowStart = Now;
}

std::optional<Priority> AdmissionQueue::firstWaitingPriority() const {
  for (std::size_t I = 0; I < PriorityCount; ++I)
    if (m_Waiting[I] > 0)
      return static_cast<Priority>(I);
  return std::nullopt;
}

Duration AdmissionQueue::meanServiceTime(Priority Value) const {
  return fromMicros(m_MeanServiceUs[priorityIndex(Value)]);
}

} // namespace rhubarb
