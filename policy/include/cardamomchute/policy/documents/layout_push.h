/// Which layouts a control member sends to a relay. Pure functions without I/O.
///
/// A relay is sent one layout at a time: those that would wait in front of a
/// slow link are superseded by the time they arrive.
#ifndef CARDAMOMCHUTE_POLICY_DOCUMENTS_LAYOUT_PUSH_H_
#define CARDAMOMCHUTE_POLICY_DOCUMENTS_LAYOUT_PUSH_H_

#include <cstdint>

#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// A relay that has not confirmed a layout after this long may never do so, as
/// it may be unable to read that layout. It is sent the next one whole.
inline constexpr Duration kLayoutConfirmTimeout = Seconds(10);

/// What a control member knows of the layout of one relay.
struct RelayLayout {
  uint64_t sent = 0;       ///< newest version that was sent to it
  uint64_t confirmed = 0;  ///< newest version that it says it routes by
  Time sent_at;
  bool takes_changes = false;  ///< takes differences, and confirms each layout
};

enum class LayoutPush : uint8_t {
  kNone,    ///< the relay was sent the newest layout
  kWait,    ///< the relay has yet to confirm an earlier one
  kChange,  ///< as a difference from the version that it routes by
  kWhole,
};

/// Whether the relay has not yet put in force what was sent to it.
bool IsUnconfirmed(const RelayLayout& relay);

/// Returns what to send to the relay of the layout in force, `newest`.
/// `has_base` says whether the text of `relay.sent` is still known.
LayoutPush NextLayoutPush(const RelayLayout& relay, uint64_t newest,
                          bool has_base, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_DOCUMENTS_LAYOUT_PUSH_H_
