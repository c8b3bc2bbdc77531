#include "cardamomchute/fleet/key_authority_server.h"

#include <algorithm>

#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

/// After waiting this long for the leader, a relay is told what is left of the
/// last grant.
constexpr Duration kMaxWait = Millis(150);
/// Minimum interval between two questions to the leader.
constexpr Duration kQuestionInterval = Millis(100);
/// Questions to the leader are forgotten after this long.
constexpr Duration kQuestionKept = Seconds(2);

/// Sends nothing if no time is left: the relay asks again.
void Answer(const AuthorityRequest& request, const KeyGrant& grant,
            const KeeperMap& keepers, Time now,
            const KeyAuthorityServer::Send& send) {
  Duration left = TimeLeft(grant, now);
  if (left <= Duration()) return;
  AuthorityGrant answer{request.number, left, grant.layout_version,
                        keepers.version};
  if (keepers.version > request.keeper_version) answer.keeper_map = keepers;
  send(answer);
}

}  // namespace

KeyAuthorityServer::KeyAuthorityServer(KeyAuthorityServerParams params)
    : params_(std::move(params)) {
  // The leader's answer to an earlier process may reach this one.
  delegated_.questions.last = WallClockMs();
}

void KeyAuthorityServer::OnRequest(const Link* link,
                                   const AuthorityRequest& request, Send send) {
  Time now = params_.clock();
  if (std::optional<KeyGrant> own = params_.own())
    return Answer(request, *own, params_.keepers(), now, send);
  if (IsFresh(delegated_, now))
    return Answer(request, delegated_.grant, delegated_keepers_, now, send);
  waiting_.push_back({link, request, std::move(send), now});
  AskLeader(request, now);
}

void KeyAuthorityServer::AskLeader(const AuthorityRequest& request, Time now) {
  AuthorityQuestions& questions = delegated_.questions;
  bool recent =
      !questions.sent.empty() && now - questions.asked < kQuestionInterval;
  if (recent) return;
  AuthorityRequest question = request;
  question.number = Ask(questions, now, kQuestionKept);
  question.member = params_.self;
  question.keeper_version = delegated_keepers_.version;
  if (params_.send_to_leader(question)) return;
  LogLine(LogLevel::kDebug, "key_authority_no_leader")
      .Field("waiting", waiting_.size())
      .Field("left_ms", TimeLeft(delegated_.grant, now).ms());
}

void KeyAuthorityServer::OnLinkLost(const Link* link) {
  std::erase_if(waiting_, [link](const Waiting& waiting) {
    return waiting.link == link;
  });
}

void KeyAuthorityServer::OnGrant(const AuthorityGrant& grant) {
  bool asked = TakeDelegated(delegated_, grant.number, grant.layout_version,
                             grant.valid);
  if (!asked) return;
  // A map that this member has may be newer than a late answer's.
  bool newer = grant.keeper_map &&
               grant.keeper_map->version > delegated_keepers_.version;
  if (newer) delegated_keepers_ = *grant.keeper_map;
  Time now = params_.clock();
  for (const Waiting& waiting : std::exchange(waiting_, {}))
    Answer(waiting.request, delegated_.grant, delegated_keepers_, now,
           waiting.send);
}

void KeyAuthorityServer::OnTick(Time now) {
  std::vector<Waiting> waiting = std::exchange(waiting_, {});
  for (Waiting& item : waiting) {
    if (now - item.since < kMaxWait)
      waiting_.push_back(std::move(item));
    else
      Answer(item.request, delegated_.grant, delegated_keepers_, now,
             item.send);
  }
}

}  // namespace cardamomchute
