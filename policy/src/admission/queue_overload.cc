/// Expected waits in a RankQueue, and what gives way when a rank is full.
#include <algorithm>

#include "cardamomchute/policy/admission/queue.h"

namespace cardamomchute {
namespace {

/// Lanes whose items count for a rank's queue_limit.
constexpr std::array<size_t, 2> kLimitedLanes = {0, 1};

}  // namespace

/// Takes the newest item of the organisation with the most waiting; returns
/// false if there is none, or none has more than `organisation` with one more.
bool RankQueue::Displace(RankState* rank, const std::string& organisation) {
  std::string largest = organisation;
  size_t most = WaitingOf(rank->lanes, organisation) + 1;
  const QueueItem* newest = nullptr;
  for (size_t lane : kLimitedLanes) {
    for (const auto& item : rank->lanes[lane].organisations) {
      size_t waiting = WaitingOf(rank->lanes, item.first);
      if (waiting <= most) continue;
      most = waiting;
      largest = item.first;
    }
  }
  if (largest == organisation) return false;
  for (size_t lane : kLimitedLanes) {
    auto queue = rank->lanes[lane].organisations.find(largest);
    if (queue == rank->lanes[lane].organisations.end()) continue;
    for (const auto& [session, items] : queue->second.sessions) {
      if (items.back().keep) continue;
      if (newest == nullptr || items.back().arrived >= newest->arrived)
        newest = &items.back();
    }
  }
  if (newest == nullptr) return false;
  uint64_t id = newest->id;
  std::vector<QueueItem> taken =
      TakeIf([id](const QueueItem& item) { return item.id == id; });
  displaced_.insert(displaced_.end(), taken.begin(), taken.end());
  return true;
}

/// Returns how many items of a lane are served before the next one of
/// `organisation`: its own, and up to as many plus one of each other.
double RankQueue::ItemsAhead(const LaneQueue& lane_queue,
                             const std::string& organisation) {
  auto own = lane_queue.organisations.find(organisation);
  size_t waiting = own == lane_queue.organisations.end() ? 0 : own->second.size;
  size_t ahead = waiting;
  for (const auto& [name, queue] : lane_queue.organisations) {
    if (name != organisation) ahead += std::min(queue.size, waiting + 1);
  }
  return static_cast<double>(ahead);
}

double RankQueue::ExpectedWaitMs(size_t rank, const QueueItem& item) const {
  size_t lane = static_cast<size_t>(item.lane);
  double own_rank = ItemsAhead(ranks_[rank].lanes[lane], item.organisation);
  double items_ahead = own_rank;
  for (size_t i = 0; i < rank; ++i) {
    items_ahead += static_cast<double>(ranks_[i].lanes[lane].size);
  }
  double slots = static_cast<double>(capacity_[lane]);
  double priority_wait_ms = items_ahead * service_ms_[lane] / slots;
  double share = ranks_[rank].spec.guaranteed_share;
  if (share <= 0) return priority_wait_ms;
  return std::min(priority_wait_ms,
                  own_rank * service_ms_[lane] / (slots * share));
}

/// Number of items of an organisation that count for the rank's queue_limit.
size_t RankQueue::WaitingOf(const std::array<LaneQueue, kLaneCount>& lanes,
                            const std::string& organisation) {
  size_t waiting = 0;
  for (size_t lane : kLimitedLanes) {
    auto queue = lanes[lane].organisations.find(organisation);
    if (queue != lanes[lane].organisations.end()) waiting += queue->second.size;
  }
  return waiting;
}

}  // namespace cardamomchute
