#include "Platform.h"

#include <cstdlib>
#include <fstream>
#include <random>

namespace review {
namespace {

constexpr const char *Json = "application/json";

std::string jsonAnswer(int Status, const std::string &Body) {
  return responseText(Status, "Answer", {{"Content-Type", Json}}, Body);
}

// Returns the value of a string field of a flat JSON text.
std::string textField(const std::string &Body, const std::string &Name) {
  std::size_t At = Body.find("\"" + Name + "\"");
  if (At == std::string::npos)
    return {};
  std::size_t First = Body.find('"', Body.find(':', At)) + 1;
  return Body.substr(First, Body.find('"', First) - First);
}

std::string decodeQuery(const std::string &Text) {
  std::string Plain;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%') {
      Plain += Text[I];
      continue;
    }
    Plain += static_cast<char>(
        std::strtol(Text.substr(I + 1, 2).c_str(), nullptr, 16));
    I += 2;
  }
  return Plain;
}

std::string hexVersion(int Version) {
  std::string Text;
  for (int I = 0; I < 8; ++I, Version /= 16)
    Text.insert(0, 1, "0123456789abcdef"[Version % 16]);
  return Text;
}

} // namespace

void Store::start(const std::string &Ip, int Port) {
  acceptLoop(listenOn(Ip, Port),
             [this](const Socket &Client) { serve(Client); });
}

void Store::put(const std::string &Key, const std::string &Value) {
  std::lock_guard Guard(m_Mutex);
  m_Items[Key] = {encodeBase64(Value), ++m_Revision, false};
  m_Changed.notify_all();
}

void Store::remove(const std::string &Key) {
  std::lock_guard Guard(m_Mutex);
  m_Items[Key] = {"", ++m_Revision, true};
  m_Changed.notify_all();
}

void Store::serve(const Socket &Client) {
  constexpr long IdleMs = 60'000;
  Reader Requests(Client);
  while (std::optional<Message> Request = Requests.readMessage(IdleMs)) {
    std::string Text = answer(*Request);
    if (Client.send(Text) < Text.size())
      return;
  }
}

std::string Store::answer(const Message &Request) {
  std::string Target = Request.target();
  std::string Prefix = decodeQuery(queryValue(Target, "prefix"));
  std::string After = decodeQuery(queryValue(Target, "after"));
  if (Target.starts_with("/kv-range"))
    return range(Prefix, After);
  if (Target.starts_with("/kv-watch"))
    return watch(
        Prefix, std::strtoull(After.c_str(), nullptr, 10),
        std::strtol(queryValue(Target, "wait_ms").c_str(), nullptr, 10));
  std::lock_guard Guard(m_Mutex);
  if (Target.starts_with("/kv-lease") && Request.method() == "POST")
    return jsonAnswer(200, "{\"lease\":" + std::to_string(++m_Leases) +
                               ",\"ttl_time\":\"30000ms\"}");
  if (Target.starts_with("/kv-txn")) {
    write(Request.m_Body);
    return jsonAnswer(200, "{\"revision\":" + std::to_string(m_Revision) + "}");
  }
  return jsonAnswer(200, "{}");
}

std::string Store::itemJson(const std::string &Key, const Item &Row) {
  std::string Revision = std::to_string(Row.m_Revision);
  if (Row.m_Removed)
    return "{\"key\":\"" + Key + "\",\"revision\":" + Revision +
           ",\"deleted\":true}";
  return "{\"key\":\"" + Key + "\",\"value\":\"" + Row.m_Value +
         "\",\"revision\":" + Revision + ",\"created_rev\":" + Revision +
         ",\"lease\":0}";
}

std::string Store::range(const std::string &Prefix, const std::string &After) {
  std::lock_guard Guard(m_Mutex);
  std::string Items;
  for (const auto &[Key, Row] : m_Items)
    if (Key.starts_with(Prefix) && Key > After && !Row.m_Removed)
      Items += (Items.empty() ? "" : ",") + itemJson(Key, Row);
  return jsonAnswer(200, "{\"items\":[" + Items +
                             "],\"has_more\":false,\"store_revision\":" +
                             std::to_string(m_Revision) + "}");
}

