/// Decides what a relay that is to stop still does for its callers and for
/// other relays. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_SESSIONS_RELAY_DRAIN_H_
#define CARDAMOMCHUTE_POLICY_SESSIONS_RELAY_DRAIN_H_

#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Why a relay that drains refuses a statement or a session.
inline constexpr char kVmStops[] = "this VM is about to stop";

/// The balancer still sends new callers for this long after a VM says that it
/// is not ready.
inline constexpr Duration kBalancerLag = Millis(2500);

struct RelayDrain {
  Time start;
  Duration transactions;  ///< that open transactions have to end
  Duration limit;         ///< by when all has to be answered
};

/// Returns whether no new work is taken from other relays. They learn from
/// control that this one drains; those that still send have not.
bool HandsOver(const RelayDrain& drain, Time now);

/// Returns whether a session is to be closed as soon as it is idle. Until the
/// balancer sends new callers elsewhere, whoever is closed comes back here.
bool ClosesAfterAnswers(const RelayDrain& drain, Time now);

/// Returns whether statements are refused, also those of open transactions.
/// What was sent before has the rest of the drain to be answered.
bool RefusesStatements(const RelayDrain& drain, Time now);

/// Returns whether what is still under way has to be given up.
bool IsOver(const RelayDrain& drain, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SESSIONS_RELAY_DRAIN_H_
