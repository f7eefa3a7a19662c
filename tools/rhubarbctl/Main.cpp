// rhubarbctl: the command-line tool for operators. Edits the configuration in
// the platform's store, shows the state of the entry VMs and analyses logs.
#include "Logs.h"

#include "net/Clock.h"
#include "net/ConfigStore.h"
#include "net/Daemon.h"
#include "net/FetchJson.h"
#include "net/Ini.h"
#include "net/Text.h"

#include <iomanip>
#include <iostream>

namespace rhubarb::ctl {

using namespace rhubarb::net;

namespace {

const char *const Usage =
    "rhubarbctl: command-line tool for operators.\n\n"
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
    "  --platform=ADDRS   Platform's HTTP API, ip:port, comma-separated\n"
    "                     [default: 127.0.0.1:8500].\n"
    "  --vms=IPS          IP addresses of entry VMs, comma-separated; empty:\n"
    "                     get them from the platform [default: ].\n"
    "  --steer-port=PORT  Operator port of rhubarb-steer [default: 9082].\n"
    "  --entry-port=PORT  Operator port of rhubarb-entry [default: 9080].\n"
    "  --author=NAME      Author recorded in the history [default: operator].\n"
    "  --yes              Confirm an edit that may remove capacity or move\n"
    "                     load.\n"
    "  --wait             Wait until the edit is in force, and print where.\n"
    "  --every=SECONDS    Length of the time window that each line of\n"
    "                     logs day covers [default: 2].\n"
    "  --json             Print JSON instead of a table.\n\n"
    "Exit codes: 0 success; 1 failed, or not in force everywhere; 2 invalid\n"
    "arguments, file or configuration; 3 conflict with another edit; 4 the\n"
    "edit needs --yes; 5 the store did not respond: the edit may or may not\n"
    "have been accepted.\n";

constexpr int ExitConflict = 3;
constexpr int ExitNotConfirmed = 4;
constexpr int ExitOutcomeUnknown = 5;
constexpr Duration StoreTimeout = 3s;
constexpr Duration StatusTimeout = 1s;
constexpr Duration InForceTimeout = 12s;
constexpr Duration InForcePollInterval = 200ms;

// Status that rhubarb-steer reports for an entry VM, or an error if it cannot
// be read.
struct VmStatus {
  std::string m_Ip;
  Result<Json::Value> m_Status = Error{ErrorKind::Internal, "no response"};
};

class OperatorTool {
public:
  OperatorTool(asio::io_context &Io, const CommandLine &Args)
      : m_Io(Io), m_Args(Args), m_Client(Io, m_Reachability, ""),
        m_Store(makeConsulStore(m_Client, splitCommas(Args.value("--platform")),
                                StoreTimeout)) {}

  asio::awaitable<int> run() {
    if (m_Args.flag("validate"))
      co_return validate();
    if (m_Args.flag("status"))
      co_return co_await status();
    if (m_Args.flag("explain"))
      co_return co_await explain();
    Result<LoadedConfig> Loaded = co_await loadHead(m_Store, 0, Duration{0});
    if (Loaded)
      Loaded = co_await loadSections(m_Store, Loaded.value());
    if (!Loaded) {
      std::cerr << Loaded.error().m_Message << "\n";
      co_return ExitFailed;
    }
    m_CurrentConfig = Loaded.value();
    if (m_Args.flag("show"))
      co_return show();
    if (m_Args.flag("history"))
      co_return history();
    co_return co_await applyEdit();
  }

private:
  Result<ConfigSections> readConfigFile() const {
    std::string Path = m_Args.value("FILE");
    Result<std::string> Content = readFile(Path);
    if (!Content)
      return Content.error();
    Result<ConfigSections> Sections = parseIni(Content.value());
    if (!Sections)
      return Error{ErrorKind::BadRequest,
                   Path + ": " + Sections.error().m_Message};
    return Sections;
  }

  static void printErrors(const std::vector<ConfigError> &Errors) {
    for (const ConfigError &Invalid : Errors)
      std::cerr << "[" << Invalid.m_Section << "] " << Invalid.m_Key << " = '"
                << Invalid.m_Value << "': " << Invalid.m_Message << "\n";
  }

  int validate() const {
    Result<ConfigSections> Sections = readConfigFile();
    if (!Sections) {
      std::cerr << Sections.error().m_Message << "\n";
      return ExitUsage;
    }
    ConfigCheck Check = checkConfig(Sections.value(), 0);
    printErrors(Check.m_Errors);
    if (!Check.m_Errors.empty())
      return ExitUsage;
    std::cout << "the configuration is valid\n";
    return ExitOk;
  }

