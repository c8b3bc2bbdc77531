/// State machine of a group's failover: takes the owner's observations of the
/// members and returns the next action. Performs no I/O itself.
#ifndef CARDAMOMCHUTE_POLICY_REPLACEMENT_FAILOVER_H_
#define CARDAMOMCHUTE_POLICY_REPLACEMENT_FAILOVER_H_

#include <optional>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/quorum/view.h"

namespace cardamomchute {

/// The primary is suspected once probes on two connections have gone
/// unanswered for this long. Tolerates stalls of half a second.
inline constexpr Duration kSuspectAfter = Millis(650);
/// A candidate of a committed intent that stays unreachable for this long is
/// replaced by another one.
inline constexpr Duration kCandidateTimeout = Millis(1500);
/// A member whose last answer is older than this cannot be a candidate.
inline constexpr Duration kCandidateFreshness = Millis(1000);
/// While no reachable replica certainly has all that was acknowledged, a
/// failover waits this long for one that has, or for the primary. Then the
/// furthest replica is taken, since a member that is gone for good must not
/// block the group.
inline constexpr Duration kLostReplicaTimeout = Seconds(15);
/// Delay before a failed step is retried.
inline constexpr Duration kFailoverRetry = Millis(200);
/// A leaving primary hands over after this time even if statements still run.
inline constexpr Duration kDrainTimeout = Seconds(5);
/// Once a leaving primary has been idle for this long, its last position is
/// known and it hands over.
inline constexpr Duration kDrainIdleTime = Millis(300);
/// When no primary is recorded, the owner waits this long for all members to
/// answer before it chooses among those that did.
inline constexpr Duration kDiscoveryTime = Millis(500);

/// State of one member according to the owner's latest probes.
struct MemberHealth {
  EndpointId id;
  bool leaving = false;
  std::optional<Time> answered;  ///< when it last answered a probe
  bool is_primary = false;       ///< as it reported at `answered`
  Floor received;
  /// Start of the time in which probes on two independent connections have
  /// gone unanswered.
  std::optional<Time> silent_since;
  bool refused = false;  ///< connection was reset and a new one refused
};

struct FailoverInputs {
  Time now;
  /// The committed record of the group.
  EndpointId primary;
  Term term;
  std::optional<FailoverIntent> intent;
  std::vector<MemberHealth> members;
  /// The furthest write that this owner acknowledged as replicated.
  Floor acknowledged;
  /// A position that covers all that earlier owners acknowledged; nullopt if
  /// this owner has not heard from the primary yet.
  std::optional<Floor> inherited = Floor();
  /// Whether statements still run on the primary.
  bool primary_busy = false;
};

enum class FailoverPhase {
  kSteady,
  kDiscovering,        ///< no primary is recorded
  kQueryingObservers,  ///< asking other VMs whether they reach the primary
  kReleasingGroup,     ///< others reach it; releasing the group to one of them
  kCommittingIntent,   ///< committing the failover intent
  kPromoting,          ///< promoting the candidate
  kCommittingPrimary   ///< committing the new primary
};

struct FailoverAction {
  enum class Kind {
    kNone,
    kAskObservers,    ///< ask other VMs whether they reach `endpoint`
    kProposeRelease,  ///< release the ownership of the group
    kProposeIntent,   ///< `endpoint` is to replace the primary of `term`
    kPromote,         ///< promote `endpoint`
    kProposePrimary   ///< record `endpoint` as the primary of `term`
  };
  Kind kind = Kind::kNone;
  EndpointId endpoint;
  Term term;
  /// kLostReplicaTimeout has passed: `endpoint` may lack acknowledged writes.
  bool may_lose_writes = false;
};

struct FailoverState {
  FailoverPhase phase = FailoverPhase::kSteady;
  Time since;                         ///< start of the phase
  std::optional<Time> leaving_since;  ///< when the primary began to leave
  std::optional<Time> idle_since;  ///< start of a leaving primary's idle time
  Time not_before;                 ///< earliest time of the next action
  bool busy = false;               ///< an action is in progress
  /// Since when no reachable replica certainly has all that was acknowledged.
  std::optional<Time> incomplete_since;
  /// Whether a promotion under the present intent may be outstanding.
  bool ordered = true;
  EndpointId candidate;
  Term new_term;
};

/// Result of an action, reported by the executor.
struct FailoverEvent {
  enum class Kind {
    kObserved,  ///< `ok`: other VMs reach it and it is still primary
    kReleased,
    kIntended,
    kPromoted,  ///< `term` is the new term of the candidate
    kRecorded
  };
  Kind kind = Kind::kObserved;
  bool ok = false;
  Term term;
};

/// Returns the next action. At most one action is in progress at a time.
FailoverAction NextFailoverAction(FailoverState* state,
                                  const FailoverInputs& inputs);

void OnFailoverEvent(FailoverState* state, const FailoverEvent& event,
                     Time now);

/// Whether the owner may send statements to the recorded primary. False from
/// the moment a change of the primary is proposed until it is recorded.
bool MayUsePrimary(const FailoverState& state, const FailoverInputs& inputs);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_REPLACEMENT_FAILOVER_H_
