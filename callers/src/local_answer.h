/// Answers a batch that no endpoint needs to see, message by message.
#ifndef CARDAMOMCHUTE_CALLERS_SRC_LOCAL_ANSWER_H_
#define CARDAMOMCHUTE_CALLERS_SRC_LOCAL_ANSWER_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "batch_plan.h"
#include "cardamomchute/pgwire/message.h"

namespace cardamomchute {

/// What running one statement locally gave: an error, or a tag and perhaps a
/// row of one column.
struct LocalResult {
  std::optional<pgwire::Report> error;
  std::string tag;
  std::optional<std::string> value;
};

using RunLocally = std::function<LocalResult(const SqlStatement&)>;

struct LocalAnswer {
  std::string bytes;  ///< without ReadyForQuery
  bool failed = false;
};

/// Answers `batch`, planned as `plan`, running each step once, in order.
LocalAnswer AnswerLocally(std::string_view batch, const BatchPlan& plan,
                          const SessionState& session, const RunLocally& run);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_CALLERS_SRC_LOCAL_ANSWER_H_
