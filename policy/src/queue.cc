#include "cardamomchute/policy/queue.h"

#include <algorithm>

namespace cardamomchute {
namespace {

/// Weight of the newest service time in the expectation.
constexpr double kServiceWeight = 0.1;
/// A rank earns ahead for this many statements at most.
constexpr double kMaxEarnedStatements = 4;
/// Sessions looked at in one rank before the next rank has its turn.
constexpr size_t kMaxSessionsTried = 64;

size_t Index(Lane lane) { return static_cast<size_t>(lane); }

}  // namespace

void RankQueue::SetRanks(std::vector<RankSpec> ranks) {
  std::vector<QueueItem> waiting = TakeAll();
  ranks_.clear();
  for (RankSpec& spec : ranks) {
    RankLines lines;
    lines.spec = std::move(spec);
    ranks_.push_back(std::move(lines));
  }
  if (ranks_.empty()) ranks_.emplace_back();
  std::for_each(waiting.rbegin(), waiting.rend(),
                [this](const QueueItem& item) { Requeue(item); });
}

void RankQueue::SetCapacity(Lane lane, size_t slots) {
  capacity_[Index(lane)] = std::max<size_t>(1, slots);
}

RankQueue::RankLines* RankQueue::LinesOf(Rank rank) {
  if (ranks_.empty()) ranks_.emplace_back();
  size_t index = std::min<size_t>(rank.value(), ranks_.size() - 1);
  return &ranks_[index];
}

Admission RankQueue::Add(const QueueItem& item, Time now) {
  Earn(now);
  RankLines* rank = LinesOf(item.rank);
  size_t waiting = rank->lines[0].size + rank->lines[1].size;
  if (waiting >= rank->spec.queue_limit) return Admission::kQueueFull;
  size_t index = static_cast<size_t>(rank - ranks_.data());
  double wait_ms = ExpectedWaitMs(index, Index(item.lane));
  double left_ms = static_cast<double>((item.deadline - now).ms());
  if (wait_ms > left_ms) return Admission::kTooLate;
  Line& line = rank->lines[Index(item.lane)];
  std::deque<QueueItem>& own = line.sessions[item.session];
  if (own.empty()) line.turns.push_back(item.session);
  own.push_back(item);
  ++line.size;
  ++size_;
  return Admission::kAdmitted;
}

void RankQueue::Requeue(const QueueItem& item) {
  Line& line = LinesOf(item.rank)->lines[Index(item.lane)];
  std::deque<QueueItem>& own = line.sessions[item.session];
  if (own.empty()) line.turns.push_front(item.session);
  own.push_front(item);
  ++line.size;
  ++size_;
}

bool RankQueue::Remove(uint64_t id) {
  return !TakeIf([id](const QueueItem& item) { return item.id == id; }).empty();
}

std::vector<QueueItem> RankQueue::TakeExpired(Time now) {
  return TakeIf([now](const QueueItem& item) { return item.deadline <= now; });
}

std::vector<QueueItem> RankQueue::TakeAll() {
  return TakeIf([](const QueueItem&) { return true; });
}

std::vector<QueueItem> RankQueue::TakeIf(
    const std::function<bool(const QueueItem&)>& wanted) {
  std::vector<QueueItem> taken;
  for (RankLines& rank : ranks_) {
    for (Line& line : rank.lines) {
      for (auto own = line.sessions.begin(); own != line.sessions.end();) {
        std::deque<QueueItem> kept;
        for (QueueItem& item : own->second) {
          if (wanted(item)) {
            taken.push_back(std::move(item));
          } else {
            kept.push_back(std::move(item));
          }
        }
        size_t gone = own->second.size() - kept.size();
        line.size -= gone;
        size_ -= gone;
        own->second = std::move(kept);
        if (!own->second.empty()) {
          ++own;
          continue;
        }
        std::erase(line.turns, own->first);
        own = line.sessions.erase(own);
      }
    }
  }
  return taken;
}

std::optional<QueueItem> RankQueue::TakeFrom(
    Line* line, const std::function<bool(const QueueItem&)>& can_run) {
  size_t tries = std::min(line->turns.size(), kMaxSessionsTried);
  for (size_t i = 0; i < tries; ++i) {
    std::string session = line->turns[i];
    auto own = line->sessions.find(session);
    if (!can_run(own->second.front())) continue;
    QueueItem item = std::move(own->second.front());
    own->second.pop_front();
    line->turns.erase(line->turns.begin() + static_cast<ptrdiff_t>(i));
    if (own->second.empty()) {
      line->sessions.erase(own);
    } else {
      line->turns.push_back(session);
    }
    --line->size;
    --size_;
    return item;
  }
  return std::nullopt;
}

std::optional<QueueItem> RankQueue::Next(
    Time now, const std::array<bool, kLanes>& open,
    const std::function<bool(const QueueItem&)>& can_run) {
  if (size_ == 0) return std::nullopt;
  Earn(now);
  for (bool owed_only : {true, false}) {
    for (RankLines& rank : ranks_) {
      for (size_t lane = 0; lane < kLanes; ++lane) {
        if (!open[lane] || rank.lines[lane].size == 0) continue;
        if (owed_only && !Owed(rank, lane)) continue;
        std::optional<QueueItem> item = TakeFrom(&rank.lines[lane], can_run);
        if (item) return item;
      }
    }
  }
  return std::nullopt;
}

void RankQueue::RecordServiceTime(Rank rank, Lane lane, Duration service) {
  double& expected = service_ms_[Index(lane)];
  double ms = static_cast<double>(std::max<int64_t>(service.ms(), 1));
  expected = expected == 0
                 ? ms
                 : expected * (1 - kServiceWeight) + ms * kServiceWeight;
  Line& line = LinesOf(rank)->lines[Index(lane)];
  line.earned_ms = std::max(line.earned_ms - ms, 0.0);
}

size_t RankQueue::Waiting(Lane lane) const {
  size_t waiting = 0;
  for (const RankLines& rank : ranks_) waiting += rank.lines[Index(lane)].size;
  return waiting;
}

void RankQueue::Earn(Time now) {
  double passed_ms = static_cast<double>((now - earned_at_).ms());
  if (passed_ms <= 0) return;
  earned_at_ = now;
  for (RankLines& rank : ranks_) {
    for (size_t lane = 0; lane < kLanes; ++lane) {
      Line& line = rank.lines[lane];
      if (line.size == 0) continue;
      double slots = static_cast<double>(capacity_[lane]);
      double most = kMaxEarnedStatements * std::max(service_ms_[lane], 1.0);
      line.earned_ms +=
          std::min(passed_ms, most) * slots * rank.spec.guaranteed_share;
      line.earned_ms = std::min(line.earned_ms, most);
    }
  }
}

bool RankQueue::Owed(const RankLines& rank, size_t lane) const {
  if (service_ms_[lane] == 0) return false;
  return rank.lines[lane].earned_ms >= service_ms_[lane];
}

double RankQueue::ExpectedWaitMs(size_t rank, size_t lane) const {
  double ahead = 0;
  for (size_t i = 0; i <= rank; ++i) {
    ahead += static_cast<double>(ranks_[i].lines[lane].size);
  }
  double rate = static_cast<double>(capacity_[lane]);
  double by_order = ahead * service_ms_[lane] / rate;
  double share = ranks_[rank].spec.guaranteed_share;
  if (share <= 0) return by_order;
  double own = static_cast<double>(ranks_[rank].lines[lane].size);
  return std::min(by_order, own * service_ms_[lane] / (rate * share));
}

}  // namespace cardamomchute
