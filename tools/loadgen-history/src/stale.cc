#include "stale.h"

#include <algorithm>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace cardamomchute::history {
namespace {

constexpr int64_t kMicrosPerMilli = 1000;

/// Acknowledged writes of one row: when, and the highest number by then.
using Acknowledged = std::vector<std::pair<int64_t, uint64_t>>;

std::unordered_map<std::string, Acknowledged> AcknowledgedByKey(
    const std::vector<Operation>& operations) {
  std::unordered_map<std::string, Acknowledged> by_key;
  for (const Operation& o : operations) {
    if (o.kind != OperationKind::kWrite || o.outcome != Outcome::kOk) continue;
    by_key[o.key].emplace_back(o.ended, o.written);
  }
  for (auto& [key, list] : by_key) {
    std::sort(list.begin(), list.end());
    uint64_t highest = 0;
    for (auto& [when, written] : list) {
      highest = std::max(highest, written);
      written = highest;
    }
  }
  return by_key;
}

/// The highest number acknowledged before `time`.
uint64_t HighestBefore(const Acknowledged& list, int64_t time) {
  auto after = std::lower_bound(list.begin(), list.end(),
                                std::make_pair(time, uint64_t{0}));
  return after == list.begin() ? 0 : std::prev(after)->second;
}

/// All of a session's operations, in the order it made them.
std::unordered_map<std::string, std::vector<const Operation*>> BySession(
    const std::vector<Operation>& operations) {
  std::unordered_map<std::string, std::vector<const Operation*>> sessions;
  for (const Operation& o : operations) sessions[o.session].push_back(&o);
  for (auto& [session, list] : sessions) {
    std::stable_sort(list.begin(), list.end(),
                     [](const Operation* a, const Operation* b) {
                       return a->started < b->started;
                     });
  }
  return sessions;
}

}  // namespace

std::vector<StaleRead> FindStaleReads(
    const std::vector<Operation>& operations) {
  std::vector<StaleRead> stale;
  std::unordered_map<std::string, Acknowledged> acknowledged =
      AcknowledgedByKey(operations);
  for (const auto& [session, list] : BySession(operations)) {
    std::unordered_map<std::string, uint64_t> floors;
    for (const Operation* o : list) {
      if (o->outcome != Outcome::kOk || o->misdelivered) continue;
      uint64_t& floor = floors[o->key];
      if (o->kind == OperationKind::kWrite) floor = std::max(floor, o->written);
      if (o->kind != OperationKind::kRead) continue;
      if (o->seen < floor) {
        stale.push_back({o, floor, "session"});
        continue;
      }
      floor = std::max(floor, o->seen);
      if (o->staleness_ms < 0) continue;
      int64_t since = o->started - o->staleness_ms * kMicrosPerMilli;
      uint64_t expected = HighestBefore(acknowledged[o->key], since);
      if (o->seen < expected) stale.push_back({o, expected, "bound"});
    }
  }
  return stale;
}

}  // namespace cardamomchute::history
