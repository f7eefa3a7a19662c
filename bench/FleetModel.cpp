#include "bench/FleetModel.h"

#include <algorithm>
#include <cmath>

// Sections: arrivals, the library's policy, baselines, servers, disturbances,
// runFleet.

namespace rhubarb::bench {
namespace {

constexpr Duration TickInterval = 20ms;
constexpr Duration SummaryInterval = 500ms;
constexpr Duration ReportInterval = 1s; // Lag of the servers' load reports.
constexpr Duration ColdTime = 2s;
constexpr int ColdFactor = 3;
constexpr Duration GoodputBucket = 500ms;
constexpr int MaxAttempts = 3;

double secondsOf(Duration Value) {
  return static_cast<double>(Value.count()) / 1e6;
}

struct Request {
  int m_Class = 0;
  int m_Entry = 0; // Where it arrived.
  Time m_Arrived{0};
  Time m_Deadline{0};
  Duration m_Service{0};
  int m_Attempts = 0;
  bool m_Measured = false;
};

struct Server {
  int m_Domain = 0;
  bool m_Up = true;
  bool m_Sick = false;
  int m_Busy = 0;
  int m_Generation = 0;
  Time m_Started{0};
  int m_Reported = 0;                           // Load as last reported.
  std::vector<std::function<void()>> m_Waiting; // Baselines only.
};

struct Entry {
  int m_Domain = 0;
  bool m_Up = true;
  int m_Generation = 0;
  std::string m_Name;
  std::unique_ptr<AdmissionQueue> m_Queue;
  std::unique_ptr<BackendServerTable> m_Servers;
  std::unique_ptr<GrantIssuer> m_Desk;
  std::unique_ptr<GrantHolder> m_Wallet;
  RetryBudget m_Budget;
  std::map<RequestId, Request> m_Requests;
  int m_NextServer = 0;
  int m_SummaryFree = 0; // As the others know it.
  bool m_SummaryLive = true;
};

class Model {
public:
  Model(const Deployment &Fleet, Policy Used, const Disturbance &What,
        Time From, Time To, std::uint64_t Seed)
      : m_Fleet(Fleet), m_Policy(Used), m_What(What), m_From(From), m_To(To),
        m_Random(Seed) {
    build();
  }

  FleetResult run(Time Length) {
    m_Buckets.assign(static_cast<std::size_t>(Length / GoodputBucket) + 1, 0);
    for (std::size_t C = 0; C < m_Fleet.m_Classes.size(); ++C)
      for (int D = 0; D < domainCount(); ++D)
        nextArrival(static_cast<int>(C), D);
    m_Time.after(Duration{0}, [this] { tick(); });
    m_Time.after(Duration{0}, [this] { summarize(); });
    m_Time.after(Duration{0}, [this] { report(); });
    m_Time.after(m_What.m_From, [this] { disturb(true); });
    m_Time.after(m_What.m_To, [this] { disturb(false); });
    m_Time.runUntil(Length);
    m_Result.m_CapacitySlotSeconds = secondsOf(m_To - m_From) * slots();
    measureReturn();
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
  const WorkClass &workOf(const Request &R) const {
    return m_Fleet.m_Classes[static_cast<std::size_t>(R.m_Class)];
  }
  bool measured() const {
    return m_Time.now() >= m_From && m_Time.now() < m_To;
  }

  int distance(int A, int B) const {
    if (A == B)
      return 0;
    return regionOf(A) == regionOf(B) ? 1 : 2;
  }
  Duration delay(int A, int B) {
    const Duration Base[] = {m_Fleet.m_InDomain, m_Fleet.m_BetweenDomains,
                             m_Fleet.m_BetweenRegions};
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
        Entry Added;
        Added.m_Domain = D;
        Added.m_Name = "e" + std::to_string(m_Entries.size());
        m_Entries.push_back(std::move(Added));
      }
    }
    for (int S = 0; S < m_Fleet.m_Servers; ++S) {
      Server Added;
      Added.m_Domain = S % domainCount();
      Added.m_Started = -ColdTime;
      m_Servers.push_back(std::move(Added));
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
      Profiles.push_back({Work.m_Rank, 1, Work.m_Floor});
    E.m_Queue->setProfiles(Profiles);
    E.m_Servers =
        std::make_unique<BackendServerTable>(ServerLimits{}, m_Random.next());
    E.m_Desk =
        std::make_unique<GrantIssuer>(GrantLimits{}, m_Random.next() >> 12U);
    E.m_Wallet = std::make_unique<GrantHolder>();
    E.m_Requests.clear();
  }

