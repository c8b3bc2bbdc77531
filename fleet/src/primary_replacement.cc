#include "cardamomchute/fleet/primary_replacement.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;

/// Timeout of a command that is sent to all endpoints.
constexpr Duration kAskTimeout = Millis(500);
/// Shorter, so that a primary that is down does not delay the others.
constexpr Duration kAskPrimaryTimeout = Millis(200);
/// Delay before a command that an endpoint refused as busy, or a connection
/// that it refused as one too many, is repeated.
constexpr Duration kBusyRetryDelay = Millis(15);
/// Interval of status queries to the promoted endpoint.
constexpr Duration kPollInterval = Millis(30);
/// Interval of status queries to the whole group.
constexpr Duration kStatusInterval = Millis(100);
/// A promote request that had no effect is repeated with the same fence token
/// after this long.
constexpr Duration kPromoteRetryDelay = Millis(1500);
/// Time that replicas get to receive the rest of a demoted primary's log. The
/// log of a primary that leaves is lost with it.
constexpr Duration kLogEndWaitLeaving = Seconds(2);
constexpr Duration kLogEndWaitLagging = Millis(300);
/// The replacement is abandoned after this long; a new one may then start.
constexpr Duration kReplacementTimeout = Seconds(6);

}  // namespace

std::string_view ToString(PrimaryReplacementCause cause) {
  switch (cause) {
    case PrimaryReplacementCause::kReview:
      return "review";
    case PrimaryReplacementCause::kConfirm:
      return "confirm";
    case PrimaryReplacementCause::kTrouble:
      return "trouble";
    case PrimaryReplacementCause::kStalled:
      return "stalled";
    case PrimaryReplacementCause::kLeaving:
      return "leaving";
    case PrimaryReplacementCause::kLagging:
      return "lagging";
  }
  return "review";
}

PrimaryReplacement::PrimaryReplacement(PrimaryReplacementParams params)
    : params_(std::move(params)), timer_(params_.executor), started_(Now()) {
  former_.endpoint = params_.primary;
}

void PrimaryReplacement::Start() {
  LogLine(LogLevel::kInfo, "succession_started")
      .Field("group", params_.group)
      .Field("lead", params_.primary)
      .Field("cause", ToString(params_.cause));
  QueryStatus();
}

void PrimaryReplacement::Stop() {
  if (stopped_) return;
  stopped_ = true;
  timer_.cancel();
  for (const auto& [id, connection] : connections_) connection->Close();
  connections_.clear();
}

bool PrimaryReplacement::SuspectsPrimary() const {
  return params_.cause != PrimaryReplacementCause::kLagging &&
         params_.cause != PrimaryReplacementCause::kConfirm;
}

void PrimaryReplacement::FinishUnlessSuspected() {
  return std::exchange(suspected_again_, false) ? QueryStatus() : Finish();
}

void PrimaryReplacement::Suspect(PrimaryReplacementCause cause) {
  if (SuspectsPrimary()) return;
  params_.cause = cause;
  suspected_again_ = true;
}

