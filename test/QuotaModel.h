// A model of many VMs that admit requests by quota, in virtual time.
#pragma once

#include "rhubarb/Quota.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace rhubarb::test {

inline constexpr std::size_t Regions = 3;
inline constexpr Duration Window = 5s;
inline constexpr double Slack = 20;
inline constexpr Duration WaitLimit = 300ms;

// VMs in three regions that admit requests by quota, in virtual time. Messages
// take 1 to 9 ms in a region and 55 to 60 ms between regions.
class QuotaModel {
public:
  struct Demand {
    QuotaRate m_Rate;
    // Requests per second that arrive in a region.
    std::function<double(std::size_t Region, Time Now)> m_PerSecond;
    double m_Highest = 0; // Largest value of m_PerSecond.
  };
  struct Options {
    std::size_t m_Vms = 10;
    double m_Loss = 0;
    std::uint64_t m_Seed = 1;
    // Whether the regions have had traffic for long, or start as a whole.
    bool m_Fresh = false;
    // Whether no message passes between two VMs at a time.
    std::function<bool(std::size_t A, std::size_t B, Time Now)> m_IsCut;
    std::vector<Demand> m_Demands;
  };

  explicit QuotaModel(Options Chosen)
      : m_Options(std::move(Chosen)), m_Random(m_Options.m_Seed),
        m_Vms(m_Options.m_Vms) {
    Duration Age = m_Options.m_Fresh ? 0s : 60s;
    m_Now = Age;
    m_Start = Age;
    for (std::size_t I = 0; I < m_Vms.size(); ++I) {
      m_Vms[I].m_Name =
          "10.0." + std::to_string(I / 100) + "." + std::to_string(I % 100 + 1);
      m_Names[m_Vms[I].m_Name] = I;
      start(I, m_Now - Age);
    }
    for (std::size_t I = 0; I < m_Vms.size() && !m_Options.m_Fresh; ++I)
      updateHolders(I);
    for (std::size_t Of = 0; Of < m_Options.m_Demands.size(); ++Of)
      for (std::size_t Region = 0; Region < Regions; ++Region)
        scheduleArrival(Of, Region);
  }

  // Schedules an action, in time since the start of the model.
  void at(Duration When, std::function<void()> Action) {
    push(m_Start + When, std::move(Action));
  }
  void kill(std::size_t I) {
    Vm &Row = m_Vms[I];
    ++Row.m_Incarnation;
    Row.m_Alive = false;
    Row.m_WaitingSince.clear();
  }
  void start(std::size_t I, Time StartedAt) {
    Vm &Row = m_Vms[I];
    bool First = Row.m_Incarnation == 0;
    ++Row.m_Incarnation;
    Row.m_Alive = true;
    Row.m_StartedAt = StartedAt;
    Row.m_Client = QuotaClient(QuotaLimits{}, I + 1);
    Row.m_Holder = QuotaHolder();
    Row.m_Candidates.clear();
    Row.m_IsolatedAt = -1h;
    // Of each other VM: when it was heard, and since when its process runs.
    Row.m_Heard.assign(m_Vms.size(), {m_Now, std::nullopt});
    if (First && !m_Options.m_Fresh)
      for (Heard &Each : Row.m_Heard)
        Each = {m_Now, StartedAt};
    configure(I);
    push(m_Now + below(100ms),
         [this, I, Of = Row.m_Incarnation] { tick(I, Of); });
  }
  void setRate(std::size_t Of, double PerSecond) {
    m_Options.m_Demands[Of].m_Rate.m_PerSecond = PerSecond;
    for (std::size_t I = 0; I < m_Vms.size(); ++I)
      push(m_Now + below(4s), [this, I] { configure(I); });
  }
  void run(Duration Length) {
    Time End = m_Start + Length;
    while (!m_Events.empty() && m_Events.top().m_At <= End) {
      Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Action();
    }
  }

