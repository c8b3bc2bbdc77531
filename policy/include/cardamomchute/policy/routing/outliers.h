/// Which endpoints of a group a relay sets aside for reads, by the answers that
/// it got itself. Pure functions without I/O.
///
/// An endpoint is set aside that fails, refuses or stays silent far more than
/// its group's others, or is much slower at the same kinds of work. Once its
/// pause is over it gets single statements: a good answer ends the pause, a bad
/// one begins a longer one. The last endpoint in use is never set aside.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_OUTLIERS_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_OUTLIERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"
#include "cardamomchute/policy/routing/work_costs.h"

namespace cardamomchute {

inline constexpr Duration kAsideMin = Seconds(1);
inline constexpr Duration kAsideMax = Seconds(8);
/// What an endpoint answered longer ago than this says nothing of it.
inline constexpr Duration kAnswersValid = Seconds(5);
/// A statement that tests an endpoint is taken as lost after this long.
inline constexpr Duration kProbeTimeout = Seconds(2);

/// How an attempt at an endpoint ended.
enum class AttemptResult : uint8_t {
  kDone,
  kRefused,  ///< the endpoint had no capacity
  kFailed,   ///< an error, a reset, or no connection
  kSilent,   ///< no answer in time
  kNeutral   ///< says nothing of the endpoint's health
};

/// A finished attempt, as this relay saw it.
struct Attempt {
  AttemptResult result = AttemptResult::kNeutral;
  WorkKind kind;
  Duration service;  ///< time at the endpoint, with the way there
};

enum class AsideCause : uint8_t { kTroubles, kSlow };
std::string_view ToString(AsideCause cause);

/// Decaying mean service time of one kind of work.
struct KindTime {
  WorkKind kind;
  double mean_ms = 0;
  uint32_t count = 0;
};

inline constexpr size_t kMaxKindTimes = 8;

struct EndpointHealth {
  double attempts = 0;  ///< decaying
  double troubles = 0;  ///< those of `attempts` that failed
  std::vector<KindTime> times;
  Time answered;  ///< the last attempt's end
  std::optional<Time>
      aside_until;  ///< set aside; after this time, on probation
  Duration pause;
  std::optional<Time> probed;  ///< when a test statement was sent
};

using GroupHealth = std::map<EndpointId, EndpointHealth>;

/// Change of an endpoint's state, for the log.
struct AsideChange {
  bool aside = false;  ///< false: returned
  AsideCause cause = AsideCause::kTroubles;
  double trouble_share = 0;
  double slowness = 1;
  Duration pause;
};

/// Returns how many times longer than at the group's quickest endpoint the same
/// work takes; 1 if that is not known, or the difference is small.
double SlownessOf(const GroupHealth& group, const EndpointId& endpoint,
                  Time now);
/// Returns the mean service time at the group's quickest endpoint; 0 if it is
/// not known.
Duration QuickestService(const GroupHealth& group, Time now);
/// Returns whether the endpoint gets no reads while the group has others.
bool SetAside(const EndpointHealth& health, Time now);
/// Notes that a statement is sent to the endpoint.
void NoteSent(GroupHealth* group, const EndpointId& endpoint, Time now);
/// Notes the end of an attempt. Returns the change that follows, if any.
std::optional<AsideChange> NoteAttempt(GroupHealth* group,
                                       const EndpointId& endpoint,
                                       const Attempt& attempt, Time now);
/// Forgets endpoints that `is_member` does not name.
template <typename Predicate>
void KeepMembers(GroupHealth* group, const Predicate& is_member) {
  std::erase_if(*group,
                [&](const auto& item) { return !is_member(item.first); });
}

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_OUTLIERS_H_
