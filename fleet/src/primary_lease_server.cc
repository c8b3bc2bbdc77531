#include "cardamomchute/fleet/primary_lease_server.h"

#include <algorithm>

#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

/// A relay that has waited longer than this has sent its request again.
constexpr Duration kMaxWait = Millis(200);
/// A revocation is repeated to those that have not confirmed it: they may have
/// had no link, or not yet known the leader.
constexpr Duration kRevocationInterval = Millis(100);

bool Names(const GrantableLeases& leases, const std::vector<GroupId>& groups) {
  return std::all_of(groups.begin(), groups.end(), [&leases](const GroupId& g) {
    return leases.primaries.contains(g);
  });
}

/// Returns the grant of all leases in `available`.
PrimaryLeaseGrant GrantOf(uint64_t number, const GrantableLeases& available) {
  PrimaryLeaseGrant grant;
  grant.number = number;
  grant.valid = std::max(available.until - Now(), Duration());
  for (const auto& [group, primary] : available.primaries) {
    grant.primaries[group] = primary.endpoint;
    grant.terms[group] = primary.term;
  }
  return grant;
}

/// Returns the leases of a grant that was requested at `asked`.
GrantableLeases LeasesOf(const PrimaryLeaseGrant& grant, Time asked) {
  GrantableLeases leases;
  leases.until = asked + grant.valid;
  for (const auto& [group, endpoint] : grant.primaries) {
    auto term = grant.terms.find(group);
    leases.primaries[group] = LeasedPrimary{
        endpoint, term == grant.terms.end() ? Term() : term->second};
  }
  return leases;
}

}  // namespace

PrimaryLeaseServer::PrimaryLeaseServer(PrimaryLeaseServerParams params)
    : params_(std::move(params)), earlier_end_(LeaseEnd(Now())) {}

/// Returns what this member may grant as the leader.
std::optional<GrantableLeases> PrimaryLeaseServer::Own() {
  std::optional<GrantableLeases> own = params_.grantable();
  if (!own) return own;
  for (const auto& [group, run] : revocations_) own->primaries.erase(group);
  RecordGrants(ledger_, *own);
  return own;
}

std::optional<GrantableLeases> PrimaryLeaseServer::Available(Time now) {
  if (std::optional<GrantableLeases> own = Own()) return own;
  if (now >= delegated_.until) return std::nullopt;
  GrantableLeases available = delegated_;
  // A relay may still have to confirm what it held before.
  for (const auto& [group, run] : revocations_)
    available.primaries.erase(group);
  return available;
}

void PrimaryLeaseServer::OnRequest(const Link* link,
                                   const PrimaryLeaseRequest& request,
                                   Send send) {
  RelayPeer& relay = relays_[link];
  if (relay.holder == LeaseHolder()) relay.holder = NewHolder();
  relay.takes_revocations = request.takes_revocations;
  relay.send = std::move(send);
  Time now = Now();
  std::optional<GrantableLeases> available = Available(now);
  bool renew = !available || available->until - now < kLeaseRenewal;
  if (renew) AskLeader(now);
  // What was delegated may predate a change of primary: then the leader is
  // asked again.
  if (available && Names(*available, request.groups))
    return Answer(link, request, *available);
  std::erase_if(waiting_, [now](const Waiting& waiting) {
    return now - waiting.since > kMaxWait;
  });
  waiting_.push_back({link, request, now});
  if (!renew) AskLeader(now);
}

void PrimaryLeaseServer::OnLinkLost(const Link* link) {
  relays_.erase(link);
  std::erase_if(waiting_, [link](const Waiting& waiting) {
    return waiting.link == link;
  });
}

/// Returns whether a request was sent.
bool PrimaryLeaseServer::AskLeader(Time now) {
  if (now - asked_ < kLeaseRequestInterval) return false;
  asked_ = now;
  return params_.send_to_leader(
      GrantableRequest{params_.self, ++number_, true});
}

