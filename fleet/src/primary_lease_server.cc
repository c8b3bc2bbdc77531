#include "cardamomchute/fleet/primary_lease_server.h"

#include <algorithm>

namespace cardamomchute {
namespace {

/// A relay that has waited longer than this has sent its request again.
constexpr Duration kMaxWait = Millis(200);

bool Names(const GrantableLeases& leases, const std::vector<GroupId>& groups) {
  return std::all_of(groups.begin(), groups.end(), [&leases](const GroupId& g) {
    return leases.primaries.contains(g);
  });
}

}  // namespace

std::optional<GrantableLeases> PrimaryLeaseServer::Available(Time now) {
  if (std::optional<GrantableLeases> own = params_.grantable()) {
    RecordGrants(ledger_, *own);
    return own;
  }
  if (now >= delegated_.until) return std::nullopt;
  return delegated_;
}

void PrimaryLeaseServer::OnRequest(const PrimaryLeaseRequest& request,
                                   Reply reply) {
  Time now = Now();
  std::optional<GrantableLeases> available = Available(now);
  bool renew = !available || available->until - now < kLeaseRenewal;
  if (renew) AskLeader(now);
  // What was delegated may predate a change of primary: then the leader is
  // asked again.
  if (available && Names(*available, request.groups))
    return Answer(request, *available, reply);
  std::erase_if(waiting_, [now](const Waiting& waiting) {
    return now - waiting.since > kMaxWait;
  });
  waiting_.push_back({request, std::move(reply), now});
  if (!renew) AskLeader(now);
}

void PrimaryLeaseServer::AskLeader(Time now) {
  if (now - asked_ < kLeaseRequestInterval) return;
  asked_ = now;
  params_.ask_leader({params_.self, ++number_});
}

void PrimaryLeaseServer::Answer(const PrimaryLeaseRequest& request,
                                const GrantableLeases& available,
                                const Reply& reply) {
  PrimaryLeaseGrant grant;
  grant.number = request.number;
  grant.valid = std::max(available.until - Now(), Duration());
  for (const GroupId& group : request.groups) {
    auto primary = available.primaries.find(group);
    if (primary != available.primaries.end()) grant.primaries.insert(*primary);
  }
  reply(grant);
}

std::optional<GrantableAnswer> PrimaryLeaseServer::OnGrantableRequest(
    const GrantableRequest& request) {
  std::optional<GrantableLeases> own = params_.grantable();
  if (!own) return std::nullopt;
  RecordGrants(ledger_, *own);
  GrantableAnswer answer;
  answer.grant.number = request.number;
  answer.grant.valid = std::max(own->until - Now(), Duration());
  answer.grant.primaries = std::move(own->primaries);
  return answer;
}

void PrimaryLeaseServer::OnGrantableAnswer(const GrantableAnswer& answer) {
  // The send time of an earlier request is not kept.
  if (answer.grant.number != number_) return;
  delegated_.until = asked_ + answer.grant.valid;
  delegated_.primaries = answer.grant.primaries;
  std::vector<Waiting> waiting = std::exchange(waiting_, {});
  for (const Waiting& item : waiting)
    Answer(item.request, delegated_, item.reply);
}

void PrimaryLeaseServer::OnLeadershipChange(bool is_leader) {
  if (is_leader) BeginLeadership(ledger_, Now());
  // A leader grants by its own confirmations only.
  delegated_ = GrantableLeases();
  waiting_.clear();
}

}  // namespace cardamomchute
