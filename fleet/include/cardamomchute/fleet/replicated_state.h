/// What the control members replicate in the quorum's log.
#ifndef CARDAMOMCHUTE_FLEET_REPLICATED_STATE_H_
#define CARDAMOMCHUTE_FLEET_REPLICATED_STATE_H_

#include <cstdint>
#include <map>
#include <string>

#include "cardamomchute/base/pack.h"
#include "cardamomchute/policy/lease/limit_keepers.h"
#include "cardamomchute/policy/replacement/promotion_orders.h"

namespace cardamomchute {

/// A command of the log, or the whole state as a snapshot. Earlier releases
/// read and write fewer fields.
struct ReplicatedState {
  /// Of the layout; a command without a newer one leaves it as it is.
  uint64_t version = 0;
  std::string text;  ///< of the layout, as submitted
  /// Orders to promote that may take effect; a command replaces those of the
  /// groups that it names.
  std::map<GroupId, PromotionOrders> orders;
  /// A command without a newer map leaves it as it is.
  KeeperMap keepers;

  MSGPACK_DEFINE(version, text, orders, keepers)
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_FLEET_REPLICATED_STATE_H_
