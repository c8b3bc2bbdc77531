/// The operators' requests as a program sends them: to any VM that answers.
#ifndef CARDAMOMCHUTE_OPERATORS_CLIENT_H_
#define CARDAMOMCHUTE_OPERATORS_CLIENT_H_

#include <string>
#include <vector>

#include "cardamomchute/policy/sessions/operations.h"

namespace cardamomchute {

/// Where to ask, and for how long. Every server is tried in turn, again and
/// again until `patience` is over; a resend carries the same submission id.
struct Client {
  std::vector<Address> servers;
  Duration attempt = Seconds(5);
  Duration patience = Seconds(20);
};

/// kTimeout: some attempt may have been taken; ask again with the same id.
Result<SubmitOutcome> Submit(const Client& client,
                             const Submission& submission);
Result<SubmitOutcome> Promote(const Client& client, const Promotion& promotion);
Result<std::vector<DocumentRecord>> GetHistory(const Client& client,
                                               const Environment& environment);
Result<StatusReport> GetStatus(const Client& client,
                               const Environment& environment);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_OPERATORS_CLIENT_H_
