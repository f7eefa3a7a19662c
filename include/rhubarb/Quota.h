// Quotas: the request rates of organisations, kept by all VMs together.
//
// A request of a limited organisation runs only with a token. For each
// organisation and region one VM, the holder, owns a part of the rate as a
// token bucket and hands out whole tokens, which are valid for a short time.
// All buckets together never release more than the rate and the burst, and
// neither a lost message nor a cut, a restart or a hand-over adds a token.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace rhubarb {

// Identifies an organisation in messages: the hash of its name.
using OrganisationHash = std::uint64_t;

// An organisation's quota, over all VMs.
struct QuotaRate {
  OrganisationHash m_Organisation = 0;
  double m_PerSecond = 0;
  double m_Burst = 0;
};

// Timeouts and sizes. They keep, in any window of five seconds or more, the sum
// of what runs below 1.1 times rate and burst plus the slack.
struct QuotaLimits {
  // A token is valid for this long after it was asked for, which adds as much
  // to each window: at most a tenth of the shortest one.
  Duration m_TokenLifetime = 400ms;
  // Share of the operators' slack that the buckets may hold beyond the burst.
  double m_SlackShare = 0.5;
  // Arrivals are averaged over this time.
  Duration m_DemandDecay = 1s;
  // Tokens are asked for ahead of the requests expected within this time.
  Duration m_AskAhead = 200ms;
  // Pause between two asks to one holder that no request waits for.
  Duration m_MinAskInterval = 100ms;
  // A holder that has not answered by then is passed over for a while. The
  // longer time holds for other regions.
  Duration m_AnswerTimeout = 60ms;
  Duration m_RemoteAnswerTimeout = 150ms;
  Duration m_SilentFor = 1s;
  // A holder without tokens is asked again after this time at the latest.
  Duration m_MaxEmptyFor = 200ms;
  // Longest Retry-After; the estimate says little beyond it.
  Duration m_MaxRetryAfter = 2s;
  Duration m_MinRetryAfter = 50ms;
  // No request waits longer for a token.
  Duration m_MaxWait = 300ms;
  // A holder keeps tokens for the demand expected within this time, and gets
  // missing ones from the holders of other regions.
  Duration m_StockFor = 500ms;
  // Tokens that a holder keeps for the next request in any case.
  double m_MinStock = 2;
  // Largest number of requests that wait for tokens of one organisation.
  std::size_t m_MaxWaiting = 200;
};

// --- Choice of the holder

// A VM of a region, as far as it may act as holder.
struct QuotaVm {
  std::string m_Vm;
  bool m_IsHeard = false;  // By this process; otherwise the list names it.
  Duration m_SilentFor{0}; // Time since it was last heard, or named first.
};

// Why a process starts, which decides when it may act as holder.
enum class QuotaStart : std::uint8_t {
  First,    // The whole deployment starts for the first time.
  Returned, // The VM was known before: its earlier process was the holder.
  Added,    // The VM may be new to the others.
};
std::string_view quotaStartName(QuotaStart Value);

// Which of a region's VMs are asked for tokens, and when this VM may act.
struct QuotaHolderRules {
  // In a first start the VMs know each other after this time.
  Duration m_FirstActingAge = 7s;
  // A VM that is new to the others acts once they know it.
  Duration m_AddedActingAge = 30s;
  // A silent VM may be cut off from this one only, and act for others. It is
  // replaced after this time; its successor acts later still.
  Duration m_SilentTimeout = 30s;
  Duration m_SuccessionDelay = 10s;
  // A VM that hears less than half of its region for this long stops acting, as
  // the others may have replaced it. VMs that fell silent one after the other,
  // this far apart, have ended; those that did so together may be cut off.
  Duration m_IsolationTimeout = 20s;
  // A VM that was cut off acts again this long after it hears the others: those
  // that act in its place have heard it by then.
  Duration m_RejoinDelay = 5s;
};

// Returns the VMs of a region that may be asked for tokens.
std::vector<std::string> quotaCandidates(const std::vector<QuotaVm> &Vms,
                                         const QuotaHolderRules &Rules = {});
// Returns the holder of an organisation among candidates; empty if there is
// none.
std::string chooseQuotaHolder(OrganisationHash Organisation,
                              const std::vector<std::string> &Candidates);

// Says for which organisations this VM acts as holder in its region.
struct QuotaActing {
  // VMs that this VM must outrank: candidates, and those replaced just now.
  std::vector<std::string> m_Rivals;
  bool m_MayAct = false;
  bool m_IsIsolated = false; // It may have been replaced unknown to it.
};
// Vms lists the other VMs of the region; SinceIsolated is the time since the
// result was last isolated.
QuotaActing quotaActing(const std::vector<QuotaVm> &Vms, Duration OwnAge,
                        QuotaStart Start, Duration SinceIsolated,
                        const QuotaHolderRules &Rules = {});

