/// Leases on a group's primary.
///
/// The control leader grants leases to the other control members, and these to
/// relays. A lease ends by itself, at most `kPrimaryLease` after the last time
/// at which a quorum confirmed the leader. Each receiver counts from the time
/// it sent its request, so that clocks are never compared. Before a primary is
/// replaced, the leader revokes the leases on it: it tells the members, these
/// tell the relays, and both confirm. The leases of those that do not confirm
/// are waited for. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_LEASE_PRIMARY_LEASE_H_
#define CARDAMOMCHUTE_POLICY_LEASE_PRIMARY_LEASE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/quorum/quorum.h"

namespace cardamomchute {

inline constexpr Duration kPrimaryLease = Seconds(2);
/// A lease with less time left is renewed.
inline constexpr Duration kLeaseRenewal = Millis(1400);
/// Minimum interval between two requests for the same lease.
inline constexpr Duration kLeaseRequestInterval = Millis(100);
/// Time after the start of a confirmed round in which a leader may send an
/// order to promote, and which a new leader waits before its first order.
inline constexpr Duration kOrderWindow = Millis(600);
/// Revocations per control term; numbers of a term are lower than those of the
/// next.
inline constexpr uint64_t kRevocationsPerTerm = 1 << 20;

/// A primary in one term: another one of the same endpoint is not covered by
/// the same lease.
struct LeasedPrimary {
  EndpointId endpoint;
  Term term;

  friend bool operator==(const LeasedPrimary&, const LeasedPrimary&) = default;
};

/// Leases that a control member may grant.
struct GrantableLeases {
  Time until;
  std::map<GroupId, LeasedPrimary> primaries;
};

/// A receiver of leases: a control member, or the link of a relay. A relay that
/// connects again is another one.
using LeaseHolder = StrongNumber<struct LeaseHolderTag>;

/// Stands for all that were granted leases by an earlier process.
inline constexpr LeaseHolder kEarlierProcess;

/// Who may hold leases, each with the end of its last one.
using LeaseEnds = std::map<LeaseHolder, Time>;

/// Records a lease that was granted.
void RecordGrant(LeaseEnds& ends, LeaseHolder holder, Time until);

/// Returns those whose leases have not ended.
LeaseEnds StillHeld(const LeaseEnds& ends, Time now);

/// What a control leader remembers of the leases on each group's primary.
struct LeaseLedger {
  Time since;  ///< start of the leadership
  /// End of all leases that earlier leaders granted.
  Time inherited;
  /// Groups whose leases of earlier leaders have all been given back.
  std::set<GroupId> given_back;
  std::map<GroupId, Time> ends;
  LeaseEnds members;  ///< to which this leader has delegated leases
};

/// Starts a leadership at `now`. An earlier leader's last confirmation precedes
/// the election.
void BeginLeadership(LeaseLedger& ledger, Time now);

/// Records leases that this leader has granted.
void RecordGrants(LeaseLedger& ledger, const GrantableLeases& granted);

/// Returns when the last lease on the group's primary ends.
Time LeasesEnd(const LeaseLedger& ledger, const GroupId& group);

/// Returns which members may hold leases on the group's primary. `members` are
/// all others of the quorum's configuration: earlier leaders may have delegated
/// leases to any of them.
LeaseEnds MembersHolding(const LeaseLedger& ledger, const GroupId& group,
                         const std::vector<LeaseHolder>& members, Time now);

/// Records that nobody holds a lease on the group's primary any more.
void RecordGivenBack(LeaseLedger& ledger, const GroupId& group);

/// A revocation of the leases on one group's primary.
struct Revocation {
  uint64_t number = 0;
  LeaseEnds awaited;  ///< those that may hold a lease
  size_t confirmed = 0;
  size_t expired = 0;
};

/// Returns the number of the revocation that is `count`th in its control term.
uint64_t RevocationNumber(QuorumTerm term, uint64_t count);
QuorumTerm RevocationTerm(uint64_t number);

/// Starts a revocation of the leases that `holders` may hold at `now`.
Revocation BeginRevocation(uint64_t number, const LeaseEnds& holders, Time now);

/// Takes a confirmation of revocation `number`. Returns whether the holder was
/// awaited: it holds no lease any more.
bool ConfirmRevocation(Revocation& revocation, LeaseHolder holder,
                       uint64_t number);

/// Stops awaiting those whose leases have ended.
void ExpireAwaited(Revocation& revocation, Time now);

/// What a control member must remember of the last revocation of a group.
struct TakenRevocation {
  uint64_t number = 0;
  /// Answers to requests up to this one may predate the revocation.
  uint64_t last_request = 0;
};

/// Leaves out what the leader may have delegated before it revoked it, in an
/// answer to `request`.
void LeaveOutRevoked(const std::map<GroupId, TakenRevocation>& taken,
                     uint64_t request, GrantableLeases& leases);

/// Returns the end of leases that depend on a leader confirmed at `confirmed`.
Time LeaseEnd(Time confirmed);

/// Returns the time until which a leader confirmed at `confirmed` may send
/// orders to promote.
Time OrderWindowEnd(Time confirmed);

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

#endif  // CARDAMOMCHUTE_POLICY_LEASE_PRIMARY_LEASE_H_
