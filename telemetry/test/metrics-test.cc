#include "cardamomchute/telemetry/metrics.h"

#include <boost/test/unit_test.hpp>

namespace cardamomchute {

BOOST_AUTO_TEST_CASE(counters_are_found_again_and_printed) {
  Metrics metrics;
  metrics.GetCounter("refused_total", "rank=\"1\"").Add(2);
  metrics.GetCounter("refused_total", "rank=\"1\"").Add();
  std::string text = metrics.Print();
  BOOST_TEST(text.find("cardamomchute_refused_total{rank=\"1\"} 3") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(quantiles_fall_within_a_bucket) {
  LatencyHistogram histogram;
  for (int i = 1; i <= 1000; ++i) histogram.Record(i * 100);
  double p50 = histogram.Quantile(0.5);
  BOOST_TEST(p50 >= 50000 * 0.88);
  BOOST_TEST(p50 <= 50000 * 1.13);
  BOOST_TEST(histogram.count() == 1000u);
}

BOOST_AUTO_TEST_CASE(an_empty_histogram_has_quantile_zero) {
  LatencyHistogram histogram;
  BOOST_TEST(histogram.Quantile(0.99) == 0);
}

}  // namespace cardamomchute
