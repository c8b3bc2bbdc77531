#include "cardamomchute/fleet/fleet_controller.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cardamomchute/base/log.h"
#include "cardamomchute/base/pack.h"
#include "cardamomchute/peers/record_file.h"
#include "cardamomchute/relay/run.h"

namespace cardamomchute {
namespace {

constexpr Duration kTick = Millis(40);
/// Directory changes are batched for this long before they are pushed.
constexpr Duration kFlushInterval = Millis(40);
/// Minimum interval between two layouts pushed to relays. Versions in between
/// are skipped, as only the newest is in force.
constexpr Duration kLayoutPushInterval = Millis(500);
/// A silent voter is removed this long after a newer member has joined.
constexpr Duration kReplaceAfter = Seconds(6);
/// Shorter than the default: without a leader, relays receive no updates.
constexpr QuorumTiming kTiming = {Millis(80), Millis(300), Millis(600),
                                  Seconds(2)};
constexpr Duration kFirstElection = Millis(200);
/// A relay that connects while no leader is known is kept this long before it
/// is sent to another member.
constexpr Duration kWaitForLeader = Millis(600);
/// Minimum interval between two writes of the directory to disk.
constexpr Duration kCacheInterval = Seconds(3);
constexpr char kCacheFile[] = "directory";
constexpr char kRelaysFile[] = "relays";
/// Members that call each former relay, as some may not be back yet.
constexpr size_t kCallsPerRelay = 3;
constexpr Duration kCallTimeout = Millis(500);
constexpr uint64_t kSnapshotAfter = 200;
constexpr uint64_t kSnapshotBytes = 4 * 1024 * 1024;

VmId MemberVm(const Address& address) { return VmId(ToString(address)); }

std::vector<ControlSeed> ToSeeds(const std::vector<Address>& addresses) {
  std::vector<ControlSeed> seeds;
  for (const Address& address : addresses)
    seeds.push_back(ControlSeed{MemberVm(address), address});
  return seeds;
}

std::string PackMessage(const FleetMessage& message) {
  return PackVariant(message);
}

}  // namespace

FleetController::FleetController(FleetControllerParams params)
    : params_(std::move(params)),
      rounds_([this] { return host_->BeginRound(); }),
      leases_({MemberVm(params_.listen), [this] { return Grantable(); },
               [this](const GrantableRequest& request) {
                 SendToLeader(request);
               }}) {}

FleetController::~FleetController() { Stop(); }

Status FleetController::Start() {
  QuorumHostSettings settings;
  settings.vm = MemberVm(params_.listen);
  settings.listen = params_.listen;
  settings.data_folder = params_.data_folder;
  settings.snapshot_after = kSnapshotAfter;
  settings.snapshot_bytes = kSnapshotBytes;
  settings.may_bootstrap = params_.may_bootstrap;
  settings.timing = kTiming;
  settings.first_election_timeout = kFirstElection;
  settings.tick = kTick;
  settings.replace_silent_after = kReplaceAfter;
  BOOST_OUTCOME_TRY(host, QuorumHost::Open(*params_.io, std::move(settings)));
  host_ = host;
  LoadDirectory();
  host_->Start(ToSeeds(params_.seeds), Hooks());
  return Ok();
}

void FleetController::Stop() {
  if (!host_) return;
  host_->Stop();
  for (const auto& [group, run] : successions_) run->Stop();
  successions_.clear();
  relays_.clear();
  waiting_.clear();
  for (const LinkPtr& link : calls_) link->Close();
  calls_.clear();
}

void FleetController::SetSeeds(const std::vector<Address>& seeds) {
  params_.seeds = seeds;
  host_->SetSeeds(ToSeeds(seeds));
}

QuorumHooks FleetController::Hooks() {
  // Capturing `this` is safe: the destructor stops the host, and a stopped host
  // calls no hooks.
  QuorumHooks hooks;
  hooks.apply = [this](const LogEntry& entry) { Apply(entry); };
  hooks.restore = [this](const std::string& bytes) { Restore(bytes); };
  hooks.pack = [this] { return Pack(layout_); };
  hooks.on_leadership_change = [this](bool is_leader) {
    OnLeadershipChange(is_leader);
  };
  hooks.on_confirmed = [this](Round round) { rounds_.OnConfirmed(round); };
  hooks.on_tick = [this](Time now) { OnTick(now); };
  hooks.after_output = [] {};
  hooks.on_frame = [this](const LinkPtr& link, FrameType type,
                          std::string_view body) {
    if (type == FrameType::kControl) OnFrame(link, body);
  };
  hooks.on_link_lost = [this](const LinkPtr& link) {
    relays_.erase(link.get());
    waiting_.erase(link.get());
  };
  hooks.on_member_link = [this](const VmId& vm) {
    DirectoryPush push;
    push.delta = FullDelta(directory_);
    host_->SendTo(vm, FrameType::kControl, PackMessage(push));
  };
  hooks.admits = [](const MemberHello&) { return true; };
  hooks.excludes = [](const VmId&) { return false; };
  hooks.on_failure = params_.on_failure;
  return hooks;
}

// ---- layouts ---------------------------------------------------------------

void FleetController::Apply(const LogEntry& entry) {
  bool newer = false;
  if (entry.kind == EntryKind::kCommand) {
    Result<StoredLayout> stored = Unpack<StoredLayout>(entry.command);
    if (!stored) return host_->Fail(stored.error());
    newer = stored.value().version > layout_.version;
    if (newer) layout_ = std::move(stored.value());
  }
  if (newer) {
    parsed_.reset();
    LogLine(LogLevel::kInfo, "layout_applied")
        .Field("version", layout_.version)
        .Field("index", entry.index)
        .Field("bytes", layout_.text.size());
    layout_due_ = true;
  }
  auto pending = pending_.find(entry.index);
  if (pending == pending_.end()) return;
  LayoutDone done = std::move(pending->second.done);
  bool same = pending->second.term == entry.term;
  pending_.erase(pending);
  LayoutResult answer;
  if (same) answer.outcome = CallOutcome::kDone;
  done(std::move(answer));
}

void FleetController::Restore(const std::string& bytes) {
  if (bytes.empty()) return;
  Result<StoredLayout> stored = Unpack<StoredLayout>(bytes);
  if (!stored) return host_->Fail(stored.error());
  if (stored.value().version <= layout_.version) return;
  layout_ = std::move(stored.value());
  parsed_.reset();
  layout_due_ = layout_.version > 0;
}

const Layout* FleetController::ParsedLayout() const {
  if (layout_.version == 0) return nullptr;
  if (parsed_) return &*parsed_;
  Result<Layout> parsed = params_.parse_layout(layout_.text);
  if (!parsed) {
    host_->Fail(parsed.error());
    return nullptr;
  }
  parsed_ = std::move(parsed.value());
  return &*parsed_;
}

LayoutResult FleetController::Elsewhere() const {
  LayoutResult answer;
  const QuorumState& quorum = host_->quorum();
  auto leader = quorum.config.members.find(quorum.leader);
  bool known = leader != quorum.config.members.end() &&
               quorum.leader != quorum.self && host_->HasLeaderContact(Now());
  if (!known) return answer;
  answer.outcome = CallOutcome::kOtherLeader;
  answer.leader = leader->second.address.host;
  return answer;
}

void FleetController::PutLayout(std::string text, LayoutDone done) {
  Result<Layout> read = params_.parse_layout(text);
  if (!read) {
    LogLine(LogLevel::kInfo, "layout_refused")
        .Field("error", ToString(read.error()));
    return done({CallOutcome::kInvalid, ToString(read.error()), ""});
  }
  if (!host_->leading()) return done(Elsewhere());
  uint64_t version = read.value().version;
  LogLine(LogLevel::kInfo, "layout_submitted")
      .Field("version", version)
      .Field("held", layout_.version)
      .Field("routes", read.value().routes.size());
  if (version <= layout_.version) {
    rounds_.Add({[done] {
                   done({CallOutcome::kDone, "", ""});
                 },
                 [done] { done({}); }});
    return;
  }
  std::optional<LogIndex> index =
      host_->ProposeBytes(Pack(StoredLayout{version, std::move(text)}));
  if (!index) return done(Elsewhere());
  pending_[*index] = PendingPut{host_->quorum().vote.term, std::move(done)};
}

void FleetController::GetLayout(LayoutDone done) {
  if (!host_->leading()) return done(Elsewhere());
  rounds_.Add({[this, done] {
                 if (layout_.version == 0) return done({});
                 done({CallOutcome::kDone, layout_.text, ""});
               },
               [done] { done({}); }});
}

void FleetController::OnLeadershipChange(bool is_leader) {
  rounds_.Abandon();
  std::map<LogIndex, PendingPut> pending = std::exchange(pending_, {});
  for (auto& [index, put] : pending) put.done({});
  for (const auto& [group, run] : successions_) run->Stop();
  successions_.clear();
  changes_ = 0;
  tokens_ = 0;
  confirmed_.clear();
  leases_.OnLeadershipChange(is_leader);
  if (is_leader) next_review_.clear();
}

// ---- relays and members ----------------------------------------------------

void FleetController::OnFrame(const LinkPtr& link, std::string_view body) {
  Result<FleetMessage> read = UnpackVariant<FleetMessage>(body);
  if (!read) {
    LogLine(LogLevel::kWarn, "fleet_message_refused")
        .Field("from", link->remote())
        .Field("error", ToString(read.error()));
    relays_.erase(link.get());
    waiting_.erase(link.get());
    return host_->Drop(link);
  }
  const FleetMessage& message = read.value();
  if (const auto* report = std::get_if<RelayReport>(&message))
    return OnRelayReport(link, *report);
  if (const auto* trouble = std::get_if<TroubleReport>(&message))
    return OnTrouble(*trouble);
  if (const auto* request = std::get_if<PrimaryLeaseRequest>(&message))
    return OnLeaseRequest(link, *request);
  if (const auto* request = std::get_if<GrantableRequest>(&message))
    return OnGrantableRequest(*request);
  if (const auto* answer = std::get_if<GrantableAnswer>(&message))
    return leases_.OnGrantableAnswer(*answer);
  if (const auto* push = std::get_if<DirectoryPush>(&message))
    return TakeDelta(push->delta, true);
}

void FleetController::OnLeaseRequest(const LinkPtr& link,
                                     const PrimaryLeaseRequest& request) {
  std::weak_ptr<Link> weak = link;
  leases_.OnRequest(request, [weak](const PrimaryLeaseGrant& grant) {
    LinkPtr to = weak.lock();
    if (to) to->Send(FrameType::kControl, PackMessage(grant));
  });
}

void FleetController::OnGrantableRequest(const GrantableRequest& request) {
  std::optional<GrantableAnswer> answer = leases_.OnGrantableRequest(request);
  if (!answer) return;
  host_->SendTo(request.from, FrameType::kControl, PackMessage(*answer));
}

void FleetController::SendToLeader(const FleetMessage& message) {
  const QuorumState& quorum = host_->quorum();
  auto leader = quorum.config.members.find(quorum.leader);
  bool known =
      leader != quorum.config.members.end() && quorum.leader != quorum.self;
  if (!known) return;
  host_->SendTo(leader->second.vm, FrameType::kControl, PackMessage(message));
}

void FleetController::OnRelayReport(const LinkPtr& link,
                                    const RelayReport& report) {
  bool first = !relays_.contains(link.get());
  if (first && !host_->HasLeaderContact(Now())) {
    waiting_.try_emplace(link.get(),
                         WaitingRelay{link, report, Now() + kWaitForLeader});
    return;
  }
  ConnectedRelay& relay = relays_[link.get()];
  relay.link = link;
  DirectoryDelta delta;
  delta.relays.push_back(report.relay);
  TakeDelta(delta, false);
  if (first) relay.layout_version = report.layout_version;
  relay.takes_changes = report.takes_changes;
}

/// Serves relays that connected while no leader was known, or sends them to
/// another member once their wait has expired.
void FleetController::ServeWaiting(Time now, bool has_leader_contact) {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (!has_leader_contact && now < it->second.until) {
      ++it;
      continue;
    }
    WaitingRelay relay = it->second;
    it = waiting_.erase(it);
    if (has_leader_contact) {
      OnRelayReport(relay.link, relay.report);
      continue;
    }
    relay.link->Send(FrameType::kControl,
                     PackMessage(Farewell{BarePush().members}));
  }
}

