#include "cardamomchute/policy/sessions/relay_drain.h"

#include <algorithm>

namespace cardamomchute {
namespace {

/// Time for control to tell the other relays.
constexpr Duration kHandOver = Seconds(1);

}  // namespace

bool HandsOver(const RelayDrain& drain, Time now) {
  return now - drain.start >= std::min(kHandOver, drain.transactions);
}

bool ClosesAfterAnswers(const RelayDrain& drain, Time now) {
  return now - drain.start >= std::min(kBalancerLag, drain.limit / 2);
}

bool RefusesStatements(const RelayDrain& drain, Time now) {
  return now - drain.start >= std::min(drain.transactions, drain.limit);
}

bool IsOver(const RelayDrain& drain, Time now) {
  return now - drain.start >= drain.limit;
}

}  // namespace cardamomchute
