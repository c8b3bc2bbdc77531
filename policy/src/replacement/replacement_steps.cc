#include "cardamomchute/policy/replacement/replacement_steps.h"

#include <algorithm>
#include <utility>

namespace cardamomchute {
namespace {

using Kind = ReplacementActionKind;
using Answers = std::vector<MemberStatus>;

/// Interval of status queries to the promoted endpoint.
constexpr Duration kPollInterval = Millis(30);
/// Interval of status queries to the whole group.
constexpr Duration kStatusInterval = Millis(100);
/// An order that had no effect is followed by another one after this long.
constexpr Duration kOrderRetryDelay = Millis(1500);
/// The replacement is abandoned after this long; a new one may then start.
constexpr Duration kReplacementTimeout = Seconds(6);

ReplacementActions Wait(Replacement* run, Duration delay,
                        Replacement::After after) {
  run->after_wait = after;
  return {{.kind = Kind::kWait, .delay = delay}};
}

ReplacementActions AskStatus(Replacement* run, Time now) {
  run->awaits_effect = false;
  if (now - run->started > kReplacementTimeout)
    return {{.kind = Kind::kFinish}};
  run->asked = now;
  return {{.kind = Kind::kAskStatus}};
}

ReplacementActions AskStatusLater(Replacement* run) {
  run->awaits_effect = false;
  return Wait(run, kStatusInterval, Replacement::After::kAskStatus);
}

void Append(ReplacementActions* to, ReplacementActions from) {
  to->insert(to->end(), from.begin(), from.end());
}

/// An answer with less than an earlier one is that of an endpoint that has lost
/// its log.
void RecordDemoted(Replacement* run, const MemberStatus& answer, Time now) {
  if (!run->former.log_end) run->demoted_at = now;
  bool lost_log = run->former.log_end && answer.received < *run->former.log_end;
  run->former_status = lost_log ? MemberStatus() : answer;
  if (!lost_log) run->former.log_end = answer.received;
}

/// The run replaces `endpoint`, and has not begun to.
void SetFormer(Replacement* run, const EndpointId& endpoint) {
  run->former = FormerPrimary{.endpoint = endpoint};
  run->former_status = MemberStatus();
  run->demote_tried = false;
}

/// Notes the former primary's answer as a replica. Unless this run demoted it,
/// it is a replica like others: an earlier leader may have demoted it, but its
/// record may also be old, or it may have started again without its log.
void NoteFormer(Replacement* run, const Answers& answers, Time now) {
  for (const MemberStatus& answer : answers) {
    bool follows = answer.answered && !answer.is_primary;
    if (!follows || answer.endpoint.id != run->former.endpoint) continue;
    if (run->demote_tried) return RecordDemoted(run, answer, now);
    return SetFormer(run, EndpointId());
  }
}

/// Demotes endpoints that still act as primary of an older term, and resumes
/// paused replicas.
ReplacementActions KeepActions(const Answers& answers,
                               const MemberStatus& leader) {
  ReplacementActions actions;
  for (const MemberStatus& answer : answers) {
    if (!answer.answered || answer.endpoint.id == leader.endpoint.id) continue;
    bool stale = answer.is_primary && answer.term < leader.term;
    bool paused = !answer.is_primary && answer.paused_below > Term();
    if (!stale && !paused) continue;
    actions.push_back({.kind = stale ? Kind::kDemoteStale : Kind::kResume,
                       .endpoint = answer.endpoint.id,
                       .term = leader.term});
  }
  return actions;
}

/// Whether relays may still use the recorded primary, other than `leader`.
bool MayUseRecorded(const Replacement& run, const Answers& answers,
                    const EndpointId& leader) {
  if (run.recorded.empty() || run.recorded == leader || run.leases_ended)
    return false;
  return std::none_of(answers.begin(), answers.end(),
                      [&run](const MemberStatus& answer) {
                        return answer.endpoint.id == run.recorded &&
                               answer.answered && !answer.is_primary;
                      });
}

/// Notes that `id` is the only primary, and has all commits.
void NotePrimary(Replacement* run, const EndpointId& id, Time now) {
  if (id == run->recorded) return NoteConfirmed(&run->copies);
  NoteReplaced(&run->copies, now);
}

ReplacementActions Keep(Replacement* run, const Answers& answers,
                        const MemberStatus& leader, Time now) {
  const EndpointId& id = leader.endpoint.id;
  if (MayUseRecorded(*run, answers, id)) return {{.kind = Kind::kEndLeases}};
  ReplacementActions actions = KeepActions(answers, leader);
  bool same = id == run->recorded;
  // A primary that this leader confirmed earlier stays so: without an order,
  // nobody else could have replaced it.
  bool known = run->confirmed && run->orders.empty();
  if (!same || known || ConfirmsPrimary(answers, id)) {
    run->confirmed = true;
    NotePrimary(run, id, now);
    actions.push_back({.kind = Kind::kConfirm, .endpoint = id});
  }
  run->orders.clear();
  run->leases_ended = false;
  SetFormer(run, id);
  actions.push_back(
      {.kind = Kind::kAdopt, .endpoint = id, .term = leader.term});
  if (!same) {
    actions.push_back({.kind = Kind::kFinish});
    return actions;
  }
  Append(&actions, Wait(run, kStatusInterval, Replacement::After::kFinish));
  return actions;
}

Floor ReceivedBy(const Answers& answers, const EndpointId& endpoint) {
  for (const MemberStatus& answer : answers) {
    if (answer.endpoint.id == endpoint) return answer.received;
  }
  return Floor();
}

ReplacementActions SendOrder(Replacement* run, const EndpointId& endpoint,
                             const Answers& answers, Time now) {
  if (now < run->first_order_at) {
    return Wait(run, run->first_order_at - now, Replacement::After::kAskStatus);
  }
  run->chosen = endpoint;
  run->chosen_received = ReceivedBy(answers, endpoint);
  run->order_sent = now;
  run->awaits_effect = true;
  AddOrder(&run->orders, {endpoint, run->next_token(), HighestTerm(answers)});
  ReplacementActions actions = {
      {.kind = Kind::kSendOrder, .endpoint = endpoint}};
  Append(&actions, Wait(run, kPollInterval, Replacement::After::kPoll));
  return actions;
}

ReplacementActions Pause(Replacement* run, Term below) {
  run->paused_below = std::max(below, run->lowest_pause);
  return {{.kind = Kind::kPause,
           .endpoint = run->former.endpoint,
           .term = run->paused_below}};
}

ReplacementDecision NextStep(Replacement* run, const Answers& answers,
                             Time now) {
  run->former.wait_for_log_end =
      run->former.log_end && now < run->demoted_at + LogEndWait(run->cause);
  run->former.seen = run->copies.seen;
  run->former.copy_lost = run->copies.lost_at.has_value();
  return NextReplacementStep(answers, run->former);
}

ReplacementActions Decide(Replacement* run, const Answers& answers, Time now) {
  ReplacementDecision decision = NextStep(run, answers, now);
  switch (decision.step) {
    case ReplacementStep::kPause:
      return Pause(run, decision.term);
    case ReplacementStep::kPromote:
      return SendOrder(run, decision.endpoint, answers, now);
    case ReplacementStep::kAdopt:
    case ReplacementStep::kKeep:
    case ReplacementStep::kWait:
      break;
  }
  return Wait(run, run->former.log_end ? kPollInterval : kStatusInterval,
              Replacement::After::kAskStatus);
}

bool IsMember(const Answers& answers, const EndpointId& endpoint) {
  return std::any_of(answers.begin(), answers.end(),
                     [&endpoint](const MemberStatus& answer) {
                       return answer.endpoint.id == endpoint;
                     });
}

void NoteAnswers(Replacement* run, const Answers& answers, Time now) {
  std::vector<const EndpointRecord*> members;
  for (const MemberStatus& answer : answers)
    members.push_back(&answer.endpoint);
  NoteMembers(&run->copies, members, run->recorded, now);
  NoteReceived(&run->copies, answers, run->former.endpoint);
  NoteCaughtUp(&run->copies, answers, run->asked);
}

/// The endpoint that was ordered to lead does.
ReplacementActions Adopt(Replacement* run, Term term, Time now) {
  run->orders.clear();
  NotePrimary(run, run->chosen, now);
  return {{.kind = Kind::kConfirm, .endpoint = run->chosen},
          {.kind = Kind::kAdopt, .endpoint = run->chosen, .term = term},
          {.kind = Kind::kFinish}};
}

bool KeepsPrimary(const Replacement& run, const Answers& answers,
                  const std::optional<MemberStatus>& leader) {
  PrimaryCheck check;
  check.primary = run.recorded;
  check.cause = run.cause;
  check.lag_bound = run.lag_bound;
  check.confirmed = run.confirmed;
  check.order_outstanding =
      leader && !Settled(run.orders, leader->endpoint.id, leader->term);
  return ShouldKeepPrimary(answers, check);
}

}  // namespace

ReplacementActions StartReplacement(Replacement* run, Time now) {
  run->started = now;
  run->former.endpoint = run->recorded;
  return AskStatus(run, now);
}

ReplacementActions OnStatus(Replacement* run, const Answers& answers,
                            Time now) {
  NoteAnswers(run, answers, now);
  std::optional<MemberStatus> leader = FindHighestTermPrimary(answers);
  if (KeepsPrimary(*run, answers, leader))
    return Keep(run, answers, *leader, now);
  bool current = leader && leader->term >= HighestTerm(answers);
  // Whoever leads now, perhaps again, has a log that goes on.
  bool new_former = current && (leader->endpoint.id != run->former.endpoint ||
                                run->former.log_end);
  if (new_former) SetFormer(run, leader->endpoint.id);
  bool reachable = leader && leader->endpoint.id == run->former.endpoint;
  if (reachable && !run->demote_tried) {
    run->demote_tried = true;
    return {{.kind = Kind::kDemote,
             .endpoint = leader->endpoint.id,
             .term = HighestTerm(answers).Next()}};
  }
  NoteFormer(run, answers, now);
  run->former.may_return = IsMember(answers, run->former.endpoint);
  bool begun = run->demote_tried || !run->orders.empty() || AnyPaused(answers);
  if (!SuspectsPrimary(run->cause) && !leader && !begun)
    return Wait(run, kStatusInterval, Replacement::After::kFinish);
  if (!run->former.log_end && !run->leases_ended) {
    // The replicas go on receiving while the run waits for an endpoint.
    ReplacementDecision decision = NextStep(run, answers, now);
    if (decision.step != ReplacementStep::kWait)
      run->pause_below = decision.term;
    run->leases_asked = now;
    return {{.kind = Kind::kEndLeases}};
  }
  return Decide(run, answers, now);
}

ReplacementActions OnDemoted(Replacement* run, const MemberStatus& answer,
                             Time now) {
  bool demoted = answer.answered && !answer.is_primary;
  // While an order may take effect, its log need not be the last one.
  if (demoted && run->orders.empty()) RecordDemoted(run, answer, now);
  if (demoted && !run->orders.empty()) SetFormer(run, EndpointId());
  return AskStatus(run, now);
}

ReplacementActions OnLeasesEnded(Replacement* run, Time now) {
  run->leases_ended = true;
  std::optional<Term> below = std::exchange(run->pause_below, std::nullopt);
  // After a longer wait the primary may be back.
  bool recent = below && now - run->leases_asked < kStatusInterval;
  if (!recent) return AskStatus(run, now);
  return Pause(run, *below);
}

ReplacementActions OnPaused(Replacement* run, Answers answers, Time now) {
  NoteReceived(&run->copies, answers, run->former.endpoint);
  bool in_vain = std::any_of(answers.begin(), answers.end(),
                             [run](const MemberStatus& answer) {
                               return answer.answered && !answer.is_primary &&
                                      answer.paused_below < run->paused_below;
                             });
  if (in_vain) {
    run->lowest_pause = run->paused_below.Next();
    return Wait(run, kPollInterval, Replacement::After::kAskStatus);
  }
  // The former primary was not paused, as it may not respond.
  if (run->former_status.answered) answers.push_back(run->former_status);
  return Decide(run, answers, now);
}

ReplacementActions OnOrderAnswered(Replacement* run, uint64_t fence_token,
                                   PromoteOutcome outcome, Time now) {
  switch (outcome) {
    case PromoteOutcome::kAccepted:
      RemoveOrdersBefore(&run->orders, fence_token);
      return {};
    case PromoteOutcome::kUnknown:
      return {};
    case PromoteOutcome::kRefused:
    case PromoteOutcome::kNotSent:
      break;
  }
  bool last =
      !run->orders.empty() && run->orders.back().fence_token == fence_token;
  RemoveOrder(&run->orders, fence_token);
  if (!last || !run->awaits_effect) return {};
  return AskStatusLater(run);
}

ReplacementActions OnPolled(Replacement* run, const MemberStatus& answer,
                            Time now) {
  if (!run->awaits_effect) return {};
  if (!answer.answered) return AskStatusLater(run);
  if (answer.is_primary && Settled(run->orders, run->chosen, answer.term))
    return Adopt(run, answer.term, now);
  bool no_effect = now - run->order_sent > kOrderRetryDelay;
  if (answer.is_primary || no_effect) return AskStatus(run, now);
  return Wait(run, kPollInterval, Replacement::After::kPoll);
}

ReplacementActions OnTimer(Replacement* run, Time now) {
  switch (run->after_wait) {
    case Replacement::After::kAskStatus:
      return AskStatus(run, now);
    case Replacement::After::kPoll:
      if (now - run->started > kReplacementTimeout) break;
      return {{.kind = Kind::kPoll, .endpoint = run->chosen}};
    case Replacement::After::kFinish:
      if (std::exchange(run->suspected_again, false))
        return AskStatus(run, now);
      break;
  }
  return {{.kind = Kind::kFinish}};
}

bool MayLackCommits(const Replacement& run) {
  const std::optional<Floor>& log_end = run.former.log_end;
  if (log_end && run.chosen_received >= *log_end) return false;
  return run.copies.lost_at || run.chosen_received < run.copies.seen;
}

void Suspect(Replacement* run, PrimaryReplacementCause cause) {
  if (SuspectsPrimary(run->cause)) return;
  run->cause = cause;
  run->suspected_again = true;
}

}  // namespace cardamomchute
