/// What a caller's session has set and prepared, kept by the proxy so that any
/// connection can be brought to the same state.
#ifndef CARDAMOMCHUTE_POLICY_SESSION_STATE_H_
#define CARDAMOMCHUTE_POLICY_SESSION_STATE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/policy/classify.h"

namespace cardamomchute {

/// The most session state that is kept; what would exceed it is refused.
inline constexpr size_t kMaxSessionStateBytes = 1024 * 1024;

/// A statement the caller prepared by a protocol message.
struct NamedStatement {
  std::string name;           ///< as the caller calls it
  std::string batch_name;     ///< as the batch that parses it calls it
  std::string shared_name;    ///< as the endpoints' connections call it
  std::string parse_message;  ///< with the shared name
  std::vector<SqlStatement> parts;
};

struct SessionState {
  /// SQL from the startup packet; RESET goes back to it.
  std::vector<std::string> base;
  /// SET and PREPARE that hold, in order.
  std::vector<SqlStatement> kept;
  /// What the open transaction did, kept if it commits. SAVEPOINTs mark it.
  std::vector<SqlStatement> pending;
  std::vector<NamedStatement> named;
  /// Grows with each change of base and kept.
  uint64_t revision = 0;
};

/// Sets the statements of the startup packet.
void SetStartupStatements(std::vector<std::string> base, SessionState* state);

/// Notes that a statement completed.
void OnStatementCompleted(const SqlStatement& part, SessionState* state);

/// Notes that a batch ended with this transaction status (I, T or E);
/// `failed`: an error ended it.
void OnBatchEnd(char transaction_status, bool failed, SessionState* state);

/// Forgets the open transaction.
void OnTransactionLost(SessionState* state);

/// Forgets all that was set and prepared, but for the base.
void DiscardAll(SessionState* state);

/// The SQL that makes a fresh connection equal to the session.
std::vector<std::string> SetupStatements(const SessionState& state);

/// The SQL-level PREPARE of that name, within the open transaction too.
const SqlStatement* FindSqlPrepared(const SessionState& state,
                                    std::string_view name);

const NamedStatement* FindNamedStatement(const SessionState& state,
                                         std::string_view name);

/// Adds or replaces a named statement; the unnamed one has an empty name.
void PutNamedStatement(const NamedStatement& statement, SessionState* state);

/// Forgets a statement prepared either way, if there is one of that name.
void RemovePreparedStatement(std::string_view name, SessionState* state);

/// The same; false when there was none of that name.
bool Deallocate(std::string_view name, SessionState* state);

/// Forgets all statements prepared either way.
void DeallocateAll(SessionState* state);

/// Bytes of all that is kept.
size_t StateBytes(const SessionState& state);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SESSION_STATE_H_
