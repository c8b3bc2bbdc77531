/// Detects queries that are known to be read-only.
#ifndef CARDAMOMCHUTE_POLICY_SRC_SESSIONS_CLASSIFY_READ_H_
#define CARDAMOMCHUTE_POLICY_SRC_SESSIONS_CLASSIFY_READ_H_

#include "classify_tokens.h"

namespace cardamomchute {

/// Whether the tokens are a SELECT, VALUES, TABLE or WITH query that changes no
/// data, takes no row locks and calls only functions known to be safe.
bool IsReadOnlyQuery(TokenSpan tokens);

/// Whether every function that the tokens call is known to be safe.
bool CallsOnlySafeFunctions(TokenSpan tokens);

/// Returns the first session lock function that the tokens call, or "".
std::string FindSessionLock(TokenSpan tokens);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SRC_SESSIONS_CLASSIFY_READ_H_
