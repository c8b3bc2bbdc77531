#include "cardamomchute/policy/routing/unnamed_announcements.h"

#include <utility>

namespace cardamomchute {
namespace {

using Item = UnnamedAnnouncements::Item;

bool Outdated(const Item& item, Time now) {
  return now - item.heard > kUnnamedAnnouncementRetention;
}

}  // namespace

bool Keep(UnnamedAnnouncements& unnamed, const EndpointRecord& record,
          Time now) {
  auto known = unnamed.items.find(record.id);
  if (known != unnamed.items.end()) {
    if (!Newer(record, known->second.record)) return false;
    known->second = Item{record, now};
    return true;
  }
  if (unnamed.items.size() >= kMaxUnnamedAnnouncements) return false;
  unnamed.items.emplace(record.id, Item{record, now});
  return true;
}

void Forget(UnnamedAnnouncements& unnamed, const EndpointLeave& leave) {
  auto known = unnamed.items.find(leave.id);
  if (known == unnamed.items.end()) return;
  bool later_process =
      leave.started_ms && *leave.started_ms < known->second.record.started_ms;
  if (!later_process) unnamed.items.erase(known);
}

std::vector<EndpointRecord> TakeNamed(UnnamedAnnouncements& unnamed,
                                      const std::set<GroupId>& named,
                                      Time now) {
  std::vector<EndpointRecord> taken;
  for (auto it = unnamed.items.begin(); it != unnamed.items.end();) {
    bool is_named =
        !Outdated(it->second, now) && named.contains(it->second.record.group);
    if (is_named) taken.push_back(it->second.record);
    bool done = is_named || Outdated(it->second, now);
    it = done ? unnamed.items.erase(it) : std::next(it);
  }
  return taken;
}

}  // namespace cardamomchute
