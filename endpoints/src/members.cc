#include "members.h"

#include <algorithm>

#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

/// A longer gap between two ticks means that this VM was stalled, so silence
/// of the members during it is not held against them.
constexpr Duration kLocalStallThreshold = Millis(150);

/// Returns the furthest position that the replica has on its disk. One that was
/// started again has replayed more than it has received since.
Position Stored(const pgwire::MemberPosition& member) {
  return std::max(member.received, member.replayed);
}

/// Whether `now` names an earlier term only because the replica receives from
/// nobody: it then reports the timeline of its last restart point.
bool ReportsOldTimeline(const Member& member,
                        const pgwire::MemberPosition& now) {
  return member.answered && !member.last.is_primary && !now.is_primary &&
         now.term < member.last.term && Stored(now) >= Stored(member.last);
}

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
    departed_[member->first] = Now();
    member = members_.erase(member);
  }
  for (const auto& [id, state] : states) {
    departed_.erase(id);
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
  bool local_stall =
      last_tick_ != Time() && now - last_tick_ > kLocalStallThreshold;
  last_tick_ = now;
  ForgetDeparted(now);
  for (auto& [id, member] : members_) {
    if (local_stall) member.prober->RestartSilence(now);
    Duration interval =
        id == primary_ ? kPrimaryProbeInterval : kIdleProbeInterval;
    member.prober->SetInterval(now < probe_fast_until_ ? kFastProbeInterval
                                                       : interval);
    member.prober->Tick(now);
  }
}

void Members::ForgetDeparted(Time now) {
  std::erase_if(departed_, [now](const auto& departed) {
    return now - departed.second >= kLostReplicaTimeout;
  });
}

void Members::ProbeFastUntil(Time until) {
  probe_fast_until_ = std::max(probe_fast_until_, until);
}

void Members::ProbeNow(Time now) {
  for (auto& [id, member] : members_) member.prober->ProbeNow(now);
}

void Members::ProbeReplicasNow(Time now) {
  for (auto& [id, member] : members_) {
    if (id != primary_) member.prober->ProbeNow(now);
  }
}

void Members::Stop() {
  for (auto& [id, member] : members_) member.prober->Stop();
}

void Members::OnAnswer(const EndpointId& id, const ProbeAnswer& answer) {
  Member* member = Find(id);
  if (member == nullptr) return;
  pgwire::MemberPosition position = answer.position;
  if (ReportsOldTimeline(*member, position)) position.term = member->last.term;
  member->last = position;
  member->answered = Now();
  member->last_asked = answer.asked;
  Floor at{position.term, position.replayed};
  bool is_current_primary =
      id == primary_ && position.is_primary && position.term == term_;
  bool follows = id != primary_ && !position.is_primary;
  if (is_current_primary && !first_primary_position_) {
    first_primary_position_ = Floor{position.term, position.received};
  }
  if (is_current_primary || follows) member->history.Add({answer.asked, at});
  if (!is_current_primary && position.is_primary) LogStalePrimary(member);
  on_answer_(id);
}

void Members::LogStalePrimary(Member* member) {
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

void Members::RecordBrokenConnection(const EndpointId& id, Time now) {
  Member* member = Find(id);
  if (member != nullptr) member->broken_at = now;
}

bool Members::PrimaryConfirmed() const {
  const Member* member = Find(primary_);
  return member != nullptr && member->answered && member->last.is_primary &&
         member->last.term == term_;
}

bool Members::Usable(const Member& member, Time now) const {
  return member.answered && now - *member.answered <= kMaxAnswerAge &&
         !member.last.is_primary && member.last.term == term_ &&
         !member.state.leaving;
}

std::optional<Position> Members::FurthestReceived() const {
  std::optional<Position> furthest_received;
  for (const auto& [id, member] : members_) {
    bool counts = id != primary_ && member.answered &&
                  !member.last.is_primary && member.last.term == term_;
    if (!counts) continue;
    if (!furthest_received || *furthest_received < member.last.received) {
      furthest_received = member.last.received;
    }
  }
  return furthest_received;
}

bool Members::AnyReplicaAlive(Time now) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
    const Member& member = entry.second;
    return entry.first != primary_ && member.answered &&
           now - *member.answered <= kMaxAnswerAge && !member.last.is_primary;
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
    one.received = Floor{member.last.term, Stored(member.last)};
    one.silent_since = member.prober->SilentSince(now);
    one.refused = member.prober->refused();
    health.push_back(std::move(one));
  }
  for (const auto& [id, when] : departed_) {
    MemberHealth one;
    one.id = id;
    one.refused = true;
    health.push_back(std::move(one));
  }
  return health;
}

}  // namespace cardamomchute
