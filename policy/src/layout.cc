#include "cardamomchute/policy/layout.h"

#include <algorithm>
#include <set>

namespace cardamomchute {
namespace {

Error Broken(const RouteSpec& route, const std::string& what,
             const std::string& remedy) {
  return Error{ErrorKind::kInvalidInput,
               "route of " + route.database.value() + ": " + what, remedy};
}

}  // namespace

Status CheckLayout(const Layout& layout) {
  std::set<std::pair<DatabaseName, std::string>> seen;
  for (const RouteSpec& route : layout.routes) {
    if (route.database.empty())
      return Broken(route, "has no database", "name the database it serves");
    if (!layout.groups.contains(route.group))
      return Broken(route, "leads to unknown group " + route.group.value(),
                    "name a group of the same document");
    if (route.statement_timeout <= Duration())
      return Broken(route, "has no time for a statement",
                    "give it a timeout above zero");
    if (!seen.insert({route.database, route.scope}).second)
      return Broken(route, "stands twice",
                    "keep one route a database and scope");
  }
  return Ok();
}

const RouteSpec* FindRoute(const Layout& layout, const DatabaseName& database) {
  auto it = std::find_if(
      layout.routes.begin(), layout.routes.end(),
      [&database](const RouteSpec& r) { return r.database == database; });
  return it == layout.routes.end() ? nullptr : &*it;
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
