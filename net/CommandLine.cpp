#include "net/Daemon.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>

namespace rhubarb::net {

bool CommandLine::flag(const std::string &Name) const {
  auto Found = m_Flags.find(Name);
  return Found != m_Flags.end() && Found->second;
}

std::string CommandLine::value(const std::string &Name) const {
  auto Found = m_Values.find(Name);
  return Found == m_Values.end() ? std::string() : Found->second;
}

std::vector<std::string> CommandLine::list(const std::string &Name) const {
  auto Found = m_Lists.find(Name);
  return Found == m_Lists.end() ? std::vector<std::string>() : Found->second;
}

CommandLine parseCommandLine(const std::string &Usage, int Argc, char **Argv) {
  std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  CommandLine Parsed;
  try {
    for (const auto &[Name, Value] :
         docopt::docopt_parse(Usage, Arguments, true, true)) {
      if (Value.isBool())
        Parsed.m_Flags[Name] = Value.asBool();
      else if (Value.isLong())
        Parsed.m_Values[Name] = std::to_string(Value.asLong());
      else if (Value.isString())
        Parsed.m_Values[Name] = Value.asString();
      else if (Value.isStringList())
        Parsed.m_Lists[Name] = Value.asStringList();
    }
  } catch (const docopt::DocoptExitHelp &) {
    std::cout << Usage << "\n";
    std::exit(ExitOk); // NOLINT(concurrency-mt-unsafe)
  } catch (const docopt::DocoptExitVersion &) {
    std::cout << RHUBARB_VERSION << "\n";
    std::exit(ExitOk); // NOLINT(concurrency-mt-unsafe)
  } catch (const std::exception &Thrown) {
    std::cerr << Thrown.what() << "\n" << Usage << "\n";
    std::exit(ExitUsage); // NOLINT(concurrency-mt-unsafe)
  }
  return Parsed;
}

} // namespace rhubarb::net
