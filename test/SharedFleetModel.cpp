#include "SharedFleetModel.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <queue>

namespace rhubarb::model {
namespace {

constexpr double Spread = 0.15; // Of the work, around its mean.
constexpr Duration TickPause = 20ms;
constexpr Duration SlowTick = 200ms;
constexpr Duration MoveWindow = 2s;

struct Request {
  RequestId m_Id = 0;
  std::size_t m_Class = 0;
  int m_Region = 0;
  int m_Entry = 0;
  std::uint64_t m_Object = 0;
  Time m_Arrived{0};
  int m_Server = -1;
  Time m_SentAt{0};
  DispatchRequest m_Dispatch;
  DispatchDecision m_Placed;
  bool m_Done = false;
};

struct Server {
  int m_Region = 0;
  bool m_Silent = false;
  int m_Running = 0;
  std::list<RequestId> m_Queue;
  std::list<std::uint64_t> m_Known; // Latest first.
};

// One run of the model.
class Run {
public:
  Run(const ModelSettings &Settings, Policy Chosen, std::uint64_t Seed)
      : m_Settings(Settings), m_Policy(Chosen), m_Random(Seed),
        m_ClassRate(Settings.m_Classes.size(), 1),
        m_RegionRate(Settings.m_ServersByRegion.size(), 1) {
    m_Result.m_ByClass.resize(m_Settings.m_Classes.size());
    m_Result.m_ByClassAndSecond.resize(m_Settings.m_Classes.size());
    m_Result.m_ByRegion.resize(m_RegionRate.size());
  }

  ModelResult go() {
    for (std::size_t R = 0; R < m_RegionRate.size(); ++R) {
      addServers(static_cast<int>(R), m_Settings.m_ServersByRegion[R]);
      for (int E = 0; E < m_Settings.m_EntriesPerRegion; ++E)
        m_Entries.emplace_back(regionName(static_cast<int>(R)),
                               DispatchLimits{}, FleetLimits{},
                               m_Entries.size() + 1);
    }
    list();
    for (std::size_t C = 0; C < m_Settings.m_Classes.size(); ++C)
      for (std::size_t R = 0; R < m_RegionRate.size(); ++R)
        nextArrival(C, static_cast<int>(R));
    for (const ModelEvent &Event : m_Settings.m_Events)
      at(Event.m_At, [this, &Event] {
        Model Controls = controls();
        Event.m_Do(Controls);
      });
    at(TickPause, [this] { tick(); });
    while (!m_Queue.empty() && m_Queue.top().m_At < m_Settings.m_Length + 5s) {
      auto Next = m_Queue.top();
      m_Queue.pop();
      m_Now = Next.m_At;
      Next.m_Do();
    }
    for (auto &[Id, Open] : m_Requests)
      count(Open).m_Lost += 1;
    countMoves();
    return m_Result;
  }

private:
  struct Scheduled {
    Time m_At;
    std::uint64_t m_Order;
    std::function<void()> m_Do;
    bool operator<(const Scheduled &Other) const {
      return std::tie(m_At, m_Order) > std::tie(Other.m_At, Other.m_Order);
    }
  };

  void at(Time When, std::function<void()> Do) {
    m_Queue.push({When, m_Order++, std::move(Do)});
  }

  static std::string regionName(int Region) {
    return "r" + std::to_string(Region);
  }

  void addServers(int Region, int Count) {
    for (int I = 0; I < Count; ++I) {
      m_Servers.emplace_back();
      m_Servers.back().m_Region = Region;
    }
  }

