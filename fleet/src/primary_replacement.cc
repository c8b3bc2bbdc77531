#include "cardamomchute/fleet/primary_replacement.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"
#include "replacement_timing.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;

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
    : params_(std::move(params)),
      run_(params_.run),
      timer_(params_.executor),
      recorded_orders_(run_.orders) {}

void PrimaryReplacement::Start() {
  LogLine(LogLevel::kInfo, "succession_started")
      .Field("group", params_.group)
      .Field("lead", run_.recorded)
      .Field("cause", ToString(run_.cause))
      .Field("confirmed", run_.confirmed)
      .Field("orders", run_.orders.size());
  Perform(StartReplacement(&run_, Now()));
}

void PrimaryReplacement::Stop() {
  if (stopped_) return;
  stopped_ = true;
  timer_.cancel();
  for (const auto& [id, connection] : connections_) connection->Close();
  connections_.clear();
}

void PrimaryReplacement::Suspect(PrimaryReplacementCause cause) {
  cardamomchute::Suspect(&run_, cause);
}

void PrimaryReplacement::Finish() {
  if (stopped_) return;
  ForgetOrders();
  LogLine(LogLevel::kInfo, "succession_ended")
      .Field("group", params_.group)
      .Field("cause", ToString(run_.cause))
      .Field("took_ms", (Now() - run_.started).ms())
      .Field("orders", run_.orders.size());
  Stop();
  params_.done(run_.copies);
}

/// Records that orders are void; nobody waits for that.
void PrimaryReplacement::ForgetOrders() {
  if (run_.orders == recorded_orders_) return;
  recorded_orders_ = run_.orders;
  params_.record_orders(run_.orders, [](Time) {});
}

void PrimaryReplacement::Perform(const ReplacementActions& actions) {
  for (const ReplacementAction& action : actions) {
    if (stopped_) return;
    Perform(action);
  }
}

void PrimaryReplacement::Perform(const ReplacementAction& action) {
  switch (action.kind) {
    case ReplacementActionKind::kAskStatus:
      return AskStatus();
    case ReplacementActionKind::kDemote:
      return Demote(action.endpoint, action.term);
    case ReplacementActionKind::kEndLeases:
      return EndLeases();
    case ReplacementActionKind::kPause:
      return Pause(action.endpoint, action.term);
    case ReplacementActionKind::kSendOrder:
      return SendOrder(run_.orders.back());
    case ReplacementActionKind::kPoll:
      return Poll(action.endpoint);
    case ReplacementActionKind::kDemoteStale:
      return Tell(action.endpoint, CommandKind::kDemote, action.term);
    case ReplacementActionKind::kResume:
      return Tell(action.endpoint, CommandKind::kResume, action.term);
    case ReplacementActionKind::kConfirm:
      ForgetOrders();
      return params_.on_confirmed();
    case ReplacementActionKind::kAdopt:
      return params_.adopt(action.endpoint, action.term);
    case ReplacementActionKind::kWait:
      return Wait(action.delay);
    case ReplacementActionKind::kFinish:
      return Finish();
  }
}

void PrimaryReplacement::Wait(Duration delay) {
  timer_.expires_after(std::chrono::milliseconds(delay.ms()));
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  timer_.async_wait([self](boost::system::error_code cancelled) {
    if (cancelled || self->stopped_) return;
    self->Perform(OnTimer(&self->run_, Now()));
  });
}

void PrimaryReplacement::AskStatus() {
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  AskAll(CommandKind::kStatus, Term(), EndpointId(),
         [self](const Answers& answers) {
           LogStatus(self->params_.group, answers);
           self->Perform(OnStatus(&self->run_, answers, Now()));
         });
}

