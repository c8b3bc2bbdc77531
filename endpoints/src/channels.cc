// Messages from callers: statements, further data, cancels, credit and closes.

#include <boost/asio/post.hpp>
#include <variant>

#include "cardamomchute/base/log.h"
#include "group.h"
#include "group_limits.h"

namespace cardamomchute {
namespace {

constexpr size_t kMaxWaitingBytes = 64 * 1024 * 1024;

template <typename... Handlers>
struct Visitor : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Visitor(Handlers...) -> Visitor<Handlers...>;

Lane LaneOf(const Job& job) {
  bool reads = job.kind == StatementKind::kRead ||
               job.kind == StatementKind::kReadOnlyBegin;
  return reads && !job.exact() ? Lane::kAny : Lane::kPrimary;
}

}  // namespace

ToOwnerSink Group::Open(const OpenChannel& open, FromOwnerSink sink) {
  ChannelPtr channel = std::make_shared<CallerChannel>();
  channel->open = open;
  channel->sink = std::move(sink);
  channel->session_key = open.session.empty()
                             ? "#" + std::to_string(next_session_++)
                             : open.session.value();
  channel->floor = floor_cache_.Open(open.session, Now());
  channel->supplied_floor = open.floor;
  channel->reported_floor = channel->floor->known;
  channels_.insert(channel);
  return [weak = weak_from_this(), channel](ToOwner message) {
    std::shared_ptr<Group> group = weak.lock();
    if (group && !channel->closed) {
      group->OnMessage(channel, std::move(message));
    }
  };
}

void Group::OnMessage(const ChannelPtr& channel, ToOwner message) {
  std::visit(
      Visitor{[&](Statement& m) { OnStatement(channel, std::move(m)); },
              [&](StatementData& m) { OnStatementData(channel, std::move(m)); },
              [&](CancelStatement& m) { OnCancel(channel, m); },
              [&](Credit& m) { OnCredit(channel, m); },
              [&](CloseChannel&) { OnClose(channel); }},
      message);
}

void Group::OnStatement(const ChannelPtr& channel, Statement statement) {
  if (channel->job || channel->end) {
    return Reset(channel, "statement received before the previous one ended");
  }
  JobPtr job = std::make_shared<Job>();
  Time now = Now();
  job->id = next_job_++;
  job->statement = std::move(statement);
  job->kind = static_cast<StatementKind>(job->statement.kind);
  job->arrived = now;
  job->arrived_micros = NowMicros();
  bool bounded = job->statement.deadline > Duration(0);
  job->deadline =
      now + (bounded ? job->statement.deadline : limits_.statement_timeout);
  job->lane = LaneOf(*job);
  if (draining_ && !channel->pinned) {
    boost::asio::post(*params_.thread, [self = shared_from_this(), channel] {
      self->Reset(channel, "the group moves to another VM");
    });
    return;
  }
  channel->job = job;
  if (channel->transaction_loss) {
    pgwire::Report report = *channel->transaction_loss;
    channel->transaction_loss.reset();
    return Refuse(channel, report, "transaction_lost");
  }
  if (channel->pinned) {
    job->connection = channel->pinned;
    job->in_transaction = true;
    job->by_primary = channel->pinned_to_primary;
    job->endpoint = channel->pinned->endpoint;
    job->term = channel->pinned_term;
    return SendJob(channel, job);
  }
  Admit(channel, job);
}

bool Group::RefuseWithoutReplica(const ChannelPtr& channel, const JobPtr& job,
                                 Time now) {
  bool may_write =
      job->kind == StatementKind::kWrite || job->kind == StatementKind::kBegin;
  bool cannot_acknowledge = spec_.ack == AckMode::kReplicated && may_write &&
                            now - replica_alive_at_ > kNoReplicaTimeout;
  if (!cannot_acknowledge) return false;
  Refuse(channel,
         {"ERROR", "57P03", "no replica is available to receive writes", "",
          "it did not run; bring a replica back, or set ack to \"primary\""},
         "no_replica");
  return true;
}

void Group::Admit(const ChannelPtr& channel, const JobPtr& job) {
  Time now = Now();
  if (RefuseWithoutReplica(channel, job, now)) return;
  QueueItem item;
  item.id = job->id;
  item.rank = job->statement.rank;
  item.lane = job->lane;
  item.session = channel->session_key;
  item.arrived = now;
  item.deadline = job->deadline;
  switch (queue_.Add(item, now)) {
    case Admission::kAdmitted:
      waiting_[job->id] = channel;
      return Dispatch();
    case Admission::kQueueFull:
    case Admission::kShareUsedUp:
      return Refuse(channel,
                    {"ERROR", "53300", "too many statements of this rank wait",
                     "", "it did not run; retry later"},
                    "queue_full");
    case Admission::kTooLate:
      return Refuse(
          channel,
          {"ERROR", "53300", "the statement would not be answered in time", "",
           "it did not run; retry later"},
          "too_late");
  }
}

void Group::OnStatementData(const ChannelPtr& channel, StatementData data) {
  JobPtr job = channel->job;
  if (!job || job->statement.complete) return;
  job->statement.complete = data.complete;
  if (!job->sent) {
    job->statement.bytes += data.bytes;
    if (job->statement.bytes.size() <= kMaxWaitingBytes) return;
    return Reset(channel, "waiting statement exceeds the size limit");
  }
  if (!job->connection) return;
  std::string bytes = std::move(data.bytes);
  std::vector<Exchange> exchanges;
  if (data.complete) AppendFollowUp(channel, job, &bytes, &exchanges);
  job->connection->wire->Send(std::move(bytes), std::move(exchanges));
}

void Group::OnCancel(const ChannelPtr& channel, const CancelStatement& cancel) {
  JobPtr job = channel->job;
  if (!job || job->statement.number != cancel.number) return;
  if (!job->sent) {
    return Refuse(
        channel,
        {"ERROR", "57014", "cancelled while waiting", "", "it did not run"},
        "cancelled");
  }
  if (!job->connection) return;
  // A late cancel would hit the next statement on this connection, so the
  // connection is not reused.
  job->connection->tainted = true;
  job->connection->wire->Cancel();
}

void Group::OnCredit(const ChannelPtr& channel, const Credit& credit) {
  channel->credit += credit.bytes;
  Flush(channel);
}

void Group::OnClose(const ChannelPtr& channel) {
  channel->closed = true;
  channels_.erase(channel);
  replica_waits_.erase(channel);
  JobPtr job = channel->job;
  channel->job = nullptr;
  channel->out.clear();
  channel->end.reset();
  if (job && !job->sent) {
    queue_.Remove(job->id);
    waiting_.erase(job->id);
  }
  if (job && job->connection) {
    PooledPtr connection = job->connection;
    connection->wire->Cancel();
    working_.erase(connection->number);
    channel->pinned = nullptr;
    pool_->Discard(connection);
    return Dispatch();
  }
  if (channel->pinned) RollBack(channel, true);
}

/// Rolls back the open transaction of a channel without a running statement.
/// The connection is closed unless `keep_connection` is set and the rollback
/// succeeds within kRollbackTimeout.
void Group::RollBack(const ChannelPtr& channel, bool keep_connection) {
  PooledPtr connection = std::move(channel->pinned);
  channel->pinned = nullptr;
  working_.erase(connection->number);
  LogLine(LogLevel::kInfo, "roll_back")
      .Field("group", id_)
      .Field("endpoint", connection->endpoint)
      .Field("session", channel->session_key);
  std::shared_ptr<bool> done = std::make_shared<bool>(false);
  Exchange exchange;
  exchange.on_end = [weak = weak_from_this(), connection, done,
                     keep_connection](const ExchangeEnd& end) {
    *done = true;
    std::shared_ptr<Group> group = weak.lock();
    if (!group) return;
    if (end.error || end.status != 'I' || !keep_connection) {
      group->pool_->Discard(connection);
    } else {
      group->pool_->Release(connection);
    }
    group->Dispatch();
  };
  connection->wire->Send(pgwire::Query("ROLLBACK"), {exchange});
  std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(*params_.thread);
  timer->expires_after(std::chrono::milliseconds(kRollbackTimeout.ms()));
  timer->async_wait([weak = weak_from_this(), connection, done,
                     timer](boost::system::error_code) {
    std::shared_ptr<Group> group = weak.lock();
    if (!group || *done) return;
    group->pool_->Discard(connection);
    group->Dispatch();
  });
}

void Group::Reset(const ChannelPtr& channel, const std::string& reason) {
  if (channel->closed) return;
  JobPtr job = channel->job;
  ChannelReset reset;
  reset.sent_nothing = !job || !job->sent;
  reset.reason = reason;
  OnClose(channel);
  boost::asio::post(*params_.thread,
                    [channel, reset] { channel->sink(reset); });
}

}  // namespace cardamomchute