  // Every live entry process of a domain comes to the same owners.
  void assignServers(int Index) {
    Entry &E = entry(Index);
    std::vector<std::string> Members;
    for (const Entry &Other : m_Entries)
      if (Other.m_Domain == E.m_Domain && Other.m_Up)
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
    bool Disturbed =
        m_Time.now() >= m_What.m_From && m_Time.now() < m_What.m_To;
    double Flood = m_What.m_Flood[priorityIndex(Work.m_Rank)];
    double Whole = Disturbed && Flood > 0 ? Flood : Work.m_Load;
    double Even = Whole / domainCount();
    if (!Disturbed || m_What.m_ArrivalSkew <= 0)
      return Even;
    double Skewed = Domain == 0 ? Whole * m_What.m_ArrivalSkew : 0;
    return Even * (1.0 - m_What.m_ArrivalSkew) + Skewed;
  }

  void nextArrival(int Class, int Domain) {
    const WorkClass &Work = m_Fleet.m_Classes[static_cast<std::size_t>(Class)];
    double PerSecond =
        offeredLoad(Class, Domain) * slots() / secondsOf(Work.m_Service);
    double Gap = -std::log(1.0 - m_Random.uniform()) / PerSecond * 1e6;
    // A change of the offered load takes effect within the longest gap.
    constexpr double LongestGapUs = 100000;
    bool Arrives = Gap <= LongestGapUs;
    m_Time.after(
        Duration(static_cast<std::int64_t>(std::min(Gap, LongestGapUs))),
        [this, Class, Domain, Arrives] {
          if (Arrives)
            arrive(Class, Domain);
          nextArrival(Class, Domain);
        });
  }

  void arrive(int Class, int Domain) {
    Request R;
    R.m_Class = Class;
    const WorkClass &Work = workOf(R);
    R.m_Arrived = m_Time.now();
    R.m_Deadline = R.m_Arrived + Work.m_Deadline;
    R.m_Service = Duration(
        static_cast<std::int64_t>(static_cast<double>(Work.m_Service.count()) *
                                  (0.5 + m_Random.uniform())));
    R.m_Measured = measured();
    R.m_Entry = chooseEntry(Domain);
    RankResult &Row = m_Result.m_Ranks[priorityIndex(Work.m_Rank)];
    Row.m_Offered += R.m_Measured ? 1 : 0;
    Row.m_OfferedSlotSeconds += R.m_Measured ? secondsOf(R.m_Service) : 0;
    ++m_Result.m_FirstTries;
    if (R.m_Entry < 0)
      refuse(R);
    else if (m_Policy == Policy::Rhubarb)
      offer(R);
    else
      sendBaseline(R);
  }

  // Look-ups name entry processes of the own domain, else of the region, else
  // any.
  int chooseEntry(int Domain) {
    for (int Far = 0; Far <= 2; ++Far) {
      std::vector<int> Choices;
      for (std::size_t E = 0; E < m_Entries.size(); ++E)
        if (m_Entries[E].m_Up && distance(m_Entries[E].m_Domain, Domain) <= Far)
          Choices.push_back(static_cast<int>(E));
      if (!Choices.empty())
        return chooseWeighted(Choices);
    }
    return -1;
  }

  // In proportion to the open slots behind each, as look-ups spread callers.
  int chooseWeighted(const std::vector<int> &Choices) {
    int Sum = 0;
    for (int Choice : Choices)
      Sum += std::max(entry(Choice).m_Servers->openSlots(0), 1);
    int Place =
        static_cast<int>(m_Random.below(static_cast<std::uint64_t>(Sum)));
    for (int Choice : Choices) {
      Place -= std::max(entry(Choice).m_Servers->openSlots(0), 1);
      if (Place < 0)
        return Choice;
    }
    return Choices.back();
  }

  void refuse(const Request &R) {
    m_Result.m_Ranks[priorityIndex(workOf(R).m_Rank)].m_Refused +=
        R.m_Measured ? 1 : 0;
  }
  void late(const Request &R) {
    m_Result.m_Ranks[priorityIndex(workOf(R).m_Rank)].m_Late +=
        R.m_Measured ? 1 : 0;
  }
  void answered(const Request &R) {
    if (m_Time.now() > R.m_Deadline) {
      late(R);
      return;
    }
    auto Bucket = static_cast<std::size_t>(m_Time.now() / GoodputBucket);
    if (Bucket < m_Buckets.size())
      m_Buckets[Bucket] += secondsOf(R.m_Service);
    if (measured())
      m_Result.m_Ranks[priorityIndex(workOf(R).m_Rank)].m_SlotSeconds +=
          secondsOf(R.m_Service);
    if (!R.m_Measured)
      return;
    RankResult &Row = m_Result.m_Ranks[priorityIndex(workOf(R).m_Rank)];
    ++Row.m_Good;
    Row.m_GoodSlotSeconds += secondsOf(R.m_Service);
    Row.m_LatencyMs.push_back(
        static_cast<float>(secondsOf(m_Time.now() - R.m_Arrived) * 1000));
  }

