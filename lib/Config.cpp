#include "rhubarb/Config.h"

#include <algorithm>
#include <charconv>

namespace rhubarb {
namespace {

constexpr int MaxFloorSumPercent = 90;

// Reads the values of a section and collects validation errors.
class SectionReader {
public:
  SectionReader(std::string Section, const SectionValues &Values,
                std::vector<ConfigError> &Errors)
      : m_Section(std::move(Section)), m_Values(Values), m_Errors(Errors) {}

  std::string text(const std::string &Key) {
    const std::string *Value = find(Key);
    if (Value == nullptr || Value->empty()) {
      addError(Key, "", "is missing");
      return {};
    }
    return *Value;
  }

  std::int64_t number(const std::string &Key, std::int64_t Min,
                      std::int64_t Max, std::int64_t Default) {
    const std::string *Value = find(Key);
    if (Value == nullptr)
      return Default;
    std::int64_t Parsed = 0;
    const char *End = Value->data() + Value->size();
    auto [Stop, Error] = std::from_chars(Value->data(), End, Parsed);
    if (Error != std::errc() || Stop != End || Parsed < Min || Parsed > Max)
      addError(Key, *Value,
               "takes a whole number from " + std::to_string(Min) + " to " +
                   std::to_string(Max));
    return Parsed;
  }

  bool yesNo(const std::string &Key, bool Default) {
    const std::string *Value = find(Key);
    if (Value == nullptr)
      return Default;
    if (*Value != "yes" && *Value != "no")
      addError(Key, *Value, "takes yes or no");
    return *Value == "yes";
  }

  template <typename Enum>
  Enum enumValue(const std::string &Key,
                 std::optional<Enum> (*Parse)(std::string_view), Enum Default,
                 const char *Allowed) {
    const std::string *Value = find(Key);
    if (Value == nullptr)
      return Default;
    std::optional<Enum> Parsed = Parse(*Value);
    if (!Parsed)
      addError(Key, *Value, std::string("takes ") + Allowed);
    return Parsed.value_or(Default);
  }

  void addError(const std::string &Key, const std::string &Value,
                const std::string &Text) {
    m_Errors.push_back({m_Section, Key, Value, Text});
  }

  // Reports the keys that no earlier call has read.
  void reportUnknownKeys() {
    for (const auto &[Key, Value] : m_Values)
      if (std::find(m_KeysRead.begin(), m_KeysRead.end(), Key) ==
          m_KeysRead.end())
        addError(Key, Value, "is not a key of this section");
  }

private:
  const std::string *find(const std::string &Key) {
    m_KeysRead.push_back(Key);
    auto Found = m_Values.find(Key);
    return Found == m_Values.end() ? nullptr : &Found->second;
  }