/// Merges `delta` into the directory and queues the changes for the connected
/// relays. A delta that did not come from another member is queued for the
/// other members, too.
void FleetController::TakeDelta(const DirectoryDelta& delta, bool from_member) {
  DirectoryDelta changed = Merge(directory_, delta, Now());
  auto append = [](DirectoryDelta* to, const DirectoryDelta& from) {
    to->endpoints.insert(to->endpoints.end(), from.endpoints.begin(),
                         from.endpoints.end());
    to->relays.insert(to->relays.end(), from.relays.begin(), from.relays.end());
    for (const auto& [group, primary] : from.primaries)
      to->primaries[group] = primary;
  };
  append(&to_relays_, changed);
  if (!changed.Empty()) cache_due_ = true;
  if (!from_member) append(&to_members_, delta);
  for (const EndpointRecord& record : changed.endpoints) {
    LogLine(LogLevel::kInfo, "endpoint")
        .Field("endpoint", record.id)
        .Field("group", record.group)
        .Field("address", ToString(record.address))
        .Field("leaving", record.leaving)
        .Field("gone", record.gone)
        .Field("claims_lead", record.claims_primary)
        .Field("born_ms", record.started_ms)
        .Field("sequence", record.sequence)
        .Field("first_hand", !from_member);
  }
}

