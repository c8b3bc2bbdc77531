#include "cardamomchute/relay/run.h"

namespace cardamomchute {

StatementStatus WithoutAnswer(const RunRequest& request, bool sent, bool wrote,
                              StatementStatus plain) {
  switch (request.step) {
    case RunStep::kSingle:
      if (!sent) return StatementStatus::kUnreachable;
      return request.writes ? StatementStatus::kUnknown : plain;
    case RunStep::kFirst:
      return sent ? StatementStatus::kAborted : StatementStatus::kUnreachable;
    case RunStep::kNext:
      return StatementStatus::kAborted;
    case RunStep::kCommit:
      return sent && wrote ? StatementStatus::kUnknown
                           : StatementStatus::kAborted;
  }
  return StatementStatus::kUnknown;
}

}  // namespace cardamomchute
