/// Finds what a caller may do under a document.
#ifndef CARDAMOMCHUTE_POLICY_ACCESS_H_
#define CARDAMOMCHUTE_POLICY_ACCESS_H_

#include "cardamomchute/base/error.h"
#include "cardamomchute/policy/document.h"

namespace cardamomchute {

/// The first access entry that matches, as a grant. kNotFound: no group has
/// that database. kUnauthorized: no entry lets this caller in.
Result<Grant> FindGrant(const Document& document, const Caller& caller);

/// The group of that id, or nothing.
const GroupSpec* FindGroup(const Document& document, const GroupId& id);

/// The rank of that name, or nothing.
std::optional<Rank> FindRank(const Document& document, const RankName& name);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ACCESS_H_
