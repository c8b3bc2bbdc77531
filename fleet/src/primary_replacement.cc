#include "cardamomchute/fleet/primary_replacement.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"
#include "replacement_timing.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;

/// Interval of status queries to the promoted endpoint.
constexpr Duration kPollInterval = Millis(30);
/// Interval of status queries to the whole group.
constexpr Duration kStatusInterval = Millis(100);
/// A promote request that had no effect is repeated with the same fence token
/// after this long.
constexpr Duration kPromoteRetryDelay = Millis(1500);
/// The replacement is abandoned after this long; a new one may then start.
constexpr Duration kReplacementTimeout = Seconds(6);

void LogStatus(const GroupId& group, const std::vector<MemberStatus>& answers) {
  for (const MemberStatus& answer : answers) {
    LogLine(LogLevel::kInfo, "succession_look")
        .Field("group", group)
        .Field("endpoint", answer.endpoint.id)
        .Field("answered", answer.answered)
        .Field("leads", answer.is_primary)
        .Field("term", answer.term)
        .Field("received", ToString(answer.received))
        .Field("paused_below", answer.paused_below)
        .Field("lag_ms", answer.lag.ms());
  }
}

}  // namespace

PrimaryReplacement::PrimaryReplacement(PrimaryReplacementParams params)
    : params_(std::move(params)), timer_(params_.executor), started_(Now()) {
  former_.endpoint = params_.primary;
}

void PrimaryReplacement::Start() {
  LogLine(LogLevel::kInfo, "succession_started")
      .Field("group", params_.group)
      .Field("lead", params_.primary)
      .Field("cause", ToString(params_.cause))
      .Field("confirmed", params_.is_confirmed());
  QueryStatus();
}

void PrimaryReplacement::Stop() {
  if (stopped_) return;
  stopped_ = true;
  timer_.cancel();
  for (const auto& [id, connection] : connections_) connection->Close();
  connections_.clear();
}

void PrimaryReplacement::FinishUnlessSuspected() {
  return std::exchange(suspected_again_, false) ? QueryStatus() : Finish();
}

void PrimaryReplacement::Suspect(PrimaryReplacementCause cause) {
  if (SuspectsPrimary(params_.cause)) return;
  params_.cause = cause;
  suspected_again_ = true;
}

void PrimaryReplacement::Finish() {
  if (stopped_) return;
  LogLine(LogLevel::kInfo, "succession_ended")
      .Field("group", params_.group)
      .Field("cause", ToString(params_.cause))
      .Field("took_ms", (Now() - started_).ms())
      .Field("order_sent", request_.has_value());
  Stop();
  params_.done();
}

void PrimaryReplacement::After(Duration pause,
                               void (PrimaryReplacement::*next)()) {
  if (stopped_) return;
  timer_.expires_after(std::chrono::milliseconds(pause.ms()));
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  timer_.async_wait([self, next](boost::system::error_code cancelled) {
    if (!cancelled && !self->stopped_) (self.get()->*next)();
  });
}

void PrimaryReplacement::QueryStatus() {
  if (Now() - started_ > kReplacementTimeout) return Finish();
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  AskAll(CommandKind::kStatus, Term(), true,
         [self](const Answers& answers) { self->OnStatusAnswers(answers); });
}

void PrimaryReplacement::OnStatusAnswers(const Answers& answers) {
  LogStatus(params_.group, answers);
  PrimaryCheck check;
  check.primary = params_.primary;
  check.cause = params_.cause;
  check.lag_bound = params_.lag_bound;
  check.request_sent = request_.has_value();
  check.confirmed = params_.is_confirmed();
  std::optional<MemberStatus> leader = FindHighestTermPrimary(answers);
  if (ShouldKeepPrimary(answers, check)) return Keep(answers, *leader);
  bool reachable = leader && leader->endpoint.id == params_.primary;
  if (reachable && !demote_tried_)
    return Demote(leader->endpoint, HighestTerm(answers).Next());
  // It may have been demoted by an earlier control leader.
  for (const MemberStatus& answer : answers) {
    bool follows = answer.answered && !answer.is_primary;
    if (follows && answer.endpoint.id == params_.primary) RecordDemoted(answer);
  }
  bool begun = demote_tried_ || request_ || AnyPaused(answers);
  if (!SuspectsPrimary(params_.cause) && !leader && !begun)
    return After(kStatusInterval, &PrimaryReplacement::FinishUnlessSuspected);
  Decide(answers);
}