  int show() const {
    if (m_Args.flag("--json"))
      std::cout << compactJson(toJson(m_CurrentConfig.m_Sections)) << "\n";
    else
      std::cout << "; revision " << m_CurrentConfig.m_Head.m_Revision << "\n"
                << formatIni(m_CurrentConfig.m_Sections);
    return ExitOk;
  }

  int history() const {
    Json::Value JsonEdits(Json::arrayValue);
    for (const ConfigEdit &Edit : m_CurrentConfig.m_Head.m_Edits) {
      Json::Value JsonEdit;
      JsonEdit["revision"] = static_cast<Json::UInt64>(Edit.m_Revision);
      JsonEdit["id"] = Edit.m_Id;
      JsonEdit["author"] = Edit.m_Author;
      JsonEdit["time_ms"] = static_cast<Json::Int64>(Edit.m_TimeMs);
      for (const SectionChange &Change : Edit.m_Changes)
        JsonEdit["sections"].append((Change.m_Removed ? "-" : "+") +
                                    Change.m_Section);
      JsonEdits.append(JsonEdit);
      if (m_Args.flag("--json"))
        continue;
      std::cout << std::setw(6) << Edit.m_Revision << "  " << Edit.m_Id << "  "
                << Edit.m_Author << " ";
      for (const SectionChange &Change : Edit.m_Changes)
        std::cout << (Change.m_Removed ? " -[" : " +[") << Change.m_Section
                  << "]";
      std::cout << "\n";
    }
    if (m_Args.flag("--json"))
      std::cout << compactJson(JsonEdits) << "\n";
    return ExitOk;
  }

  // Returns the configuration that results from an apply, drain or undrain
  // command.
  Result<ConfigSections> requestedSections() const {
    if (m_Args.flag("apply"))
      return readConfigFile();
    ConfigSections Requested = m_CurrentConfig.m_Sections;
    std::string Section = "drain " + m_Args.value("ADDRESS");
    if (m_Args.flag("drain")) {
      Requested[Section]["since"] = std::to_string(unixMillis());
      return Requested;
    }
    if (m_Args.flag("undrain")) {
      Requested.erase(Section);
      return Requested;
    }
    return Error{ErrorKind::BadRequest, "unknown command"};
  }

  // Reconstructs an earlier revision from the checkpoint and the edits kept in
  // the head.
  asio::awaitable<Result<ConfigSections>> sectionsAtRevision() {
    std::uint64_t Revision =
        std::strtoull(m_Args.value("REVISION").c_str(), nullptr, 10);
    LoadedConfig ConfigAtRevision = m_CurrentConfig;
    std::erase_if(ConfigAtRevision.m_Head.m_Edits, [&](const ConfigEdit &Edit) {
      return Edit.m_Revision > Revision;
    });
    if (Revision == 0 ||
        Revision < m_CurrentConfig.m_Head.m_CheckpointRevision ||
        Revision > m_CurrentConfig.m_Head.m_Revision)
      co_return Error{
          ErrorKind::BadRequest,
          "revision is not available; run 'rhubarbctl history' to list the "
          "revisions from " +
              std::to_string(m_CurrentConfig.m_Head.m_CheckpointRevision)};
    Result<LoadedConfig> Loaded =
        co_await loadSections(m_Store, ConfigAtRevision);
    if (!Loaded)
      co_return Loaded.error();
    co_return Loaded.value().m_Sections;
  }

  asio::awaitable<int> applyEdit() {
    Result<ConfigSections> Requested = requestedSections();
    if (m_Args.flag("rollback"))
      Requested = co_await sectionsAtRevision();
    if (!Requested) {
      std::cerr << Requested.error().m_Message << "\n";
      co_return ExitUsage;
    }
    std::vector<SectionChange> Changes =
        diffConfig(m_CurrentConfig.m_Sections, Requested.value());
    printChanges(Changes);
    if (Changes.empty()) {
      std::cout << "nothing to change; revision "
                << m_CurrentConfig.m_Head.m_Revision << "\n";
      co_return ExitOk;
    }
    std::vector<std::string> Warnings =
        riskyChangeWarnings(m_CurrentConfig.m_Sections, Requested.value());
    for (const std::string &Warning : Warnings)
      std::cerr << "this edit " << Warning << "\n";
    if (!Warnings.empty() && !m_Args.flag("--yes")) {
      std::cerr << "nothing has been changed; confirm the edit with --yes\n";
      co_return ExitNotConfirmed;
    }
    EditResult EditOutcome = co_await writeEdit(
        m_Store, m_CurrentConfig, Changes, m_Args.value("--author"));
    co_return co_await reportEdit(EditOutcome);
  }

