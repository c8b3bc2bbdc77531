/// What all callers of one VM may hold together: memory for what they sent and
/// have not read, and descriptors for their connections. Callers beyond it are
/// closed, those first that cost others most. Pure functions without I/O.
#ifndef CARDAMOMCHUTE_POLICY_ADMISSION_SESSION_LIMITS_H_
#define CARDAMOMCHUTE_POLICY_ADMISSION_SESSION_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cardamomchute/base/time.h"

namespace cardamomchute {

struct SessionLimits {
  size_t sessions = 10'000;
  /// Of all sessions: messages, values, prepared statements, unread answers.
  size_t session_bytes = 256 * 1024 * 1024;
  /// Of statements that wait at this VM for an endpoint, from all VMs.
  size_t waiting_bytes = 256 * 1024 * 1024;
  Duration hello = Seconds(10);    ///< from the connection to the hello message
  Duration message = Seconds(60);  ///< without progress within a message
};

/// Returns the limits of a VM with `memory_bytes` and `descriptors`; 0: not
/// known, the default stands.
SessionLimits LimitsOf(size_t memory_bytes, size_t descriptors);

/// How far a session has come; those that come first are closed first.
enum class SessionStage : uint8_t {
  kConnected,  ///< has not said hello
  kGreeted,    ///< has not asked anything
  kIdle,
  kBusy  ///< a statement or a transaction is under way
};

struct SessionUse {
  uint64_t number = 0;
  SessionStage stage = SessionStage::kConnected;
  Time last_use;
  size_t bytes = 0;
};

/// Returns the session to close when there are too many: the earliest stage,
/// and in it the longest unused. Nothing if all are busy.
std::optional<uint64_t> LeastNeeded(const std::vector<SessionUse>& sessions);

/// Returns the session to close when the memory is used up: the one that holds
/// most.
std::optional<uint64_t> LargestOf(const std::vector<SessionUse>& sessions);

/// A session that has begun something: a connection or a message.
struct SessionProgress {
  bool greeted = false;
  bool message_begun = false;  ///< some bytes of it have come, not all
  bool answer_unread = false;  ///< the connection takes no more of an answer
  Time last_progress;
};

/// Whether the caller has stopped half-way for longer than is allowed.
bool Stalled(const SessionProgress& session, const SessionLimits& limits,
             Time now);

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_POLICY_ADMISSION_SESSION_LIMITS_H_