/// Keeps the current primary. Demotes endpoints that still act as primary of an
/// older term, and resumes paused replicas.
void PrimaryReplacement::Keep(const Answers& answers,
                              const MemberStatus& leader) {
  for (const MemberStatus& answer : answers) {
    if (!answer.answered || answer.endpoint.id == leader.endpoint.id) continue;
    bool stale = answer.is_primary && answer.term < leader.term;
    bool paused = !answer.is_primary && answer.paused_below > Term();
    if (!stale && !paused) continue;
    EndpointCommand command;
    command.kind = stale ? CommandKind::kDemote : CommandKind::kResume;
    command.term = leader.term;
    LogLine(LogLevel::kInfo, stale ? "demote" : "resume")
        .Field("group", params_.group)
        .Field("endpoint", answer.endpoint.id)
        .Field("term", leader.term);
    Ask(answer.endpoint, command, Now() + kAskTimeout, [](MemberStatus) {});
  }
  if (leader.endpoint.id == params_.primary) {
    // A primary that this leader confirmed earlier stays so: nobody else could
    // have replaced it.
    if (ConfirmsPrimary(answers, params_.primary)) params_.on_confirmed();
    params_.adopt(leader.endpoint.id, leader.term);
    return After(kStatusInterval, &PrimaryReplacement::FinishUnlessSuspected);
  }
  bool follows = std::any_of(answers.begin(), answers.end(),
                             [this](const MemberStatus& answer) {
                               return answer.endpoint.id == params_.primary &&
                                      answer.answered && !answer.is_primary;
                             });
  chosen_ = leader.endpoint;
  UsePrimary(leader.term, follows);
}

/// Demotes a reachable primary: no commit is acknowledged afterwards, not even
/// through a replica that no control member knows.
void PrimaryReplacement::Demote(const EndpointRecord& primary, Term term) {
  demote_tried_ = true;
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  Ask(primary, {.kind = CommandKind::kDemote, .term = term},
      Now() + kAskPrimaryTimeout, [self](const MemberStatus& answer) {
        if (!self->stopped_) self->OnDemoted(answer);
      });
}

void PrimaryReplacement::OnDemoted(const MemberStatus& answer) {
  bool demoted = answer.answered && !answer.is_primary;
  LogLine(LogLevel::kInfo, "primary_demoted")
      .Field("group", params_.group)
      .Field("endpoint", params_.primary)
      .Field("demoted", demoted)
      .Field("received", ToString(answer.received));
  if (demoted) RecordDemoted(answer);
  QueryStatus();
}

void PrimaryReplacement::RecordDemoted(const MemberStatus& answer) {
  if (!former_.log_end) demoted_at_ = Now();
  former_.log_end = answer.received;
  former_status_ = answer;
}

void PrimaryReplacement::Decide(const Answers& answers) {
  former_.wait_for_log_end =
      former_.log_end && Now() < demoted_at_ + LogEndWait(params_.cause);
  ReplacementDecision verdict = NextReplacementStep(answers, former_);
  switch (verdict.step) {
    case ReplacementStep::kPause:
      return PauseAll(verdict.term);
    case ReplacementStep::kPromote:
      return Promote(verdict.endpoint);
    case ReplacementStep::kAdopt:
    case ReplacementStep::kKeep:
    case ReplacementStep::kWait:
      After(former_.log_end ? kPollInterval : kStatusInterval,
            &PrimaryReplacement::QueryStatus);
  }
}

void PrimaryReplacement::PauseAll(Term term) {
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  AskAll(CommandKind::kPause, term, false, [self](Answers answers) {
    LogStatus(self->params_.group, answers);
    // The old primary was not paused, as it may not respond.
    for (const EndpointRecord& member : self->params_.members()) {
      if (member.id != self->params_.primary) continue;
      self->former_status_.endpoint = member;
      answers.push_back(self->former_status_);
    }
    self->Decide(answers);
  });
}

void PrimaryReplacement::Promote(const EndpointId& endpoint) {
  std::vector<EndpointRecord> members = params_.members();
  const EndpointRecord* record = Find(members, endpoint);
  if (record == nullptr)
    return After(kStatusInterval, &PrimaryReplacement::QueryStatus);
  bool same = request_ && request_->endpoint == endpoint;
  chosen_ = *record;
  if (!same) {
    request_ = PromoteRequest{params_.group, endpoint, params_.holder,
                              params_.next_token(), Time()};
  }
  ConfirmAndCall();
}

