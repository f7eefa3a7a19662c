#include "net/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace rhubarb::net {
namespace {

const prometheus::Histogram::BucketBoundaries LatencySeconds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0};

} // namespace

struct Metrics::Families {
  prometheus::Registry m_Registry;
  std::map<std::string, prometheus::Family<prometheus::Counter> *> m_Counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge> *> m_Gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram> *>
      m_Histograms;
};

Metrics::Metrics() : m_Families(std::make_unique<Families>()) {}
Metrics::~Metrics() = default;

void Metrics::count(const std::string &Name, const Labels &LabelValues,
                    double Amount) {
  auto *&Family = m_Families->m_Counters[Name];
  if (Family == nullptr)
    Family =
        &prometheus::BuildCounter().Name(Name).Register(m_Families->m_Registry);
  Family->Add(LabelValues).Increment(Amount);
}

void Metrics::set(const std::string &Name, const Labels &LabelValues,
                  double Value) {
  auto *&Family = m_Families->m_Gauges[Name];
  if (Family == nullptr)
    Family =
        &prometheus::BuildGauge().Name(Name).Register(m_Families->m_Registry);
  Family->Add(LabelValues).Set(Value);
}

void Metrics::observe(const std::string &Name, const Labels &LabelValues,
                      Duration Value) {
  auto *&Family = m_Families->m_Histograms[Name];
  if (Family == nullptr)
    Family = &prometheus::BuildHistogram().Name(Name).Register(
        m_Families->m_Registry);
  constexpr double MicrosPerSecond = 1e6;
  Family->Add(LabelValues, LatencySeconds)
      .Observe(static_cast<double>(Value.count()) / MicrosPerSecond);
}

void Metrics::countRefusal(ErrorKind Kind, const std::string &Service) {
  count(
      "rhubarb_refusals_total",
      {{"reason", std::string(errorInfo(Kind).m_Name)}, {"service", Service}});
}

void Metrics::countRetry(RetryReason Reason, const std::string &Service) {
  count(
      "rhubarb_retries_total",
      {{"reason", std::string(retryReasonName(Reason))}, {"service", Service}});
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(
      m_Families->m_Registry.Collect());
}

} // namespace rhubarb::net
