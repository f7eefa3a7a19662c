// rhubarbctl: the operators' tool.
#include "Logs.h"

#include "net/Clock.h"
#include "net/ConfigStore.h"
#include "net/Daemon.h"
#include "net/Ini.h"
#include "net/Text.h"

#include <iomanip>
#include <iostream>

namespace rhubarb::ctl {

using namespace rhubarb::net;

namespace {

const char *const Usage =
    "rhubarbctl: the operators' tool.\n\n"
    "Usage:\n"
    "  rhubarbctl [options] validate FILE\n"
    "  rhubarbctl [options] apply FILE [--yes] [--wait]\n"
    "  rhubarbctl [options] show [--json]\n"
    "  rhubarbctl [options] history [--json]\n"
    "  rhubarbctl [options] rollback REVISION [--yes] [--wait]\n"
    "  rhubarbctl [options] drain ADDRESS [--yes] [--wait]\n"
    "  rhubarbctl [options] undrain ADDRESS [--wait]\n"
    "  rhubarbctl [options] status [--json]\n"
    "  rhubarbctl [options] explain SERVICE [--json]\n"
    "  rhubarbctl logs explain ID LOG...\n"
    "  rhubarbctl logs sum LOG...\n"
    "  rhubarbctl logs losses LOG...\n"
    "  rhubarbctl logs day [--every=SECONDS] LOG...\n"
    "  rhubarbctl (-h | --help)\n"
    "  rhubarbctl --version\n\n"
    "Options:\n"
    "  --platform=ADDRS   The platform's HTTP API, ip:port by commas\n"
    "                     [default: 127.0.0.1:8500].\n"
    "  --vms=IPS          Entry VMs by commas; empty: ask the platform\n"
    "                     [default: ].\n"
    "  --steer-port=PORT  Operator's port of rhubarb-steer [default: 9082].\n"
    "  --entry-port=PORT  Operator's port of rhubarb-entry [default: 9080].\n"
    "  --author=NAME      Written into the history [default: operator].\n"
    "  --yes              Make an edit that takes or shifts work without "
    "asking.\n"
    "  --wait             Wait until the edit is in force, and say where.\n"
    "  --every=SECONDS    Length of a line of logs day [default: 2].\n"
    "  --json             JSON instead of a table.\n\n"
    "Exit codes: 0 done; 1 failed or not in force everywhere; 2 unusable "
    "words,\n"
    "file or configuration; 3 conflict with another edit; 4 needs --yes;\n"
    "5 the store gave no answer: the edit may or may not have been accepted.\n";

constexpr int ExitConflict = 3;
constexpr int ExitNeedsYes = 4;
constexpr int ExitUnknown = 5;
constexpr Duration StoreTimeout = 3s;
constexpr Duration StatusTimeout = 1s;
constexpr Duration InForceLimit = 12s;
constexpr Duration InForcePoll = 200ms;

struct VmStatus {
  std::string m_Ip;
  Result<Json::Value> m_Steer = Error{ErrorKind::Internal, "no answer"};
};

class Tool {
public:
  Tool(asio::io_context &Io, const CommandLine &Line)
      : m_Io(Io), m_Line(Line), m_Client(Io, m_Reach, ""),
        m_Store(makeConsulStore(m_Client, splitCommas(Line.value("--platform")),
                                StoreTimeout)) {}

  asio::awaitable<int> run() {
    if (m_Line.flag("validate"))
      co_return validate();
    if (m_Line.flag("status"))
      co_return co_await status();
    if (m_Line.flag("explain"))
      co_return co_await explain();
    Result<LoadedConfig> Loaded = co_await loadHead(m_Store, 0, Duration{0});
    if (Loaded)
      Loaded = co_await loadSections(m_Store, Loaded.value());
    if (!Loaded) {
      std::cerr << Loaded.error().m_Message << "\n";
      co_return ExitFailed;
    }
    m_Base = Loaded.value();
    if (m_Line.flag("show"))
      co_return show();
    if (m_Line.flag("history"))
      co_return history();
    co_return co_await edit();
  }

private:
  Result<ConfigSections> readDocument() const {
    std::string Name = m_Line.value("FILE");
    Result<std::string> Text = readFile(Name);
    if (!Text)
      return Text.error();
    Result<ConfigSections> Sections = parseIni(Text.value());
    if (!Sections)
      return Error{ErrorKind::BadRequest,
                   Name + ": " + Sections.error().m_Message};
    return Sections;
  }

  static void printFaults(const std::vector<ConfigError> &Faults) {
    for (const ConfigError &Found : Faults)
      std::cerr << "[" << Found.m_Section << "] " << Found.m_Key << " = '"
                << Found.m_Value << "': " << Found.m_Message << "\n";
  }

