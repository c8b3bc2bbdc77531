/// Reads the log, the configuration and the progress of members.
#include "quorum_log.h"

#include <algorithm>

namespace cardamomchute {

size_t OffsetAfter(const QuorumState& state, LogIndex index) {
  return index.value() - state.snapshot.last_index.value();
}

bool CaughtUp(const QuorumState& state, const MemberId& id, Time now) {
  auto it = state.progress.find(id);
  if (it == state.progress.end()) return false;
  bool recent = now - it->second.last_answer < state.timing.election_min;
  return recent && it->second.match >= state.commit;
}

LogIndex LastIndex(const QuorumState& state) {
  return LogIndex(state.snapshot.last_index.value() + state.log.size());
}

std::optional<QuorumTerm> TermAt(const QuorumState& state, LogIndex index) {
  if (index == state.snapshot.last_index) return state.snapshot.last_term;
  if (index < state.snapshot.last_index) return std::nullopt;
  if (index > LastIndex(state)) return std::nullopt;
  return state.log[OffsetAfter(state, index) - 1].term;
}

bool IsVoter(const QuorumConfig& config, const MemberId& id) {
  auto it = config.members.find(id);
  return it != config.members.end() && it->second.voter;
}

size_t VoterCount(const QuorumConfig& config) {
  return static_cast<size_t>(
      std::count_if(config.members.begin(), config.members.end(),
                    [](const auto& item) { return item.second.voter; }));
}

}  // namespace cardamomchute
