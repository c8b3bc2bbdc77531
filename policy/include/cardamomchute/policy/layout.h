/// What operators accepted for the line protocol: which database leads to
/// which group, how fresh its reads must be, and how urgent it is.
#ifndef CARDAMOMCHUTE_POLICY_LAYOUT_H_
#define CARDAMOMCHUTE_POLICY_LAYOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/error.h"
#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

using DatabaseName = StrongString<struct DatabaseNameTag>;

/// How fresh the reads of a route must be.
enum class ReadRule : uint8_t {
  kPrimary,  ///< all that was acknowledged before the read
  kBounded,  ///< all that is older than the route's bound
  kSession   ///< as kBounded, and the session's own writes
};

struct RouteSpec {
  DatabaseName database;
  std::string scope;  ///< tells routes of one database apart, for checks only
  GroupId group;
  ReadRule rule = ReadRule::kPrimary;
  Duration statement_timeout;
  Duration target;  ///< for a whole operation
  Rank rank;
  Duration max_staleness;

  friend bool operator==(const RouteSpec&, const RouteSpec&) = default;
};

struct GroupLimits {
  uint32_t connections = 1;  ///< to one endpoint, all VMs together

  friend bool operator==(const GroupLimits&, const GroupLimits&) = default;
};

/// One accepted version as a whole.
struct Layout {
  uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::map<GroupId, GroupLimits> groups;
  Duration idle_transaction = Seconds(3);
};

/// The first rule that `layout` breaks, or Ok.
Status CheckLayout(const Layout& layout);

/// The route of `database`; null when there is none.
const RouteSpec* FindRoute(const Layout& layout, const DatabaseName& database);

/// The strictest staleness that a route to `group` asks of replicas; nothing
/// if none reads there.
std::optional<Duration> StrictestStaleness(const Layout& layout,
                                           const GroupId& group);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_LAYOUT_H_