std::string Store::watch(const std::string &Prefix, std::uint64_t After,
                         long WaitMs) {
  std::unique_lock Guard(m_Mutex);
  auto Events = [&] {
    std::map<std::uint64_t, std::string> Rows;
    for (const auto &[Key, Row] : m_Items)
      if (Key.starts_with(Prefix) && Row.m_Revision > After)
        Rows[Row.m_Revision] = itemJson(Key, Row);
    return Rows;
  };
  m_Changed.wait_for(Guard, std::chrono::milliseconds(WaitMs),
                     [&] { return !Events().empty(); });
  std::string Items;
  for (const auto &[Revision, Text] : Events())
    Items += (Items.empty() ? "" : ",") + Text;
  return jsonAnswer(200, "{\"events\":[" + Items + "],\"store_revision\":" +
                             std::to_string(m_Revision) + "}");
}

// Applies the one write of a transaction. The mutex is held.
void Store::write(const std::string &Body) {
  std::size_t At = Body.find("\"set_keys\"");
  std::string Rows = At == std::string::npos ? "" : Body.substr(At);
  std::string Key = textField(Rows, "key");
  if (Key.empty())
    return;
  m_Items[Key] = {textField(Rows, "value"), ++m_Revision, false};
  m_Changed.notify_all();
}

bool Deployment::start(const std::vector<RouteText> &Routes,
                       const std::vector<std::string> &Services) {
  constexpr int FirstPort = 20'000;
  constexpr int PortStep = 40;
  constexpr int PortChoices = 250;
  constexpr int Tries = 50;
  std::random_device Random;
  for (int Try = 0; Try < Tries && m_FrontPort == 0; ++Try) {
    m_Net = "127." + std::to_string(20 + Random() % 70);
    int Port = FirstPort + PortStep * static_cast<int>(Random() % PortChoices);
    bool Free = true;
    for (int I = 0; I < 30 && Free; ++I)
      Free = portIsFree(nodeIp(0), Port + I) &&
             portIsFree(storeIp(), Port + I) &&
             portIsFree(serverIp(0), Port + I);
    if (Free)
      m_FrontPort = Port;
  }
  if (m_FrontPort == 0)
    return false;
  m_Store.start(storeIp(), storePort());
  writeConfig(7, Routes, Services);
  return true;
}

void Deployment::writeConfig(int Version, const std::vector<RouteText> &Routes,
                             const std::vector<std::string> &Services) {
  std::string Text =
      "{\"version\":\"" + hexVersion(Version) + "\",\"services\":[";
  for (const std::string &Name : Services)
    Text += std::string(Text.ends_with('[') ? "" : ",") + "{\"name\":\"" +
            Name +
            "\",\"health_path\":\"/health\",\"max_connections\":360,"
            "\"protocol\":\"h1\",\"tls\":false,\"cold_start\":\"3s\","
            "\"cold_per_s\":15.0}";
  Text += "],\"limits\":{\"max_header_bytes\":16384,"
          "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
          "\"idle_timeout\":\"15000ms\"},\"base_version\":\"00000005\","
          "\"virtual_hosts\":[{\"hostname\":\"moulds.example\",\"paths\":[";
  for (const RouteText &Row : Routes)
    Text += std::string(Text.ends_with('[') ? "" : ",") + "{\"name\":\"" +
            Row.m_Name + "\",\"prefix\":\"" + Row.m_Prefix +
            "\",\"route_type\":\"" + Row.m_Type + "\",\"timeout\":\"" +
            Row.m_Timeout +
            "\",\"target_latency\":\"1000ms\",\"priority\":2,\"service\":\"" +
            Row.m_Service +
            "\",\"max_attempts\":" + std::to_string(Row.m_MaxAttempts) +
            ",\"session_affinity\":true,\"allowed_regions\":[]}";
  m_Store.put("op/config", Text + "]}]}");
}