  std::string m_Section;
  const SectionValues &m_Values;
  std::vector<ConfigError> &m_Errors;
  std::vector<std::string> m_KeysRead;
};

// Names that a service refers to. They are resolved after all sections have
// been read.
struct ServiceReferences {
  std::string m_Profile;
  std::string m_Pool;
};

// Splits "kind name rest" at the first space.
std::pair<std::string, std::string> splitFirstWord(const std::string &Text) {
  std::size_t Space = Text.find(' ');
  if (Space == std::string::npos)
    return {Text, ""};
  return {Text.substr(0, Space), Text.substr(Space + 1)};
}

Profile readProfile(const std::string &Name, SectionReader &Reader) {
  Profile Row;
  Row.m_Name = Name;
  Row.m_Priority = Reader.enumValue<Priority>(
      "urgency", parsePriority, Priority::Normal, "urgent, normal or batch");
  Row.m_Reach = Reader.enumValue<Reach>("reach", parseReach, Reach::Region,
                                        "domain, region or global");
  Row.m_Worth = static_cast<int>(Reader.number("worth", 1, 1000, 1));
  Row.m_FloorPercent =
      static_cast<int>(Reader.number("floor_percent", 0, 50, 0));
  Row.m_Deadline =
      std::chrono::milliseconds(Reader.number("deadline_ms", 10, 600000, 2000));
  Row.m_Idempotent = Reader.yesNo("idempotent", false);
  return Row;
}

Pool readPool(const std::string &Name, SectionReader &Reader) {
  Pool Row;
  Row.m_Name = Name;
  Row.m_SlotsPerServer = static_cast<int>(Reader.number("slots", 1, 10000, 1));
  Row.m_ServiceTime =
      std::chrono::milliseconds(Reader.number("service_ms", 1, 600000, 50));
  return Row;
}

template <typename Row>
int indexOf(const std::vector<Row> &Rows, std::string_view Name) {
  for (std::size_t I = 0; I < Rows.size(); ++I)
    if (Rows[I].m_Name == Name)
      return static_cast<int>(I);
  return -1;
}

// Returns the rows of Old, updated from Next and marked as removed if Next
// lacks them, followed by the rows that only Next contains.
template <typename Row>
std::vector<Row> mergeKeepingIndexes(const std::vector<Row> &Old,
                                     const std::vector<Row> &Next) {
  std::vector<Row> Merged = Old;
  for (Row &Each : Merged)
    Each.m_Removed = true;
  for (const Row &Each : Next) {
    int Index = indexOf(Merged, Each.m_Name);
    if (Index < 0)
      Merged.push_back(Each);
    else
      Merged[static_cast<std::size_t>(Index)] = Each;
  }
  return Merged;
}

// Resolves the names that services refer to, and reports unknown ones.
void resolveServices(const std::vector<ServiceReferences> &References,
                     ConfigCheck &Check) {
  Configuration &Config = Check.m_Configuration;
  for (std::size_t I = 0; I < References.size(); ++I) {
    Service &Row = Config.m_Services[I];
    Row.m_Profile = indexOf(Config.m_Profiles, References[I].m_Profile);
    Row.m_Pool = indexOf(Config.m_Pools, References[I].m_Pool);
    std::string Section = "service " + Row.m_Name;
    if (Row.m_Profile < 0 && !References[I].m_Profile.empty())
      Check.m_Errors.push_back({Section, "profile", References[I].m_Profile,
                                "does not name a profile in this document"});
    if (Row.m_Pool < 0 && !References[I].m_Pool.empty())
      Check.m_Errors.push_back({Section, "pool", References[I].m_Pool,
                                "does not name a pool in this document"});
  }
}

// Floors are guaranteed, so their sum must leave capacity for urgent requests.
void checkFloors(ConfigCheck &Check) {
  int Sum = 0;
  for (const Profile &Row : Check.m_Configuration.m_Profiles)
    Sum += Row.m_FloorPercent;
  if (Sum > MaxFloorSumPercent)
    Check.m_Errors.push_back({"profile *", "floor_percent", std::to_string(Sum),
                              "the sum of all floors may be at most " +
                                  std::to_string(MaxFloorSumPercent)});
}

void checkLinks(ConfigCheck &Check) {
  for (const Link &Row : Check.m_Configuration.m_Links)
    for (const std::string &Region : {Row.m_From, Row.m_To}) {
      const auto &Domains = Check.m_Configuration.m_Domains;
      bool Known = std::any_of(
          Domains.begin(), Domains.end(),
          [&](const FailureDomain &D) { return D.m_Region == Region; });
      if (!Known)
        Check.m_Errors.push_back({"link " + Row.m_From + " " + Row.m_To, "",
                                  Region,
                                  "does not name a region in this document"});
    }
}

} // namespace

const Service *Configuration::findService(std::string_view Name) const {
  int Index = indexOf(m_Services, Name);
  if (Index < 0 || m_Services[static_cast<std::size_t>(Index)].m_Removed)
    return nullptr;
  return &m_Services[static_cast<std::size_t>(Index)];
}

int Configuration::findPoolIndex(std::string_view Name) const {
  int Index = indexOf(m_Pools, Name);
  if (Index < 0 || m_Pools[static_cast<std::size_t>(Index)].m_Removed)
    return -1;
  return Index;
}

std::string_view Configuration::regionOf(std::string_view Domain) const {
  int Index = indexOf(m_Domains, Domain);
  return Index < 0 ? std::string_view()
                   : m_Domains[static_cast<std::size_t>(Index)].m_Region;
}

bool Configuration::isDrained(std::string_view Address) const {
  return std::find(m_Drains.begin(), m_Drains.end(), Address) != m_Drains.end();
}

ConfigCheck checkConfig(const ConfigSections &Sections,
                        std::uint64_t Revision) {
  ConfigCheck Check;
  Configuration &Config = Check.m_Configuration;
  Config.m_Revision = Revision;
  std::vector<ServiceReferences> References;
  for (const auto &[Section, Values] : Sections) {
    auto [Kind, Name] = splitFirstWord(Section);
    SectionReader Reader(Section, Values, Check.m_Errors);
    if (Name.empty()) {
      Reader.addError("", "", "section name must have the form KIND NAME");
      continue;
    }
    if (Kind == "profile") {
      Config.m_Profiles.push_back(readProfile(Name, Reader));
    } else if (Kind == "pool") {
      Config.m_Pools.push_back(readPool(Name, Reader));
    } else if (Kind == "service") {
      Config.m_Services.push_back({Name, -1, -1});
      References.push_back({Reader.text("profile"), Reader.text("pool")});
    } else if (Kind == "domain") {
      Config.m_Domains.push_back({Name, Reader.text("region")});
    } else if (Kind == "link") {
      auto [From, To] = splitFirstWord(Name);
      constexpr std::int64_t BytesPerMegabit = 125000;
      Config.m_Links.push_back(
          {From, To,
           Reader.number("cap_mbit", 1, 1000000, 4000) * BytesPerMegabit});
    } else if (Kind == "drain") {
      Config.m_Drains.push_back(Name);
      Reader.number("since", 0, INT64_MAX, 0);
    } else {
      Reader.addError("", Kind,
                      "takes profile, pool, service, domain, link or drain");
      continue;
    }
    Reader.reportUnknownKeys();
  }
  resolveServices(References, Check);
  checkFloors(Check);
  checkLinks(Check);
  return Check;
}

void preserveIndexes(const Configuration &Old, Configuration &Next) {
  std::vector<Profile> Profiles =
      mergeKeepingIndexes(Old.m_Profiles, Next.m_Profiles);
  std::vector<Pool> Pools = mergeKeepingIndexes(Old.m_Pools, Next.m_Pools);
  for (Service &Row : Next.m_Services) {
    const Profile &Chosen =
        Next.m_Profiles[static_cast<std::size_t>(Row.m_Profile)];
    const Pool &Used = Next.m_Pools[static_cast<std::size_t>(Row.m_Pool)];
    Row.m_Profile = indexOf(Profiles, Chosen.m_Name);
    Row.m_Pool = indexOf(Pools, Used.m_Name);
  }
  Next.m_Services = mergeKeepingIndexes(Old.m_Services, Next.m_Services);
  Next.m_Profiles = std::move(Profiles);
  Next.m_Pools = std::move(Pools);
}

std::vector<SectionChange> diffConfig(const ConfigSections &From,
                                      const ConfigSections &To) {
  std::vector<SectionChange> Changes;
  for (const auto &[Section, Values] : From)
    if (!To.contains(Section))
      Changes.push_back({Section, true, {}});
  for (const auto &[Section, Values] : To) {
    auto Old = From.find(Section);
    if (Old == From.end() || Old->second != Values)
      Changes.push_back({Section, false, Values});
  }
  return Changes;
}

std::vector<std::string> riskyChangeWarnings(const ConfigSections &From,
                                             const ConfigSections &To) {
  constexpr int MaxDrainsAtOnce = 3;
  std::vector<std::string> Warnings;
  int NewDrains = 0;
  for (const SectionChange &Change : diffConfig(From, To)) {
    auto [Kind, Name] = splitFirstWord(Change.m_Section);
    bool Known = From.contains(Change.m_Section);
    if (Kind == "drain" && !Change.m_Removed && !Known)
      ++NewDrains;
    if (Change.m_Removed && Kind != "drain")
      Warnings.push_back("removes [" + Change.m_Section + "]");
    if (Kind != "profile" || Change.m_Removed || !Known)
      continue;
    const SectionValues &Old = From.at(Change.m_Section);
    for (const char *Key : {"urgency", "reach", "idempotent"}) {
      auto Before = Old.find(Key);
      auto After = Change.m_Values.find(Key);
      bool Unchanged = Before == Old.end()
                           ? After == Change.m_Values.end()
                           : After != Change.m_Values.end() &&
                                 Before->second == After->second;
      if (!Unchanged)
        Warnings.push_back("changes " + std::string(Key) + " of profile " +
                           Name);
    }
  }
  if (NewDrains > MaxDrainsAtOnce)
    Warnings.push_back("drains " + std::to_string(NewDrains) + " at once");
  return Warnings;
}

void applyChanges(ConfigSections &Sections,
                  const std::vector<SectionChange> &Changes) {
  for (const SectionChange &Change : Changes)
    if (Change.m_Removed)
      Sections.erase(Change.m_Section);
    else
      Sections[Change.m_Section] = Change.m_Values;
}

} // namespace rhubarb
