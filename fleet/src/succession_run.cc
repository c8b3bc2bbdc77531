#include "cardamomchute/fleet/succession_run.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"

namespace cardamomchute {
namespace {

/// Timeout of a command that is sent to all endpoints.
constexpr Duration kAskTimeout = Millis(500);
/// Shorter for the old primary, which is likely to be down.
constexpr Duration kAskLeadTimeout = Millis(200);
/// Delay before a command that an endpoint refused as busy is repeated.
constexpr Duration kBusyRetryDelay = Millis(15);
/// Interval of status queries to the promoted endpoint.
constexpr Duration kPollInterval = Millis(30);
/// Interval of status queries to the whole group.
constexpr Duration kStatusInterval = Millis(100);
/// A promote request that had no effect is repeated with the same fence token
/// after this long.
constexpr Duration kPromoteRetryDelay = Millis(1500);
/// The replacement is abandoned after this long; a new one may then start.
constexpr Duration kReplacementTimeout = Seconds(6);

}  // namespace

std::string_view ToString(SuccessionCause cause) {
  switch (cause) {
    case SuccessionCause::kReview:
      return "review";
    case SuccessionCause::kTrouble:
      return "trouble";
    case SuccessionCause::kStalled:
      return "stalled";
    case SuccessionCause::kLeaving:
      return "leaving";
    case SuccessionCause::kLagging:
      return "lagging";
  }
  return "review";
}

SuccessionRun::SuccessionRun(SuccessionParts parts)
    : parts_(std::move(parts)), timer_(parts_.executor), started_(Now()) {}

void SuccessionRun::Start() {
  LogLine(LogLevel::kInfo, "succession_started")
      .Field("group", parts_.group)
      .Field("lead", parts_.lead)
      .Field("cause", ToString(parts_.cause));
  QueryStatus();
}

void SuccessionRun::Stop() {
  if (stopped_) return;
  stopped_ = true;
  timer_.cancel();
  for (const auto& [id, connection] : connections_) connection->Close();
  connections_.clear();
}

void SuccessionRun::Finish() {
  if (stopped_) return;
  Stop();
  parts_.done();
}

void SuccessionRun::After(Duration pause, void (SuccessionRun::*next)()) {
  if (stopped_) return;
  timer_.expires_after(std::chrono::milliseconds(pause.ms()));
  std::shared_ptr<SuccessionRun> self = shared_from_this();
  timer_.async_wait([self, next](boost::system::error_code cancelled) {
    if (!cancelled && !self->stopped_) (self.get()->*next)();
  });
}

// ---- commands --------------------------------------------------------------

void SuccessionRun::AskAll(CommandKind kind, Term term, bool lead_too,
                           std::function<void(Answers)> done) {
  struct PendingAnswers {
    Answers answers;
    size_t missing = 0;
    std::function<void(Answers)> done;
  };
  std::shared_ptr<PendingAnswers> pending = std::make_shared<PendingAnswers>();
  pending->done = std::move(done);
  std::vector<EndpointRecord> asked;
  for (const EndpointRecord& member : parts_.members()) {
    if (lead_too || member.id != parts_.lead) asked.push_back(member);
  }
  pending->missing = asked.size();
  if (asked.empty()) return pending->done({});
  std::shared_ptr<SuccessionRun> self = shared_from_this();
  for (const EndpointRecord& member : asked) {
    Duration timeout = member.id == parts_.lead ? kAskLeadTimeout : kAskTimeout;
    Ask(member, {.kind = kind, .term = term}, Now() + timeout,
        [self, pending](MemberAnswer answer) {
          pending->answers.push_back(std::move(answer));
          if (--pending->missing > 0 || self->stopped_) return;
          pending->done(std::move(pending->answers));
        });
  }
}

void SuccessionRun::Ask(const EndpointRecord& endpoint,
                        const EndpointCommand& command, Time until,
                        std::function<void(MemberAnswer)> done) {
  auto known = connections_.find(endpoint.id);
  bool usable = known != connections_.end() && known->second->open();
  if (usable)
    return SendOn(known->second, endpoint, command, until, std::move(done));
  std::shared_ptr<CommandConnection> connection =
      std::make_shared<CommandConnection>(parts_.executor, parts_.protocol);
  connections_[endpoint.id] = connection;
  std::shared_ptr<SuccessionRun> self = shared_from_this();
  Duration left = std::max(until - Now(), Millis(1));
  connection->Open(endpoint.address, parts_.group, endpoint.id, left,
                   [self, connection, endpoint, command, until,
                    done = std::move(done)](Outcome outcome) {
                     if (self->stopped_) return;
                     if (outcome == Outcome::kDone)
                       return self->SendOn(connection, endpoint, command, until,
                                           done);
                     LogLine(LogLevel::kInfo, "succession_unreachable")
                         .Field("endpoint", endpoint.id)
                         .Field("outcome", ToString(outcome));
                     done(MemberAnswer{.endpoint = endpoint});
                   });
}

void SuccessionRun::SendOn(const std::shared_ptr<CommandConnection>& connection,
                           const EndpointRecord& endpoint,
                           const EndpointCommand& command, Time until,
                           std::function<void(MemberAnswer)> done) {
  struct Pending {
    explicit Pending(const boost::asio::any_io_executor& executor)
        : timer(executor) {}
    boost::asio::steady_timer timer;
    std::function<void(MemberAnswer)> done;
  };
  std::shared_ptr<Pending> pending = std::make_shared<Pending>(parts_.executor);
  pending->done = std::move(done);
  auto finish = [pending](MemberAnswer answer) {
    if (!pending->done) return;
    pending->timer.cancel();
    std::exchange(pending->done, nullptr)(std::move(answer));
  };
  std::shared_ptr<SuccessionRun> self = shared_from_this();
  Duration left = std::max(until - Now(), Millis(1));
  pending->timer.expires_after(std::chrono::milliseconds(left.ms()));
  pending->timer.async_wait(
      [self, connection, endpoint, finish](boost::system::error_code stopped) {
        if (stopped || self->stopped_) return;
        connection->Close();
        finish(MemberAnswer{.endpoint = endpoint});
      });
  connection->OnLost(
      [endpoint, finish] { finish(MemberAnswer{.endpoint = endpoint}); });
  connection->Send({command}, [self, connection, endpoint, command, until,
                               finish](const CommandAnswer& answer) {
    if (self->stopped_) return;
    MemberAnswer out{.endpoint = endpoint};
    if (answer.outcome == Outcome::kBusy && Now() + kBusyRetryDelay < until) {
      // Nothing was executed: repeat on the same connection.
      std::shared_ptr<boost::asio::steady_timer> pause =
          std::make_shared<boost::asio::steady_timer>(self->parts_.executor);
      pause->expires_after(std::chrono::milliseconds(kBusyRetryDelay.ms()));
      pause->async_wait([self, connection, endpoint, command, until, finish,
                         pause](boost::system::error_code) {
        if (self->stopped_ || !connection->open())
          return finish(MemberAnswer{.endpoint = endpoint});
        self->SendOn(connection, endpoint, command, until, finish);
      });
      return;
    }
    if (answer.outcome != Outcome::kDone || answer.rows.empty())
      return finish(out);
    Result<EndpointStatus> status =
        self->parts_.protocol->decode_status(answer.rows.front());
    if (!status) {
      LogLine(LogLevel::kWarn, "endpoint_status_refused")
          .Field("endpoint", endpoint.id)
          .Field("error", ToString(status.error()));
      return finish(out);
    }
    out.answered = true;
    out.leads = status.value().leads;
    out.term = status.value().term;
    out.received = status.value().received;
    out.paused_below = status.value().paused_below;
    out.lag = Millis(static_cast<int64_t>(status.value().lag_ms));
    finish(out);
  });
}

// ---- steps -----------------------------------------------------------------

void SuccessionRun::QueryStatus() {
  if (Now() - started_ > kReplacementTimeout) return Finish();
  std::shared_ptr<SuccessionRun> self = shared_from_this();
  AskAll(CommandKind::kStatus, Term(), true,
         [self](const Answers& answers) { self->OnStatusAnswers(answers); });
}

void SuccessionRun::OnStatusAnswers(const Answers& answers) {
  for (const MemberAnswer& answer : answers) {
    LogLine(LogLevel::kInfo, "succession_look")
        .Field("group", parts_.group)
        .Field("endpoint", answer.endpoint.id)
        .Field("answered", answer.answered)
        .Field("leads", answer.leads)
        .Field("term", answer.term)
        .Field("received", ToString(answer.received))
        .Field("paused_below", answer.paused_below)
        .Field("lag_ms", answer.lag.ms());
  }
  std::optional<MemberAnswer> leader = LeaderAmong(answers);
  bool current = leader && leader->term >= NewestTerm(answers);
  bool must_go = parts_.cause == SuccessionCause::kStalled ||
                 parts_.cause == SuccessionCause::kLeaving ||
                 (parts_.cause == SuccessionCause::kLagging &&
                  ReadersLost(answers, parts_.lead, parts_.lag_bound));
  bool keep = current && !(must_go && leader->endpoint.id == parts_.lead);
  if (keep) return Keep(answers, *leader);
  Decide(answers);
}

/// Keeps the current primary. Demotes endpoints that still act as primary of an
/// older term, and resumes paused replicas.
void SuccessionRun::Keep(const Answers& answers, const MemberAnswer& leader) {
  parts_.adopt(leader.endpoint.id, leader.term);
  for (const MemberAnswer& answer : answers) {
    if (!answer.answered || answer.endpoint.id == leader.endpoint.id) continue;
    bool stale = answer.leads && answer.term < leader.term;
    bool paused = !answer.leads && answer.paused_below > Term();
    if (!stale && !paused) continue;
    EndpointCommand command;
    command.kind = stale ? CommandKind::kDemote : CommandKind::kResume;
    command.term = leader.term;
    LogLine(LogLevel::kInfo, stale ? "demote" : "resume")
        .Field("group", parts_.group)
        .Field("endpoint", answer.endpoint.id)
        .Field("term", leader.term);
    Ask(answer.endpoint, command, Now() + kAskTimeout, [](MemberAnswer) {});
  }
  After(kStatusInterval, &SuccessionRun::Finish);
}

void SuccessionRun::Decide(const Answers& answers) {
  SuccessionVerdict verdict = NextStep(answers, parts_.lead);
  switch (verdict.step) {
    case SuccessionStep::kPause:
      return PauseAll(verdict.term);
    case SuccessionStep::kPromote:
      return Promote(verdict.endpoint);
    case SuccessionStep::kAdopt:
    case SuccessionStep::kKeep:
    case SuccessionStep::kWait:
      After(kStatusInterval, &SuccessionRun::QueryStatus);
  }
}

void SuccessionRun::PauseAll(Term term) {
  std::shared_ptr<SuccessionRun> self = shared_from_this();
  AskAll(CommandKind::kPause, term, false, [self](Answers answers) {
    // The old primary was not asked, as it may not respond.
    for (const EndpointRecord& member : self->parts_.members()) {
      if (member.id == self->parts_.lead)
        answers.push_back(MemberAnswer{.endpoint = member});
    }
    self->Decide(answers);
  });
}

void SuccessionRun::Promote(const EndpointId& endpoint) {
  std::vector<EndpointRecord> members = parts_.members();
  const EndpointRecord* record = Find(members, endpoint);
  if (record == nullptr)
    return After(kStatusInterval, &SuccessionRun::QueryStatus);
  bool same = order_ && order_->endpoint == endpoint;
  chosen_ = *record;
  if (!same) {
    order_ = PromoteOrder{parts_.group, endpoint, parts_.holder,
                          parts_.next_token()};
  }
  std::shared_ptr<SuccessionRun> self = shared_from_this();
  parts_.confirm([self] {
    if (!self->stopped_) self->CallPromote();
  });
}

void SuccessionRun::CallPromote() {
  called_ = Now();
  LogLine(LogLevel::kInfo, "promote")
      .Field("group", order_->group)
      .Field("endpoint", order_->endpoint)
      .Field("token", order_->fence_token);
  std::shared_ptr<SuccessionRun> self = shared_from_this();
  parts_.promote(*order_, [self](PromoteOutcome outcome) {
    if (self->stopped_) return;
    LogLine(LogLevel::kInfo, "promote_answered")
        .Field("group", self->order_->group)
        .Field("endpoint", self->order_->endpoint)
        .Field("outcome", static_cast<int>(outcome));
    if (outcome != PromoteOutcome::kRefused) return;
    // The next attempt chooses an endpoint again and uses a new fence token.
    self->order_.reset();
    self->timer_.cancel();
    self->After(kStatusInterval, &SuccessionRun::QueryStatus);
  });
  After(kPollInterval, &SuccessionRun::Poll);
}

void SuccessionRun::Poll() {
  Time now = Now();
  if (now - started_ > kReplacementTimeout) return Finish();
  std::shared_ptr<SuccessionRun> self = shared_from_this();
  Ask(chosen_, {.kind = CommandKind::kStatus}, now + kAskTimeout,
      [self](const MemberAnswer& answer) {
        if (self->stopped_ || !self->order_) return;
        if (answer.answered && answer.leads) {
          self->parts_.adopt(answer.endpoint.id, answer.term);
          return self->Finish();
        }
        if (!answer.answered) {
          return self->After(kStatusInterval, &SuccessionRun::QueryStatus);
        }
        if (Now() - self->called_ > kPromoteRetryDelay)
          return self->CallPromote();
        self->After(kPollInterval, &SuccessionRun::Poll);
      });
}

const EndpointRecord* SuccessionRun::Find(
    const std::vector<EndpointRecord>& members, const EndpointId& id) const {
  auto it = std::find_if(
      members.begin(), members.end(),
      [&id](const EndpointRecord& member) { return member.id == id; });
  return it == members.end() ? nullptr : &*it;
}

}  // namespace cardamomchute
