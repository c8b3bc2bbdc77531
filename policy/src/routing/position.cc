#include "cardamomchute/policy/routing/position.h"

#include <algorithm>

namespace cardamomchute {
namespace {

/// Returns the position of a pending read, if the samples determine it.
std::optional<Floor> ResolvePosition(const PendingFloor& pending,
                                     const EndpointId& primary, Term in_force,
                                     const TermEnds& ends,
                                     const HistoryOf& history_of) {
  const PositionHistory* of_primary = history_of(primary);
  if (pending.member.empty()) {
    return of_primary ? of_primary->FirstPositionSince(pending.since)
                      : std::nullopt;
  }
  if (pending.by_primary && pending.term < in_force) {
    TermEnds::const_iterator end = ends.find(pending.term);
    if (end == ends.end()) return Floor{pending.term, kUnknownPosition};
    const std::optional<Time>& unresolved = end->second.unresolved_since;
    bool unknown = unresolved && *unresolved <= pending.since;
    return Floor{pending.term,
                 unknown ? kUnknownPosition : end->second.last_known};
  }
  const PositionHistory* own = history_of(pending.member);
  std::optional<Floor> place;
  if (own != nullptr) place = own->FirstPositionSince(pending.since);
  if (place) return place;
  if (pending.term < in_force) return std::nullopt;
  return of_primary ? of_primary->FirstPositionSince(pending.since)
                    : std::nullopt;
}

}  // namespace

void PositionHistory::Add(const PositionSample& sample) {
  if (!samples_.empty()) {
    const PositionSample& last = samples_.back();
    if (sample.asked < last.asked || sample.at < last.at) return;
    if (sample.asked == last.asked && sample.at == last.at) return;
  }
  samples_.push_back(sample);
  if (samples_.size() >= 3) {
    std::deque<PositionSample>::iterator middle = samples_.end() - 2;
    std::deque<PositionSample>::iterator before = samples_.end() - 3;
    if (sample.asked - before->asked < kPositionSampleSpacing) {
      samples_.erase(middle);
    }
  }
  if (samples_.size() > kMaxPositionSamples) samples_.pop_front();
}

std::optional<Floor> PositionHistory::FirstPositionSince(Time time) const {
  auto found = std::lower_bound(
      samples_.begin(), samples_.end(), time,
      [](const PositionSample& s, Time t) { return s.asked < t; });
  if (found == samples_.end()) return std::nullopt;
  return found->at;
}

std::optional<Time> PositionHistory::CaughtUpUntil(
    const Floor& replayed) const {
  auto past = std::upper_bound(
      samples_.begin(), samples_.end(), replayed,
      [](const Floor& f, const PositionSample& s) { return f < s.at; });
  if (past == samples_.begin()) return std::nullopt;
  return std::prev(past)->asked;
}

std::optional<Time> PositionHistory::FirstTimePast(
    const Floor& replayed) const {
  auto past = std::upper_bound(
      samples_.begin(), samples_.end(), replayed,
      [](const Floor& f, const PositionSample& s) { return f < s.at; });
  if (past == samples_.end()) return std::nullopt;
  return past->asked;
}

std::optional<Time> PositionHistory::FirstTimeAt(const Floor& floor) const {
  auto found = std::lower_bound(
      samples_.begin(), samples_.end(), floor,
      [](const PositionSample& s, const Floor& f) { return s.at < f; });
  if (found == samples_.end()) return std::nullopt;
  return found->asked;
}

std::optional<PositionSample> PositionHistory::Latest() const {
  if (samples_.empty()) return std::nullopt;
  return samples_.back();
}

void RaiseFloor(SessionFloor* session, const Floor& floor) {
  session->known = std::max(session->known, floor);
}

void RecordArrival(SessionFloor* session, Time now) {
  PendingFloor arrival;
  arrival.since = now;
  session->pending.push_back(arrival);
}

void RecordRead(SessionFloor* session, const EndpointId& member, Term term,
                bool by_primary, Time ended) {
  for (PendingFloor& pending : session->pending) {
    if (pending.member != member || pending.term != term) continue;
    pending.since = std::max(pending.since, ended);
    return;
  }
  session->pending.push_back(PendingFloor{member, term, ended, by_primary});
}

void ResolveFloor(SessionFloor* session, const EndpointId& primary,
                  Term in_force, const TermEnds& ends,
                  const HistoryOf& history_of) {
  // Positions of earlier terms are resolved first. One that is lost must be
  // reported, not masked by a position of the current term.
  for (bool earlier : {true, false}) {
    std::vector<PendingFloor> left;
    for (const PendingFloor& pending : session->pending) {
      std::optional<Floor> place =
          ResolvePosition(pending, primary, in_force, ends, history_of);
      if (place && (place->term < in_force) == earlier) {
        RaiseFloor(session, *place);
      } else {
        left.push_back(pending);
      }
    }
    session->pending = std::move(left);
    if (CheckFloor(session->known, in_force, ends) !=
        FloorVerdict::kContained) {
      return;
    }
  }
}

FloorVerdict CheckFloor(const Floor& floor, Term in_force,
                        const TermEnds& ends) {
  if (floor == Floor{}) return FloorVerdict::kContained;
  if (floor.term == in_force) return FloorVerdict::kContained;
  if (floor.term > in_force) return FloorVerdict::kUnknownTerm;
  TermEnds::const_iterator end = ends.find(floor.term);
  if (end == ends.end()) return FloorVerdict::kLost;
  return floor.position <= end->second.end ? FloorVerdict::kContained
                                           : FloorVerdict::kLost;
}

}  // namespace cardamomchute
