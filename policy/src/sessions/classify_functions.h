/// Lists of known PostgreSQL functions and settings, for classification.
///
/// A safe function writes nothing and depends only on the data, its arguments
/// and the clock.
#ifndef CARDAMOMCHUTE_POLICY_SRC_SESSIONS_CLASSIFY_FUNCTIONS_H_
#define CARDAMOMCHUTE_POLICY_SRC_SESSIONS_CLASSIFY_FUNCTIONS_H_

#include <string_view>

namespace cardamomchute {

/// Whether the function is safe. `name`: without schema, in lower case.
bool IsSafeFunction(std::string_view name);

/// Whether the function acquires a session-level advisory lock. Pooled
/// connections cannot hold such locks across transactions.
bool IsSessionLockFunction(std::string_view name);

/// Whether the setting has the same value on a primary and on a replica.
bool IsReplicaSafeSetting(std::string_view name);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SRC_SESSIONS_CLASSIFY_FUNCTIONS_H_