void PrimaryReplacement::ConfirmAndCall() {
  Duration wait = params_.first_request_at() - Now();
  if (wait > Duration()) return After(wait, &PrimaryReplacement::QueryStatus);
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  params_.confirm_leadership([self](Time send_before) {
    if (!self->stopped_ && self->request_) self->CallPromote(send_before);
  });
}

void PrimaryReplacement::CallPromote(Time send_before) {
  called_ = Now();
  request_->send_before = send_before;
  params_.on_request();
  LogLine(LogLevel::kInfo, "promote")
      .Field("group", request_->group)
      .Field("endpoint", request_->endpoint)
      .Field("token", request_->fence_token)
      .Field("former", params_.primary)
      .Field("log_end",
             former_.log_end ? ToString(*former_.log_end) : "unknown");
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  params_.promote(*request_, [self](PromoteOutcome outcome) {
    if (!self->stopped_) self->OnPromoteOutcome(outcome);
  });
  After(kPollInterval, &PrimaryReplacement::Poll);
}

void PrimaryReplacement::OnPromoteOutcome(PromoteOutcome outcome) {
  if (!request_) return;
  LogLine(LogLevel::kInfo, "promote_answered")
      .Field("group", request_->group)
      .Field("endpoint", request_->endpoint)
      .Field("token", request_->fence_token)
      .Field("outcome", static_cast<int>(outcome))
      .Field("took_ms", (Now() - called_).ms());
  bool no_effect = outcome == PromoteOutcome::kRefused ||
                   outcome == PromoteOutcome::kNotSent;
  if (!no_effect) return;
  // The next attempt chooses an endpoint again and uses a new fence token.
  request_.reset();
  timer_.cancel();
  After(kStatusInterval, &PrimaryReplacement::QueryStatus);
}

void PrimaryReplacement::Poll() {
  Time now = Now();
  if (now - started_ > kReplacementTimeout) return Finish();
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  Ask(chosen_, {.kind = CommandKind::kStatus}, now + kAskTimeout,
      [self](const MemberStatus& answer) {
        if (self->stopped_ || !self->request_) return;
        if (answer.answered && answer.is_primary)
          return self->UsePrimary(answer.term,
                                  self->former_.log_end.has_value());
        if (!answer.answered) {
          return self->After(kStatusInterval, &PrimaryReplacement::QueryStatus);
        }
        if (Now() - self->called_ > kPromoteRetryDelay)
          return self->ConfirmAndCall();
        self->After(kPollInterval, &PrimaryReplacement::Poll);
      });
}

/// Uses `chosen_` as primary once no relay may use the former one any more: at
/// once if that one is known to be a replica, else when all leases have ended.
void PrimaryReplacement::UsePrimary(Term term, bool former_follows) {
  chosen_term_ = term;
  Duration wait = params_.leases_end() - Now();
  if (former_follows || wait <= Duration()) return AdoptChosen();
  LogLine(LogLevel::kInfo, "primary_lease_wait")
      .Field("group", params_.group)
      .Field("former", params_.primary)
      .Field("wait_ms", wait.ms());
  After(wait, &PrimaryReplacement::AdoptChosen);
  std::vector<EndpointRecord> members = params_.members();
  const EndpointRecord* former = Find(members, params_.primary);
  if (former == nullptr) return;
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  Ask(*former, {.kind = CommandKind::kDemote, .term = term}, Now() + wait,
      [self](const MemberStatus& answer) {
        bool demoted = answer.answered && !answer.is_primary;
        if (self->stopped_ || !demoted) return;
        self->timer_.cancel();
        self->AdoptChosen();
      });
}

void PrimaryReplacement::AdoptChosen() {
  params_.on_confirmed();
  params_.adopt(chosen_.id, chosen_term_);
  Finish();
}

const EndpointRecord* PrimaryReplacement::Find(
    const std::vector<EndpointRecord>& members, const EndpointId& id) const {
  auto it = std::find_if(
      members.begin(), members.end(),
      [&id](const EndpointRecord& member) { return member.id == id; });
  return it == members.end() ? nullptr : &*it;
}

}  // namespace cardamomchute
