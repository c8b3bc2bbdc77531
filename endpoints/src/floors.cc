#include "floors.h"

namespace cardamomchute {
namespace {

/// Entries looked at for one that no channel has, at each opening.
constexpr int kEvictionTries = 8;

std::shared_ptr<SessionFloor> Arrive(Time now) {
  std::shared_ptr<SessionFloor> floor = std::make_shared<SessionFloor>();
  RecordArrival(floor.get(), now);
  return floor;
}

}  // namespace

std::shared_ptr<SessionFloor> FloorBook::Open(const SessionId& session,
                                              Time now) {
  if (session.empty()) return Arrive(now);
  auto found = entries_.find(session);
  if (found != entries_.end()) {
    by_use_.splice(by_use_.begin(), by_use_, found->second.used);
    return found->second.floor;
  }
  Evict();
  by_use_.push_front(session);
  std::shared_ptr<SessionFloor> floor = Arrive(now);
  entries_.emplace(session, Entry{floor, by_use_.begin()});
  return floor;
}

void FloorBook::Evict() {
  for (int i = 0; i < kEvictionTries && entries_.size() >= capacity_; ++i) {
    auto oldest = entries_.find(by_use_.back());
    if (oldest->second.floor.use_count() > 1) {
      by_use_.splice(by_use_.begin(), by_use_, oldest->second.used);
      continue;
    }
    by_use_.pop_back();
    entries_.erase(oldest);
  }
}

}  // namespace cardamomchute
