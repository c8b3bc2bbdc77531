/// Looks up access rights, groups and ranks in a configuration document.
#ifndef CARDAMOMCHUTE_POLICY_ADMISSION_ACCESS_H_
#define CARDAMOMCHUTE_POLICY_ADMISSION_ACCESS_H_

#include "cardamomchute/base/error.h"
#include "cardamomchute/policy/documents/document.h"

namespace cardamomchute {

/// Returns the rights of the first access entry that matches the caller.
/// kNotFound: no group has that database. kUnauthorized: no entry matches.
Result<Grant> FindGrant(const Document& document, const Caller& caller);

/// Returns the group with this id, or nullptr.
const GroupSpec* FindGroup(const Document& document, const GroupId& id);

/// Returns the rank with this name, or nullopt.
std::optional<Rank> FindRank(const Document& document, const RankName& name);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ADMISSION_ACCESS_H_