  void printChanges(const std::vector<SectionChange> &Changes) const {
    for (const SectionChange &Change : Changes) {
      std::cout << (Change.m_Removed ? "- [" : "+ [") << Change.m_Section
                << "]\n";
      auto OldSection = m_CurrentConfig.m_Sections.find(Change.m_Section);
      for (const auto &[Key, Value] : Change.m_Values) {
        bool HasOldValue = OldSection != m_CurrentConfig.m_Sections.end() &&
                           OldSection->second.contains(Key);
        if (HasOldValue && OldSection->second.at(Key) == Value)
          continue;
        std::cout << "    " << Key << " = ";
        if (HasOldValue)
          std::cout << OldSection->second.at(Key) << " -> ";
        std::cout << Value << "\n";
      }
    }
  }

  asio::awaitable<int> reportEdit(const EditResult &EditOutcome) {
    switch (EditOutcome.m_Status) {
    case EditStatus::Accepted:
      std::cout << "accepted as revision " << EditOutcome.m_Revision << "\n";
      if (m_Args.flag("--wait"))
        co_return co_await waitUntilInForce(EditOutcome.m_Revision);
      co_return ExitOk;
    case EditStatus::Invalid:
      printErrors(EditOutcome.m_Faults);
      co_return ExitUsage;
    case EditStatus::Conflict:
      std::cerr << "conflict: " << EditOutcome.m_ConflictingEdit.m_Author
                << " made revision " << EditOutcome.m_ConflictingEdit.m_Revision
                << " first:";
      for (const SectionChange &Change :
           EditOutcome.m_ConflictingEdit.m_Changes)
        std::cerr << (Change.m_Removed ? " -[" : " +[") << Change.m_Section
                  << "]";
      std::cerr << "\nreview that edit and repeat the command\n";
      co_return ExitConflict;
    case EditStatus::Unknown:
      break;
    }
    std::cerr << EditOutcome.m_Message << "\n";
    co_return ExitOutcomeUnknown;
  }

  asio::awaitable<std::vector<std::string>> listVmIps() {
    std::vector<std::string> Ips = splitCommas(m_Args.value("--vms"));
    if (!Ips.empty())
      co_return Ips;
    Result<Directory> PlatformVms =
        co_await m_Store.m_ListDirectory("none", 0, Duration{0});
    if (!PlatformVms) {
      std::cerr << PlatformVms.error().m_Message
                << "; specify the VMs with --vms\n";
      co_return Ips;
    }
    for (const ListedVm &Vm : PlatformVms.value().m_Vms)
      Ips.push_back(Vm.m_Ip);
    co_return Ips;
  }

  asio::awaitable<std::vector<VmStatus>> fetchStatuses() {
    std::vector<VmStatus> Rows;
    for (const std::string &Ip : co_await listVmIps())
      Rows.push_back({Ip});
    auto PendingCount = std::make_shared<std::size_t>(Rows.size());
    for (VmStatus &Row : Rows)
      spawn(m_Io,
            [](OperatorTool *Owner, VmStatus &Queried,
               std::shared_ptr<std::size_t> Pending) -> asio::awaitable<void> {
              Queried.m_Status = co_await fetchJson(
                  Owner->m_Client,
                  Queried.m_Ip + ":" + Owner->m_Args.value("--steer-port"),
                  "/v1/status", now() + StatusTimeout);
              --*Pending;
            }(this, Row, PendingCount));
    constexpr Duration PollInterval = 5ms;
    while (*PendingCount > 0)
      co_await sleepFor(PollInterval);
    co_return Rows;
  }

  // Returns whether a revision is in force on a VM: at rhubarb-steer and also
  // at the entry process, which makes the decisions about requests, unless the
  // entry process is down.
  static bool isInForce(const Json::Value &Status, std::uint64_t Revision) {
    return Status["revision"].asUInt64() >= Revision &&
           (!Status["entry_up"].asBool() ||
            Status["revision_at_entry"].asUInt64() >= Revision);
  }

  asio::awaitable<int> waitUntilInForce(std::uint64_t Revision) {
    Time StartTime = now();
    // By failure domain: the number of VMs on which the revision is in force,
    // and the number of VMs queried.
    std::map<std::string, std::pair<int, int>> CountsByDomain;
    std::vector<std::string> BehindIps;
    do {
      CountsByDomain.clear();
      BehindIps.clear();
      for (const VmStatus &Row : co_await fetchStatuses()) {
        bool InForce =
            Row.m_Status && isInForce(Row.m_Status.value(), Revision);
        std::string Domain = Row.m_Status
                                 ? Row.m_Status.value()["domain"].asString()
                                 : "(not reached)";
        ++CountsByDomain[Domain].second;
        CountsByDomain[Domain].first += InForce ? 1 : 0;
        if (!InForce)
          BehindIps.push_back(Row.m_Ip);
      }
      if (!BehindIps.empty())
        co_await sleepFor(InForcePollInterval);
    } while (!BehindIps.empty() && now() - StartTime < InForceTimeout);
    for (const auto &[Domain, Counts] : CountsByDomain)
      std::cout << std::left << std::setw(20) << Domain << " in force on "
                << Counts.first << " of " << Counts.second << "\n";
    std::cout << "after " << (now() - StartTime) / std::chrono::milliseconds(1)
              << " ms\n";
    for (const std::string &Ip : BehindIps)
      std::cout << "not in force or not reached: " << Ip << "\n";
    co_return BehindIps.empty() ? ExitOk : ExitFailed;
  }

