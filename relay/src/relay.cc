#include "cardamomchute/relay/relay.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/policy/sessions/key_check.h"
#include "rate_limiter.h"
#include "relay_timing.h"
#include "relayed_session.h"

namespace cardamomchute {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr Duration kSweep = Millis(500);
/// Minimum interval between two assignments of holders, which cost processor
/// time in proportion to relays times endpoints.
constexpr Duration kAssignInterval = Millis(150);
/// A holder that could not reach an endpoint is passed over this long.
constexpr Duration kAvoidHolder = Millis(500);
/// Connections to an endpoint that one holder may open, of all allowed: two
/// VMs may hold some at once while holders change.
constexpr double kHolderShare = 0.85;
/// Connections to an endpoint whose group this relay's layout does not name.
/// Only relays with a newer layout ask for it.
constexpr uint32_t kUnnamedConnections = 4;
/// A pool that nobody uses is closed after this long.
constexpr Duration kPoolIdle = Seconds(10);

}  // namespace

Relay::Relay(RelayParams params)
    : params_(std::move(params)),
      metrics_(params_.metrics),
      listener_(std::make_shared<TcpListener>(params_.io)),
      timer_(*params_.io),
      drain_timer_(*params_.io),
      assign_timer_(*params_.io) {
  if (!params_.key_revocation) return;
  key_authority_.emplace(HeldKeyAuthorityParams{
      *params_.key_revocation, params_.ask_authority, params_.metrics});
}

Relay::~Relay() = default;

Status Relay::Start() {
  limiter_ = MakeLimiter();
  mesh_ = std::make_shared<RelayMesh>(params_.io, params_.vm, Handlers());
  BOOST_OUTCOME_TRYV(mesh_->Listen(params_.peers));
  BOOST_OUTCOME_TRYV(listener_->Open(params_.callers, "listen.callers"));
  std::weak_ptr<Relay> weak = weak_from_this();
  listener_->Start([weak](tcp::socket socket) {
    std::shared_ptr<Relay> self = weak.lock();
    if (self) self->TakeCaller(std::move(socket));
  });
  ScheduleSweep();
  return Ok();
}

MeshHandlers Relay::Handlers() {
  std::weak_ptr<Relay> weak = weak_from_this();
  MeshHandlers handlers;
  handlers.on_run = [weak](const RelayLink& from, RunRequest request,
                           RunDone done) {
    std::shared_ptr<Relay> self = weak.lock();
    if (!self) return;
    if (self->RefuseForDrain(from, request, done)) return;
    std::shared_ptr<EndpointPool> pool =
        self->PoolOf(request.endpoint, request.group, request.address);
    SessionKey key{from, request.session};
    pool->Submit(std::move(request), key, std::move(done));
  };
  handlers.on_abandon = [weak](const RelayLink& from,
                               const AbandonRun& abandon) {
    std::shared_ptr<Relay> self = weak.lock();
    if (!self) return;
    auto pool = self->pools_.find(abandon.endpoint);
    if (pool == self->pools_.end()) return;
    pool->second->Abandon(SessionKey{from, abandon.session}, abandon.run);
  };
  handlers.on_floor = [weak](const FloorQuestion& question,
                             std::function<void(FloorAnswer)> done) {
    std::shared_ptr<Relay> self = weak.lock();
    if (!self) return;
    self->PoolOf(question.endpoint, question.group, question.address)
        ->AnswerFloor(std::move(done));
  };
  handlers.on_token = [weak](const TokenQuestion& question) {
    std::shared_ptr<Relay> self = weak.lock();
    if (self && self->limiter_) return self->limiter_->Answer(question);
    return TokenAnswer{.not_keeper = true};
  };
  handlers.on_control_hint = [weak](const ControlHint& hint) {
    std::shared_ptr<Relay> self = weak.lock();
    if (self && self->params_.on_control_hint)
      self->params_.on_control_hint(hint.members);
  };
  handlers.on_gone = [weak](const RelayLink& from) {
    std::shared_ptr<Relay> self = weak.lock();
    if (!self) return;
    for (const auto& [id, pool] : self->pools_) pool->AbandonAll(from);
  };
  return handlers;
}

void Relay::TakeCaller(tcp::socket socket) {
  std::shared_ptr<RelayedSession> session = std::make_shared<RelayedSession>(
      std::move(socket), this, ++next_session_);
  // The newcomer has had no time to say anything: it is only turned away if all
  // others are busy.
  if (sessions_.size() >= params_.limits.sessions) {
    std::optional<uint64_t> least = LeastNeeded(SessionUses());
    if (!least) return NoteClosed("too_many");
    CloseSession(*least, "too_many");
  }
  sessions_.insert(session);
  session->Start();
}

