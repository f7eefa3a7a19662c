#include "bench/FleetModel.h"

#include <algorithm>
#include <cmath>

namespace rhubarb::bench {
namespace {

constexpr Duration TickInterval = 20ms;
constexpr Duration SummaryInterval = 500ms;
// Interval of the servers' load reports, which the LeastReported baseline uses.
constexpr Duration ReportInterval = 1s;
constexpr Duration ColdTime = 2s;
constexpr int ColdFactor = 3;
constexpr Duration GoodputBucket = 500ms;
constexpr int MaxAttempts = 3;

double toSeconds(Duration Value) {
  return static_cast<double>(Value.count()) / 1e6;
}

struct Request {
  int m_Class = 0;
  // Index of the entry process where the request arrived.
  int m_Entry = 0;
  Time m_Arrived{0};
  Time m_Deadline{0};
  Duration m_ServiceTime{0};
  int m_Attempts = 0;
  bool m_Measured = false;
};

struct Server {
  int m_Domain = 0;
  bool m_IsUp = true;
  bool m_Unresponsive = false;
  int m_BusySlots = 0;
  int m_Generation = 0;
  Time m_Started{0};
  int m_ReportedLoad = 0;
  // Requests that wait at the server for a slot; only baselines use it.
  std::vector<std::function<void()>> m_WaitQueue;
};

struct Entry {
  int m_Domain = 0;
  bool m_IsUp = true;
  int m_Generation = 0;
  std::string m_Name;
  std::unique_ptr<AdmissionQueue> m_Queue;
  std::unique_ptr<BackendServerTable> m_Servers;
  std::unique_ptr<GrantIssuer> m_GrantIssuer;
  std::unique_ptr<GrantHolder> m_GrantHolder;
  RetryBudget m_Budget;
  std::map<RequestId, Request> m_Requests;
  int m_NextServer = 0;
  // Free slots according to the last summary that reached the other entry
  // processes.
  int m_SummaryFreeSlots = 0;
  bool m_SummaryLive = true;
};

class Model {
public:
  Model(const Deployment &Fleet, Policy SelectedPolicy,
        const Disturbance &Injected, Time From, Time To, std::uint64_t Seed)
      : m_Fleet(Fleet), m_Policy(SelectedPolicy), m_Disturbance(Injected),
        m_From(From), m_To(To), m_Random(Seed) {
    build();
  }

  FleetResult run(Time Length) {
    m_GoodputBuckets.assign(
        static_cast<std::size_t>(Length / GoodputBucket) + 1, 0);
    for (std::size_t C = 0; C < m_Fleet.m_Classes.size(); ++C)
      for (int D = 0; D < domainCount(); ++D)
        scheduleArrival(static_cast<int>(C), D);
    m_Time.after(Duration{0}, [this] { tick(); });
    m_Time.after(Duration{0}, [this] { publishSummaries(); });
    m_Time.after(Duration{0}, [this] { updateLoadReports(); });
    m_Time.after(m_Disturbance.m_From, [this] { setDisturbance(true); });
    m_Time.after(m_Disturbance.m_To, [this] { setDisturbance(false); });
    m_Time.runUntil(Length);
    m_Result.m_CapacitySlotSeconds = toSeconds(m_To - m_From) * slots();
    measureRecoveryTime();
    return std::move(m_Result);
  }

private:
  int domainCount() const {
    return m_Fleet.m_Regions * m_Fleet.m_DomainsPerRegion;
  }
  int regionOf(int Domain) const { return Domain / m_Fleet.m_DomainsPerRegion; }
  int slots() const { return m_Fleet.m_Servers * m_Fleet.m_Slots; }
  Entry &entry(int Index) { return m_Entries[static_cast<std::size_t>(Index)]; }
  Server &server(int Index) {
    return m_Servers[static_cast<std::size_t>(Index)];
  }
  const WorkClass &classOf(const Request &R) const {
    return m_Fleet.m_Classes[static_cast<std::size_t>(R.m_Class)];
  }
  bool inWindow() const {
    return m_Time.now() >= m_From && m_Time.now() < m_To;
  }

