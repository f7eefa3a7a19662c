// Simulated backend servers for tests, with slots, a queue, a cache of warm
// objects, cold starts and injected faults. Every execution is recorded.
#pragma once

#include "standins/site/KvStore.h"
#include "standins/site/RateLimitCheck.h"

#include "platform/Wire.h"

#include <list>
#include <memory>

namespace rhubarb::site {

// Arrivals and executions of a request ID, over all servers.
struct RunRecord {
  int m_Runs = 0;
  int m_Arrivals = 0;
  // Service of the server that ran the request last.
  std::string m_Service;
  std::string m_Method;
  Time m_LastArrival{0};
  Time m_LastRun{0};
};
using RunRecords = std::map<std::string, RunRecord>;

// Faults injected into a server. Shares are probabilities per request.
struct ServerFaults {
  // Accepts requests and does not respond.
  bool m_Silent = false;
  double m_ServiceTimeFactor = 1;
  // Share of requests that get a 500 after they have run.
  double m_ErrorShare = 0;
  // Share of requests refused as not run although the queue has room.
  double m_ShedShare = 0;
  // Share of requests that run, but whose connection is closed without a
  // response.
  double m_LostResponseShare = 0;
  // Share of responses truncated within the body.
  double m_CutResponseShare = 0;
  // Share of responses followed by a second response that nobody requested.
  double m_ExtraResponseShare = 0;
  // Share of requests refused with a Retry-After that asks the VM for a pause.
  double m_RetryAfterShare = 0;
};

// Service, location and capacity of a server.
struct ServerProfile {
  std::string m_Service;
  std::string m_Domain;
  int m_Slots = 4;
  // Service time of a request for an object that is not warm.
  Duration m_ServiceTime = 40ms;
  // Service time of a request whose target contains LongTarget.
  Duration m_LongServiceTime = 4s;
  // Factor on the service time if the object is warm.
  double m_WarmFactor = 0.3;
  Duration m_ColdDuration = 1s;
};

// An instance of a backend server, from its start to its end.
class SiteServer {
public:
  SiteServer(asio::io_context &Io, KvStore &Store, RunRecords &Records,
             std::string Id, std::string Ip, std::uint16_t Port,
             std::uint16_t AdvertisedPort, ServerProfile Profile,
             std::uint64_t Seed);
  Result<std::uint16_t> start();
  // Writes the server's entry to the store: registers it or renews it.
  void publishEntry();
  // Publishes that the server is draining, again if the store has lost it. The
  // store's revision acknowledges it.
  void drain();
  // Sets the function that is called when a request begins to run that crashes
  // the server.
  void onDeadlyRun(std::function<void()> Hook) {
    m_OnDeadlyRun = std::move(Hook);
  }
  // Called with a request that begins to run, its ID and its arrival time.
  using RunHook =
      std::function<void(const HttpRequest &, const std::string &, Time)>;
  void onRun(RunHook Hook) { m_OnRun = std::move(Hook); }
  // Makes the server leave without a word in its responses.
  void setLeavesSilently() { m_LeavesSilently = true; }
  // Stops at once: responses in flight are lost, new requests get none, and the
  // entry stays in the store until expire().
  void crash();
  // Removes the server's entry from the store.
  void expire();
  void setFaults(ServerFaults Faults) { m_Faults = Faults; }
  // Sends the responses of runs that end before Until at that time, together:
  // those to all VMs or, if it is not empty, to that of an IP address.
  void holdAnswers(Time Until, const std::string &VmIp = "") {
    m_HoldUntil[VmIp] = std::max(m_HoldUntil[VmIp], Until);
  }

  const std::string &id() const { return m_Id; }
  const ServerProfile &profile() const { return m_Profile; }
  bool draining() const { return m_Draining; }
  bool running() const { return m_Running; }
  // Time at which the store acknowledged that the server is draining or
  // removed; 0 if neither.
  Time withdrawnAt() const { return m_WithdrawnAt; }
  // Arrival times of the requests received more than Bound after withdrawnAt().
  std::vector<Time> lateArrivals(Duration Bound) const;
  // Arrival times of the requests from a VM later than LeaveNoticeGrace after a
  // response had told that VM that the server is leaving.
  const std::vector<Time> &arrivalsAfterNotice() const {
    return m_ArrivalsAfterNotice;
  }
  // Arrival times of all requests.
  const std::vector<Time> &arrivals() const { return m_Arrivals; }
  // Largest number of requests from a VM during a pause that the server had
  // asked it for with Retry-After.
  int maxArrivalsInPause() const { return m_MaxArrivalsInPause; }
  // Names a limit in requests per second in every response from now on; none
  // ends it.
  void setRateLimit(std::optional<double> PerSecond);
  const RateLimitCheck &rateLimits() const { return m_RateLimits; }

private:
  asio::awaitable<HttpResponse> serve(HttpRequest Request);
  asio::awaitable<HttpResponse> run(HttpRequest Request, std::string RequestId);
  // Records a request from a VM that ignores a leave notice or a requested
  // pause.
  void recordArrival(const std::string &Vm);
  HttpResponse refusal(int Status, const std::string &RequestId) const;
  HttpResponse health() const;
  // Adds the limit to a response to a VM.
  void addRateLimit(HttpResponse &Response, const std::string &Vm);
  asio::awaitable<HttpResponse> respond(HttpRequest Request);
  void addLoad(HttpResponse &Response) const;
  void writeEntry(const Json::Value &Entry);

  asio::io_context &m_Io;
  KvStore &m_Store;
  RunRecords &m_Records;
  node::HeaderNames m_Names = platform::headerNames();
  std::string m_Id;
  std::string m_Ip;
  std::uint16_t m_Port;
  // Port of the fault proxy in front of the server.
  std::uint16_t m_AdvertisedPort;
  ServerProfile m_Profile;
  Random m_Random;
  Reachability m_Reach;
  std::unique_ptr<HttpServer> m_Server;
  ServerFaults m_Faults;
  std::map<std::string, Time> m_HoldUntil; // By IP address; empty: all VMs.
  std::int64_t m_StartedUnixMs = 0;
  Time m_StartedAt{0};
  Time m_WithdrawnAt{0};
  std::vector<Time> m_Arrivals;
  std::vector<Time> m_ArrivalsAfterWithdrawal;
  // Time of the first leave notice to each VM, by the VM's IP address.
  std::map<std::string, Time> m_NoticeSentAt;
  std::vector<Time> m_ArrivalsAfterNotice;
  struct Pause {
    Time m_From{0};
    Time m_Until{0};
    int m_Arrivals = 0;
  };
  // Pause that each VM was last asked for, by the VM's IP address.
  std::map<std::string, Pause> m_PauseByVm;
  int m_MaxArrivalsInPause = 0;
  RateLimitCheck m_RateLimits;
  std::uint64_t m_Sequence = 0;
  int m_Busy = 0;
  int m_Waiting = 0;
  std::list<std::string> m_WarmObjects;
  bool m_Draining = false;
  bool m_LeavesSilently = false;
  std::function<void()> m_OnDeadlyRun;
  RunHook m_OnRun;
  bool m_Running = false;
};

// Requests whose target contains this crash the server that runs them.
inline constexpr std::string_view DeadlyTarget = "/deadly";
inline constexpr std::string_view LongTarget = "/long/";
// Returns the response body that every server sends for a request ID.
std::string expectedBody(const std::string &RequestId);
// Returns the value of the stamp header, which shows that a server produced the
// response to this request ID.
std::string stampFor(const std::string &RequestId);

} // namespace rhubarb::site
