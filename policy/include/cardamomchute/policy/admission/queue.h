/// Priority queue of the statements that wait for one group.
///
/// More urgent ranks are served first. A rank with a guaranteed share
/// accumulates slot-time credit while it has queued statements. Once the credit
/// covers the expected service time, the rank precedes more urgent ranks, and
/// each statement's service time is deducted. Scheduling is work-conserving: no
/// slot stays free while a queued statement could use it. Within a rank,
/// organisations share by deficit round robin over the cost of their
/// statements, so that one's backlog does not delay the others. Within an
/// organisation, sessions are served round-robin and each session's statements
/// in FIFO order.
#ifndef CARDAMOMCHUTE_POLICY_ADMISSION_QUEUE_H_
#define CARDAMOMCHUTE_POLICY_ADMISSION_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/documents/document.h"

namespace cardamomchute {

/// The kind of slot that a statement waits for.
enum class Lane : uint8_t {
  kPrimary = 0,  ///< a slot on the primary
  kAny = 1,      ///< a slot on any endpoint that is fresh enough
  kOverdue = 2   ///< past its target time; served last in its rank
};

inline constexpr size_t kLaneCount = 3;

struct QueueItem {
  uint64_t id = 0;
  Rank rank;
  Lane lane = Lane::kPrimary;
  std::string session;  ///< sessions are served round-robin
  std::string organisation;
  double cost_ms = 0;  ///< expected service time; 0: the lane's average
  bool keep = false;   ///< never displaced, e.g. within a transaction
  Time arrived;
  Time deadline;
};

enum class Admission {
  kAdmitted,
  kQueueFull,    ///< the rank's queue_limit is reached
  kShareUsedUp,  ///< the same, and no organisation has more waiting
  kTooLate       ///< the expected wait exceeds the deadline
};

class RankQueue {
 public:
  /// Replaces the ranks; queued items stay queued.
  void SetRanks(std::vector<RankSpec> ranks);
  /// Sets how many statements of a lane run concurrently, at least 1.
  void SetCapacity(Lane lane, size_t slots);

  /// At the rank's queue_limit, an item of an organisation with fewer waiting
  /// displaces the newest one of the organisation with the most.
  Admission Add(const QueueItem& item, Time now);
  /// Removes and returns the items that others have displaced.
  std::vector<QueueItem> TakeDisplaced() {
    return std::exchange(displaced_, {});
  }
  /// Returns an item that was taken but not executed to the front of its lane.
  void Requeue(const QueueItem& item);
  /// Removes an item; returns false if it is not queued.
  bool Remove(uint64_t id);
  /// Removes and returns the items whose deadline has passed.
  std::vector<QueueItem> TakeExpired(Time now);
  std::vector<QueueItem> TakeAll();

  /// Removes and returns the next item that `can_run` accepts. Considers only
  /// the first item of each session, and only lanes that are `open`.
  std::optional<QueueItem> Next(
      Time now, const std::array<bool, kLaneCount>& open,
      const std::function<bool(const QueueItem&)>& can_run);

  /// Records the service time of a statement from this lane.
  void RecordServiceTime(Rank rank, Lane lane, Duration service);

  size_t size() const { return size_; }
  size_t Waiting(Lane lane) const;
  /// Moving average of the service time in milliseconds; 0 before any sample.
  double service_ms(Lane lane) const {
    return service_ms_[static_cast<size_t>(lane)];
  }

 private:
  /// Of an organisation with queued items.
  struct OrganisationQueue {
    std::map<std::string, std::deque<QueueItem>> sessions;
    std::deque<std::string>
        rotation;  ///< sessions with queued items, next first
    size_t size = 0;
    /// Cost that it may still use in this round; may end below zero.
    double deficit_ms = 0;
    /// Began to wait in this round, and was not served in it: served first.
    bool fresh = false;
  };
  struct LaneQueue {
    std::map<std::string, OrganisationQueue> organisations;
    std::deque<std::string> rotation;  ///< organisations, next first
    /// What those may still use in this round that have nothing left to wait.
    std::map<std::string, double> left;
    size_t size = 0;
    double credit_ms = 0;  ///< slot time accrued by the guaranteed share
  };
  struct RankState {
    RankSpec spec;
    std::array<LaneQueue, kLaneCount> lanes;
  };

  /// An organisation that has an item to run, and its session's place.
  struct Candidate {
    std::string organisation;
    size_t turn = 0;
  };

  RankState* StateOf(Rank rank);
  OrganisationQueue* Join(LaneQueue* lane_queue, const QueueItem& item,
                          bool at_front);
  static std::optional<Candidate> FindCandidate(
      const LaneQueue& lane_queue, bool fresh,
      const std::function<bool(const QueueItem&)>& can_run);
  void BeginRound(LaneQueue* lane_queue, size_t lane,
                  const std::vector<Candidate>& runnable);

  void AccrueCredit(Time now);
  bool HasCredit(const RankState& rank, size_t lane) const;
  std::optional<QueueItem> PopRunnable(
      LaneQueue* lane_queue, size_t lane,
      const std::function<bool(const QueueItem&)>& can_run);
  static size_t FindSession(
      const OrganisationQueue& queue,
      const std::function<bool(const QueueItem&)>& can_run);
  QueueItem Pop(LaneQueue* lane_queue, size_t lane, const Candidate& candidate);
  static void TakeFrom(OrganisationQueue* queue,
                       const std::function<bool(const QueueItem&)>& matches,
                       std::vector<QueueItem>* taken);
  static double ItemsAhead(const LaneQueue& lane_queue,
                           const std::string& organisation);
  static size_t WaitingOf(const std::array<LaneQueue, kLaneCount>& lanes,
                          const std::string& organisation);
  QueueItem PopAlone(LaneQueue* lane_queue, size_t lane,
                     const Candidate& candidate);
  double QuantumMs(size_t lane) const;
  double CostMs(const QueueItem& item, size_t lane) const;
  double ExpectedWaitMs(size_t rank, const QueueItem& item) const;
  bool Displace(RankState* rank, const std::string& organisation);
  std::vector<QueueItem> TakeIf(
      const std::function<bool(const QueueItem&)>& matches);

  std::vector<RankState> ranks_;
  std::array<size_t, kLaneCount> capacity_{1, 1, 1};
  std::array<double, kLaneCount> service_ms_{0, 0, 0};
  std::vector<QueueItem> displaced_;
  Time credit_updated_at_;
  size_t size_ = 0;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ADMISSION_QUEUE_H_
