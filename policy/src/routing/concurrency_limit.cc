#include "cardamomchute/policy/routing/concurrency_limit.h"

#include <algorithm>

namespace cardamomchute {
namespace {

/// Statements that are compared with as many others, for each holder.
constexpr uint32_t kTrialStatements = 24;
constexpr uint32_t kMaxSharersCounted = 4;
constexpr Duration kTrialTime = Seconds(1);
/// Statements that take this many times their cost may wait inside the
/// endpoint.
constexpr double kSlowdown = 1.6;
/// Statements that a decaying sum covers, and the weight of the newest one.
constexpr uint32_t kRecentStatements = 64;
constexpr double kRecentWeight = 1.0 / kRecentStatements;
constexpr uint32_t kNewestStatements = 8;
constexpr double kNewestWeight = 1.0 / kNewestStatements;
/// Part of the gain that a higher limit could have, and has to have.
constexpr double kGainRequired = 0.4;
/// A trial lowers the limit by one part in this many, or raises it.
constexpr uint32_t kLowerPart = 3;
constexpr uint32_t kRaisePart = 4;

uint32_t Needed(const ConcurrencyLimit& limit) {
  return kTrialStatements * std::min(limit.sharers, kMaxSharersCounted);
}

void Add(WorkDone* done, double cost_ms, double time_ms) {
  done->cost_ms += cost_ms;
  done->time_ms += time_ms;
  ++done->count;
}

void Decay(WorkDone* done, double weight) {
  done->cost_ms *= 1 - weight;
  done->time_ms *= 1 - weight;
}

/// Work done per time with `limit` statements under way.
double Throughput(uint32_t limit, const WorkDone& done) {
  return limit * done.cost_ms / std::max(done.time_ms, 1.0);
}

bool Slowed(const ConcurrencyLimit& limit) {
  const WorkDone& recent = limit.recent;
  return recent.count >= kRecentStatements &&
         recent.time_ms > recent.cost_ms * kSlowdown;
}

/// Returns the gain, as a factor, that shows that an endpoint takes `higher` as
/// well as `lower`. This holder's share of an overloaded endpoint grows with
/// its own statements, though nothing more gets done.
double GainRequired(uint32_t lower, uint32_t higher, uint32_t sharers) {
  double ideal = static_cast<double>(higher) / lower;
  double others = static_cast<double>(sharers - 1) * higher;
  double overloaded = ideal * (lower + others) / (higher + others);
  return overloaded + kGainRequired * (ideal - overloaded);
}

void EndTrial(ConcurrencyLimit* limit, bool changed, Time now) {
  limit->trial.reset();
  limit->at_limit = WorkDone();
  ++limit->period;
  limit->pause =
      changed ? kTrialPauseMin : std::min(limit->pause * 2, kTrialPauseMax);
  if (!changed) limit->lower_next = !limit->lower_next;
  limit->next_trial = now + limit->pause;
}

void SettleTrial(ConcurrencyLimit* limit, Time now) {
  const LimitTrial& trial = *limit->trial;
  double at_trial = Throughput(trial.limit, trial.done);
  double at_limit = Throughput(limit->limit, limit->at_limit);
  bool raises = trial.limit > limit->limit;
  uint32_t lower = std::min(trial.limit, limit->limit);
  uint32_t higher = std::max(trial.limit, limit->limit);
  double gain = raises ? at_trial / std::max(at_limit, 1e-9)
                       : at_limit / std::max(at_trial, 1e-9);
  bool higher_is_better = gain >= GainRequired(lower, higher, limit->sharers);
  bool changed = higher_is_better == raises;
  if (changed) limit->limit = trial.limit;
  EndTrial(limit, changed, now);
}

/// Returns the limit to try next; nullopt if there is no reason for a trial.
std::optional<uint32_t> NextTrial(const ConcurrencyLimit& limit,
                                  size_t waiting) {
  bool may_raise = limit.limit < limit.slots && waiting > 0;
  bool may_lower = limit.limit > 1 && Slowed(limit);
  if (may_lower && (limit.lower_next || !may_raise))
    return limit.limit - std::max<uint32_t>(1, limit.limit / kLowerPart);
  if (!may_raise) return std::nullopt;
  uint32_t step = std::max<uint32_t>(1, limit.limit / kRaisePart);
  return std::min(limit.slots, limit.limit + step);
}

/// Whether enough statements end within the time of a trial.
bool EndsInTime(const ConcurrencyLimit& limit, uint32_t tried) {
  const WorkDone& done = limit.at_limit;
  double mean_ms = done.time_ms / std::max<uint32_t>(done.count, 1);
  double trial_ms = mean_ms * Needed(limit) / tried;
  return trial_ms < static_cast<double>(kTrialTime.ms());
}

void BeginTrial(ConcurrencyLimit* limit, size_t waiting, Time now) {
  if (limit->at_limit.count < Needed(*limit) || now < limit->next_trial) return;
  std::optional<uint32_t> tried = NextTrial(*limit, waiting);
  if (!tried || !EndsInTime(*limit, *tried)) return;
  limit->trial = LimitTrial{*tried, now + kTrialTime, WorkDone()};
  ++limit->period;
}

}  // namespace

void SetSlots(ConcurrencyLimit* limit, uint32_t slots, uint32_t sharers) {
  slots = std::max<uint32_t>(1, slots);
  sharers = std::max<uint32_t>(1, sharers);
  if (slots == limit->slots && sharers == limit->sharers) return;
  bool learned = limit->limit < limit->slots;
  limit->limit = learned ? std::min(limit->limit, slots) : slots;
  limit->slots = slots;
  limit->sharers = sharers;
  limit->trial.reset();
  limit->at_limit = WorkDone();
  ++limit->period;
}

uint32_t AllowedUnderWay(const ConcurrencyLimit& limit) {
  return limit.trial ? limit.trial->limit : limit.limit;
}

double SlowdownOf(const ConcurrencyLimit& limit) {
  const WorkDone& newest = limit.newest;
  if (newest.count < kNewestStatements || newest.cost_ms <= 0) return 1;
  return std::max(1.0, newest.time_ms / newest.cost_ms);
}

WorkStart NoteStart(const ConcurrencyLimit& limit, size_t under_way, Time now) {
  return WorkStart{now, limit.period, under_way == AllowedUnderWay(limit)};
}

void NoteEnd(ConcurrencyLimit* limit, const WorkStart& start, WorkKind kind,
             bool refused, size_t waiting, Time now) {
  double took_ms =
      static_cast<double>(std::max<int64_t>((now - start.at).ms(), 1));
  if (!refused) RecordServiceTime(&limit->costs, kind, now - start.at, now);
  double cost_ms = CostOf(limit->costs, kind);
  if (cost_ms == 0) return;
  // A refused statement takes at least another attempt.
  double time_ms = refused ? std::max(took_ms, cost_ms) : took_ms;
  double done_ms = refused ? 0 : cost_ms;
  Decay(&limit->recent, kRecentWeight);
  Add(&limit->recent, done_ms, time_ms);
  Decay(&limit->newest, kNewestWeight);
  Add(&limit->newest, done_ms, time_ms);
  NoteTime(limit, now);
  if (!start.at_limit || start.period != limit->period) return;
  if (limit->trial) {
    Add(&limit->trial->done, done_ms, time_ms);
    if (limit->trial->done.count >= Needed(*limit)) SettleTrial(limit, now);
    return;
  }
  if (limit->at_limit.count >= 2 * Needed(*limit)) {
    limit->at_limit.cost_ms /= 2;
    limit->at_limit.time_ms /= 2;
    limit->at_limit.count /= 2;
  }
  Add(&limit->at_limit, done_ms, time_ms);
  BeginTrial(limit, waiting, now);
}

void NoteTime(ConcurrencyLimit* limit, Time now) {
  if (limit->trial && now >= limit->trial->ends) EndTrial(limit, false, now);
}

}  // namespace cardamomchute