  int distance(int A, int B) const {
    if (A == B)
      return 0;
    return regionOf(A) == regionOf(B) ? 1 : 2;
  }
  Duration delay(int A, int B) {
    const Duration Base[] = {m_Fleet.m_IntraDomainDelay,
                             m_Fleet.m_InterDomainDelay,
                             m_Fleet.m_InterRegionDelay};
    Duration Mean = Base[distance(A, B)];
    return Mean + Duration(m_Random.below(
                      static_cast<std::uint64_t>(Mean.count()) / 2 + 1));
  }

  void build() {
    for (int D = 0; D < domainCount(); ++D) {
      int Count = D % m_Fleet.m_DomainsPerRegion == 0
                      ? m_Fleet.m_EntriesPerDomain
                      : m_Fleet.m_EntriesPerDomain - 1;
      for (int I = 0; I < Count; ++I) {
        Entry NewEntry;
        NewEntry.m_Domain = D;
        NewEntry.m_Name = "e" + std::to_string(m_Entries.size());
        m_Entries.push_back(std::move(NewEntry));
      }
    }
    for (int S = 0; S < m_Fleet.m_Servers; ++S) {
      Server NewServer;
      NewServer.m_Domain = S % domainCount();
      NewServer.m_Started = -ColdTime;
      m_Servers.push_back(std::move(NewServer));
    }
    for (std::size_t E = 0; E < m_Entries.size(); ++E)
      startEntry(static_cast<int>(E));
    for (std::size_t E = 0; E < m_Entries.size(); ++E)
      assignServers(static_cast<int>(E));
  }

  void startEntry(int Index) {
    Entry &E = entry(Index);
    QueueLimits Limits;
    Limits.m_InitialServiceTime = 100ms;
    E.m_Queue = std::make_unique<AdmissionQueue>(Limits, m_Random.next());
    std::vector<QueueProfile> Profiles;
    for (const WorkClass &Work : m_Fleet.m_Classes)
      Profiles.push_back({Work.m_Priority, 1, Work.m_FloorShare});
    E.m_Queue->setProfiles(Profiles);
    E.m_Servers =
        std::make_unique<BackendServerTable>(ServerLimits{}, m_Random.next());
    E.m_GrantIssuer =
        std::make_unique<GrantIssuer>(GrantLimits{}, m_Random.next() >> 12U);
    E.m_GrantHolder = std::make_unique<GrantHolder>();
    E.m_Requests.clear();
  }

  // Gives the entry process its part of the domain's servers. All live entry
  // processes of a domain compute the same owners.
  void assignServers(int Index) {
    Entry &E = entry(Index);
    std::vector<std::string> Members;
    for (const Entry &Other : m_Entries)
      if (Other.m_Domain == E.m_Domain && Other.m_IsUp)
        Members.push_back(Other.m_Name);
    std::vector<std::string> Addresses;
    for (std::size_t S = 0; S < m_Servers.size(); ++S)
      if (m_Servers[S].m_Domain == E.m_Domain)
        Addresses.push_back(std::to_string(S));
    std::vector<int> Owners = assignOwners(Addresses, Members);
    std::vector<ServerListing> Owned;
    for (std::size_t S = 0; S < Addresses.size(); ++S)
      if (Owners[S] >= 0 &&
          Members[static_cast<std::size_t>(Owners[S])] == E.m_Name)
        Owned.push_back({Addresses[S], 0, m_Fleet.m_Slots, false});
    E.m_Servers->update(Owned, m_Time.now());
  }

  // --- Arrivals

  // Offered load of a class in one domain, as a share of the fleet's slots.
  double offeredLoad(int Class, int Domain) const {
    const WorkClass &Work = m_Fleet.m_Classes[static_cast<std::size_t>(Class)];
    bool Disturbed = m_Time.now() >= m_Disturbance.m_From &&
                     m_Time.now() < m_Disturbance.m_To;
    double Flood = m_Disturbance.m_FloodLoad[priorityIndex(Work.m_Priority)];
    double TotalLoad = Disturbed && Flood > 0 ? Flood : Work.m_OfferedLoad;
    double EvenShare = TotalLoad / domainCount();
    if (!Disturbed || m_Disturbance.m_ArrivalSkew <= 0)
      return EvenShare;
    double SkewedLoad =
        Domain == 0 ? TotalLoad * m_Disturbance.m_ArrivalSkew : 0;
    return EvenShare * (1.0 - m_Disturbance.m_ArrivalSkew) + SkewedLoad;
  }

