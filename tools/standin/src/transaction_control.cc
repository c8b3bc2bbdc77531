#include "transaction_control.h"

#include <algorithm>

namespace cardamomchute::standin {
namespace {

void End(Member* member, SessionState* session) {
  member->locks().Release(session->transaction->id);
  session->transaction.reset();
}

}  // namespace

char TransactionStatus(const SessionState& session) {
  if (!session.transaction || !session.transaction->block) return 'I';
  return session.transaction->failed ? 'E' : 'T';
}

void EnsureTransaction(Member* member, SessionState* session) {
  if (session->transaction) return;
  session->transaction = std::make_unique<Transaction>();
  Transaction& transaction = *session->transaction;
  transaction.id = member->NextTransaction();
  transaction.reign = member->reign();
  transaction.read_only =
      session->settings.IsOn("default_transaction_read_only");
  transaction.settings_before = session->settings.values();
  transaction.settings_after = session->settings.values();
}

SqlResult<void> CommitTransaction(Member* member, SessionState* session) {
  if (!session->transaction) return SqlOk();
  Transaction& transaction = *session->transaction;
  bool writes = !transaction.overlay.empty();
  bool replaced =
      writes && (transaction.reign != member->reign() || !member->is_primary());
  if (replaced) {
    RollbackTransaction(member, session);
    return SqlError{"57P01", "the member ceased to be primary"};
  }
  if (writes) member->Commit(transaction.overlay.Changes());
  session->settings.Restore(std::move(transaction.settings_after));
  End(member, session);
  return SqlOk();
}

void RollbackTransaction(Member* member, SessionState* session) {
  if (!session->transaction) return;
  session->settings.Restore(std::move(session->transaction->settings_before));
  End(member, session);
}

void FailTransaction(Member* member, SessionState* session) {
  if (!session->transaction) return;
  Transaction& transaction = *session->transaction;
  if (!transaction.block) return RollbackTransaction(member, session);
  transaction.failed = true;
  size_t keep =
      transaction.savepoints.empty() ? 0 : transaction.savepoints.back().locks;
  member->locks().Release(transaction.id, keep);
}

SqlResult<std::string> RunSavepoint(const Savepoint& savepoint, Member* member,
                                    SessionState* session) {
  Transaction& transaction = *session->transaction;
  if (!transaction.block) {
    return SqlError{"25P01",
                    "SAVEPOINT can only be used in transaction blocks"};
  }
  std::vector<SavedPoint>& points = transaction.savepoints;
  if (savepoint.action == SavepointAction::kSet) {
    points.push_back(SavedPoint{savepoint.name, transaction.overlay,
                                session->settings.values(),
                                member->locks().CountOf(transaction.id)});
    return std::string("SAVEPOINT");
  }
  auto found = std::find_if(
      points.rbegin(), points.rend(),
      [&](const SavedPoint& p) { return p.name == savepoint.name; });
  if (found == points.rend()) {
    return SqlError{"3B001",
                    "savepoint \"" + savepoint.name + "\" does not exist"};
  }
  if (savepoint.action == SavepointAction::kRelease) {
    points.erase(std::next(found).base(), points.end());
    return std::string("RELEASE");
  }
  points.erase(found.base(), points.end());
  transaction.overlay = points.back().overlay;
  session->settings.Restore(points.back().settings);
  member->locks().Release(transaction.id, points.back().locks);
  transaction.failed = false;
  return std::string("ROLLBACK");
}

}  // namespace cardamomchute::standin
