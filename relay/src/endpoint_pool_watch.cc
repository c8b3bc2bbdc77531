/// What a pool does by the clock: deadlines, silence, trouble.
#include <algorithm>
#include <chrono>

#include "cardamomchute/base/log.h"
#include "cardamomchute/relay/endpoint_pool.h"
#include "pool_timing.h"

namespace cardamomchute {

/// Ticks only while something is due.
void EndpointPool::ScheduleTick() {
  if (ticking_ || closed_) return;
  ticking_ = true;
  timer_.expires_after(std::chrono::milliseconds(kTick.ms()));
  std::weak_ptr<EndpointPool> weak = weak_from_this();
  timer_.async_wait([weak](boost::system::error_code cancelled) {
    std::shared_ptr<EndpointPool> self = weak.lock();
    if (!self || cancelled || self->closed_) return;
    self->ticking_ = false;
    self->Tick();
  });
}

void EndpointPool::Tick() {
  Time now = Now();
  NoteDrain(now);
  NoteTime(&limit_, now);
  ApplyLimit(now);
  ExpireWaiting(now);
  MoveLate(now);
  ExpireRunning(now);
  NoteDown(now);
  WatchForTrouble(now);
  ServeFloorWaiters(now, false);
  SettleWithheld(now);
  KeepLeaseForCommits(now);
  Dispatch();
  bool due = connect_failed_ || !jobs_.empty() || !parked_.empty() ||
             !floor_waiters_.empty() || !withheld_.empty() ||
             std::any_of(held_.begin(), held_.end(),
                         [](const HeldPtr& held) { return held->busy; });
  if (due) ScheduleTick();
}

void EndpointPool::ExpireWaiting(Time now) {
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    if (now < it->second->hold_until) {
      ++it;
      continue;
    }
    queue_.Remove(it->first);
    std::unique_ptr<Job> job = std::move(it->second);
    it = jobs_.erase(it);
    bool transaction = InTransaction(job->request.step);
    bool leased = !AwaitsLease(*job, now);
    if (transaction) Abandon(job->key, job->request.run);
    Refuse(std::move(job),
           transaction ? StatementStatus::kAborted : StatementStatus::kBusy,
           leased ? "waited too long for a slot" : "no lease on the primary");
  }
}

/// What can no longer be in time lets others of its rank go first.
void EndpointPool::MoveLate(Time now) {
  std::vector<std::unique_ptr<Job>> late;
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    Job& job = *it->second;
    if (job.late || InTransaction(job.request.step) || now < job.target) {
      ++it;
      continue;
    }
    job.late = true;
    queue_.Remove(it->first);
    late.push_back(std::move(it->second));
    it = jobs_.erase(it);
  }
  for (std::unique_ptr<Job>& job : late) Enqueue(std::move(job));
}

bool EndpointPool::Down(Time now) const {
  bool any_ready = false;
  bool overdue = false;
  for (const HeldPtr& held : held_) {
    if (!held->ready) continue;
    any_ready = true;
    if (held->busy && now - held->sent_at > kSilence) overdue = true;
  }
  if (!any_ready) return connect_failed_;
  return overdue && now - last_read_ > kSilence;
}

/// Nothing waits for an endpoint that does not answer; connecting goes on, as
/// that shows when it is back.
void EndpointPool::NoteDown(Time now) {
  if (!Down(now)) return;
  if (!jobs_.empty())
    FailWaiting(StatementStatus::kUnreachable, "the endpoint does not answer");
  bool wanted = now - last_used_ < kReconnectFor;
  if (!wanted) connect_failed_ = false;
  if (wanted && connecting_ == 0 && now >= next_connect_ &&
      held_.size() < bounds_.connections) {
    Connect(bounds_.own_organisation);
  }
}

void EndpointPool::ExpireRunning(Time now) {
  std::vector<HeldPtr> all = held_;
  bool silent = false;
  for (const HeldPtr& held : all) {
    bool unverified = held->verify_until && now >= *held->verify_until;
    bool lost = AnswerLost(*held, now);
    bool late = held->job && (lost || now >= held->job->deadline);
    if (!unverified && !late) continue;
    silent = true;
    if (unverified) probing_ = false;
    if (!held->job) {
      LogLine(LogLevel::kInfo, "endpoint_connection_silent")
          .Field("endpoint", params_.endpoint);
      Drop(held);
      continue;
    }
    StatementStatus outcome = WithoutAnswer(
        held->job->request, held->sent, held->wrote, StatementStatus::kTimeout);
    std::unique_ptr<Job> job = std::move(held->job);
    --running_;
    LogLine(LogLevel::kInfo, "statement_timeout")
        .Field("endpoint", params_.endpoint)
        .Field("request", job->request.id)
        .Field("since_sent_ms", (now - held->sent_at).ms())
        .Field("usual_ms", static_cast<int64_t>(service_ms_))
        .Field("overdue", lost)
        .Field("outcome", ToString(outcome));
    Drop(held);
    Refuse(std::move(job), outcome, "no answer in time");
  }
  if (silent) VerifyIdle(now);
}

bool EndpointPool::AnswerLost(const Held& held, Time now) const {
  if (!held.job) return false;
  const RunRequest& request = held.job->request;
  bool keeps_trace =
      held.sent && (request.step == RunStep::kCommit ||
                    (request.step == RunStep::kSingle && request.writes));
  if (keeps_trace) return false;
  Duration overdue = std::max(
      kOverdueMin, Millis(static_cast<int64_t>(service_ms_ * kOverdueFactor)));
  return now - held.sent_at > overdue &&
         last_read_ > held.sent_at + overdue / 2;
}

/// One connection was lost or fell silent: the idle ones must answer before
/// they are used again.
void EndpointPool::VerifyIdle(Time now) {
  for (const HeldPtr& held : held_) {
    if (!IsIdle(*held)) continue;
    Release(held);
  }
}

void EndpointPool::WatchForTrouble(Time now) {
  bool silent = false;
  bool stalled = false;
  for (const HeldPtr& held : held_) {
    last_read_ = std::max(last_read_, held->link->last_read());
    if (!held->busy) continue;
    if (now - held->sent_at > kSilence) silent = true;
    if (!held->job || !held->sent) continue;
    const RunRequest& request = held->job->request;
    bool write = request.writes || CommitsWrites(request, held->wrote);
    if (write && now - held->sent_at > kWriteStall) stalled = true;
  }
  if (silent && now - last_read_ > kSilence) {
    Report(EndpointProblem::kSilent, now);
  } else if (stalled && now - last_write_done_ > kWriteStall) {
    Report(EndpointProblem::kStalled, now);
  }
}

/// What an answer tells of the endpoint's part in its group.
void EndpointPool::ReportAnswer(const Job& job, StatementStatus outcome) {
  if (outcome == StatementStatus::kReadOnly && bounds_.is_primary)
    Report(EndpointProblem::kNotPrimary, Now());
  if (outcome == StatementStatus::kLagging && job.by_age)
    Report(EndpointProblem::kLagging, Now());
}

void EndpointPool::Report(EndpointProblem trouble, Time now) {
  if (now - last_report_ < kReportInterval) return;
  last_report_ = now;
  LogLine(LogLevel::kInfo, "endpoint_trouble")
      .Field("endpoint", params_.endpoint)
      .Field("trouble", ToString(trouble))
      .Field("leads", bounds_.is_primary)
      .Field("silent_ms", (now - last_read_).ms());
  params_.report(trouble);
}

}  // namespace cardamomchute
