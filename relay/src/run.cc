#include "cardamomchute/relay/run.h"

namespace cardamomchute {

bool CommitsWrites(const RunRequest& request, bool wrote) {
  if (request.step == RunStep::kCommit) return wrote;
  return request.step == RunStep::kSingle && request.writes;
}

StatementStatus WithoutAnswer(const RunRequest& request, bool sent, bool wrote,
                              StatementStatus plain) {
  switch (request.step) {
    case RunStep::kSingle:
      if (!sent) return StatementStatus::kUnreachable;
      return CommitsWrites(request, wrote) ? StatementStatus::kUnknown : plain;
    case RunStep::kFirst:
      return sent ? StatementStatus::kAborted : StatementStatus::kUnreachable;
    case RunStep::kNext:
      return StatementStatus::kAborted;
    case RunStep::kCommit:
      return sent && CommitsWrites(request, wrote) ? StatementStatus::kUnknown
                                                   : StatementStatus::kAborted;
  }
  return StatementStatus::kUnknown;
}

}  // namespace cardamomchute
