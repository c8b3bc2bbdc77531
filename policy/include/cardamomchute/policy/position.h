/// Positions of a group's members over time, and the floors of its sessions.
#ifndef CARDAMOMCHUTE_POLICY_POSITION_H_
#define CARDAMOMCHUTE_POLICY_POSITION_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "cardamomchute/base/ids.h"
#include "cardamomchute/base/time.h"

namespace cardamomchute {

/// Samples kept of one member; the oldest go first.
inline constexpr size_t kMaxPositionSamples = 4096;
/// Samples closer together than this replace one another's place.
inline constexpr Duration kPositionSampleSpacing = Millis(5);

/// Where a member was at some moment at or after `asked`.
struct PositionSample {
  Time asked;
  Floor at;
};

/// Grows in time and in position; samples that don't are left out, which
/// only makes what is read from it more careful.
class PositionHistory {
 public:
  void Add(const PositionSample& sample);
  void Clear() { samples_.clear(); }
  /// The first sample asked for at or after `time`.
  std::optional<Floor> FirstPositionSince(Time time) const;
  /// When a member at `replayed` had all there was; nothing: it never had.
  std::optional<Time> CaughtUpUntil(const Floor& replayed) const;
  /// When this member was first seen past `replayed`.
  std::optional<Time> FirstTimePast(const Floor& replayed) const;
  /// When this member was first seen at or past `floor`.
  std::optional<Time> FirstTimeAt(const Floor& floor) const;
  std::optional<PositionSample> Latest() const;

 private:
  std::deque<PositionSample> samples_;
};

/// A read whose place in the log is not known yet: no later than the first
/// sample of `member` asked for at or after `since`. Without a member: the
/// arrival of a session, which is placed by whoever is the primary.
struct PendingFloor {
  EndpointId member;
  Term term;
  Time since;
  bool by_primary = false;
};

/// What a session may not go back behind.
struct SessionFloor {
  Floor known;
  std::vector<PendingFloor> pending;
};

/// How a term ended, as the VM that replaced its primary recorded it.
struct TermEnd {
  /// Where the next term's log begins; later positions of the term are lost.
  Position end;
  /// The last position its primary was known to be at.
  Position last_known;
  /// When the first write began whose outcome stayed unknown.
  std::optional<Time> unresolved_since;
};

using TermEnds = std::map<Term, TermEnd>;

/// Stands for a position that was never learned.
inline constexpr Position kUnknownPosition = Position(UINT64_MAX);

void RaiseFloor(SessionFloor* session, const Floor& floor);
/// A session's arrival: nothing acknowledged before `now` may be missed.
void RecordArrival(SessionFloor* session, Time now);
void RecordRead(SessionFloor* session, const EndpointId& member, Term term,
                bool by_primary, Time ended);

/// Finds a member's samples; null when the group has no such member.
using HistoryOf = std::function<const PositionHistory*(const EndpointId&)>;

/// Turns pending places into known ones as far as samples allow.
void ResolveFloor(SessionFloor* session, const EndpointId& primary,
                  Term in_force, const TermEnds& ends,
                  const HistoryOf& history_of);

enum class FloorVerdict {
  kContained,   ///< the term in force contains it
  kLost,        ///< beyond where its term ended, or nobody knows where that was
  kUnknownTerm  ///< of a term this VM has not heard of
};

FloorVerdict CheckFloor(const Floor& floor, Term in_force,
                        const TermEnds& ends);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_POSITION_H_
