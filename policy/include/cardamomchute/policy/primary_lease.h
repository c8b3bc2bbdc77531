/// Leases to use a group's primary, for deployments in which a replaced primary
/// goes on serving until it is demoted.
///
/// The control leader grants leases to the other control members, and these to
/// relays. A lease ends by itself, at most `kPrimaryLease` after the last time
/// at which a quorum confirmed the leader. Each receiver counts from the time
/// it sent its request, so that clocks are never compared. A new primary is
/// used only after all leases on the former one have ended. Pure functions
/// without I/O.
#ifndef CARDAMOMCHUTE_POLICY_PRIMARY_LEASE_H_
#define CARDAMOMCHUTE_POLICY_PRIMARY_LEASE_H_

#include <map>
#include <optional>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Shorter than the usual time from the loss of a primary to the end of the
/// promotion, so that a failover seldom waits for leases.
inline constexpr Duration kPrimaryLease = Millis(600);
/// A lease with less time left is renewed.
inline constexpr Duration kLeaseRenewal = Millis(420);
/// Minimum interval between two requests for the same lease.
inline constexpr Duration kLeaseRequestInterval = Millis(100);

/// Leases that a control member may grant.
struct GrantableLeases {
  Time until;
  std::map<GroupId, EndpointId> primaries;
};

/// What a control leader remembers of the leases on each group's primary.
struct LeaseLedger {
  /// End of all leases that earlier leaders granted.
  Time inherited;
  std::map<GroupId, Time> ends;
};

/// Starts a leadership at `now`. An earlier leader's last confirmation precedes
/// the election.
void BeginLeadership(LeaseLedger& ledger, Time now);

/// Records leases that this leader has granted.
void RecordGrants(LeaseLedger& ledger, const GrantableLeases& granted);

/// Returns when the last lease on the group's primary ends.
Time LeasesEnd(const LeaseLedger& ledger, const GroupId& group);

/// Returns the end of leases that depend on a leader confirmed at `confirmed`.
Time LeaseEnd(Time confirmed);

/// A relay's lease on the primary of one group.
struct HeldLease {
  EndpointId endpoint;
  Time since;  ///< start of an unbroken series of leases
  Time until;
  Term term;  ///< of the primary; 0 if the grant does not say
};

/// Returns the lease after an answer that grants `endpoint` as primary of
/// `term` for `valid`, to a request sent at `asked`.
HeldLease ExtendLease(const HeldLease& held, const EndpointId& endpoint,
                      Time asked, Duration valid, Term term = Term());

/// Whether the holder could use `endpoint` at some time in [at - slack, at].
bool LeaseCovers(const HeldLease& lease, const EndpointId& endpoint, Time at,
                 Duration slack);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_PRIMARY_LEASE_H_
