#include "cardamomchute/policy/replacement_steps.h"

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
  return {{.kind = Kind::kAskStatus}};
}

ReplacementActions AskStatusLater(Replacement* run) {
  run->awaits_effect = false;
  return Wait(run, kStatusInterval, Replacement::After::kAskStatus);
}

void Append(ReplacementActions* to, ReplacementActions from) {
  to->insert(to->end(), from.begin(), from.end());
}

void RecordDemoted(Replacement* run, const MemberStatus& answer, Time now) {
  if (!run->former.log_end) run->demoted_at = now;
  run->former.log_end = answer.received;
  run->former_status = answer;
}

/// The run replaces `endpoint`, and has not begun to.
void SetFormer(Replacement* run, const EndpointId& endpoint) {
  run->former = FormerPrimary{.endpoint = endpoint};
  run->former_status = MemberStatus();
  run->demote_tried = false;
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

ReplacementActions Keep(Replacement* run, const Answers& answers,
                        const MemberStatus& leader) {
  const EndpointId& id = leader.endpoint.id;
  if (MayUseRecorded(*run, answers, id)) return {{.kind = Kind::kEndLeases}};
  ReplacementActions actions = KeepActions(answers, leader);
  run->orders.clear();
  run->leases_ended = false;
  SetFormer(run, id);
  bool same = id == run->recorded;
  // A primary that this leader confirmed earlier stays so: nobody else could
  // have replaced it.
  if (!same || ConfirmsPrimary(answers, id))
    actions.push_back({.kind = Kind::kConfirm, .endpoint = id});
  actions.push_back(
      {.kind = Kind::kAdopt, .endpoint = id, .term = leader.term});
  if (!same) {
    actions.push_back({.kind = Kind::kFinish});
    return actions;
  }
  Append(&actions, Wait(run, kStatusInterval, Replacement::After::kFinish));
  return actions;
}

ReplacementActions SendOrder(Replacement* run, const EndpointId& endpoint,
                             Term newest, Time now) {
  if (now < run->first_order_at) {
    return Wait(run, run->first_order_at - now, Replacement::After::kAskStatus);
  }
  run->chosen = endpoint;
  run->order_sent = now;
  run->awaits_effect = true;
  run->orders.push_back({endpoint, run->next_token(), newest});
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

ReplacementActions Decide(Replacement* run, const Answers& answers, Time now) {
  run->former.wait_for_log_end =
      run->former.log_end && now < run->demoted_at + LogEndWait(run->cause);
  ReplacementDecision decision = NextReplacementStep(answers, run->former);
  switch (decision.step) {
    case ReplacementStep::kPause:
      return Pause(run, decision.term);
    case ReplacementStep::kPromote:
      return SendOrder(run, decision.endpoint, HighestTerm(answers), now);
    case ReplacementStep::kAdopt:
    case ReplacementStep::kKeep:
    case ReplacementStep::kWait:
      break;
  }
  return Wait(run, run->former.log_end ? kPollInterval : kStatusInterval,
              Replacement::After::kAskStatus);
}

/// The endpoint that was ordered to lead does.
ReplacementActions Adopt(Replacement* run, Term term) {
  run->orders.clear();
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

std::string_view ToString(PromoteOutcome outcome) {
  switch (outcome) {
    case PromoteOutcome::kAccepted:
      return "accepted";
    case PromoteOutcome::kRefused:
      return "refused";
    case PromoteOutcome::kUnknown:
      return "unknown";
    case PromoteOutcome::kNotSent:
      return "not_sent";
  }
  return "unknown";
}

ReplacementActions StartReplacement(Replacement* run, Time now) {
  run->started = now;
  run->former.endpoint = run->recorded;
  return AskStatus(run, now);
}

ReplacementActions OnStatus(Replacement* run, const Answers& answers,
                            Time now) {
  std::optional<MemberStatus> leader = FindHighestTermPrimary(answers);
  if (KeepsPrimary(*run, answers, leader)) return Keep(run, answers, *leader);
  bool current = leader && leader->term >= HighestTerm(answers);
  if (current && leader->endpoint.id != run->former.endpoint)
    SetFormer(run, leader->endpoint.id);
  bool reachable = leader && leader->endpoint.id == run->former.endpoint;
  if (reachable && !run->demote_tried) {
    run->demote_tried = true;
    return {{.kind = Kind::kDemote,
             .endpoint = leader->endpoint.id,
             .term = HighestTerm(answers).Next()}};
  }
  // It may have been demoted by an earlier control leader.
  for (const MemberStatus& answer : answers) {
    bool follows = answer.answered && !answer.is_primary;
    if (follows && answer.endpoint.id == run->former.endpoint)
      RecordDemoted(run, answer, now);
  }
  bool begun = run->demote_tried || !run->orders.empty() || AnyPaused(answers);
  if (!SuspectsPrimary(run->cause) && !leader && !begun)
    return Wait(run, kStatusInterval, Replacement::After::kFinish);
  if (!run->former.log_end && !run->leases_ended) {
    run->pause_below = HighestTerm(answers).Next();
    run->leases_asked = now;
    return {{.kind = Kind::kEndLeases}};
  }
  return Decide(run, answers, now);
}

ReplacementActions OnDemoted(Replacement* run, const MemberStatus& answer,
                             Time now) {
  bool demoted = answer.answered && !answer.is_primary;
  if (demoted) RecordDemoted(run, answer, now);
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
    return Adopt(run, answer.term);
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

void Suspect(Replacement* run, PrimaryReplacementCause cause) {
  if (SuspectsPrimary(run->cause)) return;
  run->cause = cause;
  run->suspected_again = true;
}

}  // namespace cardamomchute
