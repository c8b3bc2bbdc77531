#include "relayed_session.h"

#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"
#include "rate_limiter.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// What cannot be sent anywhere is tried again after this long.
constexpr Duration kRetryPause = Millis(20);
/// Part of a statement's time that it may wait without having been sent.
constexpr int64_t kHoldPercent = 35;
constexpr int kMaxSends = 8;

}  // namespace

RelayedSession::RelayedSession(asio::ip::tcp::socket socket, Relay* relay,
                               uint64_t number)
    : socket_(std::move(socket)),
      timer_(socket_.get_executor()),
      relay_(relay),
      number_(number),
      last_use_(Now()),
      last_progress_(last_use_) {}

void RelayedSession::OnMessage(CallerMessage message) {
  last_use_ = Now();
  if (std::get_if<CallerQuit>(&message) != nullptr) return Close();
  if (const auto* hello = std::get_if<CallerHello>(&message))
    return OnHello(*hello);
  if (!greeted_) return Close();
  OnStatement(std::move(std::get<CallerStatement>(message)));
}

void RelayedSession::OnHello(const CallerHello& hello) {
  if (greeted_) return Close();
  std::shared_ptr<const Layout> layout = relay_->layout();
  const RouteSpec* route =
      layout ? FindRoute(*layout, hello.database) : nullptr;
  database_ = hello.database;
  if (relay_->RefusesStatements()) {
    NoteDrainRefusal("-", StatementStatus::kBusy);
    return RefuseHello({.outcome = StatementStatus::kBusy, .detail = kVmStops});
  }
  if (route == nullptr)
    return RefuseHello({.outcome = layout ? StatementStatus::kNoDatabase
                                          : StatementStatus::kBusy,
                        .detail = hello.database.value()});
  std::optional<StatementResult> refused =
      CheckHello(*layout, *route, hello.key);
  if (refused) {
    NoteKeyRefusal("-", refused->outcome, refused->detail);
    return RefuseHello(*refused);
  }
  greeted_ = true;
  key_ = hello.key;
  organisation_ = OrganisationOf(*layout, key_);
  relay_->params().caller_protocol.encode_ready(State(), at_, &queued_);
  if (writing_.empty()) Write();
}

void RelayedSession::RefuseHello(const StatementResult& refused) {
  relay_->params().caller_protocol.encode_result(refused, &queued_);
  close_after_write_ = true;
  if (writing_.empty()) Write();
}

// ---- statements ------------------------------------------------------------

void RelayedSession::OnStatement(CallerStatement statement) {
  if (!MayUseKey(statement) || RefuseForDrain(statement)) return;
  CallerVerb kind = statement.kind;
  if (kind == CallerVerb::kRollback) return OnRollback();
  if (kind == CallerVerb::kCommit) return OnCommit(std::move(statement));
  if (transaction_ == Transaction::kFailed)
    return Answer({.outcome = StatementStatus::kMalformed,
                   .detail = "the transaction has failed; roll back"});
  switch (kind) {
    case CallerVerb::kBegin:
    case CallerVerb::kBeginReadOnly:
      return OnBegin(statement);
    case CallerVerb::kRead:
    case CallerVerb::kWrite: {
      std::string text = statement.text;
      return Begin(std::move(statement), kind == CallerVerb::kWrite,
                   std::nullopt, std::move(text));
    }
    case CallerVerb::kExecute:
      return OnExecute(std::move(statement));
    case CallerVerb::kSet:
      SetValue(statement.name, std::move(statement.rest));
      return AnswerDone();
    case CallerVerb::kPrepare:
      return OnPrepare(statement);
    case CallerVerb::kDeallocate:
      if (ForgetPrepared(statement.name)) return AnswerDone();
      return Fail(StatementStatus::kUnknownPreparedStatement, statement.name);
    default:
      return Fail(StatementStatus::kMalformed, "unknown statement");
  }
}

void RelayedSession::OnBegin(const CallerStatement& statement) {
  if (transaction_ != Transaction::kNone)
    return Fail(StatementStatus::kMalformed, "a transaction is open");
  // Nothing is sent yet: the endpoint is chosen with the first statement.
  transaction_ = Transaction::kAsked;
  read_only_ = statement.kind == CallerVerb::kBeginReadOnly;
  wrote_ = false;
  run_ = relay_->NextRun();
  route_.reset();
  AnswerDone();
}