  // Largest number of requests admitted in a window from some time on.
  std::size_t highest(std::size_t Of, Duration From = 0s) const {
    const std::vector<Time> &All = m_Admitted.at(Of);
    std::size_t Highest = 0;
    std::size_t Last = 0;
    for (std::size_t I = 0; I < All.size(); ++I) {
      while (Last < All.size() && All[Last] < All[I] + Window)
        ++Last;
      if (All[I] >= m_Start + From)
        Highest = std::max(Highest, Last - I);
    }
    return Highest;
  }
  // Requests admitted from one time to another.
  double admitted(std::size_t Of, Duration From, Duration To) const {
    return countIn(m_Admitted, Of, From, To);
  }
  double arrived(std::size_t Of, Duration From, Duration To) const {
    return countIn(m_Arrived, Of, From, To);
  }
  // Returns a VM of a region that acts for an organisation; none: m_Vms.
  std::size_t holderIn(std::size_t Region, std::size_t Of) const {
    for (std::size_t I = Region; I < m_Vms.size(); I += Regions)
      if (m_Vms[I].m_Alive && m_Vms[I].m_Holder.isActing(hashOf(Of)))
        return I;
    return m_Vms.size();
  }
  std::map<ErrorKind, int> m_Refusals;
  Duration m_LongestWait{0};
  int m_DoubleActing = 0;
  std::uint64_t m_Messages = 0; // Datagrams sent.

private:
  struct Heard {
    Time m_At{0};
    std::optional<Time> m_StartedAt;
  };
  struct Vm {
    std::string m_Name;
    int m_Incarnation = 0;
    bool m_Alive = false;
    Time m_StartedAt{0};
    Time m_UpdatedAt{-1h};
    Time m_IsolatedAt{-1h};
    QuotaClient m_Client;
    QuotaHolder m_Holder;
    std::vector<Heard> m_Heard;
    std::vector<std::vector<std::string>> m_Candidates;
    std::vector<std::vector<std::string>> m_HolderOf; // By organisation.
    std::map<RequestId, std::pair<std::size_t, Time>> m_WaitingSince;
  };
  struct Event {
    Time m_At{0};
    std::uint64_t m_Order = 0;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::pair(m_At, m_Order) > std::pair(Other.m_At, Other.m_Order);
    }
  };

  using Times = std::map<std::size_t, std::vector<Time>>;
  double countIn(const Times &All, std::size_t Of, Duration From,
                 Duration To) const {
    auto Found = All.find(Of);
    if (Found == All.end())
      return 0;
    auto Count = [&](Time Before) {
      return std::lower_bound(Found->second.begin(), Found->second.end(),
                              Before) -
             Found->second.begin();
    };
    return static_cast<double>(Count(m_Start + To) - Count(m_Start + From));
  }
  void push(Time When, std::function<void()> Action) {
    m_Events.push({When, ++m_Order, std::move(Action)});
  }
  Duration below(Duration Bound) {
    return Duration(static_cast<std::int64_t>(
        m_Random.below(static_cast<std::uint64_t>(Bound.count()))));
  }
  static OrganisationHash hashOf(std::size_t Of) {
    return stableHash("organisation " + std::to_string(Of));
  }
  // VMs are spread over the regions in turn.
  static std::size_t regionOf(std::size_t I) { return I % Regions; }
  // The number that a VM gives to a region: 0 is its own.
  static std::size_t regionSeen(std::size_t I, std::size_t Number) {
    return (regionOf(I) + Number) % Regions;
  }
  bool isCut(std::size_t A, std::size_t B) const {
    return m_Options.m_IsCut && m_Options.m_IsCut(A, B, m_Now - m_Start);
  }
  void send(std::size_t From, std::size_t To, std::function<void()> Action) {
    ++m_Messages;
    if (isCut(From, To) || m_Random.uniform() < m_Options.m_Loss)
      return;
    Duration Delay =
        regionOf(From) == regionOf(To) ? 1ms + below(8ms) : 55ms + below(5ms);
    push(m_Now + Delay,
         [this, To, Of = m_Vms[To].m_Incarnation, Action = std::move(Action)] {
           if (m_Vms[To].m_Alive && m_Vms[To].m_Incarnation == Of)
             Action();
         });
  }
  void configure(std::size_t I) {
    std::vector<QuotaRate> Rates;
    for (std::size_t Of = 0; Of < m_Options.m_Demands.size(); ++Of) {
      Rates.push_back(m_Options.m_Demands[Of].m_Rate);
      Rates.back().m_Organisation = hashOf(Of);
    }
    m_Vms[I].m_Client.configure(Rates, Regions);
    m_Vms[I].m_Holder.configure(Rates, Regions, Slack, m_Now);
  }

  // Applies heartbeats of a second and updates the choice of the holders.
  void updateHolders(std::size_t I) {
    Vm &Row = m_Vms[I];
    std::vector<std::vector<QuotaVm>> Seen(Regions);
    for (std::size_t J = 0; J < m_Vms.size(); ++J) {
      Heard &Each = Row.m_Heard[J];
      if (J == I)
        continue;
      if (m_Vms[J].m_Alive && !isCut(I, J))
        Each = {m_Now, m_Vms[J].m_StartedAt};
      Seen[regionOf(J)].push_back(
          {m_Vms[J].m_Name, Each.m_StartedAt.has_value(), m_Now - Each.m_At});
    }
    QuotaActing Acting =
        quotaActing(Seen[regionOf(I)], m_Now - Row.m_StartedAt,
                    QuotaStart::Returned, m_Now - Row.m_IsolatedAt);
    if (Acting.m_IsIsolated)
      Row.m_IsolatedAt = m_Now;
    Seen[regionOf(I)].push_back({Row.m_Name, true, 0s});
    std::vector<std::vector<std::string>> Candidates;
    for (std::size_t Number = 0; Number < Regions; ++Number)
      Candidates.push_back(quotaCandidates(Seen[regionSeen(I, Number)]));
    if (Candidates != Row.m_Candidates) {
      Row.m_HolderOf.clear();
      for (std::size_t Of = 0; Of < m_Options.m_Demands.size(); ++Of) {
        Row.m_HolderOf.emplace_back();
        for (const std::vector<std::string> &Vms : Candidates)
          Row.m_HolderOf.back().push_back(chooseQuotaHolder(hashOf(Of), Vms));
      }
      Row.m_Candidates = std::move(Candidates);
    }
    std::vector<std::string> Rivals = Acting.m_Rivals;
    Rivals.push_back(Row.m_Name);
    for (std::size_t Of = 0; Of < m_Options.m_Demands.size(); ++Of) {
      bool Acts = Acting.m_MayAct &&
                  chooseQuotaHolder(hashOf(Of), Rivals) == Row.m_Name;
      Row.m_Holder.setActing(hashOf(Of), Acts, m_Now);
      for (std::size_t J = regionOf(I); Acts && J < m_Vms.size(); J += Regions)
        if (J != I && m_Vms[J].m_Alive &&
            m_Vms[J].m_Holder.isActing(hashOf(Of)))
          ++m_DoubleActing;
    }
  }
  void tick(std::size_t I, int Incarnation) {
    Vm &Row = m_Vms[I];
    if (!Row.m_Alive || Row.m_Incarnation != Incarnation)
      return;
    if (m_Now - Row.m_UpdatedAt >= 500ms) {
      Row.m_UpdatedAt = m_Now;
      updateHolders(I);
    }
    sendAsks(I);
    push(m_Now + (Row.m_Client.hasWaiting() ? Duration(5ms) : Duration(50ms)),
         [this, I, Incarnation] { tick(I, Incarnation); });
  }
  void sendAsks(std::size_t I) {
    Vm &Row = m_Vms[I];
    for (const QuotaAsk &Ask : Row.m_Client.takeAsks(m_Now)) {
      std::map<std::string, std::vector<QuotaAskRow>> ByHolder;
      for (const QuotaAskRow &Each : Ask.m_Rows)
        for (std::size_t Of = 0; Of < Row.m_HolderOf.size(); ++Of)
          if (hashOf(Of) == Each.m_Organisation)
            ByHolder[Row.m_HolderOf[Of][Ask.m_Region]].push_back(Each);
      for (const auto &[Name, Rows] : ByHolder) {
        if (Name.empty())
          continue;
        std::size_t To = m_Names.at(Name);
        auto Answer = [this, I, To, Ask, Asked = Rows] {
          std::vector<QuotaGrantRow> Grants;
          Grants.reserve(Asked.size());
          for (const QuotaAskRow &Each : Asked)
            Grants.push_back(m_Vms[To].m_Holder.answer(
                Each, m_Now, I, To == I ? 0 : Ask.m_Sequence));
          auto Apply = [this, I, Ask, Grants] {
            m_Vms[I].m_Client.applyGrant(Ask.m_Region, Ask.m_Sequence, Grants,
                                         m_Now);
            process(I);
            if (m_Vms[I].m_Client.hasWaiting())
              sendAsks(I);
          };
          if (To == I)
            Apply();
          else
            send(To, I, Apply);
        };
        if (To == I)
          Answer();
        else
          send(I, To, Answer);
      }
    }
    process(I);
  }
  void decide(const QuotaDecision &Decision, std::size_t Of) {
    if (Decision.m_Action == QuotaAction::Admit)
      m_Admitted[Of].push_back(m_Now);
    else
      ++m_Refusals[Decision.m_Error];
  }
  void process(std::size_t I) {
    Vm &Row = m_Vms[I];
    for (const QuotaWaitEnd &End : Row.m_Client.process(m_Now)) {
      auto [Of, Since] = Row.m_WaitingSince.at(End.m_Id);
      Row.m_WaitingSince.erase(End.m_Id);
      m_LongestWait = std::max<Duration>(m_LongestWait, m_Now - Since);
      decide(End.m_Decision, Of);
    }
  }
  void scheduleArrival(std::size_t Of, std::size_t Region) {
    double Highest = m_Options.m_Demands[Of].m_Highest;
    double Gap = -std::log(1 - m_Random.uniform()) / Highest;
    push(m_Now + Duration(static_cast<std::int64_t>(Gap * 1e6)),
         [this, Of, Region] {
           arrive(Of, Region);
           scheduleArrival(Of, Region);
         });
  }
  void arrive(std::size_t Of, std::size_t Region) {
    const Demand &Each = m_Options.m_Demands[Of];
    if (m_Random.uniform() * Each.m_Highest >=
        Each.m_PerSecond(Region, m_Now - m_Start))
      return;
    std::size_t I = Region + Regions * m_Random.below(m_Vms.size() / Regions);
    Vm &Row = m_Vms[I];
    if (!Row.m_Alive)
      return; // The caller's connection is refused.
    m_Arrived[Of].push_back(m_Now);
    RequestId Id = ++m_Requests;
    QuotaDecision Decision =
        Row.m_Client.submit(hashOf(Of), Id, m_Now + WaitLimit, m_Now);
    if (Decision.m_Action == QuotaAction::Wait)
      Row.m_WaitingSince[Id] = {Of, m_Now};
    else
      decide(Decision, Of);
    sendAsks(I);
  }

  Options m_Options;
  Random m_Random;
  std::vector<Vm> m_Vms;
  std::map<std::string, std::size_t> m_Names;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_Order = 0;
  RequestId m_Requests = 0;
  Time m_Now{0};
  Time m_Start{0};
  Times m_Admitted;
  Times m_Arrived;
};

} // namespace rhubarb::test
