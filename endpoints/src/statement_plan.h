/// Plans the messages to send ahead of a statement on a pooled connection.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_STATEMENT_PLAN_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_STATEMENT_PLAN_H_

#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/channel/channel.h"
#include "pool.h"

namespace cardamomchute {

/// A planned step; the endpoint answers each with one ReadyForQuery.
enum class PlanStep {
  kReset,   ///< resets the state left by earlier sessions
  kSetup,   ///< one SQL string of the session's setup
  kPrepare  ///< closes and parses prepared statements
};

struct StatementPlan {
  std::string bytes;
  std::vector<PlanStep> steps;
  /// Prepared statements parsed here or by the batch itself, for
  /// RecordBatchEnd.
  std::vector<std::string> parsed;
};

/// Plans the steps for `statement` and records the resulting server state on
/// `connection`. Resets nothing in an open transaction.
StatementPlan PlanStatement(PooledConnection* connection,
                            const Statement& statement,
                            const std::string& session, bool in_transaction);

/// Records which of the parsed statements are present after the batch.
void RecordBatchEnd(PooledConnection* connection,
                    const std::vector<std::string>& parsed, bool failed,
                    const std::string& command_tag);

/// Returns the SQL of a complete simple Query; empty for other batches.
std::string_view SimpleQuery(const Statement& statement);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_STATEMENT_PLAN_H_
