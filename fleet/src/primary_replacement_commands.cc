/// Commands of a primary's replacement to the endpoints of its group.
#include <algorithm>
#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/fleet/primary_replacement.h"
#include "replacement_timing.h"

namespace cardamomchute {

namespace asio = boost::asio;

void PrimaryReplacement::AskAll(CommandKind kind, Term term,
                                const EndpointId& except,
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
    if (member.id != except) asked.push_back(member);
  }
  pending->missing = asked.size();
  if (asked.empty()) return pending->done({});
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  for (const EndpointRecord& member : asked) {
    Duration timeout =
        member.id == run_.former.endpoint ? kAskPrimaryTimeout : kAskTimeout;
    Ask(member, {.kind = kind, .term = term}, Now() + timeout,
        [self, pending](MemberStatus answer) {
          pending->answers.push_back(std::move(answer));
          if (--pending->missing > 0 || self->stopped_) return;
          pending->done(std::move(pending->answers));
        });
  }
}

void PrimaryReplacement::AskOne(const EndpointId& endpoint,
                                const EndpointCommand& command,
                                Duration timeout,
                                std::function<void(MemberStatus)> done) {
  std::vector<EndpointRecord> members = params_.members();
  const EndpointRecord* record = Find(members, endpoint);
  if (record != nullptr)
    return Ask(*record, command, Now() + timeout, std::move(done));
  LogLine(LogLevel::kInfo, "succession_unreachable")
      .Field("endpoint", endpoint)
      .Field("outcome", "no member");
  MemberStatus none;
  none.endpoint.id = endpoint;
  done(none);
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
      endpoint.address, EndpointHello{params_.group, endpoint.id, {}}, left,
      [self, connection, endpoint, command, until,
       done = std::move(done)](StatementStatus outcome) {
        if (self->stopped_) return;
        if (outcome == StatementStatus::kDone)
          return self->SendOn(connection, endpoint, command, until, done);
        bool full = outcome == StatementStatus::kTooManyConnections;
        if (full && Now() + kBusyRetryDelay < until) {
          return self->RetryLater([self, endpoint, command, until, done] {
            self->Ask(endpoint, command, until, done);
          });
        }
        LogLine(LogLevel::kInfo, "succession_unreachable")
            .Field("endpoint", endpoint.id)
            .Field("outcome", ToString(outcome));
        done(MemberStatus{.endpoint = endpoint});
      });
}

void PrimaryReplacement::RetryLater(std::function<void()> next) {
  std::shared_ptr<asio::steady_timer> pause =
      std::make_shared<asio::steady_timer>(params_.executor);
  pause->expires_after(std::chrono::milliseconds(kBusyRetryDelay.ms()));
  std::shared_ptr<PrimaryReplacement> self = shared_from_this();
  pause->async_wait(
      [self, next = std::move(next), pause](boost::system::error_code) {
        if (!self->stopped_) next();
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
      return self->RetryLater(
          [self, connection, endpoint, command, until, finish] {
            if (!connection->open())
              return finish(MemberStatus{.endpoint = endpoint});
            self->SendOn(connection, endpoint, command, until, finish);
          });
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

}  // namespace cardamomchute