  void list() {
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

  Model controls() {
    Model Controls;
    Controls.m_Servers = static_cast<int>(m_Servers.size());
    Controls.m_SetSilent = [this](int Index, bool Silent) {
      m_Servers[static_cast<std::size_t>(Index)].m_Silent = Silent;
    };
    Controls.m_AddServers = [this](int Region, int Count) {
      addServers(Region, Count);
      list();
    };
    Controls.m_SetRate = [this](std::size_t Class, double Factor) {
      m_ClassRate[Class] = Factor;
    };
    Controls.m_SetRegionRate = [this](int Region, double Factor) {
      m_RegionRate[static_cast<std::size_t>(Region)] = Factor;
    };
    Controls.m_RestartEntries = [this](bool Recalls) {
      restartEntries(Recalls);
    };
    return Controls;
  }

  // Requests under way are lost with their processes.
  void restartEntries(bool Recalls) {
    std::deque<Dispatcher> Killed = std::move(m_Entries);
    m_Entries = std::deque<Dispatcher>();
    for (const Dispatcher &Before : Killed) {
      Dispatcher &After =
          m_Entries.emplace_back(Before.region(), DispatchLimits{},
                                 FleetLimits{}, m_Entries.size() + 1);
      if (!Recalls)
        continue;
      for (const SavedAffinity &Place :
           Before.affinitySnapshot(SIZE_MAX, m_Now))
        After.restoreAffinity(Place, m_Now);
      After.spill().restore(0, Before.spill().share(0), m_Now);
      for (const auto &[Region, Least] : Before.fleet().roundTrips())
        After.fleet().restoreRoundTrip(Region, Least);
    }
    while (!m_Requests.empty())
      end(m_Requests.begin()->second, &ModelCounts::m_Lost);
    m_InFlight.clear();
    list();
  }

  void nextArrival(std::size_t Class, int Region) {
    double Rate = m_Settings.m_Classes[Class].m_PerSecond * m_ClassRate[Class] *
                  m_RegionRate[static_cast<std::size_t>(Region)];
    double Seconds = -std::log(1 - m_Random.uniform()) / std::max(Rate, 1e-6);
    Time When =
        m_Now +
        Duration(static_cast<std::int64_t>(std::min(Seconds, 3600.0) * 1e6));
    if (When >= m_Settings.m_Length)
      return;
    at(When, [this, Class, Region] {
      arrive(Class, Region);
      nextArrival(Class, Region);
    });
  }

  ModelCounts &count(const Request &Of) {
    auto Second = static_cast<std::size_t>(Of.m_Arrived / 1s);
    auto &Seconds = m_Result.m_ByClassAndSecond[Of.m_Class];
    if (Seconds.size() <= Second)
      Seconds.resize(Second + 1);
    return Seconds[Second];
  }

  void end(Request &Ended, int ModelCounts::*Kind) {
    count(Ended).*Kind += 1;
    m_Result.m_ByClass[Ended.m_Class].*Kind += 1;
    m_Result.m_ByRegion[static_cast<std::size_t>(Ended.m_Region)].*Kind += 1;
    m_Requests.erase(Ended.m_Id);
  }

  void arrive(std::size_t Class, int Region) {
    const WorkClass &Kind = m_Settings.m_Classes[Class];
    Request &Made = m_Requests[++m_LastId];
    Made.m_Id = m_LastId;
    Made.m_Class = Class;
    Made.m_Region = Region;
    Made.m_Entry = Region * m_Settings.m_EntriesPerRegion +
                   static_cast<int>(m_Random.below(static_cast<std::uint64_t>(
                       m_Settings.m_EntriesPerRegion)));
    Made.m_Object =
        stableHash(Kind.m_Name + regionName(Region) +
                   std::to_string(m_Random.below(
                       static_cast<std::uint64_t>(Kind.m_Objects)))) |
        1U;
    Made.m_Arrived = m_Now;
    count(Made).m_Asked += 1;
    m_Result.m_ByClass[Class].m_Asked += 1;
    m_Result.m_ByRegion[static_cast<std::size_t>(Region)].m_Asked += 1;
    DispatchRequest &Item = Made.m_Dispatch;
    Item.m_Id = Made.m_Id;
    Item.m_RouteName = Kind.m_Name;
    Item.m_Priority = Kind.m_Rank;
    Item.m_ObjectHash = Made.m_Object;
    Item.m_ArrivedAt = m_Now;
    Item.m_ObjectiveAt = m_Now + Kind.m_Objective;
    Item.m_Deadline = m_Now + Kind.m_Deadline;
    if (m_Policy != Policy::Dispatch) {
      send(Made, baseline(Made));
      return;
    }
    Dispatcher &Entry = m_Entries[static_cast<std::size_t>(Made.m_Entry)];
    Made.m_Placed = Entry.submit(Item, m_Now);
    if (Made.m_Placed.m_Action == DispatchAction::Wait)
      count(Made).m_Waited += 1;
    follow(Made);
  }

  // Carries out a decision; a sent request is recorded already when it waited.
  void follow(Request &Of, bool Started = false) {
    if (Of.m_Placed.m_Action == DispatchAction::Refuse) {
      if (m_Now - Of.m_Arrived >
          m_Settings.m_Classes[Of.m_Class].m_Objective / 8) {
        count(Of).m_RefusedLate += 1;
        m_Result.m_ByClass[Of.m_Class].m_RefusedLate += 1;
      }
      end(Of, &ModelCounts::m_Refused);
    } else if (Of.m_Placed.m_Action == DispatchAction::Send) {
      if (!Started)
        m_Entries[static_cast<std::size_t>(Of.m_Entry)].started(Of.m_Placed,
                                                                m_Now);
      send(Of, Of.m_Placed.m_Server);
    }
  }

  int baseline(const Request &Of) {
    int Best = -1;
    double Least = 0;
    for (std::size_t I = 0; I < m_Servers.size(); ++I) {
      double Cost = 0;
      if (m_Policy == Policy::HashEverywhere) {
        Cost = -static_cast<double>(
            stableHash("i-" + std::to_string(I), Of.m_Object));
      } else {
        int Own = m_InFlight[{Of.m_Entry, static_cast<int>(I)}];
        bool Full = Own >= m_Settings.m_Slots;
        Cost = Own + (m_Servers[I].m_Region == Of.m_Region ? 0 : 1000) +
               (Full ? 10000 : 0) + m_Random.uniform() / 2;
      }
      if (Best < 0 || Cost < Least) {
        Best = static_cast<int>(I);
        Least = Cost;
      }
    }
    return Best;
  }

  Duration wayTo(const Request &Of) const {
    return m_Servers[static_cast<std::size_t>(Of.m_Server)].m_Region ==
                   Of.m_Region
               ? m_Settings.m_Near
               : m_Settings.m_Far;
  }

  void send(Request &Of, int To) {
    Of.m_Server = To;
    Of.m_SentAt = m_Now;
    ++m_InFlight[{Of.m_Entry, To}];
    auto Window = static_cast<std::size_t>(m_Now / MoveWindow);
    m_RanIn[{Of.m_Region, Window,
             m_Servers[static_cast<std::size_t>(To)].m_Region}] += 1;
    RequestId Id = Of.m_Id;
    at(m_Now + wayTo(Of), [this, Id] { reach(Id); });
    at(Of.m_Arrived + m_Settings.m_Classes[Of.m_Class].m_Deadline,
       [this, Id] { timeOut(Id); });
  }

  void reach(RequestId Id) {
    auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end())
      return;
    Server &At = m_Servers[static_cast<std::size_t>(Found->second.m_Server)];
    if (At.m_Silent)
      return;
    if (static_cast<int>(At.m_Queue.size()) >= m_Settings.m_QueueInside) {
      answer(Id, AttemptOutcome::Refused);
      return;
    }
    At.m_Queue.push_back(Id);
    m_Result.m_MostInside =
        std::max(m_Result.m_MostInside, static_cast<int>(At.m_Queue.size()) +
                                            At.m_Running - m_Settings.m_Slots);
    startNext(Found->second.m_Server);
  }

