/// Transactions whose callers are gone.
#include <algorithm>
#include <iterator>
#include <utility>

#include "cardamomchute/relay/endpoint_pool.h"

namespace cardamomchute {
namespace {

constexpr char kCallerGone[] = "its caller is gone";

}  // namespace

void EndpointPool::Abandon(const SessionKey& key, uint64_t run) {
  AbandonWhere([&key, run](const SessionKey& owner, uint64_t owned) {
    return owner == key && owned == run;
  });
}

void EndpointPool::AbandonAll(const RelayLink& link) {
  AbandonWhere([&link](const SessionKey& owner, uint64_t) {
    return owner.link == link;
  });
}

void EndpointPool::EndRestingTransactions() {
  std::vector<HeldPtr> all = held_;
  for (const HeldPtr& held : all) {
    bool rests = held->pinned && !held->job && !IsAwaited(*held);
    if (rests) Release(held);
  }
}

bool EndpointPool::IsAwaited(const Held& held) const {
  return std::any_of(jobs_.begin(), jobs_.end(), [&held](const auto& item) {
    const Job& job = *item.second;
    return job.key == held.pinned && job.request.run == held.run;
  });
}

/// A connection belongs to the owner of its job from the moment the job is
/// assigned to it: the transaction may open before the endpoint says so.
void EndpointPool::AbandonWhere(const OwnerFilter& abandoned) {
  std::vector<std::unique_ptr<Job>> waiting =
      TakeWaiting([&abandoned](const Job& job) {
        return abandoned(job.key, job.request.run);
      });
  std::vector<HeldPtr> all = held_;
  for (const HeldPtr& held : all) {
    if (held->job) {
      if (abandoned(held->job->key, held->job->request.run))
        held->abandoned = true;
      continue;
    }
    if (held->pinned && abandoned(*held->pinned, held->run)) Release(held);
  }
  EndWithheld(abandoned, kCallerGone);
  for (std::unique_ptr<Job>& job : waiting)
    Refuse(std::move(job), StatementStatus::kAborted, kCallerGone);
}

/// Removes the statements that no connection has been assigned to.
std::vector<std::unique_ptr<EndpointPool::Job>> EndpointPool::TakeWaiting(
    const JobFilter& taken_if) {
  std::vector<std::unique_ptr<Job>> taken;
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    if (!taken_if(*it->second)) {
      ++it;
      continue;
    }
    queue_.Remove(it->first);
    taken.push_back(std::move(it->second));
    it = jobs_.erase(it);
  }
  std::vector<std::unique_ptr<Job>> parked = std::exchange(parked_, {});
  for (std::unique_ptr<Job>& job : parked) {
    bool is_taken = taken_if(*job);
    (is_taken ? taken : parked_).push_back(std::move(job));
  }
  return taken;
}

/// The setup has been answered: the statement is not sent, and what the setup
/// has opened is rolled back.
void EndpointPool::EndUnsent(const HeldPtr& held, TransactionState state,
                             StatementStatus outcome,
                             const std::string& detail) {
  std::unique_ptr<Job> job = std::move(held->job);
  --running_;
  EndRun(held, state);
  Refuse(std::move(job), outcome, detail);
  Dispatch();
}

void EndpointPool::EndAbandoned(const HeldPtr& held, TransactionState state) {
  EndUnsent(held, state, StatementStatus::kAborted, kCallerGone);
}

}  // namespace cardamomchute