  // --- The library's policy

  void offer(const Request &R) {
    Entry &E = entry(R.m_Entry);
    updateCapacity(E);
    RequestId Id = m_NextRequest++;
    QueueAdmission Verdict =
        E.m_Queue->admit(Id, R.m_Class, m_Time.now(), R.m_Deadline);
    if (Verdict.m_Error != ErrorKind::None) {
      refuse(R);
      return;
    }
    E.m_Requests[Id] = R;
    pump(R.m_Entry);
  }

  void updateCapacity(Entry &E) {
    int Own =
        E.m_Servers->openSlots(0) - E.m_Desk->grantedSlots(0, m_Time.now());
    int Held = 0;
    for (const GrantHolder::HeldGrant &Row : E.m_Wallet->rows())
      Held += m_Time.now() < Row.m_ExpiresAt ? Row.m_Slots : 0;
    E.m_Queue->setCapacity(std::max(std::max(Own, 0) + Held, 1));
  }

  // Slots that came free go to urgent work of others first.
  void servePending(int Index) {
    Entry &E = entry(Index);
    int Generation = E.m_Generation;
    for (const PushedGrant &Given :
         E.m_Desk->servePending(0, E.m_Servers->freeSlots(0), m_Time.now())) {
      int Source = peerIndex(Given.m_Source);
      send(Index, Source, [this, Index, Source, Given, Generation] {
        if (entry(Index).m_Generation != Generation)
          return;
        entry(Source).m_Wallet->recordPushed(entry(Index).m_Name, 0,
                                             Given.m_Grant, m_Time.now());
        pump(Source);
      });
    }
  }

  void pump(int Index) {
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
    int Free =
        E.m_Servers->freeSlots(0) - E.m_Desk->reservedSlots(0, m_Time.now());
    std::optional<QueuedRequest> Taken = E.m_Queue->take(Free, m_Time.now());
    if (!Taken)
      return false;
    ServerIndex Slot = E.m_Servers->acquire(0);
    int Target = std::stoi(E.m_Servers->row(Slot).m_Listing.m_Address);
    int Generation = E.m_Generation;
    Time Began = m_Time.now();
    callServer(E.m_Domain, Target, E.m_Requests.at(Taken->m_Id),
               [this, Index, Slot, Taken = *Taken, Generation,
                Began](AttemptStatus End) {
                 Entry &Back = entry(Index);
                 if (Back.m_Generation != Generation)
                   return;
                 Back.m_Servers->release(Slot, End, m_Time.now());
                 endAttempt(Index, Taken, End, m_Time.now() - Began);
               });
    return true;
  }

  bool dispatchRemote(int Index) {
    Entry &E = entry(Index);
    if (E.m_Queue->waiting() == 0)
      return false;
    for (int Far = 0; Far <= 2; ++Far) {
      GrantHolder::HeldGrant *Held = E.m_Wallet->acquire(0, Far, m_Time.now());
      if (Held == nullptr)
        continue;
      std::vector<bool> Allowed;
      for (const WorkClass &Work : m_Fleet.m_Classes)
        Allowed.push_back(static_cast<int>(Work.m_Reach) >= Held->m_Distance &&
                          Work.m_Rank <= Held->m_Priority);
      constexpr int Plenty = 1 << 20;
      std::optional<QueuedRequest> Taken =
          E.m_Queue->takeAllowed(Plenty, m_Time.now(), Allowed);
      if (!Taken) {
        E.m_Wallet->release(Held->m_Peer, 0);
        continue;
      }
      forward(Index, Held->m_Peer, Held->m_Id, *Taken);
      return true;
    }
    return false;
  }

  int peerIndex(const std::string &Name) const {
    return std::stoi(Name.substr(1));
  }

