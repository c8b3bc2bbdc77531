/// Orders to promote an endpoint that may still take effect.
///
/// The platform may carry out an order at any time after it was sent, unless it
/// has seen a higher fence token of the group by then. Pure functions without
/// I/O.
#ifndef CARDAMOMCHUTE_POLICY_REPLACEMENT_PROMOTION_ORDERS_H_
#define CARDAMOMCHUTE_POLICY_REPLACEMENT_PROMOTION_ORDERS_H_

#include <cstdint>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"

namespace cardamomchute {

struct PromotionOrder {
  EndpointId endpoint;
  /// Higher than that of every order sent before.
  uint64_t fence_token = 0;
  /// Highest term known when the order was sent: it leads to a higher one.
  Term above;

  friend bool operator==(const PromotionOrder&,
                         const PromotionOrder&) = default;
  MSGPACK_DEFINE(endpoint, fence_token, above)
};

/// The orders of one group, in the order of their tokens.
using PromotionOrders = std::vector<PromotionOrder>;

/// Whether none of `orders` can replace `primary`, which leads in `term`: they
/// name it, or are void since a later one that names it has taken effect. Those
/// that name it change nothing while it leads, and are void once the platform
/// has seen an order for its successor.
bool Settled(const PromotionOrders& orders, const EndpointId& primary,
             Term term);

/// Adds an order with a token higher than all before. Of several in a row for
/// one endpoint only the first and the last are kept: they tell all that
/// Settled asks, and the list stays short while the platform does not answer.
void AddOrder(PromotionOrders* orders, const PromotionOrder& order);

/// Removes an order that was not sent or was refused.
void RemoveOrder(PromotionOrders* orders, uint64_t fence_token);

/// Removes the orders that are void since the platform accepted `fence_token`.
void RemoveOrdersBefore(PromotionOrders* orders, uint64_t fence_token);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_REPLACEMENT_PROMOTION_ORDERS_H_
