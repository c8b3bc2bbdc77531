/// Which members a leading QuorumHost takes in, lets vote, and lets go.
#include <algorithm>

#include "cardamomchute/base/log.h"
#include "cardamomchute/peers/quorum_host.h"

namespace cardamomchute {
namespace {

constexpr Duration kReviewInterval = Millis(200);
/// With nobody known to have replaced it, a silent voter is kept longer: by
/// this many times `replace_silent_after`.
constexpr int64_t kUnreplacedFactor = 3;

/// Nothing if no voter would be left.
std::optional<QuorumConfig> Without(const QuorumConfig& config,
                                    const MemberId& id) {
  bool last_voter = IsVoter(config, id) && VoterCount(config) == 1;
  if (last_voter) return std::nullopt;
  QuorumConfig next = config;
  next.members.erase(id);
  return next;
}

}  // namespace

bool QuorumHost::Admitted(const MemberHello& hello) const {
  if (hooks_.excludes(hello.vm)) return false;
  if (hooks_.admits(hello)) return true;
  const QuorumConfig& config = quorum_.config;
  return std::any_of(
      config.members.begin(), config.members.end(),
      [&hello](const auto& item) { return item.second.vm == hello.vm; });
}

/// The next step of a learner that has caught up: its predecessor on the same
/// VM goes first, then it may vote.
std::optional<QuorumConfig> QuorumHost::WithPromotion(Time now) const {
  for (const auto& [id, info] : quorum_.config.members) {
    if (info.voter || !CaughtUp(quorum_, id, now)) continue;
    for (const auto& [other, other_info] : quorum_.config.members) {
      bool predecessor = other != id && other_info.vm == info.vm;
      if (predecessor) return Without(quorum_.config, other);
    }
    QuorumConfig next = quorum_.config;
    next.members[id].voter = true;
    return next;
  }
  return std::nullopt;
}

/// Lets a silent voter go that a newer member has replaced.
std::optional<QuorumConfig> QuorumHost::WithoutReplaced(Time now) const {
  if (settings_.replace_silent_after <= Duration()) return std::nullopt;
  for (const auto& entry : quorum_.progress) {
    const MemberId& id = entry.first;
    auto info = quorum_.config.members.find(id);
    if (id == quorum_.self || info == quorum_.config.members.end()) continue;
    Time last = std::max(entry.second.last_answer, reign_start_);
    Duration silent = now - last;
    if (silent < settings_.replace_silent_after) continue;
    bool replaced =
        std::any_of(joined_.begin(), joined_.end(), [&](const auto& item) {
          return item.first != id && item.second > last;
        });
    bool long_gone =
        silent >= settings_.replace_silent_after * kUnreplacedFactor;
    bool enough = VoterCount(quorum_.config) > 3 || !info->second.voter;
    if (enough && (replaced || long_gone)) return Without(quorum_.config, id);
  }
  return std::nullopt;
}

std::optional<QuorumConfig> QuorumHost::NextConfig(Time now) const {
  for (const auto& [id, info] : quorum_.config.members) {
    if (hooks_.excludes(info.vm)) return Without(quorum_.config, id);
  }
  for (const auto& [vm, heard] : heard_) {
    const MemberHello& hello = heard.hello;
    bool recent = now - heard.at < kGreetingValid;
    bool known = quorum_.config.members.contains(hello.id);
    if (!recent || known || !Admitted(hello)) continue;
    QuorumConfig next = quorum_.config;
    std::erase_if(next.members, [&vm = vm](const auto& item) {
      return item.second.vm == vm && !item.second.voter;
    });
    next.members[hello.id] = QuorumMember{vm, hello.address, false};
    return next;
  }
  std::optional<QuorumConfig> promoted = WithPromotion(now);
  return promoted ? promoted : WithoutReplaced(now);
}

void QuorumHost::ReviewMembers(Time now) {
  if (now < next_review_) return;
  next_review_ = now + kReviewInterval;
  std::optional<QuorumConfig> next = NextConfig(now);
  if (!next) return;
  QuorumConfig before = quorum_.config;
  Result<LogIndex> index = ProposeConfig(quorum_, *next);
  if (!index) return;
  LogLine line(LogLevel::kInfo, "membership_change");
  for (const auto& [id, info] : next->members) {
    line.Field(id.value(), info.voter ? "voter" : "learner");
    if (info.voter && !IsVoter(before, id)) joined_[id] = now;
  }
}

}  // namespace cardamomchute