// --- Messages

// Asks a holder for tokens.
struct QuotaAskRow {
  OrganisationHash m_Organisation = 0;
  int m_Tokens = 0;
};
// A holder's answer to one row.
struct QuotaGrantRow {
  OrganisationHash m_Organisation = 0;
  int m_Tokens = 0;
  bool m_IsHolder = true; // The asked VM acts as holder.
  // Expected time until there are tokens for the asker; 0: it got all.
  Duration m_RetryAfter{0};
};

// --- Holder

// The buckets that this VM holds for its region.
class QuotaHolder {
public:
  explicit QuotaHolder(QuotaLimits Limits = {}) : m_Limits(Limits) {}

  // Sets the quotas in force, the number of regions that share them, and the
  // slack in requests. Tokens beyond the new size of a bucket are lost.
  void configure(const std::vector<QuotaRate> &Rates, std::size_t Regions,
                 double Slack, Time Now);
  // Sets whether this VM acts for an organisation. A bucket starts empty and is
  // dropped when another VM takes over.
  void setActing(OrganisationHash Organisation, bool Acting, Time Now);
  // Answers a row of an ask. An ask that is repeated within the lifetime of its
  // tokens gets the same answer again, so that a lost answer loses no tokens.
  // Sequence 0: it is never repeated.
  QuotaGrantRow answer(const QuotaAskRow &Ask, Time Now,
                       std::uint64_t Asker = 0, std::uint64_t Sequence = 0);
  // Returns what to ask of the holders of each other region, so that tokens are
  // where the demand is. Call it at an interval; the sequence number goes with
  // the ask and comes back with the answer.
  std::vector<QuotaAskRow> takeTransferAsks(std::uint64_t Sequence, Time Now);
  // Gives away tokens that this region does not need. They are taken from the
  // bucket at once, so a lost answer loses them.
  QuotaGrantRow transfer(const QuotaAskRow &Ask, Time Now);
  // Takes tokens of another region's holder. Each region answers an ask once.
  void receiveTransfer(std::size_t Region, std::uint64_t Sequence,
                       const QuotaGrantRow &Grant, Time Now);
  std::size_t buckets() const { return m_Buckets.size(); }
  bool isActing(OrganisationHash Organisation) const {
    return m_Buckets.contains(Organisation);
  }

private:
  struct Answered {
    std::uint64_t m_Sequence = 0;
    Time m_At{0};
    QuotaGrantRow m_Grant;
  };
  struct Bucket {
    double m_Tokens = 0; // As of m_RefilledAt.
    Time m_RefilledAt{0};
    // When the tokens that were refused so far will have been refilled.
    Time m_ServedUntil{0};
    double m_Demand = 0; // Tokens asked for, decayed; as of m_DemandAt.
    Time m_DemandAt{0};
    std::uint64_t m_TransferSequence = 0; // Of the last ask; 0: none.
    std::set<std::size_t> m_Answered;     // Regions that have answered it.
    // The last answer to each asker.
    std::unordered_map<std::uint64_t, Answered> m_Answers;
    Time m_AnswersEvictedAt{0};
  };
  struct Share {
    double m_PerSecond = 0;
    double m_Size = 0;
  };
  void refill(Bucket &Row, const Share &Of, Time Now) const;
  double decayed(double Demand, Duration Age) const;
  // Returns the tokens that a bucket should hold for its own region.
  double wantedStock(const Bucket &Row, const Share &Of, Time Now) const;
  QuotaGrantRow take(Bucket &Row, const Share &Of, const QuotaAskRow &Ask,
                     Time Now) const;

  QuotaLimits m_Limits;
  std::unordered_map<OrganisationHash, Share> m_Shares;
  std::unordered_map<OrganisationHash, Bucket> m_Buckets;
};

// --- Client

enum class QuotaAction : std::uint8_t { Admit, Wait, Refuse };

// The decision for one request. A token that is not used is given back with
// QuotaClient::giveBack().
struct QuotaDecision {
  QuotaAction m_Action = QuotaAction::Admit;
  ErrorKind m_Error = ErrorKind::None;
  Duration m_RetryAfter{0};
  Time m_TokenExpiresAt{0}; // 0: the organisation has no quota.
};

// The decision for a request that has waited.
struct QuotaWaitEnd {
  RequestId m_Id = 0;
  QuotaDecision m_Decision;
};

