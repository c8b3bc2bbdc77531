/// Counters, gauges and histograms of one process, printed as Prometheus text.
#ifndef CARDAMOMCHUTE_TELEMETRY_METRICS_H_
#define CARDAMOMCHUTE_TELEMETRY_METRICS_H_

#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>

namespace cardamomchute {

/// A number that only grows. Any thread may add.
class Counter {
 public:
  void Add(uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

/// A number that goes up and down. Any thread may set.
class Gauge {
 public:
  void Set(int64_t v) { value_.store(v, std::memory_order_relaxed); }
  void Add(int64_t n) { value_.fetch_add(n, std::memory_order_relaxed); }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

/// Microseconds in logarithmic buckets, 10 us to 100 s.
class LatencyHistogram {
 public:
  LatencyHistogram();
  void Record(int64_t micros);
  /// Upper edge of the bucket that holds the q-quantile, in microseconds;
  /// zero when empty.
  double Quantile(double q) const;
  uint64_t count() const;
  /// Appends `name_bucket`, `name_sum` and `name_count` lines.
  void Print(const std::string& name, const std::string& labels,
             std::string* out) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  mutable std::mutex mutex_;
  boost::histogram::histogram<std::tuple<Axis>> histogram_;
  double sum_micros_ = 0;
};

/// Names the metrics of a process. Lookups lock; keep the reference.
///
///     Counter& refused = metrics.GetCounter("refused_total", "rank=\"1\"");
class Metrics {
 public:
  Counter& GetCounter(const std::string& name, const std::string& labels = "");
  Gauge& GetGauge(const std::string& name, const std::string& labels = "");
  LatencyHistogram& GetHistogram(const std::string& name,
                                 const std::string& labels = "");
  /// All of it in Prometheus text format, names prefixed `cardamomchute_`.
  std::string Print() const;

 private:
  struct Key {
    std::string name;
    std::string labels;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  mutable std::mutex mutex_;
  std::map<Key, std::unique_ptr<Counter>> counters_;
  std::map<Key, std::unique_ptr<Gauge>> gauges_;
  std::map<Key, std::unique_ptr<LatencyHistogram>> histograms_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_TELEMETRY_METRICS_H_
