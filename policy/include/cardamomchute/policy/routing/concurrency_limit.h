/// How many statements at a time a holder has under way at an endpoint: between
/// 1 and its part of the announced slots. Pure functions without I/O.
///
/// The limit starts at the slots. It is lowered only on evidence that more
/// under way is not more done: statements take longer than their kind costs, or
/// are refused, and a trial with fewer at a time gets as much done. It is
/// raised by trials, too. An endpoint that is slow at any concurrency keeps its
/// limit: there, each statement less under way is one less done.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_CONCURRENCY_LIMIT_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <optional>

#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/routing/work_costs.h"

namespace cardamomchute {

inline constexpr Duration kTrialPauseMin = Millis(300);
inline constexpr Duration kTrialPauseMax = Seconds(4);

/// Statements that ended: what they should have cost, and what they took.
struct WorkDone {
  double cost_ms = 0;
  double time_ms = 0;
  uint32_t count = 0;
};

/// A limit that is tried for some statements.
struct LimitTrial {
  uint32_t limit = 1;
  Time ends;
  WorkDone done;
};

struct ConcurrencyLimit {
  uint32_t slots = 1;
  uint32_t sharers = 1;  ///< holders that use the endpoint, with this one
  uint32_t limit = 1;
  WorkCosts costs;
  WorkDone recent;    ///< decaying, at any concurrency
  WorkDone newest;    ///< the same, of fewer statements
  WorkDone at_limit;  ///< decaying, of statements that began at the limit
  std::optional<LimitTrial> trial;
  uint64_t period = 0;  ///< counts changes of what is allowed
  bool lower_next = true;
  Time next_trial;
  Duration pause = kTrialPauseMin;
};

/// A statement under way.
struct WorkStart {
  Time at;
  uint64_t period = 0;
  bool at_limit = false;
};

/// Sets this holder's part of the slots, at least 1.
void SetSlots(ConcurrencyLimit* limit, uint32_t slots, uint32_t sharers);
/// Returns how many statements may be under way at present.
uint32_t AllowedUnderWay(const ConcurrencyLimit& limit);
/// Returns how many times their cost the newest statements took; 1 if that is
/// not known.
double SlowdownOf(const ConcurrencyLimit& limit);
/// Notes that a statement begins; `under_way` counts it, too.
WorkStart NoteStart(const ConcurrencyLimit& limit, size_t under_way, Time now);
/// Notes the end of a statement, and decides on the limit. `waiting` are the
/// statements that wait to begin.
void NoteEnd(ConcurrencyLimit* limit, const WorkStart& start, WorkKind kind,
             bool refused, size_t waiting, Time now);
/// Ends a trial that got too few statements.
void NoteTime(ConcurrencyLimit* limit, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_CONCURRENCY_LIMIT_H_
