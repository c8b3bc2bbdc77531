/// Log positions of a group's members over time, and the minimum positions
/// (floors) that a session's reads must include.
#ifndef CARDAMOMCHUTE_POLICY_ROUTING_POSITION_H_
#define CARDAMOMCHUTE_POLICY_ROUTING_POSITION_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Samples kept per member; the oldest are dropped first.
inline constexpr size_t kMaxPositionSamples = 4096;
/// Minimum spacing of stored samples; denser ones are thinned out.
inline constexpr Duration kPositionSampleSpacing = Millis(5);

/// A member's position at some moment at or after `asked`.
struct PositionSample {
  Time asked;
  Floor at;
};

/// Position samples of one member, increasing in time and in position. Samples
/// out of order are dropped, which only makes the answers more conservative.
class PositionHistory {
 public:
  void Add(const PositionSample& sample);
  void Clear() { samples_.clear(); }
  /// Returns the position of the first sample asked for at or after `time`.
  std::optional<Floor> FirstPositionSince(Time time) const;
  /// Returns the latest time up to which a replica at `replayed` has all data
  /// of this member, or nothing if all samples are past `replayed`.
  std::optional<Time> CaughtUpUntil(const Floor& replayed) const;
  /// Returns when this member was first seen past `replayed`.
  std::optional<Time> FirstTimePast(const Floor& replayed) const;
  /// Returns when this member was first seen at or past `floor`.
  std::optional<Time> FirstTimeAt(const Floor& floor) const;
  std::optional<PositionSample> Latest() const;

 private:
  std::deque<PositionSample> samples_;
};

/// A read whose log position is not known yet. The position of the first
/// sample of `member` asked for at or after `since` is an upper bound. An empty
/// member stands for the start of a session, which is resolved by the samples
/// of the current primary.
struct PendingFloor {
  EndpointId member;
  Term term;
  Time since;
  bool by_primary = false;
};

/// The minimum position that a session's reads must include.
struct SessionFloor {
  Floor known;
  std::vector<PendingFloor> pending;
};

/// End of a term, as recorded by the VM that replaced its primary.
struct TermEnd {
  /// Start of the next term's log; later positions of this term are lost.
  Position end;
  /// Last known position of its primary.
  Position last_known;
  /// Start of the first write whose outcome is unknown.
  std::optional<Time> unresolved_since;
};

using TermEnds = std::map<Term, TermEnd>;

/// Placeholder for a position that was not observed; sorts after all others.
inline constexpr Position kUnknownPosition = Position(UINT64_MAX);

void RaiseFloor(SessionFloor* session, const Floor& floor);
/// Adds the start of a session: its reads must include everything
/// acknowledged before `now`.
void RecordArrival(SessionFloor* session, Time now);
void RecordRead(SessionFloor* session, const EndpointId& member, Term term,
                bool by_primary, Time ended);

/// Returns a member's samples, or null if the group has no such member.
using HistoryOf = std::function<const PositionHistory*(const EndpointId&)>;

/// Resolves pending reads to known positions as far as the samples allow.
/// `in_force` is the current term.
void ResolveFloor(SessionFloor* session, const EndpointId& primary,
                  Term in_force, const TermEnds& ends,
                  const HistoryOf& history_of);

enum class FloorVerdict {
  kContained,   ///< the current term contains the position
  kLost,        ///< past the end of its term, or that end is unknown
  kUnknownTerm  ///< of a term that this VM does not know yet
};

FloorVerdict CheckFloor(const Floor& floor, Term in_force,
                        const TermEnds& ends);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ROUTING_POSITION_H_
