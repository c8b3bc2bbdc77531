/// What one statement of each kind costs an endpoint that is not overloaded:
/// the lowest mean service time of the kind that was seen lately. Pure
/// functions without I/O. Bounded: kinds beyond the first ones share an entry.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_WORK_COSTS_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_WORK_COSTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Statements with similar service times; `hash` 0 stands for all others.
struct WorkKind {
  uint64_t hash = 0;
  friend auto operator<=>(const WorkKind&, const WorkKind&) = default;
};

/// Returns the kind of a statement: its prepared shape, empty if it has none,
/// and whether it writes.
WorkKind KindOf(std::string_view shape, bool writes);

inline constexpr size_t kMaxWorkKinds = 16;

struct WorkCost {
  WorkKind kind;
  double window_ms = 0;
  uint32_t window_count = 0;
  double lowest_ms = 0;         ///< of this period; 0: none yet
  double lowest_before_ms = 0;  ///< of the period before
  Time period_start;
};

struct WorkCosts {
  std::array<WorkCost, kMaxWorkKinds> kinds;
  size_t used = 0;
};

/// Returns the cost of a kind in milliseconds; 0 if it is not known yet.
double CostOf(const WorkCosts& costs, WorkKind kind);
void RecordServiceTime(WorkCosts* costs, WorkKind kind, Duration service,
                       Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_WORK_COSTS_H_