void PrimaryReplacement::Finish() {
  if (stopped_) return;
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

// ---- commands --------------------------------------------------------------

void PrimaryReplacement::AskAll(CommandKind kind, Term term, bool lead_too,
                                std::function<void(Answers)> done) {
  struct PendingAnswers {
    Answers answers;
    size_t missing = 0;
    std::function<void(Answers)> done;
  };
  std::shared_ptr<PendingAnswers> pending = std::make_shared<PendingAnswers>();
  pending->done = std::move(done);
  std::vector<EndpointRecord> asked;
  for (const EndpointRecord& member : params_.members()) {
    if (lead_too || member.id != params_.primary) asked.push_back(member);
  }
  pending->missing = asked.size();
  if (asked.empty()) return pending->done({});
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  for (const EndpointRecord& member : asked) {
    Duration timeout =
        member.id == params_.primary ? kAskPrimaryTimeout : kAskTimeout;
    Ask(member, {.kind = kind, .term = term}, Now() + timeout,
        [self, pending](MemberStatus answer) {
          pending->answers.push_back(std::move(answer));
          if (--pending->missing > 0 || self->stopped_) return;
          pending->done(std::move(pending->answers));
        });
  }
}

void PrimaryReplacement::Ask(const EndpointRecord& endpoint,
                             const EndpointCommand& command, Time until,
                             std::function<void(MemberStatus)> done) {
  auto known = connections_.find(endpoint.id);
  bool usable = known != connections_.end() && known->second->open();
  if (usable)
    return SendOn(known->second, endpoint, command, until, std::move(done));
  std::shared_ptr<CommandConnection> connection =
      std::make_shared<CommandConnection>(params_.executor, params_.protocol);
  connections_[endpoint.id] = connection;
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  Duration left = std::max(until - Now(), Millis(1));
  connection->Open(
      endpoint.address, params_.group, endpoint.id, left,
      [self, connection, endpoint, command, until,
       done = std::move(done)](StatementStatus outcome) {
        if (self->stopped_) return;
        if (outcome == StatementStatus::kDone)
          return self->SendOn(connection, endpoint, command, until, done);
        bool full = outcome == StatementStatus::kTooManyConnections;
        if (full && Now() + kBusyRetryDelay < until)
          return self->AskLater(endpoint, command, until, done);
        LogLine(LogLevel::kInfo, "succession_unreachable")
            .Field("endpoint", endpoint.id)
            .Field("outcome", ToString(outcome));
        done(MemberStatus{.endpoint = endpoint});
      });
}

void PrimaryReplacement::AskLater(const EndpointRecord& endpoint,
                                  const EndpointCommand& command, Time until,
                                  std::function<void(MemberStatus)> done) {
  std::shared_ptr<asio::steady_timer> pause =
      std::make_shared<asio::steady_timer>(params_.executor);
  pause->expires_after(std::chrono::milliseconds(kBusyRetryDelay.ms()));
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  pause->async_wait([self, endpoint, command, until, done = std::move(done),
                     pause](boost::system::error_code) {
    if (!self->stopped_) self->Ask(endpoint, command, until, done);
  });
}

void PrimaryReplacement::SendOn(
    const std::shared_ptr<CommandConnection>& connection,
    const EndpointRecord& endpoint, const EndpointCommand& command, Time until,
    std::function<void(MemberStatus)> done) {
  struct Pending {
    explicit Pending(const boost::asio::any_io_executor& executor)
        : timer(executor) {}
    boost::asio::steady_timer timer;
    std::function<void(MemberStatus)> done;
  };
  std::shared_ptr<Pending> pending =
      std::make_shared<Pending>(params_.executor);
  pending->done = std::move(done);
  auto finish = [pending](MemberStatus answer) {
    if (!pending->done) return;
    pending->timer.cancel();
    std::exchange(pending->done, nullptr)(std::move(answer));
  };
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  Duration left = std::max(until - Now(), Millis(1));
  pending->timer.expires_after(std::chrono::milliseconds(left.ms()));
  pending->timer.async_wait(
      [self, connection, endpoint, finish](boost::system::error_code stopped) {
        if (stopped || self->stopped_) return;
        connection->Close();
        finish(MemberStatus{.endpoint = endpoint});
      });
  connection->OnLost(
      [endpoint, finish] { finish(MemberStatus{.endpoint = endpoint}); });
  connection->Send({command}, [self, connection, endpoint, command, until,
                               finish](const CommandAnswer& answer) {
    if (self->stopped_) return;
    MemberStatus out{.endpoint = endpoint};
    if (answer.outcome == StatementStatus::kBusy &&
        Now() + kBusyRetryDelay < until) {
      // Nothing was executed: repeat on the same connection.
      std::shared_ptr<asio::steady_timer> pause =
          std::make_shared<asio::steady_timer>(self->params_.executor);
      pause->expires_after(std::chrono::milliseconds(kBusyRetryDelay.ms()));
      pause->async_wait([self, connection, endpoint, command, until, finish,
                         pause](boost::system::error_code) {
        if (self->stopped_ || !connection->open())
          return finish(MemberStatus{.endpoint = endpoint});
        self->SendOn(connection, endpoint, command, until, finish);
      });
      return;
    }
    if (answer.outcome != StatementStatus::kDone || answer.rows.empty())
      return finish(out);
    Result<EndpointStatus> status =
        self->params_.protocol->decode_status(answer.rows.front());
    if (!status) {
      LogLine(LogLevel::kWarn, "endpoint_status_refused")
          .Field("endpoint", endpoint.id)
          .Field("error", ToString(status.error()));
      return finish(out);
    }
    out.answered = true;
    out.is_primary = status.value().is_primary;
    out.term = status.value().term;
    out.received = status.value().received;
    out.paused_below = status.value().paused_below;
    out.lag = Millis(static_cast<int64_t>(status.value().lag_ms));
    finish(out);
  });
}

// ---- steps -----------------------------------------------------------------

void PrimaryReplacement::QueryStatus() {
  if (Now() - started_ > kReplacementTimeout) return Finish();
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  AskAll(CommandKind::kStatus, Term(), true,
         [self](const Answers& answers) { self->OnStatusAnswers(answers); });
}

void PrimaryReplacement::OnStatusAnswers(const Answers& answers) {
  for (const MemberStatus& answer : answers) {
    LogLine(LogLevel::kInfo, "succession_look")
        .Field("group", params_.group)
        .Field("endpoint", answer.endpoint.id)
        .Field("answered", answer.answered)
        .Field("leads", answer.is_primary)
        .Field("term", answer.term)
        .Field("received", ToString(answer.received))
        .Field("paused_below", answer.paused_below)
        .Field("lag_ms", answer.lag.ms());
  }
  std::optional<MemberStatus> leader = FindHighestTermPrimary(answers);
  if (ShouldKeep(answers, leader)) return Keep(answers, *leader);
  bool reachable = leader && leader->endpoint.id == params_.primary;
  if (reachable && !demote_tried_)
    return Demote(leader->endpoint, HighestTerm(answers).Next());
  bool begun = demote_tried_ || order_ || AnyPaused(answers);
  if (!SuspectsPrimary() && !leader && !begun)
    return After(kStatusInterval, &PrimaryReplacement::FinishUnlessSuspected);
  Decide(answers);
}

bool PrimaryReplacement::ShouldKeep(
    const Answers& answers, const std::optional<MemberStatus>& leader) const {
  bool current = leader && leader->term >= HighestTerm(answers);
  if (!current) return false;
  if (leader->endpoint.id != params_.primary) return true;
  // A request to promote may still take effect, and then without the commits
  // that resumed replicas have acknowledged.
  bool may_be_ordered = order_ || (AnyPaused(answers) && !params_.may_resume());
  if (may_be_ordered) return false;
  switch (params_.cause) {
    case PrimaryReplacementCause::kStalled:
    case PrimaryReplacementCause::kLeaving:
      return false;
    case PrimaryReplacementCause::kLagging:
      return !ShouldReplaceForLag(answers, params_.primary, params_.lag_bound);
    default:
      return true;
  }
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
    params_.confirmed(ConfirmsPrimary(answers, params_.primary));
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
  if (demoted) {
    former_.log_end = answer.received;
    former_status_ = answer;
    demoted_at_ = Now();
  }
  QueryStatus();
}

Duration PrimaryReplacement::LogEndWait() const {
  switch (params_.cause) {
    case PrimaryReplacementCause::kLeaving:
      return kLogEndWaitLeaving;
    case PrimaryReplacementCause::kStalled:
      // Replicas that could receive more would have acknowledged a write.
      return Duration();
    default:
      return kLogEndWaitLagging;
  }
}

void PrimaryReplacement::Decide(const Answers& answers) {
  former_.wait_for_log_end =
      former_.log_end && Now() < demoted_at_ + LogEndWait();
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
    // The old primary was not asked, as it may not respond.
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
  bool same = order_ && order_->endpoint == endpoint;
  chosen_ = *record;
  if (!same) {
    order_ = PromoteRequest{params_.group, endpoint, params_.holder,
                            params_.next_token(), Time()};
  }
  ConfirmAndCall();
}

void PrimaryReplacement::ConfirmAndCall() {
  Duration wait = params_.requests_from() - Now();
  if (wait > Duration()) return After(wait, &PrimaryReplacement::QueryStatus);
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  params_.confirm([self](Time send_before) {
    if (!self->stopped_ && self->order_) self->CallPromote(send_before);
  });
}

void PrimaryReplacement::CallPromote(Time send_before) {
  called_ = Now();
  order_->send_before = send_before;
  params_.ordered();
  LogLine(LogLevel::kInfo, "promote")
      .Field("group", order_->group)
      .Field("endpoint", order_->endpoint)
      .Field("token", order_->fence_token);
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  params_.promote(*order_, [self](PromoteOutcome outcome) {
    if (!self->stopped_) self->OnPromoteOutcome(outcome);
  });
  After(kPollInterval, &PrimaryReplacement::Poll);
}

void PrimaryReplacement::OnPromoteOutcome(PromoteOutcome outcome) {
  if (!order_) return;
  LogLine(LogLevel::kInfo, "promote_answered")
      .Field("group", order_->group)
      .Field("endpoint", order_->endpoint)
      .Field("outcome", static_cast<int>(outcome));
  bool no_effect = outcome == PromoteOutcome::kRefused ||
                   outcome == PromoteOutcome::kNotSent;
  if (!no_effect) return;
  // The next attempt chooses an endpoint again and uses a new fence token.
  order_.reset();
  timer_.cancel();
  After(kStatusInterval, &PrimaryReplacement::QueryStatus);
}

void PrimaryReplacement::Poll() {
  Time now = Now();
  if (now - started_ > kReplacementTimeout) return Finish();
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  Ask(chosen_, {.kind = CommandKind::kStatus}, now + kAskTimeout,
      [self](const MemberStatus& answer) {
        if (self->stopped_ || !self->order_) return;
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
  params_.confirmed(true);
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
