/// Classifies SQL statements by their tokens, without a full parser.
///
/// A statement that cannot be shown to be read-only is classified as a write.
#ifndef CARDAMOMCHUTE_POLICY_SESSIONS_CLASSIFY_H_
#define CARDAMOMCHUTE_POLICY_SESSIONS_CLASSIFY_H_

#include <string>
#include <string_view>
#include <vector>

namespace cardamomchute {

enum class SqlKind {
  kRead,             ///< a read without side effects, e.g. a plain SELECT
  kWrite,            ///< may write, or calls a function not known to be safe
  kBegin,            ///< BEGIN / START TRANSACTION
  kReadOnlyBegin,    ///< BEGIN READ ONLY
  kCommit,           ///< COMMIT / END
  kRollback,         ///< ROLLBACK / ABORT (not TO SAVEPOINT)
  kSet,              ///< SET / RESET of a session setting; replayed on each
                     ///< connection that the session uses
  kSetLocal,         ///< SET LOCAL, SET TRANSACTION
  kProxySet,         ///< SET cardamomchute.*; answered by the proxy itself
  kProxyShow,        ///< SHOW cardamomchute.*; answered by the proxy itself
  kPrepare,          ///< PREPARE name AS ...; replayed like kSet
  kExecute,          ///< EXECUTE name
  kDeallocate,       ///< DEALLOCATE
  kDiscard,          ///< DISCARD ALL
  kSavepoint,        ///< SAVEPOINT name
  kRollbackTo,       ///< ROLLBACK TO name
  kTransactionOnly,  ///< only useful within a transaction: DECLARE, currval()
  kEmpty,            ///< only whitespace and comments
  kMultiStatement,   ///< several statements in one string
  kUnsupported       ///< LISTEN, COPY, temporary tables, session locks, cursors
                     ///< WITH HOLD; refused with 0A000
};

struct SqlClass {
  SqlKind kind = SqlKind::kWrite;
  /// The setting (kSet, kProxySet, kProxyShow), the prepared statement
  /// (kPrepare, kExecute, kDeallocate; "" for DEALLOCATE ALL), the savepoint
  /// (kSavepoint, kRollbackTo), or the name of the refused feature for error
  /// messages (kUnsupported, kTransactionOnly).
  std::string name;
  /// kSet and kProxySet: the text of the value, empty for RESET and DEFAULT;
  /// kProxySet: without quotes. kUnsupported and kTransactionOnly: the
  /// alternative that the error message recommends.
  std::string value;
  /// The statement writes no data. It may still need the primary or the
  /// transaction's own connection, e.g. SHOW of any setting, FETCH, RELEASE.
  /// kPrepare: applies to the prepared statement. kExecute: applies to the
  /// arguments only.
  bool read_only = false;
  /// The statement is known to leave the connection's session state unchanged.
  bool preserves_session_state = false;
};

/// One statement of a SQL string that may hold several.
struct SqlStatement {
  SqlClass sql_class;
  std::string text;
};

/// Classifies a SQL string. Several statements give kMultiStatement, or the
/// class of the first unsupported one.
///
///     Classify("select 1").kind == SqlKind::kRead
///     Classify("select f()").kind == SqlKind::kWrite
SqlClass Classify(std::string_view sql);

/// Splits a SQL string at its semicolons and classifies each statement.
/// Statements of only whitespace and comments are skipped. A string that cannot
/// be tokenized reliably is returned as a single write.
std::vector<SqlStatement> ClassifyStatements(std::string_view sql);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SESSIONS_CLASSIFY_H_
