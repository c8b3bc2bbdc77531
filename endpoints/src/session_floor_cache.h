/// The floors of the sessions an owner has seen, shared by all channels of
/// one session.
#ifndef CARDAMOMCHUTE_ENDPOINTS_SRC_SESSION_FLOOR_CACHE_H_
#define CARDAMOMCHUTE_ENDPOINTS_SRC_SESSION_FLOOR_CACHE_H_

#include <list>
#include <memory>
#include <unordered_map>

#include "cardamomchute/policy/position.h"

namespace cardamomchute {

inline constexpr size_t kMaxCachedFloors = 100000;

/// Bounded: the session unused for longest is forgotten, unless a channel
/// still has it. A forgotten session counts as one that arrives, and takes
/// the primary's position then; so forgetting is always safe.
class SessionFloorCache {
 public:
  explicit SessionFloorCache(size_t capacity = kMaxCachedFloors) : capacity_(capacity) {}

  /// The session's floor; a new one for an unknown or unnamed session, with
  /// its arrival noted.
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
  std::list<SessionId> recency_;  ///< most recent first
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_ENDPOINTS_SRC_SESSION_FLOOR_CACHE_H_
