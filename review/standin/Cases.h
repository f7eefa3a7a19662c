// The cases of the review.
#pragma once

#include "Platform.h"

namespace review {

// Returns 1 if the rule was broken, 0 if it held, 2 if the case could not run.
int runCase(const std::string &Name, Deployment &Site, bool WithTrouble);

int earlyAnswer(Deployment &Site, bool WithTrouble);
int longAnswer(Deployment &Site, bool WithTrouble);
int plannedStop(Deployment &Site, bool WithTrouble);

} // namespace review