void Relay::Remove(const std::shared_ptr<RelayedSession>& session) {
  sessions_.erase(session);
}

// ---- what control says -----------------------------------------------------

void Relay::OnDirectory(const DirectoryDelta& delta) {
  DirectoryDelta changed = Merge(directory_, delta, Now());
  bool due = !changed.endpoints.empty() || !changed.relays.empty();
  if (due) AssignSoon();
  UpdatePools();
}

void Relay::AssignSoon() {
  if (assign_due_) return;
  Duration wait = assigned_at_ + kAssignInterval - Now();
  if (wait <= Duration()) return Assign();
  assign_due_ = true;
  assign_timer_.expires_after(std::chrono::milliseconds(wait.ms()));
  std::weak_ptr<Relay> weak = weak_from_this();
  assign_timer_.async_wait([weak](error_code cancelled) {
    std::shared_ptr<Relay> self = weak.lock();
    if (!self || cancelled) return;
    self->Assign();
    self->UpdatePools();
  });
}

void Relay::Assign() {
  assign_due_ = false;
  assigned_at_ = Now();
  holders_ = AssignHolders(directory_);
  UpdateHeld();
}

/// Which groups are named changes with the layout, holders do not.
void Relay::UpdateHeld() {
  held_.clear();
  for (const auto& [endpoint, holders] : holders_) {
    auto record = directory_.endpoints.find(endpoint);
    bool named =
        record != directory_.endpoints.end() && Named(record->second.group);
    if (named && SharersWith(endpoint) > 0) held_.push_back(endpoint);
  }
}

bool Relay::Named(const GroupId& group) const {
  return layout_ && layout_->groups.contains(group);
}

/// Brings the pools in line with the directory and the holders.
void Relay::UpdatePools() {
  for (auto it = pools_.begin(); it != pools_.end();) {
    auto record = directory_.endpoints.find(it->first);
    bool gone = record != directory_.endpoints.end() &&
                (record->second.gone ||
                 record->second.address != it->second->address());
    if (!gone) {
      SetPoolBounds(it->first, it->second.get());
      ++it;
      continue;
    }
    std::shared_ptr<EndpointPool> pool = it->second;
    it = pools_.erase(it);
    pool->Close();
  }
  // Connections are opened before the first statement needs them.
  for (const EndpointId& id : held_) {
    auto found = directory_.endpoints.find(id);
    if (found == directory_.endpoints.end() || drain_) continue;
    const EndpointRecord& record = found->second;
    if (record.gone || record.leaving) continue;
    PoolOf(id, record.group, record.address)->Warm();
  }
}

size_t Relay::SharersWith(const EndpointId& endpoint) const {
  auto holders = holders_.find(endpoint);
  if (holders == holders_.end()) return 0;
  const std::vector<RelayRecord>& active = holders->second.active;
  bool mine = std::any_of(
      active.begin(), active.end(),
      [this](const RelayRecord& relay) { return relay.vm == params_.vm; });
  return mine ? active.size() : 0;
}

void Relay::OnLayout(std::shared_ptr<const Layout> layout) {
  OrganisationName own_organisation = OwnOrganisation();
  bool same_groups = layout_ && layout_->groups == layout->groups;
  layout_ = std::move(layout);
  RenewAuthority(Now());
  std::set<std::shared_ptr<RelayedSession>> sessions = sessions_;
  for (const std::shared_ptr<RelayedSession>& session : sessions)
    session->OnLayout(*layout_);
  if (same_groups && own_organisation == OwnOrganisation()) return;
  UpdateHeld();
  UpdatePools();
}

// ---- endpoints and their holders -------------------------------------------