/// No commit is acknowledged afterwards, not even through a replica that no
/// control member knows.
void PrimaryReplacement::Demote(const EndpointId& endpoint, Term term) {
  params_.on_unconfirmed();
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  AskOne(endpoint, {.kind = CommandKind::kDemote, .term = term},
         kAskPrimaryTimeout, [self, endpoint](const MemberStatus& answer) {
           if (self->stopped_) return;
           LogLine(LogLevel::kInfo, "primary_demoted")
               .Field("group", self->params_.group)
               .Field("endpoint", endpoint)
               .Field("demoted", answer.answered && !answer.is_primary)
               .Field("received", ToString(answer.received));
           self->Perform(OnDemoted(&self->run_, answer, Now()));
         });
}

void PrimaryReplacement::EndLeases() {
  params_.on_unconfirmed();
  Time asked = Now();
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  params_.end_leases([self, asked] {
    if (self->stopped_) return;
    LogLine(LogLevel::kInfo, "primary_leases_ended")
        .Field("group", self->params_.group)
        .Field("former", self->run_.recorded)
        .Field("waited_ms", (Now() - asked).ms());
    self->Perform(OnLeasesEnded(&self->run_, Now()));
  });
}

void PrimaryReplacement::Pause(const EndpointId& except, Term term) {
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  AskAll(CommandKind::kPause, term, except, [self](const Answers& answers) {
    LogStatus(self->params_.group, answers);
    self->Perform(OnPaused(&self->run_, answers, Now()));
  });
}

void PrimaryReplacement::SendOrder(const PromotionOrder& order) {
  params_.on_unconfirmed();
  recorded_orders_ = run_.orders;
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  params_.record_orders(run_.orders, [self, order](Time send_before) {
    if (!self->stopped_) self->CallPromote(order, send_before);
  });
}

void PrimaryReplacement::CallPromote(const PromotionOrder& order,
                                     Time send_before) {
  LogLine(LogLevel::kInfo, "promote")
      .Field("group", params_.group)
      .Field("endpoint", order.endpoint)
      .Field("token", order.fence_token)
      .Field("above", order.above)
      .Field("orders", run_.orders.size())
      .Field("former", run_.former.endpoint)
      .Field("log_end",
             run_.former.log_end ? ToString(*run_.former.log_end) : "unknown");
  if (MayLackCommits(run_)) {
    LogLine(LogLevel::kWarn, "commits_may_be_missing")
        .Field("group", params_.group)
        .Field("best", ToString(run_.chosen_received))
        .Field("seen", ToString(run_.copies.seen));
  }
  PromoteRequest request{params_.group, order.endpoint, params_.holder,
                         order.fence_token, send_before};
  Time sent = Now();
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  params_.promote(request, [self, order, sent](PromoteOutcome outcome) {
    LogLine(LogLevel::kInfo, "promote_answered")
        .Field("group", self->params_.group)
        .Field("endpoint", order.endpoint)
        .Field("token", order.fence_token)
        .Field("outcome", static_cast<int>(outcome))
        .Field("took_ms", (Now() - sent).ms());
    if (self->stopped_) return;
    self->Perform(
        OnOrderAnswered(&self->run_, order.fence_token, outcome, Now()));
  });
}

void PrimaryReplacement::Poll(const EndpointId& endpoint) {
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  AskOne(endpoint, {.kind = CommandKind::kStatus}, kAskTimeout,
         [self](const MemberStatus& answer) {
           if (!self->stopped_)
             self->Perform(OnPolled(&self->run_, answer, Now()));
         });
}

void PrimaryReplacement::Tell(const EndpointId& endpoint, CommandKind kind,
                              Term term) {
  LogLine(LogLevel::kInfo, kind == CommandKind::kDemote ? "demote" : "resume")
      .Field("group", params_.group)
      .Field("endpoint", endpoint)
      .Field("term", term);
  AskOne(endpoint, {.kind = kind, .term = term}, kAskTimeout,
         [](const MemberStatus&) {});
}

const EndpointRecord* PrimaryReplacement::Find(
    const std::vector<EndpointRecord>& members, const EndpointId& id) const {
  auto it = std::find_if(
      members.begin(), members.end(),
      [&id](const EndpointRecord& member) { return member.id == id; });
  return it == members.end() ? nullptr : &*it;
}

}  // namespace cardamomchute
