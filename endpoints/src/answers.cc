// Answers to callers, and the fencing checks before an acknowledgement.

#include <boost/asio/post.hpp>

#include "cardamomchute/base/log.h"
#include "fence.h"
#include "group.h"
#include "group_limits.h"
#include "statement_plan.h"

namespace cardamomchute {
namespace {

constexpr size_t kHeaderBytes = 5;

/// Returns whether the primary must confirm its role and term before the answer
/// is sent, because the answer may report a commit or belongs to an exact read.
bool NeedsPosition(const Job& job) {
  if (!job.by_primary) return false;
  // A batch can commit and leave another transaction open.
  if (job.status != 'I') return job.has_commit;
  if (job.failed && job.completions == 0) return false;
  if (job.plain_read()) return job.exact();
  return job.command_tag != "ROLLBACK";
}

pgwire::Report UnknownReport(const Job& job, const std::string& reason) {
  if (job.plain_read()) {
    return {"ERROR", "08006", "the answer was interrupted: " + reason, "",
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
      job->command_tag =
          piece.substr(kHeaderBytes, piece.size() - kHeaderBytes - 1);
      if (job->command_tag == "COMMIT") job->has_commit = true;
    }
  }
  if (first && (type == 'C' || type == 'I')) job->buffering = true;
  if (!job->buffering) {
    channel->out += piece;
    return;
  }
  job->buffered += piece;
  if (job->buffered.size() <= kMaxBufferedBytes) return;
  // Several results: only the end of the last one acknowledges the statement.
  channel->out += job->buffered;
  job->buffered.clear();
  job->buffering = false;
}

void Group::OnAnswerEnd(const ChannelPtr& channel, const JobPtr& job,
                        const ExchangeEnd& end) {
  if (channel->job != job) return;
  job->answered = true;
  job->status = end.status;
  job->failed = end.error.has_value();
  RecordBatchEnd(job->connection.get(), job->parsed, job->failed,
                 job->command_tag);
  // The transaction begun for the operation key is still open.
  if (job->owner_transaction) return FinishIfSettled(channel, job);
  if (NeedsPosition(*job) && !job->position_asked) {
    std::string bytes;
    std::vector<Exchange> exchanges;
    AppendPositionQuery(channel, job, &bytes, &exchanges);
    job->connection->wire->Send(std::move(bytes), std::move(exchanges));
  }
  FinishIfSettled(channel, job);
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
  FinishIfSettled(channel, job);
}

void Group::FinishIfSettled(const ChannelPtr& channel, const JobPtr& job) {
  if (!job->answered) return;
  bool outstanding = (job->position_asked && !job->position_done) ||
                     (job->owner_transaction && !job->commit_done);
  if (outstanding) return;
  job->settled_at = Now();
  if (job->setup_error) return EndSetupFailed(channel, job);
  ReturnConnection(channel, job);
  if (job->key_error) return EndKeyRefused(channel, job);
  if (job->commit_error) return EndWithError(channel, job, *job->commit_error);
  Acknowledge(channel, job);
}

/// Ends the statement with `report` in place of the endpoint's final messages.
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

void Group::ReturnConnection(const ChannelPtr& channel, const JobPtr& job) {
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
  channel->transaction_key = OperationKey();
  FreeSlot(channel, connection);
}

void Group::FreeSlot(const ChannelPtr& channel, const PooledPtr& connection) {
  working_.erase(connection->number);
  queue_.RecordServiceTime(channel->slot_rank, channel->slot_lane,
                           Now() - channel->slot_since);
  pool_->Release(connection);
  // Starts the next statement before this one's answer is sent.
  Dispatch();
}

void Group::Acknowledge(const ChannelPtr& channel, const JobPtr& job) {
  if (channel->job != job) return;
  std::string fence = FailedFenceOf(*job);
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
    std::optional<Position> received = members_->FurthestReceived();
    bool replicated = received && *received >= at.position;
    bool wrote = !job->plain_read();
    if (wrote && spec_.ack == AckMode::kReplicated && !replicated) {
      job->required_position = at.position;
      replica_waits_.insert(channel);
      members_->ProbeReplicasNow(now);
      return SchedulePoll();
    }
    if (wrote && spec_.ack == AckMode::kReplicated) {
      failover_->RecordAcknowledged(at);
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
  channel->out += job->buffered;
  EndJob(channel, std::move(end));
  Flush(channel);
}

std::string Group::FailedFenceOf(const Job& job) const {
  Time now = Now();
  ViewPtr view = params_.view();
  FenceInputs inputs;
  inputs.lease_valid = params_.lease->ValidAt(now);
  inputs.view = view.get();
  inputs.group = id_;
  inputs.vm = params_.vm;
  inputs.epoch = epoch_;
  inputs.sent_term = job.term;
  inputs.by_primary = job.by_primary;
  inputs.primary_in_force = failover_->MayUsePrimary(now);
  return FailedFence(inputs);
}

std::optional<Floor> Group::NewFloor(const ChannelPtr& channel) {
  ResolveSessionFloor(channel->floor.get());
  const Floor& known = channel->floor->known;
  if (known <= channel->reported_floor) return std::nullopt;
  channel->reported_floor = known;
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
  DiscardPinned(channel);
  if (job->plain_read() && !job->answer_started) {
    channel->out.clear();
    Refuse(channel,
           {"ERROR", "57P03", "the answer may be out of date: " + fence, "",
            "nothing was changed; retry"},
           "fenced_" + fence);
  } else {
    EndUnknown(channel, job, fence + " check failed");
  }
  Flush(channel);
}

/// Closes the connection of the channel's open transaction, if there is one.
void Group::DiscardPinned(const ChannelPtr& channel) {
  if (!channel->pinned) return;
  PooledPtr connection = std::move(channel->pinned);
  channel->pinned = nullptr;
  working_.erase(connection->number);
  pool_->Discard(connection);
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

/// Sends as much of the answer as the caller has credit for. The sink may grant
/// more credit meanwhile.
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
    if (job) job->answer_started = true;
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
  members_->RecordBrokenConnection(connection->endpoint, Now());
  members_->ProbeNow(Now());
  auto found = working_.find(connection->number);
  if (found == working_.end()) return;
  ChannelPtr channel = found->second;
  HandleBrokenConnection(channel, loss.reason);
  Dispatch();
}

/// Handles the loss of the connection that a channel's statement or transaction
/// runs on: resends a read, reports a sent statement as unknown, and refuses
/// the next statement of an idle transaction.
void Group::HandleBrokenConnection(const ChannelPtr& channel,
                                   const std::string& reason) {
  JobPtr job = channel->job;
  PooledPtr connection = channel->pinned;
  channel->pinned = nullptr;
  if (job && job->connection) connection = std::move(job->connection);
  if (connection) working_.erase(connection->number);
  if (!job || !job->sent) {
    channel->transaction_loss = pgwire::Report{
        "ERROR", "40001", "the transaction's connection was lost: " + reason,
        "", "it was rolled back; run it again"};
    return;
  }
  job->connection = nullptr;
  bool may_resend = job->plain_read() && !job->answer_started &&
                    !job->cancelled_at &&
                    job->attempts + 1 < kMaxReadAttempts &&
                    job->statement.complete && !job->resend_bytes.empty();
  if (!may_resend) {
    EndUnknown(channel, job, reason);
    return ScheduleFlush(channel);
  }
  JobPtr retry = std::make_shared<Job>();
  retry->id = job->id;
  retry->statement = job->statement;
  retry->statement.bytes = job->resend_bytes;
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

/// Aborts all unanswered statements and open transactions at an endpoint.
void Group::AbortWorkAt(const EndpointId& endpoint, const std::string& reason) {
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
    HandleBrokenConnection(channel, reason);
  }
  CheckReplicaWaits(Now());
}

}  // namespace cardamomchute
