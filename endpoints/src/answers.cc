// What goes back to callers, and the fences an acknowledgement passes first.

#include <boost/asio/post.hpp>

#include "cardamomchute/base/log.h"
#include "fence.h"
#include "group.h"
#include "group_limits.h"
#include "statement_plan.h"

namespace cardamomchute {
namespace {

constexpr size_t kHeaderBytes = 5;

/// Whether the answer tells of something that may have been committed, so
/// that the primary has to confirm itself before it is passed on.
bool NeedsPosition(const Job& job) {
  if (!job.by_primary || job.status != 'I') return false;
  if (job.failed && job.completions == 0) return false;
  if (job.plain_read()) return job.exact();
  return job.tag != "ROLLBACK";
}

pgwire::Report UnknownReport(const Job& job, const std::string& reason) {
  if (job.plain_read()) {
    return {"ERROR", "08006", "the answer broke off: " + reason, "",
            "it was a read; retry"};
  }
  return {"ERROR", "08007", "the statement's outcome is unknown: " + reason, "",
          "check whether it took effect before you retry"};
}

}  // namespace

void Group::OnPiece(const ChannelPtr& channel, const JobPtr& job, char type,
                    bool first, std::string_view piece) {
  if (channel->job != job || job->setup_error || job->key_error) return;
  if (first && type == 'C') {
    ++job->completions;
    if (piece.size() > kHeaderBytes) {
      job->tag = piece.substr(kHeaderBytes, piece.size() - kHeaderBytes - 1);
    }
  }
  if (first && (type == 'C' || type == 'I')) job->holding = true;
  if (!job->holding) {
    channel->out += piece;
    return;
  }
  job->held += piece;
  if (job->held.size() <= kMaxHeldBytes) return;
  // More than a tail: several results. Their end is what acknowledges.
  channel->out += job->held;
  job->held.clear();
  job->holding = false;
}

void Group::OnAnswerEnd(const ChannelPtr& channel, const JobPtr& job,
                        const ExchangeEnd& end) {
  if (channel->job != job) return;
  job->answered = true;
  job->status = end.status;
  job->failed = end.error.has_value();
  NoteBatchEnd(job->connection.get(), job->parsed, job->failed, job->tag);
  // The transaction that the owner began for an operation key still is open.
  if (job->wrapped) return Settle(channel, job);
  if (NeedsPosition(*job) && !job->position_asked) {
    std::string bytes;
    std::vector<Exchange> exchanges;
    AskPosition(channel, job, &bytes, &exchanges);
    job->connection->wire->Send(std::move(bytes), std::move(exchanges));
  }
  Settle(channel, job);
}

void Group::OnPosition(const ChannelPtr& channel, const JobPtr& job,
                       const ExchangeEnd& end) {
  if (channel->job != job) return;
  job->position_done = true;
  if (!end.error && end.rows.size() == 1) {
    Result<pgwire::MemberPosition> position =
        pgwire::ParseProbeRow(end.rows.front());
    if (position) job->position = position.value();
  }
  Settle(channel, job);
}

void Group::Settle(const ChannelPtr& channel, const JobPtr& job) {
  if (!job->answered) return;
  bool outstanding = (job->position_asked && !job->position_done) ||
                     (job->wrapped && !job->commit_done);
  if (outstanding) return;
  job->settled_at = Now();
  if (job->setup_error) return EndSetupFailed(channel, job);
  GiveBack(channel, job);
  if (job->key_error) return EndKeyRefused(channel, job);
  if (job->commit_error) return EndWithError(channel, job, *job->commit_error);
  Acknowledge(channel, job);
}

/// Answers with an error in place of what the endpoint sent.
void Group::EndWithError(const ChannelPtr& channel, const JobPtr& job,
                         const pgwire::Report& report) {
  StatementEnd end;
  end.outcome = static_cast<uint8_t>(StatementOutcome::kAnswered);
  end.transaction_status = job->status;
  end.endpoint = job->endpoint;
  channel->out += pgwire::ErrorResponse(report);
  EndJob(channel, std::move(end));
  Flush(channel);
}

void Group::GiveBack(const ChannelPtr& channel, const JobPtr& job) {
  PooledPtr connection = std::move(job->connection);
  job->connection = nullptr;
  if (!connection) return;
  connection->wire->ResumeReading();
  metrics_.Served(job->statement.rank, !job->by_primary,
                  NowMicros() - job->sent_micros);
  if (job->status != 'I') {
    channel->pinned = connection;
    channel->pinned_to_primary = job->by_primary;
    channel->pinned_term = job->term;
    channel->idle_since = Now();
    return;
  }
  channel->pinned = nullptr;
  channel->block_key = OperationKey();
  FreeSlot(channel, connection);
}

void Group::FreeSlot(const ChannelPtr& channel, const PooledPtr& connection) {
  working_.erase(connection->number);
  queue_.RecordServiceTime(channel->slot_rank, channel->slot_lane,
                           Now() - channel->slot_since);
  pool_->Release(connection);
  // The next statement starts before this one's answer is passed on.
  Dispatch();
}

void Group::Acknowledge(const ChannelPtr& channel, const JobPtr& job) {
  if (channel->job != job) return;
  std::string fence = FenceOf(*job);
  bool needs_position = NeedsPosition(*job);
  if (fence.empty() && needs_position) {
    bool confirmed = job->position && job->position->is_primary &&
                     job->position->term == job->term;
    if (!confirmed) fence = "position";
  }
  if (!fence.empty()) return EndFenced(channel, job, fence);
  Time now = Now();
  if (needs_position) {
    Floor at{job->position->term, job->position->replayed};
    members_->AddPrimarySample(job->position_asked_at, at);
    RaiseFloor(channel->floor.get(), at);
    std::optional<Position> received = members_->Received();
    bool replicated = received && *received >= at.position;
    bool wrote = !job->plain_read();
    if (wrote && spec_.ack == AckMode::kReplicated && !replicated) {
      job->awaits_replica = at.position;
      replica_waits_.insert(channel);
      members_->KickReplicas(now);
      return SchedulePoll();
    }
  } else {
    RecordRead(channel->floor.get(), job->endpoint, job->term, job->by_primary,
               now);
  }
  StatementEnd end;
  end.outcome = static_cast<uint8_t>(StatementOutcome::kAnswered);
  end.transaction_status = job->status;
  end.by_replica = !job->by_primary;
  end.endpoint = job->endpoint;
  end.floor = NewFloor(channel);
  channel->out += job->held;
  EndJob(channel, std::move(end));
  Flush(channel);
}

std::string Group::FenceOf(const Job& job) const {
  Time now = Now();
  ViewPtr view = params_.view();
  FenceInputs inputs;
  inputs.lease_valid = params_.lease->ValidAt(now);
  inputs.view = view.get();
  inputs.group = id_;
  inputs.vm = params_.vm;
  inputs.epoch = epoch_;
  inputs.sent_in = job.term;
  inputs.by_primary = job.by_primary;
  inputs.primary_in_force = failover_->MayUsePrimary(now);
  return FenceAgainst(inputs);
}

std::optional<Floor> Group::NewFloor(const ChannelPtr& channel) {
  Resolve(channel->floor.get());
  const Floor& known = channel->floor->known;
  if (known <= channel->reported) return std::nullopt;
  channel->reported = known;
  return known;
}

void Group::EndFenced(const ChannelPtr& channel, const JobPtr& job,
                      const std::string& fence) {
  LogLine(LogLevel::kWarn, "fenced")
      .Field("group", id_)
      .Field("session", channel->session_key)
      .Field("fence", fence)
      .Field("endpoint", job->endpoint)
      .Field("term", job->term);
  if (channel->pinned) {
    PooledPtr connection = std::move(channel->pinned);
    channel->pinned = nullptr;
    working_.erase(connection->number);
    pool_->Discard(connection);
  }
  if (job->plain_read() && !job->passed) {
    channel->out.clear();
    Refuse(channel,
           {"ERROR", "57P03", "the answer may be out of date: " + fence, "",
            "nothing was changed; retry"},
           "fenced_" + fence);
  } else {
    EndUnknown(channel, job, fence + " no longer holds");
  }
  Flush(channel);
}

void Group::EndSetupFailed(const ChannelPtr& channel, const JobPtr& job) {
  PooledPtr connection = std::move(job->connection);
  job->connection = nullptr;
  working_.erase(connection->number);
  channel->pinned = nullptr;
  pool_->Discard(connection);
  pgwire::Report report = *job->setup_error;
  bool without_effect =
      job->plain_read() || (job->failed && job->completions == 0);
  if (without_effect) {
    report.hint = "the session's settings could not be restored";
    Refuse(channel, report, "setup_failed");
  } else {
    EndUnknown(channel, job, "the session's settings could not be restored");
  }
  Flush(channel);
  Dispatch();
}

void Group::EndUnknown(const ChannelPtr& channel, const JobPtr& job,
                       const std::string& reason) {
  pgwire::Report report = UnknownReport(*job, reason);
  LogLine(LogLevel::kWarn, "outcome_unknown")
      .Field("group", id_)
      .Field("session", channel->session_key)
      .Field("statement", job->statement.number)
      .Field("endpoint", job->endpoint)
      .Field("reason", reason);
  metrics_.Unknown(report.sqlstate);
  StatementEnd end;
  end.outcome = static_cast<uint8_t>(StatementOutcome::kUnknown);
  end.sqlstate = report.sqlstate;
  end.message = report.message;
  end.hint = report.hint;
  end.endpoint = job->endpoint;
  EndJob(channel, std::move(end));
}

void Group::Refuse(const ChannelPtr& channel, const pgwire::Report& report,
                   const std::string& reason) {
  JobPtr job = channel->job;
  if (!job) return;
  queue_.Remove(job->id);
  waiting_.erase(job->id);
  metrics_.Refused(job->statement.rank, reason);
  LogLine(LogLevel::kDebug, "refused")
      .Field("group", id_)
      .Field("session", channel->session_key)
      .Field("statement", job->statement.number)
      .Field("reason", reason);
  StatementEnd end;
  end.outcome = static_cast<uint8_t>(StatementOutcome::kNotRun);
  end.sqlstate = report.sqlstate;
  end.message = report.message;
  end.hint = report.hint;
  EndJob(channel, std::move(end));
  ScheduleFlush(channel);
}

void Group::EndJob(const ChannelPtr& channel, StatementEnd end) {
  end.number = channel->job->statement.number;
  replica_waits_.erase(channel);
  channel->job = nullptr;
  channel->end = std::move(end);
}

void Group::Flush(const ChannelPtr& channel) {
  if (channel->closed || channel->flushing) return;
  JobPtr job = channel->job;
  SendOut(channel, job);
  if (channel->closed) return;
  if (job && job->connection) {
    if (channel->out.empty()) {
      job->connection->wire->ResumeReading();
    } else {
      job->connection->wire->PauseReading();
    }
  }
  if (!channel->out.empty() || !channel->end) return;
  StatementEnd end = std::move(*channel->end);
  channel->end.reset();
  channel->sink(std::move(end));
}

/// Passes on as much as the caller has credit for, which may grow meanwhile.
void Group::SendOut(const ChannelPtr& channel, const JobPtr& job) {
  if (!job && !channel->end) return;
  uint64_t number = job ? job->statement.number : channel->end->number;
  channel->flushing = true;
  size_t sent = 0;
  while (sent < channel->out.size() && channel->credit > 0) {
    size_t size = std::min({channel->out.size() - sent,
                            static_cast<size_t>(kChannelChunkBytes),
                            static_cast<size_t>(channel->credit)});
    channel->credit -= static_cast<int64_t>(size);
    if (job) job->passed = true;
    channel->sink(AnswerData{number, channel->out.substr(sent, size)});
    sent += size;
  }
  channel->out.erase(0, sent);
  channel->flushing = false;
}

void Group::ScheduleFlush(const ChannelPtr& channel) {
  boost::asio::post(*params_.thread, [weak = weak_from_this(), channel] {
    std::shared_ptr<Group> group = weak.lock();
    if (group) group->Flush(channel);
  });
}

void Group::OnConnectionLost(const PooledPtr& connection,
                             const ConnectionLoss& loss) {
  members_->NoteBroken(connection->endpoint, Now());
  members_->Kick(Now());
  auto found = working_.find(connection->number);
  if (found == working_.end()) return;
  ChannelPtr channel = found->second;
  Break(channel, loss.reason);
  Dispatch();
}

/// The connection that a channel's statement or transaction was on is gone.
void Group::Break(const ChannelPtr& channel, const std::string& reason) {
  JobPtr job = channel->job;
  PooledPtr connection = channel->pinned;
  channel->pinned = nullptr;
  if (job && job->connection) connection = std::move(job->connection);
  if (connection) working_.erase(connection->number);
  if (!job || !job->sent) {
    channel->lost_block = pgwire::Report{
        "ERROR", "40001", "the transaction's connection was lost: " + reason,
        "", "it was rolled back; run it again"};
    return;
  }
  job->connection = nullptr;
  bool again = job->plain_read() && !job->passed && !job->cancelled_at &&
               job->attempts + 1 < kMaxReadAttempts &&
               job->statement.complete && !job->replay.empty();
  if (!again) {
    EndUnknown(channel, job, reason);
    return ScheduleFlush(channel);
  }
  JobPtr retry = std::make_shared<Job>();
  retry->id = job->id;
  retry->statement = job->statement;
  retry->statement.bytes = job->replay;
  retry->kind = job->kind;
  retry->lane = job->lane;
  retry->arrived = job->arrived;
  retry->arrived_micros = job->arrived_micros;
  retry->deadline = job->deadline;
  retry->attempts = job->attempts + 1;
  channel->out.clear();
  channel->job = retry;
  waiting_[retry->id] = channel;
  QueueItem item;
  item.id = retry->id;
  item.rank = retry->statement.rank;
  item.lane = retry->lane;
  item.session = channel->session_key;
  item.arrived = retry->arrived;
  item.deadline = retry->deadline;
  queue_.Requeue(item);
}

/// Cuts all work at an endpoint, as far as it is not answered yet.
void Group::BreakWorkAt(const EndpointId& endpoint, const std::string& reason) {
  std::set<ChannelPtr> affected;
  for (const auto& [number, channel] : working_) {
    PooledPtr connection = channel->pinned;
    if (channel->job && channel->job->connection) {
      connection = channel->job->connection;
    }
    if (connection && connection->endpoint == endpoint) {
      affected.insert(channel);
    }
  }
  for (const ChannelPtr& channel : affected) {
    PooledPtr connection = channel->pinned;
    if (channel->job && channel->job->connection) {
      connection = channel->job->connection;
    }
    pool_->Discard(connection);
    Break(channel, reason);
  }
  CheckReplicaWaits(Now());
}

}  // namespace cardamomchute
