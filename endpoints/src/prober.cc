#include "prober.h"

#include "cardamomchute/endpoints/owner.h"
#include "cardamomchute/pgwire/message.h"
#include "sql_runner.h"

namespace cardamomchute {
namespace {

constexpr Duration kProbeConnectTimeout = Millis(2000);
constexpr Duration kProbeReconnectPause = Millis(50);

}  // namespace

Prober::Prober(boost::asio::io_context& io, EndpointLogin login,
               AnswerHandler on_answer)
    : io_(io), login_(std::move(login)), on_answer_(std::move(on_answer)) {}

void Prober::Tick(Time now) {
  if (stopped_) return;
  TickLine(&first_, now);
  bool silent = unanswered_since_ && now - *unanswered_since_ >= kProbeSilence;
  if (!silent) return;
  if (!second_since_) second_since_ = now;
  TickLine(&second_, now);
}

void Prober::Kick(Time now) {
  if (stopped_ || first_.asked || !first_.connection) return;
  if (now - last_asked_ >= kProbeDistance) Ask(&first_, now);
}

void Prober::TickLine(Line* line, Time now) {
  if (line->asked) return;
  if (!line->connection) {
    if (now >= retry_at_) Open(line, now);
    return;
  }
  bool due = now - last_asked_ >= interval_;
  if (line == &second_ || due) Ask(line, now);
}

void Prober::Open(Line* line, Time now) {
  line->asked = now;
  if (!unanswered_since_) unanswered_since_ = now;
  line->connection = std::make_shared<EndpointConnection>(io_, login_);
  std::weak_ptr<EndpointConnection> opened = line->connection;
  line->connection->Open(
      kProbeConnectTimeout,
      [self = shared_from_this(), line, opened](Status status) {
        std::shared_ptr<EndpointConnection> connection = opened.lock();
        if (!connection || line->connection != connection) return;
        if (!status) {
          return self->Lost(line, true, connection->loss().refused);
        }
        line->asked.reset();
        self->Ask(line, Now());
      },
      [self = shared_from_this(), line, opened](const ConnectionLoss& loss) {
        if (line->connection != opened.lock()) return;
        self->Lost(line, false, loss.refused);
      });
}

void Prober::Ask(Line* line, Time now) {
  last_asked_ = now;
  line->asked = now;
  if (!unanswered_since_) unanswered_since_ = now;
  Exchange exchange;
  exchange.on_end = [self = shared_from_this(), line,
                     now](const ExchangeEnd& end) {
    self->Answered(line, end, now);
  };
  line->connection->Send(pgwire::Query(pgwire::kProbeSql), {exchange});
}

void Prober::Answered(Line* line, const ExchangeEnd& end, Time asked) {
  if (stopped_) return;
  line->asked.reset();
  if (end.error || end.rows.size() != 1) return;
  Result<pgwire::MemberPosition> position =
      pgwire::ParseProbeRow(end.rows.front());
  if (!position) return;
  unanswered_since_.reset();
  second_since_.reset();
  refusals_ = 0;
  // New connections work: the first one fell silent, not the member.
  if (line == &second_) CloseLine(&first_);
  CloseLine(&second_);
  on_answer_(ProbeAnswer{position.value(), asked});
}

void Prober::Lost(Line* line, bool opening, bool refused) {
  if (stopped_) return;
  line->connection.reset();
  line->asked.reset();
  Time now = Now();
  if (!unanswered_since_) unanswered_since_ = now;
  if (!opening) return;
  refusals_ = refused ? refusals_ + 1 : 0;
  retry_at_ = now + kProbeReconnectPause;
}

void Prober::Forgive(Time now) {
  if (unanswered_since_) unanswered_since_ = now;
  second_since_.reset();
}

void Prober::CloseLine(Line* line) {
  if (line->connection) line->connection->Close(nullptr);
  *line = Line();
}

void Prober::Stop() {
  stopped_ = true;
  CloseLine(&first_);
  CloseLine(&second_);
}

std::optional<Time> Prober::SilentSince(Time now) const {
  if (!unanswered_since_ || !second_since_) return std::nullopt;
  if (now - *second_since_ < kSecondProbeTime) return std::nullopt;
  return unanswered_since_;
}

void ProbeEndpointOnce(boost::asio::io_context* thread,
                       const EndpointState& endpoint, const std::string& user,
                       const std::string& database, Duration timeout,
                       std::function<void(ProbeObservation)> done) {
  EndpointLogin login{endpoint.address, user, database};
  RunSql(
      *thread, login, {std::string(pgwire::kProbeSql)}, timeout,
      [done = std::move(done)](Result<SqlRows> rows) {
        ProbeObservation seen;
        if (!rows || rows.value().size() != 1) return done(seen);
        Result<pgwire::MemberPosition> position =
            pgwire::ParseProbeRow(rows.value().front());
        if (!position) return done(seen);
        seen.reached = true;
        seen.is_primary = position.value().is_primary;
        seen.position = Floor{position.value().term, position.value().received};
        done(seen);
      });
}

}  // namespace cardamomchute
