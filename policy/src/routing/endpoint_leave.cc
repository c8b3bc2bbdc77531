#include "cardamomchute/policy/routing/endpoint_leave.h"

namespace cardamomchute {

std::string ToString(LeaveEffect effect) {
  switch (effect) {
    case LeaveEffect::kEnds:
      return "ends";
    case LeaveEffect::kNone:
      return "none";
    case LeaveEffect::kLate:
      return "late";
    case LeaveEffect::kOther:
      return "other_process";
  }
  return "unknown";
}

LeaveEffect EffectOf(const EndpointLeave& leave, const EndpointRecord* known,
                     const std::optional<Time>& leaving_since, Time now) {
  if (known == nullptr) return LeaveEffect::kNone;
  if (!leave.started_ms) {
    if (known->gone) return LeaveEffect::kNone;
    return Drained(leaving_since, now) ? LeaveEffect::kEnds
                                       : LeaveEffect::kOther;
  }
  if (*leave.started_ms < known->started_ms) return LeaveEffect::kLate;
  if (*leave.started_ms > known->started_ms) return LeaveEffect::kOther;
  return known->gone ? LeaveEffect::kNone : LeaveEffect::kEnds;
}

}  // namespace cardamomchute