DirectoryPush FleetController::BarePush() const {
  DirectoryPush push;
  for (const auto& [id, member] : host_->quorum().config.members)
    push.members.push_back(member.address);
  return push;
}

const std::string& FleetController::PackedFor(
    const ConnectedRelay& relay, const FleetMessage& message,
    std::map<bool, std::string>* packed) {
  std::string& bytes = (*packed)[relay.takes_changes];
  if (bytes.empty())
    bytes = relay.takes_changes ? PackForRelay(message) : PackMessage(message);
  return bytes;
}

/// Sends the whole directory to relays that have connected since the last call:
/// after a restart many do, and one message serves them all.
void FleetController::GreetRelays() {
  bool any = std::any_of(relays_.begin(), relays_.end(),
                         [](const auto& item) { return !item.second.greeted; });
  if (!any) return;
  std::string bare = PackMessage(BarePush());
  DirectoryPush known = BarePush();
  known.delta = FullDelta(directory_);
  DirectoryPush with_layout = known;
  with_layout.layout = layout_;
  std::map<bool, std::string> packed;
  std::map<bool, std::string> packed_with_layout;
  for (auto& [key, relay] : relays_) {
    if (std::exchange(relay.greeted, true)) continue;
    // A link accepts only a short frame first.
    relay.link->Send(FrameType::kControl, bare);
    bool needs_layout = layout_.version > relay.layout_version;
    const std::string& message =
        needs_layout ? PackedFor(relay, with_layout, &packed_with_layout)
                     : PackedFor(relay, known, &packed);
    relay.link->Send(FrameType::kControl, message);
    if (needs_layout) relay.layout_version = layout_.version;
  }
}

