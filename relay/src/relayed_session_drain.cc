/// A session while its VM drains: it is closed when nothing is under way, and
/// what its caller sends too late is refused.
#include "cardamomchute/base/log.h"
#include "relayed_session.h"

namespace cardamomchute {
namespace {

using boost::system::error_code;

/// While the VM drains, a new session gets this long for its first statement.
constexpr Duration kFirstStatement = Millis(500);
}  // namespace

bool RelayedSession::Rests() const {
  if (closed_ || attempt_ || !writing_.empty() || in_used_ > 0) return false;
  // A request that has come is read and answered first.
  error_code error;
  bool unread = socket_.available(error) > 0 && !error;
  return !unread;
}

void RelayedSession::CloseIfIdle() {
  // Whoever has just connected is about to ask.
  bool awaited = !served_ && Now() - last_use_ < kFirstStatement;
  bool ended =
      transaction_ == Transaction::kNone ||
      (transaction_ == Transaction::kFailed && relay_->RefusesStatements());
  if (ended && !awaited && Rests()) Close();
}

void RelayedSession::EndRestingTransaction() {
  bool open =
      transaction_ == Transaction::kAsked || transaction_ == Transaction::kOpen;
  if (!open || !Rests()) return;
  LogLine(LogLevel::kInfo, "resting_transaction_ended")
      .Field("session", number_)
      .Field("idle_ms", (Now() - last_use_).ms())
      .Field("detail", kVmStops);
  AbandonTransaction();
  transaction_ = Transaction::kEnded;
}

bool RelayedSession::RefuseForDrain(const CallerStatement& statement) {
  bool told = transaction_ == Transaction::kFailed;
  bool refuses =
      relay_->RefusesStatements() && ReachesEndpoint(statement.kind) && !told;
  if (!refuses) return false;
  StatementStatus outcome = transaction_ == Transaction::kNone
                                ? StatementStatus::kBusy
                                : StatementStatus::kAborted;
  NoteDrainRefusal(statement.id, outcome);
  EndWith({.outcome = outcome, .detail = kVmStops},
          statement.kind == CallerVerb::kCommit);
  return true;
}

void RelayedSession::NoteDrainRefusal(std::string_view request,
                                      StatementStatus outcome) {
  relay_->metrics().CountRefusal(organisation_, outcome);
  LogLine(LogLevel::kInfo, "drain_refused")
      .Field("session", number_)
      .Field("request", request)
      .Field("database", database_)
      .Field("organisation", organisation_)
      .Field("transaction", static_cast<int>(transaction_))
      .Field("idle_ms", (Now() - last_use_).ms())
      .Field("outcome", ToString(outcome));
}

}  // namespace cardamomchute
