#include "cardamomchute/policy/documents/layout_push.h"

namespace cardamomchute {

bool IsUnconfirmed(const RelayLayout& relay) {
  return relay.confirmed < relay.sent;
}

LayoutPush NextLayoutPush(const RelayLayout& relay, uint64_t newest,
                          bool has_base, Time now) {
  if (relay.sent >= newest) return LayoutPush::kNone;
  if (!relay.takes_changes) return LayoutPush::kWhole;
  if (IsUnconfirmed(relay)) {
    bool overdue = now - relay.sent_at >= kLayoutConfirmTimeout;
    return overdue ? LayoutPush::kWhole : LayoutPush::kWait;
  }
  return has_base ? LayoutPush::kChange : LayoutPush::kWhole;
}

}  // namespace cardamomchute
