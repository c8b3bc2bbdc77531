#include "cardamomchute/policy/routing/endpoint_revival.h"

namespace cardamomchute {
namespace {

/// Whether Merge would not take `announced` as it stands: `known`, of the same
/// endpoint, says that its process has ended, or is ahead of it.
bool Contradicts(const EndpointRecord& announced, const EndpointRecord& known) {
  if (announced.gone) return false;
  if (!SameProcess(announced, known)) return !Newer(announced, known);
  return known.gone ? announced.sequence > known.sequence
                    : announced.sequence < known.sequence;
}

/// Returns whether the series of `announced` has gone on for long enough.
bool NoteAnnouncement(RevivalEvidence* evidence,
                      const EndpointRecord& announced, Time now) {
  ContradictingSeries begun{announced.started_ms, announced.sequence, now, now};
  auto [found, is_new] = evidence->series.try_emplace(announced.id, begun);
  ContradictingSeries& series = found->second;
  bool continues = !is_new && series.started_ms == announced.started_ms &&
                   now - series.last <= kMaxAnnouncementGap;
  if (!continues) {
    series = begun;
    return false;
  }
  if (announced.sequence <= series.sequence) return false;
  series.sequence = announced.sequence;
  series.last = now;
  return now - series.first >= kRevivalTime;
}

}  // namespace

std::vector<EndpointRecord> FindRevived(
    RevivalEvidence* evidence, const Directory& directory,
    const std::vector<EndpointRecord>& announced, Time now) {
  std::vector<EndpointRecord> revived;
  for (const EndpointRecord& record : announced) {
    auto known = directory.endpoints.find(record.id);
    if (known == directory.endpoints.end()) continue;
    if (!Contradicts(record, known->second)) {
      bool goes_on = !record.gone && Newer(record, known->second);
      if (goes_on) evidence->series.erase(record.id);
      continue;
    }
    if (!NoteAnnouncement(evidence, record, now)) continue;
    evidence->series.erase(record.id);
    revived.push_back(record);
    revived.back().revivals = known->second.revivals + 1;
  }
  return revived;
}

void ExpireEvidence(RevivalEvidence* evidence, Time now) {
  std::erase_if(evidence->series, [now](const auto& item) {
    return now - item.second.last > kMaxAnnouncementGap;
  });
}

}  // namespace cardamomchute