  void startNext(int Index) {
    Server &At = m_Servers[static_cast<std::size_t>(Index)];
    while (At.m_Running < m_Settings.m_Slots && !At.m_Queue.empty()) {
      RequestId Id = At.m_Queue.front();
      At.m_Queue.pop_front();
      auto Found = m_Requests.find(Id);
      if (Found == m_Requests.end())
        continue;
      std::uint64_t Object = Found->second.m_Object;
      auto Known = std::find(At.m_Known.begin(), At.m_Known.end(), Object);
      bool Warm = Known != At.m_Known.end();
      (Warm ? m_Result.m_WarmRuns : m_Result.m_ColdRuns) += 1;
      double Factor = (Warm ? m_Settings.m_WarmShare : 1) *
                      (1 + Spread * (2 * m_Random.uniform() - 1) * 1.7);
      auto Work = Duration(static_cast<std::int64_t>(
          static_cast<double>(
              m_Settings.m_Classes[Found->second.m_Class].m_Work.count()) *
          Factor));
      ++At.m_Running;
      at(m_Now + Work, [this, Id, Index, Object] { ran(Id, Index, Object); });
    }
  }

  void ran(RequestId Id, int Index, std::uint64_t Object) {
    Server &At = m_Servers[static_cast<std::size_t>(Index)];
    --At.m_Running;
    At.m_Known.remove(Object);
    At.m_Known.push_front(Object);
    if (static_cast<int>(At.m_Known.size()) > m_Settings.m_Remembered)
      At.m_Known.pop_back();
    startNext(Index);
    if (!At.m_Silent)
      answer(Id, AttemptOutcome::Served);
  }

