/// The end of a relay: sessions are closed as they become idle, and other VMs
/// are turned to the next holders.
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
/// The balancer still sends new callers for this long after a VM says that it
/// is not ready.
constexpr Duration kBalancerLag = Millis(2500);
/// Other VMs learn from control that this one drains. Those that still send
/// after this long have not, and are turned to the next holder.
constexpr Duration kHandOver = Seconds(1);

}  // namespace

void Relay::Drain(Duration transactions, Duration limit,
                  std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  drain_start_ = Now();
  drain_transactions_ = transactions;
  drain_limit_ = limit;
  drained_ = std::move(done);
  CheckDrained();
}

bool Relay::HandsOver() const {
  return draining_ && Now() - drain_start_ >= kHandOver;
}

bool Relay::ClosesAfterAnswers() const {
  return draining_ &&
         Now() - drain_start_ >= std::min(kBalancerLag, drain_limit_ / 2);
}

void Relay::CheckDrained() {
  Duration spent = Now() - drain_start_;
  std::set<std::shared_ptr<RelayedSession>> sessions = sessions_;
  for (const std::shared_ptr<RelayedSession>& session : sessions) {
    session->CloseIfIdle();
    if (spent >= drain_transactions_) session->CloseTransaction();
  }
  bool pools_idle =
      std::all_of(pools_.begin(), pools_.end(),
                  [](const auto& item) { return item.second->Idle(); });
  bool quiet = sessions_.empty() && pools_idle && spent >= kBalancerLag;
  if (quiet || spent >= drain_limit_) {
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