  void forward(int Index, const std::string &Peer, GrantId Id,
               const QueuedRequest &Taken) {
    ++m_Result.m_Forwarded;
    int Far = peerIndex(Peer);
    int Generation = entry(Index).m_Generation;
    int FarGeneration = entry(Far).m_Generation;
    Request R = entry(Index).m_Requests.at(Taken.m_Id);
    Time Began = m_Time.now();
    auto Back = [this, Index, Far, Peer, Taken, Generation,
                 Began](AttemptStatus End) {
      m_Time.after(delay(entry(Far).m_Domain, entry(Index).m_Domain),
                   [this, Index, Peer, Taken, Generation, Began, End] {
                     Entry &E = entry(Index);
                     if (E.m_Generation != Generation)
                       return;
                     E.m_Wallet->release(Peer, 0);
                     if (End == AttemptStatus::Shed)
                       E.m_Wallet->invalidate(Peer, 0);
                     endAttempt(Index, Taken, End, m_Time.now() - Began);
                   });
    };
    m_Time.after(delay(entry(Index).m_Domain, entry(Far).m_Domain),
                 [this, Far, FarGeneration, Id, R, Back] {
                   runForwarded(Far, FarGeneration, Id, R, Back);
                 });
  }

  void runForwarded(int Far, int FarGeneration, GrantId Id, const Request &R,
                    const std::function<void(AttemptStatus)> &Back) {
    Entry &E = entry(Far);
    if (!E.m_Up || E.m_Generation != FarGeneration) {
      Back(AttemptStatus::Failed);
      return;
    }
    ServerIndex Slot =
        E.m_Desk->start(Id, m_Time.now()) ? E.m_Servers->acquire(0) : NoServer;
    if (Slot == NoServer) {
      Back(AttemptStatus::Shed);
      return;
    }
    int Target = std::stoi(E.m_Servers->row(Slot).m_Listing.m_Address);
    callServer(E.m_Domain, Target, R,
               [this, Far, FarGeneration, Slot, Id, Back](AttemptStatus End) {
                 Entry &Ended = entry(Far);
                 if (Ended.m_Generation == FarGeneration) {
                   Ended.m_Servers->release(Slot, End, m_Time.now());
                   Ended.m_Desk->finish(Id);
                   pump(Far);
                 }
                 Back(End);
               });
  }

  void endAttempt(int Index, const QueuedRequest &Taken, AttemptStatus End,
                  Duration Held) {
    Entry &E = entry(Index);
    auto Found = E.m_Requests.find(Taken.m_Id);
    Request R = Found->second;
    if (++R.m_Attempts == 1)
      E.m_Budget.recordFirstAttempt();
    bool Again = End != AttemptStatus::Answered && R.m_Attempts < MaxAttempts &&
                 m_Time.now() + E.m_Queue->meanServiceTime(Taken.m_Priority) <
                     R.m_Deadline &&
                 E.m_Budget.tryTakeRetry();
    if (Again) {
      Found->second = R;
      E.m_Queue->putBack(Taken, m_Time.now(), R.m_Deadline);
    } else {
      E.m_Queue->recordFinished(
          Taken.m_Priority, End == AttemptStatus::Answered
                                ? Held
                                : E.m_Queue->meanServiceTime(Taken.m_Priority));
      E.m_Requests.erase(Found);
      if (End == AttemptStatus::Answered)
        answered(R);
      else
        late(R);
    }
    pump(Index);
  }

  void tick() {
    for (std::size_t I = 0; I < m_Entries.size(); ++I) {
      Entry &E = m_Entries[I];
      if (!E.m_Up || m_Policy != Policy::Rhubarb)
        continue;
      E.m_Servers->tick(m_Time.now());
      E.m_Desk->tick(m_Time.now());
      E.m_Queue->tick(m_Time.now());
      std::vector<RequestId> Late;
      E.m_Queue->expire(m_Time.now(),
                        [&](RequestId Id) { Late.push_back(Id); });
      for (RequestId Id : Late) {
        refuse(E.m_Requests.at(Id));
        E.m_Requests.erase(Id);
      }
      pump(static_cast<int>(I));
      ask(static_cast<int>(I));
    }
    m_Time.after(TickInterval, [this] { tick(); });
  }

  // Summaries reach the others with their lag, and some are lost.
  void summarize() {
    for (Entry &E : m_Entries) {
      if (static_cast<int>(m_Random.below(100)) < m_What.m_LossPercent)
        continue;
      int Free = E.m_Up ? E.m_Servers->freeSlots(0) -
                              E.m_Desk->reservedSlots(0, m_Time.now())
                        : 0;
      m_Time.after(m_Fleet.m_BetweenRegions, [&E, Free] {
        E.m_SummaryFree = std::max(Free, 0);
        E.m_SummaryLive = E.m_Up;
      });
    }
    m_Time.after(SummaryInterval, [this] { summarize(); });
  }

