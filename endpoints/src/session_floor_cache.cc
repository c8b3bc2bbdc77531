#include "session_floor_cache.h"

namespace cardamomchute {
namespace {

/// Entries examined per Open for one that no channel uses.
constexpr int kEvictionTries = 8;

std::shared_ptr<SessionFloor> NewSessionFloor(Time now) {
  std::shared_ptr<SessionFloor> floor = std::make_shared<SessionFloor>();
  RecordArrival(floor.get(), now);
  return floor;
}

}  // namespace

std::shared_ptr<SessionFloor> SessionFloorCache::Open(const SessionId& session,
                                                      Time now) {
  if (session.empty()) return NewSessionFloor(now);
  auto found = entries_.find(session);
  if (found != entries_.end()) {
    recency_.splice(recency_.begin(), recency_, found->second.recency);
    return found->second.floor;
  }
  Evict();
  recency_.push_front(session);
  std::shared_ptr<SessionFloor> floor = NewSessionFloor(now);
  entries_.emplace(session, Entry{floor, recency_.begin()});
  return floor;
}

void SessionFloorCache::Evict() {
  for (int i = 0; i < kEvictionTries && entries_.size() >= capacity_; ++i) {
    auto oldest = entries_.find(recency_.back());
    if (oldest->second.floor.use_count() > 1) {
      recency_.splice(recency_.begin(), recency_, oldest->second.recency);
      continue;
    }
    recency_.pop_back();
    entries_.erase(oldest);
  }
}

}  // namespace cardamomchute
