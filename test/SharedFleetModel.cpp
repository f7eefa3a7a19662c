#include "SharedFleetModel.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <queue>

namespace rhubarb::model {
namespace {

// Relative spread of service times around their mean.
constexpr double ServiceTimeSpread = 0.15;
constexpr Duration TickInterval = 20ms;
constexpr Duration ExchangeInterval = 200ms;
constexpr Duration ShiftWindow = 2s;

struct ModelRequest {
  RequestId m_Id = 0;
  std::size_t m_Class = 0;
  int m_Region = 0;
  int m_Entry = 0;
  std::uint64_t m_Object = 0;
  Time m_Arrived{0};
  int m_Server = -1;
  Time m_SentAt{0};
  DispatchRequest m_Dispatch;
  DispatchDecision m_Decision;
  bool m_Done = false;
};

struct ModelServer {
  int m_Region = 0;
  bool m_Unresponsive = false;
  int m_Running = 0;
  Time m_SlowUntil{0};
  std::list<RequestId> m_Queue;
  // Cached objects in order of last use, the most recent first.
  std::list<std::uint64_t> m_CachedObjects;
};

// Simulates one run by processing scheduled events in time order.
class ModelRun {
public:
  ModelRun(const ModelSettings &Settings, Policy PlacementPolicy,
           std::uint64_t Seed)
      : m_Settings(Settings), m_Policy(PlacementPolicy), m_Random(Seed),
        m_ClassRate(Settings.m_Classes.size(), 1),
        m_RegionRate(Settings.m_ServersByRegion.size(), 1) {
    m_Result.m_ByClass.resize(m_Settings.m_Classes.size());
    m_Result.m_ByClassAndSecond.resize(m_Settings.m_Classes.size());
    m_Result.m_ByRegion.resize(m_RegionRate.size());
  }

  ModelResult run() {
    for (std::size_t R = 0; R < m_RegionRate.size(); ++R) {
      addServers(static_cast<int>(R), m_Settings.m_ServersByRegion[R]);
      for (int E = 0; E < m_Settings.m_EntriesPerRegion; ++E)
        m_Entries.emplace_back(regionName(static_cast<int>(R)),
                               m_Settings.m_Limits, FleetLimits{},
                               m_Entries.size() + 1);
    }
    updateListings();
    for (std::size_t C = 0; C < m_Settings.m_Classes.size(); ++C)
      for (std::size_t R = 0; R < m_RegionRate.size(); ++R)
        nextArrival(C, static_cast<int>(R));
    for (const ModelEvent &Event : m_Settings.m_Events)
      at(Event.m_At, [this, &Event] {
        ModelControls Controls = makeControls();
        Event.m_Action(Controls);
      });
    at(TickInterval, [this] { tick(); });
    while (!m_Queue.empty() &&
           m_Queue.top().m_At < m_Settings.m_Duration + 5s) {
      auto Next = m_Queue.top();
      m_Queue.pop();
      m_Now = Next.m_At;
      Next.m_Action();
    }
    for (auto &[Id, Pending] : m_Requests)
      count(Pending).m_Lost += 1;
    measureRegionShifts();
    return m_Result;
  }

private:
  struct Scheduled {
    Time m_At;
    std::uint64_t m_Sequence;
    std::function<void()> m_Action;
    bool operator<(const Scheduled &Other) const {
      return std::tie(m_At, m_Sequence) >
             std::tie(Other.m_At, Other.m_Sequence);
    }
  };

  void at(Time When, std::function<void()> Action) {
    m_Queue.push({When, m_Sequence++, std::move(Action)});
  }

  static std::string regionName(int Region) {
    return "r" + std::to_string(Region);
  }

  void addServers(int Region, int Count) {
    for (int I = 0; I < Count; ++I) {
      m_Servers.emplace_back();
      m_Servers.back().m_Region = Region;
      if (m_Settings.m_SlowFactor != 1)
        scheduleSlowdown(m_Servers.size() - 1);
    }
  }

