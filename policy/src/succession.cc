#include "cardamomchute/policy/succession.h"

#include <algorithm>
#include <tuple>

namespace cardamomchute {
namespace {

/// Log positions by which a replica that is still receiving may trail the
/// primary.
constexpr uint64_t kMaxCommitsInFlight = 20;

}  // namespace

std::optional<MemberAnswer> LeaderAmong(const std::vector<MemberAnswer>& all) {
  std::optional<MemberAnswer> leader;
  for (const MemberAnswer& answer : all) {
    if (!answer.answered || !answer.leads) continue;
    if (!leader || answer.term > leader->term) leader = answer;
  }
  return leader;
}

Term NewestTerm(const std::vector<MemberAnswer>& all) {
  Term newest;
  for (const MemberAnswer& answer : all) {
    newest = std::max({newest, answer.term, answer.received.term});
  }
  return newest;
}

SuccessionVerdict NextStep(const std::vector<MemberAnswer>& all,
                           const EndpointId& lead) {
  Term newest = NewestTerm(all);
  SuccessionVerdict verdict;
  verdict.term = newest.Next();
  // An earlier promotion request may have taken effect in the meantime.
  std::optional<MemberAnswer> leader = LeaderAmong(all);
  bool other_leads =
      leader && leader->endpoint.id != lead && leader->term >= newest;
  if (other_leads) {
    verdict.step = SuccessionStep::kAdopt;
    verdict.endpoint = leader->endpoint.id;
    return verdict;
  }
  const MemberAnswer* best = nullptr;
  bool all_paused = true;
  for (const MemberAnswer& answer : all) {
    if (answer.endpoint.id == lead) continue;
    if (!answer.answered) {
      verdict.step = SuccessionStep::kWait;
      return verdict;
    }
    if (answer.paused_below <= newest) all_paused = false;
    auto rank = [](const MemberAnswer& a) {
      return std::tuple(a.received, !a.endpoint.leaving);
    };
    if (best == nullptr || rank(answer) > rank(*best)) best = &answer;
  }
  if (best == nullptr) {
    verdict.step = SuccessionStep::kWait;
  } else if (!all_paused) {
    verdict.step = SuccessionStep::kPause;
  } else {
    verdict.step = SuccessionStep::kPromote;
    verdict.endpoint = best->endpoint.id;
  }
  return verdict;
}

bool ReadersLost(const std::vector<MemberAnswer>& all, const EndpointId& lead,
                 Duration bound) {
  std::optional<MemberAnswer> leader = LeaderAmong(all);
  if (!leader || leader->endpoint.id != lead) return false;
  bool successor = false;
  for (const MemberAnswer& answer : all) {
    if (answer.endpoint.id == lead) continue;
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
