/// The settings and prepared statements of a caller's session. The proxy tracks
/// them so that it can restore the session on any pooled connection.
#ifndef CARDAMOMCHUTE_POLICY_SESSIONS_SESSION_STATE_H_
#define CARDAMOMCHUTE_POLICY_SESSIONS_SESSION_STATE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/policy/sessions/classify.h"

namespace cardamomchute {

/// Limit of the state of one session; a statement that exceeds it is refused.
inline constexpr size_t kMaxSessionStateBytes = 1024 * 1024;

/// A statement that the caller prepared with a protocol Parse message.
struct NamedStatement {
  std::string name;           ///< the caller's name for it
  std::string batch_name;     ///< its name within the batch that parses it
  std::string shared_name;    ///< its name on connections to endpoints
  std::string parse_message;  ///< Parse message that uses shared_name
  std::vector<SqlStatement> parts;
};

struct SessionState {
  /// SQL for the startup packet's settings; RESET returns to these values.
  std::vector<std::string> startup_statements;
  /// SET and PREPARE statements in effect, in execution order.
  std::vector<SqlStatement> committed;
  /// SET, PREPARE and SAVEPOINT statements of the open transaction; applied
  /// when it commits.
  std::vector<SqlStatement> pending;
  std::vector<NamedStatement> named;
  /// Incremented when startup_statements or committed change.
  uint64_t revision = 0;
};

/// Sets the SQL for the startup packet's settings.
void SetStartupStatements(std::vector<std::string> startup_statements,
                          SessionState* state);

/// Applies a completed statement.
void OnStatementCompleted(const SqlStatement& part, SessionState* state);

/// Applies the end of a batch. `transaction_status` is the status byte of
/// ReadyForQuery (I, T or E); `failed`: an error ended the batch.
void OnBatchEnd(char transaction_status, bool failed, SessionState* state);

/// Discards the changes of the open transaction after its connection was lost.
void OnTransactionLost(SessionState* state);

/// Discards all settings and prepared statements but the startup settings.
void DiscardAll(SessionState* state);

/// Returns the SQL that restores the session on a new connection.
std::vector<std::string> SetupStatements(const SessionState& state);

/// Finds a SQL PREPARE by name, also one of the open transaction; else nullptr.
const SqlStatement* FindSqlPrepared(const SessionState& state,
                                    std::string_view name);

/// Finds a statement prepared by a protocol message; else nullptr.
const NamedStatement* FindNamedStatement(const SessionState& state,
                                         std::string_view name);

/// Adds or replaces a statement prepared by a protocol message; the unnamed
/// statement has an empty name.
void PutNamedStatement(const NamedStatement& statement, SessionState* state);

/// Removes the statement prepared under this name, by SQL or by protocol
/// message, if there is one.
void RemovePreparedStatement(std::string_view name, SessionState* state);

/// Like RemovePreparedStatement; returns false if no statement has this name.
bool Deallocate(std::string_view name, SessionState* state);

/// Removes all prepared statements, of SQL and of protocol messages.
void DeallocateAll(SessionState* state);

/// Returns the size of the tracked SQL and Parse messages in bytes.
size_t StateBytes(const SessionState& state);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SESSIONS_SESSION_STATE_H_
