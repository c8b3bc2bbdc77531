#include "cardamomchute/relay/run.h"

namespace cardamomchute {

Outcome WithoutAnswer(const RunRequest& request, bool sent, bool wrote,
                      Outcome plain) {
  switch (request.step) {
    case RunStep::kSingle:
      if (!sent) return Outcome::kUnreachable;
      return request.writes ? Outcome::kUnknown : plain;
    case RunStep::kFirst:
      return sent ? Outcome::kAborted : Outcome::kUnreachable;
    case RunStep::kNext:
      return Outcome::kAborted;
    case RunStep::kCommit:
      return sent && wrote ? Outcome::kUnknown : Outcome::kAborted;
  }
  return Outcome::kUnknown;
}

}  // namespace cardamomchute
