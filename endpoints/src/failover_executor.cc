#include "failover_executor.h"

#include <algorithm>

#include "cardamomchute/base/log.h"
#include "cardamomchute/pgwire/group_sql.h"

namespace cardamomchute {
namespace {

constexpr Duration kObserverTimeout = Millis(150);
constexpr Duration kPromoteTimeout = Millis(4000);
constexpr Duration kFollowTimeout = Millis(2000);
/// Interval at which a replica that still follows an earlier term is told to
/// follow the primary again.
constexpr Duration kFollowRetryInterval = Millis(2000);

const char* ToString(FailoverAction::Kind kind) {
  switch (kind) {
    case FailoverAction::Kind::kNone:
      return "none";
    case FailoverAction::Kind::kAskObservers:
      return "ask_observers";
    case FailoverAction::Kind::kProposeRelease:
      return "release";
    case FailoverAction::Kind::kProposeIntent:
      return "intend";
    case FailoverAction::Kind::kPromote:
      return "promote";
    case FailoverAction::Kind::kProposePrimary:
      return "record";
  }
  return "";
}

}  // namespace

FailoverExecutor::FailoverExecutor(const OwnerParams& params, GroupId group,
                                   Epoch epoch, Members* members,
                                   TermEnded on_term_ended)
    : params_(params),
      group_(std::move(group)),
      epoch_(epoch),
      members_(members),
      on_term_ended_(std::move(on_term_ended)) {}

void FailoverExecutor::SetLogin(const std::string& user,
                                const std::string& database) {
  user_ = user;
  database_ = database;
}

EndpointLogin FailoverExecutor::LoginFor(const Member& member) const {
  return EndpointLogin{member.state.address, user_, database_};
}

FailoverInputs FailoverExecutor::MakeInputs(Time now) const {
  FailoverInputs inputs;
  inputs.now = now;
  inputs.members = members_->Health(now);
  inputs.primary_busy = primary_busy_;
  inputs.acknowledged = acknowledged_;
  if (replicated_) inputs.inherited = members_->first_primary_position();
  ViewPtr view = params_.view();
  if (!view) return inputs;
  auto record = view->groups.find(group_);
  if (record == view->groups.end()) return inputs;
  inputs.primary = record->second.primary;
  inputs.term = record->second.term;
  inputs.intent = record->second.failover;
  return inputs;
}

bool FailoverExecutor::MayUsePrimary(Time now) const {
  FailoverInputs inputs;
  inputs.now = now;
  ViewPtr view = params_.view();
  if (!view) return false;
  auto record = view->groups.find(group_);
  if (record == view->groups.end()) return false;
  inputs.primary = record->second.primary;
  inputs.intent = record->second.failover;
  return cardamomchute::MayUsePrimary(state_, inputs);
}

void FailoverExecutor::RecordAcknowledged(const Floor& at) {
  acknowledged_ = std::max(acknowledged_, at);
}

void FailoverExecutor::Tick(Time now) {
  if (stopped_ || !params_.lease->ValidAt(now)) return;
  FailoverInputs inputs = MakeInputs(now);
  FailoverAction action = NextFailoverAction(&state_, inputs);
  if (action.kind != FailoverAction::Kind::kNone) Execute(action);
  bool steady = state_.phase == FailoverPhase::kSteady && !inputs.intent;
  if (steady && members_->PrimaryConfirmed()) RepointReplicas(now);
}

void FailoverExecutor::Execute(const FailoverAction& action) {
  LogLine(LogLevel::kInfo, "failover")
      .Field("group", group_)
      .Field("step", ToString(action.kind))
      .Field("endpoint", action.endpoint)
      .Field("term", action.term);
  if (action.may_lose_writes) {
    LogLine(LogLevel::kWarn, "failover_may_lose_writes")
        .Field("group", group_)
        .Field("endpoint", action.endpoint)
        .Field("acknowledged", ToString(acknowledged_));
  }
  switch (action.kind) {
    case FailoverAction::Kind::kNone:
      return;
    case FailoverAction::Kind::kAskObservers:
      return AskObservers(action);
    case FailoverAction::Kind::kProposeRelease:
      return Propose(action, GroupChange::Kind::kRelease,
                     FailoverEvent::Kind::kReleased);
    case FailoverAction::Kind::kProposeIntent:
      return Propose(action, GroupChange::Kind::kFailoverIntent,
                     FailoverEvent::Kind::kIntended);
    case FailoverAction::Kind::kPromote:
      return Promote(action);
    case FailoverAction::Kind::kProposePrimary:
      return Propose(action, GroupChange::Kind::kPrimary,
                     FailoverEvent::Kind::kRecorded);
  }
}

void FailoverExecutor::AskObservers(const FailoverAction& action) {
  members_->ProbeNow(Now());
  const Member* member = members_->Find(action.endpoint);
  if (member == nullptr || !params_.ask_observers) {
    return ApplyEvent(FailoverEvent::Kind::kObserved, false, action.term);
  }
  params_.ask_observers(
      member->state, kObserverTimeout,
      [self = shared_from_this(), action](std::vector<ProbeObservation> seen) {
        bool reached_primary = std::any_of(
            seen.begin(), seen.end(), [&](const ProbeObservation& o) {
              return o.reached && o.is_primary &&
                     o.position.term >= action.term;
            });
        LogLine(LogLevel::kWarn, "primary_suspected")
            .Field("group", self->group_)
            .Field("endpoint", action.endpoint)
            .Field("observers", seen.size())
            .Field("reached_by_others", reached_primary);
        self->ApplyEvent(FailoverEvent::Kind::kObserved, reached_primary,
                         action.term);
      });
}

void FailoverExecutor::Propose(const FailoverAction& action,
                               GroupChange::Kind kind,
                               FailoverEvent::Kind answer) {
  GroupChange change;
  change.group = group_;
  change.epoch = epoch_;
  change.kind = kind;
  change.endpoint = action.endpoint;
  change.term = action.term;
  params_.propose(change, [self = shared_from_this(), answer,
                           action](const Status& status) {
    if (!status) {
      LogLine(LogLevel::kWarn, "proposal_refused")
          .Field("group", self->group_)
          .Field("step", ToString(action.kind))
          .Field("reason", status.error().message);
    }
    self->ApplyEvent(answer, status.has_value(), action.term);
  });
}

void FailoverExecutor::Promote(const FailoverAction& action) {
  const Member* member = members_->Find(action.endpoint);
  if (member == nullptr) {
    return ApplyEvent(FailoverEvent::Kind::kPromoted, false, action.term);
  }
  std::string probe(pgwire::kProbeSql);
  RunSql(*params_.thread, LoginFor(*member),
         {probe, std::string(pgwire::kPromoteSql), probe}, kPromoteTimeout,
         [self = shared_from_this(), action](const Result<SqlRows>& rows) {
           self->Promoted(action, rows);
         });
}

void FailoverExecutor::Promoted(const FailoverAction& action,
                                const Result<SqlRows>& rows) {
  FailoverEvent::Kind kind = FailoverEvent::Kind::kPromoted;
  if (!rows || rows.value().size() != 3) {
    LogLine(LogLevel::kWarn, "promotion_failed")
        .Field("group", group_)
        .Field("endpoint", action.endpoint)
        .Field("reason",
               rows ? "unexpected number of rows" : rows.error().message);
    return ApplyEvent(kind, false, action.term);
  }
  Result<pgwire::MemberPosition> before =
      pgwire::ParseProbeRow(rows.value()[0]);
  Result<pgwire::MemberPosition> after = pgwire::ParseProbeRow(rows.value()[2]);
  bool ok = before && after && after.value().is_primary &&
            after.value().term > action.term;
  if (!ok) return ApplyEvent(kind, false, action.term);
  on_term_ended_(action.term, before.value().received);
  ApplyEvent(kind, true, after.value().term);
}

void FailoverExecutor::ApplyEvent(FailoverEvent::Kind kind, bool ok,
                                  Term term) {
  if (stopped_) return;
  Time now = Now();
  OnFailoverEvent(&state_, FailoverEvent{kind, ok, term}, now);
  Tick(now);
}

void FailoverExecutor::RepointReplicas(Time now) {
  ViewPtr view = params_.view();
  auto record = view->groups.find(group_);
  if (record == view->groups.end()) return;
  const Member* primary = members_->Find(record->second.primary);
  if (primary == nullptr) return;
  for (auto& [id, member] : members_->all()) {
    bool follows_old_term = member.answered && !member.last.is_primary &&
                            member.last.term < record->second.term;
    if (!follows_old_term || id == record->second.primary) continue;
    if (now - member.followed_at < kFollowRetryInterval) continue;
    if (member.followed_at == Time() ||
        now - *member.answered < kFollowRetryInterval) {
      Follow(&member, *primary, now);
    }
  }
}

void FailoverExecutor::Follow(Member* member, const Member& primary, Time now) {
  member->followed_at = now;
  LogLine(LogLevel::kInfo, "follow")
      .Field("group", group_)
      .Field("endpoint", member->state.id)
      .Field("primary", primary.state.id);
  RunSql(*params_.thread, LoginFor(*member),
         {pgwire::FollowSql(primary.state.address),
          std::string(pgwire::kReloadSql)},
         kFollowTimeout,
         [group = group_, id = member->state.id](const Result<SqlRows>& rows) {
           if (rows) return;
           LogLine(LogLevel::kWarn, "follow_failed")
               .Field("group", group)
               .Field("endpoint", id)
               .Field("reason", rows.error().message);
         });
}

}  // namespace cardamomchute
