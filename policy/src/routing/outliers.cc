#include "cardamomchute/policy/routing/outliers.h"

#include <algorithm>

namespace cardamomchute {
namespace {

/// Attempts that a decaying share covers.
constexpr double kShareAttempts = 20;
/// Attempts needed before an endpoint is judged.
constexpr double kMinAttempts = 5;
/// Share of failed attempts that is too much, and that the others' share must
/// be below a part of.
constexpr double kTroubleShare = 0.3;
constexpr double kTroubleFactor = 3;
/// Endpoints with service times within this factor count as equal.
constexpr double kEqualWithin = 1.6;
/// An endpoint that is slower by this factor is set aside.
constexpr double kMuchSlower = 8;
/// Service times are compared this long after the endpoint's last answer: who
/// gets few reads for being slow must be tried again soon.
constexpr Duration kTimesValid = Seconds(2);
/// Answers of one kind before its mean is compared.
constexpr uint32_t kMinTimes = 4;
/// Weight of the newest answer in the mean time of a kind.
constexpr double kTimeWeight = 0.2;
/// An endpoint that was good for this long begins with the shortest pause.
constexpr Duration kPauseForgotten = Seconds(30);

bool Fresh(const EndpointHealth& health, Time now) {
  return now - health.answered < kAnswersValid;
}

bool TimesFresh(const EndpointHealth& health, Time now) {
  return now - health.answered < kTimesValid;
}

double TroubleShare(const EndpointHealth& health) {
  return health.attempts == 0 ? 0 : health.troubles / health.attempts;
}

const KindTime* TimeOf(const EndpointHealth& health, WorkKind kind) {
  auto found =
      std::find_if(health.times.begin(), health.times.end(),
                   [kind](const KindTime& time) { return time.kind == kind; });
  bool known = found != health.times.end() && found->count >= kMinTimes;
  return known ? &*found : nullptr;
}

/// Beyond the first kinds, the one with the fewest answers is replaced.
KindTime* AddTimeOf(EndpointHealth* health, WorkKind kind) {
  std::vector<KindTime>& times = health->times;
  for (KindTime& time : times) {
    if (time.kind == kind) return &time;
  }
  if (times.size() < kMaxKindTimes) {
    times.push_back(KindTime{kind});
    return &times.back();
  }
  auto rarest = std::min_element(
      times.begin(), times.end(),
      [](const KindTime& a, const KindTime& b) { return a.count < b.count; });
  *rarest = KindTime{kind};
  return &*rarest;
}

void RecordTime(EndpointHealth* health, const Attempt& attempt) {
  KindTime* time = AddTimeOf(health, attempt.kind);
  double ms = static_cast<double>(std::max<int64_t>(attempt.service.ms(), 1));
  ++time->count;
  double weight = std::max(kTimeWeight, 1.0 / time->count);
  time->mean_ms += (ms - time->mean_ms) * weight;
}

/// Returns the lowest mean time of a kind among the endpoints in use.
double QuickestTime(const GroupHealth& group, WorkKind kind, Time now) {
  double quickest_ms = 0;
  for (const auto& [id, health] : group) {
    const KindTime* time = TimeOf(health, kind);
    if (time == nullptr || !TimesFresh(health, now)) continue;
    if (quickest_ms == 0 || time->mean_ms < quickest_ms)
      quickest_ms = time->mean_ms;
  }
  return quickest_ms;
}

/// Returns the share of failed attempts at the group's other endpoints.
double OthersTroubleShare(const GroupHealth& group, const EndpointId& endpoint,
                          Time now) {
  double attempts = 0;
  double troubles = 0;
  for (const auto& [id, health] : group) {
    if (id == endpoint || !Fresh(health, now)) continue;
    attempts += health.attempts;
    troubles += health.troubles;
  }
  return attempts == 0 ? 1 : troubles / attempts;
}

bool OtherInUse(const GroupHealth& group, const EndpointId& endpoint,
                Time now) {
  return std::any_of(group.begin(), group.end(), [&](const auto& item) {
    return item.first != endpoint && !item.second.aside_until &&
           Fresh(item.second, now);
  });
}

std::optional<AsideCause> Cause(const GroupHealth& group,
                                const EndpointId& endpoint,
                                const EndpointHealth& health, Time now) {
  if (health.attempts < kMinAttempts) return std::nullopt;
  double share = TroubleShare(health);
  bool troubles =
      share > kTroubleShare &&
      share > kTroubleFactor * OthersTroubleShare(group, endpoint, now);
  if (troubles) return AsideCause::kTroubles;
  if (SlownessOf(group, endpoint, now) >= kMuchSlower) return AsideCause::kSlow;
  return std::nullopt;
}

AsideChange Change(bool aside, AsideCause cause, const EndpointHealth& health,
                   double slowness) {
  return AsideChange{aside, cause, TroubleShare(health), slowness,
                     health.pause};
}

/// A slow endpoint still gets work done: its pause does not grow.
void BeginPause(EndpointHealth* health, bool slow, Time now) {
  health->pause =
      slow ? kAsideMin : std::clamp(health->pause * 2, kAsideMin, kAsideMax);
  health->aside_until = now + health->pause;
  health->probed.reset();
}

/// Whether the test statement took much longer than elsewhere.
bool SlowProbe(const GroupHealth& group, const Attempt& attempt, Time now) {
  double quickest_ms = QuickestTime(group, attempt.kind, now);
  double ms = static_cast<double>(attempt.service.ms());
  return quickest_ms > 0 && ms >= kMuchSlower * quickest_ms;
}

std::optional<AsideChange> JudgeProbe(const GroupHealth& group,
                                      EndpointHealth* health,
                                      const Attempt& attempt, Time now) {
  if (now < *health->aside_until) return std::nullopt;
  if (attempt.result == AttemptResult::kNeutral) {
    health->probed.reset();
    return std::nullopt;
  }
  bool good =
      attempt.result == AttemptResult::kDone && !SlowProbe(group, attempt, now);
  if (!good) {
    BeginPause(health, attempt.result == AttemptResult::kDone, now);
    return std::nullopt;
  }
  health->aside_until.reset();
  health->probed.reset();
  health->attempts = health->troubles = 0;
  health->times.clear();
  return Change(false, AsideCause::kTroubles, *health, 1);
}

}  // namespace

std::string_view ToString(AsideCause cause) {
  return cause == AsideCause::kSlow ? "slow" : "troubles";
}

double SlownessOf(const GroupHealth& group, const EndpointId& endpoint,
                  Time now) {
  auto found = group.find(endpoint);
  if (found == group.end() || !TimesFresh(found->second, now)) return 1;
  double took_ms = 0;
  double quickest_ms = 0;
  for (const KindTime& time : found->second.times) {
    if (time.count < kMinTimes) continue;
    double weight = std::min<uint32_t>(time.count, 16);
    took_ms += weight * time.mean_ms;
    quickest_ms += weight * QuickestTime(group, time.kind, now);
  }
  if (quickest_ms == 0) return 1;
  double slowness = took_ms / quickest_ms;
  return slowness < kEqualWithin ? 1 : slowness;
}

Duration QuickestService(const GroupHealth& group, Time now) {
  double lowest_ms = 0;
  for (const auto& [id, health] : group) {
    if (!Fresh(health, now)) continue;
    double sum_ms = 0;
    double count = 0;
    for (const KindTime& time : health.times) {
      sum_ms += time.mean_ms * time.count;
      count += time.count;
    }
    if (count == 0) continue;
    double mean_ms = sum_ms / count;
    if (lowest_ms == 0 || mean_ms < lowest_ms) lowest_ms = mean_ms;
  }
  return Millis(static_cast<int64_t>(lowest_ms));
}

bool SetAside(const EndpointHealth& health, Time now) {
  if (!health.aside_until) return false;
  if (now < *health.aside_until) return true;
  return health.probed && now - *health.probed < kProbeTimeout;
}

void NoteSent(GroupHealth* group, const EndpointId& endpoint, Time now) {
  EndpointHealth& health = (*group)[endpoint];
  if (health.aside_until && now >= *health.aside_until) health.probed = now;
}

std::optional<AsideChange> NoteAttempt(GroupHealth* group,
                                       const EndpointId& endpoint,
                                       const Attempt& attempt, Time now) {
  EndpointHealth& health = (*group)[endpoint];
  if (health.aside_until) return JudgeProbe(*group, &health, attempt, now);
  if (attempt.result == AttemptResult::kNeutral) return std::nullopt;
  if (now - health.answered > kPauseForgotten) health.pause = Duration();
  if (!Fresh(health, now)) {
    health.attempts = health.troubles = 0;
    health.times.clear();
  }
  health.answered = now;
  bool done = attempt.result == AttemptResult::kDone;
  double kept = 1 - 1 / kShareAttempts;
  health.attempts = health.attempts * kept + 1;
  health.troubles = health.troubles * kept + (done ? 0 : 1);
  if (done) RecordTime(&health, attempt);
  if (!OtherInUse(*group, endpoint, now)) return std::nullopt;
  std::optional<AsideCause> cause = Cause(*group, endpoint, health, now);
  if (!cause) return std::nullopt;
  double slowness = SlownessOf(*group, endpoint, now);
  BeginPause(&health, *cause == AsideCause::kSlow, now);
  return Change(true, *cause, health, slowness);
}

}  // namespace cardamomchute
