/// Work that a leader may do only once a quorum has confirmed that it leads.
#ifndef CARDAMOMCHUTE_PEERS_CONFIRMED_ROUNDS_H_
#define CARDAMOMCHUTE_PEERS_CONFIRMED_ROUNDS_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "cardamomchute/policy/quorum.h"

namespace cardamomchute {

/// One round at a time; what arrives meanwhile waits for the next, since only
/// a round that began later proves anything.
class ConfirmedRounds {
 public:
  struct Task {
    std::function<void()> run;
    std::function<void()> abandon;  ///< the reign ended first
  };

  explicit ConfirmedRounds(std::function<std::optional<Round>()> begin)
      : begin_(std::move(begin)) {}

  void Add(Task task) {
    queued_.push_back(std::move(task));
    StartIfDue();
  }

  void StartIfDue() {
    if (round_ || queued_.empty()) return;
    round_ = begin_();
    if (round_) confirming_ = std::exchange(queued_, {});
  }

  /// Rounds up to this one are confirmed.
  void OnConfirmed(Round round) {
    if (!round_ || round < *round_) return;
    round_.reset();
    std::vector<Task> confirmed = std::exchange(confirming_, {});
    for (const Task& task : confirmed) task.run();
    StartIfDue();
  }

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

#endif  // CARDAMOMCHUTE_PEERS_CONFIRMED_ROUNDS_H_