void Deployment::listServer(const std::string &Id, const std::string &Service,
                            const std::string &Address, int Slots,
                            const std::string &State) {
  m_Store.put("servers/" + Id,
              "{\"address\":\"" + Address + "\",\"info\":{\"service\":\"" +
                  Service +
                  "\",\"version\":\"v1\",\"zone\":\"stredne-a\","
                  "\"concurrency\":" +
                  std::to_string(Slots) + "},\"status\":{\"state\":\"" + State +
                  "\",\"sequence\":4,\"cold_remaining\":\"0ms\"}}");
}

bool Deployment::startNode(int Node, int Nodes) {
  std::string Ip = nodeIp(Node);
  auto At = [&](int Port) { return Ip + ":" + std::to_string(Port); };
  std::string Seeds;
  for (int Other = 0; Other < Nodes; ++Other)
    Seeds += (Other == 0 ? "" : ",") + nodeIp(Other) + ":" +
             std::to_string(controlPort());
  std::string File = m_Directory + "/node-" + std::to_string(Node) + ".conf";
  std::ofstream(File)
      << "node_name=front-stredne-a-" << Node + 1
      << "\nrole=node\nmachine_class=front\nserves=front,directory,control"
      << "\nip=" << Ip << "\nzone=stredne-a\nregion=stredne"
      << "\nzones.stredne-a=stredne\nzones.vychod-a=vychod"
      << "\nlisten.front=" << At(m_FrontPort)
      << "\nlisten.ready=" << At(readyPort())
      << "\nlisten.control=" << At(controlPort())
      << "\nlisten.directory=" << At(directoryPort())
      << "\nport_range=" << peerPort() << "," << peerPort() + 5
      << "\nseeds=" << Seeds
      << "\nbootstrap=true\nlimits.cpu_share=0.2\nlimits.cpu_cores=1"
      << "\nlimits.memory_mb=260\nlimits.max_fds=4100"
      << "\nlimits.link_mbps=1000.0\nlimits.disk_mb=0"
      << "\ndiscovery=platform\nentry=directory\nheartbeat=1500ms"
      << "\ncontracts=base,drain,config,cost,retry,recover,places,platform"
      << "\nfault_tolerance.machines=1\nbounds.seed_lag=3s"
      << "\nbounds.addr_reuse=2s\nbounds.stable_window=4000ms"
      << "\nbounds.ack=5000ms\nbounds.catch_up=4s\nbounds.drain=2500ms"
      << "\nbounds.grace=6s\nbounds.loss_slack=200ms"
      << "\nbounds.config_apply=2500ms\nbounds.downgrade_slack=250ms"
      << "\nbounds.stretch_max=6000ms\nbounds.retry_budget_ratio=0.2"
      << "\nbounds.retry_window=10s\nbounds.retry_slack=60"
      << "\nbounds.cold_over=1.5\nbounds.cold_slack=5"
      << "\nbounds.evacuate=5000ms\nbounds.recovery=15s\nbounds.ttl_max=5s"
      << "\nbounds.shift_most=0.15\nprovider.address=" << storeIp() << ":"
      << storePort() << "\nprovider.form=kv\nprovider.writes_per_s=400"
      << "\nprovider.reads_per_s=2000\nprovider.history=20s"
      << "\nprovider.value_bytes=1048576\nprovider.ttl_min=1000ms\n";
  m_Nodes.push_back(std::make_unique<Process>(
      m_Program,
      std::vector<std::string>{"--metrics-port=" +
                               std::to_string(metricsPort())},
      std::vector<std::string>{"RHUBARBSTACK_CONFIG=" + File,
                               "PATH=/usr/bin:/bin", "LANG=C"},
      m_Directory + "/node-" + std::to_string(Node) + ".log"));
  m_Nodes.back()->start();
  constexpr long StartMs = 10'000;
  return waitUntilReady(Node, StartMs);
}

bool Deployment::waitUntilReady(int Node, long TimeoutMs) const {
  constexpr long PauseMs = 50;
  for (long End = elapsedMs() + TimeoutMs; elapsedMs() < End;
       sleepMs(PauseMs)) {
    Socket Asked = connectTo(nodeIp(Node), readyPort(), clientIp());
    if (!Asked)
      continue;
    Asked.send("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
    std::optional<Message> Answer = Reader(Asked).readMessage(1000);
    if (Answer && Answer->status() == 200)
      return true;
  }
  return false;
}

} // namespace review
