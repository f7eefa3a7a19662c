// Cost of decisions and tables: time, memory, allocations, by Google Benchmark
// and by counting.
#pragma once

#include <string>
#include <vector>

namespace rhubarb::bench {

// A measured cost and its bound.
struct CostFigure {
  std::string m_Name;
  double m_Value = 0;
  double m_Bound = 0;
  bool m_IsLowerBound = false; // Otherwise at most.
};

std::vector<CostFigure> measureCosts();

} // namespace rhubarb::bench
