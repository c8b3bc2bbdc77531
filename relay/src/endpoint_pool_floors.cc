/// Freshness of reads: log positions of the primary and how reads use them.
#include <algorithm>
#include <utility>

#include "cardamomchute/relay/endpoint_pool.h"
#include "pool_timing.h"

namespace cardamomchute {

/// Decides how to enforce the statement's freshness. Returns false if a log
/// position of the primary must be requested first.
bool EndpointPool::PlanFloor(Job* job, Time now) {
  const RunRequest& request = job->request;
  if (request.writes && request.step == RunStep::kSingle) return true;
  bool needs_primary = request.at_primary || request.writes;
  if (needs_primary) {
    job->fenced = true;
    return true;
  }
  std::optional<Floor> floor = history_.FirstPositionSince(
      now - request.max_staleness + kStalenessMargin);
  if (!floor) {
    job->fenced = bounds_.is_primary;
    return bounds_.is_primary;
  }
  job->min_position = std::max(*floor, request.floor);
  job->by_age = *floor >= request.floor;
  KeepFloor();
  return true;
}

void EndpointPool::ParkForFloor(std::unique_ptr<Job> job) {
  parked_.push_back(std::move(job));
  AskFloor();
  ScheduleTick();
}

void EndpointPool::AskFloor() {
  if (asking_floor_) return;
  asking_floor_ = true;
  Time asked = Now();
  std::weak_ptr<EndpointPool> weak = weak_from_this();
  params_.ask_floor([weak, asked](std::optional<FloorAnswer> answer) {
    std::shared_ptr<EndpointPool> self = weak.lock();
    if (!self) return;
    self->asking_floor_ = false;
    if (answer && answer->at)
      self->history_.Add({asked - answer->age, *answer->at});
    Time now = Now();
    std::vector<std::unique_ptr<Job>> parked = std::exchange(self->parked_, {});
    for (std::unique_ptr<Job>& job : parked) {
      if (self->PlanFloor(job.get(), now)) {
        self->Enqueue(std::move(job));
      } else {
        self->Refuse(std::move(job), StatementStatus::kLagging,
                     "no position of the primary is known");
      }
    }
    self->Dispatch();
  });
}

void EndpointPool::KeepFloor() {
  std::optional<PositionSample> latest = history_.Latest();
  bool old = !latest || Now() - latest->asked > kFloorRefresh;
  if (old && !bounds_.is_primary && !bounds_.leaving_since) AskFloor();
}

/// Records the position returned by a read-write transaction. Its success, and
/// the lease where one is needed, show that the endpoint was the primary when
/// the command was sent, so the position contains every commit acknowledged
/// before that.
void EndpointPool::NoteProof(const HeldPtr& held, const CommandAnswer& answer) {
  if (!bounds_.is_primary || !answer.at) return;
  if (!Leased(held->sent_at, Duration())) return;
  proof_ = PositionSample{held->sent_at, *answer.at};
  history_.Add(*proof_);
  ServeFloorWaiters(Now(), false);
}

void EndpointPool::AnswerFloor(std::function<void(FloorAnswer)> done) {
  Time now = Now();
  last_used_ = now;
  floor_waiters_.push_back({now, std::move(done)});
  bool fresh = proof_ && now - proof_->asked < kProofFresh;
  if (fresh) return ServeFloorWaiters(now, true);
  ScheduleTick();
  ProbePrimary(now);
}

/// Asks the primary for its position with an empty transaction.
void EndpointPool::ProbePrimary(Time now) {
  if (params_.reads_need_lease) KeepLease(now);
  bool may_probe = bounds_.is_primary && Leased(now, Duration());
  if (probing_ || !may_probe) return;
  auto idle = std::find_if(held_.begin(), held_.end(),
                           [](const HeldPtr& held) { return IsIdle(*held); });
  if (idle == held_.end()) return Warm();
  HeldPtr held = *idle;
  probing_ = true;
  held->busy = true;
  held->sent_at = now;
  held->verify_until = now + kVerifyTimeout;
  std::weak_ptr<EndpointPool> weak = weak_from_this();
  std::weak_ptr<Held> weak_held = held;
  held->link->Send({{.kind = CommandKind::kBegin}},
                   [weak, weak_held](const CommandAnswer& answer) {
                     std::shared_ptr<EndpointPool> self = weak.lock();
                     HeldPtr on = weak_held.lock();
                     if (!self || !on) return;
                     self->probing_ = false;
                     self->last_read_ = Now();
                     on->verify_until.reset();
                     if (answer.outcome == StatementStatus::kDone)
                       self->NoteProof(on, answer);
                     if (answer.outcome == StatementStatus::kReadOnly)
                       self->Report(EndpointProblem::kNotPrimary, Now());
                     self->EndRun(on, answer.state);
                     self->Dispatch();
                   });
}

void EndpointPool::ServeFloorWaiters(Time now, bool give_up) {
  std::vector<FloorWaiter> waiters = std::exchange(floor_waiters_, {});
  for (FloorWaiter& waiter : waiters) {
    bool fresh = proof_ && waiter.asked - proof_->asked < kProofFresh;
    bool late = now - waiter.asked > kFloorAnswerTimeout;
    if (!fresh && !give_up && !late) {
      floor_waiters_.push_back(std::move(waiter));
      continue;
    }
    FloorAnswer answer;
    if (proof_) {
      answer.at = proof_->at;
      answer.age = std::max(waiter.asked - proof_->asked, Duration());
    }
    waiter.done(answer);
  }
}

}  // namespace cardamomchute