  void scheduleArrival(int Class, int Domain) {
    const WorkClass &Work = m_Fleet.m_Classes[static_cast<std::size_t>(Class)];
    double PerSecond =
        offeredLoad(Class, Domain) * slots() / toSeconds(Work.m_ServiceTime);
    double Gap = -std::log(1.0 - m_Random.uniform()) / PerSecond * 1e6;
    // The gap is cut to this limit, so that a change of the offered load takes
    // effect within it.
    constexpr double LongestGapUs = 100000;
    bool Arrives = Gap <= LongestGapUs;
    m_Time.after(
        Duration(static_cast<std::int64_t>(std::min(Gap, LongestGapUs))),
        [this, Class, Domain, Arrives] {
          if (Arrives)
            arrive(Class, Domain);
          scheduleArrival(Class, Domain);
        });
  }

  void arrive(int Class, int Domain) {
    Request R;
    R.m_Class = Class;
    const WorkClass &Work = classOf(R);
    R.m_Arrived = m_Time.now();
    R.m_Deadline = R.m_Arrived + Work.m_Deadline;
    R.m_ServiceTime = Duration(static_cast<std::int64_t>(
        static_cast<double>(Work.m_ServiceTime.count()) *
        (0.5 + m_Random.uniform())));
    R.m_Measured = inWindow();
    R.m_Entry = chooseEntry(Domain);
    PriorityResult &Row = m_Result.m_ByPriority[priorityIndex(Work.m_Priority)];
    Row.m_Offered += R.m_Measured ? 1 : 0;
    Row.m_OfferedSlotSeconds += R.m_Measured ? toSeconds(R.m_ServiceTime) : 0;
    ++m_Result.m_FirstTries;
    if (R.m_Entry < 0)
      recordRefused(R);
    else if (m_Policy == Policy::Rhubarb)
      submit(R);
    else
      sendBaseline(R);
  }

  // Chooses an entry process as look-ups do: from the caller's domain, else
  // from its region, else from any region. Returns -1 if none is up.
  int chooseEntry(int Domain) {
    for (int MaxDistance = 0; MaxDistance <= 2; ++MaxDistance) {
      std::vector<int> Choices;
      for (std::size_t E = 0; E < m_Entries.size(); ++E)
        if (m_Entries[E].m_IsUp &&
            distance(m_Entries[E].m_Domain, Domain) <= MaxDistance)
          Choices.push_back(static_cast<int>(E));
      if (!Choices.empty())
        return chooseWeighted(Choices);
    }
    return -1;
  }

  // Chooses an entry process with a probability in proportion to its open
  // slots, as look-ups spread callers.
  int chooseWeighted(const std::vector<int> &Choices) {
    int Sum = 0;
    for (int Choice : Choices)
      Sum += std::max(entry(Choice).m_Servers->openSlots(0), 1);
    int Offset =
        static_cast<int>(m_Random.below(static_cast<std::uint64_t>(Sum)));
    for (int Choice : Choices) {
      Offset -= std::max(entry(Choice).m_Servers->openSlots(0), 1);
      if (Offset < 0)
        return Choice;
    }
    return Choices.back();
  }

  void recordRefused(const Request &R) {
    m_Result.m_ByPriority[priorityIndex(classOf(R).m_Priority)].m_Refused +=
        R.m_Measured ? 1 : 0;
  }
  void recordLate(const Request &R) {
    m_Result.m_ByPriority[priorityIndex(classOf(R).m_Priority)].m_Late +=
        R.m_Measured ? 1 : 0;
  }
  void recordAnswered(const Request &R) {
    if (m_Time.now() > R.m_Deadline) {
      recordLate(R);
      return;
    }
    auto Bucket = static_cast<std::size_t>(m_Time.now() / GoodputBucket);
    if (Bucket < m_GoodputBuckets.size())
      m_GoodputBuckets[Bucket] += toSeconds(R.m_ServiceTime);
    if (inWindow())
      m_Result.m_ByPriority[priorityIndex(classOf(R).m_Priority)]
          .m_SlotSeconds += toSeconds(R.m_ServiceTime);
    if (!R.m_Measured)
      return;
    PriorityResult &Row =
        m_Result.m_ByPriority[priorityIndex(classOf(R).m_Priority)];
    ++Row.m_InTime;
    Row.m_InTimeSlotSeconds += toSeconds(R.m_ServiceTime);
    Row.m_LatencyMs.push_back(
        static_cast<float>(toSeconds(m_Time.now() - R.m_Arrived) * 1000));
  }

