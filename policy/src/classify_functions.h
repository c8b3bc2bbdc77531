/// The functions that are known to write nothing and to depend on nothing but
/// the data, the arguments and the clock.
#ifndef CARDAMOMCHUTE_POLICY_SRC_CLASSIFY_FUNCTIONS_H_
#define CARDAMOMCHUTE_POLICY_SRC_CLASSIFY_FUNCTIONS_H_

#include <string_view>

namespace cardamomchute {

/// `name` without its schema, in lower case.
bool IsSafeFunction(std::string_view name);

/// Functions that take or give back a lock of the session, not of the
/// transaction; pooled connections can't keep these.
bool IsSessionLockFunction(std::string_view name);

/// Settings that have the same value on a primary and on a replica.
bool IsReplicaSafeSetting(std::string_view name);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_SRC_CLASSIFY_FUNCTIONS_H_
