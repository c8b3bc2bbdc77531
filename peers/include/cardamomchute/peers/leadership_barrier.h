/// Work that a leader may do only once a quorum has confirmed that it leads.
#ifndef CARDAMOMCHUTE_PEERS_LEADERSHIP_BARRIER_H_
#define CARDAMOMCHUTE_PEERS_LEADERSHIP_BARRIER_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "cardamomchute/policy/quorum.h"

namespace cardamomchute {

/// One round at a time; what arrives meanwhile waits for the next, since only
/// a round that began later proves anything.
class LeadershipBarrier {
 public:
  struct Waiting {
    std::function<void()> run;
    std::function<void()> abandon;  ///< the reign ended first
  };

  explicit LeadershipBarrier(std::function<std::optional<Round>()> begin)
      : begin_(std::move(begin)) {}

  void Add(Waiting waiting) {
    next_.push_back(std::move(waiting));
    StartIfDue();
  }

  void StartIfDue() {
    if (round_ || next_.empty()) return;
    round_ = begin_();
    if (round_) under_way_ = std::exchange(next_, {});
  }

  /// Rounds up to this one are confirmed.
  void OnConfirmed(Round round) {
    if (!round_ || round < *round_) return;
    round_.reset();
    std::vector<Waiting> confirmed = std::exchange(under_way_, {});
    for (const Waiting& waiting : confirmed) waiting.run();
    StartIfDue();
  }

  void Abandon() {
    round_.reset();
    std::vector<Waiting> all = std::exchange(next_, {});
    for (Waiting& waiting : under_way_) all.push_back(std::move(waiting));
    under_way_.clear();
    for (const Waiting& waiting : all) waiting.abandon();
  }

 private:
  std::function<std::optional<Round>()> begin_;
  std::optional<Round> round_;
  std::vector<Waiting> next_;
  std::vector<Waiting> under_way_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_LEADERSHIP_BARRIER_H_
