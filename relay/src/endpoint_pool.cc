#include "cardamomchute/relay/endpoint_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"
#include "pool_timing.h"

namespace cardamomchute {
namespace {

constexpr char kReplaced[] = "another endpoint is the primary now";

/// What a waiting statement takes beyond a fixed part.
size_t BytesOf(const RunRequest& request) {
  size_t bytes = request.text.size() + request.id.size();
  for (const auto& [name, value] : request.values)
    bytes += name.size() + value.size();
  if (request.prepared) bytes += request.prepared->shape.size();
  return bytes;
}

}  // namespace

std::string_view ToString(EndpointProblem trouble) {
  switch (trouble) {
    case EndpointProblem::kRefused:
      return "refused";
    case EndpointProblem::kSilent:
      return "silent";
    case EndpointProblem::kStalled:
      return "stalled";
    case EndpointProblem::kNotPrimary:
      return "not_leader";
    case EndpointProblem::kLagging:
      return "lagging";
  }
  return "silent";
}

EndpointPool::EndpointPool(EndpointPoolParams params)
    : params_(std::move(params)),
      timer_(params_.executor),
      connect_pause_(kConnectPauseMin) {
  std::vector<RankSpec> ranks(kRanks);
  for (RankSpec& rank : ranks) rank.queue_limit = kQueueLimit;
  for (size_t i = 1; i < kRanks; ++i)
    ranks[i].guaranteed_share = kGuaranteedShare;
  queue_.SetRanks(std::move(ranks));
  last_read_ = last_write_done_ = last_used_ = Now();
}

void EndpointPool::SetBounds(const PoolBounds& bounds) {
  bool lost_primary_role = bounds_.is_primary && !bounds.is_primary;
  if (bounds_.is_primary != bounds.is_primary) proof_.reset();
  if (bounds.is_primary) replaced_ = false;
  if (lost_primary_role) replaced_ = true;
  bounds_ = bounds;
  SetSlots(&limit_, bounds_.slots, bounds_.sharers);
  ApplyLimit(Now());
  NoteDrain(Now());
  if (!lost_primary_role) return;
  EndWithheld([](const SessionKey&, uint64_t) { return true; }, kReplaced);
  std::vector<std::unique_ptr<Job>> need_lead = TakeWaiting([](const Job& job) {
    const RunRequest& request = job.request;
    bool needs_lead = request.at_primary || request.writes;
    return needs_lead && !InTransaction(request.step);
  });
  for (std::unique_ptr<Job>& job : need_lead)
    Refuse(std::move(job), StatementStatus::kReadOnly, kReplaced);
}

// ---- statements that wait --------------------------------------------------

void EndpointPool::Submit(RunRequest request, const SessionKey& key,
                          RunDone done) {
  Time now = Now();
  last_used_ = now;
  std::unique_ptr<Job> job = std::make_unique<Job>();
  job->target = now + request.target;
  job->hold_until = now + request.hold;
  job->deadline = now + request.timeout;
  job->request = std::move(request);
  job->key = key;
  job->done = std::move(done);
  size_t bytes = BytesOf(job->request);
  if (*params_.statement_bytes + bytes > params_.max_statement_bytes)
    return Refuse(std::move(job), StatementStatus::kBusy,
                  "statements that wait take too much memory");
  job->bytes = bytes;
  *params_.statement_bytes += bytes;
  if (closed_)
    return Refuse(std::move(job), StatementStatus::kUnreachable, "pool closed");
  NoteDrain(now);
  if (TooLateToBegin(*job, now))
    return Refuse(std::move(job), StatementStatus::kBusy, kEndpointLeaves);
  bool begins = !InTransaction(job->request.step);
  if (begins && Down(now)) {
    ScheduleTick();
    return Refuse(std::move(job), StatementStatus::kUnreachable,
                  "the endpoint does not answer");
  }
  // No lease will come that the write could wait for.
  bool unleasable =
      params_.renew_lease && replaced_ && CommitsWrites(job->request, false);
  if (unleasable)
    return Refuse(std::move(job), StatementStatus::kReadOnly, kReplaced);
  if (begins && !PlanFloor(job.get(), now)) return ParkForFloor(std::move(job));
  Enqueue(std::move(job));
  Dispatch();
}

std::string EndpointPool::RefusalDetail(Admission admission) {
  switch (admission) {
    case Admission::kQueueFull:
      return "queue full";
    case Admission::kShareUsedUp:
      return "the organisation's share is used up";
    default:
      return "queue longer than the time left";
  }
}

void EndpointPool::Enqueue(std::unique_ptr<Job> job) {
  uint64_t id = ++next_job_;
  QueueItem item;
  item.id = id;
  item.rank = job->request.rank;
  item.lane = job->late ? Lane::kOverdue : Lane::kPrimary;
  item.session =
      job->key.link.relay.value() + "/" + std::to_string(job->key.session);
  item.organisation = job->request.organisation.value();
  item.cost_ms = kind_ms_[job->request.writes ? 1 : 0];
  item.keep = InTransaction(job->request.step);
  item.arrived = Now();
  item.deadline = job->deadline;
  Admission admission = queue_.Add(item, item.arrived);
  if (admission != Admission::kAdmitted) {
    if (admission == Admission::kShareUsedUp) LogShareUsedUp(*job);
    return Refuse(std::move(job), StatementStatus::kBusy,
                  RefusalDetail(admission));
  }
  jobs_[id] = std::move(job);
  RefuseDisplaced();
  ScheduleTick();
}

void EndpointPool::RefuseDisplaced() {
  for (const QueueItem& displaced : queue_.TakeDisplaced()) {
    auto it = jobs_.find(displaced.id);
    if (it == jobs_.end()) continue;
    std::unique_ptr<Job> job = std::move(it->second);
    jobs_.erase(it);
    LogShareUsedUp(*job);
    Refuse(std::move(job), StatementStatus::kBusy,
           RefusalDetail(Admission::kShareUsedUp));
  }
}

void EndpointPool::LogShareUsedUp(const Job& job) const {
  LogLine(LogLevel::kInfo, "share_used_up")
      .Field("request", job.request.id)
      .Field("organisation", job.request.organisation)
      .Field("endpoint", params_.endpoint)
      .Field("rank", job.request.rank)
      .Field("waiting", queue_.size());
}

EndpointPool::HeldPtr EndpointPool::FindPinned(const SessionKey& key,
                                               uint64_t run) {
  for (const HeldPtr& held : held_) {
    if (held->pinned == key && held->run == run) return held;
  }
  return nullptr;
}

/// An idle connection of the organisation, best one that already has the
/// session's values.
EndpointPool::HeldPtr EndpointPool::FindIdle(const Job& job) {
  HeldPtr clean;
  HeldPtr any;
  for (const HeldPtr& held : held_) {
    const RunRequest& request = job.request;
    bool usable = IsIdle(*held) && held->organisation == request.organisation;
    if (!usable) continue;
    if (held->values == request.values) {
      bool has = !request.prepared ||
                 held->prepared.contains(request.prepared->shared_name);
      if (has) return held;
      clean = held;
    } else if (held->values.empty() && !clean) {
      clean = held;
    } else if (!any) {
      any = held;
    }
  }
  return clean ? clean : any;
}

bool EndpointPool::AnyPinned() const {
  return std::any_of(held_.begin(), held_.end(),
                     [](const HeldPtr& held) { return held->pinned; });
}

bool EndpointPool::CanRun(const Job& job) {
  Time now = Now();
  if (AwaitsLease(job, now) || TooLateToBegin(job, now)) return false;
  // What an open transaction holds may be what the others wait for.
  if (running_ >= limit() && !InTransaction(job.request.step)) return false;
  if (!InTransaction(job.request.step)) return FindIdle(job) != nullptr;
  HeldPtr held = FindPinned(job.key, job.request.run);
  return !held || !held->busy;
}

void EndpointPool::Dispatch() {
  while (!closed_ && running_ < bounds_.slots && queue_.size() > 0) {
    std::optional<QueueItem> item = queue_.Next(
        Now(), {true, false, true}, [this](const QueueItem& candidate) {
          return CanRun(*jobs_.at(candidate.id));
        });
    if (!item) break;
    auto it = jobs_.find(item->id);
    std::unique_ptr<Job> job = std::move(it->second);
    jobs_.erase(it);
    HeldPtr held = InTransaction(job->request.step)
                       ? FindPinned(job->key, job->request.run)
                       : FindIdle(*job);
    if (!held) {
      Refuse(std::move(job), StatementStatus::kAborted,
             "the transaction's connection was lost");
      continue;
    }
    if (!LeaseAllowsIn(*held, *job, Now())) {
      Release(held);
      Refuse(std::move(job), StatementStatus::kAborted,
             "no lease on the primary");
      continue;
    }
    Start(held, std::move(job));
  }
  if (!closed_ && queue_.size() > 0) Grow();
}

void EndpointPool::Refuse(std::unique_ptr<Job> job, StatementStatus outcome,
                          const std::string& detail) {
  RunAnswer answer;
  answer.outcome = outcome;
  answer.detail = detail;
  Finish(std::move(job), std::move(answer));
}

void EndpointPool::Finish(std::unique_ptr<Job> job, RunAnswer answer) {
  *params_.statement_bytes -= job->bytes;
  answer.number = job->request.number;
  answer.waiting = jobs_.size() + running_;
  answer.expected_wait = ExpectedWait();
  answer.slowdown_percent =
      static_cast<uint64_t>(SlowdownOf(limit_) * kPercent);
  job->done(std::move(answer));
}

// ---- statements under way --------------------------------------------------

void EndpointPool::Start(const HeldPtr& held, std::unique_ptr<Job> job) {
  ++running_;
  held->work = NoteStart(limit_, running_, Now());
  held->busy = true;
  held->sent = false;
  held->sent_at = Now();
  held->job = std::move(job);
  std::vector<EndpointCommand> setup = Setup(held);
  if (setup.empty()) return SendStatement(held);
  SendSetup(held, std::move(setup));
}

/// What brings the connection to the session's values, has the prepared
/// statement known, and opens the transaction.
std::vector<EndpointCommand> EndpointPool::Setup(const HeldPtr& held) {
  const Job& job = *held->job;
  const RunRequest& request = job.request;
  std::vector<EndpointCommand> commands;
  bool foreign = std::any_of(held->values.begin(), held->values.end(),
                             [&request](const auto& value) {
                               return !request.values.contains(value.first);
                             });
  if (foreign) {
    commands.push_back({.kind = CommandKind::kReset});
    held->values.clear();
    held->prepared.clear();
  }
  for (const auto& [name, value] : request.values) {
    auto known = held->values.find(name);
    if (known != held->values.end() && known->second == value) continue;
    commands.push_back(
        {.kind = CommandKind::kSet, .name = name, .value = value});
    held->values[name] = value;
  }
  if (request.prepared &&
      held->prepared.insert(request.prepared->shared_name).second) {
    commands.push_back({.kind = CommandKind::kPrepare,
                        .name = request.prepared->shared_name,
                        .value = request.prepared->shape,
                        .prepares_write = request.prepared->writes});
  }
  bool opens = request.step == RunStep::kFirst;
  if (!opens && !(job.fenced && request.step == RunStep::kSingle))
    return commands;
  bool plain = job.fenced || !request.read_only;
  commands.push_back(plain
                         ? EndpointCommand{.kind = CommandKind::kBegin}
                         : EndpointCommand{.kind = CommandKind::kBeginReadOnly,
                                           .min_position = job.min_position});
  return commands;
}

/// The statement follows only once all of the setup has succeeded: after a
/// refused BEGIN it would run outside of its transaction.
void EndpointPool::SendSetup(const HeldPtr& held,
                             std::vector<EndpointCommand> commands) {
  std::shared_ptr<std::vector<EndpointCommand>> left =
      std::make_shared<std::vector<EndpointCommand>>(commands);
  std::shared_ptr<bool> failed = std::make_shared<bool>(false);
  std::weak_ptr<EndpointPool> weak = weak_from_this();
  std::weak_ptr<Held> weak_held = held;
  held->link->Send(commands, [weak, weak_held, left,
                              failed](const CommandAnswer& answer) {
    std::shared_ptr<EndpointPool> self = weak.lock();
    HeldPtr on = weak_held.lock();
    if (!self || !on || *failed) return;
    self->last_read_ = Now();
    CommandKind kind = left->front().kind;
    left->erase(left->begin());
    bool begin =
        kind == CommandKind::kBegin || kind == CommandKind::kBeginReadOnly;
    if (answer.outcome != StatementStatus::kDone) {
      *failed = true;
      std::unique_ptr<Job> job = std::move(on->job);
      --self->running_;
      self->ReportAnswer(*job, answer.outcome);
      if (begin) {
        self->EndRun(on, answer.state);
      } else {
        self->Drop(on);
      }
      StatementStatus outcome =
          job->request.step == RunStep::kNext ? StatementStatus::kAborted
          : NotExecuted(answer.outcome)       ? answer.outcome
                                              : StatementStatus::kUnreachable;
      self->Refuse(std::move(job), outcome, answer.detail);
      return self->Dispatch();
    }
    if (begin) {
      if (kind == CommandKind::kBegin) self->NoteProof(on, answer);
      if (on->job->request.step == RunStep::kFirst) {
        on->pinned = on->job->key;
        on->run = on->job->request.run;
        on->wrote = false;
        on->leased = self->Leased(on->sent_at, on->job->request.max_staleness);
      }
    }
    if (!left->empty()) return;
    if (on->abandoned) return self->EndAbandoned(on, answer.state);
    if (self->TooLateToBegin(*on->job, Now()))
      return self->EndUnsent(on, answer.state, StatementStatus::kBusy,
                             kEndpointLeaves);
    self->SendStatement(on);
  });
}

void EndpointPool::SendStatement(const HeldPtr& held) {
  const Job& job = *held->job;
  const RunRequest& request = job.request;
  bool single = request.step == RunStep::kSingle;
  EndpointCommand run;
  run.kind = CommandKind::kRun;
  run.id = request.id;
  run.text = request.text;
  if (single && !job.fenced) run.min_position = job.min_position;
  std::vector<EndpointCommand> commands = {run};
  if (single && job.fenced)
    commands.push_back({.kind = CommandKind::kRollback});
  held->sent = true;
  held->sent_at = Now();
  held->work.at = held->sent_at;
  if (request.writes) held->wrote = true;
  // A transaction's first write asks already, so that COMMIT seldom waits.
  if (held->wrote) KeepLease(held->sent_at);
  std::weak_ptr<EndpointPool> weak = weak_from_this();
  std::weak_ptr<Held> weak_held = held;
  held->link->Send(commands, [weak, weak_held](const CommandAnswer& answer) {
    std::shared_ptr<EndpointPool> self = weak.lock();
    HeldPtr on = weak_held.lock();
    if (!self || !on) return;
    self->last_read_ = Now();
    if (on->job) return self->OnStatementAnswer(on, answer);
    // The end of a fenced statement's own transaction.
    self->EndRun(on, answer.state);
    self->Dispatch();
  });
}

void EndpointPool::OnStatementAnswer(const HeldPtr& held,
                                     const CommandAnswer& answer) {
  std::unique_ptr<Job> job = std::move(held->job);
  --running_;
  const RunRequest& request = job->request;
  // An answer went missing, and this is of a command of the pool's own.
  bool foreign =
      answer.outcome == StatementStatus::kDone && answer.signature.empty();
  if (foreign) {
    LogLine(LogLevel::kWarn, "endpoint_answer_missing")
        .Field("endpoint", params_.endpoint)
        .Field("request", request.id);
    StatementStatus outcome =
        WithoutAnswer(request, true, held->wrote, StatementStatus::kUnknown);
    Drop(held);
    Refuse(std::move(job), outcome, "the answer is missing");
    return Dispatch();
  }
  Time now = Now();
  Time sent_at = held->sent_at;
  queue_.RecordServiceTime(request.rank,
                           job->late ? Lane::kOverdue : Lane::kPrimary,
                           now - held->sent_at);
  double took_ms = static_cast<double>((now - held->sent_at).ms());
  service_ms_ += (took_ms - service_ms_) * kServiceWeight;
  double& kind_ms = kind_ms_[request.writes ? 1 : 0];
  kind_ms += (took_ms - kind_ms) * kServiceWeight;
  bool done = answer.outcome == StatementStatus::kDone;
  bool commit = request.step == RunStep::kCommit;
  bool plain_run = job->fenced || (held->pinned && held->wrote);
  if (done && ((request.writes && !commit) || (plain_run && !commit)))
    NoteProof(held, answer);
  bool commits = CommitsWrites(request, held->wrote);
  if (request.writes || commits) last_write_done_ = now;
  ReportAnswer(*job, answer.outcome);
  LearnLimit(*held, *job, answer.outcome, now);

  RunAnswer out;
  out.service = std::max(now - sent_at, Millis(1));
  out.outcome = answer.outcome;
  out.rows = answer.rows;
  out.signature = answer.signature;
  out.detail = answer.detail;
  out.at = answer.at;
  bool keeps = held->pinned && !commit && done && !held->abandoned &&
               answer.state == TransactionState::kOpen;
  out.transaction = keeps;
  bool fenced_single = job->fenced && request.step == RunStep::kSingle;
  if (keeps) {
    held->busy = false;
  } else if (!fenced_single) {
    EndRun(held, answer.state);
  }
  if (done && commits) {
    Acknowledge({std::move(job), std::move(out), sent_at});
  } else {
    Finish(std::move(job), std::move(out));
  }
  Dispatch();
}

/// The connection is free again, once the endpoint has no transaction on it.
void EndpointPool::EndRun(const HeldPtr& held, TransactionState state) {
  held->pinned.reset();
  held->abandoned = false;
  held->wrote = false;
  held->busy = false;
  if (state != TransactionState::kNone) Release(held);
}

/// Rolls back whatever is open on the connection.
void EndpointPool::Release(const HeldPtr& held) {
  held->pinned.reset();
  held->busy = true;
  held->verify_until = Now() + kVerifyTimeout;
  ScheduleTick();
  std::weak_ptr<EndpointPool> weak = weak_from_this();
  std::weak_ptr<Held> weak_held = held;
  held->link->Send({{.kind = CommandKind::kRollback}},
                   [weak, weak_held](const CommandAnswer& answer) {
                     std::shared_ptr<EndpointPool> self = weak.lock();
                     HeldPtr on = weak_held.lock();
                     if (!self || !on) return;
                     self->last_read_ = Now();
                     on->verify_until.reset();
                     on->busy = false;
                     on->abandoned = false;
                     on->wrote = false;
                     if (answer.state != TransactionState::kNone)
                       self->Drop(on);
                     self->Dispatch();
                   });
}

}  // namespace cardamomchute