void PrimaryLeaseServer::Answer(const Link* link,
                                const PrimaryLeaseRequest& request,
                                const GrantableLeases& available) {
  auto relay = relays_.find(link);
  if (relay == relays_.end()) return;
  GrantableLeases leases;
  leases.until = available.until;
  for (const GroupId& group : request.groups) {
    auto primary = available.primaries.find(group);
    if (primary == available.primaries.end()) continue;
    leases.primaries.insert(*primary);
    RecordGrant(relay_ends_[group], relay->second.holder, leases.until);
  }
  relay->second.send(GrantOf(request.number, leases));
}

PrimaryLeaseServer::MemberPeer& PrimaryLeaseServer::Member(const VmId& vm) {
  MemberPeer& member = members_[vm];
  if (member.holder == LeaseHolder()) member.holder = NewHolder();
  return member;
}

std::optional<GrantableAnswer> PrimaryLeaseServer::OnGrantableRequest(
    const GrantableRequest& request) {
  MemberPeer& member = Member(request.from);
  member.takes_revocations = request.takes_revocations;
  std::optional<GrantableLeases> own = Own();
  if (!own) return std::nullopt;
  RecordGrant(ledger_.members, member.holder, own->until);
  return GrantableAnswer{GrantOf(request.number, *own)};
}

void PrimaryLeaseServer::OnGrantableAnswer(const GrantableAnswer& answer) {
  // The send time of an earlier request is not kept.
  if (answer.grant.number != number_) return;
  delegated_ = LeasesOf(answer.grant, asked_);
  LeaveOutRevoked(taken_, answer.grant.number, delegated_);
  std::vector<Waiting> waiting = std::exchange(waiting_, {});
  std::optional<GrantableLeases> available = Available(Now());
  if (!available) available = GrantableLeases();
  for (const Waiting& item : waiting)
    Answer(item.link, item.request, *available);
}

void PrimaryLeaseServer::OnLeadershipChange(bool is_leader) {
  if (is_leader) BeginLeadership(ledger_, Now());
  // A leader grants by its own confirmations only.
  delegated_ = GrantableLeases();
  waiting_.clear();
  revocations_.clear();
  revocations_started_ = 0;
}

LeaseEnds PrimaryLeaseServer::RelaysHolding(const GroupId& group) const {
  auto relays = relay_ends_.find(group);
  LeaseEnds holding =
      relays == relay_ends_.end() ? LeaseEnds() : relays->second;
  RecordGrant(holding, kEarlierProcess, earlier_end_);
  return holding;
}

void PrimaryLeaseServer::Revoke(const GroupId& group,
                                std::function<void()> done) {
  if (!params_.leads()) return;
  auto running = revocations_.find(group);
  if (running != revocations_.end()) {
    running->second.done.push_back(std::move(done));
    return;
  }
  Time now = Now();
  std::vector<LeaseHolder> members;
  for (const VmId& vm : params_.members()) members.push_back(Member(vm).holder);
  LeaseEnds holders = RelaysHolding(group);
  holders.merge(MembersHolding(ledger_, group, members, now));
  uint64_t number = RevocationNumber(params_.term(), ++revocations_started_);
  LogLine(LogLevel::kInfo, "lease_revocation")
      .Field("group", group)
      .Field("holders", StillHeld(holders, now).size());
  Start(group, number, holders, [this, group, done = std::move(done)] {
    RecordGivenBack(ledger_, group);
    done();
  });
}

void PrimaryLeaseServer::Start(const GroupId& group, uint64_t number,
                               const LeaseEnds& holders,
                               std::function<void()> done) {
  Time now = Now();
  RunningRevocation& run = revocations_[group];
  run = RunningRevocation();
  run.progress = BeginRevocation(number, holders, now);
  run.since = now;
  run.done = {std::move(done)};
  SendRevocation(group, &run, now);
  FinishIfRevoked(group);
}

