#include "cardamomchute/policy/replacement/failover.h"

#include <algorithm>
#include <functional>

namespace cardamomchute {
namespace {

using Kind = FailoverAction::Kind;
using Phase = FailoverPhase;

const MemberHealth* Find(const FailoverInputs& inputs, const EndpointId& id) {
  auto found = std::find_if(inputs.members.begin(), inputs.members.end(),
                            [&](const MemberHealth& m) { return m.id == id; });
  return found == inputs.members.end() ? nullptr : &*found;
}

bool Fresh(const MemberHealth& member, Time now) {
  return member.answered && now - *member.answered <= kCandidateFreshness &&
         !member.refused;
}

void Enter(FailoverState* state, Phase phase, Time now) {
  state->phase = phase;
  state->since = now;
  state->busy = false;
}

FailoverAction Act(FailoverState* state, Kind kind, const EndpointId& endpoint,
                   Term term) {
  state->busy = true;
  return FailoverAction{kind, endpoint, term};
}

/// Returns the member that reports to be primary with the highest term above
/// `above`, or null if there is none or two report the same term.
const MemberHealth* SoleClaimant(const FailoverInputs& inputs, Term above) {
  const MemberHealth* best = nullptr;
  bool tied = false;
  for (const MemberHealth& member : inputs.members) {
    if (!Fresh(member, inputs.now) || !member.is_primary) continue;
    if (member.received.term <= above) continue;
    if (best != nullptr && member.received.term == best->received.term) {
      tied = true;
    }
    if (best == nullptr || member.received.term > best->received.term) {
      best = &member;
      tied = false;
    }
  }
  return tied ? nullptr : best;
}

bool IsReachableReplica(const MemberHealth& member,
                        const FailoverInputs& inputs) {
  return member.id != inputs.primary && Fresh(member, inputs.now) &&
         !member.is_primary;
}

/// Whether no member but the primary may have more than `replica`: each has
/// answered, none leads a later term, and none has received more. An earlier
/// term may end at the primary only, so the replica must follow the current
/// one.
bool IsFurthestOfAll(const MemberHealth& replica,
                     const FailoverInputs& inputs) {
  if (replica.received.term < inputs.term) return false;
  return std::all_of(inputs.members.begin(), inputs.members.end(),
                     [&](const MemberHealth& member) {
                       if (member.id == inputs.primary) return true;
                       if (!Fresh(member, inputs.now)) return false;
                       if (member.is_primary)
                         return member.received.term <= inputs.term;
                       return member.received <= replica.received;
                     });
}

/// Whether the replica certainly has all that was acknowledged.
bool HasAllAcknowledged(const MemberHealth& replica,
                        const FailoverInputs& inputs) {
  // Where a later term began is not known.
  if (replica.received.term > inputs.term) return false;
  if (replica.received < inputs.acknowledged) return false;
  bool has_inherited =
      inputs.inherited && replica.received >= *inputs.inherited;
  return has_inherited || IsFurthestOfAll(replica, inputs);
}

/// Returns the reachable replica with the highest received position; among
/// equals one that is not leaving.
const MemberHealth* Furthest(
    const FailoverInputs& inputs,
    const std::function<bool(const MemberHealth&)>& counts) {
  const MemberHealth* best = nullptr;
  for (const MemberHealth& member : inputs.members) {
    if (!IsReachableReplica(member, inputs) || !counts(member)) continue;
    if (best == nullptr || best->received < member.received ||
        (best->received == member.received && best->leaving &&
         !member.leaving)) {
      best = &member;
    }
  }
  return best;
}

const MemberHealth* BestCandidate(const FailoverInputs& inputs) {
  return Furthest(inputs, [&](const MemberHealth& member) {
    return HasAllAcknowledged(member, inputs);
  });
}

/// Returns the member that is to replace the primary, or null while a replica
/// that has all that was acknowledged is waited for. A member that leads a
/// later term may lack writes of the current one, so it is the last choice.
const MemberHealth* ChooseSuccessor(FailoverState* state,
                                    const FailoverInputs& inputs) {
  const MemberHealth* best = BestCandidate(inputs);
  if (best != nullptr) {
    state->incomplete_since.reset();
    return best;
  }
  if (!state->incomplete_since) state->incomplete_since = inputs.now;
  if (inputs.now - *state->incomplete_since < kLostReplicaTimeout) return {};
  best = Furthest(inputs, [&](const MemberHealth& member) {
    return member.received.term <= inputs.term;
  });
  return best != nullptr ? best : SoleClaimant(inputs, inputs.term);
}

bool Suspected(const FailoverInputs& inputs) {
  const MemberHealth* primary = Find(inputs, inputs.primary);
  if (primary == nullptr) return true;
  if (primary->refused) return true;
  // A status of an earlier term predates the promotion and does not count.
  bool demoted = Fresh(*primary, inputs.now) && !primary->is_primary &&
                 primary->received.term >= inputs.term;
  if (demoted) return true;
  return primary->silent_since &&
         inputs.now - *primary->silent_since >= kSuspectAfter;
}

/// Whether a leaving primary hands over: it is idle or kDrainTimeout has
/// passed, and a replica that is not leaving has received everything that was
/// acknowledged and that the primary reported.
bool ReadyToHandOver(FailoverState* state, const FailoverInputs& inputs) {
  const MemberHealth* primary = Find(inputs, inputs.primary);
  if (primary == nullptr || !primary->leaving) {
    state->leaving_since.reset();
    state->idle_since.reset();
    return false;
  }
  if (!state->leaving_since) state->leaving_since = inputs.now;
  if (inputs.primary_busy) state->idle_since.reset();
  if (!inputs.primary_busy && !state->idle_since) {
    state->idle_since = inputs.now;
  }
  const MemberHealth* best = BestCandidate(inputs);
  if (best == nullptr || best->leaving) return false;
  bool overdue = inputs.now - *state->leaving_since >= kDrainTimeout;
  bool idle =
      state->idle_since && inputs.now - *state->idle_since >= kDrainIdleTime;
  bool caught_up = best->received >= primary->received;
  return caught_up && (overdue || idle);
}

FailoverAction DiscoverPrimary(FailoverState* state,
                               const FailoverInputs& inputs) {
  if (state->phase != Phase::kDiscovering) {
    Enter(state, Phase::kDiscovering, inputs.now);
  }
  bool all_answered =
      std::all_of(inputs.members.begin(), inputs.members.end(),
                  [&](const MemberHealth& m) { return Fresh(m, inputs.now); });
  if (!all_answered && inputs.now - state->since < kDiscoveryTime) return {};
  const MemberHealth* claimant = SoleClaimant(inputs, Term(0));
  if (claimant == nullptr) return {};
  state->candidate = claimant->id;
  state->new_term = claimant->received.term;
  Enter(state, Phase::kCommittingPrimary, inputs.now);
  return Act(state, Kind::kProposePrimary, claimant->id, state->new_term);
}

FailoverAction ProposeIntent(FailoverState* state, const FailoverInputs& inputs,
                             const MemberHealth* successor) {
  if (successor == nullptr) return {};
  state->candidate = successor->id;
  if (!inputs.intent) state->ordered = false;
  Enter(state, Phase::kCommittingIntent, inputs.now);
  FailoverAction action =
      Act(state, Kind::kProposeIntent, successor->id, inputs.term);
  action.may_lose_writes = state->incomplete_since.has_value();
  return action;
}

FailoverAction Promote(FailoverState* state, const FailoverInputs& inputs) {
  state->ordered = true;
  FailoverAction action =
      Act(state, Kind::kPromote, state->candidate, inputs.intent->old_term);
  action.may_lose_writes = state->incomplete_since.has_value();
  return action;
}

FailoverAction ProposeNewPrimary(FailoverState* state,
                                 const FailoverInputs& inputs,
                                 const MemberHealth& member) {
  state->candidate = member.id;
  state->new_term = member.received.term;
  Enter(state, Phase::kCommittingPrimary, inputs.now);
  return Act(state, Kind::kProposePrimary, member.id, state->new_term);
}

/// Whether the primary is to go on rather than be replaced by a member that may
/// lack writes: it is well, and no promotion was ordered under the intent, or
/// the ordered one has not shown for kLostReplicaTimeout.
bool ShouldKeepPrimary(const FailoverState& state,
                       const FailoverInputs& inputs) {
  const MemberHealth* primary = Find(inputs, inputs.primary);
  bool well = primary != nullptr && Fresh(*primary, inputs.now) &&
              primary->is_primary && primary->received.term == inputs.term &&
              !primary->leaving && !Suspected(inputs);
  if (!well || !state.incomplete_since) return false;
  bool waited = inputs.now - *state.incomplete_since >= kLostReplicaTimeout;
  return waited || !state.ordered;
}

/// Continues a committed intent, including one of a previous owner. Its
/// candidate was chosen before the acknowledgements ended, so whether it has
/// them is checked again.
FailoverAction ContinueFailover(FailoverState* state,
                                const FailoverInputs& inputs) {
  if (state->phase != Phase::kPromoting) {
    Enter(state, Phase::kPromoting, inputs.now);
  }
  state->candidate = inputs.intent->candidate;
  const MemberHealth* candidate = Find(inputs, state->candidate);
  bool reachable = candidate != nullptr && Fresh(*candidate, inputs.now);
  if (reachable && candidate->is_primary &&
      candidate->received.term > inputs.intent->old_term) {
    return ProposeNewPrimary(state, inputs, *candidate);
  }
  const MemberHealth* successor = ChooseSuccessor(state, inputs);
  bool promotable = reachable && !candidate->is_primary;
  bool complete = promotable && HasAllAcknowledged(*candidate, inputs);
  if (complete) return Promote(state, inputs);
  if (ShouldKeepPrimary(*state, inputs)) {
    return ProposeNewPrimary(state, inputs, *Find(inputs, inputs.primary));
  }
  if (promotable && successor == candidate) return Promote(state, inputs);
  // A candidate that is out of reach may already carry out its promotion.
  bool wait = !promotable && inputs.now - state->since < kCandidateTimeout;
  if (wait) return {};
  return ProposeIntent(state, inputs, successor);
}

FailoverAction MonitorPrimary(FailoverState* state,
                              const FailoverInputs& inputs) {
  if (state->phase != Phase::kSteady) {
    Enter(state, Phase::kSteady, inputs.now);
  }
  const MemberHealth* newer = SoleClaimant(inputs, inputs.term);
  bool itself = newer != nullptr && newer->id == inputs.primary;
  if (itself) return ProposeNewPrimary(state, inputs, *newer);
  if (ReadyToHandOver(state, inputs)) {
    return ProposeIntent(state, inputs, BestCandidate(inputs));
  }
  if (!Suspected(inputs)) {
    state->incomplete_since.reset();
    return {};
  }
  Enter(state, Phase::kQueryingObservers, inputs.now);
  return Act(state, Kind::kAskObservers, inputs.primary, inputs.term);
}

/// Whether the proposed primary can no longer be recorded.
bool IsDecidedOtherwise(const FailoverState& state,
                        const FailoverInputs& inputs) {
  if (inputs.term != state.new_term) return inputs.term > state.new_term;
  return !inputs.primary.empty() && inputs.primary != state.candidate;
}

}  // namespace

FailoverAction NextFailoverAction(FailoverState* state,
                                  const FailoverInputs& inputs) {
  if (state->busy || inputs.now < state->not_before) return {};
  switch (state->phase) {
    case Phase::kReleasingGroup:
      if (!Suspected(inputs)) break;
      return Act(state, Kind::kProposeRelease, inputs.primary, inputs.term);
    case Phase::kCommittingIntent:
      if (inputs.intent) return ContinueFailover(state, inputs);
      if (!Suspected(inputs)) break;
      return ProposeIntent(state, inputs, ChooseSuccessor(state, inputs));
    case Phase::kCommittingPrimary:
      if (IsDecidedOtherwise(*state, inputs)) break;
      return Act(state, Kind::kProposePrimary, state->candidate,
                 state->new_term);
    case Phase::kSteady:
    case Phase::kDiscovering:
    case Phase::kQueryingObservers:
    case Phase::kPromoting:
      break;
  }
  if (inputs.intent) return ContinueFailover(state, inputs);
  if (inputs.primary.empty()) return DiscoverPrimary(state, inputs);
  return MonitorPrimary(state, inputs);
}

void OnFailoverEvent(FailoverState* state, const FailoverEvent& event,
                     Time now) {
  state->busy = false;
  Time retry = now + kFailoverRetry;
  switch (event.kind) {
    case FailoverEvent::Kind::kObserved:
      Enter(state, event.ok ? Phase::kReleasingGroup : Phase::kCommittingIntent,
            now);
      return;
    case FailoverEvent::Kind::kReleased:
      state->not_before = retry;
      Enter(state, Phase::kSteady, now);
      return;
    case FailoverEvent::Kind::kIntended:
      if (event.ok) return Enter(state, Phase::kPromoting, now);
      state->not_before = retry;
      Enter(state, Phase::kSteady, now);
      return;
    case FailoverEvent::Kind::kPromoted:
      if (event.ok) {
        state->new_term = event.term;
        return Enter(state, Phase::kCommittingPrimary, now);
      }
      state->not_before = retry;
      return;
    case FailoverEvent::Kind::kRecorded:
      if (event.ok) return Enter(state, Phase::kSteady, now);
      // It may be recorded yet, so the old primary is not used meanwhile.
      state->not_before = retry;
      return;
  }
}

bool MayUsePrimary(const FailoverState& state, const FailoverInputs& inputs) {
  if (inputs.primary.empty() || inputs.intent) return false;
  return state.phase == FailoverPhase::kSteady ||
         state.phase == FailoverPhase::kQueryingObservers;
}

}  // namespace cardamomchute
