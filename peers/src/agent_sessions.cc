#include "agent_sessions.h"

namespace cardamomchute {
namespace {

bool IsEmpty(const ViewDelta& delta) {
  return !delta.document && delta.groups.empty() && delta.vms.empty();
}

}  // namespace

void AgentSessions::Add(std::shared_ptr<Link> link, const AgentHello& hello) {
  AgentSession session;
  session.link = link;
  session.vm = hello.vm;
  session.environment = hello.environment;
  session.sent = hello.known;
  sessions_[link.get()] = std::move(session);
}

void AgentSessions::Remove(const std::shared_ptr<Link>& link) {
  sessions_.erase(link.get());
}

bool AgentSessions::Contains(const std::shared_ptr<Link>& link) const {
  return sessions_.contains(link.get());
}

void AgentSessions::PushAll(const PushSource& source) {
  Cache cache;
  for (auto& [key, session] : sessions_) PushTo(session, source, cache);
}

void AgentSessions::Push(const std::shared_ptr<Link>& link,
                         const PushSource& source) {
  auto it = sessions_.find(link.get());
  if (it == sessions_.end()) return;
  Cache cache;
  PushTo(it->second, source, cache);
}

void AgentSessions::PushTo(AgentSession& session, const PushSource& source,
                           Cache& cache) {
  if (session.link->unsent_bytes() > kMaxPushBacklogBytes) return;
  PushView(session, source, cache);
  if (source.soft != nullptr) PushSoft(session, source, cache);
}

void AgentSessions::PushView(AgentSession& session, const PushSource& source,
                             Cache& cache) {
  Revision revision = source.state.revision;
  if (session.sent > revision) return;
  bool nothing_new = session.sent == revision || session.checked == revision;
  if (nothing_new && session.first_push_sent) return;
  DeltaKey key(session.environment, session.sent.value());
  auto [it, inserted] = cache.views.try_emplace(key);
  if (inserted) {
    ViewDelta delta =
        DeltaSince(source.state, session.environment, session.sent);
    it->second.empty = IsEmpty(delta);
    it->second.bytes = PackVariant(ControlMessage(ViewPush{std::move(delta)}));
  }
  session.checked = revision;
  if (it->second.empty && session.first_push_sent) return;
  session.link->Send(FrameType::kControl, it->second.bytes);
  session.sent = revision;
  session.first_push_sent = true;
}

void AgentSessions::PushSoft(AgentSession& session, const PushSource& source,
                             Cache& cache) {
  bool primed = session.soft_term == source.term;
  bool full = IsSettled(*source.soft, source.now);
  if (!primed || (full && !session.soft_full)) {
    auto [it, inserted] = cache.snapshots.try_emplace(session.environment);
    if (inserted) {
      it->second = PackVariant(ControlMessage(SoftPush{
          SoftSnapshot(*source.soft, session.environment, source.now)}));
    }
    session.link->Send(FrameType::kControl, it->second);
    session.soft_term = source.term;
    session.soft_full = full;
    session.soft_sent = source.soft->counter;
    return;
  }
  if (session.soft_sent == source.soft->counter) return;
  DeltaKey key(session.environment, session.soft_sent.value());
  auto [it, inserted] = cache.softs.try_emplace(key);
  if (inserted) {
    SoftDelta delta =
        SoftDeltaSince(*source.soft, session.environment, session.soft_sent);
    it->second.empty = delta.Empty();
    it->second.bytes = PackVariant(ControlMessage(SoftPush{std::move(delta)}));
  }
  if (!it->second.empty) {
    session.link->Send(FrameType::kControl, it->second.bytes);
  }
  session.soft_sent = source.soft->counter;
}

void AgentSessions::Close() {
  for (auto& [key, session] : sessions_) session.link->Close();
  sessions_.clear();
}

}  // namespace cardamomchute