  void scheduleSlowdown(std::size_t Index) {
    double Mean = static_cast<double>(m_Settings.m_SlowInterval.count());
    at(m_Now + Duration(static_cast<std::int64_t>(
                   -std::log(1 - m_Random.uniform()) * Mean)),
       [this, Index] {
         m_Servers[Index].m_SlowUntil = m_Now + m_Settings.m_SlowFor;
         scheduleSlowdown(Index);
       });
  }

  double slowFactor(const ModelServer &Server) const {
    return m_Now < Server.m_SlowUntil ? m_Settings.m_SlowFactor : 1;
  }

  void updateListings() {
    std::vector<BackendInfo> Rows;
    for (std::size_t I = 0; I < m_Servers.size(); ++I) {
      BackendInfo Row;
      Row.m_Id = "i-" + std::to_string(I);
      Row.m_Region = regionName(m_Servers[I].m_Region);
      Row.m_Domain = Row.m_Region;
      Row.m_Slots = m_Settings.m_Slots;
      Rows.push_back(Row);
    }
    for (Dispatcher &Entry : m_Entries)
      Entry.fleet().update(Rows, m_Now);
  }

  ModelControls makeControls() {
    ModelControls Controls;
    Controls.m_ServerCount = static_cast<int>(m_Servers.size());
    Controls.m_SetUnresponsive = [this](int Index, bool Unresponsive) {
      m_Servers[static_cast<std::size_t>(Index)].m_Unresponsive = Unresponsive;
    };
    Controls.m_AddServers = [this](int Region, int Count) {
      addServers(Region, Count);
      updateListings();
    };
    Controls.m_SetRate = [this](std::size_t Class, double Factor) {
      m_ClassRate[Class] = Factor;
    };
    Controls.m_SetRegionRate = [this](int Region, double Factor) {
      m_RegionRate[static_cast<std::size_t>(Region)] = Factor;
    };
    Controls.m_RestartEntries = [this](bool RestoresState) {
      restartEntries(RestoresState);
    };
    return Controls;
  }

  // Replaces all entry processes; requests in flight are lost with them.
  void restartEntries(bool RestoresState) {
    std::deque<Dispatcher> Killed = std::move(m_Entries);
    m_Entries = std::deque<Dispatcher>();
    for (const Dispatcher &Previous : Killed) {
      Dispatcher &Replacement =
          m_Entries.emplace_back(Previous.region(), m_Settings.m_Limits,
                                 FleetLimits{}, m_Entries.size() + 1);
      if (!RestoresState)
        continue;
      for (const SavedAffinity &Affinity :
           Previous.affinitySnapshot(SIZE_MAX, m_Now))
        Replacement.restoreAffinity(Affinity, m_Now);
      Replacement.spill().restore(0, Previous.spill().share(0), m_Now);
      for (const auto &[Region, Minimum] : Previous.fleet().roundTrips())
        Replacement.fleet().restoreRoundTrip(Region, Minimum);
    }
    while (!m_Requests.empty())
      finish(m_Requests.begin()->second, &ModelCounts::m_Lost);
    m_InFlight.clear();
    updateListings();
  }

  void nextArrival(std::size_t Class, int Region) {
    double Rate = m_Settings.m_Classes[Class].m_RequestsPerSecond *
                  m_ClassRate[Class] *
                  m_RegionRate[static_cast<std::size_t>(Region)];
    double Seconds = -std::log(1 - m_Random.uniform()) / std::max(Rate, 1e-6);
    Time When =
        m_Now +
        Duration(static_cast<std::int64_t>(std::min(Seconds, 3600.0) * 1e6));
    if (When >= m_Settings.m_Duration)
      return;
    at(When, [this, Class, Region] {
      arrive(Class, Region);
      nextArrival(Class, Region);
    });
  }

  ModelCounts &count(const ModelRequest &Request) {
    auto Second = static_cast<std::size_t>(Request.m_Arrived / 1s);
    auto &Seconds = m_Result.m_ByClassAndSecond[Request.m_Class];
    if (Seconds.size() <= Second)
      Seconds.resize(Second + 1);
    return Seconds[Second];
  }