void RelayedSession::OnCommit(CallerStatement statement) {
  if (transaction_ == Transaction::kNone)
    return Answer({.outcome = StatementStatus::kMalformed,
                   .detail = "no transaction is open"});
  if (transaction_ == Transaction::kFailed) {
    transaction_ = Transaction::kNone;
    return Answer({.outcome = StatementStatus::kAborted,
                   .detail = "the transaction had failed"});
  }
  std::string text = statement.text;
  Begin(std::move(statement), false, std::nullopt, std::move(text));
}

void RelayedSession::OnRollback() {
  AbandonTransaction();
  transaction_ = Transaction::kNone;
  AnswerDone();
}

void RelayedSession::SetValue(const std::string& name, std::string value) {
  auto known = values_.find(name);
  if (known != values_.end()) {
    state_bytes_ -= name.size() + known->second.size();
    values_.erase(known);
  }
  state_bytes_ += name.size() + value.size();
  values_[name] = std::move(value);
}

void RelayedSession::OnPrepare(const CallerStatement& statement) {
  ForgetPrepared(statement.name);
  state_bytes_ += statement.name.size() + statement.rest.size();
  prepared_[statement.name] = PreparedStatement{
      StatementSharedName(statement.rest, statement.prepares_write),
      statement.rest, statement.prepares_write};
  AnswerDone();
}

bool RelayedSession::ForgetPrepared(const std::string& name) {
  auto known = prepared_.find(name);
  if (known == prepared_.end()) return false;
  state_bytes_ -= name.size() + known->second.shape.size();
  prepared_.erase(known);
  return true;
}

void RelayedSession::OnExecute(CallerStatement statement) {
  auto prepared = prepared_.find(statement.name);
  if (prepared == prepared_.end())
    return Fail(StatementStatus::kUnknownPreparedStatement, statement.name);
  // The statement's own word stays; only the name is the shared one.
  size_t name = statement.text.find(statement.name, statement.text.find(' '));
  std::string text = statement.text;
  text.replace(name, statement.name.size(), prepared->second.shared_name);
  bool writes = prepared->second.writes;
  PreparedStatement known = prepared->second;
  Begin(std::move(statement), writes, std::move(known), std::move(text));
}

void RelayedSession::Begin(CallerStatement statement, bool writes,
                           std::optional<PreparedStatement> prepared,
                           std::string text) {
  bool settled = transaction_ != Transaction::kNone && route_;
  if (!settled) {
    std::shared_ptr<const Layout> layout = relay_->layout();
    const RouteSpec* route = FindRoute(*layout, database_);
    if (route == nullptr)
      return Fail(StatementStatus::kNoDatabase, database_.value());
    route_ = *route;
    organisation_ = OrganisationOf(*layout, key_);
  }
  if (writes && transaction_ != Transaction::kNone && read_only_)
    return Fail(StatementStatus::kReadOnly, "the transaction only reads");
  attempt_ = std::make_unique<Attempt>();
  attempt_->statement = std::move(statement);
  attempt_->writes = writes;
  attempt_->prepared = std::move(prepared);
  attempt_->text = std::move(text);
  attempt_->started = Now();
  Duration timeout = route_->statement_timeout;
  attempt_->deadline = attempt_->started + timeout;
  attempt_->hold_until = attempt_->started + timeout * kHoldPercent / 100;
  attempt_->last = {.outcome = StatementStatus::kBusy,
                    .detail = "no endpoint can take it now"};
  if (settled) return TrySend();
  AwaitLimit();
}

void RelayedSession::AwaitLimit() {
  uint64_t operation = ++operations_;
  std::weak_ptr<RelayedSession> weak = weak_from_this();
  relay_->AcceptOperation(
      organisation_, attempt_->hold_until,
      [weak, operation](LimitVerdict verdict) {
        std::shared_ptr<RelayedSession> self = weak.lock();
        bool awaited = self && !self->closed_ && self->attempt_ &&
                       self->operations_ == operation;
        if (!awaited) return;
        if (verdict == LimitVerdict::kAccepted) return self->TrySend();
        self->Fail(StatementStatus::kBusy, std::string(DetailOf(verdict)));
      });
}

