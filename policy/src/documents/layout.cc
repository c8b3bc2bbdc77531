#include "cardamomchute/policy/documents/layout.h"

#include <algorithm>
#include <set>

namespace cardamomchute {
namespace {

Error RouteError(const RouteSpec& route, const std::string& what,
                 const std::string& remedy) {
  return Error{ErrorKind::kInvalidInput,
               "route of " + route.database.value() + ": " + what, remedy};
}

}  // namespace

Status CheckLayout(const Layout& layout) {
  std::set<std::pair<DatabaseName, std::string>> seen;
  for (const RouteSpec& route : layout.routes) {
    if (route.database.empty())
      return RouteError(route, "has no database",
                        "name the database it serves");
    if (!layout.groups.contains(route.group))
      return RouteError(route, "refers to unknown group " + route.group.value(),
                        "name a group of the same document");
    if (route.statement_timeout <= Duration())
      return RouteError(route, "has no statement timeout",
                        "set a timeout greater than zero");
    if (!seen.insert({route.database, route.scope}).second)
      return RouteError(route, "is a duplicate",
                        "keep one route per database and scope");
  }
  return Ok();
}

void OrderRoutes(Layout& layout) {
  std::stable_sort(layout.routes.begin(), layout.routes.end(),
                   [](const RouteSpec& a, const RouteSpec& b) {
                     return a.database < b.database;
                   });
}

const RouteSpec* FindRoute(const Layout& layout, const DatabaseName& database) {
  auto it =
      std::lower_bound(layout.routes.begin(), layout.routes.end(), database,
                       [](const RouteSpec& r, const DatabaseName& name) {
                         return r.database < name;
                       });
  bool found = it != layout.routes.end() && it->database == database;
  return found ? &*it : nullptr;
}

Status IndexKeys(Organisations& organisations) {
  organisations.owners.clear();
  for (const auto& [name, spec] : organisations.specs) {
    for (const CallerKey& key : spec.keys) {
      auto [it, is_new] = organisations.owners.emplace(key, name);
      if (is_new || it->second == name) continue;
      return Error{ErrorKind::kInvalidInput,
                   "organisations " + it->second.value() + " and " +
                       name.value() + " share a key",
                   "give each key to one organisation"};
    }
  }
  return Ok();
}

const OrganisationName* OwnerOf(const Layout& layout, const CallerKey& key) {
  if (!layout.organisations) return nullptr;
  auto it = layout.organisations->owners.find(key);
  return it == layout.organisations->owners.end() ? nullptr : &it->second;
}

std::optional<Duration> StrictestStaleness(const Layout& layout,
                                           const GroupId& group) {
  std::optional<Duration> least;
  for (const RouteSpec& route : layout.routes) {
    if (route.group != group || route.rule == ReadRule::kPrimary) continue;
    least = std::min(least.value_or(route.max_staleness), route.max_staleness);
  }
  return least;
}

}  // namespace cardamomchute