  void finish(ModelRequest &Request, int ModelCounts::*Kind) {
    count(Request).*Kind += 1;
    m_Result.m_ByClass[Request.m_Class].*Kind += 1;
    m_Result.m_ByRegion[static_cast<std::size_t>(Request.m_Region)].*Kind += 1;
    m_Requests.erase(Request.m_Id);
  }

  void arrive(std::size_t Class, int Region) {
    const RequestClass &Kind = m_Settings.m_Classes[Class];
    ModelRequest &NewRequest = m_Requests[++m_LastId];
    NewRequest.m_Id = m_LastId;
    NewRequest.m_Class = Class;
    NewRequest.m_Region = Region;
    NewRequest.m_Entry =
        Region * m_Settings.m_EntriesPerRegion +
        static_cast<int>(m_Random.below(
            static_cast<std::uint64_t>(m_Settings.m_EntriesPerRegion)));
    NewRequest.m_Object =
        stableHash(Kind.m_Name + regionName(Region) +
                   std::to_string(m_Random.below(
                       static_cast<std::uint64_t>(Kind.m_ObjectCount)))) |
        1U;
    NewRequest.m_Arrived = m_Now;
    count(NewRequest).m_Received += 1;
    m_Result.m_ByClass[Class].m_Received += 1;
    m_Result.m_ByRegion[static_cast<std::size_t>(Region)].m_Received += 1;
    DispatchRequest &Submission = NewRequest.m_Dispatch;
    Submission.m_Id = NewRequest.m_Id;
    Submission.m_RouteName = Kind.m_Name;
    Submission.m_Priority = Kind.m_Priority;
    Submission.m_ObjectHash = NewRequest.m_Object;
    Submission.m_ArrivedAt = m_Now;
    Submission.m_ObjectiveAt = m_Now + Kind.m_Objective;
    Submission.m_Deadline = m_Now + Kind.m_Deadline;
    if (m_Policy != Policy::Dispatch) {
      send(NewRequest, baselineServer(NewRequest));
      return;
    }
    Dispatcher &Entry = m_Entries[static_cast<std::size_t>(NewRequest.m_Entry)];
    NewRequest.m_Decision = Entry.submit(Submission, m_Now);
    if (NewRequest.m_Decision.m_Action == DispatchAction::Wait)
      count(NewRequest).m_Queued += 1;
    applyDecision(NewRequest);
  }

  // Refuses or sends a request as decided. The Dispatcher has already recorded
  // the start of a request that it sends from its queue (AlreadyStarted).
  void applyDecision(ModelRequest &Request, bool AlreadyStarted = false) {
    if (Request.m_Decision.m_Action == DispatchAction::Refuse) {
      if (m_Now - Request.m_Arrived >
          m_Settings.m_Classes[Request.m_Class].m_Objective / 8) {
        count(Request).m_RefusedLate += 1;
        m_Result.m_ByClass[Request.m_Class].m_RefusedLate += 1;
      }
      finish(Request, &ModelCounts::m_Refused);
    } else if (Request.m_Decision.m_Action == DispatchAction::Send) {
      if (!AlreadyStarted)
        m_Entries[static_cast<std::size_t>(Request.m_Entry)].started(
            Request.m_Decision, m_Now);
      send(Request, Request.m_Decision.m_Server);
    }
  }

  int baselineServer(const ModelRequest &Request) {
    int Best = -1;
    double Minimum = 0;
    for (std::size_t I = 0; I < m_Servers.size(); ++I) {
      double Cost = 0;
      if (m_Policy == Policy::GlobalHash) {
        Cost = -static_cast<double>(
            stableHash("i-" + std::to_string(I), Request.m_Object));
      } else {
        int InFlight = m_InFlight[{Request.m_Entry, static_cast<int>(I)}];
        bool Full = InFlight >= m_Settings.m_Slots;
        Cost = InFlight +
               (m_Servers[I].m_Region == Request.m_Region ? 0 : 1000) +
               (Full ? 10000 : 0) + m_Random.uniform() / 2;
      }
      if (Best < 0 || Cost < Minimum) {
        Best = static_cast<int>(I);
        Minimum = Cost;
      }
    }
    return Best;
  }