  void answer(RequestId Id, AttemptOutcome Outcome) {
    auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end())
      return;
    const Server &At =
        m_Servers[static_cast<std::size_t>(Found->second.m_Server)];
    // The request that is answered counts.
    int Answered = Outcome == AttemptOutcome::Served ? 1 : 0;
    ReportedLoad Load{At.m_Running + Answered,
                      static_cast<int>(At.m_Queue.size()), m_Settings.m_Slots};
    at(m_Now + wayTo(Found->second),
       [this, Id, Outcome, Load] { arrived(Id, Outcome, Load); });
  }

  void arrived(RequestId Id, AttemptOutcome Outcome, ReportedLoad Load) {
    auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end())
      return;
    Request &Of = Found->second;
    learn(Of, Outcome, Load);
    bool OnTime =
        m_Now - Of.m_Arrived <= m_Settings.m_Classes[Of.m_Class].m_Objective;
    if (Outcome != AttemptOutcome::Served)
      end(Of, &ModelCounts::m_Refused);
    else
      end(Of, OnTime ? &ModelCounts::m_OnTime : &ModelCounts::m_Late);
  }

  void timeOut(RequestId Id) {
    auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end())
      return;
    learn(Found->second, AttemptOutcome::Silent, {});
    end(Found->second, &ModelCounts::m_Lost);
  }

  void learn(Request &Of, AttemptOutcome Outcome, ReportedLoad Load) {
    --m_InFlight[{Of.m_Entry, Of.m_Server}];
    if (m_Policy != Policy::Dispatch)
      return;
    AttemptReport Report;
    Report.m_Outcome = Outcome;
    Report.m_ResponseTime = m_Now - Of.m_SentAt;
    Report.m_HasLoad = Load.m_Slots > 0;
    Report.m_Load = Load;
    Report.m_ConnectTime = wayTo(Of) * 2;
    m_Entries[static_cast<std::size_t>(Of.m_Entry)].finished(
        Of.m_Dispatch, Of.m_Placed, Report, Of.m_SentAt, m_Now);
    pump(Of.m_Entry);
  }

  void pump(int Entry) {
    for (QueueDecision &Made :
         m_Entries[static_cast<std::size_t>(Entry)].processQueue(m_Now)) {
      auto Found = m_Requests.find(Made.m_Id);
      if (Found == m_Requests.end())
        continue;
      Found->second.m_Placed = Made.m_Decision;
      follow(Found->second, true);
    }
  }

  // What each process has run and been told, as the others of its region hear
  // of it.
  void tellServers() {
    for (Dispatcher &From : m_Entries) {
      std::vector<AffinityUpdate> Places = From.takeAffinityUpdates();
      std::map<ServerIndex, ServerLoad> Loads = From.fleet().takeHighLoads();
      for (Dispatcher &To : m_Entries) {
        if (&To == &From || To.region() != From.region())
          continue;
        for (const AffinityUpdate &News : Places)
          To.recordRemoteRun(News.m_Object, News.m_Server, m_Now);
        if (!m_Settings.m_LoadsTold)
          continue;
        for (const auto &[Index, Load] : Loads)
          To.fleet().updateLoad(Index, Load.m_Total, Load.m_At);
      }
    }
  }

  void tick() {
    bool Slow = m_Now / SlowTick != (m_Now - TickPause) / SlowTick;
    if (Slow && m_Settings.m_PlacesTold)
      tellServers();
    for (std::size_t E = 0; E < m_Entries.size(); ++E) {
      if (Slow) {
        m_Entries[E].tick(m_Now);
        drawTogether(E);
        for (ServerIndex Index : m_Entries[E].fleet().dueHealthChecks(m_Now))
          m_Entries[E].fleet().recordHealthCheck(
              Index,
              m_Servers[static_cast<std::size_t>(Index)].m_Silent
                  ? HealthCheckResult::Bad
                  : HealthCheckResult::Healthy,
              Duration{0}, m_Now);
      }
      pump(static_cast<int>(E));
    }
    at(m_Now + TickPause, [this] { tick(); });
  }

  // Heartbeats between the entries of a region.
  void drawTogether(std::size_t Of) {
    auto Each = static_cast<std::size_t>(m_Settings.m_EntriesPerRegion);
    for (std::size_t E = Of / Each * Each; E < (Of / Each + 1) * Each; ++E)
      if (E != Of)
        m_Entries[Of].spill().blendNeighbour(0, m_Entries[E].spill().share(0));
  }

  void countMoves() {
    auto Windows = static_cast<std::size_t>(m_Settings.m_Length / MoveWindow);
    for (std::size_t R = 0; R < m_RegionRate.size(); ++R) {
      std::vector<double> Before;
      for (std::size_t W = 0; W < Windows; ++W) {
        std::vector<double> Shares;
        double Sum = 0;
        for (std::size_t To = 0; To < m_RegionRate.size(); ++To) {
          Shares.push_back(
              m_RanIn[{static_cast<int>(R), W, static_cast<int>(To)}]);
          Sum += Shares.back();
        }
        double Moved = 0;
        for (std::size_t To = 0; To < Shares.size(); ++To) {
          Shares[To] /= std::max(1.0, Sum);
          if (!Before.empty())
            Moved += std::abs(Shares[To] - Before[To]) / 2;
        }
        m_Result.m_MostRegionMove = std::max(m_Result.m_MostRegionMove, Moved);
        Before = Shares;
      }
    }
  }

  const ModelSettings &m_Settings;
  Policy m_Policy;
  Random m_Random;
  Time m_Now{0};
  std::uint64_t m_Order = 0;
  std::priority_queue<Scheduled> m_Queue;
  std::vector<Server> m_Servers;
  std::deque<Dispatcher> m_Entries;
  std::map<RequestId, Request> m_Requests;
  RequestId m_LastId = 0;
  std::map<std::pair<int, int>, int> m_InFlight;
  std::map<std::tuple<int, std::size_t, int>, double> m_RanIn;
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
    Sum.m_Asked += Seconds[S].m_Asked;
    Sum.m_OnTime += Seconds[S].m_OnTime;
    Sum.m_Late += Seconds[S].m_Late;
    Sum.m_Refused += Seconds[S].m_Refused;
    Sum.m_RefusedLate += Seconds[S].m_RefusedLate;
    Sum.m_Waited += Seconds[S].m_Waited;
    Sum.m_Lost += Seconds[S].m_Lost;
  }
  return Sum;
}

ModelResult runModel(const ModelSettings &Settings, Policy Chosen,
                     std::uint64_t Seed) {
  return Run(Settings, Chosen, Seed).go();
}

} // namespace rhubarb::model
