#include "Cases.h"

namespace review {

int runCase(const std::string &Name, Deployment &Site, bool WithTrouble) {
  if (Name == "early-answer")
    return earlyAnswer(Site, WithTrouble);
  if (Name == "long-answer")
    return longAnswer(Site, WithTrouble);
  if (Name == "planned-stop")
    return plannedStop(Site, WithTrouble);
  return 2;
}

} // namespace review
