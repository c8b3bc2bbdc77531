#include "group.h"

#include <algorithm>
#include <chrono>

#include "cardamomchute/base/log.h"
#include "cardamomchute/policy/admission/access.h"
#include "group_limits.h"

namespace cardamomchute {

Group::Group(const OwnerParams& params, GroupId id, Epoch epoch)
    : params_(params),
      id_(std::move(id)),
      epoch_(epoch),
      metrics_(params.metrics),
      replica_alive_at_(Now()),
      tick_timer_(*params.thread),
      poll_timer_(*params.thread) {}

void Group::Start() {
  std::weak_ptr<Group> weak = weak_from_this();
  members_ = std::make_unique<Members>(
      *params_.thread, id_, [weak](const EndpointId& id) {
        std::shared_ptr<Group> group = weak.lock();
        if (group) group->OnMemberAnswer(id);
      });
  PoolHooks hooks;
  hooks.on_ready = [weak](const EndpointId&) {
    std::shared_ptr<Group> group = weak.lock();
    if (group) group->Dispatch();
  };
  hooks.on_lost = [weak](const PooledPtr& connection,
                         const ConnectionLoss& loss) {
    std::shared_ptr<Group> group = weak.lock();
    if (group) group->OnConnectionLost(connection, loss);
  };
  pool_ = std::make_shared<Pool>(*params_.thread, id_, std::move(hooks));
  failover_ = std::make_shared<FailoverExecutor>(
      params_, id_, epoch_, members_.get(), [weak](Term term, Position end) {
        std::shared_ptr<Group> group = weak.lock();
        if (group) group->OnTermEnded(term, end);
      });
  ScheduleTick();
}

void Group::OnView(const ViewPtr& view) {
  if (view->document) SetDocument(view->document->document);
  std::map<EndpointId, EndpointState> members;
  for (const auto& [id, endpoint] : view->endpoints) {
    if (endpoint.group == id_) members[id] = endpoint;
  }
  members_->Update(members);
  pool_->SetMembers(members);
  auto record = view->groups.find(id_);
  if (record != view->groups.end()) SetRecord(record->second);
  size_t count = std::max<size_t>(1, members.size());
  queue_.SetCapacity(Lane::kPrimary, spec_.slots);
  queue_.SetCapacity(Lane::kAny, spec_.slots * count);
  Tick();
}

void Group::SetDocument(const Document& document) {
  limits_ = document.limits;
  if (ranks_ != document.ranks) {
    ranks_ = document.ranks;
    queue_.SetRanks(ranks_);
  }
  const GroupSpec* spec = FindGroup(document, id_);
  if (spec == nullptr) return;
  spec_ = *spec;
  pool_->SetSpec(spec_);
  members_->SetLogin(spec_.user, spec_.database);
  failover_->SetLogin(spec_.user, spec_.database);
  failover_->SetReplicated(spec_.ack == AckMode::kReplicated);
}

void Group::SetRecord(const GroupState& record) {
  if (record.primary == primary_ && record.term == term_) return;
  LogLine(LogLevel::kInfo, "primary")
      .Field("group", id_)
      .Field("endpoint", record.primary)
      .Field("term", record.term)
      .Field("was", primary_)
      .Field("epoch", epoch_);
  if (!primary_.empty()) AbortWorkAt(primary_, "primary replaced");
  primary_ = record.primary;
  term_ = record.term;
  primary_abandoned_ = false;
  members_->SetPrimary(primary_, term_);
  Time now = Now();
  members_->ProbeFastUntil(now + kFastProbePeriod);
  members_->ProbeNow(now);
}

void Group::OnMemberAnswer(const EndpointId& id) {
  Time now = Now();
  if (!replica_waits_.empty()) CheckReplicaWaits(now);
  if (queue_.size() > 0) Dispatch();
}

void Group::OnTermEnded(Term term, Position end) {
  replaced_term_end_.end = end;
  term_ends_[term] = replaced_term_end_;
  LogLine(LogLevel::kInfo, "term_ended")
      .Field("group", id_)
      .Field("term", term)
      .Field("position", end);
}

bool Group::PrimaryInForce(Time now) const {
  return members_->PrimaryConfirmed() && failover_->MayUsePrimary(now);
}

void Group::ResolveSessionFloor(SessionFloor* floor) {
  ResolveFloor(floor, primary_, term_, term_ends_,
               [this](const EndpointId& id) {
                 const Member* member = members_->Find(id);
                 return member == nullptr ? nullptr : &member->history;
               });
}

void Group::ScheduleTick() {
  tick_timer_.expires_after(std::chrono::milliseconds(kGroupTick.ms()));
  tick_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        std::shared_ptr<Group> group = weak.lock();
        if (error || !group || group->stopped_) return;
        group->Tick();
        group->ScheduleTick();
      });
}

