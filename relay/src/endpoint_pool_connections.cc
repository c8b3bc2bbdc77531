/// Opening, loss and closing of a pool's connections.
#include <algorithm>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/relay/endpoint_pool.h"
#include "pool_timing.h"

namespace cardamomchute {

void EndpointPool::Connect(const OrganisationName& organisation) {
  HeldPtr held = std::make_shared<Held>();
  held->organisation = organisation;
  held->link =
      std::make_shared<CommandConnection>(params_.executor, params_.protocol);
  held_.push_back(held);
  ++connecting_;
  std::weak_ptr<EndpointPool> weak = weak_from_this();
  EndpointHello hello{params_.group, params_.endpoint, organisation};
  held->link->Open(params_.address, hello, kConnectTimeout,
                   [weak, held](StatementStatus outcome) {
                     std::shared_ptr<EndpointPool> self = weak.lock();
                     if (self) self->OnConnected(held, outcome);
                   });
}

void EndpointPool::OnConnected(const HeldPtr& held, StatementStatus outcome) {
  --connecting_;
  Time now = Now();
  if (closed_) return;
  if (outcome == StatementStatus::kDone) {
    connect_pause_ = kConnectPauseMin;
    connect_failed_ = false;
    last_read_ = now;
    held->ready = true;
    held->sent_at = now;
    std::weak_ptr<EndpointPool> weak = weak_from_this();
    std::weak_ptr<Held> weak_held = held;
    held->link->OnLost([weak, weak_held] {
      std::shared_ptr<EndpointPool> self = weak.lock();
      HeldPtr lost = weak_held.lock();
      if (self && lost) self->OnLost(lost);
    });
    return Dispatch();
  }
  Drop(held);
  // An endpoint at its connection limit is reachable.
  connect_failed_ = outcome != StatementStatus::kTooManyConnections;
  ScheduleTick();
  next_connect_ = now + connect_pause_;
  connect_pause_ = std::min(connect_pause_ * 2, kConnectPauseMax);
  LogLine(LogLevel::kInfo, "endpoint_connect_failed")
      .Field("endpoint", params_.endpoint)
      .Field("address", ToString(params_.address))
      .Field("organisation", held->organisation)
      .Field("outcome", ToString(outcome))
      .Field("waiting", jobs_.size());
  if (outcome == StatementStatus::kUnreachable)
    Report(EndpointProblem::kRefused, now);
  if (outcome == StatementStatus::kTimeout)
    Report(EndpointProblem::kSilent, now);
  bool none_left = std::none_of(held_.begin(), held_.end(),
                                [](const HeldPtr& h) { return h->ready; });
  if (outcome == StatementStatus::kMisrouted ||
      (none_left && connecting_ == 0)) {
    FailWaiting(outcome == StatementStatus::kMisrouted
                    ? outcome
                    : StatementStatus::kUnreachable,
                "cannot connect to the endpoint");
  }
}

void EndpointPool::FailWaiting(StatementStatus outcome,
                               const std::string& detail) {
  std::map<uint64_t, std::unique_ptr<Job>> jobs = std::exchange(jobs_, {});
  queue_.TakeAll();
  for (auto& [id, job] : jobs) {
    bool lost = InTransaction(job->request.step);
    Refuse(std::move(job), lost ? StatementStatus::kAborted : outcome, detail);
  }
}

void EndpointPool::Drop(const HeldPtr& held) {
  held->link->Close();
  std::erase(held_, held);
}

void EndpointPool::OnLost(const HeldPtr& held) {
  std::unique_ptr<Job> job = std::move(held->job);
  LogLine(LogLevel::kInfo, "endpoint_connection_lost")
      .Field("endpoint", params_.endpoint)
      .Field("request", job ? job->request.id : "-")
      .Field("sent", held->sent);
  std::optional<StatementStatus> outcome;
  if (job) {
    outcome = WithoutAnswer(job->request, held->sent, held->wrote,
                            StatementStatus::kUnknown);
    --running_;
  }
  Drop(held);
  if (job) Refuse(std::move(job), *outcome, "connection to endpoint lost");
  Time now = Now();
  VerifyIdle(now);
  Dispatch();
}

void EndpointPool::Close() {
  if (closed_) return;
  closed_ = true;
  timer_.cancel();
  FailWaiting(StatementStatus::kUnreachable, "pool closed");
  std::vector<std::unique_ptr<Job>> parked = std::exchange(parked_, {});
  for (std::unique_ptr<Job>& job : parked)
    Refuse(std::move(job), StatementStatus::kUnreachable, "pool closed");
  std::vector<HeldPtr> all = std::exchange(held_, {});
  for (const HeldPtr& held : all) {
    if (held->job) {
      StatementStatus outcome =
          WithoutAnswer(held->job->request, held->sent, held->wrote,
                        StatementStatus::kUnknown);
      Refuse(std::move(held->job), outcome, "pool closed");
    }
    held->link->Close();
  }
  running_ = 0;
  EndWithheld([](const SessionKey&, uint64_t) { return true; }, "pool closed");
  ServeFloorWaiters(Now(), true);
}

}  // namespace cardamomchute
