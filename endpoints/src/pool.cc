#include "pool.h"

#include <algorithm>

#include "cardamomchute/base/log.h"
#include "cardamomchute/pgwire/message.h"

namespace cardamomchute {
namespace {

constexpr Duration kConnectTimeout = Millis(3000);
constexpr Duration kFirstBackOff = Millis(50);
constexpr Duration kMaxBackOff = Millis(2000);
/// Idle time after which a connection is checked for liveness.
constexpr Duration kIdleCheckAfter = Millis(1500);
/// An idle connection that does not answer its check in time counts as silent
/// and is closed.
constexpr Duration kIdleCheckTimeout = Millis(750);
/// Connections kept ready at a member beyond its slots.
constexpr size_t kSpareConnections = 2;
/// Connections reserved for probes and administrative SQL, in addition to one
/// per member.
constexpr size_t kReservedConnections = 1;

/// Ranks a ready connection for a session: a higher score means less setup.
int FitScore(const PooledConnection& connection, const std::string& session,
             uint64_t setup_hash) {
  bool same_setup = connection.setup_hash == setup_hash;
  if (same_setup && connection.last_session == session) return 3;
  if (same_setup && !connection.dirty) return 2;
  return connection.dirty ? 0 : 1;
}

bool Ready(const PooledConnection& connection) {
  return !connection.busy && !connection.tainted && !connection.checking;
}

}  // namespace

Pool::Pool(boost::asio::io_context& io, GroupId group, PoolHooks hooks)
    : io_(io),
      group_(std::move(group)),
      hooks_(std::move(hooks)),
      random_(std::random_device{}()) {}

void Pool::SetSpec(const GroupSpec& spec) { spec_ = spec; }

void Pool::SetMembers(const std::map<EndpointId, EndpointState>& members) {
  for (auto& [id, member] : members_) {
    auto found = members.find(id);
    member.gone = found == members.end();
    bool moved = !member.gone && found->second.address != member.state.address;
    if (!member.gone) member.state = found->second;
    if (!member.gone && !moved) continue;
    std::vector<PooledPtr> connections = member.connections;
    for (const PooledPtr& connection : connections) {
      connection->tainted = true;
      if (!connection->busy) Close(&member, connection);
    }
  }
  for (const auto& [id, state] : members) {
    members_.try_emplace(id).first->second.state = state;
  }
}

size_t Pool::Budget() const {
  size_t reserved = members_.size() + kReservedConnections;
  return spec_.connections > reserved ? spec_.connections - reserved : 1;
}

size_t Pool::WantedAt(const Member& member) const {
  if (member.gone || member.state.leaving) return 0;
  size_t live =
      std::max<size_t>(1, static_cast<size_t>(std::count_if(
                              members_.begin(), members_.end(),
                              [](const auto& m) { return !m.second.gone; })));
  size_t fair = std::max<size_t>(1, Budget() / live);
  return std::min<size_t>(fair, spec_.slots + kSpareConnections);
}

size_t Pool::CountBusy(const Member& member) {
  return static_cast<size_t>(
      std::count_if(member.connections.begin(), member.connections.end(),
                    [](const PooledPtr& c) { return c->busy; }));
}

size_t Pool::total() const {
  size_t sum = 0;
  for (const auto& [id, member] : members_) {
    sum += member.connections.size() + member.opening + member.closing;
  }
  return sum;
}

size_t Pool::BusyAt(const EndpointId& endpoint) const {
  auto found = members_.find(endpoint);
  return found == members_.end() ? 0 : CountBusy(found->second);
}

size_t Pool::FreeSlots(const EndpointId& endpoint) const {
  auto found = members_.find(endpoint);
  if (found == members_.end()) return 0;
  const Member& member = found->second;
  if (member.gone || member.state.leaving) return 0;
  size_t busy = CountBusy(member);
  if (busy >= spec_.slots) return 0;
  size_t ready = static_cast<size_t>(
      std::count_if(member.connections.begin(), member.connections.end(),
                    [](const PooledPtr& c) { return Ready(*c); }));
  return std::min<size_t>(spec_.slots - busy, ready);
}

std::optional<Time> Pool::LastSilentAt(const EndpointId& endpoint) const {
  auto found = members_.find(endpoint);
  return found == members_.end() ? std::nullopt : found->second.silent_at;
}

void Pool::Tick(Time now) {
  if (stopped_) return;
  for (auto member = members_.begin(); member != members_.end();) {
    Member& m = member->second;
    CheckIdle(&m, now);
    size_t wanted = WantedAt(m);
    while (now >= m.retry_at && m.connections.size() + m.opening < wanted &&
           total() < Budget()) {
      Open(&m, now);
    }
    bool empty = m.connections.empty() && m.opening + m.closing == 0;
    member = m.gone && empty ? members_.erase(member) : std::next(member);
  }
}

void Pool::Open(Member* member, Time now) {
  PooledPtr connection = std::make_shared<PooledConnection>();
  connection->endpoint = member->state.id;
  connection->number = next_number_++;
  connection->last_answer = now;
  connection->wire = std::make_shared<EndpointConnection>(
      io_, EndpointLogin{member->state.address, spec_.user, spec_.database});
  ++member->opening;
  EndpointId endpoint = member->state.id;
  std::weak_ptr<PooledConnection> weak = connection;
  connection->wire->Open(
      kConnectTimeout,
      [self = shared_from_this(), endpoint, connection](const Status& status) {
        self->Opened(endpoint, connection, status);
      },
      [self = shared_from_this(), weak](const ConnectionLoss& loss) {
        PooledPtr lost = weak.lock();
        if (lost) self->Lost(lost, loss);
      });
}

void Pool::Opened(const EndpointId& endpoint, const PooledPtr& connection,
                  const Status& status) {
  auto found = members_.find(endpoint);
  if (found == members_.end()) return;
  Member& member = found->second;
  if (member.opening > 0) --member.opening;
  if (stopped_) return connection->wire->Close(nullptr);
  if (!status) {
    member.back_off = member.back_off == Duration()
                          ? kFirstBackOff
                          : std::min(member.back_off * 2, kMaxBackOff);
    std::uniform_int_distribution<int64_t> jitter(member.back_off.ms() / 2,
                                                  member.back_off.ms());
    member.retry_at = Now() + Millis(jitter(random_));
    LogLine(LogLevel::kInfo, "connection_failed")
        .Field("group", group_)
        .Field("endpoint", endpoint)
        .Field("reason", status.error().message);
    return;
  }
  member.back_off = Duration();
  member.connections.push_back(connection);
  LogLine(LogLevel::kInfo, "connection_opened")
      .Field("group", group_)
      .Field("endpoint", endpoint)
      .Field("connection", connection->number);
  if (member.gone) return Close(&member, connection);
  hooks_.on_ready(endpoint);
}

void Pool::Lost(const PooledPtr& connection, const ConnectionLoss& loss) {
  LogLine(LogLevel::kInfo, "connection_lost")
      .Field("group", group_)
      .Field("endpoint", connection->endpoint)
      .Field("connection", connection->number)
      .Field("reason", loss.reason);
  auto found = members_.find(connection->endpoint);
  if (found != members_.end()) {
    std::erase(found->second.connections, connection);
  }
  connection->tainted = true;
  VerifyIdleConnections(connection->endpoint);
  if (!connection->busy) return;
  connection->busy = false;
  hooks_.on_lost(connection, loss);
}

PooledPtr Pool::Acquire(const EndpointId& endpoint, const std::string& session,
                        uint64_t setup_hash) {
  if (FreeSlots(endpoint) == 0) return nullptr;
  PooledPtr best;
  int best_fit = -1;
  for (const PooledPtr& connection : members_.at(endpoint).connections) {
    if (!Ready(*connection)) continue;
    int fit = FitScore(*connection, session, setup_hash);
    bool fresher =
        best && fit == best_fit && connection->last_answer > best->last_answer;
    if (fit <= best_fit && !fresher) continue;
    best = connection;
    best_fit = fit;
  }
  if (best) best->busy = true;
  return best;
}

void Pool::Release(const PooledPtr& connection) {
  if (!connection->busy) return;
  connection->busy = false;
  connection->last_answer = Now();
  auto found = members_.find(connection->endpoint);
  if (found == members_.end()) return;
  bool leave = connection->tainted || found->second.gone ||
               found->second.state.leaving || stopped_;
  if (leave) Close(&found->second, connection);
}

void Pool::Discard(const PooledPtr& connection) {
  connection->busy = false;
  connection->tainted = true;
  auto found = members_.find(connection->endpoint);
  if (found == members_.end()) return;
  Close(&found->second, connection);
}

void Pool::Close(Member* member, const PooledPtr& connection) {
  size_t gone = std::erase(member->connections, connection);
  if (gone == 0) return;
  LogLine(LogLevel::kInfo, "connection_closed")
      .Field("group", group_)
      .Field("endpoint", connection->endpoint)
      .Field("connection", connection->number);
  ++member->closing;
  EndpointId endpoint = connection->endpoint;
  connection->wire->Close([self = shared_from_this(), endpoint] {
    auto found = self->members_.find(endpoint);
    if (found == self->members_.end()) return;
    if (found->second.closing > 0) --found->second.closing;
  });
}

void Pool::CheckIdle(Member* member, Time now) {
  std::vector<PooledPtr> connections = member->connections;
  for (const PooledPtr& connection : connections) {
    if (connection->busy) continue;
    if (connection->tainted || member->state.leaving) {
      Close(member, connection);
      continue;
    }
    if (connection->checking) {
      if (now - connection->check_sent < kIdleCheckTimeout) continue;
      member->silent_at = now;
      Close(member, connection);
      continue;
    }
    if (now - connection->last_answer >= kIdleCheckAfter) {
      Check(connection, now);
    }
  }
}

void Pool::VerifyIdleConnections(const EndpointId& endpoint) {
  auto found = members_.find(endpoint);
  if (found == members_.end()) return;
  Time now = Now();
  for (const PooledPtr& connection : found->second.connections) {
    if (Ready(*connection)) Check(connection, now);
  }
}

void Pool::Check(const PooledPtr& connection, Time now) {
  connection->checking = true;
  connection->check_sent = now;
  Exchange exchange;
  std::weak_ptr<PooledConnection> weak = connection;
  exchange.on_end = [self = shared_from_this(), weak](const ExchangeEnd&) {
    PooledPtr checked = weak.lock();
    if (!checked) return;
    checked->checking = false;
    checked->last_answer = Now();
    self->hooks_.on_ready(checked->endpoint);
  };
  // A lone Sync is answered with ReadyForQuery without running anything.
  connection->wire->Send(pgwire::Builder().Begin('S').End().bytes(),
                         {exchange});
}

void Pool::CloseIdle() {
  for (auto& [id, member] : members_) {
    std::vector<PooledPtr> connections = member.connections;
    for (const PooledPtr& connection : connections) {
      if (!connection->busy) Close(&member, connection);
    }
  }
}

void Pool::Stop() {
  stopped_ = true;
  for (auto& [id, member] : members_) {
    std::vector<PooledPtr> connections = member.connections;
    for (const PooledPtr& connection : connections) {
      connection->busy = false;
      Close(&member, connection);
    }
  }
}

}  // namespace cardamomchute
