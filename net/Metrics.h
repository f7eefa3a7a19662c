// Counters, gauges and histograms of a process, through prometheus-cpp.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <map>
#include <memory>
#include <string>

namespace rhubarb::net {

// Label values by label name.
using Labels = std::map<std::string, std::string>;

// Metrics registry of a process. Metric families are registered on first use.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  // Increments a counter.
  void count(const std::string &Name, const Labels &LabelValues = {},
             double Amount = 1);
  // Sets a gauge.
  void set(const std::string &Name, const Labels &LabelValues, double Value);
  // Records a duration in seconds.
  void observe(const std::string &Name, const Labels &LabelValues,
               Duration Value);
  // Counts a refused or failed request by reason.
  void countRefusal(ErrorKind Kind, const std::string &Service);
  // Counts a retry by reason.
  void countRetry(RetryReason Reason, const std::string &Service);
  // Returns all metrics in the Prometheus text exposition format.
  std::string text() const;

private:
  struct Families;
  std::unique_ptr<Families> m_Families;
};

} // namespace rhubarb::net