  // --- Library policy

  void submit(const Request &R) {
    Entry &E = entry(R.m_Entry);
    updateCapacity(E);
    RequestId Id = m_NextRequest++;
    QueueAdmission Admission =
        E.m_Queue->admit(Id, R.m_Class, m_Time.now(), R.m_Deadline);
    if (Admission.m_Error != ErrorKind::None) {
      recordRefused(R);
      return;
    }
    E.m_Requests[Id] = R;
    dispatchQueued(R.m_Entry);
  }

  void updateCapacity(Entry &E) {
    int OwnSlots = E.m_Servers->openSlots(0) -
                   E.m_GrantIssuer->grantedSlots(0, m_Time.now());
    int Held = 0;
    for (const GrantHolder::HeldGrant &Row : E.m_GrantHolder->rows())
      Held += m_Time.now() < Row.m_ExpiresAt ? Row.m_Slots : 0;
    E.m_Queue->setCapacity(std::max(std::max(OwnSlots, 0) + Held, 1));
  }

  // Grants free slots to pending requests of other entry processes. Runs before
  // local dispatch unless an urgent local request waits.
  void servePending(int Index) {
    Entry &E = entry(Index);
    int Generation = E.m_Generation;
    for (const PushedGrant &Issued : E.m_GrantIssuer->servePending(
             0, E.m_Servers->freeSlots(0), m_Time.now())) {
      int Source = peerIndex(Issued.m_Source);
      send(Index, Source, [this, Index, Source, Issued, Generation] {
        if (entry(Index).m_Generation != Generation)
          return;
        entry(Source).m_GrantHolder->recordPushed(entry(Index).m_Name, 0,
                                                  Issued.m_Grant, m_Time.now());
        dispatchQueued(Source);
      });
    }
  }

  void dispatchQueued(int Index) {
    Entry &E = entry(Index);
    if (E.m_Queue->firstWaitingPriority().value_or(Priority::Batch) !=
        Priority::Urgent)
      servePending(Index);
    updateCapacity(E);
    while (dispatchLocal(Index) || dispatchRemote(Index)) {
    }
  }

  bool dispatchLocal(int Index) {
    Entry &E = entry(Index);
    std::optional<Priority> First = E.m_Queue->firstWaitingPriority();
    if (!First)
      return false;
    int Free = E.m_Servers->freeSlots(0) -
               E.m_GrantIssuer->reservedSlots(0, m_Time.now());
    std::optional<QueuedRequest> Queued = E.m_Queue->take(Free, m_Time.now());
    if (!Queued)
      return false;
    ServerIndex AcquiredServer = E.m_Servers->acquire(0);
    int Target =
        std::stoi(E.m_Servers->row(AcquiredServer).m_Listing.m_Address);
    int Generation = E.m_Generation;
    Time StartedAt = m_Time.now();
    callServer(E.m_Domain, Target, E.m_Requests.at(Queued->m_Id),
               [this, Index, AcquiredServer, Queued = *Queued, Generation,
                StartedAt](AttemptStatus Status) {
                 Entry &Origin = entry(Index);
                 if (Origin.m_Generation != Generation)
                   return;
                 Origin.m_Servers->release(AcquiredServer, Status,
                                           m_Time.now());
                 endAttempt(Index, Queued, Status, m_Time.now() - StartedAt);
               });
    return true;
  }

