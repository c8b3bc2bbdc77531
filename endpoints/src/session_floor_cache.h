/// Floors of the sessions an owner has seen, shared by all channels of a
/// session.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_SESSION_FLOOR_CACHE_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_SESSION_FLOOR_CACHE_H_

#include <list>
#include <memory>
#include <unordered_map>

#include "cardamomchute/policy/routing/position.h"

namespace cardamomchute {

inline constexpr size_t kMaxCachedFloors = 100000;

/// LRU cache of at most `capacity` sessions; floors that a channel still uses
/// are not evicted. Eviction is always safe: an evicted session is treated as
/// new and takes the primary's position as its floor.
class SessionFloorCache {
 public:
  explicit SessionFloorCache(size_t capacity = kMaxCachedFloors)
      : capacity_(capacity) {}

  /// Returns the session's floor. Unknown and unnamed sessions get a new one
  /// with `now` as their arrival; unnamed ones are not cached.
  std::shared_ptr<SessionFloor> Open(const SessionId& session, Time now);

  size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::shared_ptr<SessionFloor> floor;
    std::list<SessionId>::iterator recency;
  };

  void Evict();

  size_t capacity_;
  std::unordered_map<SessionId, Entry> entries_;
  std::list<SessionId> recency_;  ///< most recently used first
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_SESSION_FLOOR_CACHE_H_