// Rows to ask of the holders of one region. Region counts from 0, the own one.
struct QuotaAsk {
  std::size_t m_Region = 0;
  std::uint64_t m_Sequence = 0;
  std::vector<QuotaAskRow> m_Rows;
};

// Counts since the last call of QuotaClient::takeCounts().
struct QuotaCounts {
  std::uint64_t m_Admitted = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Asked = 0;
  std::uint64_t m_Granted = 0;
  std::uint64_t m_Expired = 0;
};

// Gets tokens for the requests of this VM.
class QuotaClient {
public:
  explicit QuotaClient(QuotaLimits Limits = {}, std::uint64_t Seed = 1)
      : m_Limits(Limits), m_Random(Seed) {}

  // Sets the quotas in force and the number of regions with holders.
  void configure(const std::vector<QuotaRate> &Rates, std::size_t Regions);
  // Decides for a new request, which may wait for a token until a time. If the
  // result is Wait, process() decides.
  QuotaDecision submit(OrganisationHash Organisation, RequestId Id,
                       Time WaitUntil, Time Now);
  // Takes a token that is at hand, for a further run of a request. Returns
  // whether there was one.
  bool takeToken(OrganisationHash Organisation, Time Now);
  // Decides requests that wait. Call after each grant and at an interval that
  // is short compared to the timeouts.
  std::vector<QuotaWaitEnd> process(Time Now);
  // Removes a waiting request whose caller has disconnected.
  void cancel(RequestId Id);
  // Takes back the token of a request that was not sent to a server.
  void giveBack(OrganisationHash Organisation, Time TokenExpiresAt, Time Now);
  // Returns the asks that are due. Each goes to the holders of its rows.
  std::vector<QuotaAsk> takeAsks(Time Now);
  // Applies an answer. Rows that answer no outstanding ask are ignored.
  void applyGrant(std::size_t Region, std::uint64_t Sequence,
                  const std::vector<QuotaGrantRow> &Rows, Time Now);
  bool hasWaiting() const { return !m_WaitingIds.empty(); }
  std::map<OrganisationHash, QuotaCounts> takeCounts();

private:
  // The holder of one region, as seen by this VM.
  struct HolderState {
    // An ask, by its sequence number; 0: none.
    struct Asked {
      std::uint64_t m_Sequence = 0;
      Time m_At{0};
      int m_Tokens = 0;
      bool m_RepeatDue = false;
    };
    Asked m_Asked;
    // The last ask that was not answered in time. It is repeated, and its
    // tokens can still be used.
    Asked m_Late;
    Time m_EmptyUntil{0};
    Time m_SaidEmptyAt{0}; // 0: it has never been without tokens.
    Time m_SilentUntil{0};
    Duration m_RetryAfter{0}; // As last answered.
  };
  struct Stock {
    int m_Tokens = 0;
    Time m_ExpiresAt{0};
  };
  struct Waiter {
    RequestId m_Id = 0;
    Time m_Until{0};
  };
  struct Row {
    std::deque<Stock> m_Stock; // First the tokens that expire first.
    std::deque<Waiter> m_Waiting;
    std::vector<HolderState> m_Holders; // By region.
    double m_Demand = 0;                // Arrivals, decayed; as of m_DemandAt.
    Time m_DemandAt{0};
    QuotaCounts m_Counts;
  };
  void recordArrival(Row &Of, Time Now) const;
  double demandPerSecond(const Row &Of, Time Now) const;
  static void addTokens(Row &Of, Stock Tokens);
  int dropExpired(Row &Of, Time Now) const;
  std::optional<Time> takeToken(Row &Of, Time Now) const;
  int missingTokens(Row &Of, Time Now) const;
  Duration answerTimeout(std::size_t Region) const;
  void expireAsks(Row &Of, Time Now) const;
  // Returns the next region to ask, or none if all are empty or silent.
  std::optional<std::size_t> nextRegion(const Row &Of, Time Now) const;
  // Whether no holder can give a token now, and none is being asked.
  bool isExhausted(const Row &Of, Time Now) const;
  QuotaDecision refuse(Row &Of, Time Now);
  // Returns the organisations with waiting requests, in order.
  std::vector<OrganisationHash> waitingOrganisations() const;

  QuotaLimits m_Limits;
  Random m_Random;
  std::size_t m_Regions = 1;
  std::unordered_map<OrganisationHash, Row> m_Rows;
  std::unordered_map<RequestId, OrganisationHash> m_WaitingIds;
  std::uint64_t m_Sequence = 0;
  Time m_AskedAt{0}; // Last ask that no request waited for.
};

} // namespace rhubarb