  bool dispatchRemote(int Index) {
    Entry &E = entry(Index);
    if (E.m_Queue->waiting() == 0)
      return false;
    for (int Distance = 0; Distance <= 2; ++Distance) {
      GrantHolder::HeldGrant *Held =
          E.m_GrantHolder->acquire(0, Distance, m_Time.now());
      if (Held == nullptr)
        continue;
      std::vector<bool> Allowed;
      for (const WorkClass &Work : m_Fleet.m_Classes)
        Allowed.push_back(static_cast<int>(Work.m_Reach) >= Held->m_Distance &&
                          Work.m_Priority <= Held->m_Priority);
      constexpr int UnlimitedSlots = 1 << 20;
      std::optional<QueuedRequest> Queued =
          E.m_Queue->takeAllowed(UnlimitedSlots, m_Time.now(), Allowed);
      if (!Queued) {
        E.m_GrantHolder->release(Held->m_Peer, 0);
        continue;
      }
      forward(Index, Held->m_Peer, Held->m_Id, *Queued);
      return true;
    }
    return false;
  }

  int peerIndex(const std::string &Name) const {
    return std::stoi(Name.substr(1));
  }

  void forward(int Index, const std::string &Peer, GrantId Id,
               const QueuedRequest &Queued) {
    ++m_Result.m_Forwarded;
    int PeerIndex = peerIndex(Peer);
    int Generation = entry(Index).m_Generation;
    int PeerGeneration = entry(PeerIndex).m_Generation;
    Request R = entry(Index).m_Requests.at(Queued.m_Id);
    Time StartedAt = m_Time.now();
    auto OnFinished = [this, Index, PeerIndex, Peer, Queued, Generation,
                       StartedAt](AttemptStatus Status) {
      m_Time.after(delay(entry(PeerIndex).m_Domain, entry(Index).m_Domain),
                   [this, Index, Peer, Queued, Generation, StartedAt, Status] {
                     Entry &E = entry(Index);
                     if (E.m_Generation != Generation)
                       return;
                     E.m_GrantHolder->release(Peer, 0);
                     if (Status == AttemptStatus::Shed)
                       E.m_GrantHolder->invalidate(Peer, 0);
                     endAttempt(Index, Queued, Status,
                                m_Time.now() - StartedAt);
                   });
    };
    m_Time.after(delay(entry(Index).m_Domain, entry(PeerIndex).m_Domain),
                 [this, PeerIndex, PeerGeneration, Id, R, OnFinished] {
                   runForwarded(PeerIndex, PeerGeneration, Id, R, OnFinished);
                 });
  }

  void runForwarded(int PeerIndex, int PeerGeneration, GrantId Id,
                    const Request &R,
                    const std::function<void(AttemptStatus)> &OnFinished) {
    Entry &E = entry(PeerIndex);
    if (!E.m_IsUp || E.m_Generation != PeerGeneration) {
      OnFinished(AttemptStatus::Failed);
      return;
    }
    ServerIndex AcquiredServer = E.m_GrantIssuer->start(Id, m_Time.now())
                                     ? E.m_Servers->acquire(0)
                                     : NoServer;
    if (AcquiredServer == NoServer) {
      OnFinished(AttemptStatus::Shed);
      return;
    }
    int Target =
        std::stoi(E.m_Servers->row(AcquiredServer).m_Listing.m_Address);
    callServer(E.m_Domain, Target, R,
               [this, PeerIndex, PeerGeneration, AcquiredServer, Id,
                OnFinished](AttemptStatus Status) {
                 Entry &PeerEntry = entry(PeerIndex);
                 if (PeerEntry.m_Generation == PeerGeneration) {
                   PeerEntry.m_Servers->release(AcquiredServer, Status,
                                                m_Time.now());
                   PeerEntry.m_GrantIssuer->finish(Id);
                   dispatchQueued(PeerIndex);
                 }
                 OnFinished(Status);
               });
  }

  void endAttempt(int Index, const QueuedRequest &Queued, AttemptStatus Status,
                  Duration HeldFor) {
    Entry &E = entry(Index);
    auto RequestIt = E.m_Requests.find(Queued.m_Id);
    Request R = RequestIt->second;
    if (++R.m_Attempts == 1)
      E.m_Budget.recordFirstAttempt();
    bool Retry = Status != AttemptStatus::Answered &&
                 R.m_Attempts < MaxAttempts &&
                 m_Time.now() + E.m_Queue->meanServiceTime(Queued.m_Priority) <
                     R.m_Deadline &&
                 E.m_Budget.tryTakeRetry();
    if (Retry) {
      RequestIt->second = R;
      E.m_Queue->putBack(Queued, m_Time.now(), R.m_Deadline);
    } else {
      E.m_Queue->recordFinished(
          Queued.m_Priority,
          Status == AttemptStatus::Answered
              ? HeldFor
              : E.m_Queue->meanServiceTime(Queued.m_Priority));
      E.m_Requests.erase(RequestIt);
      if (Status == AttemptStatus::Answered)
        recordAnswered(R);
      else
        recordLate(R);
    }
    dispatchQueued(Index);
  }