void PrimaryLeaseServer::SendRevocation(const GroupId& group,
                                        RunningRevocation* run, Time now) {
  run->next_send = now + kRevocationInterval;
  const LeaseEnds& awaited = run->progress.awaited;
  LeaseRevocation message{group, run->progress.number};
  for (const auto& [link, relay] : relays_) {
    if (relay.takes_revocations && awaited.contains(relay.holder))
      relay.send(message);
  }
  for (const auto& [vm, member] : members_) {
    if (member.takes_revocations && awaited.contains(member.holder))
      params_.send_to_member(vm, message);
  }
}

void PrimaryLeaseServer::FinishIfRevoked(const GroupId& group) {
  auto running = revocations_.find(group);
  if (running == revocations_.end()) return;
  if (!running->second.progress.awaited.empty()) return;
  RunningRevocation run = std::move(running->second);
  revocations_.erase(running);
  LogLine(params_.leads() ? LogLevel::kInfo : LogLevel::kDebug,
          "leases_revoked")
      .Field("group", group)
      .Field("waited_ms", (Now() - run.since).ms())
      .Field("confirmed", run.progress.confirmed)
      .Field("expired", run.progress.expired);
  for (const std::function<void()>& done : run.done) done();
}

void PrimaryLeaseServer::OnRevocation(const LeaseRevocation& revocation) {
  // A member that does not follow the sender yet could still be delegated
  // leases by an earlier leader, or grant them as one. The leader repeats it.
  bool follows =
      !params_.leads() && RevocationTerm(revocation.number) == params_.term();
  TakenRevocation& taken = taken_[revocation.group];
  if (!follows || revocation.number < taken.number) return;
  if (revocation.number == taken.number) {
    if (revocations_.contains(revocation.group)) return;
    return ConfirmToLeader(revocation.group, revocation.number);
  }
  taken.number = revocation.number;
  taken.last_request = number_;
  delegated_.primaries.erase(revocation.group);
  Start(revocation.group, revocation.number, RelaysHolding(revocation.group),
        [this, revocation] {
          ConfirmToLeader(revocation.group, revocation.number);
        });
}

void PrimaryLeaseServer::ConfirmToLeader(const GroupId& group,
                                         uint64_t number) {
  params_.send_to_leader(LeaseRevoked{group, number, params_.self});
}

/// Returns the relay at the other end of `link`, or the member `vm`.
std::optional<LeaseHolder> PrimaryLeaseServer::HolderOf(const Link* link,
                                                        const VmId& vm) const {
  auto relay = relays_.find(link);
  if (relay != relays_.end()) return relay->second.holder;
  auto member = members_.find(vm);
  if (member != members_.end()) return member->second.holder;
  return std::nullopt;
}

void PrimaryLeaseServer::OnRevoked(const Link* link,
                                   const LeaseRevoked& revoked) {
  auto running = revocations_.find(revoked.group);
  if (running == revocations_.end()) return;
  std::optional<LeaseHolder> holder = HolderOf(link, revoked.from);
  bool confirmed = holder && ConfirmRevocation(running->second.progress,
                                               *holder, revoked.number);
  if (!confirmed) return;
  relay_ends_[revoked.group].erase(*holder);
  FinishIfRevoked(revoked.group);
}

void PrimaryLeaseServer::OnTick(Time now) {
  // Tells a new leader that this member takes revocations.
  bool introduced = params_.leads() || introduced_ == params_.term();
  if (!introduced && AskLeader(now)) introduced_ = params_.term();
  std::vector<GroupId> groups;
  for (const auto& [group, run] : revocations_) groups.push_back(group);
  for (const GroupId& group : groups) {
    auto running = revocations_.find(group);
    if (running == revocations_.end()) continue;
    ExpireAwaited(running->second.progress, now);
    if (now >= running->second.next_send)
      SendRevocation(group, &running->second, now);
    FinishIfRevoked(group);
  }
  if (now < next_prune_) return;
  next_prune_ = now + kPrimaryLease;
  for (auto& [group, ends] : relay_ends_) ends = StillHeld(ends, now);
  std::erase_if(relay_ends_,
                [](const auto& item) { return item.second.empty(); });
}

}  // namespace cardamomchute
