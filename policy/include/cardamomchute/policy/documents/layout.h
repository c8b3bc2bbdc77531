/// Routing configuration of the line protocol: maps each database to a group,
/// with the required freshness of reads and the rank of its statements.
#ifndef CARDAMOMCHUTE_POLICY_DOCUMENTS_LAYOUT_H_
#define CARDAMOMCHUTE_POLICY_DOCUMENTS_LAYOUT_H_

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
using OrganisationName = StrongString<struct OrganisationNameTag>;
/// A caller's secret. It is never logged, and no endpoint is told it.
using CallerKey = StrongString<struct CallerKeyTag>;

/// How fresh the reads of a route must be.
enum class ReadRule : uint8_t {
  kPrimary,  ///< sees every write acknowledged before the read
  kBounded,  ///< sees every write older than `max_staleness`
  kSession   ///< as kBounded, plus the session's own writes
};

struct RouteSpec {
  DatabaseName database;
  std::string scope;  ///< distinguishes routes of a database in checks
  GroupId group;
  ReadRule rule = ReadRule::kPrimary;
  Duration statement_timeout;
  Duration target;  ///< latency target of a whole operation
  Rank rank;
  Duration max_staleness;
  bool is_public = false;  ///< needs no key

  friend bool operator==(const RouteSpec&, const RouteSpec&) = default;
};

/// How many operations an organisation may begin, over all VMs.
struct RateLimit {
  uint64_t per_second = 0;
  uint64_t burst = 0;

  friend bool operator==(const RateLimit&, const RateLimit&) = default;
};

struct OrganisationSpec {
  std::vector<CallerKey> keys;
  std::optional<RateLimit> limit;  ///< none: not limited

  friend bool operator==(const OrganisationSpec&,
                         const OrganisationSpec&) = default;
};

/// The organisations that may call, and the owner of each key.
struct Organisations {
  std::map<OrganisationName, OrganisationSpec> specs;
  std::map<CallerKey, OrganisationName> owners;  ///< by `IndexKeys`
};

struct GroupLimits {
  uint32_t connections = 1;  ///< per endpoint, over all VMs

  friend bool operator==(const GroupLimits&, const GroupLimits&) = default;
};

/// One accepted version of the configuration.
struct Layout {
  uint64_t version = 0;
  std::vector<RouteSpec> routes;  ///< ordered by `OrderRoutes`
  std::map<GroupId, GroupLimits> groups;
  /// None: callers need no key.
  std::optional<Organisations> organisations;
  Duration idle_transaction = Seconds(3);
};

/// Returns an error for the first rule that `layout` violates, otherwise Ok.
Status CheckLayout(const Layout& layout);

/// Orders the routes by database for FindRoute; those of one database keep
/// their order.
void OrderRoutes(Layout& layout);

/// Returns the first route of `database`, or null. The routes must be ordered.
const RouteSpec* FindRoute(const Layout& layout, const DatabaseName& database);

/// Fills `owners` from the keys of `specs`. Returns an error if two
/// organisations have the same key.
Status IndexKeys(Organisations& organisations);

/// Returns the organisation that holds `key`, or null.
const OrganisationName* OwnerOf(const Layout& layout, const CallerKey& key);

/// Returns the smallest `max_staleness` of the routes that may read from
/// replicas of `group`, or nothing if there are none.
std::optional<Duration> StrictestStaleness(const Layout& layout,
                                           const GroupId& group);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_DOCUMENTS_LAYOUT_H_
