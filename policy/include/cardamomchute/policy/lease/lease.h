/// VM leases as tracked by the control leader.
///
/// A VM may act as owner until `kLease - kDriftMargin` after it sent the
/// renewal that was granted. The leader grants a renewal only after a quorum
/// round that began after the renewal arrived, and considers a VM dead once
/// `kLease + kDriftMargin` have passed since its last grant. The two clocks may
/// therefore drift apart by two margins during one lease.
///
/// When an owner fails, its replacement is recorded at most kLease +
/// kDriftMargin after the last grant (1650 ms) plus one tick of the leader and
/// one commit. If the leader fails too, an election (0.5 to 1 s, see
/// QuorumTiming) precedes this.
#ifndef CARDAMOMCHUTE_POLICY_LEASE_LEASE_H_
#define CARDAMOMCHUTE_POLICY_LEASE_LEASE_H_

#include <map>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/quorum/control_state.h"

namespace cardamomchute {

inline constexpr Duration kLease = Millis(1500);
inline constexpr Duration kDriftMargin = Millis(150);
inline constexpr Duration kRenewInterval = Millis(300);
/// A VM that has been silent for this long is removed from the control state.
inline constexpr Duration kForgetVmAfter = Seconds(600);
/// Time that a VM has to apply a revocation after it reported knowing of it.
inline constexpr Duration kRevocationDelay = Millis(200);

/// A new leader waits this long for VMs to report before it assigns groups
/// without an owner, so that they are not all given to the first VMs heard.
inline constexpr Duration kReportCollectionTime = Millis(700);

/// Returns when a VM must stop acting as owner, for a renewal sent at `sent`.
constexpr Time LeaseEnd(Time sent, Duration lease) {
  return sent + lease - kDriftMargin;
}

/// State that a VM reports with each lease renewal.
struct VmReport {
  VmId vm;
  Incarnation incarnation;
  Environment environment;
  Zone zone;
  Address peer_address;  ///< port 0: serves no statements, owns no groups
  Version applied;
  Revision known;  ///< revision of the view it uses
  bool draining = false;
  MSGPACK_DEFINE(vm, incarnation, environment, zone, peer_address, applied,
                 known, draining)
};

struct VmLease {
  VmReport report;
  Time heard;
  Time known_since;  ///< when `report.known` was first reported
  Time expires_at;   ///< no process holds the lease from here on
  bool alive = true;
};

/// Leases in the current leadership; empty when a member becomes leader. Not
/// replicated.
struct LeaseTable {
  Time leadership_start;
  std::map<VmId, VmLease> vms;
};

enum class RenewalVerdict {
  kGrant,     ///< grant after the next quorum round
  kRegister,  ///< this incarnation must be registered first
  kWait       ///< an earlier incarnation may still hold a lease
};

/// Whether all leases granted by earlier leaders have expired.
bool EarlierLeasesExpired(const LeaseTable& table, Time now);

RenewalVerdict OnRenewal(LeaseTable& table, const ControlState& state,
                         const VmReport& report, Time now);

/// Records that the VM's renewal is granted at `now`.
void OnGrant(LeaseTable& table, const VmId& vm, Time now);

/// Returns the VMs whose lease has expired since the last call.
std::vector<VmId> ExpireLeases(LeaseTable& table, Time now);

/// Whether no process can hold a lease as `vm` any more. False while leases
/// of earlier leaders may be valid.
bool LeaseExpired(const LeaseTable& table, const VmId& vm, Time now);

/// Returns new owners for released groups, new groups and groups of dead VMs.
/// `zones` holds the availability zones of the known endpoints.
std::vector<AssignOwner> DueAssignments(const LeaseTable& table,
                                        const ControlState& state,
                                        const std::map<EndpointId, Zone>& zones,
                                        Time now);

/// Returns VMs that have been silent for kForgetVmAfter and own no group.
std::vector<ForgetVm> DueForgets(const LeaseTable& table,
                                 const ControlState& state, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_LEASE_LEASE_H_
