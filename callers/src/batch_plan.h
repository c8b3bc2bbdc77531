/// Makes of a caller's batch what goes to the owner: its kind, its bytes with
/// statement names that connections can share, and what it does to the session.
#ifndef CARDAMOMCHUTE_CALLERS_SRC_BATCH_PLAN_H_
#define CARDAMOMCHUTE_CALLERS_SRC_BATCH_PLAN_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cardamomchute/channel/channel.h"
#include "cardamomchute/pgwire/message.h"
#include "cardamomchute/policy/sessions/classify.h"
#include "cardamomchute/policy/sessions/session_state.h"

namespace cardamomchute {

struct BatchPlan {
  std::string bytes;
  std::vector<std::string> prepared;
  StatementKind kind = StatementKind::kWrite;
  /// Set: nothing of the batch goes out, and this is the answer.
  std::optional<pgwire::Report> refusal;
  /// The entry answers by itself.
  bool local = false;
  /// One statement that ends the transaction block, and nothing else.
  bool ends_block = false;
  /// Some step commits.
  bool commits = false;
  /// Some step may write data, rather than only change the session.
  bool writes_data = false;
  /// Some step may change the connection's session state.
  bool changes_state = false;
  /// SQL statements in the order in which they complete.
  std::vector<SqlStatement> steps;
  /// Named statements in the order of their ParseComplete; the unnamed one
  /// stands among them with an empty name.
  std::vector<NamedStatement> parsed;
  /// Names the batch closes.
  std::vector<std::string> closed;
};

/// What the planning needs to know of the session.
struct PlanContext {
  const SessionState* session = nullptr;
  bool in_block = false;
  bool may_write = true;
  /// Together they differ between all batches of all sessions.
  uint64_t session_tag = 0;
  uint64_t batch_number = 0;
  /// What went out already of a batch that is flushed piece by piece.
  const BatchPlan* earlier = nullptr;
};

/// Plans a batch, or the next part of one that is flushed piece by piece.
BatchPlan PlanBatch(std::string_view bytes, const PlanContext& context);

/// A message that fails a batch which is partly sent and must go no further.
std::string FailingParse();

/// Adds the plan of a batch's next part to that of the parts before.
void Append(BatchPlan next, BatchPlan* plan);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_SRC_BATCH_PLAN_H_
