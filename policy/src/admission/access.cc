#include "cardamomchute/policy/admission/access.h"

#include <algorithm>

namespace cardamomchute {
namespace {

bool MatchesAny(const std::vector<std::string>& patterns,
                const std::string& name) {
  return std::any_of(patterns.begin(), patterns.end(),
                     [&](const std::string& pattern) {
                       return pattern == "*" || pattern == name;
                     });
}

bool IncludesGroup(const std::vector<GroupId>& groups, const GroupId& group) {
  return std::any_of(groups.begin(), groups.end(), [&](const GroupId& id) {
    return id.value() == "*" || id == group;
  });
}

const GroupSpec* FindDatabase(const Document& document,
                              const std::string& database) {
  for (const GroupSpec& group : document.groups) {
    if (group.database == database) return &group;
  }
  return nullptr;
}

}  // namespace

const GroupSpec* FindGroup(const Document& document, const GroupId& id) {
  for (const GroupSpec& group : document.groups) {
    if (group.id == id) return &group;
  }
  return nullptr;
}

std::optional<Rank> FindRank(const Document& document, const RankName& name) {
  for (size_t i = 0; i < document.ranks.size(); ++i) {
    if (document.ranks[i].name == name) return Rank(i);
  }
  return std::nullopt;
}

Result<Grant> FindGrant(const Document& document, const Caller& caller) {
  const GroupSpec* group = FindDatabase(document, caller.database);
  if (group == nullptr) {
    return Error{ErrorKind::kNotFound,
                 "database \"" + caller.database + "\" is in no group",
                 "name one of the databases in the environment's document"};
  }
  for (const AccessSpec& access : document.access) {
    bool matches = MatchesAny(access.users, caller.user) &&
                   MatchesAny(access.applications, caller.application) &&
                   IncludesGroup(access.groups, group->id);
    std::optional<Rank> rank = FindRank(document, access.rank);
    if (!matches || !rank) continue;
    return Grant{group->id, *rank, access.max_staleness, access.writes};
  }
  return Error{ErrorKind::kUnauthorized,
               "user \"" + caller.user + "\" may not reach database \"" +
                   caller.database + "\"",
               "add an [[access]] entry to the environment's document"};
}

}  // namespace cardamomchute
