/// The statements that wait for one group, and which of them is next.
///
/// Urgent ranks go first. A rank with a guaranteed share earns slot time
/// while it waits; once that covers a statement, the rank goes before more
/// urgent ones and pays with the statement's service time. No slot stays free
/// while a statement that could use it waits. Within a rank the sessions take
/// turns, and each session's statements stay in order.
#ifndef CARDAMOMCHUTE_POLICY_QUEUE_H_
#define CARDAMOMCHUTE_POLICY_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/document.h"

namespace cardamomchute {

/// What a statement waits for.
enum class Lane : uint8_t {
  kPrimary = 0,  ///< a slot of the primary
  kAny = 1,      ///< a slot of any member that is fresh enough
  kOverdue = 2   ///< past its target: after all others of its rank
};

inline constexpr size_t kLanes = 3;

struct QueueItem {
  uint64_t id = 0;
  Rank rank;
  Lane lane = Lane::kPrimary;
  std::string session;  ///< sessions of one rank take turns
  Time arrived;
  Time deadline;
};

enum class Admission {
  kAdmitted,
  kQueueFull,  ///< the rank has as many waiting as the document allows
  kTooLate     ///< it would not be answered before its deadline
};

class RankQueue {
 public:
  void SetRanks(std::vector<RankSpec> ranks);
  /// Statements that run at a time, for each lane.
  void SetCapacity(Lane lane, size_t slots);

  Admission Add(const QueueItem& item, Time now);
  /// Puts back an item that was taken and did not run; goes before others.
  void Requeue(const QueueItem& item);
  /// Drops an item; false when it does not wait.
  bool Remove(uint64_t id);
  /// Takes the items whose deadline has passed.
  std::vector<QueueItem> TakeExpired(Time now);
  std::vector<QueueItem> TakeAll();

  /// Takes the next item that `can_run` accepts. It is asked about one item
  /// for each session at most, and not about lanes that are not `open`.
  std::optional<QueueItem> Next(
      Time now, const std::array<bool, kLanes>& open,
      const std::function<bool(const QueueItem&)>& can_run);

  /// Tells what a statement's service took, on the lane it waited in.
  void RecordServiceTime(Rank rank, Lane lane, Duration service);

  size_t size() const { return size_; }
  size_t Waiting(Lane lane) const;
  /// Expected service time, in milliseconds; zero before the first.
  double service_ms(Lane lane) const {
    return service_ms_[static_cast<size_t>(lane)];
  }

 private:
  struct Line {
    std::map<std::string, std::deque<QueueItem>> sessions;
    std::deque<std::string> turns;  ///< sessions that wait, next one first
    size_t size = 0;
    double earned_ms = 0;  ///< slot time owed by the guaranteed share
  };
  struct RankLines {
    RankSpec spec;
    std::array<Line, kLanes> lines;
  };

  RankLines* LinesOf(Rank rank);
  void Earn(Time now);
  bool Owed(const RankLines& rank, size_t lane) const;
  std::optional<QueueItem> TakeFrom(
      Line* line, const std::function<bool(const QueueItem&)>& can_run);
  double ExpectedWaitMs(size_t rank, size_t lane) const;
  std::vector<QueueItem> TakeIf(
      const std::function<bool(const QueueItem&)>& wanted);

  std::vector<RankLines> ranks_;
  std::array<size_t, kLanes> capacity_{1, 1, 1};
  std::array<double, kLanes> service_ms_{0, 0, 0};
  Time earned_at_;
  size_t size_ = 0;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_QUEUE_H_