  asio::awaitable<int> status() {
    std::vector<VmStatus> Rows = co_await fetchStatuses();
    if (m_Args.flag("--json")) {
      Json::Value JsonRows(Json::arrayValue);
      for (const VmStatus &Row : Rows)
        JsonRows.append(Row.m_Status ? Row.m_Status.value()
                                     : Json::Value(Row.m_Ip));
      std::cout << compactJson(JsonRows) << "\n";
      co_return ExitOk;
    }
    std::cout << std::left << std::setw(16) << "vm" << std::setw(14) << "domain"
              << std::setw(10) << "revision" << std::setw(8) << "live"
              << std::setw(10) << "headroom" << std::setw(9) << "waiting"
              << "warnings\n";
    bool AllResponded = !Rows.empty();
    for (const VmStatus &Row : Rows) {
      AllResponded = AllResponded && Row.m_Status;
      printStatus(Row);
    }
    co_return AllResponded ? ExitOk : ExitFailed;
  }

  static void printStatus(const VmStatus &Row) {
    std::cout << std::left << std::setw(16) << Row.m_Ip;
    if (!Row.m_Status) {
      std::cout << "not reached\n";
      return;
    }
    const Json::Value &Status = Row.m_Status.value();
    int LiveMembers = 0;
    int FreeSlots = 0;
    int WaitingRequests = 0;
    for (const Json::Value &Member : Status["members"]) {
      LiveMembers += Member["state"].asString() == "live" ? 1 : 0;
      if (Member["vm"].asString() != Row.m_Ip || !Member["pools"].isObject())
        continue;
      for (const Json::Value &Pool : Member["pools"]) {
        FreeSlots += Pool["free"].asInt();
        WaitingRequests += Pool["waiting"].asInt();
      }
    }
    std::cout << std::setw(14) << Status["domain"].asString() << std::setw(10)
              << Status["revision"].asUInt64() << std::setw(8) << LiveMembers
              << std::setw(10) << FreeSlots << std::setw(9) << WaitingRequests;
    for (const std::string &Warning : Status["warnings"].isObject()
                                          ? Status["warnings"].getMemberNames()
                                          : std::vector<std::string>())
      std::cout << Warning << ": " << Status["warnings"][Warning].asString()
                << " ";
    std::cout << "\n";
  }

  asio::awaitable<int> explain() {
    bool AnyResponded = false;
    for (const std::string &Ip : co_await listVmIps()) {
      Result<Json::Value> Explanation =
          co_await fetchJson(m_Client, Ip + ":" + m_Args.value("--entry-port"),
                             "/v1/explain?service=" + m_Args.value("SERVICE"),
                             now() + StatusTimeout);
      if (!Explanation) {
        std::cout << Ip << ": " << Explanation.error().m_Message << "\n";
        continue;
      }
      AnyResponded = true;
      if (m_Args.flag("--json")) {
        std::cout << compactJson(Explanation.value()) << "\n";
        continue;
      }
      std::cout << Ip << ":";
      for (const std::string &Field : Explanation.value().getMemberNames())
        std::cout << " " << Field << "="
                  << Explanation.value()[Field].asString();
      std::cout << "\n";
    }
    co_return AnyResponded ? ExitOk : ExitFailed;
  }

  asio::io_context &m_Io;
  const CommandLine &m_Args;
  Reachability m_Reachability;
  HttpClient m_Client;
  Store m_Store;
  LoadedConfig m_CurrentConfig;
};

int run(int Argc, char **Argv) {
  CommandLine Args = parseCommandLine(Usage, Argc, Argv);
  if (Args.flag("logs"))
    return runLogsCommand(Args);
  asio::io_context Io{1};
  OperatorTool Tool(Io, Args);
  int ExitCode = ExitFailed;
  spawn(
      Io,
      [](OperatorTool &RunningTool, int &ExitStatus) -> asio::awaitable<void> {
        ExitStatus = co_await RunningTool.run();
      }(Tool, ExitCode));
  Io.run();
  return ExitCode;
}

} // namespace
} // namespace rhubarb::ctl

int main(int Argc, char **Argv) { return rhubarb::ctl::run(Argc, Argv); }
