#include "cardamomchute/policy/admission/session_limits.h"

#include <algorithm>

namespace cardamomchute {
namespace {

/// Parts of a VM's memory. The rest is for the process itself, the layout, the
/// directory, links, and what the allocator holds back.
constexpr size_t kSessionBytesDivisor = 4;
constexpr size_t kWaitingBytesDivisor = 8;
/// Part of the descriptors for callers; the rest is for endpoints and VMs.
constexpr size_t kSessionPercent = 60;

}  // namespace

SessionLimits LimitsOf(size_t memory_bytes, size_t descriptors) {
  SessionLimits limits;
  if (memory_bytes > 0) {
    limits.session_bytes = memory_bytes / kSessionBytesDivisor;
    limits.waiting_bytes = memory_bytes / kWaitingBytesDivisor;
  }
  if (descriptors > 0)
    limits.sessions = std::max<size_t>(1, descriptors * kSessionPercent / 100);
  return limits;
}

std::optional<uint64_t> LeastNeeded(const std::vector<SessionUse>& sessions) {
  const SessionUse* least = nullptr;
  for (const SessionUse& session : sessions) {
    if (session.stage == SessionStage::kBusy) continue;
    bool earlier =
        least == nullptr || session.stage < least->stage ||
        (session.stage == least->stage && session.last_use < least->last_use);
    if (earlier) least = &session;
  }
  if (least == nullptr) return std::nullopt;
  return least->number;
}

std::optional<uint64_t> LargestOf(const std::vector<SessionUse>& sessions) {
  auto largest = std::max_element(sessions.begin(), sessions.end(),
                                  [](const SessionUse& a, const SessionUse& b) {
                                    return a.bytes < b.bytes;
                                  });
  if (largest == sessions.end()) return std::nullopt;
  return largest->number;
}

bool Stalled(const SessionProgress& session, const SessionLimits& limits,
             Time now) {
  Duration still = now - session.last_progress;
  if (!session.greeted) return still > limits.hello;
  bool half_way = session.message_begun || session.answer_unread;
  return half_way && still > limits.message;
}

}  // namespace cardamomchute
