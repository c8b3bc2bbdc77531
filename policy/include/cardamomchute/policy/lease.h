/// The leases of VMs as the leading control member counts them.
///
/// A VM may act as owner until `kLease - kDriftMargin` after it sent the
/// renewal that was granted. The leader grants only after a round of the
/// quorum that began after the renewal arrived, and takes a VM for dead once
/// `kLease + kDriftMargin` have passed since its last grant. So the two clocks
/// may drift apart by two margins in one lease.
///
/// From the loss of an owner to the new owner's record: at most kLease +
/// kDriftMargin after the last grant (1650 ms), one tick of the leader and one
/// commit. With the leader lost too, an election (0.5 to 1 s, see
/// QuorumTiming) comes first.
#ifndef CARDAMOMCHUTE_POLICY_LEASE_H_
#define CARDAMOMCHUTE_POLICY_LEASE_H_

#include <map>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/control_state.h"

namespace cardamomchute {

inline constexpr Duration kLease = Millis(1500);
inline constexpr Duration kDriftMargin = Millis(150);
inline constexpr Duration kRenewInterval = Millis(300);
/// A VM that has been dead this long is taken out of the record.
inline constexpr Duration kForgetVmAfter = Seconds(600);
/// Between a VM's report that it knows of a revocation and its effect there.
inline constexpr Duration kRevocationDelay = Millis(200);

/// A new leader waits so long for VMs to report before it gives groups that
/// nobody owns to the few it has heard.
inline constexpr Duration kGatherTime = Millis(700);

/// The end that a VM counts with, for a renewal it sent at `sent`.
constexpr Time LeaseEnd(Time sent, Duration lease) {
  return sent + lease - kDriftMargin;
}

/// What a VM says of itself in each renewal.
struct VmReport {
  VmId vm;
  Incarnation incarnation;
  Environment environment;
  Zone zone;
  Address peer_address;  ///< port 0: serves no statements, so owns no group
  Version applied;
  Revision known;  ///< revision of the view it has published
  bool draining = false;
  MSGPACK_DEFINE(vm, incarnation, environment, zone, peer_address, applied,
                 known, draining)
};

struct VmLease {
  VmReport report;
  Time heard;
  Time known_since;  ///< when `report.known` was first reported
  Time dead_from;    ///< past it the lease has run out for certain
  bool alive = true;
};

/// Soft state of one reign; begins empty when a member becomes leader.
struct LeaseTable {
  Time leadership_start;
  std::map<VmId, VmLease> vms;
};

enum class RenewalVerdict {
  kGrant,     ///< grant after the next round of the quorum
  kRegister,  ///< this run of the VM must be registered first
  kWait       ///< an earlier run of the VM may still hold a lease
};

/// Every lease of an earlier leader has run out.
bool EarlierLeasesExpired(const LeaseTable& table, Time now);

RenewalVerdict OnRenewal(LeaseTable& table, const ControlState& state,
                         const VmReport& report, Time now);

/// The VM's renewal is granted now.
void OnGrant(LeaseTable& table, const VmId& vm, Time now);

/// VMs whose lease has run out since the last call.
std::vector<VmId> ExpireLeases(LeaseTable& table, Time now);

/// No process acts as `vm` under a lease any more.
bool IsDead(const LeaseTable& table, const VmId& vm, Time now);

/// The assignments that are due: owners for groups of dead VMs, released
/// groups and new ones. `zones` gives the zones of the known endpoints.
std::vector<AssignOwner> DueAssignments(const LeaseTable& table,
                                        const ControlState& state,
                                        const std::map<EndpointId, Zone>& zones,
                                        Time now);

/// VMs to be taken out of the record: dead for long, owners of nothing.
std::vector<ForgetVm> DueForgets(const LeaseTable& table,
                                 const ControlState& state, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_LEASE_H_
