#include "cardamomchute/policy/routing/work_costs.h"

#include <algorithm>
#include <functional>

namespace cardamomchute {
namespace {

/// Statements of a kind in one mean.
constexpr uint32_t kCostWindow = 48;
/// A lowest mean is valid in its period and the next one.
constexpr Duration kCostPeriod = Seconds(10);

/// Returns the index of a kind's entry: the last one if there are too many
/// kinds, and `used` if the kind has none yet.
size_t IndexOf(const WorkCosts& costs, WorkKind kind) {
  for (size_t i = 0; i < costs.used; ++i) {
    if (costs.kinds[i].kind == kind) return i;
  }
  return std::min(costs.used, kMaxWorkKinds - 1);
}

double Lower(double a, double b) {
  if (a == 0) return b;
  return b == 0 ? a : std::min(a, b);
}

}  // namespace

WorkKind KindOf(std::string_view shape, bool writes) {
  uint64_t hash = std::hash<std::string_view>()(shape);
  return WorkKind{hash * 2 + (writes ? 1 : 0)};
}

double CostOf(const WorkCosts& costs, WorkKind kind) {
  const WorkCost& cost = costs.kinds[IndexOf(costs, kind)];
  return Lower(cost.lowest_ms, cost.lowest_before_ms);
}

void RecordServiceTime(WorkCosts* costs, WorkKind kind, Duration service,
                       Time now) {
  size_t index = IndexOf(*costs, kind);
  WorkCost* cost = &costs->kinds[index];
  if (index == costs->used) {
    ++costs->used;
    bool shared = index == kMaxWorkKinds - 1;
    cost->kind = shared ? WorkKind() : kind;
  }
  cost->window_ms += static_cast<double>(std::max<int64_t>(service.ms(), 1));
  if (++cost->window_count < kCostWindow) return;
  double mean_ms = cost->window_ms / kCostWindow;
  cost->window_ms = 0;
  cost->window_count = 0;
  if (now - cost->period_start > kCostPeriod) {
    cost->lowest_before_ms = cost->lowest_ms;
    cost->lowest_ms = 0;
    cost->period_start = now;
  }
  cost->lowest_ms = Lower(cost->lowest_ms, mean_ms);
}

}  // namespace cardamomchute
