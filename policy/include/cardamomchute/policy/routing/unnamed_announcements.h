/// Announcements of endpoints whose group no layout names. They may come from
/// another writer, or be ahead of the layout that adds their group.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_UNNAMED_ANNOUNCEMENTS_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_UNNAMED_ANNOUNCEMENTS_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "cardamomchute/policy/routing/directory.h"
#include "cardamomchute/policy/routing/endpoint_leave.h"

namespace cardamomchute {

/// Bounds the memory that another writer can take.
inline constexpr size_t kMaxUnnamedAnnouncements = 1000;
/// An announcement is forgotten after this long. Endpoints repeat theirs more
/// often, and one that has left since must not come back.
inline constexpr Duration kUnnamedAnnouncementRetention = Seconds(3);

/// The newest announcement of each endpoint, kept apart from the directory: it
/// must not replace what the directory has under its id or address.
struct UnnamedAnnouncements {
  struct Item {
    EndpointRecord record;
    Time heard;
  };
  std::map<EndpointId, Item> items;
};

/// Keeps `record` unless a newer one of the same endpoint is kept, or there are
/// too many. Returns whether it is kept.
bool Keep(UnnamedAnnouncements& unnamed, const EndpointRecord& record,
          Time now);

/// Drops the announcement of the process that ends, or of an earlier one.
void Forget(UnnamedAnnouncements& unnamed, const EndpointLeave& leave);

/// Drops old announcements, and takes those whose group is in `named`.
std::vector<EndpointRecord> TakeNamed(UnnamedAnnouncements& unnamed,
                                      const std::set<GroupId>& named, Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_UNNAMED_ANNOUNCEMENTS_H_