void Group::Tick() {
  Time now = Now();
  members_->Tick(now);
  pool_->Tick(now);
  failover_->SetPrimaryBusy(pool_->BusyAt(primary_) > 0);
  failover_->Tick(now);
  if (members_->AnyReplicaAlive(now)) replica_alive_at_ = now;
  CheckPrimaryInForce(now);
  CheckRunning(now);
  CheckReplicaWaits(now);
  for (const QueueItem& item : queue_.TakeExpired(now)) {
    auto found = waiting_.find(item.id);
    if (found == waiting_.end()) continue;
    ChannelPtr channel = found->second;
    Refuse(channel,
           {"ERROR", "57P03", "no endpoint could take the statement in time",
            "", "it did not run; retry"},
           "expired");
  }
  if (queue_.size() > 0) Dispatch();
  if (draining_) FinishDrain();
}

void Group::CheckPrimaryInForce(Time now) {
  if (primary_.empty()) return;
  if (failover_->MayUsePrimary(now)) primary_abandoned_ = false;
  if (primary_abandoned_ || failover_->MayUsePrimary(now)) return;
  primary_abandoned_ = true;
  replaced_term_end_ = TermEnd();
  const Member* member = members_->Find(primary_);
  if (member != nullptr && member->history.Latest()) {
    replaced_term_end_.last_known = member->history.Latest()->at.position;
  }
  for (const ChannelPtr& channel : channels_) {
    const JobPtr& job = channel->job;
    bool unresolved = job && job->sent && job->by_primary && !job->plain_read();
    if (!unresolved) continue;
    Time began = job->sent_at;
    if (!replaced_term_end_.unresolved_since ||
        began < *replaced_term_end_.unresolved_since) {
      replaced_term_end_.unresolved_since = began;
    }
  }
  AbortWorkAt(primary_, "primary is being replaced");
}

void Group::CheckRunning(Time now) {
  std::vector<ChannelPtr> working;
  for (const auto& [number, channel] : working_) working.push_back(channel);
  for (const ChannelPtr& channel : working) {
    JobPtr job = channel->job;
    if (!job) {
      bool too_long = channel->pinned &&
                      now - channel->idle_since > limits_.idle_in_transaction;
      if (!too_long) continue;
      channel->transaction_loss = pgwire::Report{
          "ERROR", "25P03", "the transaction was idle for too long", "",
          "it was rolled back; run it again"};
      RollBack(channel, false);
      continue;
    }
    if (!job->connection || !job->sent) continue;
    if (LooksSilent(*job, now)) {
      PooledPtr connection = job->connection;
      connection->wire->Cancel();
      pool_->Discard(connection);
      pool_->VerifyIdleConnections(connection->endpoint);
      HandleBrokenConnection(channel, "the connection stopped answering");
      continue;
    }
    if (!job->cancelled_at && now - job->sent_at > limits_.statement_timeout) {
      job->cancelled_at = now;
      job->connection->tainted = true;
      job->connection->wire->Cancel();
    }
    if (job->cancelled_at && now - *job->cancelled_at > kCancelTimeout) {
      PooledPtr connection = job->connection;
      pool_->Discard(connection);
      HandleBrokenConnection(channel, "no answer in time");
    }
  }
}

