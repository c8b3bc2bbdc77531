#include "cardamomchute/policy/replacement/group_copies.h"

#include <algorithm>
#include <utility>

namespace cardamomchute {
namespace {

/// A replica that is well catches up sooner after the loss of another one.
constexpr Duration kCatchUpTime = Seconds(6);
/// Interval of the queries after kCatchUpTime.
constexpr Duration kLateCheckInterval = Seconds(5);

void NoteLoss(GroupCopies* copies, Time now) {
  copies->lost_at = now;
  copies->primary_at.reset();
}

}  // namespace

void NoteReceived(GroupCopies* copies, const std::vector<MemberStatus>& answers,
                  const EndpointId& primary) {
  for (const MemberStatus& answer : answers) {
    bool replica =
        answer.answered && !answer.is_primary && answer.endpoint.id != primary;
    if (replica) copies->seen = std::max(copies->seen, answer.received);
  }
}

void NoteMembers(GroupCopies* copies,
                 const std::vector<const EndpointRecord*>& members,
                 const EndpointId& primary, Time now) {
  std::map<EndpointId, uint64_t> present;
  for (const EndpointRecord* member : members)
    present[member->id] = member->started_ms;
  bool lost = std::any_of(copies->members.begin(), copies->members.end(),
                          [&](const std::pair<EndpointId, uint64_t>& earlier) {
                            auto found = present.find(earlier.first);
                            bool same = found != present.end() &&
                                        found->second == earlier.second;
                            return !same && earlier.first != primary;
                          });
  copies->members = std::move(present);
  if (lost) NoteLoss(copies, now);
}

void NoteCaughtUp(GroupCopies* copies, const std::vector<MemberStatus>& answers,
                  Time asked) {
  copies->checked_at = asked;
  bool counts = copies->lost_at && asked > *copies->lost_at;
  if (!counts) return;
  std::optional<MemberStatus> leader = FindHighestTermPrimary(answers);
  bool current = leader && leader->term >= HighestTerm(answers);
  if (current && !copies->primary_at) copies->primary_at = leader->received;
  if (!copies->primary_at) return;
  bool caught_up = std::any_of(answers.begin(), answers.end(),
                               [copies](const MemberStatus& answer) {
                                 return answer.answered && !answer.is_primary &&
                                        !answer.endpoint.leaving &&
                                        answer.received >= *copies->primary_at;
                               });
  if (caught_up) copies->lost_at.reset();
}

bool IsCopyCheckDue(const GroupCopies& copies, Time now) {
  if (!copies.lost_at) return false;
  bool late = now - *copies.lost_at > kCatchUpTime;
  return !late || now - copies.checked_at >= kLateCheckInterval;
}

void NoteConfirmed(GroupCopies* copies) { copies->seen = Floor(); }

void NoteReplaced(GroupCopies* copies, Time now) {
  NoteConfirmed(copies);
  NoteLoss(copies, now);
}

}  // namespace cardamomchute
