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
  TickConnection(&first_, now);
  bool silent =
      unanswered_since_ && now - *unanswered_since_ >= kProbeSilenceTimeout;
  if (!silent) return;
  if (!second_since_) second_since_ = now;
  TickConnection(&second_, now);
}

void Prober::ProbeNow(Time now) {
  if (stopped_ || first_.pending_since || !first_.connection) return;
  if (now - last_asked_ >= kMinProbeSpacing) SendProbe(&first_, now);
}

void Prober::TickConnection(ProbeConnection* probe, Time now) {
  if (probe->pending_since) return;
  if (!probe->connection) {
    if (now >= retry_at_) Open(probe, now);
    return;
  }
  bool due = now - last_asked_ >= interval_;
  if (probe == &second_ || due) SendProbe(probe, now);
}

void Prober::Open(ProbeConnection* probe, Time now) {
  probe->pending_since = now;
  if (!unanswered_since_) unanswered_since_ = now;
  probe->connection = std::make_shared<EndpointConnection>(io_, login_);
  std::weak_ptr<EndpointConnection> opened = probe->connection;
  probe->connection->Open(
      kProbeConnectTimeout,
      [self = shared_from_this(), probe, opened](Status status) {
        std::shared_ptr<EndpointConnection> connection = opened.lock();
        if (!connection || probe->connection != connection) return;
        if (!status) {
          return self->Lost(probe, true, connection->loss().refused);
        }
        probe->pending_since.reset();
        self->SendProbe(probe, Now());
      },
      [self = shared_from_this(), probe, opened](const ConnectionLoss& loss) {
        if (probe->connection != opened.lock()) return;
        self->Lost(probe, false, loss.refused);
      });
}

void Prober::SendProbe(ProbeConnection* probe, Time now) {
  last_asked_ = now;
  probe->pending_since = now;
  if (!unanswered_since_) unanswered_since_ = now;
  Exchange exchange;
  exchange.on_end = [self = shared_from_this(), probe,
                     now](const ExchangeEnd& end) {
    self->Answered(probe, end, now);
  };
  probe->connection->Send(pgwire::Query(pgwire::kProbeSql), {exchange});
}

void Prober::Answered(ProbeConnection* probe, const ExchangeEnd& end,
                      Time asked) {
  if (stopped_) return;
  probe->pending_since.reset();
  if (end.error || end.rows.size() != 1) return;
  Result<pgwire::MemberPosition> position =
      pgwire::ParseProbeRow(end.rows.front());
  if (!position) return;
  unanswered_since_.reset();
  second_since_.reset();
  refusals_ = 0;
  // The second connection works, so only the first one was silent.
  if (probe == &second_) CloseConnection(&first_);
  CloseConnection(&second_);
  on_answer_(ProbeAnswer{position.value(), asked});
}

void Prober::Lost(ProbeConnection* probe, bool opening, bool refused) {
  if (stopped_) return;
  probe->connection.reset();
  probe->pending_since.reset();
  Time now = Now();
  if (!unanswered_since_) unanswered_since_ = now;
  if (!opening) return;
  refusals_ = refused ? refusals_ + 1 : 0;
  retry_at_ = now + kProbeReconnectPause;
}

void Prober::RestartSilence(Time now) {
  if (unanswered_since_) unanswered_since_ = now;
  second_since_.reset();
}

void Prober::CloseConnection(ProbeConnection* probe) {
  if (probe->connection) probe->connection->Close(nullptr);
  *probe = ProbeConnection();
}

void Prober::Stop() {
  stopped_ = true;
  CloseConnection(&first_);
  CloseConnection(&second_);
}

std::optional<Time> Prober::SilentSince(Time now) const {
  if (!unanswered_since_ || !second_since_) return std::nullopt;
  if (now - *second_since_ < kSecondConnectionTimeout) return std::nullopt;
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