/// Returns whether the connection of a running statement has probably stopped
/// answering: for a read after kSilentReadTimeout, so that it is retried once
/// on another connection; for any statement after kSilentStatementTimeout if
/// other connections to the member were found silent at about that time.
bool Group::LooksSilent(const Job& job, Time now) const {
  if (job.answer_started || job.buffering || job.cancelled_at) return false;
  Duration unanswered = now - job.sent_at;
  std::optional<Time> silent_at = pool_->LastSilentAt(job.endpoint);
  bool others_silent = silent_at && *silent_at + kSilenceWindow > job.sent_at;
  if (others_silent && unanswered > kSilentStatementTimeout) return true;
  if (!job.plain_read() || job.attempts > 0) return false;
  size_t rank = job.statement.rank.value();
  Duration patience = kSilentReadTimeout;
  if (rank < ranks_.size()) patience = std::max(patience, ranks_[rank].target);
  return unanswered > patience;
}

void Group::CheckReplicaWaits(Time now) {
  std::set<ChannelPtr> waits = replica_waits_;
  std::optional<Position> received = members_->FurthestReceived();
  bool no_replica_alive = !members_->AnyReplicaAlive(now);
  for (const ChannelPtr& channel : waits) {
    JobPtr job = channel->job;
    if (!job || !job->required_position) {
      replica_waits_.erase(channel);
      continue;
    }
    bool received_by_replica = received && *received >= *job->required_position;
    std::string fence = FailedFenceOf(*job);
    if (received_by_replica || !fence.empty()) {
      replica_waits_.erase(channel);
      Acknowledge(channel, job);
      continue;
    }
    bool no_replica_in_time =
        no_replica_alive && now - job->settled_at > kNoReplicaTimeout;
    // May exceed the deadline: a late answer is better than an unknown outcome,
    // and a stall of the primary delays its replicas too.
    Time end = std::max(job->deadline, job->settled_at + kReplicationTimeout);
    if (!no_replica_in_time && now < end) continue;
    replica_waits_.erase(channel);
    DiscardPinned(channel);
    EndUnknown(channel, job, "no replica received it in time");
    Flush(channel);
  }
  if (!replica_waits_.empty()) SchedulePoll();
}

void Group::SchedulePoll() {
  if (polling_) return;
  polling_ = true;
  poll_timer_.expires_after(std::chrono::milliseconds(kMinProbeSpacing.ms()));
  poll_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code error) {
        std::shared_ptr<Group> group = weak.lock();
        if (error || !group || group->stopped_) return;
        group->polling_ = false;
        if (group->replica_waits_.empty()) return;
        group->members_->ProbeReplicasNow(Now());
        group->SchedulePoll();
      });
}

void Group::Drain(std::function<void()> done) {
  draining_ = true;
  on_drained_ = std::move(done);
  for (const QueueItem& item : queue_.TakeAll()) {
    auto found = waiting_.find(item.id);
    if (found == waiting_.end()) continue;
    ChannelPtr channel = found->second;
    Refuse(channel,
           {"ERROR", "57P03", "the group moves to another VM", "",
            "it did not run; retry"},
           "draining");
  }
  FinishDrain();
}

void Group::FinishDrain() {
  if (!on_drained_ || !working_.empty() || !replica_waits_.empty()) return;
  std::function<void()> done = std::move(on_drained_);
  on_drained_ = nullptr;
  GroupChange change;
  change.group = id_;
  change.epoch = epoch_;
  change.kind = GroupChange::Kind::kRelease;
  params_.propose(change, [done, id = id_](const Status& status) {
    LogLine(LogLevel::kInfo, "released")
        .Field("group", id)
        .Field("ok", status.has_value());
    done();
  });
}

void Group::Stop(const std::string& reason) {
  stopped_ = true;
  tick_timer_.cancel();
  poll_timer_.cancel();
  failover_->Stop();
  members_->Stop();
  std::set<ChannelPtr> channels = std::move(channels_);
  channels_.clear();
  for (const ChannelPtr& channel : channels) Reset(channel, reason);
  pool_->Stop();
  if (on_drained_) {
    std::function<void()> done = std::move(on_drained_);
    on_drained_ = nullptr;
    done();
  }
}

}  // namespace cardamomchute
