/// Which relay counts which part of the rate limits.
///
/// Each share of an organisation's limit belongs to a partition, and each
/// partition has at most one keeper: the relay that grants its tokens. The
/// control leader records the map in the quorum's log and grants its use for a
/// time. A partition moves in two steps: a map without its keeper, and once no
/// grant of an older map can be held, one with the successor. Pure functions
/// without I/O.
#ifndef CARDAMOMCHUTE_POLICY_LEASE_LIMIT_KEEPERS_H_
#define CARDAMOMCHUTE_POLICY_LEASE_LIMIT_KEEPERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/documents/layout.h"
#include "cardamomchute/policy/routing/directory.h"

namespace cardamomchute {

inline constexpr size_t kLimitPartitions = 128;
/// A keeper that control has not heard of for this long is replaced.
inline constexpr Duration kKeeperSilence = Seconds(5);
/// Minimum interval between two maps of one leader: moves are batched.
inline constexpr Duration kKeeperMapInterval = Millis(500);

/// The keeper of each partition.
struct KeeperMap {
  uint64_t version = 0;       ///< 0: there is none yet
  std::vector<VmId> keepers;  ///< by partition; empty: none at present

  friend bool operator==(const KeeperMap&, const KeeperMap&) = default;
  MSGPACK_DEFINE(version, keepers)
};

/// Returns the partition that a share of the organisation's limit belongs to.
size_t LimitPartition(const OrganisationName& organisation, uint32_t share);

/// Returns the partition's keeper, empty if it has none.
VmId KeeperOf(const KeeperMap& map, size_t partition);

/// A relay that may be a keeper.
struct KeeperCandidate {
  VmId vm;
  Zone zone;
};

/// Returns the relays that neither left, nor drain, nor have been silent for
/// kKeeperSilence. After its election at `leading_since` a leader has heard
/// from none of them.
std::vector<KeeperCandidate> KeeperCandidates(const Directory& directory,
                                              Time leading_since, Time now);

/// What a control leader remembers of the maps.
struct KeeperLedger {
  Time since;              ///< start of the leadership
  Duration grant;          ///< longest time for which a map is granted
  Time next_map;           ///< no map is recorded earlier
  bool recording = false;  ///< a map was proposed and is not yet in force
  /// From when on a partition without a keeper may get one: no grant of a map
  /// in which it had one can be held any more.
  std::map<size_t, Time> free_at;
};

/// Starts a leadership at `now` with the map in force. Earlier leaders may have
/// granted older maps until the election.
void BeginKeepers(KeeperLedger& ledger, const KeeperMap& map, Duration grant,
                  Time now);

/// Takes a change of the map in force at `now`. From now on this leader grants
/// `map` only.
void TakeKeeperMap(KeeperLedger& ledger, const KeeperMap& before,
                   const KeeperMap& map, Time now);

/// Returns the map to record next, or nothing if `map` may stay as it is.
std::optional<KeeperMap> NextKeeperMap(
    const KeeperLedger& ledger, const KeeperMap& map,
    const std::vector<KeeperCandidate>& candidates, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_LEASE_LIMIT_KEEPERS_H_