  void tick() {
    for (std::size_t I = 0; I < m_Entries.size(); ++I) {
      Entry &E = m_Entries[I];
      if (!E.m_IsUp || m_Policy != Policy::Rhubarb)
        continue;
      E.m_Servers->tick(m_Time.now());
      E.m_GrantIssuer->tick(m_Time.now());
      E.m_Queue->tick(m_Time.now());
      std::vector<RequestId> Expired;
      E.m_Queue->expire(m_Time.now(),
                        [&](RequestId Id) { Expired.push_back(Id); });
      for (RequestId Id : Expired) {
        recordRefused(E.m_Requests.at(Id));
        E.m_Requests.erase(Id);
      }
      dispatchQueued(static_cast<int>(I));
      requestGrants(static_cast<int>(I));
    }
    m_Time.after(TickInterval, [this] { tick(); });
  }

  // Sends each entry process's free slots to the others. A summary arrives
  // after the delay between regions, and some are lost.
  void publishSummaries() {
    for (Entry &E : m_Entries) {
      if (static_cast<int>(m_Random.below(100)) <
          m_Disturbance.m_MessageLossPercent)
        continue;
      int Free = E.m_IsUp ? E.m_Servers->freeSlots(0) -
                                E.m_GrantIssuer->reservedSlots(0, m_Time.now())
                          : 0;
      m_Time.after(m_Fleet.m_InterRegionDelay, [&E, Free] {
        E.m_SummaryFreeSlots = std::max(Free, 0);
        E.m_SummaryLive = E.m_IsUp;
      });
    }
    m_Time.after(SummaryInterval, [this] { publishSummaries(); });
  }

  void send(int From, int To, std::function<void()> Action) {
    if (static_cast<int>(m_Random.below(100)) <
        m_Disturbance.m_MessageLossPercent)
      return;
    m_Time.after(delay(entry(From).m_Domain, entry(To).m_Domain),
                 std::move(Action));
  }

  void requestGrants(int Index) {
    Entry &E = entry(Index);
    std::optional<Priority> First = E.m_Queue->firstWaitingPriority();
    for (const PlannedGrantRequest &Returned :
         E.m_GrantHolder->planReturns(0, First, m_Time.now()))
      sendGrantRequest(Index, Returned);
    if (!First)
      return;
    int MaxDistance = 0;
    for (const WorkClass &Work : m_Fleet.m_Classes)
      if (Work.m_Priority == *First)
        MaxDistance = std::max(MaxDistance, static_cast<int>(Work.m_Reach));
    std::vector<GrantCandidate> Candidates;
    for (std::size_t PeerIndex = 0; PeerIndex < m_Entries.size(); ++PeerIndex) {
      const Entry &Other = m_Entries[PeerIndex];
      int Distance = distance(Other.m_Domain, E.m_Domain);
      if (static_cast<int>(PeerIndex) != Index && Other.m_SummaryLive &&
          Distance <= MaxDistance)
        Candidates.push_back(
            {Other.m_Name, Distance, Other.m_SummaryFreeSlots});
    }
    int WantedSlots = E.m_Queue->waiting() -
                      E.m_GrantHolder->freeSlots(0, MaxDistance, m_Time.now());
    for (const PlannedGrantRequest &Planned : E.m_GrantHolder->planRequests(
             0, *First, WantedSlots, E.m_Queue->predictWait(*First), Candidates,
             m_Time.now()))
      sendGrantRequest(Index, Planned);
  }

