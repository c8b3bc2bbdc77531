/// Whether a query certainly only reads.
#ifndef CARDAMOMCHUTE_POLICY_SRC_CLASSIFY_READ_H_
#define CARDAMOMCHUTE_POLICY_SRC_CLASSIFY_READ_H_

#include "classify_tokens.h"

namespace cardamomchute {

/// True for SELECT, VALUES, TABLE and WITH that neither change data, take row
/// locks, nor call a function not known to be harmless.
bool IsReadOnlyQuery(TokenSpan tokens);

/// Whether every function the tokens call is known to be harmless.
bool CallsOnlySafeFunctions(TokenSpan tokens);

/// The name of a session lock function the tokens call, or an empty text.
std::string FindSessionLock(TokenSpan tokens);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SRC_CLASSIFY_READ_H_