void RelayedSession::TrySend() {
  if (transaction_ == Transaction::kOpen) return Send(*target_);
  bool replica_will_do = route_->rule != ReadRule::kPrimary &&
                         !attempt_->writes &&
                         (transaction_ == Transaction::kNone || read_only_);
  if (!relay_->MayBegin(route_->group, !replica_will_do))
    return RefuseAsLeaving();
  std::optional<Target> target =
      replica_will_do ? relay_->ReaderOf(route_->group, route_->max_staleness,
                                         attempt_->tried, organisation_)
                      : relay_->PrimaryOf(route_->group, organisation_);
  if (target) return Send(*target);
  attempt_->tried.clear();
  TryLater();
}

/// No other endpoint can take the statement. What an earlier attempt ended with
/// stands, as that may have had an effect.
void RelayedSession::RefuseAsLeaving() {
  if (attempt_->sends == 0) attempt_->last.detail = kEndpointLeaves;
  Fail(attempt_->last.outcome, attempt_->last.detail);
}

void RelayedSession::TryLater() {
  Time now = Now();
  bool over =
      now + kRetryPause >= attempt_->hold_until || attempt_->sends >= kMaxSends;
  if (over) return Fail(attempt_->last.outcome, attempt_->last.detail);
  timer_.expires_after(std::chrono::milliseconds(kRetryPause.ms()));
  std::shared_ptr<RelayedSession> self = shared_from_this();
  timer_.async_wait([self](error_code cancelled) {
    if (!cancelled && !self->closed_ && self->attempt_) self->TrySend();
  });
}

void RelayedSession::Send(const Target& target) {
  Time now = Now();
  RunRequest request;
  request.session = number_;
  bool commit = attempt_->statement.kind == CallerVerb::kCommit;
  switch (transaction_) {
    case Transaction::kOpen:
      request.step = commit ? RunStep::kCommit : RunStep::kNext;
      break;
    case Transaction::kAsked:
      request.step = RunStep::kFirst;
      break;
    default:
      request.step = RunStep::kSingle;
      run_ = relay_->NextRun();
  }
  request.run = run_;
  request.writes = attempt_->writes;
  request.read_only = read_only_ && transaction_ != Transaction::kNone;
  bool plain_transaction = transaction_ != Transaction::kNone && !read_only_;
  request.at_primary = route_->rule == ReadRule::kPrimary || plain_transaction;
  auto floor = floors_.find(route_->group);
  if (route_->rule == ReadRule::kSession && floor != floors_.end())
    request.floor = floor->second;
  request.max_staleness = route_->max_staleness;
  request.rank = route_->rank;
  request.target =
      std::max(attempt_->started + route_->target - now, Duration());
  request.hold = std::max(attempt_->hold_until - now, Millis(1));
  if (transaction_ == Transaction::kOpen)
    request.hold = attempt_->deadline - now;
  request.timeout = std::max(attempt_->deadline - now, Millis(1));
  request.values = values_;
  request.prepared = attempt_->prepared;
  request.id = attempt_->statement.id;
  request.text = attempt_->text;
  request.organisation = organisation_;
  target_ = target;
  ++attempt_->sends;
  attempt_->tried.insert(target.endpoint.id);
  std::weak_ptr<RelayedSession> weak = weak_from_this();
  relay_->Run(target, std::move(request), wrote_,
              [weak, target](RunAnswer answer) {
                std::shared_ptr<RelayedSession> self = weak.lock();
                if (!self || self->closed_ || !self->attempt_) return;
                self->OnAnswer(target, std::move(answer));
              });
}

bool RelayedSession::MayRetry(const RunAnswer& answer, Time now) const {
  if (transaction_ == Transaction::kOpen) return false;
  if (attempt_->sends >= kMaxSends || now >= attempt_->deadline) return false;
  switch (answer.outcome) {
    case StatementStatus::kBusy:
      return now + kRetryPause < attempt_->hold_until;
    case StatementStatus::kLagging:
    case StatementStatus::kReadOnly:
    case StatementStatus::kMisrouted:
    case StatementStatus::kTooManyConnections:
    case StatementStatus::kUnknownPreparedStatement:
    case StatementStatus::kUnreachable:
      return true;
    case StatementStatus::kFailed:
    case StatementStatus::kUnknown:
    case StatementStatus::kTimeout:
      return transaction_ == Transaction::kNone && !attempt_->writes;
    default:
      return false;
  }
}