std::shared_ptr<EndpointPool> Relay::PoolOf(const EndpointId& endpoint,
                                            const GroupId& group,
                                            const Address& address) {
  std::shared_ptr<EndpointPool>& pool = pools_[endpoint];
  if (pool) return pool;
  EndpointPoolParams params;
  params.executor = params_.io->get_executor();
  params.protocol = &params_.endpoint_protocol;
  params.endpoint = endpoint;
  params.group = group;
  params.address = address;
  std::weak_ptr<Relay> weak = weak_from_this();
  params.report = [weak, group, endpoint](EndpointProblem trouble) {
    std::shared_ptr<Relay> self = weak.lock();
    if (self) self->params_.report(group, endpoint, trouble);
  };
  params.ask_floor =
      [weak, group](std::function<void(std::optional<FloorAnswer>)> done) {
        std::shared_ptr<Relay> self = weak.lock();
        if (!self) return done(std::nullopt);
        self->AskFloor(group, std::move(done));
      };
  if (params_.ask_leases) {
    params.renew_lease = [weak, group] {
      std::shared_ptr<Relay> self = weak.lock();
      if (self) self->AskLease(group);
    };
  }
  params.reads_need_lease = params_.reads_need_lease;
  params.statement_bytes = statement_bytes_;
  params.max_statement_bytes = params_.limits.waiting_bytes;
  pool = std::make_shared<EndpointPool>(std::move(params));
  SetPoolBounds(endpoint, pool.get());
  auto lease = leases_.find(group);
  if (lease != leases_.end()) pool->SetLease(lease->second);
  return pool;
}

void Relay::SetPoolBounds(const EndpointId& endpoint, EndpointPool* pool) {
  PoolBounds bounds;
  auto record = directory_.endpoints.find(endpoint);
  if (record != directory_.endpoints.end()) {
    const EndpointRecord& known = record->second;
    // A VM that steps in for another one uses that one's part.
    auto holders = holders_.find(endpoint);
    uint32_t sharers = 1;
    if (holders != holders_.end() && !holders->second.active.empty())
      sharers = static_cast<uint32_t>(holders->second.active.size());
    bounds.sharers = sharers;
    uint32_t slots = HolderSlots(endpoint, sharers);
    bounds.leaving_since = LeavingSince(directory_, endpoint);
    auto primary = directory_.primaries.find(known.group);
    bounds.is_primary = primary != directory_.primaries.end() &&
                        primary->second.endpoint == endpoint;
    uint32_t allowed = kUnnamedConnections;
    if (Named(known.group))
      allowed = layout_->groups.at(known.group).connections;
    double share = kHolderShare / sharers;
    bounds.connections =
        std::max<uint32_t>(1, static_cast<uint32_t>(allowed * share));
    bounds.slots = std::min(slots, bounds.connections);
  }
  bounds.own_organisation = OwnOrganisation();
  if (!bounds.own_organisation.empty())
    bounds.warm_organisations = {bounds.own_organisation};
  pool->SetBounds(bounds);
}

/// Returns for whom pools open connections of their own: an endpoint may accept
/// known organisations only.
OrganisationName Relay::OwnOrganisation() const {
  if (!layout_ || !layout_->organisations) return OrganisationName();
  const std::map<OrganisationName, OrganisationSpec>& specs =
      layout_->organisations->specs;
  return specs.empty() ? OrganisationName(kNoOrganisation)
                       : specs.begin()->first;
}

void Relay::Avoid(const EndpointId& endpoint, const Address& holder) {
  avoid_until_[{endpoint, holder}] = Now() + kAvoidHolder;
}

bool Relay::Avoided(const EndpointId& endpoint, const Address& holder) const {
  auto it = avoid_until_.find({endpoint, holder});
  return it != avoid_until_.end() && Now() < it->second;
}

bool Relay::Usable(const EndpointId& endpoint, const Address& holder) const {
  if (Avoided(endpoint, holder)) return false;
  return holder.port == 0 || !mesh_->Avoided(holder);
}

std::optional<Target> Relay::PrimaryOf(
    const GroupId& group, const OrganisationName& organisation) const {
  const EndpointRecord* primary = CurrentPrimary(directory_, group);
  if (primary == nullptr) return std::nullopt;
  return HolderOf(*primary, organisation);
}

bool Relay::MayBegin(const GroupId& group, bool at_primary) const {
  return !OnlyDrainedLeft(directory_, group, at_primary, Now());
}

