#include "cardamomchute/policy/admission/queue.h"

#include <algorithm>

namespace cardamomchute {
namespace {

/// Weight of the newest sample in the moving average of the service time.
constexpr double kServiceTimeWeight = 0.1;
/// Upper limit of a rank's credit, in statements of average service time.
constexpr double kMaxCreditStatements = 4;
/// Upper limit of an item's cost, in statements of average service time.
constexpr double kMaxCostQuanta = 8;
/// Upper limit of what an organisation owes for slots that no other one
/// wanted, in statements of average service time.
constexpr double kMaxDebtQuanta = 8;
/// Sessions that a search examines per organisation before it moves on.
constexpr size_t kMaxSessionsTried = 64;

size_t Index(Lane lane) { return static_cast<size_t>(lane); }

}  // namespace

void RankQueue::SetRanks(std::vector<RankSpec> ranks) {
  std::vector<QueueItem> waiting = TakeAll();
  ranks_.clear();
  for (RankSpec& spec : ranks) {
    RankState lanes;
    lanes.spec = std::move(spec);
    ranks_.push_back(std::move(lanes));
  }
  if (ranks_.empty()) ranks_.emplace_back();
  std::for_each(waiting.rbegin(), waiting.rend(),
                [this](const QueueItem& item) { Requeue(item); });
}

void RankQueue::SetCapacity(Lane lane, size_t slots) {
  capacity_[Index(lane)] = std::max<size_t>(1, slots);
}

RankQueue::RankState* RankQueue::StateOf(Rank rank) {
  if (ranks_.empty()) ranks_.emplace_back();
  size_t index = std::min<size_t>(rank.value(), ranks_.size() - 1);
  return &ranks_[index];
}

Admission RankQueue::Add(const QueueItem& item, Time now) {
  AccrueCredit(now);
  RankState* rank = StateOf(item.rank);
  size_t index = static_cast<size_t>(rank - ranks_.data());
  double left_ms = static_cast<double>((item.deadline - now).ms());
  bool too_late = ExpectedWaitMs(index, item) > left_ms;
  size_t waiting = rank->lanes[0].size + rank->lanes[1].size;
  if (waiting >= rank->spec.queue_limit) {
    bool alone = WaitingOf(rank->lanes, item.organisation) == waiting;
    if (alone) return Admission::kQueueFull;
    if (too_late) return Admission::kTooLate;
    if (!Displace(rank, item.organisation)) return Admission::kShareUsedUp;
  }
  if (too_late) return Admission::kTooLate;
  LaneQueue& lane_queue = rank->lanes[Index(item.lane)];
  OrganisationQueue& own = *Join(&lane_queue, item, false);
  std::deque<QueueItem>& session_items = own.sessions[item.session];
  if (session_items.empty()) own.rotation.push_back(item.session);
  session_items.push_back(item);
  ++own.size;
  ++lane_queue.size;
  ++size_;
  return Admission::kAdmitted;
}

/// Returns the queue of the item's organisation. One that begins to wait gets
/// what it may use in a round, less what it has used in this one.
RankQueue::OrganisationQueue* RankQueue::Join(LaneQueue* lane_queue,
                                              const QueueItem& item,
                                              bool at_front) {
  auto [queue, first] =
      lane_queue->organisations.try_emplace(item.organisation);
  OrganisationQueue& own = queue->second;
  if (!first) return &own;
  auto left = lane_queue->left.find(item.organisation);
  own.fresh = left == lane_queue->left.end();
  own.deficit_ms = own.fresh ? QuantumMs(Index(item.lane)) : left->second;
  if (!own.fresh) lane_queue->left.erase(left);
  if (at_front) {
    lane_queue->rotation.push_front(item.organisation);
  } else {
    lane_queue->rotation.push_back(item.organisation);
  }
  return &own;
}

void RankQueue::Requeue(const QueueItem& item) {
  LaneQueue& lane_queue = StateOf(item.rank)->lanes[Index(item.lane)];
  OrganisationQueue& own = *Join(&lane_queue, item, true);
  std::deque<QueueItem>& session_items = own.sessions[item.session];
  if (session_items.empty()) own.rotation.push_front(item.session);
  session_items.push_front(item);
  own.deficit_ms += CostMs(item, Index(item.lane));
  ++own.size;
  ++lane_queue.size;
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
    const std::function<bool(const QueueItem&)>& matches) {
  std::vector<QueueItem> taken;
  for (RankState& rank : ranks_) {
    for (LaneQueue& lane_queue : rank.lanes) {
      size_t before = taken.size();
      for (auto queue = lane_queue.organisations.begin();
           queue != lane_queue.organisations.end();) {
        TakeFrom(&queue->second, matches, &taken);
        if (queue->second.size > 0) {
          ++queue;
          continue;
        }
        std::erase(lane_queue.rotation, queue->first);
        queue = lane_queue.organisations.erase(queue);
      }
      lane_queue.size -= taken.size() - before;
      size_ -= taken.size() - before;
    }
  }
  return taken;
}

void RankQueue::TakeFrom(OrganisationQueue* queue,
                         const std::function<bool(const QueueItem&)>& matches,
                         std::vector<QueueItem>* taken) {
  for (auto session = queue->sessions.begin();
       session != queue->sessions.end();) {
    std::deque<QueueItem> kept;
    for (QueueItem& item : session->second) {
      if (matches(item)) {
        taken->push_back(std::move(item));
      } else {
        kept.push_back(std::move(item));
      }
    }
    queue->size -= session->second.size() - kept.size();
    session->second = std::move(kept);
    if (!session->second.empty()) {
      ++session;
      continue;
    }
    std::erase(queue->rotation, session->first);
    session = queue->sessions.erase(session);
  }
}

/// Returns what an organisation may use in a round, at least.
double RankQueue::QuantumMs(size_t lane) const {
  return std::max(service_ms_[lane], 1.0);
}

double RankQueue::CostMs(const QueueItem& item, size_t lane) const {
  double average = QuantumMs(lane);
  if (item.cost_ms <= 0) return average;
  return std::min(item.cost_ms, average * kMaxCostQuanta);
}

/// Returns the index in the rotation of the first session whose next item can
/// run; the number of sessions if there is none.
size_t RankQueue::FindSession(
    const OrganisationQueue& queue,
    const std::function<bool(const QueueItem&)>& can_run) {
  size_t limit = std::min(queue.rotation.size(), kMaxSessionsTried);
  for (size_t i = 0; i < limit; ++i) {
    if (can_run(queue.sessions.at(queue.rotation[i]).front())) return i;
  }
  return queue.rotation.size();
}

QueueItem RankQueue::Pop(LaneQueue* lane_queue, size_t lane,
                         const Candidate& candidate) {
  auto organisation = lane_queue->organisations.find(candidate.organisation);
  OrganisationQueue& queue = organisation->second;
  auto turn = queue.rotation.begin() + static_cast<ptrdiff_t>(candidate.turn);
  auto session = queue.sessions.find(*turn);
  queue.rotation.erase(turn);
  QueueItem item = std::move(session->second.front());
  session->second.pop_front();
  if (session->second.empty()) {
    queue.sessions.erase(session);
  } else {
    queue.rotation.push_back(session->first);
  }
  queue.deficit_ms -= CostMs(item, lane);
  queue.fresh = false;
  --queue.size;
  --lane_queue->size;
  --size_;
  if (queue.size > 0 && queue.deficit_ms > 0) return item;
  std::erase(lane_queue->rotation, candidate.organisation);
  if (queue.size > 0) {
    lane_queue->rotation.push_back(candidate.organisation);
  } else {
    lane_queue->left[candidate.organisation] = queue.deficit_ms;
    lane_queue->organisations.erase(organisation);
  }
  return item;
}

/// Returns the first organisation in rotation that has an item to run and may
/// use some more in this round.
std::optional<RankQueue::Candidate> RankQueue::FindCandidate(
    const LaneQueue& lane_queue, bool fresh,
    const std::function<bool(const QueueItem&)>& can_run) {
  for (const std::string& name : lane_queue.rotation) {
    const OrganisationQueue& queue = lane_queue.organisations.at(name);
    if (queue.fresh != fresh || queue.deficit_ms <= 0) continue;
    size_t turn = FindSession(queue, can_run);
    if (turn < queue.rotation.size()) return Candidate{name, turn};
  }
  return std::nullopt;
}

/// Adds quanta to the organisations that have something to run, until one of
/// them may use some.
void RankQueue::BeginRound(LaneQueue* lane_queue, size_t lane,
                           const std::vector<Candidate>& runnable) {
  lane_queue->left.clear();
  bool any = false;
  while (!any) {
    for (const Candidate& candidate : runnable) {
      OrganisationQueue& queue =
          lane_queue->organisations.at(candidate.organisation);
      queue.deficit_ms += QuantumMs(lane);
      any |= queue.deficit_ms > 0;
    }
  }
}

/// Serves an organisation that nobody competes with. It stays in debt, within
/// limits, so that others that come are served before it goes on.
QueueItem RankQueue::PopAlone(LaneQueue* lane_queue, size_t lane,
                              const Candidate& candidate) {
  lane_queue->left.clear();
  OrganisationQueue& queue =
      lane_queue->organisations.at(candidate.organisation);
  queue.deficit_ms =
      std::max(queue.deficit_ms, -kMaxDebtQuanta * QuantumMs(lane));
  return Pop(lane_queue, lane, candidate);
}

std::optional<QueueItem> RankQueue::PopRunnable(
    LaneQueue* lane_queue, size_t lane,
    const std::function<bool(const QueueItem&)>& can_run) {
  for (bool fresh : {true, false}) {
    std::optional<Candidate> next = FindCandidate(*lane_queue, fresh, can_run);
    if (next) return Pop(lane_queue, lane, *next);
  }
  std::vector<Candidate> runnable;
  for (const std::string& name : lane_queue->rotation) {
    const OrganisationQueue& queue = lane_queue->organisations.at(name);
    if (queue.deficit_ms > 0) continue;
    size_t turn = FindSession(queue, can_run);
    if (turn < queue.rotation.size()) runnable.push_back({name, turn});
  }
  if (runnable.empty()) return std::nullopt;
  if (runnable.size() == 1) return PopAlone(lane_queue, lane, runnable[0]);
  BeginRound(lane_queue, lane, runnable);
  for (const Candidate& candidate : runnable) {
    const OrganisationQueue& queue =
        lane_queue->organisations.at(candidate.organisation);
    if (queue.deficit_ms > 0) return Pop(lane_queue, lane, candidate);
  }
  return std::nullopt;
}

std::optional<QueueItem> RankQueue::Next(
    Time now, const std::array<bool, kLaneCount>& open,
    const std::function<bool(const QueueItem&)>& can_run) {
  if (size_ == 0) return std::nullopt;
  AccrueCredit(now);
  for (bool credit_only : {true, false}) {
    for (RankState& rank : ranks_) {
      for (size_t lane = 0; lane < kLaneCount; ++lane) {
        if (!open[lane] || rank.lanes[lane].size == 0) continue;
        if (credit_only && !HasCredit(rank, lane)) continue;
        std::optional<QueueItem> item =
            PopRunnable(&rank.lanes[lane], lane, can_run);
        if (item) return item;
      }
    }
  }
  return std::nullopt;
}

void RankQueue::RecordServiceTime(Rank rank, Lane lane, Duration service) {
  double& expected = service_ms_[Index(lane)];
  double ms = static_cast<double>(std::max<int64_t>(service.ms(), 1));
  expected = expected == 0 ? ms
                           : expected * (1 - kServiceTimeWeight) +
                                 ms * kServiceTimeWeight;
  LaneQueue& lane_queue = StateOf(rank)->lanes[Index(lane)];
  lane_queue.credit_ms = std::max(lane_queue.credit_ms - ms, 0.0);
}

size_t RankQueue::Waiting(Lane lane) const {
  size_t waiting = 0;
  for (const RankState& rank : ranks_) waiting += rank.lanes[Index(lane)].size;
  return waiting;
}

void RankQueue::AccrueCredit(Time now) {
  double elapsed_ms = static_cast<double>((now - credit_updated_at_).ms());
  if (elapsed_ms <= 0) return;
  credit_updated_at_ = now;
  for (RankState& rank : ranks_) {
    for (size_t lane = 0; lane < kLaneCount; ++lane) {
      LaneQueue& lane_queue = rank.lanes[lane];
      if (lane_queue.size == 0) continue;
      double slots = static_cast<double>(capacity_[lane]);
      double max_credit_ms =
          kMaxCreditStatements * std::max(service_ms_[lane], 1.0);
      lane_queue.credit_ms += std::min(elapsed_ms, max_credit_ms) * slots *
                              rank.spec.guaranteed_share;
      lane_queue.credit_ms = std::min(lane_queue.credit_ms, max_credit_ms);
    }
  }
}

bool RankQueue::HasCredit(const RankState& rank, size_t lane) const {
  if (service_ms_[lane] == 0) return false;
  return rank.lanes[lane].credit_ms >= service_ms_[lane];
}

}  // namespace cardamomchute