  void sendGrantRequest(int Index, const PlannedGrantRequest &Planned) {
    int PeerIndex = peerIndex(Planned.m_Peer);
    int Generation = entry(Index).m_Generation;
    Time RequestedAt = m_Time.now();
    send(
        Index, PeerIndex,
        [this, Index, PeerIndex, Planned, RequestedAt, Generation] {
          Entry &Issuer = entry(PeerIndex);
          if (!Issuer.m_IsUp)
            return;
          GrantPoolState PoolState{
              Issuer.m_Servers->freeSlots(0), Issuer.m_Queue->waiting(),
              Issuer.m_Queue->firstWaitingPriority().value_or(Priority::Batch)};
          Grant Issued = Issuer.m_GrantIssuer->issue(
              {entry(Index).m_Name, 0, Planned.m_Priority, Planned.m_Slots},
              PoolState, m_Time.now());
          send(PeerIndex, Index,
               [this, Index, Planned, Issued, RequestedAt, Generation] {
                 if (entry(Index).m_Generation != Generation)
                   return;
                 entry(Index).m_GrantHolder->recordResponse(
                     Planned.m_Peer, 0, Issued, RequestedAt, m_Time.now());
                 dispatchQueued(Index);
               });
        });
    m_Time.after(1s, [this, Index, Planned, Generation] {
      if (entry(Index).m_Generation == Generation)
        entry(Index).m_GrantHolder->recordFailure(Planned.m_Peer, 0);
    });
  }

  // --- Baselines

  // Sends a request straight to a server, which queues requests first in, first
  // out.
  void sendBaseline(const Request &R) {
    std::vector<int> Choices;
    for (std::size_t S = 0; S < m_Servers.size(); ++S)
      if (m_Servers[S].m_Domain == entry(R.m_Entry).m_Domain)
        Choices.push_back(static_cast<int>(S));
    int Target = Choices[m_Random.below(Choices.size())];
    if (m_Policy == Policy::RoundRobin) {
      auto Next = static_cast<std::size_t>(entry(R.m_Entry).m_NextServer++);
      Target = Choices[Next % Choices.size()];
    }
    if (m_Policy == Policy::LeastReported)
      for (int Choice : Choices)
        if (server(Choice).m_ReportedLoad < server(Target).m_ReportedLoad)
          Target = Choice;
    callServer(entry(R.m_Entry).m_Domain, Target, R,
               [this, R](AttemptStatus Status) {
                 Request Retry = R;
                 ++Retry.m_Attempts;
                 if (Status == AttemptStatus::Answered)
                   recordAnswered(R);
                 else if (Retry.m_Attempts < MaxAttempts &&
                          m_Time.now() < R.m_Deadline)
                   sendBaseline(Retry);
                 else
                   recordLate(R);
               });
  }

  void updateLoadReports() {
    for (Server &S : m_Servers)
      S.m_ReportedLoad = S.m_BusySlots + static_cast<int>(S.m_WaitQueue.size());
    m_Time.after(ReportInterval, [this] { updateLoadReports(); });
  }

  // --- Servers

  void callServer(int FromDomain, int Target, const Request &R,
                  std::function<void(AttemptStatus)> Done) {
    ++m_Result.m_ServerCalls;
    Duration OneWayDelay = delay(FromDomain, server(Target).m_Domain);
    m_Time.after(OneWayDelay, [this, Target, R, Done = std::move(Done),
                               OneWayDelay] {
      Server &S = server(Target);
      if (!S.m_IsUp) {
        m_Time.after(OneWayDelay, [Done] { Done(AttemptStatus::Unreachable); });
      } else if (m_Policy == Policy::Rhubarb ||
                 S.m_BusySlots < m_Fleet.m_Slots) {
        serve(Target, R, Done, OneWayDelay);
      } else {
        S.m_WaitQueue.push_back([this, Target, R, Done, OneWayDelay] {
          serve(Target, R, Done, OneWayDelay);
        });
      }
    });
  }

