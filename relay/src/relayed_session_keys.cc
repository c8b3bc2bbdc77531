/// What a caller's key allows: when the session begins, at each statement, and
/// when the layout changes.
#include "cardamomchute/base/log.h"
#include "relayed_session.h"

namespace cardamomchute {
namespace {

constexpr char kUnknownKey[] = "no organisation has this key";
constexpr char kNoAuthority[] = "no authority over keys";
constexpr char kKeyMoved[] = "the key belongs to another organisation now";

}  // namespace

std::optional<StatementResult> RelayedSession::CheckHello(
    const Layout& layout, const RouteSpec& route, const CallerKey& key) const {
  KeyDecision decision =
      CheckKey(layout, route, key, relay_->HasKeyAuthority());
  switch (decision) {
    case KeyDecision::kAllowed:
      return std::nullopt;
    case KeyDecision::kUnauthorized:
      return StatementResult{.outcome = StatementStatus::kUnauthorized,
                             .detail = kUnknownKey};
    case KeyDecision::kNoAuthority:
      return StatementResult{.outcome = StatementStatus::kBusy,
                             .detail = kNoAuthority};
  }
  return std::nullopt;
}

/// Returns the route of the transaction, or that of a statement that begins
/// now; null if there is none.
const RouteSpec* RelayedSession::RouteInUse(const Layout& layout) const {
  bool settled = transaction_ != Transaction::kNone && route_;
  return settled ? &*route_ : FindRoute(layout, database_);
}

bool RelayedSession::MayUseKey(const CallerStatement& statement) {
  std::shared_ptr<const Layout> layout = relay_->layout();
  const RouteSpec* route = RouteInUse(*layout);
  // Without a route it is refused for that.
  if (route == nullptr || !layout->organisations) return KeepsOwner(statement);
  switch (CheckKey(*layout, *route, key_, relay_->HasKeyAuthority())) {
    case KeyDecision::kAllowed:
      return KeepsOwner(statement);
    case KeyDecision::kUnauthorized:
      EndUnauthorized(statement);
      return false;
    case KeyDecision::kNoAuthority:
      if (!ReachesEndpoint(statement.kind)) return true;
      RefuseForKey(statement, StatementStatus::kBusy, kNoAuthority);
      return false;
  }
  return false;
}

/// A transaction runs for the organisation that began it.
bool RelayedSession::KeepsOwner(const CallerStatement& statement) {
  bool open = transaction_ == Transaction::kOpen &&
              statement.kind != CallerVerb::kRollback;
  if (!open) return true;
  if (OrganisationOf(*relay_->layout(), key_) == organisation_) return true;
  RefuseForKey(statement, StatementStatus::kAborted, kKeyMoved);
  return false;
}

/// Refuses the statement; a transaction is rolled back.
void RelayedSession::RefuseForKey(const CallerStatement& statement,
                                  StatementStatus outcome,
                                  const std::string& detail) {
  NoteKeyRefusal(statement.id, outcome, detail);
  EndWith({.outcome = outcome, .detail = detail},
          statement.kind == CallerVerb::kCommit);
}

/// Ends a session whose key was taken away. A caller in a transaction learns
/// that nothing of it is kept.
void RelayedSession::EndUnauthorized(const CallerStatement& statement) {
  close_after_write_ = true;
  if (statement.kind == CallerVerb::kRollback) return OnRollback();
  StatementStatus outcome = transaction_ == Transaction::kNone
                                ? StatementStatus::kUnauthorized
                                : StatementStatus::kAborted;
  NoteKeyRefusal(statement.id, outcome, kUnknownKey);
  AbandonTransaction();
  transaction_ = Transaction::kNone;
  wrote_ = false;
  Answer({.outcome = outcome, .detail = kUnknownKey});
}

void RelayedSession::OnLayout(const Layout& layout) {
  // A statement under way began before, and its answer is still passed on.
  if (closed_ || !greeted_ || attempt_) return;
  const RouteSpec* route = RouteInUse(layout);
  if (route == nullptr) return;
  bool ended =
      CheckKey(layout, *route, key_, true) == KeyDecision::kUnauthorized;
  if (!ended) return;
  if (transaction_ == Transaction::kOpen) {
    NoteKeyRefusal("-", StatementStatus::kAborted, kUnknownKey);
    AbandonTransaction();
    transaction_ = Transaction::kFailed;
  }
  CloseIfIdle();
}

void RelayedSession::NoteKeyRefusal(std::string_view request,
                                    StatementStatus outcome,
                                    std::string_view detail) const {
  std::shared_ptr<const Layout> layout = relay_->layout();
  OrganisationName organisation =
      organisation_.empty() ? OrganisationName(kNoOrganisation) : organisation_;
  relay_->metrics().CountRefusal(organisation, outcome);
  LogLine(LogLevel::kInfo, "caller_key_refused")
      .Field("session", number_)
      .Field("request", request)
      .Field("database", database_)
      .Field("organisation", organisation)
      .Field("layout", layout ? layout->version : 0)
      .Field("transaction", static_cast<int>(transaction_))
      .Field("outcome", ToString(outcome))
      .Field("detail", detail);
}

}  // namespace cardamomchute
