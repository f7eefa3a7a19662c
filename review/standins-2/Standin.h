// Stand-ins of the platform's store, of backend servers and of callers, and a
// runner for nodes, for the cases in review/. They use plain sockets and
// threads. Every address is a loopback address.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;

inline double seconds() {
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

inline void pause(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

// Writes lines with the time to record.txt.
class Record {
public:
  explicit Record(const std::string &File) : m_File(fopen(File.c_str(), "w")) {
    if (!m_File) {
      perror(File.c_str());
      exit(2);
    }
  }
  void line(const std::string &Text) {
    std::lock_guard Lock(m_Mutex);
    fprintf(m_File, "%8.3f %s\n", seconds(), Text.c_str());
    fflush(m_File);
  }

private:
  std::mutex m_Mutex;
  FILE *m_File;
};

inline sockaddr_in address(const std::string &Ip, int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &Address.sin_addr);
  return Address;
}

// Returns a listening socket; exits with 2 if the address is in use.
inline int listenOn(const std::string &Ip, int Port) {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &One, sizeof One);
  sockaddr_in Address = address(Ip, Port);
  if (bind(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) != 0 ||
      listen(Fd, 1024) != 0) {
    fprintf(stderr, "cannot listen on %s:%d: %s\n", Ip.c_str(), Port,
            strerror(errno));
    exit(2);
  }
  return Fd;
}

// Returns a connected socket, or -1.
inline int connectTo(const std::string &Ip, int Port,
                     const std::string &From = "") {
  int Fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  if (!From.empty()) {
    sockaddr_in Own = address(From, 0);
    bind(Fd, reinterpret_cast<sockaddr *>(&Own), sizeof Own);
  }
  sockaddr_in Address = address(Ip, Port);
  if (connect(Fd, reinterpret_cast<sockaddr *>(&Address), sizeof Address) == 0)
    return Fd;
  close(Fd);
  return -1;
}

inline bool sendAll(int Fd, const std::string &Text) {
  size_t Sent = 0;
  while (Sent < Text.size()) {
    ssize_t Count =
        send(Fd, Text.data() + Sent, Text.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Sent += static_cast<size_t>(Count);
  }
  return true;
}

// Closes a connection with a reset.
inline void resetAndClose(int Fd) {
  linger Now{1, 0};
  setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Now, sizeof Now);
  close(Fd);
}

// Start line and header fields of a message. Names are in lower case.
struct Head {
  std::string m_Start;
  std::map<std::string, std::string> m_Fields;
  std::string field(const std::string &Name) const {
    auto Found = m_Fields.find(Name);
    return Found == m_Fields.end() ? std::string() : Found->second;
  }
  std::string word(int Index) const {
    size_t Begin = 0;
    for (; Index > 0; --Index) {
      Begin = m_Start.find(' ', Begin);
      if (Begin == std::string::npos)
        return {};
      ++Begin;
    }
    return m_Start.substr(Begin, m_Start.find(' ', Begin) - Begin);
  }
  int status() const { return atoi(word(1).c_str()); }
};

// Reads messages from a socket. A time-out of 0 waits without end.
class Reader {
public:
  explicit Reader(int Fd) : m_Fd(Fd) {}
  std::string m_Buffer; // Bytes that were received and not yet consumed.
  bool m_Reset = false; // The connection ended with an error.
  bool m_TimedOut = false;

  // Receives more bytes. Returns false at the end of the connection.
  bool more(double TimeoutSeconds = 0) {
    if (TimeoutSeconds > 0) {
      pollfd Polled{m_Fd, POLLIN, 0};
      if (poll(&Polled, 1, static_cast<int>(TimeoutSeconds * 1000)) <= 0) {
        m_TimedOut = true;
        return false;
      }
    }
    char Bytes[16384];
    ssize_t Count = recv(m_Fd, Bytes, sizeof Bytes, 0);
    if (Count < 0)
      m_Reset = true;
    if (Count <= 0)
      return false;
    m_Buffer.append(Bytes, static_cast<size_t>(Count));
    return true;
  }

