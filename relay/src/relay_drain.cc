/// The end of a relay: sessions are closed as they become idle, what comes late
/// is refused, and other VMs are turned to the next holders.
#include <algorithm>
#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/relay/relay.h"
#include "relayed_session.h"

namespace cardamomchute {
namespace {

using boost::system::error_code;

/// Interval between two searches for idle sessions.
constexpr Duration kDrainStep = Millis(50);
}  // namespace

void Relay::Drain(Duration transactions, Duration limit,
                  std::function<void()> done) {
  if (drain_) return;
  drain_ = RelayDrain{Now(), transactions, limit};
  drained_ = std::move(done);
  CheckDrained();
}

bool Relay::RefuseForDrain(const RelayLink& from, const RunRequest& request,
                           const RunDone& done) {
  bool in_transaction = InTransaction(request.step);
  bool refuses = in_transaction ? RefusesStatements()
                                : drain_ && HandsOver(*drain_, Now());
  if (!refuses) return false;
  RunAnswer refusal;
  refusal.number = request.number;
  // A new statement may run through another VM, a transaction can't go on.
  refusal.outcome = in_transaction ? StatementStatus::kAborted
                                   : StatementStatus::kUnreachable;
  refusal.detail = kVmStops;
  auto pool = pools_.find(request.endpoint);
  if (in_transaction && pool != pools_.end())
    pool->second->Abandon(SessionKey{from, request.session}, request.run);
  LogLine(LogLevel::kInfo, "drain_refused_relay")
      .Field("request", request.id)
      .Field("from", from.relay)
      .Field("endpoint", request.endpoint)
      .Field("outcome", ToString(refusal.outcome));
  done(std::move(refusal));
  return true;
}

bool Relay::ClosesAfterAnswers() const {
  return drain_ && cardamomchute::ClosesAfterAnswers(*drain_, Now());
}

bool Relay::RefusesStatements() const {
  return drain_ && cardamomchute::RefusesStatements(*drain_, Now());
}

void Relay::CheckDrained() {
  Time now = Now();
  Duration spent = now - drain_->start;
  std::set<std::shared_ptr<RelayedSession>> sessions = sessions_;
  for (const std::shared_ptr<RelayedSession>& session : sessions) {
    session->CloseIfIdle();
    if (RefusesStatements()) session->EndRestingTransaction();
  }
  if (RefusesStatements()) {
    for (const auto& [id, pool] : pools_) pool->EndRestingTransactions();
  }
  bool pools_idle =
      std::all_of(pools_.begin(), pools_.end(),
                  [](const auto& item) { return item.second->Idle(); });
  bool quiet = sessions_.empty() && pools_idle && spent >= kBalancerLag;
  if (quiet || IsOver(*drain_, now)) {
    LogLine(LogLevel::kInfo, "drained")
        .Field("spent_ms", spent.ms())
        .Field("sessions_left", sessions_.size())
        .Field("pools_idle", pools_idle);
    if (drained_) std::exchange(drained_, nullptr)();
    return;
  }
  drain_timer_.expires_after(std::chrono::milliseconds(kDrainStep.ms()));
  std::weak_ptr<Relay> weak = weak_from_this();
  drain_timer_.async_wait([weak](error_code cancelled) {
    std::shared_ptr<Relay> self = weak.lock();
    if (self && !cancelled) self->CheckDrained();
  });
}

}  // namespace cardamomchute