  int validate() const {
    Result<ConfigSections> Sections = readDocument();
    if (!Sections) {
      std::cerr << Sections.error().m_Message << "\n";
      return ExitUsage;
    }
    ConfigCheck Check = checkConfig(Sections.value(), 0);
    printFaults(Check.m_Errors);
    if (!Check.m_Errors.empty())
      return ExitUsage;
    std::cout << "the configuration is good\n";
    return ExitOk;
  }

  int show() const {
    if (m_Line.flag("--json"))
      std::cout << compactJson(toJson(m_Base.m_Sections)) << "\n";
    else
      std::cout << "; revision " << m_Base.m_Head.m_Revision << "\n"
                << formatIni(m_Base.m_Sections);
    return ExitOk;
  }

  int history() const {
    Json::Value Rows(Json::arrayValue);
    for (const ConfigEdit &Edit : m_Base.m_Head.m_Edits) {
      Json::Value Row;
      Row["revision"] = static_cast<Json::UInt64>(Edit.m_Revision);
      Row["id"] = Edit.m_Id;
      Row["author"] = Edit.m_Author;
      Row["time_ms"] = static_cast<Json::Int64>(Edit.m_TimeMs);
      for (const SectionChange &Change : Edit.m_Changes)
        Row["sections"].append((Change.m_Removed ? "-" : "+") +
                               Change.m_Section);
      Rows.append(Row);
      if (m_Line.flag("--json"))
        continue;
      std::cout << std::setw(6) << Edit.m_Revision << "  " << Edit.m_Id << "  "
                << Edit.m_Author << " ";
      for (const SectionChange &Change : Edit.m_Changes)
        std::cout << (Change.m_Removed ? " -[" : " +[") << Change.m_Section
                  << "]";
      std::cout << "\n";
    }
    if (m_Line.flag("--json"))
      std::cout << compactJson(Rows) << "\n";
    return ExitOk;
  }

  // Document that the command asks for.
  Result<ConfigSections> wantedSections() const {
    if (m_Line.flag("apply"))
      return readDocument();
    ConfigSections Wanted = m_Base.m_Sections;
    std::string Section = "drain " + m_Line.value("ADDRESS");
    if (m_Line.flag("drain")) {
      Wanted[Section]["since"] = std::to_string(unixMillis());
      return Wanted;
    }
    if (m_Line.flag("undrain")) {
      Wanted.erase(Section);
      return Wanted;
    }
    return Error{ErrorKind::BadRequest, "unknown command"};
  }

  // Rebuilds an earlier revision from the checkpoint and the kept edits.
  asio::awaitable<Result<ConfigSections>> earlierSections() {
    std::uint64_t Revision =
        std::strtoull(m_Line.value("REVISION").c_str(), nullptr, 10);
    LoadedConfig Earlier = m_Base;
    std::erase_if(Earlier.m_Head.m_Edits, [&](const ConfigEdit &Edit) {
      return Edit.m_Revision > Revision;
    });
    if (Revision == 0 || Revision < m_Base.m_Head.m_CheckpointRevision ||
        Revision > m_Base.m_Head.m_Revision)
      co_return Error{ErrorKind::BadRequest,
                      "revision is not kept; see 'rhubarbctl history' from " +
                          std::to_string(m_Base.m_Head.m_CheckpointRevision)};
    Result<LoadedConfig> Loaded = co_await loadSections(m_Store, Earlier);
    if (!Loaded)
      co_return Loaded.error();
    co_return Loaded.value().m_Sections;
  }

  asio::awaitable<int> edit() {
    Result<ConfigSections> Wanted = wantedSections();
    if (m_Line.flag("rollback"))
      Wanted = co_await earlierSections();
    if (!Wanted) {
      std::cerr << Wanted.error().m_Message << "\n";
      co_return ExitUsage;
    }
    std::vector<SectionChange> Changes =
        diffConfig(m_Base.m_Sections, Wanted.value());
    printChanges(Changes);
    if (Changes.empty()) {
      std::cout << "nothing to change; revision " << m_Base.m_Head.m_Revision
                << "\n";
      co_return ExitOk;
    }
    std::vector<std::string> Warnings =
        riskyChangeWarnings(m_Base.m_Sections, Wanted.value());
    for (const std::string &Warning : Warnings)
      std::cerr << "this edit " << Warning << "\n";
    if (!Warnings.empty() && !m_Line.flag("--yes")) {
      std::cerr << "nothing has changed; say --yes to make it\n";
      co_return ExitNeedsYes;
    }
    EditResult End =
        co_await writeEdit(m_Store, m_Base, Changes, m_Line.value("--author"));
    co_return co_await reportEdit(End);
  }