  bool readHead(Head &Into, double TimeoutSeconds = 0) {
    size_t End;
    while ((End = m_Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!more(TimeoutSeconds))
        return false;
    std::string Text = m_Buffer.substr(0, End);
    m_Buffer.erase(0, End + 4);
    Into = Head{};
    size_t LineEnd = Text.find("\r\n");
    Into.m_Start = Text.substr(0, LineEnd);
    while (LineEnd != std::string::npos) {
      size_t Begin = LineEnd + 2;
      LineEnd = Text.find("\r\n", Begin);
      std::string Line =
          Text.substr(Begin, LineEnd == std::string::npos ? std::string::npos
                                                          : LineEnd - Begin);
      size_t Colon = Line.find(':');
      if (Colon == std::string::npos)
        continue;
      std::string Name = Line.substr(0, Colon);
      for (char &C : Name)
        C = static_cast<char>(tolower(C));
      size_t Value = Line.find_first_not_of(' ', Colon + 1);
      Into.m_Fields[Name] =
          Value == std::string::npos ? std::string() : Line.substr(Value);
    }
    return true;
  }

  // Reads the body of a message. Returns whether it is complete.
  bool readBody(const Head &Of, std::string &Body, double TimeoutSeconds = 0) {
    if (Of.field("transfer-encoding") == "chunked") {
      for (;;) {
        size_t End;
        while ((End = m_Buffer.find("\r\n")) == std::string::npos)
          if (!more(TimeoutSeconds))
            return false;
        size_t Size = strtoul(m_Buffer.c_str(), nullptr, 16);
        m_Buffer.erase(0, End + 2);
        while (m_Buffer.size() < Size + 2)
          if (!more(TimeoutSeconds)) {
            Body += m_Buffer;
            return false;
          }
        Body += m_Buffer.substr(0, Size);
        m_Buffer.erase(0, Size + 2);
        if (Size == 0)
          return true;
      }
    }
    size_t Length = strtoul(Of.field("content-length").c_str(), nullptr, 10);
    while (m_Buffer.size() < Length)
      if (!more(TimeoutSeconds)) {
        Body += m_Buffer;
        return false;
      }
    Body += m_Buffer.substr(0, Length);
    m_Buffer.erase(0, Length);
    return true;
  }

private:
  int m_Fd;
};

// Accepts connections and serves each in a thread of its own.
inline void serve(const std::string &Ip, int Port,
                  std::function<void(int Fd, std::string PeerIp)> Handler) {
  int Listening = listenOn(Ip, Port);
  std::thread([Listening, Handler] {
    for (;;) {
      sockaddr_in Peer{};
      socklen_t Size = sizeof Peer;
      int Fd = accept4(Listening, reinterpret_cast<sockaddr *>(&Peer), &Size,
                       SOCK_CLOEXEC);
      if (Fd < 0)
        continue;
      int One = 1;
      setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
      char Text[32];
      inet_ntop(AF_INET, &Peer.sin_addr, Text, sizeof Text);
      std::thread(Handler, Fd, std::string(Text)).detach();
    }
  }).detach();
}

inline std::string base64(const std::string &Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (size_t I = 0; I < Bytes.size(); I += 3) {
    unsigned Bits = 0;
    for (size_t J = 0; J < 3; ++J)
      Bits = Bits << 8 |
             (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                   : 0U);
    for (size_t J = 0; J < 4; ++J)
      Text += I + J <= Bytes.size() && (J < 2 || I + J - 1 < Bytes.size())
                  ? Digits[Bits >> (18 - 6 * J) & 63]
                  : '=';
  }
  return Text;
}

// The platform's store, as PROTOCOL.md describes it. Its history has no end.
class Store {
public:
  void start(const std::string &Ip, int Port) {
    serve(Ip, Port, [this](int Fd, std::string) { serveConnection(Fd); });
  }
  // Writes a key as the operator or an instance would.
  uint64_t put(const std::string &Key, const std::string &Value) {
    return putEncoded(Key, base64(Value), 0);
  }
  uint64_t remove(const std::string &Key) {
    std::lock_guard Lock(m_Mutex);
    if (m_Items.erase(Key) == 0)
      return m_Revision;
    m_Events.push_back({++m_Revision, Key, ""});
    m_Changed.notify_all();
    return m_Revision;
  }

private:
  struct Item {
    std::string m_Value;
    uint64_t m_Revision = 0;
    uint64_t m_Created = 0;
    uint64_t m_Lease = 0;
  };
  struct Event {
    uint64_t m_Revision;
    std::string m_Key;
    std::string m_Json; // Empty: the key was removed.
  };

