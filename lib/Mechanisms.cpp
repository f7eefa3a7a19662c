#include "rhubarb/Mechanisms.h"

#include <algorithm>
#include <array>

namespace rhubarb {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(Mechanism::Count)>
    Names{"candidates", "spill",     "queue_inside", "waiting",
          "astray",     "lines",     "cold_waste",   "adoption",
          "usual_load", "run_times", "round_trips",  "places_told",
          "loads_told", "memory"};

} // namespace

std::string_view mechanismName(Mechanism Value) {
  return Names[static_cast<std::size_t>(Value)];
}

std::string DisabledMechanisms::toText() const {
  std::string Text;
  for (std::size_t I = 0; I < Names.size(); ++I) {
    if (!m_Bits.test(I))
      continue;
    Text += Text.empty() ? "" : ",";
    Text += Names[I];
  }
  return Text;
}

Result<DisabledMechanisms> DisabledMechanisms::parse(const std::string &Text) {
  DisabledMechanisms Set;
  std::size_t Start = 0;
  while (Start < Text.size()) {
    std::size_t End = std::min(Text.find(',', Start), Text.size());
    std::string Name = Text.substr(Start, End - Start);
    auto Position = std::find(Names.begin(), Names.end(), Name);
    if (Position == Names.end()) {
      std::string KnownNames;
      for (std::string_view Each : Names)
        KnownNames += " " + std::string(Each);
      return Error{ErrorKind::BadRequest,
                   "\"" + Name +
                       "\" is not a mechanism; known mechanisms:" + KnownNames};
    }
    Set.m_Bits.set(static_cast<std::size_t>(Position - Names.begin()));
    Start = End + 1;
  }
  return Set;
}

} // namespace rhubarb