void RelayedSession::OnAnswer(const Target& target, RunAnswer answer) {
  Time now = Now();
  if (answer.outcome == StatementStatus::kDone)
    return TakeSuccess(target, answer);
  attempt_->last = {.outcome = answer.outcome, .detail = answer.detail};
  if (!MayRetry(answer, now)) return Fail(answer.outcome, answer.detail);
  LogLine(LogLevel::kDebug, "statement_again")
      .Field("request", attempt_->statement.id)
      .Field("endpoint", target.endpoint.id)
      .Field("outcome", ToString(answer.outcome));
  // A lead that moved, or an endpoint that cannot be reached, takes a moment.
  bool pause = target.is_primary &&
               answer.outcome != StatementStatus::kUnknownPreparedStatement;
  if (pause) {
    attempt_->tried.clear();
    return TryLater();
  }
  TrySend();
}

void RelayedSession::TakeSuccess(const Target& target,
                                 const RunAnswer& answer) {
  bool commit = attempt_->statement.kind == CallerVerb::kCommit;
  if (attempt_->writes) wrote_ = true;
  bool committed =
      commit ? wrote_ : transaction_ == Transaction::kNone && attempt_->writes;
  at_ = answer.at;
  if (committed && answer.at) {
    Floor& floor = floors_[route_->group];
    floor = std::max(floor, *answer.at);
  }
  if (commit) {
    transaction_ = Transaction::kNone;
  } else if (transaction_ != Transaction::kNone) {
    if (!answer.transaction) {
      // The endpoint ended it; nothing of it is kept.
      return Fail(StatementStatus::kAborted, "the transaction was ended");
    }
    transaction_ = Transaction::kOpen;
  }
  StatementResult result;
  result.outcome = StatementStatus::kDone;
  result.rows = answer.rows;
  result.signature = answer.signature;
  LogEnd(result, &target);
  attempt_ = nullptr;
  if (transaction_ == Transaction::kNone) wrote_ = false;
  Answer(result);
}

/// Ends the statement under way, if any, and its transaction.
void RelayedSession::Fail(StatementStatus outcome, const std::string& detail) {
  StatementResult result{.outcome = outcome, .detail = detail};
  bool commit = attempt_ && attempt_->statement.kind == CallerVerb::kCommit;
  if (attempt_) LogEnd(result, target_ ? &*target_ : nullptr);
  attempt_ = nullptr;
  EndWith(result, commit);
}

void RelayedSession::EndWith(const StatementResult& result, bool ends) {
  if (transaction_ != Transaction::kNone) {
    AbandonTransaction();
    transaction_ = ends ? Transaction::kNone : Transaction::kFailed;
  }
  wrote_ = false;
  Answer(result);
}

void RelayedSession::LogEnd(const StatementResult& result,
                            const Target* target) {
  relay_->metrics().CountStatement(result.outcome, route_->rank,
                                   Now() - attempt_->started);
  relay_->metrics().CountFor(organisation_, result.outcome);
  bool read = result.outcome == StatementStatus::kDone && !attempt_->writes &&
              attempt_->statement.kind != CallerVerb::kCommit;
  if (read && target != nullptr)
    relay_->metrics().CountRead(!target->is_primary);
  LogLevel level = result.outcome == StatementStatus::kDone ? LogLevel::kDebug
                                                            : LogLevel::kInfo;
  if (!LogEnabled(level)) return;
  LogLine line(level, "statement");
  line.Field("request", attempt_->statement.id)
      .Field("database", database_)
      .Field("organisation", organisation_)
      .Field("rank", route_->rank)
      .Field("writes", attempt_->writes)
      .Field("transaction", static_cast<int>(transaction_))
      .Field("sends", attempt_->sends)
      .Field("spent_ms", (Now() - attempt_->started).ms())
      .Field("outcome", ToString(result.outcome));
  if (target != nullptr) line.Field("endpoint", target->endpoint.id);
  if (!result.detail.empty()) line.Field("detail", result.detail);
}

void RelayedSession::AbandonTransaction() {
  if (!target_ || (transaction_ != Transaction::kOpen && !attempt_)) return;
  relay_->Abandon(*target_, AbandonRun{number_, run_, target_->endpoint.id});
  target_.reset();
}

TransactionState RelayedSession::State() const {
  switch (transaction_) {
    case Transaction::kNone:
      return TransactionState::kNone;
    case Transaction::kAsked:
    case Transaction::kOpen:
    case Transaction::kEnded:
      return TransactionState::kOpen;
    case Transaction::kFailed:
      return TransactionState::kFailed;
  }
  return TransactionState::kFailed;
}

}  // namespace cardamomchute
