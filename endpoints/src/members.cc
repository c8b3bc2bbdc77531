#include "members.h"

#include <algorithm>

#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

/// A longer pause between two ticks was this VM's own standstill.
constexpr Duration kOwnStandstill = Millis(150);

}  // namespace

Members::Members(boost::asio::io_context& io, GroupId group,
                 AnswerHandler on_answer)
    : io_(io), group_(std::move(group)), on_answer_(std::move(on_answer)) {}

void Members::SetLogin(const std::string& user, const std::string& database) {
  if (user == user_ && database == database_) return;
  user_ = user;
  database_ = database;
  for (auto& [id, member] : members_) {
    member.prober->Stop();
    member.prober.reset();
  }
  std::map<EndpointId, EndpointState> states;
  for (auto& [id, member] : members_) states[id] = member.state;
  members_.clear();
  Update(states);
}

EndpointLogin Members::LoginFor(const EndpointState& state) const {
  return EndpointLogin{state.address, user_, database_};
}

void Members::Update(const std::map<EndpointId, EndpointState>& states) {
  for (auto member = members_.begin(); member != members_.end();) {
    auto found = states.find(member->first);
    bool keep = found != states.end() &&
                found->second.address == member->second.state.address;
    if (keep) {
      ++member;
      continue;
    }
    member->second.prober->Stop();
    member = members_.erase(member);
  }
  for (const auto& [id, state] : states) {
    Member& member = members_[id];
    member.state = state;
    if (member.prober) continue;
    member.prober = std::make_shared<Prober>(
        io_, LoginFor(state),
        [this, id = id](const ProbeAnswer& answer) { OnAnswer(id, answer); });
    LogLine(LogLevel::kInfo, "member")
        .Field("group", group_)
        .Field("endpoint", id)
        .Field("address", ToString(state.address));
  }
}

void Members::SetPrimary(const EndpointId& primary, Term term) {
  if (primary == primary_ && term == term_) return;
  primary_ = primary;
  term_ = term;
  Member* member = Find(primary);
  if (member != nullptr) member->history.Clear();
  for (auto& [id, other] : members_) other.stale_primary = false;
}

void Members::Tick(Time now) {
  bool standstill = last_tick_ != Time() && now - last_tick_ > kOwnStandstill;
  last_tick_ = now;
  for (auto& [id, member] : members_) {
    if (standstill) member.prober->Forgive(now);
    Duration interval = id == primary_ ? kProbePrimary : kProbeIdle;
    member.prober->SetInterval(now < hurry_until_ ? kProbeFast : interval);
    member.prober->Tick(now);
  }
}

void Members::HurryUntil(Time until) {
  hurry_until_ = std::max(hurry_until_, until);
}

void Members::Kick(Time now) {
  for (auto& [id, member] : members_) member.prober->Kick(now);
}

void Members::KickReplicas(Time now) {
  for (auto& [id, member] : members_) {
    if (id != primary_) member.prober->Kick(now);
  }
}

void Members::Stop() {
  for (auto& [id, member] : members_) member.prober->Stop();
}

void Members::OnAnswer(const EndpointId& id, const ProbeAnswer& answer) {
  Member* member = Find(id);
  if (member == nullptr) return;
  member->last = answer.position;
  member->answered = Now();
  member->last_asked = answer.asked;
  Floor at{answer.position.term, answer.position.replayed};
  bool reigns = id == primary_ && answer.position.is_primary &&
                answer.position.term == term_;
  bool follows = id != primary_ && !answer.position.is_primary;
  if (reigns || follows) member->history.Add({answer.asked, at});
  if (!reigns && answer.position.is_primary) WarnOfStalePrimary(member);
  on_answer_(id);
}

void Members::WarnOfStalePrimary(Member* member) {
  bool stale = !primary_.empty() && member->last.term <= term_;
  if (!stale || member->stale_primary) return;
  member->stale_primary = true;
  LogLine(LogLevel::kWarn, "replaced_primary")
      .Field("group", group_)
      .Field("endpoint", member->state.id)
      .Field("its_term", member->last.term)
      .Field("term", term_)
      .Field("remedy", "rebuild it as a replica; it gets no work until then");
}

void Members::AddPrimarySample(Time asked, const Floor& at) {
  Member* member = Find(primary_);
  if (member != nullptr && at.term == term_) member->history.Add({asked, at});
}

const Member* Members::Find(const EndpointId& id) const {
  auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

Member* Members::Find(const EndpointId& id) {
  auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

void Members::NoteBroken(const EndpointId& id, Time now) {
  Member* member = Find(id);
  if (member != nullptr) member->broken_at = now;
}

bool Members::PrimaryConfirmed() const {
  const Member* member = Find(primary_);
  return member != nullptr && member->answered && member->last.is_primary &&
         member->last.term == term_;
}

bool Members::Usable(const Member& member, Time now) const {
  return member.answered && now - *member.answered <= kMemberFreshness &&
         !member.last.is_primary && member.last.term == term_ &&
         !member.state.leaving;
}

std::optional<Position> Members::Received() const {
  std::optional<Position> furthest;
  for (const auto& [id, member] : members_) {
    bool counts = id != primary_ && member.answered &&
                  !member.last.is_primary && member.last.term == term_;
    if (!counts) continue;
    if (!furthest || *furthest < member.last.received) {
      furthest = member.last.received;
    }
  }
  return furthest;
}

bool Members::AnyReplicaAlive(Time now) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
    const Member& member = entry.second;
    return entry.first != primary_ && member.answered &&
           now - *member.answered <= kMemberFreshness &&
           !member.last.is_primary;
  });
}

std::vector<MemberHealth> Members::Health(Time now) const {
  std::vector<MemberHealth> health;
  for (const auto& [id, member] : members_) {
    MemberHealth one;
    one.id = id;
    one.leaving = member.state.leaving;
    one.answered = member.answered;
    one.is_primary = member.last.is_primary;
    one.received = Floor{member.last.term, member.last.received};
    one.silent_since = member.prober->SilentSince(now);
    one.refused = member.prober->refused();
    health.push_back(std::move(one));
  }
  return health;
}

}  // namespace cardamomchute
