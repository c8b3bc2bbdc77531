/// The agents connected to one control member, and what each has been sent.
#ifndef CARDAMOMCHUTE_PEERS_SRC_AGENT_SESSIONS_H_
#define CARDAMOMCHUTE_PEERS_SRC_AGENT_SESSIONS_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "cardamomchute/peers/control_messages.h"
#include "cardamomchute/peers/link.h"

namespace cardamomchute {

/// An agent with more unsent bytes than this gets no pushes until it reads.
inline constexpr size_t kMaxPushBacklogBytes = 16 * 1024 * 1024;

struct AgentSession {
  std::shared_ptr<Link> link;
  VmId vm;
  Environment environment;
  Revision sent;
  Revision checked;      ///< nothing was to be sent up to this one
  bool first_push_sent = false;  ///< has had one push, be it empty
  SoftCounter soft_sent;
  QuorumTerm soft_term;  ///< whose counter `soft_sent` is
  bool soft_full = false;
};

/// What is there to be pushed; `soft` is null on followers.
struct PushSource {
  const ControlState& state;
  const SoftState* soft = nullptr;
  QuorumTerm term;
  Time now;
};

/// Packs each delta once for all sessions that stand at the same revision.
class AgentSessions {
 public:
  void Add(std::shared_ptr<Link> link, const AgentHello& hello);
  void Remove(const std::shared_ptr<Link>& link);
  bool Contains(const std::shared_ptr<Link>& link) const;
  size_t size() const { return sessions_.size(); }

  void PushAll(const PushSource& source);
  void Push(const std::shared_ptr<Link>& link, const PushSource& source);
  void Close();

 private:
  using DeltaKey = std::pair<Environment, uint64_t>;
  struct Packed {
    std::string bytes;
    bool empty = false;
  };
  struct Cache {
    std::map<DeltaKey, Packed> views;
    std::map<DeltaKey, Packed> softs;
    std::map<Environment, std::string> snapshots;
  };

  static void PushTo(AgentSession& session, const PushSource& source,
                     Cache& cache);
  static void PushView(AgentSession& session, const PushSource& source,
                       Cache& cache);
  static void PushSoft(AgentSession& session, const PushSource& source,
                       Cache& cache);

  std::map<Link*, AgentSession> sessions_;
};

}  // namespace cardamomchute

#endif  // CARDAMOMCHUTE_PEERS_SRC_AGENT_SESSIONS_H_
