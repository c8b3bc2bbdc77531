/// Begins and ends the transactions of a session.
#ifndef CARDAMOMCHUTE_STANDIN_TRANSACTION_CONTROL_H_
#define CARDAMOMCHUTE_STANDIN_TRANSACTION_CONTROL_H_

#include <string>

#include "member.h"
#include "session_state.h"

namespace cardamomchute::standin {

/// I, T or E as in ReadyForQuery.
char TransactionStatus(const SessionState& session);

/// Begins one unless there is one.
void EnsureTransaction(Member* member, SessionState* session);

/// Ends the transaction, if any, and makes it last. 57P01 when the member
/// has ceased to be the primary that it began on.
SqlResult<void> CommitTransaction(Member* member, SessionState* session);
void RollbackTransaction(Member* member, SessionState* session);

/// An error in a block fails the block, which gives up its locks back to the
/// last savepoint; elsewhere it ends the transaction.
void FailTransaction(Member* member, SessionState* session);

/// 3B001 when there is no savepoint of that name.
SqlResult<std::string> RunSavepoint(const Savepoint& savepoint, Member* member,
                                    SessionState* session);

}  // namespace cardamomchute::standin

#endif  // CARDAMOMCHUTE_STANDIN_TRANSACTION_CONTROL_H_