void Relay::Run(const Target& target, RunRequest request, bool wrote,
                RunDone done) {
  EndpointId endpoint = target.endpoint.id;
  Address holder = target.holder;
  Duration max_staleness = request.max_staleness;
  std::optional<WorkKind> read;
  if (!target.is_primary) read = NoteReadSent(target.endpoint, request);
  std::weak_ptr<Relay> weak = weak_from_this();
  RunDone noted = [weak, endpoint, holder, max_staleness, read,
                   group = target.endpoint.group,
                   done = std::move(done)](RunAnswer answer) {
    std::shared_ptr<Relay> self = weak.lock();
    if (self) {
      self->NoteLoad(endpoint, holder, answer);
      if (read) self->NoteReadDone(group, endpoint, *read, answer);
      bool avoid = answer.outcome == StatementStatus::kUnreachable ||
                   answer.outcome == StatementStatus::kMisrouted ||
                   answer.outcome == StatementStatus::kTooManyConnections;
      if (avoid) self->Avoid(endpoint, holder);
      // Reads turn to another replica; only the primary has no substitute.
      bool lagging = answer.outcome == StatementStatus::kLagging ||
                     answer.outcome == StatementStatus::kBusy ||
                     answer.outcome == StatementStatus::kUnreachable;
      if (lagging || answer.outcome == StatementStatus::kDone)
        self->NoteLag(endpoint, max_staleness, lagging);
    }
    done(std::move(answer));
  };
  request.endpoint = endpoint;
  request.group = target.endpoint.group;
  request.address = target.endpoint.address;
  if (holder.port != 0)
    return mesh_->Run(holder, std::move(request), wrote, std::move(noted));
  SessionKey key{RelayLink{params_.vm}, request.session};
  std::shared_ptr<EndpointPool> pool =
      PoolOf(endpoint, request.group, request.address);
  pool->Submit(std::move(request), key, std::move(noted));
}

void Relay::Abandon(const Target& target, const AbandonRun& abandon) {
  if (target.holder.port != 0) return mesh_->Abandon(target.holder, abandon);
  auto pool = pools_.find(abandon.endpoint);
  if (pool == pools_.end()) return;
  pool->second->Abandon(SessionKey{RelayLink{params_.vm}, abandon.session},
                        abandon.run);
}

void Relay::AskFloor(const GroupId& group,
                     std::function<void(std::optional<FloorAnswer>)> done) {
  std::optional<Target> primary = PrimaryOf(group);
  if (!primary) return done(std::nullopt);
  FloorQuestion question;
  question.endpoint = primary->endpoint.id;
  question.group = group;
  question.address = primary->endpoint.address;
  if (primary->holder.port != 0)
    return mesh_->AskFloor(primary->holder, question, std::move(done));
  PoolOf(question.endpoint, group, question.address)
      ->AnswerFloor([done](const FloorAnswer& answer) { done(answer); });
}

// ---- by the clock ----------------------------------------------------------

void Relay::ScheduleSweep() {
  timer_.expires_after(std::chrono::milliseconds(kSweep.ms()));
  std::weak_ptr<Relay> weak = weak_from_this();
  timer_.async_wait([weak](error_code cancelled) {
    std::shared_ptr<Relay> self = weak.lock();
    if (!self || cancelled) return;
    self->Sweep();
    self->ScheduleSweep();
  });
}

void Relay::Sweep() {
  Time now = Now();
  if (limiter_) limiter_->Sweep(now);
  RenewAuthority(now);
  metrics_.SetSessions(sessions_.size(), session_bytes_);
  std::set<std::shared_ptr<RelayedSession>> sessions = sessions_;
  for (const std::shared_ptr<RelayedSession>& session : sessions) {
    session->EndIdleTransaction(now);
    session->CloseIfStalled(now);
  }
  LogClosed();
  SweepReaders(now);
  std::erase_if(avoid_until_,
                [now](const auto& item) { return item.second <= now; });
  std::erase_if(holder_loads_, [now](const auto& item) {
    return now - item.second.at >= kLoadValid;
  });
  std::erase_if(lease_requests_, [now](const auto& item) {
    return item.second.asked + kPrimaryLease < now;
  });
  for (auto it = pools_.begin(); it != pools_.end();) {
    bool holds = SharersWith(it->first) > 0;
    if (holds) it->second->KeepFloor();
    it->second->NoteDrain(now);
    it->second->Trim(now);
    metrics_.SetPool(it->first, it->second->limit(), it->second->slots(),
                     it->second->ExpectedWait());
    bool unused = !holds && it->second->Idle() &&
                  now - it->second->last_used() > kPoolIdle;
    if (!unused) {
      ++it;
      continue;
    }
    it->second->Close();
    it = pools_.erase(it);
  }
}

void Relay::Stop() {
  listener_->Close();
  timer_.cancel();
  drain_timer_.cancel();
  assign_timer_.cancel();
  std::set<std::shared_ptr<RelayedSession>> sessions = std::move(sessions_);
  for (const std::shared_ptr<RelayedSession>& session : sessions)
    session->Close();
  for (const auto& [id, pool] : pools_) pool->Close();
  pools_.clear();
  if (limiter_) limiter_->Stop();
  if (mesh_) mesh_->Close();
}

}  // namespace cardamomchute
