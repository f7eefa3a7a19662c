// Measures what dispatch decisions, tables and logging cost. CPU time is
// measured with Google Benchmark; the time to load a table, memory and
// allocations are measured directly.
#pragma once

#include <string>
#include <vector>

namespace rhubarb::bench {

// A measured cost and the bound that it must keep.
struct CostFigure {
  std::string m_Name;
  double m_Value = 0;
  double m_Bound = 0;
  // Whether the value must reach the bound. Otherwise it must not exceed it.
  bool m_IsLowerBound = false;
};

std::vector<CostFigure> measureCosts();

} // namespace rhubarb::bench