  void printChanges(const std::vector<SectionChange> &Changes) const {
    for (const SectionChange &Change : Changes) {
      std::cout << (Change.m_Removed ? "- [" : "+ [") << Change.m_Section
                << "]\n";
      auto Old = m_Base.m_Sections.find(Change.m_Section);
      for (const auto &[Key, Value] : Change.m_Values) {
        bool Known =
            Old != m_Base.m_Sections.end() && Old->second.contains(Key);
        if (Known && Old->second.at(Key) == Value)
          continue;
        std::cout << "    " << Key << " = ";
        if (Known)
          std::cout << Old->second.at(Key) << " -> ";
        std::cout << Value << "\n";
      }
    }
  }

  asio::awaitable<int> reportEdit(const EditResult &End) {
    switch (End.m_Status) {
    case EditStatus::Accepted:
      std::cout << "accepted as revision " << End.m_Revision << "\n";
      if (m_Line.flag("--wait"))
        co_return co_await waitInForce(End.m_Revision);
      co_return ExitOk;
    case EditStatus::Invalid:
      printFaults(End.m_Faults);
      co_return ExitUsage;
    case EditStatus::Conflict:
      std::cerr << "conflict: " << End.m_ConflictingEdit.m_Author
                << " made revision " << End.m_ConflictingEdit.m_Revision
                << " first:";
      for (const SectionChange &Change : End.m_ConflictingEdit.m_Changes)
        std::cerr << (Change.m_Removed ? " -[" : " +[") << Change.m_Section
                  << "]";
      std::cerr << "\nlook at it and apply again\n";
      co_return ExitConflict;
    case EditStatus::Unknown:
      break;
    }
    std::cerr << End.m_Message << "\n";
    co_return ExitUnknown;
  }

  asio::awaitable<std::vector<std::string>> vmIps() {
    std::vector<std::string> Ips = splitCommas(m_Line.value("--vms"));
    if (!Ips.empty())
      co_return Ips;
    Result<Directory> Listed =
        co_await m_Store.m_ListDirectory("none", 0, Duration{0});
    if (!Listed) {
      std::cerr << Listed.error().m_Message << "; name the VMs by --vms\n";
      co_return Ips;
    }
    for (const ListedVm &Vm : Listed.value().m_Vms)
      Ips.push_back(Vm.m_Ip);
    co_return Ips;
  }

  asio::awaitable<Result<Json::Value>> ask(std::string Address,
                                           std::string Target) {
    HttpRequest Request;
    Request.m_Target = std::move(Target);
    HttpResult Got = co_await m_Client.send(Address, std::move(Request),
                                            now() + StatusTimeout);
    if (Got.m_Failure != HttpFailure::None)
      co_return Error{ErrorKind::HomeUnreachable, "no answer"};
    Result<Json::Value> Json = parseJson(Got.m_Response.m_Body);
    if (Json && !Json.value().isObject())
      co_return Error{ErrorKind::Internal, "unreadable"};
    co_return Json;
  }

  asio::awaitable<std::vector<VmStatus>> statuses() {
    std::vector<VmStatus> Rows;
    for (const std::string &Ip : co_await vmIps())
      Rows.push_back({Ip});
    auto Left = std::make_shared<std::size_t>(Rows.size());
    for (VmStatus &Row : Rows)
      spawn(m_Io,
            [](Tool *Self, VmStatus &Target,
               std::shared_ptr<std::size_t> Open) -> asio::awaitable<void> {
              Target.m_Steer = co_await Self->ask(
                  Target.m_Ip + ":" + Self->m_Line.value("--steer-port"),
                  "/v1/status");
              --*Open;
            }(this, Row, Left));
    constexpr Duration Poll = 5ms;
    while (*Left > 0)
      co_await sleepFor(Poll);
    co_return Rows;
  }

  // In force means at the entry process, where requests are decided.
  static bool inForceAt(const Json::Value &Status, std::uint64_t Revision) {
    return Status["revision"].asUInt64() >= Revision &&
           (!Status["entry_up"].asBool() ||
            Status["revision_at_entry"].asUInt64() >= Revision);
  }