/// Pushes queued changes.
void FleetController::Flush() {
  if (!to_relays_.Empty()) {
    DirectoryPush push = BarePush();
    push.delta = std::exchange(to_relays_, DirectoryDelta());
    std::map<bool, std::string> packed;
    for (const auto& [key, relay] : relays_) {
      // Others get the whole directory below.
      if (!relay.greeted) continue;
      relay.link->Send(FrameType::kControl, PackedFor(relay, push, &packed));
    }
  }
  GreetRelays();
  PushLayout(Now());
  if (to_members_.Empty()) return;
  DirectoryPush push;
  push.delta = std::exchange(to_members_, DirectoryDelta());
  host_->SendToAll(FrameType::kControl, PackMessage(push));
}

/// Pushes the newest of several layouts: replaying the log applies many, and
/// relays may have little bandwidth.
void FleetController::PushLayout(Time now) {
  if (!layout_due_ || now < next_layout_push_) return;
  layout_due_ = false;
  next_layout_push_ = now + kLayoutPushInterval;
  DirectoryPush whole = BarePush();
  whole.layout = layout_;
  DirectoryPush change = BarePush();
  change.layout_change =
      LayoutChange{pushed_.version, layout_.version,
                   MakeTextDelta(pushed_.text, layout_.text)};
  std::map<bool, std::string> packed;
  std::map<bool, std::string> packed_change;
  for (auto& [key, relay] : relays_) {
    if (relay.layout_version >= layout_.version) continue;
    bool has_base =
        relay.takes_changes && relay.layout_version == pushed_.version;
    const std::string& message = has_base
                                     ? PackedFor(relay, change, &packed_change)
                                     : PackedFor(relay, whole, &packed);
    relay.link->Send(FrameType::kControl, message);
    relay.layout_version = layout_.version;
  }
  pushed_ = layout_;
}

/// Sends all relays to another member, since this one no longer learns what the
/// quorum accepts.
void FleetController::SendFarewells() {
  std::string message = PackMessage(Farewell{BarePush().members});
  for (const auto& [key, relay] : relays_)
    relay.link->Send(FrameType::kControl, message);
  relays_.clear();
}

bool FleetController::Announce(const EndpointRecord& record) {
  if (!host_->HasLeaderContact(Now())) return false;
  DirectoryDelta delta;
  delta.endpoints.push_back(record);
  TakeDelta(delta, false);
  return true;
}

bool FleetController::Leave(const EndpointId& endpoint) {
  if (!host_->HasLeaderContact(Now())) return false;
  auto known = directory_.endpoints.find(endpoint);
  if (known == directory_.endpoints.end()) return true;
  DirectoryDelta delta;
  delta.endpoints.push_back(known->second);
  delta.endpoints.back().gone = true;
  TakeDelta(delta, false);
  return true;
}

