// Backend servers of the platform for tests: slots, a queue, objects that they
// know, cold starts, and the ways in which they fail. Every run is recorded.
#pragma once

#include "standins/site/KvStore.h"

#include "platform/Wire.h"

#include <list>
#include <memory>

namespace rhubarb::site {

// What happened to one request id at the servers.
struct RunRecord {
  int m_Runs = 0;
  int m_Arrivals = 0;
  std::string m_Service; // Of the last run.
  std::string m_Method;
  Time m_LastRun{0};
};
using RunRecords = std::map<std::string, RunRecord>;

// How a server answers.
struct ServerFaults {
  bool m_Silent = false;          // Takes requests, answers nothing.
  double m_ServiceTimeFactor = 1; // Times the work.
  double m_ErrorShare = 0;        // Share answered 500 after a run.
  double m_ShedShare = 0; // Share refused as not run, though there is room.
  double m_LostResponseShare = 0;  // Share run, and the connection cut.
  double m_CutResponseShare = 0;   // Share cut in the body.
  double m_ExtraResponseShare = 0; // Share followed by a second response.
  double m_RetryAfterShare = 0; // Share refused, with a wish to be left alone.
};

// Sizes of a server.
struct ServerProfile {
  std::string m_Service;
  std::string m_Domain;
  int m_Slots = 4;
  Duration m_ServiceTime = 40ms; // Of a run that does not know its object.
  double m_WarmFactor = 0.3;
  Duration m_ColdDuration = 1s;
};

// One start of a backend server.
class SiteServer {
public:
  SiteServer(asio::io_context &Io, KvStore &Store, RunRecords &Records,
             std::string Id, std::string Ip, std::uint16_t Port,
             std::uint16_t AdvertisedPort, ServerProfile Profile,
             std::uint64_t Seed);
  Result<std::uint16_t> start();
  // Registers, or renews the entry.
  void publishEntry();
  // Says that it leaves; the store's revision acknowledges it.
  void drain();
  // Ends at once: connections are cut, the entry stays until expire().
  void crash();
  // Removes the entry.
  void expire();
  void setFaults(ServerFaults Faults) { m_Faults = Faults; }

  const std::string &id() const { return m_Id; }
  const ServerProfile &profile() const { return m_Profile; }
  bool draining() const { return m_Draining; }
  bool running() const { return m_Running; }
  // Moment of the acknowledged leaving; 0: none.
  Time withdrawnAt() const { return m_WithdrawnAt; }
  // Moments of the requests that came later than Bound after the leaving.
  std::vector<Time> lateArrivals(Duration Bound) const;
  // Moments of the requests that a VM sent later than Bound after the server
  // had told it that it leaves.
  const std::vector<Time> &arrivalsAfterNotice() const {
    return m_ArrivalsAfterNotice;
  }
  // Requests in the worst pause that the server had asked a VM for.
  int maxArrivalsInPause() const { return m_MaxArrivalsInPause; }

private:
  asio::awaitable<HttpResponse> serve(HttpRequest Request);
  asio::awaitable<HttpResponse> run(HttpRequest Request, std::string RequestId);
  // Records whether a VM heeds what it has been told.
  void recordArrival(const std::string &Vm);
  HttpResponse refusal(int Status, const std::string &RequestId) const;
  HttpResponse health() const;
  void addLoad(HttpResponse &Response) const;

  asio::io_context &m_Io;
  KvStore &m_Store;
  RunRecords &m_Records;
  node::HeaderNames m_Names = platform::headerNames();
  std::string m_Id;
  std::string m_Ip;
  std::uint16_t m_Port;
  std::uint16_t m_AdvertisedPort; // Of the proxy before it.
  ServerProfile m_Profile;
  Random m_Random;
  Reachability m_Reach;
  std::unique_ptr<HttpServer> m_Server;
  ServerFaults m_Faults;
  std::int64_t m_StartedUnixMs = 0;
  Time m_StartedAt{0};
  Time m_WithdrawnAt{0};
  std::vector<Time> m_ArrivalsAfterWithdrawal;
  std::map<std::string, Time> m_NoticeSentAt; // When, by the VM's IP number.
  std::vector<Time> m_ArrivalsAfterNotice;
  struct Pause {
    Time m_From{0};
    Time m_Until{0};
    int m_Arrivals = 0;
  };
  std::map<std::string, Pause> m_PauseByVm; // By the VM's IP number.
  int m_MaxArrivalsInPause = 0;
  std::uint64_t m_Sequence = 0;
  int m_Busy = 0;
  int m_Waiting = 0;
  std::list<std::string> m_WarmObjects;
  bool m_Draining = false;
  bool m_Running = false;
};

// Returns the body that every server sends for a request id.
std::string expectedBody(const std::string &RequestId);
// Returns the proof that a server made the answer to an id.
std::string stampFor(const std::string &RequestId);

} // namespace rhubarb::site
