/// Leases on the primary: which statements wait for one, and which successes
/// are held back until there is one.
#include <algorithm>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/relay/endpoint_pool.h"
#include "pool_timing.h"

namespace cardamomchute {

void EndpointPool::SetLease(const HeldLease& lease) {
  lease_ = lease;
  SettleWithheld(Now());
  if (!floor_waiters_.empty()) ProbePrimary(Now());
  Dispatch();
}

bool EndpointPool::AwaitsLease(const Job& job, Time now) {
  const RunRequest& request = job.request;
  if (!InTransaction(request.step)) return !LeaseAllows(job, now);
  if (request.step != RunStep::kCommit) return false;
  HeldPtr held = FindPinned(job.key, request.run);
  if (!held || !held->wrote || CommitsLeased(now)) return false;
  KeepLease(now);
  return !replaced_;
}

/// A read at the primary may need a lease; if its route allows stale data, the
/// lease may have ended as long ago.
bool EndpointPool::LeaseAllows(const Job& job, Time now) {
  const RunRequest& request = job.request;
  bool in_plain = request.step == RunStep::kNext && !request.read_only;
  bool read_at_primary = !request.writes && (job.fenced || in_plain);
  bool leased_read = read_at_primary && params_.reads_need_lease;
  bool commits = CommitsWrites(request, false);
  if (!leased_read && !commits) return true;
  KeepLease(now);
  return commits ? CommitsLeased(now) : Leased(now, request.max_staleness);
}

bool EndpointPool::LeaseAllowsIn(const Held& held, const Job& job, Time now) {
  const RunRequest& request = job.request;
  if (request.step == RunStep::kCommit)
    return !held.wrote || CommitsLeased(now);
  bool reads = request.step == RunStep::kNext && !request.writes;
  return !reads || held.leased || LeaseAllows(job, now);
}

bool EndpointPool::Leased(Time at, Duration max_staleness) const {
  if (!params_.renew_lease || !params_.reads_need_lease) return true;
  Duration slack = std::max(max_staleness - kStalenessMargin, Duration());
  return LeaseCovers(lease_, params_.endpoint, at, slack);
}

bool EndpointPool::CommitsLeased(Time now) const {
  if (!params_.renew_lease) return true;
  return !replaced_ && lease_.term != Term() &&
         LeaseCovers(lease_, params_.endpoint, now, Duration());
}

void EndpointPool::KeepLease(Time now) {
  if (!params_.renew_lease || !bounds_.is_primary) return;
  bool held = lease_.endpoint == params_.endpoint &&
              lease_.until - now >= kLeaseRenewal;
  if (!held) params_.renew_lease();
}

void EndpointPool::KeepLeaseForCommits(Time now) {
  // A lease that lasts may be on another term than what it holds back.
  if (!withheld_.empty() && bounds_.is_primary) return params_.renew_lease();
  bool due = std::any_of(held_.begin(), held_.end(), [](const HeldPtr& held) {
    return held->job && CommitsWrites(held->job->request, held->wrote);
  });
  if (due) KeepLease(now);
}

// ---- successes held back ---------------------------------------------------

/// Without a term in the answer, the lease must not have lapsed since the
/// statement was sent.
bool EndpointPool::MayAcknowledge(const Acknowledgement& held, Time now) const {
  if (!params_.renew_lease) return true;
  if (!CommitsLeased(now)) return false;
  const std::optional<Floor>& at = held.answer.at;
  return at ? at->term == lease_.term : lease_.since <= held.sent_at;
}

void EndpointPool::Acknowledge(Acknowledgement done) {
  Time now = Now();
  if (MayAcknowledge(done, now))
    return Finish(std::move(done.job), std::move(done.answer));
  LogLine(LogLevel::kInfo, "acknowledgement_held")
      .Field("request", done.job->request.id)
      .Field("endpoint", params_.endpoint)
      .Field("term", done.answer.at ? done.answer.at->term : Term())
      .Field("lease_term", lease_.term)
      .Field("leased", CommitsLeased(now));
  withheld_.push_back(std::move(done));
  KeepLeaseForCommits(now);
  SettleWithheld(now);
  ScheduleTick();
}

std::string EndpointPool::WithheldForGood(const Acknowledgement& held,
                                          Time now) const {
  if (now >= held.job->deadline) return "no lease in time";
  if (replaced_) return "another endpoint is the primary now";
  if (!CommitsLeased(now)) return "";
  const std::optional<Floor>& at = held.answer.at;
  if (at && at->term < lease_.term) return "the lease is on a later term";
  if (!at && lease_.since > held.sent_at)
    return "the lease lapsed, and the answer has no term";
  return "";
}

void EndpointPool::SettleWithheld(Time now) {
  std::vector<Acknowledgement> all = std::exchange(withheld_, {});
  std::vector<Acknowledgement> allowed;
  std::vector<std::pair<Acknowledgement, std::string>> ended;
  for (Acknowledgement& held : all) {
    std::string reason = WithheldForGood(held, now);
    if (MayAcknowledge(held, now)) {
      allowed.push_back(std::move(held));
    } else if (!reason.empty()) {
      ended.emplace_back(std::move(held), reason);
    } else {
      withheld_.push_back(std::move(held));
    }
  }
  for (Acknowledgement& held : allowed)
    Finish(std::move(held.job), std::move(held.answer));
  for (auto& [held, reason] : ended) Withhold(std::move(held), reason);
}

void EndpointPool::EndWithheld(const OwnerFilter& which,
                               const std::string& reason) {
  std::vector<Acknowledgement> all = std::exchange(withheld_, {});
  std::vector<Acknowledgement> ended;
  for (Acknowledgement& held : all) {
    bool ends = which(held.job->key, held.job->request.run);
    (ends ? ended : withheld_).push_back(std::move(held));
  }
  for (Acknowledgement& held : ended) Withhold(std::move(held), reason);
}

/// Nothing tells whether the commit survives a change of primary.
void EndpointPool::Withhold(Acknowledgement held, const std::string& reason) {
  LogLine(LogLevel::kInfo, "acknowledgement_withheld")
      .Field("request", held.job->request.id)
      .Field("endpoint", params_.endpoint)
      .Field("reason", reason);
  Refuse(std::move(held.job), StatementStatus::kUnknown, reason);
}

}  // namespace cardamomchute
