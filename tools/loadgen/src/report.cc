#include "report.h"

#include <iomanip>
#include <sstream>

namespace cardamomchute::loadgen {
namespace {

constexpr int kWidth = 10;
constexpr int kNameWidth = 14;
constexpr double kMicrosPerMilli = 1000;

std::string Fixed(double value, int digits) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(digits) << value;
  return out.str();
}

template <typename... Cells>
std::string Line(const std::string& name, const Cells&... cells) {
  std::ostringstream out;
  out << std::left << std::setw(kNameWidth) << name << std::right;
  ((out << std::setw(kWidth) << cells), ...);
  out << "\n";
  return out.str();
}

}  // namespace

std::string Report(const LoadOptions& options, const LoadResult& result) {
  std::string text = Line("rank", "offered", "ok", "in_time", "not_run",
                          "failed", "unknown", "ok_per_s", "p50_ms", "p99_ms");
  double seconds = static_cast<double>(result.elapsed.count()) / 1000;
  for (size_t i = 0; i < result.ranks.size(); ++i) {
    const RankTotals& t = *result.ranks[i];
    double per_second = seconds > 0 ? static_cast<double>(t.ok) / seconds : 0;
    text += Line(options.ranks[i].name, t.offered, t.ok, t.in_time, t.not_run,
                 t.failed, t.unknown, Fixed(per_second, 1),
                 Fixed(t.latency.Quantile(0.5) / kMicrosPerMilli, 2),
                 Fixed(t.latency.Quantile(0.99) / kMicrosPerMilli, 2));
  }
  for (const auto& [sqlstate, count] : result.errors) {
    text += "errors sqlstate=" + sqlstate + " count=" + std::to_string(count) +
            "\n";
  }
  text += "acked_writes longest_gap_ms=" +
          std::to_string(result.longest_gap.count()) + "\n";
  return text;
}

std::string Report(const history::Verdict& verdict) {
  std::string text = ToString(verdict) + "\n";
  text += "refusals ran_after_refusal=" +
          std::to_string(verdict.ran_after_refusal) + "\n";
  for (const std::string& example : verdict.examples) {
    text += "example " + example + "\n";
  }
  return text;
}

}  // namespace cardamomchute::loadgen
