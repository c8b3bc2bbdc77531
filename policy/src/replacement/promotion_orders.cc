#include "cardamomchute/policy/replacement/promotion_orders.h"

#include <algorithm>

namespace cardamomchute {

bool Settled(const PromotionOrders& orders, const EndpointId& primary,
             Term term) {
  if (orders.empty()) return true;
  uint64_t last_of_others = 0;
  const PromotionOrder* first = nullptr;
  for (const PromotionOrder& order : orders) {
    if (order.endpoint != primary) {
      last_of_others = std::max(last_of_others, order.fence_token);
    } else if (first == nullptr) {
      first = &order;
    }
  }
  return first != nullptr && first->fence_token > last_of_others &&
         term > first->above;
}

void AddOrder(PromotionOrders* orders, const PromotionOrder& order) {
  size_t count = orders->size();
  bool repeats = count >= 2 &&
                 (*orders)[count - 1].endpoint == order.endpoint &&
                 (*orders)[count - 2].endpoint == order.endpoint;
  if (repeats) orders->pop_back();
  orders->push_back(order);
}

void RemoveOrder(PromotionOrders* orders, uint64_t fence_token) {
  std::erase_if(*orders, [fence_token](const PromotionOrder& order) {
    return order.fence_token == fence_token;
  });
}

void RemoveOrdersBefore(PromotionOrders* orders, uint64_t fence_token) {
  std::erase_if(*orders, [fence_token](const PromotionOrder& order) {
    return order.fence_token < fence_token;
  });
}

}  // namespace cardamomchute