  void serve(int Target, const Request &R,
             const std::function<void(AttemptStatus)> &Done,
             Duration ReturnDelay) {
    Server &S = server(Target);
    ++S.m_BusySlots;
    if (S.m_BusySlots > m_Fleet.m_Slots)
      ++m_Result.m_Overloads;
    bool Cold = m_Time.now() - S.m_Started < ColdTime;
    Duration Length = Cold ? R.m_ServiceTime * ColdFactor : R.m_ServiceTime;
    // An unresponsive server holds the slot until the request's deadline.
    if (S.m_Unresponsive)
      Length = std::max<Duration>(R.m_Deadline - m_Time.now(), Duration{0});
    bool Unresponsive = S.m_Unresponsive;
    int Generation = S.m_Generation;
    m_Time.after(
        Length, [this, Target, Done, ReturnDelay, Generation, Unresponsive] {
          Server &Finished = server(Target);
          bool Died = Finished.m_Generation != Generation;
          if (!Died) {
            --Finished.m_BusySlots;
            if (!Finished.m_WaitQueue.empty()) {
              auto Next = std::move(Finished.m_WaitQueue.front());
              Finished.m_WaitQueue.erase(Finished.m_WaitQueue.begin());
              Next();
            }
          }
          AttemptStatus Status = Died || Unresponsive ? AttemptStatus::Failed
                                                      : AttemptStatus::Answered;
          m_Time.after(ReturnDelay, [Done, Status] { Done(Status); });
        });
  }

  // --- Disturbances

  void setDisturbance(bool Begin) {
    for (std::size_t S = 0; S < m_Servers.size(); ++S) {
      bool Unresponsive =
          static_cast<double>(S) < m_Disturbance.m_UnresponsiveShare *
                                       static_cast<double>(m_Servers.size());
      m_Servers[S].m_Unresponsive = Begin && Unresponsive;
      if (m_Disturbance.m_ColdServers)
        m_Servers[S].m_Started = m_Time.now();
    }
    if (m_Disturbance.m_FailedRegion >= 0)
      setRegion(m_Disturbance.m_FailedRegion, !Begin);
  }

  void setRegion(int Region, bool Up) {
    for (Server &S : m_Servers)
      if (regionOf(S.m_Domain) == Region) {
        S.m_IsUp = Up;
        ++S.m_Generation;
        S.m_BusySlots = 0;
        S.m_WaitQueue.clear();
        S.m_Started = m_Time.now();
      }
    for (std::size_t E = 0; E < m_Entries.size(); ++E)
      if (regionOf(m_Entries[E].m_Domain) == Region) {
        for (const auto &[Id, R] : m_Entries[E].m_Requests)
          recordLate(R);
        m_Entries[E].m_IsUp = Up;
        ++m_Entries[E].m_Generation;
        startEntry(static_cast<int>(E));
      }
    for (std::size_t E = 0; E < m_Entries.size(); ++E)
      if (m_Entries[E].m_IsUp && regionOf(m_Entries[E].m_Domain) == Region)
        assignServers(static_cast<int>(E));
  }

  // Measures the time from the end of the disturbance until a bucket's goodput
  // reaches nine tenths of the mean before the disturbance.
  void measureRecoveryTime() {
    auto First = static_cast<std::size_t>(m_Disturbance.m_From / GoodputBucket);
    auto Last = static_cast<std::size_t>(m_Disturbance.m_To / GoodputBucket);
    if (First < 10 || Last >= m_GoodputBuckets.size())
      return;
    double Before = 0;
    for (std::size_t B = First - 8; B < First; ++B)
      Before += m_GoodputBuckets[B] / 8;
    m_Result.m_RecoveryTime = Duration::max();
    for (std::size_t B = Last; B < m_GoodputBuckets.size(); ++B)
      if (m_GoodputBuckets[B] >= 0.9 * Before) {
        m_Result.m_RecoveryTime = GoodputBucket * (B - Last + 1);
        return;
      }
  }

  Deployment m_Fleet;
  Policy m_Policy;
  Disturbance m_Disturbance;
  Time m_From;
  Time m_To;
  Random m_Random;
  VirtualTime m_Time;
  std::vector<Entry> m_Entries;
  std::vector<Server> m_Servers;
  // Goodput of each interval of GoodputBucket, in slot seconds.
  std::vector<double> m_GoodputBuckets;
  RequestId m_NextRequest = 1;
  FleetResult m_Result;
};

} // namespace

FleetResult runFleet(const Deployment &Fleet, Policy SelectedPolicy,
                     const Disturbance &Injected, Time From, Time To,
                     Time Length, std::uint64_t Seed) {
  return Model(Fleet, SelectedPolicy, Injected, From, To, Seed).run(Length);
}

} // namespace rhubarb::bench
