/// Defers work of a leader until a quorum has confirmed its leadership.
#ifndef CARDAMOMCHUTE_PEERS_LEADERSHIP_BARRIER_H_
#define CARDAMOMCHUTE_PEERS_LEADERSHIP_BARRIER_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "cardamomchute/policy/quorum/quorum.h"

namespace cardamomchute {

/// Runs one confirmation round at a time. Tasks added during a round wait for
/// the next one, since only a round that starts after a task was added proves
/// that this member still led at that time.
class LeadershipBarrier {
 public:
  struct Task {
    std::function<void()> run;
    std::function<void()> abandon;  ///< leadership ended before confirmation
  };

  explicit LeadershipBarrier(std::function<std::optional<Round>()> begin)
      : begin_(std::move(begin)) {}

  void Add(Task task) {
    queued_.push_back(std::move(task));
    StartIfDue();
  }

  /// Starts a round if tasks are queued and none is in progress.
  void StartIfDue() {
    if (round_ || queued_.empty()) return;
    round_ = begin_();
    if (round_) confirming_ = std::exchange(queued_, {});
  }

  /// A quorum has confirmed the rounds up to `round`: runs their tasks.
  void OnConfirmed(Round round) {
    if (!round_ || round < *round_) return;
    round_.reset();
    std::vector<Task> confirmed = std::exchange(confirming_, {});
    for (const Task& task : confirmed) task.run();
    StartIfDue();
  }

  /// Leadership has ended: abandons all tasks.
  void Abandon() {
    round_.reset();
    std::vector<Task> all = std::exchange(queued_, {});
    for (Task& task : confirming_) all.push_back(std::move(task));
    confirming_.clear();
    for (const Task& task : all) task.abandon();
  }

 private:
  std::function<std::optional<Round>()> begin_;
  std::optional<Round> round_;
  std::vector<Task> queued_;
  std::vector<Task> confirming_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_LEADERSHIP_BARRIER_H_