  Duration oneWayDelay(const ModelRequest &Request) const {
    return m_Servers[static_cast<std::size_t>(Request.m_Server)].m_Region ==
                   Request.m_Region
               ? m_Settings.m_LocalDelay
               : m_Settings.m_RemoteDelay;
  }

  void send(ModelRequest &Request, int Destination) {
    Request.m_Server = Destination;
    Request.m_SentAt = m_Now;
    ++m_InFlight[{Request.m_Entry, Destination}];
    auto Window = static_cast<std::size_t>(m_Now / ShiftWindow);
    m_SentByWindow[{
        Request.m_Region, Window,
        m_Servers[static_cast<std::size_t>(Destination)].m_Region}] += 1;
    RequestId Id = Request.m_Id;
    at(m_Now + oneWayDelay(Request), [this, Id] { arriveAtServer(Id); });
    at(Request.m_Arrived + m_Settings.m_Classes[Request.m_Class].m_Deadline,
       [this, Id] { timeOut(Id); });
  }

  void arriveAtServer(RequestId Id) {
    auto RequestIt = m_Requests.find(Id);
    if (RequestIt == m_Requests.end())
      return;
    ModelServer &Target =
        m_Servers[static_cast<std::size_t>(RequestIt->second.m_Server)];
    if (Target.m_Unresponsive)
      return;
    if (static_cast<int>(Target.m_Queue.size()) >=
        m_Settings.m_ServerQueueLimit) {
      respond(Id, AttemptOutcome::Refused);
      return;
    }
    Target.m_Queue.push_back(Id);
    m_Result.m_MaxServerBacklog = std::max(
        m_Result.m_MaxServerBacklog, static_cast<int>(Target.m_Queue.size()) +
                                         Target.m_Running - m_Settings.m_Slots);
    startQueued(RequestIt->second.m_Server);
  }

  void startQueued(int Index) {
    ModelServer &Target = m_Servers[static_cast<std::size_t>(Index)];
    while (Target.m_Running < m_Settings.m_Slots && !Target.m_Queue.empty()) {
      RequestId Id = Target.m_Queue.front();
      Target.m_Queue.pop_front();
      auto RequestIt = m_Requests.find(Id);
      if (RequestIt == m_Requests.end())
        continue;
      std::uint64_t Object = RequestIt->second.m_Object;
      auto Cached = std::find(Target.m_CachedObjects.begin(),
                              Target.m_CachedObjects.end(), Object);
      bool Warm = Cached != Target.m_CachedObjects.end();
      (Warm ? m_Result.m_WarmRuns : m_Result.m_ColdRuns) += 1;
      double Factor =
          slowFactor(Target) * (Warm ? m_Settings.m_WarmServiceRatio : 1) *
          (1 + ServiceTimeSpread * (2 * m_Random.uniform() - 1) * 1.7);
      auto Work = Duration(static_cast<std::int64_t>(
          static_cast<double>(m_Settings.m_Classes[RequestIt->second.m_Class]
                                  .m_ServiceTime.count()) *
          Factor));
      ++Target.m_Running;
      at(m_Now + Work,
         [this, Id, Index, Object] { serverFinished(Id, Index, Object); });
    }
  }

  void serverFinished(RequestId Id, int Index, std::uint64_t Object) {
    ModelServer &Target = m_Servers[static_cast<std::size_t>(Index)];
    --Target.m_Running;
    Target.m_CachedObjects.remove(Object);
    Target.m_CachedObjects.push_front(Object);
    if (static_cast<int>(Target.m_CachedObjects.size()) >
        m_Settings.m_CacheCapacity)
      Target.m_CachedObjects.pop_back();
    startQueued(Index);
    if (!Target.m_Unresponsive)
      respond(Id, AttemptOutcome::Served);
  }