  static std::string decodePercent(const std::string &Text) {
    std::string Plain;
    for (size_t I = 0; I < Text.size(); ++I)
      if (Text[I] == '%') {
        Plain += static_cast<char>(
            strtol(Text.substr(I + 1, 2).c_str(), nullptr, 16));
        I += 2;
      } else {
        Plain += Text[I];
      }
    return Plain;
  }
  static std::string query(const std::string &Target, const std::string &Name) {
    size_t At = Target.find('?');
    while (At != std::string::npos) {
      size_t End = Target.find('&', At + 1);
      std::string Pair =
          Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
      if (Pair.rfind(Name + "=", 0) == 0)
        return decodePercent(Pair.substr(Name.size() + 1));
      At = End;
    }
    return {};
  }
  static std::string jsonText(const std::string &Json, const std::string &Name,
                              size_t From = 0) {
    size_t At = Json.find("\"" + Name + "\":\"", From);
    if (At == std::string::npos)
      return {};
    At += Name.size() + 4;
    return Json.substr(At, Json.find('"', At) - At);
  }
  static std::string itemJson(const std::string &Key, const Item &Stored) {
    return "{\"key\":\"" + Key + "\",\"value\":\"" + Stored.m_Value +
           "\",\"revision\":" + std::to_string(Stored.m_Revision) +
           ",\"created_rev\":" + std::to_string(Stored.m_Created) +
           ",\"lease\":" + std::to_string(Stored.m_Lease) + "}";
  }
  uint64_t putEncoded(const std::string &Key, const std::string &Value,
                      uint64_t Lease) {
    std::lock_guard Lock(m_Mutex);
    Item &Stored = m_Items[Key];
    Stored.m_Revision = ++m_Revision;
    if (Stored.m_Created == 0)
      Stored.m_Created = m_Revision;
    Stored.m_Value = Value;
    Stored.m_Lease = Lease;
    m_Events.push_back({m_Revision, Key, itemJson(Key, Stored)});
    m_Changed.notify_all();
    return m_Revision;
  }
  std::string range(const std::string &Target) {
    std::string Prefix = query(Target, "prefix");
    std::string After = query(Target, "after");
    std::lock_guard Lock(m_Mutex);
    std::string Items;
    int Count = 0;
    bool More = false;
    for (const auto &[Key, Stored] : m_Items) {
      if (Key.rfind(Prefix, 0) != 0 || (!After.empty() && Key <= After))
        continue;
      if (++Count > 500) {
        More = true;
        break;
      }
      Items += (Items.empty() ? "" : ",") + itemJson(Key, Stored);
    }
    return "{\"items\":[" + Items +
           "],\"has_more\":" + (More ? "true" : "false") +
           ",\"store_revision\":" + std::to_string(m_Revision) + "}";
  }
  std::string watch(const std::string &Target) {
    std::string Prefix = query(Target, "prefix");
    uint64_t After = strtoull(query(Target, "after").c_str(), nullptr, 10);
    auto End = Clock::now() + std::chrono::milliseconds(
                                  atoi(query(Target, "wait_ms").c_str()));
    std::unique_lock Lock(m_Mutex);
    for (;;) {
      std::string Events;
      for (const Event &Each : m_Events) {
        if (Each.m_Revision <= After || Each.m_Key.rfind(Prefix, 0) != 0)
          continue;
        Events += Events.empty() ? "" : ",";
        Events += Each.m_Json.empty()
                      ? "{\"key\":\"" + Each.m_Key + "\",\"revision\":" +
                            std::to_string(Each.m_Revision) +
                            ",\"deleted\":true}"
                      : Each.m_Json;
      }
      if (!Events.empty() || Clock::now() >= End)
        return "{\"events\":[" + Events +
               "],\"store_revision\":" + std::to_string(m_Revision) + "}";
      m_Changed.wait_until(Lock, End);
    }
  }
  void serveConnection(int Fd) {
    Reader From(Fd);
    Head Request;
    while (From.readHead(Request)) {
      std::string Body;
      if (!From.readBody(Request, Body))
        break;
      std::string Target = Request.word(1);
      std::string Path = Target.substr(0, Target.find('?'));
      int Status = 200;
      std::string Answer = "{}";
      if (Path == "/kv-range") {
        Answer = range(Target);
      } else if (Path == "/kv-watch") {
        Answer = watch(Target);
      } else if (Path == "/kv-lease") {
        Answer = "{\"lease\":" + std::to_string(++m_Leases) +
                 ",\"ttl_time\":\"30000ms\"}";
      } else if (Path.rfind("/kv-keep/", 0) == 0) {
        Answer = "{\"ttl_time\":\"30000ms\"}";
      } else if (Path == "/kv-txn") {
        std::string Key = jsonText(Body, "key");
        size_t Lease = Body.find("\"lease\":");
        uint64_t Revision =
            putEncoded(Key, jsonText(Body, "value"),
                       Lease == std::string::npos
                           ? 0
                           : strtoull(Body.c_str() + Lease + 8, nullptr, 10));
        Answer = "{\"revision\":" + std::to_string(Revision) + "}";
      } else {
        Status = 404;
      }
      if (!sendAll(Fd, "HTTP/1.1 " + std::to_string(Status) +
                           " Answer\r\nContent-Type: application/json\r\n"
                           "Content-Length: " +
                           std::to_string(Answer.size()) + "\r\n\r\n" + Answer))
        break;
    }
    close(Fd);
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, Item> m_Items;
  std::vector<Event> m_Events;
  uint64_t m_Revision = 100;
  std::atomic<uint64_t> m_Leases{0};
};

// Makes a response. Headers end with an empty line already.
inline std::string response(int Status, const std::string &RequestId,
                            const std::string &Headers,
                            const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Answer\r\nX-Rhubarbstack-Request-Id: " + RequestId + "\r\n" +
         Headers + "Content-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

inline std::string entry(const std::string &Address, const std::string &Service,
                         const std::string &Zone, int Slots,
                         const std::string &State = "ready") {
  static const auto Born =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  return "{\"address\":\"" + Address + "\",\"info\":{\"service\":\"" + Service +
         "\",\"version\":\"v1\",\"zone\":\"" + Zone +
         "\",\"concurrency\":" + std::to_string(Slots) +
         "},\"status\":{\"state\":\"" + State +
         "\",\"sequence\":4,\"cold_remaining\":\"0ms\"},\"born\":" +
         std::to_string(Born) + "}";
}

// A route in the operator's configuration.
struct RouteText {
  std::string m_Name, m_Prefix, m_Type, m_Service;
  int m_TimeoutMs = 3000;
  int m_Attempts = 2;
  int m_Priority = 1;
};

// The key of the one tenant of a configuration with tenants.
inline const char *const TenantKey = "yrbbkf83fgfwrz56aw63";

// Returns a configuration. Tenants is empty or the text of its tenants.
inline std::string config(const std::string &Version,
                          const std::vector<std::string> &Services,
                          const std::vector<RouteText> &Routes,
                          const std::string &Tenants = "") {
  std::string Text = "{\"version\":\"" + Version + "\",\"services\":[";
  for (size_t I = 0; I < Services.size(); ++I)
    Text += std::string(I ? "," : "") + "{\"name\":\"" + Services[I] +
            "\",\"health_path\":\"/health\",\"max_connections\":360,"
            "\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\","
            "\"cold_per_s\":15.0}";
  Text += "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
          "67108864,\"header_timeout\":\"3000ms\",\"idle_timeout\":"
          "\"15000ms\"}," +
          Tenants +
          "\"virtual_hosts\":[{\"hostname\":\"site.example\","
          "\"paths\":[";
  for (size_t I = 0; I < Routes.size(); ++I)
    Text +=
        std::string(I ? "," : "") + "{\"name\":\"" + Routes[I].m_Name +
        "\",\"prefix\":\"" + Routes[I].m_Prefix + "\",\"route_type\":\"" +
        Routes[I].m_Type + "\",\"timeout\":\"" +
        std::to_string(Routes[I].m_TimeoutMs) +
        "ms\",\"target_latency\":\"400ms\",\"priority\":" +
        std::to_string(Routes[I].m_Priority) + ",\"service\":\"" +
        Routes[I].m_Service +
        "\",\"max_attempts\":" + std::to_string(Routes[I].m_Attempts) +
        ",\"public\":false,\"session_affinity\":true,\"allowed_regions\":[]}";
  return Text + "]}]}";
}

constexpr int FrontPort = 8161;
constexpr int ReadyPort = 8167;
constexpr int LookupPort = 8164;

// Settings of the small machines of lakbay-hq-grown, as "fleetbench wire" and
// the site's sheet give them.
inline const char *const LakbayTerms =
    "limits.cpu_share=0.1\nlimits.memory_mb=160\nlimits.max_fds=4100\n"
    "limits.link_mbps=10.0\ncontracts=base,drain,config,cost,retry,recover,"
    "health,pool,places,tenants,quota,pressure,platform\n"
    "bounds.seed_lag=3s\nbounds.addr_reuse=2s\nbounds.stable_window=4000ms\n"
    "bounds.ack=6000ms\nbounds.catch_up=6s\nbounds.drain=4000ms\n"
    "bounds.grace=6s\nbounds.loss_slack=200ms\nbounds.config_apply=4000ms\n"
    "bounds.downgrade_slack=250ms\nbounds.stretch_max=6000ms\n"
    "bounds.strict_revoke=false\nbounds.revoke=5000ms\n"
    "bounds.retry_budget_ratio=0.2\nbounds.retry_window=10s\n"
    "bounds.retry_slack=186\nbounds.quota_window=5s\nbounds.quota_over=0.1\n"
    "bounds.quota_slack=20\nbounds.cold_over=1.5\nbounds.cold_slack=8\n"
    "bounds.evacuate=5000ms\nbounds.recovery=15s\nbounds.ttl_max=5s\n"
    "bounds.shift_most=0.15\nprovider.writes_per_s=1200\n"
    "provider.reads_per_s=6000\n";

// Starts and stops nodes with the command of deploy/system.toml.
class Nodes {
public:
  Nodes(std::string Program, std::string Folder)
      : m_Program(std::move(Program)), m_Folder(std::move(Folder)) {}
  ~Nodes() { stopAll(); }
  void stopAll() {
    for (auto &[Ip, Pid] : m_Pids)
      if (Pid > 0) {
        kill(Pid, SIGKILL);
        waitpid(Pid, nullptr, 0);
        Pid = 0;
      }
  }
  // Starts a node at an address. Terms are the lines of the settings that the
  // deployment's page gives.
  void start(const std::string &Ip, const std::string &Zone,
             const std::string &Region, const std::string &StoreAddress,
             const std::string &Terms) {
    std::ofstream(m_Folder + "/" + Ip + ".conf")
        << "node_name=front-" << Ip << "\nrole=node\nmachine_class=front\n"
        << "serves=front,directory,control\nip=" << Ip << "\nzone=" << Zone
        << "\nregion=" << Region << "\nzones.a1=a\nzones.a2=a\nzones.b1=b\n"
        << "listen.front=" << Ip << ":8161\nlisten.ready=" << Ip
        << ":8167\nlisten.control=" << Ip << ":8166\nlisten.directory=" << Ip
        << ":8164\nport_range=7720,7735\nseeds=" << Ip << ":8166\n"
        << "bootstrap=true\nin_tolerance=false\nlimits.cpu_cores=1\n"
        << "limits.disk_mb=0\ndiscovery=platform\nentry=directory\n"
        << "heartbeat=1500ms\nfault_tolerance.machines=1\n"
        << "provider.address=" << StoreAddress << "\nprovider.form=kv\n"
        << "provider.history=20s\nprovider.value_bytes=1048576\n"
        << "provider.ttl_min=1000ms\n"
        << Terms;
    launch(Ip);
  }
  void launch(const std::string &Ip) {
    std::string File = m_Folder + "/" + Ip + ".conf";
    std::string Log = m_Folder + "/" + Ip + ".log";
    pid_t Pid = fork();
    if (Pid == 0) {
      int Fd = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Fd, 1);
      dup2(Fd, 2);
      setenv("RHUBARBSTACK_CONFIG", File.c_str(), 1);
      execl(m_Program.c_str(), m_Program.c_str(), "--metrics-port=9464",
            nullptr);
      _exit(127);
    }
    m_Pids[Ip] = Pid;
  }
  pid_t pid(const std::string &Ip) { return m_Pids[Ip]; }
  void signal(const std::string &Ip, int Signal) { kill(m_Pids[Ip], Signal); }
  // Returns whether a process has ended, and how.
  bool ended(const std::string &Ip, int &Status) {
    if (m_Pids[Ip] <= 0)
      return true;
    if (waitpid(m_Pids[Ip], &Status, WNOHANG) != m_Pids[Ip])
      return false;
    m_Pids[Ip] = 0;
    return true;
  }
  // Waits until a node says that it is ready.
  bool waitReady(const std::string &Ip, double Seconds = 20) {
    for (double End = seconds() + Seconds; seconds() < End; pause(0.1)) {
      int Fd = connectTo(Ip, ReadyPort);
      if (Fd < 0)
        continue;
      sendAll(Fd, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n");
      Reader From(Fd);
      Head Answer;
      bool Ready = From.readHead(Answer, 1) && Answer.status() == 200;
      close(Fd);
      if (Ready)
        return true;
    }
    return false;
  }

private:
  std::string m_Program, m_Folder;
  std::map<std::string, pid_t> m_Pids;
};

inline std::string requestText(const std::string &Method,
                               const std::string &Path, const std::string &Id,
                               int DeadlineMs, const std::string &Extra = "",
                               const std::string &Body = "",
                               bool WithLength = true) {
  std::string Text = Method + " " + Path +
                     " HTTP/1.1\r\nHost: site.example\r\n"
                     "X-Rhubarbstack-Request-Id: " +
                     Id + "\r\nX-Rhubarbstack-Request-Deadline: " +
                     std::to_string(DeadlineMs) + "\r\n" + Extra;
  if (WithLength && Method != "GET")
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Text + "\r\n" + Body;
}

} // namespace standin
