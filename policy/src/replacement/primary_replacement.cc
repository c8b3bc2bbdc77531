#include "cardamomchute/policy/replacement/primary_replacement.h"

#include <algorithm>
#include <tuple>

namespace cardamomchute {
namespace {

/// Log positions by which a replica that is still receiving may trail the
/// primary.
constexpr uint64_t kMaxCommitsInFlight = 20;
/// The log of a primary that leaves is lost with it.
constexpr Duration kLogEndWaitLeaving = Seconds(2);
constexpr Duration kLogEndWait = Millis(300);

}  // namespace

std::string_view ToString(PrimaryReplacementCause cause) {
  switch (cause) {
    case PrimaryReplacementCause::kReview:
      return "review";
    case PrimaryReplacementCause::kConfirm:
      return "confirm";
    case PrimaryReplacementCause::kTrouble:
      return "trouble";
    case PrimaryReplacementCause::kStalled:
      return "stalled";
    case PrimaryReplacementCause::kLeaving:
      return "leaving";
    case PrimaryReplacementCause::kLagging:
      return "lagging";
  }
  return "review";
}

bool SuspectsPrimary(PrimaryReplacementCause cause) {
  return cause != PrimaryReplacementCause::kLagging &&
         cause != PrimaryReplacementCause::kConfirm;
}

Duration LogEndWait(PrimaryReplacementCause cause) {
  switch (cause) {
    case PrimaryReplacementCause::kLeaving:
      return kLogEndWaitLeaving;
    case PrimaryReplacementCause::kStalled:
      // A replica that could receive more would have had a write acknowledged.
      return Duration();
    default:
      return kLogEndWait;
  }
}

std::optional<MemberStatus> FindHighestTermPrimary(
    const std::vector<MemberStatus>& all) {
  std::optional<MemberStatus> leader;
  for (const MemberStatus& answer : all) {
    if (!answer.answered || !answer.is_primary) continue;
    if (!leader || answer.term > leader->term) leader = answer;
  }
  return leader;
}

Term HighestTerm(const std::vector<MemberStatus>& all) {
  Term newest;
  for (const MemberStatus& answer : all) {
    newest = std::max({newest, answer.term, answer.received.term});
  }
  return newest;
}

ReplacementDecision NextReplacementStep(const std::vector<MemberStatus>& all,
                                        const FormerPrimary& former) {
  Term newest = HighestTerm(all);
  ReplacementDecision verdict;
  verdict.term = newest.Next();
  // An earlier promotion request may have taken effect in the meantime.
  std::optional<MemberStatus> leader = FindHighestTermPrimary(all);
  bool other_leads = leader && leader->endpoint.id != former.endpoint &&
                     leader->term >= newest;
  if (other_leads) {
    verdict.step = ReplacementStep::kAdopt;
    verdict.endpoint = leader->endpoint.id;
    return verdict;
  }
  const MemberStatus* best = nullptr;
  const MemberStatus* demoted = nullptr;
  bool all_answered = true;
  bool all_paused = true;
  for (const MemberStatus& answer : all) {
    if (answer.endpoint.id == former.endpoint) {
      bool follows = former.log_end && answer.answered && !answer.is_primary;
      if (follows) demoted = &answer;
      continue;
    }
    if (!answer.answered) {
      all_answered = false;
      continue;
    }
    if (answer.paused_below <= newest) all_paused = false;
    auto rank = [](const MemberStatus& a) {
      return std::tuple(a.received, !a.endpoint.leaving);
    };
    if (best == nullptr || rank(answer) > rank(*best)) best = &answer;
  }
  bool complete =
      former.log_end && best != nullptr && best->received >= *former.log_end;
  bool incomplete = former.log_end && !complete;
  // Without the whole log, one that does not answer may have the most.
  bool has_all = complete || demoted != nullptr;
  bool log_may_return = !complete && demoted == nullptr && former.may_return;
  bool may_lack = incomplete || former.copy_lost ||
                  (best != nullptr && best->received < former.seen);
  bool must_wait = (incomplete && former.wait_for_log_end) ||
                   (!has_all && !all_answered) || (log_may_return && may_lack);
  if (must_wait) {
    verdict.step = ReplacementStep::kWait;
    return verdict;
  }
  // One that leaves may return, too: its log comes to its successor at its
  // address, or to a replica that receives again.
  if (incomplete && demoted != nullptr) best = demoted;
  if (best == nullptr) {
    verdict.step = ReplacementStep::kWait;
  } else if (!all_paused) {
    verdict.step = ReplacementStep::kPause;
  } else {
    verdict.step = ReplacementStep::kPromote;
    verdict.endpoint = best->endpoint.id;
  }
  return verdict;
}

bool AnyPaused(const std::vector<MemberStatus>& all) {
  Term newest = HighestTerm(all);
  return std::any_of(all.begin(), all.end(),
                     [newest](const MemberStatus& answer) {
                       return answer.answered && !answer.is_primary &&
                              answer.paused_below > newest;
                     });
}

bool ConfirmsPrimary(const std::vector<MemberStatus>& all,
                     const EndpointId& primary) {
  std::optional<MemberStatus> leader = FindHighestTermPrimary(all);
  bool current = leader && leader->endpoint.id == primary &&
                 leader->term >= HighestTerm(all);
  if (!current || AnyPaused(all)) return false;
  return all.size() == 1 ||
         std::any_of(all.begin(), all.end(),
                     [&primary](const MemberStatus& answer) {
                       return answer.answered && answer.endpoint.id != primary;
                     });
}

bool ShouldKeepPrimary(const std::vector<MemberStatus>& all,
                       const PrimaryCheck& check) {
  std::optional<MemberStatus> leader = FindHighestTermPrimary(all);
  bool current = leader && leader->term >= HighestTerm(all);
  if (!current) return false;
  // An order may still take effect, and then without the commits that resumed
  // replicas have acknowledged.
  bool may_be_replaced =
      check.order_outstanding || (AnyPaused(all) && !check.confirmed);
  if (may_be_replaced) return false;
  if (leader->endpoint.id != check.primary) return true;
  switch (check.cause) {
    case PrimaryReplacementCause::kStalled:
    case PrimaryReplacementCause::kLeaving:
      return false;
    case PrimaryReplacementCause::kLagging:
      return !ShouldReplaceForLag(all, check.primary, check.lag_bound);
    default:
      return true;
  }
}

bool ShouldReplaceForLag(const std::vector<MemberStatus>& all,
                         const EndpointId& primary, Duration bound) {
  std::optional<MemberStatus> leader = FindHighestTermPrimary(all);
  if (!leader || leader->endpoint.id != primary) return false;
  bool successor = false;
  for (const MemberStatus& answer : all) {
    if (answer.endpoint.id == primary) continue;
    if (!answer.answered) return false;
    if (answer.endpoint.leaving) continue;
    if (answer.lag <= bound) return false;
    bool has_all = answer.received.term == leader->received.term &&
                   answer.received.position.value() + kMaxCommitsInFlight >=
                       leader->received.position.value();
    successor = successor || has_all;
  }
  return successor;
}

}  // namespace cardamomchute
