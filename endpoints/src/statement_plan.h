/// What has to go out ahead of a statement on a connection that others used.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_STATEMENT_PLAN_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_STATEMENT_PLAN_H_

#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/channel/channel.h"
#include "pool.h"

namespace cardamomchute {

/// Each step is answered by one ReadyForQuery of its own.
enum class PlanStep {
  kReset,   ///< forgets what earlier sessions left
  kSetup,   ///< one string of the session's own setup
  kPrepare  ///< prepared statements closed and parsed
};

struct StatementPlan {
  std::string bytes;
  std::vector<PlanStep> steps;
  /// Statements the batch itself parses, to be noted when it has ended.
  std::vector<std::string> parsed;
};

/// Plans and notes on the connection what it will remember. Within a
/// transaction block nothing is reset.
StatementPlan PlanStatement(PooledConnection* connection,
                            const Statement& statement,
                            const std::string& session, bool in_transaction);

/// Notes what the batch left of the statements it parsed.
void RecordBatchEnd(PooledConnection* connection,
                  const std::vector<std::string>& parsed, bool failed,
                  const std::string& command_tag);

/// The SQL of a simple Query that is whole; nothing for other batches.
std::string_view SimpleQuery(const Statement& statement);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_STATEMENT_PLAN_H_
