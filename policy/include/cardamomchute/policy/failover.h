/// When a group's primary counts as lost, and what follows, as a state
/// machine: what the owner sees goes in, the next action comes out.
#ifndef CARDAMOMCHUTE_POLICY_FAILOVER_H_
#define CARDAMOMCHUTE_POLICY_FAILOVER_H_

#include <optional>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/view.h"

namespace cardamomchute {

/// Unanswered probes on two connections for this long: the primary is
/// suspected. Stalls of half a second stay below it.
inline constexpr Duration kSuspectAfter = Millis(650);
/// A candidate of an earlier owner's failover gets this long to answer.
inline constexpr Duration kCandidateTimeout = Millis(1500);
/// A member that has not answered for longer is no candidate.
inline constexpr Duration kCandidateFreshness = Millis(1000);
/// A step that failed is tried again after this.
inline constexpr Duration kFailoverRetry = Millis(200);
/// A leaving primary keeps what runs for at most this long.
inline constexpr Duration kDrainTimeout = Seconds(5);
/// Idle for this long, its last position is known.
inline constexpr Duration kDrainIdleTime = Millis(300);
/// With no primary on record, members get this long to answer before one
/// that answered is taken.
inline constexpr Duration kDiscoveryTime = Millis(500);

/// One member as the owner's probes last saw it.
struct MemberHealth {
  EndpointId id;
  bool leaving = false;
  std::optional<Time> answered;  ///< when it last answered a probe
  bool is_primary = false;       ///< by its own word, at `answered`
  Floor received;
  /// Since when probes on two independent connections go unanswered.
  std::optional<Time> silent_since;
  bool refused = false;  ///< reset, and a new connection was refused
};

struct FailoverInputs {
  Time now;
  /// The record as committed.
  EndpointId primary;
  Term term;
  std::optional<FailoverIntent> intent;
  std::vector<MemberHealth> members;
  /// Statements still run at the primary.
  bool primary_busy = false;
};

enum class FailoverPhase {
  kSteady,
  kDiscovering,        ///< no primary on record
  kQueryingObservers,  ///< other VMs are asked whether they reach the primary
  kReleasingGroup,     ///< others do: the group is given up to one of them
  kCommittingIntent,   ///< the intent is being committed
  kPromoting,          ///< the candidate is being promoted
  kCommittingPrimary   ///< the new primary is being committed
};

struct FailoverAction {
  enum class Kind {
    kNone,
    kAskObservers,    ///< about `endpoint`
    kProposeRelease,  ///< give the group up
    kProposeIntent,   ///< `endpoint` shall follow on `term`
    kPromote,         ///< make `endpoint` the primary
    kProposePrimary   ///< `endpoint` reigns in `term`
  };
  Kind kind = Kind::kNone;
  EndpointId endpoint;
  Term term;
};

struct FailoverState {
  FailoverPhase phase = FailoverPhase::kSteady;
  Time since;                         ///< when the phase began
  std::optional<Time> leaving_since;  ///< of the primary
  std::optional<Time> idle_since;     ///< of a leaving primary
  Time not_before;                    ///< nothing is tried again before
  bool busy = false;                  ///< an action is under way
  EndpointId candidate;
  Term new_term;
};

/// Answers to actions, fed in by the executor.
struct FailoverEvent {
  enum class Kind {
    kObserved,  ///< `ok`: other VMs reach the primary and it still reigns
    kReleased,
    kIntended,
    kPromoted,  ///< `term` is what the candidate reigns in
    kRecorded
  };
  Kind kind = Kind::kObserved;
  bool ok = false;
  Term term;
};

/// What to do now; at most one action is under way at a time.
FailoverAction NextFailoverAction(FailoverState* state,
                                  const FailoverInputs& inputs);

void OnFailoverEvent(FailoverState* state, const FailoverEvent& event,
                     Time now);

/// Whether the owner may take the recorded primary for the one in force. It
/// may not from the moment a change is being decided.
bool MayUsePrimary(const FailoverState& state, const FailoverInputs& inputs);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_FAILOVER_H_