  void send(int From, int To, std::function<void()> Action) {
    if (static_cast<int>(m_Random.below(100)) < m_What.m_LossPercent)
      return;
    m_Time.after(delay(entry(From).m_Domain, entry(To).m_Domain),
                 std::move(Action));
  }

  void ask(int Index) {
    Entry &E = entry(Index);
    std::optional<Priority> First = E.m_Queue->firstWaitingPriority();
    for (const PlannedGrantRequest &Return :
         E.m_Wallet->planReturns(0, First, m_Time.now()))
      sendAsk(Index, Return);
    if (!First)
      return;
    int Far = 0;
    for (const WorkClass &Work : m_Fleet.m_Classes)
      if (Work.m_Rank == *First)
        Far = std::max(Far, static_cast<int>(Work.m_Reach));
    std::vector<GrantCandidate> Candidates;
    for (std::size_t O = 0; O < m_Entries.size(); ++O) {
      const Entry &Other = m_Entries[O];
      int Distance = distance(Other.m_Domain, E.m_Domain);
      if (static_cast<int>(O) != Index && Other.m_SummaryLive &&
          Distance <= Far)
        Candidates.push_back({Other.m_Name, Distance, Other.m_SummaryFree});
    }
    int Wanted =
        E.m_Queue->waiting() - E.m_Wallet->freeSlots(0, Far, m_Time.now());
    for (const PlannedGrantRequest &Ask : E.m_Wallet->planRequests(
             0, *First, Wanted, E.m_Queue->predictWait(*First), Candidates,
             m_Time.now()))
      sendAsk(Index, Ask);
  }

  void sendAsk(int Index, const PlannedGrantRequest &Ask) {
    int Far = peerIndex(Ask.m_Peer);
    int Generation = entry(Index).m_Generation;
    Time AskedAt = m_Time.now();
    send(Index, Far, [this, Index, Far, Ask, AskedAt, Generation] {
      Entry &Asked = entry(Far);
      if (!Asked.m_Up)
        return;
      GrantPoolState Room{
          Asked.m_Servers->freeSlots(0), Asked.m_Queue->waiting(),
          Asked.m_Queue->firstWaitingPriority().value_or(Priority::Batch)};
      Grant Given = Asked.m_Desk->issue(
          {entry(Index).m_Name, 0, Ask.m_Priority, Ask.m_Slots}, Room,
          m_Time.now());
      send(Far, Index, [this, Index, Ask, Given, AskedAt, Generation] {
        if (entry(Index).m_Generation != Generation)
          return;
        entry(Index).m_Wallet->recordResponse(Ask.m_Peer, 0, Given, AskedAt,
                                              m_Time.now());
        pump(Index);
      });
    });
    m_Time.after(1s, [this, Index, Ask, Generation] {
      if (entry(Index).m_Generation == Generation)
        entry(Index).m_Wallet->recordFailure(Ask.m_Peer, 0);
    });
  }

  // --- Baselines: straight to a server, which queues first in, first out.

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
        if (server(Choice).m_Reported < server(Target).m_Reported)
          Target = Choice;
    callServer(entry(R.m_Entry).m_Domain, Target, R,
               [this, R](AttemptStatus End) {
                 Request Again = R;
                 ++Again.m_Attempts;
                 if (End == AttemptStatus::Answered)
                   answered(R);
                 else if (Again.m_Attempts < MaxAttempts &&
                          m_Time.now() < R.m_Deadline)
                   sendBaseline(Again);
                 else
                   late(R);
               });
  }

  void report() {
    for (Server &S : m_Servers)
      S.m_Reported = S.m_Busy + static_cast<int>(S.m_Waiting.size());
    m_Time.after(ReportInterval, [this] { report(); });
  }

  // --- Servers

  void callServer(int FromDomain, int Target, const Request &R,
                  std::function<void(AttemptStatus)> Done) {
    ++m_Result.m_ServerCalls;
    Duration There = delay(FromDomain, server(Target).m_Domain);
    m_Time.after(There, [this, Target, R, Done = std::move(Done), There] {
      Server &S = server(Target);
      if (!S.m_Up) {
        m_Time.after(There, [Done] { Done(AttemptStatus::Unreachable); });
      } else if (m_Policy == Policy::Rhubarb || S.m_Busy < m_Fleet.m_Slots) {
        serve(Target, R, Done, There);
      } else {
        S.m_Waiting.push_back(
            [this, Target, R, Done, There] { serve(Target, R, Done, There); });
      }
    });
  }

