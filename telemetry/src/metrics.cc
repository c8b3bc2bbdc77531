#include "cardamomchute/telemetry/metrics.h"

#include <algorithm>

namespace cardamomchute {
namespace {

constexpr unsigned kBuckets = 140;  // 7 decades, 20 buckets each
constexpr double kLowestMicros = 10;
constexpr double kHighestMicros = 1e8;
constexpr double kMicrosPerSecond = 1e6;
constexpr char kPrefix[] = "cardamomchute_";

std::string Braces(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

template <typename T, typename Key>
T& Find(std::map<Key, std::unique_ptr<T>>* all, Key key) {
  std::unique_ptr<T>& found = (*all)[std::move(key)];
  if (!found) found = std::make_unique<T>();
  return *found;
}

template <typename Map>
void PrintValues(const Map& all, const char* type, std::string* out) {
  std::string last;
  for (const auto& [key, metric] : all) {
    std::string name = kPrefix + key.name;
    if (name != last) *out += "# TYPE " + name + " " + type + "\n";
    last = name;
    *out += name + Braces(key.labels) + " " + std::to_string(metric->value()) +
            "\n";
  }
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : histogram_(boost::histogram::make_histogram(
          Axis(kBuckets, kLowestMicros, kHighestMicros))) {}

void LatencyHistogram::Record(int64_t micros) {
  std::lock_guard<std::mutex> lock(mutex_);
  histogram_(static_cast<double>(std::max<int64_t>(micros, 1)));
  sum_micros_ += static_cast<double>(micros);
}

uint64_t LatencyHistogram::count() const {
  std::lock_guard<std::mutex> lock(mutex_);
  double total = 0;
  for (double cell : histogram_) total += cell;
  return static_cast<uint64_t>(total);
}

double LatencyHistogram::Quantile(double q) const {
  double wanted = q * static_cast<double>(count());
  std::lock_guard<std::mutex> lock(mutex_);
  double seen = 0;
  for (int i = -1; i <= static_cast<int>(kBuckets); ++i) {
    seen += histogram_.at(i);
    bool reached = seen >= wanted && seen > 0;
    if (reached) return histogram_.axis().bin(i).upper();
  }
  return 0;
}

void LatencyHistogram::Print(const std::string& name, const std::string& labels,
                             std::string* out) const {
  constexpr int kPrintEvery = 20;  // one line a decade keeps the page short
  std::lock_guard<std::mutex> lock(mutex_);
  std::string comma = labels.empty() ? "" : ",";
  double seen = histogram_.at(-1);
  for (int i = 0; i < static_cast<int>(kBuckets); ++i) {
    seen += histogram_.at(i);
    if ((i + 1) % kPrintEvery != 0) continue;
    double edge = histogram_.axis().bin(i).upper() / kMicrosPerSecond;
    *out += name + "_bucket{" + labels + comma + "le=\"" +
            std::to_string(edge) + "\"} " +
            std::to_string(static_cast<uint64_t>(seen)) + "\n";
  }
  seen += histogram_.at(static_cast<int>(kBuckets));
  std::string total = std::to_string(static_cast<uint64_t>(seen));
  *out += name + "_bucket{" + labels + comma + "le=\"+Inf\"} " + total + "\n";
  *out += name + "_sum" + Braces(labels) + " " +
          std::to_string(sum_micros_ / kMicrosPerSecond) + "\n";
  *out += name + "_count" + Braces(labels) + " " + total + "\n";
}

Counter& Metrics::GetCounter(const std::string& name,
                             const std::string& labels) {
  std::lock_guard<std::mutex> lock(mutex_);
  return Find(&counters_, Key{name, labels});
}

Gauge& Metrics::GetGauge(const std::string& name, const std::string& labels) {
  std::lock_guard<std::mutex> lock(mutex_);
  return Find(&gauges_, Key{name, labels});
}

LatencyHistogram& Metrics::GetHistogram(const std::string& name,
                                        const std::string& labels) {
  std::lock_guard<std::mutex> lock(mutex_);
  return Find(&histograms_, Key{name, labels});
}

std::string Metrics::Print() const {
  std::lock_guard<std::mutex> lock(mutex_);
  std::string out;
  PrintValues(counters_, "counter", &out);
  PrintValues(gauges_, "gauge", &out);
  std::string last;
  for (const auto& [key, histogram] : histograms_) {
    std::string name = kPrefix + key.name + "_seconds";
    if (name != last) out += "# TYPE " + name + " histogram\n";
    last = name;
    histogram->Print(name, key.labels, &out);
  }
  return out;
}

}  // namespace cardamomchute
