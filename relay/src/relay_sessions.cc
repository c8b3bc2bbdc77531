/// What a relay's callers hold together, and who is closed when it is too much.
#include "cardamomchute/base/log.h"
#include "cardamomchute/relay/relay.h"
#include "relayed_session.h"

namespace cardamomchute {

std::vector<SessionUse> Relay::SessionUses() const {
  std::vector<SessionUse> uses;
  uses.reserve(sessions_.size());
  for (const std::shared_ptr<RelayedSession>& session : sessions_)
    uses.push_back(session->Use());
  return uses;
}

void Relay::NoteHeld(size_t before, size_t now) {
  session_bytes_ = session_bytes_ + now - before;
  while (now > before && session_bytes_ > params_.limits.session_bytes) {
    std::optional<uint64_t> largest = LargestOf(SessionUses());
    if (!largest) return;
    CloseSession(*largest, "memory");
  }
}

void Relay::CloseSession(uint64_t number, const std::string& cause) {
  for (const std::shared_ptr<RelayedSession>& session : sessions_) {
    if (session->Use().number != number) continue;
    NoteClosed(cause);
    // Closing removes it from `sessions_`.
    return session->shared_from_this()->Close();
  }
}

void Relay::NoteClosed(const std::string& cause) {
  ++closed_for_cause_[cause];
  metrics_.CountClosedSession(cause);
}

void Relay::LogClosed() {
  for (const auto& [cause, count] : closed_for_cause_) {
    LogLine(LogLevel::kWarn, "sessions_closed")
        .Field("cause", cause)
        .Field("count", count)
        .Field("sessions", sessions_.size())
        .Field("session_bytes", session_bytes_);
  }
  closed_for_cause_.clear();
}

}  // namespace cardamomchute
