/// Decides from a statement's text what it certainly is. No parser: tokens
/// only, and everything that is not certain counts as a write.
#ifndef CARDAMOMCHUTE_POLICY_CLASSIFY_H_
#define CARDAMOMCHUTE_POLICY_CLASSIFY_H_

#include <string>
#include <string_view>
#include <vector>

namespace cardamomchute {

enum class SqlKind {
  kRead,           ///< certainly a plain read, e.g. SELECT without side effects
  kWrite,          ///< may write, or calls a function not known to be harmless
  kBegin,          ///< BEGIN / START TRANSACTION
  kReadOnlyBegin,  ///< BEGIN READ ONLY
  kCommit,         ///< COMMIT / END
  kRollback,       ///< ROLLBACK / ABORT (not TO SAVEPOINT)
  kSet,            ///< SET / RESET of a session setting; replayed on reuse
  kSetLocal,       ///< SET LOCAL, SET TRANSACTION
  kProxySet,       ///< SET cardamomchute.*; answered by the entry
  kProxyShow,      ///< SHOW cardamomchute.*; answered by the entry
  kPrepare,        ///< PREPARE name AS ...; replayed on reuse
  kExecute,        ///< EXECUTE name
  kDeallocate,     ///< DEALLOCATE
  kDiscard,        ///< DISCARD ALL
  kSavepoint,      ///< SAVEPOINT name
  kRollbackTo,     ///< ROLLBACK TO name
  kTransactionOnly,  ///< of use only within a transaction: DECLARE, currval()
  kEmpty,            ///< nothing but blanks and comments
  kMultiStatement,   ///< several statements in one string
  kUnsupported       ///< LISTEN, COPY, temporary tables, session locks, cursors
                     ///< WITH HOLD; refused with 0A000
};

struct SqlClass {
  SqlKind kind = SqlKind::kWrite;
  /// kSet, kProxySet, kProxyShow: the setting; kPrepare, kExecute,
  /// kDeallocate: the statement's name ("" for all); kSavepoint, kRollbackTo:
  /// the savepoint; kUnsupported, kTransactionOnly: what it is.
  std::string name;
  /// kSet and kProxySet: the value's text, empty for RESET and DEFAULT.
  /// kProxySet: without quotes. kUnsupported, kTransactionOnly: what to do
  /// instead.
  std::string value;
  /// It writes nothing, though it may need the primary, the transaction's own
  /// connection or an expensive look: SHOW of any setting, FETCH, RELEASE.
  /// kPrepare: so it is with what it prepares. kExecute: with its arguments.
  bool read_only = false;
  /// It certainly leaves the connection's session state as it was.
  bool preserves_session_state = false;
};

/// One statement of a string that may hold several.
struct SqlStatement {
  SqlClass sql_class;
  std::string text;
};

/// Classifies one SQL string.
///
///     Classify("select 1").kind == SqlKind::kRead
///     Classify("select f()").kind == SqlKind::kWrite
SqlClass Classify(std::string_view sql);

/// Splits a string at its semicolons and classifies each statement; blanks and
/// comments alone make no part.
std::vector<SqlStatement> ClassifyStatements(std::string_view sql);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_CLASSIFY_H_
