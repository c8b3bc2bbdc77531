/// The agents connected to a control member, and the state sent to each.
#ifndef CARDAMOMCHUTE_PEERS_SRC_AGENT_SESSIONS_H_
#define CARDAMOMCHUTE_PEERS_SRC_AGENT_SESSIONS_H_

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "cardamomchute/peers/control_messages.h"
#include "cardamomchute/peers/link.h"

namespace cardamomchute {

/// An agent with more unsent bytes than this receives no pushes until it has
/// read some of them.
inline constexpr size_t kMaxPushBacklogBytes = 16 * 1024 * 1024;

struct AgentSession {
  std::shared_ptr<Link> link;
  VmId vm;
  Environment environment;
  Revision sent;
  Revision checked;              ///< no changes to send up to this revision
  bool first_push_sent = false;  ///< has received a push, possibly empty
  SoftCounter soft_sent;
  QuorumTerm soft_term;    ///< leader term that `soft_sent` belongs to
  bool soft_full = false;  ///< sent a snapshot of settled soft state
};

/// The state to push to agents; `soft` is null on followers.
struct PushSource {
  const ControlState& state;
  const SoftState* soft = nullptr;
  QuorumTerm term;
  Time now;
};

/// Pushes state changes to agents. Packs each delta once for all sessions at
/// the same revision.
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
