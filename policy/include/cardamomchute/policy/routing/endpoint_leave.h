/// What an endpoint says when its process ends, and what that means for the
/// process that the directory has under its id. Pure functions without I/O.
///
/// A leave may arrive late, after another process has started under the id.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_ENDPOINT_LEAVE_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_ENDPOINT_LEAVE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "cardamomchute/policy/routing/directory.h"

namespace cardamomchute {

/// The last message of an endpoint's process.
struct EndpointLeave {
  EndpointId id;
  /// Start of the process that ends, by its own wall clock; nullopt if the
  /// message does not say which process it is of.
  std::optional<uint64_t> started_ms;
};

/// What a leave means for the process that is known.
enum class LeaveEffect : uint8_t {
  kEnds,   ///< the known process ends
  kNone,   ///< nothing is known under the id, or the process counts as gone
  kLate,   ///< it is of a process that another one has replaced
  kOther,  ///< it may be of a process that is not known here
};
std::string ToString(LeaveEffect effect);

/// Returns what `leave` means for `known`, null if nothing is known under the
/// id. A leave that does not name its process counts only for one that has been
/// leaving for kLeavingUse: endpoints stay for longer than that.
LeaveEffect EffectOf(const EndpointLeave& leave, const EndpointRecord* known,
                     const std::optional<Time>& leaving_since, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_ENDPOINT_LEAVE_H_
