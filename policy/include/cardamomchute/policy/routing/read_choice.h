/// Which endpoint of a group a read goes to: the one that is expected to
/// complete it first. Pure functions without I/O.
///
/// Costs are counted in statements of the group's quickest endpoint. While
/// endpoints are equal, the cost is the way to another zone plus the statements
/// that the holder reported.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_READ_CHOICE_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_READ_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// What a relay knows of an endpoint that could take a read.
struct ReadCandidate {
  bool other_zone = false;
  bool set_aside = false;
  double slowness = 1;  ///< times the service time of the quickest endpoint
  /// Statements queued or running there, as its holder last said; 0 if that is
  /// not known.
  uint64_t waiting = 0;
  /// This relay's own statements sent there since that was said.
  uint64_t sent_since = 0;
  Duration expected_wait;  ///< as the holder last said
  Duration service;        ///< mean service time at the quickest; 0: unknown
};

/// Returns the expected completion of a read, in statements of the quickest
/// endpoint. `differ`: the group's endpoints are not equal.
double CompletionCost(const ReadCandidate& candidate, bool differ);

/// Returns the index of the best candidate; nullopt if there is none. Those
/// that are set aside are taken only if there are no others. Among the best
/// whose costs hardly differ, `relay_hash` decides, so that relays that know
/// the same do not choose the same.
std::optional<size_t> ChooseReader(const std::vector<ReadCandidate>& candidates,
                                   uint64_t relay_hash);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_READ_CHOICE_H_