  void serve(int Target, const Request &R,
             const std::function<void(AttemptStatus)> &Done, Duration Back) {
    Server &S = server(Target);
    ++S.m_Busy;
    if (S.m_Busy > m_Fleet.m_Slots)
      ++m_Result.m_Overloads;
    bool Cold = m_Time.now() - S.m_Started < ColdTime;
    Duration Length = Cold ? R.m_Service * ColdFactor : R.m_Service;
    if (S.m_Sick) // Holds the slot until the caller gives up.
      Length = std::max<Duration>(R.m_Deadline - m_Time.now(), Duration{0});
    bool Sick = S.m_Sick;
    int Generation = S.m_Generation;
    m_Time.after(Length, [this, Target, Done, Back, Generation, Sick] {
      Server &Ended = server(Target);
      bool Died = Ended.m_Generation != Generation;
      if (!Died) {
        --Ended.m_Busy;
        if (!Ended.m_Waiting.empty()) {
          auto Next = std::move(Ended.m_Waiting.front());
          Ended.m_Waiting.erase(Ended.m_Waiting.begin());
          Next();
        }
      }
      AttemptStatus End =
          Died || Sick ? AttemptStatus::Failed : AttemptStatus::Answered;
      m_Time.after(Back, [Done, End] { Done(End); });
    });
  }

  // --- Disturbances

  void disturb(bool Begin) {
    for (std::size_t S = 0; S < m_Servers.size(); ++S) {
      bool Sick = static_cast<double>(S) <
                  m_What.m_SickServers * static_cast<double>(m_Servers.size());
      m_Servers[S].m_Sick = Begin && Sick;
      if (m_What.m_ColdServers)
        m_Servers[S].m_Started = m_Time.now();
    }
    if (m_What.m_DeadRegion >= 0)
      setRegion(m_What.m_DeadRegion, !Begin);
  }

  void setRegion(int Region, bool Up) {
    for (Server &S : m_Servers)
      if (regionOf(S.m_Domain) == Region) {
        S.m_Up = Up;
        ++S.m_Generation;
        S.m_Busy = 0;
        S.m_Waiting.clear();
        S.m_Started = m_Time.now();
      }
    for (std::size_t E = 0; E < m_Entries.size(); ++E)
      if (regionOf(m_Entries[E].m_Domain) == Region) {
        for (const auto &[Id, R] : m_Entries[E].m_Requests)
          late(R);
        m_Entries[E].m_Up = Up;
        ++m_Entries[E].m_Generation;
        startEntry(static_cast<int>(E));
      }
    for (std::size_t E = 0; E < m_Entries.size(); ++E)
      if (m_Entries[E].m_Up && regionOf(m_Entries[E].m_Domain) == Region)
        assignServers(static_cast<int>(E));
  }

  // Time from the end of the disturbance until a bucket's goodput is back at
  // nine tenths of the mean before it.
  void measureReturn() {
    auto First = static_cast<std::size_t>(m_What.m_From / GoodputBucket);
    auto Last = static_cast<std::size_t>(m_What.m_To / GoodputBucket);
    if (First < 10 || Last >= m_Buckets.size())
      return;
    double Before = 0;
    for (std::size_t B = First - 8; B < First; ++B)
      Before += m_Buckets[B] / 8;
    m_Result.m_BackToNormal = Duration::max();
    for (std::size_t B = Last; B < m_Buckets.size(); ++B)
      if (m_Buckets[B] >= 0.9 * Before) {
        m_Result.m_BackToNormal = GoodputBucket * (B - Last + 1);
        return;
      }
  }

  Deployment m_Fleet;
  Policy m_Policy;
  Disturbance m_What;
  Time m_From;
  Time m_To;
  Random m_Random;
  VirtualTime m_Time;
  std::vector<Entry> m_Entries;
  std::vector<Server> m_Servers;
  std::vector<double> m_Buckets; // Goodput, slot seconds.
  RequestId m_NextRequest = 1;
  FleetResult m_Result;
};

} // namespace

FleetResult runFleet(const Deployment &Fleet, Policy Used,
                     const Disturbance &What, Time From, Time To, Time Length,
                     std::uint64_t Seed) {
  return Model(Fleet, Used, What, From, To, Seed).run(Length);
}

} // namespace rhubarb::bench