  void respond(RequestId Id, AttemptOutcome Outcome) {
    auto RequestIt = m_Requests.find(Id);
    if (RequestIt == m_Requests.end())
      return;
    const ModelServer &Target =
        m_Servers[static_cast<std::size_t>(RequestIt->second.m_Server)];
    // The reported load includes the request that this response completes.
    int CompletedRequests = Outcome == AttemptOutcome::Served ? 1 : 0;
    ReportedLoad Load{Target.m_Running + CompletedRequests,
                      static_cast<int>(Target.m_Queue.size()),
                      m_Settings.m_Slots};
    constexpr double Percent = 100;
    if (m_Settings.m_ReportsRunTime)
      Load.m_RunTimePercent = static_cast<int>(slowFactor(Target) * Percent);
    at(m_Now + oneWayDelay(RequestIt->second),
       [this, Id, Outcome, Load] { receiveResponse(Id, Outcome, Load); });
  }

  void receiveResponse(RequestId Id, AttemptOutcome Outcome,
                       ReportedLoad Load) {
    auto RequestIt = m_Requests.find(Id);
    if (RequestIt == m_Requests.end())
      return;
    ModelRequest &Request = RequestIt->second;
    reportAttempt(Request, Outcome, Load);
    bool OnTime = m_Now - Request.m_Arrived <=
                  m_Settings.m_Classes[Request.m_Class].m_Objective;
    if (Outcome != AttemptOutcome::Served)
      finish(Request, &ModelCounts::m_Refused);
    else
      finish(Request, OnTime ? &ModelCounts::m_OnTime : &ModelCounts::m_Late);
  }

  void timeOut(RequestId Id) {
    auto RequestIt = m_Requests.find(Id);
    if (RequestIt == m_Requests.end())
      return;
    reportAttempt(RequestIt->second, AttemptOutcome::Silent, {});
    finish(RequestIt->second, &ModelCounts::m_Lost);
  }

  void reportAttempt(ModelRequest &Request, AttemptOutcome Outcome,
                     ReportedLoad Load) {
    --m_InFlight[{Request.m_Entry, Request.m_Server}];
    if (m_Policy != Policy::Dispatch)
      return;
    AttemptReport Report;
    Report.m_Outcome = Outcome;
    Report.m_ResponseTime = m_Now - Request.m_SentAt;
    Report.m_HasLoad = Load.m_Slots > 0;
    Report.m_Load = Load;
    Report.m_ConnectTime = oneWayDelay(Request) * 2;
    m_Entries[static_cast<std::size_t>(Request.m_Entry)].finished(
        Request.m_Dispatch, Request.m_Decision, Report, Request.m_SentAt,
        m_Now);
    dispatchQueued(Request.m_Entry);
  }

  void dispatchQueued(int Entry) {
    for (QueueDecision &Queued :
         m_Entries[static_cast<std::size_t>(Entry)].processQueue(m_Now)) {
      auto RequestIt = m_Requests.find(Queued.m_Id);
      if (RequestIt == m_Requests.end())
        continue;
      RequestIt->second.m_Decision = Queued.m_Decision;
      applyDecision(RequestIt->second, true);
    }
  }

  // Delivers the affinity and load updates of each entry process to the other
  // entry processes of its region.
  void shareUpdates() {
    for (Dispatcher &Sender : m_Entries) {
      std::vector<AffinityUpdate> AffinityUpdates =
          Sender.takeAffinityUpdates();
      std::map<ServerIndex, ServerLoad> LoadUpdates =
          Sender.fleet().takeHighLoads();
      for (Dispatcher &Receiver : m_Entries) {
        if (&Receiver == &Sender || Receiver.region() != Sender.region())
          continue;
        for (const AffinityUpdate &Update : AffinityUpdates)
          Receiver.recordRemoteRun(Update.m_Object, Update.m_Server, m_Now);
        if (!m_Settings.m_ShareLoad)
          continue;
        for (const auto &[Index, Load] : LoadUpdates)
          Receiver.fleet().updateLoad(Index, Load.m_Total, Load.m_At);
      }
    }
  }