void FleetController::OnTick(Time now) {
  bool has_leader_contact = host_->HasLeaderContact(now);
  if (!has_leader_contact && !out_of_touch_) SendFarewells();
  ServeWaiting(now, has_leader_contact);
  if (has_leader_contact) CallRelays(now);
  out_of_touch_ = !has_leader_contact;
  DirectoryDelta expired = Expire(directory_, now);
  to_relays_.relays.insert(to_relays_.relays.end(), expired.relays.begin(),
                           expired.relays.end());
  if (host_->leading()) {
    rounds_.StartIfDue();
    ReviewPrimaries(now);
  }
  if (now < next_flush_) return;
  next_flush_ = now + kFlushInterval;
  Flush();
  SaveDirectory(now);
}

/// Tells relays from before a restart where control is. Only after a restart of
/// all members: others send a restarted one the directory, with the relays.
void FleetController::CallRelays(Time now) {
  if (!calls_.empty() && now >= calls_end_) {
    for (const LinkPtr& link : calls_) link->Close();
    calls_.clear();
  }
  std::vector<Address> relays = std::exchange(former_relays_, {});
  if (relays.empty() || !directory_.relays.empty()) return;
  const QuorumConfig& config = host_->quorum().config;
  auto self = config.members.find(host_->quorum().self);
  size_t rank =
      static_cast<size_t>(std::distance(config.members.begin(), self));
  ControlHint hint{BarePush().members};
  std::string message = PackVariant(RelayMessage(hint));
  calls_end_ = now + kCallTimeout;
  size_t called = 0;
  for (size_t i = 0; i < relays.size(); ++i) {
    size_t distance =
        (rank + config.members.size() - i % config.members.size()) %
        config.members.size();
    if (distance >= kCallsPerRelay) continue;
    ++called;
    ConnectLink(params_.io->get_executor(), relays[i], kCallTimeout,
                [this, message, alive = std::weak_ptr<QuorumHost>(host_)](
                    const LinkPtr& link) {
                  std::shared_ptr<QuorumHost> host = alive.lock();
                  if (!link) return;
                  if (!host || host->stopped()) return link->Close();
                  link->Start([](FrameType, std::string_view) {},
                              [](const std::string&) {});
                  link->Send(FrameType::kRelay, message);
                  calls_.push_back(link);
                  calls_end_ = Now() + kCallTimeout;
                });
  }
  LogLine(LogLevel::kInfo, "relays_called")
      .Field("called", called)
      .Field("known", relays.size());
}

/// Restores the announcements from before a restart, used until the endpoints
/// announce themselves again. Stale entries are harmless: an endpoint rejects
/// connections meant for another one, and writes if it is not the primary.
void FleetController::LoadDirectory() {
  std::optional<std::string> relays =
      ReadRecordFile(params_.data_folder / kRelaysFile);
  if (relays) {
    Result<std::vector<Address>> known = Unpack<std::vector<Address>>(*relays);
    if (known)
      former_relays_ = std::move(known.value());
    else
      LogLine(LogLevel::kWarn, "relays_copy_refused")
          .Field("error", ToString(known.error()));
  }
  std::optional<std::string> bytes =
      ReadRecordFile(params_.data_folder / kCacheFile);
  if (!bytes) return;
  Result<DirectoryDelta> delta = Unpack<DirectoryDelta>(*bytes);
  if (!delta) {
    LogLine(LogLevel::kWarn, "directory_copy_refused")
        .Field("error", ToString(delta.error()));
    return;
  }
  Merge(directory_, delta.value(), Now());
}

void FleetController::SaveDirectory(Time now) {
  // The leader skips this write to avoid unnecessary blocking on the disk.
  if (!cache_due_ || now < next_cache_ || host_->leading()) return;
  cache_due_ = false;
  next_cache_ = now + kCacheInterval;
  DirectoryDelta kept = FullDelta(directory_);
  // Relays report themselves as soon as they reconnect.
  kept.relays.clear();
  std::vector<Address> relays;
  for (const auto& [vm, record] : directory_.relays) {
    if (!record.gone) relays.push_back(record.address);
  }
  Status saved = WriteRecordFile(params_.data_folder / kCacheFile, Pack(kept));
  if (saved)
    saved = WriteRecordFile(params_.data_folder / kRelaysFile, Pack(relays));
  if (saved) return;
  LogLine(LogLevel::kWarn, "directory_copy_failed")
      .Field("error", ToString(saved.error()));
}

}  // namespace cardamomchute
