// Counters, gauges and histograms of one process, by prometheus-cpp.
#pragma once

#include "rhubarb/Errors.h"
#include "rhubarb/Types.h"

#include <map>
#include <memory>
#include <string>

namespace rhubarb::net {

// Label values by label name.
using Labels = std::map<std::string, std::string>;

// The process's registry. Families are made at first use.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  // Adds to a counter; the family is made at first use.
  void count(const std::string &Name, const Labels &Values = {}, double By = 1);
  // Sets a gauge.
  void set(const std::string &Name, const Labels &Values, double Value);
  // Records a duration in seconds.
  void observe(const std::string &Name, const Labels &Values, Duration Value);
  // Counts a refusal or failure by its reason.
  void countRefusal(ErrorKind Kind, const std::string &Service);
  // Counts a retry by its reason.
  void countRetry(RetryReason Reason, const std::string &Service);
  // Returns the text exposition format.
  std::string text() const;

private:
  struct Families;
  std::unique_ptr<Families> m_Families;
};

} // namespace rhubarb::net