  void tick() {
    bool ExchangeDue =
        m_Now / ExchangeInterval != (m_Now - TickInterval) / ExchangeInterval;
    if (ExchangeDue && m_Settings.m_ShareAffinity)
      shareUpdates();
    for (std::size_t E = 0; E < m_Entries.size(); ++E) {
      if (ExchangeDue) {
        m_Entries[E].tick(m_Now);
        blendSpillShares(E);
        for (ServerIndex Index : m_Entries[E].fleet().dueHealthChecks(m_Now))
          m_Entries[E].fleet().recordHealthCheck(
              Index,
              m_Servers[static_cast<std::size_t>(Index)].m_Unresponsive
                  ? HealthCheckResult::Bad
                  : HealthCheckResult::Healthy,
              Duration{0}, m_Now);
      }
      dispatchQueued(static_cast<int>(E));
    }
    at(m_Now + TickInterval, [this] { tick(); });
  }

  // Blends the spill shares of the entry processes of a region, as their
  // heartbeats do.
  void blendSpillShares(std::size_t EntryIndex) {
    auto PerRegion = static_cast<std::size_t>(m_Settings.m_EntriesPerRegion);
    for (std::size_t E = EntryIndex / PerRegion * PerRegion;
         E < (EntryIndex / PerRegion + 1) * PerRegion; ++E)
      if (E != EntryIndex)
        m_Entries[EntryIndex].spill().blendNeighbour(
            0, m_Entries[E].spill().share(0));
  }

  void measureRegionShifts() {
    auto Windows =
        static_cast<std::size_t>(m_Settings.m_Duration / ShiftWindow);
    for (std::size_t R = 0; R < m_RegionRate.size(); ++R) {
      std::vector<double> Previous;
      for (std::size_t W = 0; W < Windows; ++W) {
        std::vector<double> Shares;
        double Sum = 0;
        for (std::size_t Destination = 0; Destination < m_RegionRate.size();
             ++Destination) {
          Shares.push_back(m_SentByWindow[{static_cast<int>(R), W,
                                           static_cast<int>(Destination)}]);
          Sum += Shares.back();
        }
        double Shifted = 0;
        for (std::size_t Destination = 0; Destination < Shares.size();
             ++Destination) {
          Shares[Destination] /= std::max(1.0, Sum);
          if (!Previous.empty())
            Shifted +=
                std::abs(Shares[Destination] - Previous[Destination]) / 2;
        }
        m_Result.m_MaxRegionShift =
            std::max(m_Result.m_MaxRegionShift, Shifted);
        Previous = Shares;
      }
    }
  }

  const ModelSettings &m_Settings;
  Policy m_Policy;
  Random m_Random;
  Time m_Now{0};
  std::uint64_t m_Sequence = 0;
  std::priority_queue<Scheduled> m_Queue;
  std::vector<ModelServer> m_Servers;
  std::deque<Dispatcher> m_Entries;
  std::map<RequestId, ModelRequest> m_Requests;
  RequestId m_LastId = 0;
  std::map<std::pair<int, int>, int> m_InFlight;
  std::map<std::tuple<int, std::size_t, int>, double> m_SentByWindow;
  std::vector<double> m_ClassRate;
  std::vector<double> m_RegionRate;
  ModelResult m_Result;
};

} // namespace

ModelCounts ModelResult::counts(std::size_t Class, Time From,
                                Time Until) const {
  ModelCounts Sum;
  const auto &Seconds = m_ByClassAndSecond[Class];
  for (auto S = static_cast<std::size_t>(From / 1s);
       S < static_cast<std::size_t>(Until / 1s) && S < Seconds.size(); ++S) {
    Sum.m_Received += Seconds[S].m_Received;
    Sum.m_OnTime += Seconds[S].m_OnTime;
    Sum.m_Late += Seconds[S].m_Late;
    Sum.m_Refused += Seconds[S].m_Refused;
    Sum.m_RefusedLate += Seconds[S].m_RefusedLate;
    Sum.m_Queued += Seconds[S].m_Queued;
    Sum.m_Lost += Seconds[S].m_Lost;
  }
  return Sum;
}

ModelResult runModel(const ModelSettings &Settings, Policy PlacementPolicy,
                     std::uint64_t Seed) {
  return ModelRun(Settings, PlacementPolicy, Seed).run();
}

} // namespace rhubarb::model