  asio::awaitable<int> waitInForce(std::uint64_t Revision) {
    Time Began = now();
    std::map<std::string, std::pair<int, int>> ByDomain; // In force; asked.
    std::vector<std::string> Behind;
    do {
      ByDomain.clear();
      Behind.clear();
      for (const VmStatus &Row : co_await statuses()) {
        bool InForce = Row.m_Steer && inForceAt(Row.m_Steer.value(), Revision);
        std::string Domain = Row.m_Steer
                                 ? Row.m_Steer.value()["domain"].asString()
                                 : "(not reached)";
        ++ByDomain[Domain].second;
        ByDomain[Domain].first += InForce ? 1 : 0;
        if (!InForce)
          Behind.push_back(Row.m_Ip);
      }
      if (!Behind.empty())
        co_await sleepFor(InForcePoll);
    } while (!Behind.empty() && now() - Began < InForceLimit);
    for (const auto &[Domain, Counts] : ByDomain)
      std::cout << std::left << std::setw(20) << Domain << " in force on "
                << Counts.first << " of " << Counts.second << "\n";
    std::cout << "after " << (now() - Began) / std::chrono::milliseconds(1)
              << " ms\n";
    for (const std::string &Ip : Behind)
      std::cout << "not in force or not reached: " << Ip << "\n";
    co_return Behind.empty() ? ExitOk : ExitFailed;
  }

  asio::awaitable<int> status() {
    std::vector<VmStatus> Rows = co_await statuses();
    if (m_Line.flag("--json")) {
      Json::Value Json(Json::arrayValue);
      for (const VmStatus &Row : Rows)
        Json.append(Row.m_Steer ? Row.m_Steer.value() : Json::Value(Row.m_Ip));
      std::cout << compactJson(Json) << "\n";
      co_return ExitOk;
    }
    std::cout << std::left << std::setw(16) << "vm" << std::setw(14) << "domain"
              << std::setw(10) << "revision" << std::setw(8) << "live"
              << std::setw(10) << "headroom" << std::setw(9) << "waiting"
              << "warnings\n";
    bool AllAnswered = !Rows.empty();
    for (const VmStatus &Row : Rows) {
      AllAnswered = AllAnswered && Row.m_Steer;
      printStatus(Row);
    }
    co_return AllAnswered ? ExitOk : ExitFailed;
  }

  static void printStatus(const VmStatus &Row) {
    std::cout << std::left << std::setw(16) << Row.m_Ip;
    if (!Row.m_Steer) {
      std::cout << "not reached\n";
      return;
    }
    const Json::Value &Json = Row.m_Steer.value();
    int Live = 0;
    int Free = 0;
    int Waiting = 0;
    for (const Json::Value &Member : Json["members"]) {
      Live += Member["state"].asString() == "live" ? 1 : 0;
      if (Member["vm"].asString() != Row.m_Ip || !Member["pools"].isObject())
        continue;
      for (const Json::Value &Pool : Member["pools"]) {
        Free += Pool["free"].asInt();
        Waiting += Pool["waiting"].asInt();
      }
    }
    std::cout << std::setw(14) << Json["domain"].asString() << std::setw(10)
              << Json["revision"].asUInt64() << std::setw(8) << Live
              << std::setw(10) << Free << std::setw(9) << Waiting;
    for (const std::string &Name : Json["warnings"].isObject()
                                       ? Json["warnings"].getMemberNames()
                                       : std::vector<std::string>())
      std::cout << Name << ": " << Json["warnings"][Name].asString() << " ";
    std::cout << "\n";
  }

  asio::awaitable<int> explain() {
    bool Any = false;
    for (const std::string &Ip : co_await vmIps()) {
      Result<Json::Value> Got =
          co_await ask(Ip + ":" + m_Line.value("--entry-port"),
                       "/v1/explain?service=" + m_Line.value("SERVICE"));
      if (!Got) {
        std::cout << Ip << ": " << Got.error().m_Message << "\n";
        continue;
      }
      Any = true;
      if (m_Line.flag("--json")) {
        std::cout << compactJson(Got.value()) << "\n";
        continue;
      }
      std::cout << Ip << ":";
      for (const std::string &Name : Got.value().getMemberNames())
        std::cout << " " << Name << "=" << Got.value()[Name].asString();
      std::cout << "\n";
    }
    co_return Any ? ExitOk : ExitFailed;
  }

  asio::io_context &m_Io;
  const CommandLine &m_Line;
  Reachability m_Reach;
  HttpClient m_Client;
  Store m_Store;
  LoadedConfig m_Base;
};

int run(int Argc, char **Argv) {
  CommandLine Line = parseCommandLine(Usage, Argc, Argv);
  if (Line.flag("logs"))
    return readLogs(Line);
  asio::io_context Io{1};
  Tool Used(Io, Line);
  int Exit = ExitFailed;
  spawn(Io, [](Tool &Self, int &Code) -> asio::awaitable<void> {
    Code = co_await Self.run();
  }(Used, Exit));
  Io.run();
  return Exit;
}

} // namespace
} // namespace rhubarb::ctl

int main(int Argc, char **Argv) { return rhubarb::ctl::run(Argc, Argv); }
